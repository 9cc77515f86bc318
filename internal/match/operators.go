package match

import (
	"cmp"
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// comparison defines a comparison operator: its elements state whether the operator holds if the
// left side is less than, equal to, and greater than the right side.
type comparison [3]bool

// holds evaluates the operator for a result of cmp.Compare: -1, 0 or 1.
func (c *comparison) holds(order int) bool { return c[1+order] }

// comparisons are the comparison operators.
var comparisons = map[string]*comparison{
	"==": {false, true, false},
	"!=": {true, false, true},
	"<":  {true, false, false},
	"<=": {true, true, false},
	">":  {false, false, true},
	">=": {false, true, true},
}

// compareValues compiles a comparison of two numbers or two texts.
func compareValues(t token, a, b *node, operator *comparison) (*node, error) {
	if a.resultType != b.resultType {
		return nil, errorAt(t.offset, "%v cannot be compared with %v", a.resultType, b.resultType)
	}
	n := &node{offset: t.offset, resultType: Bool}
	switch a.resultType {
	case Int:
		n.evalBool = func(r *Request) bool { return operator.holds(cmp.Compare(a.evalInt(r), b.evalInt(r))) }
		return n.withCost(1, a, b)
	case Text:
		n.evalBool = func(r *Request) bool {
			return operator.holds(strings.Compare(a.evalText(r), b.evalText(r)))
		}
		return n.withCost(scanCost(min(a.maxLength, b.maxLength)), a, b)
	}
	return nil, errorAt(t.offset, "%s does not apply to %v", t.text, a.resultType)
}

// textSearches are the operators that look for one text in another. The entry of "matches" is nil:
// its right side is a pattern, for which searchText calls matchesPattern.
var textSearches = map[string]func(s, part string) bool{
	"startswith": strings.HasPrefix,
	"endswith":   strings.HasSuffix,
	"contains":   strings.Contains,
	"matches":    nil,
}

// searchText compiles one of the textSearches.
func searchText(t token, a, b *node, find func(s, part string) bool) (*node, error) {
	for _, side := range []*node{a, b} {
		if err := side.expectType(Text, "a side of "+strconv.Quote(t.text)); err != nil {
			return nil, err
		}
	}
	n := &node{offset: t.offset, resultType: Bool}
	switch t.text {
	case "matches":
		if !b.constant {
			return nil, errorAt(b.offset, "the pattern has to be a literal")
		}
		pieces := strings.Split(b.evalText(nil), "*")
		n.evalBool = func(r *Request) bool { return matchesPattern(a.evalText(r), pieces) }
		// Each piece is searched for once, in the text that follows the piece before it.
		return n.withCost(scanCost(a.maxLength)+len(pieces), a, b)
	case "contains":
		if !b.constant {
			return nil, errorAt(b.offset, `the right side of "contains" has to be a literal`)
		}
		n.evalBool = func(r *Request) bool { return find(a.evalText(r), b.evalText(r)) }
		return n.withCost(scanCost(a.maxLength), a, b)
	}
	n.evalBool = func(r *Request) bool { return find(a.evalText(r), b.evalText(r)) }
	return n.withCost(scanCost(min(a.maxLength, b.maxLength)), a, b)
}

// matchesPattern reports whether s consists of the pieces with any text between them. Taking the
// first occurrence of each piece is sufficient, because it leaves the most text for the later ones.
func matchesPattern(s string, pieces []string) bool {
	last := len(pieces) - 1
	if last == 0 {
		return s == pieces[0]
	}
	if !strings.HasPrefix(s, pieces[0]) {
		return false
	}
	s = s[len(pieces[0]):]
	for _, piece := range pieces[1:last] {
		_, tail, ok := strings.Cut(s, piece)
		if !ok {
			return false
		}
		s = tail
	}
	return strings.HasSuffix(s, pieces[last])
}

// withinNetwork compiles the test whether an address belongs to a network. An unknown address
// belongs to none.
func withinNetwork(t token, a, b *node) (*node, error) {
	if err := a.expectType(Addr, `the left side of "within"`); err != nil {
		return nil, err
	}
	if b.resultType != Text || !b.constant {
		return nil, errorAt(b.offset, "the network has to be a text literal")
	}
	network, err := netip.ParsePrefix(b.evalText(nil))
	if err != nil {
		return nil, errorAt(b.offset, "%q is not a network such as 10.0.0.0/8", b.evalText(nil))
	}
	if network != network.Masked() {
		return nil, errorAt(
			b.offset,
			"%v has bits set beyond its prefix length: is %v meant?",
			network,
			network.Masked(),
		)
	}
	n := &node{offset: t.offset, resultType: Bool, evalBool: func(r *Request) bool {
		addr := a.evalAddr(r)
		return addr.IsValid() && network.Contains(addr.Unmap())
	}}
	return n.withCost(withinCost, a, b)
}

// withinCost is the cost of testing whether an address belongs to a network, in steps.
const withinCost = 2

// addValues compiles + and -: the sum or difference of two numbers, which saturates at the limits of
// int64, or the concatenation of two texts.
func addValues(t token, a, b *node) (*node, error) {
	if a.resultType != b.resultType || a.resultType != Int && (a.resultType != Text || t.text == "-") {
		return nil, errorAt(t.offset, "%s does not apply to %v and %v", t.text, a.resultType, b.resultType)
	}
	n := &node{offset: t.offset, resultType: a.resultType}
	if a.resultType == Text {
		n.maxLength = min(a.maxLength+b.maxLength, math.MaxInt32)
		n.maxAllocated = n.maxLength
		n.evalText = func(r *Request) string { return a.evalText(r) + b.evalText(r) }
		return n.withCost(scanCost(n.maxLength), a, b)
	}
	n.evalInt = func(r *Request) int64 {
		x, y := a.evalInt(r), b.evalInt(r)
		if t.text == "-" {
			y = -max(y, -math.MaxInt64) // the smallest int64 has no negation
		}
		return addSaturating(x, y)
	}
	return n.withCost(1, a, b)
}

// addSaturating adds two numbers. A sum beyond the limits of int64 becomes the nearest limit.
func addSaturating(x, y int64) int64 {
	sum := x + y
	switch {
	case x > 0 && y > 0 && sum < 0:
		return math.MaxInt64
	case x < 0 && y < 0 && sum >= 0:
		return math.MinInt64
	}
	return sum
}
