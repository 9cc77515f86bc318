package match

import (
	"cmp"
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

func constant(at int, s string) *node {
	return &node{
		at:    at,
		typ:   Text,
		cost:  1,
		long:  len(s),
		fixed: true,
		text:  func(*Request) string { return s },
	}
}

func number(at int, v int64) *node {
	return &node{at: at, typ: Int, cost: 1, fixed: true, int: func(*Request) int64 { return v }}
}

func field(long int, get func(*Request) string) *node {
	return &node{typ: Text, cost: 1, long: long, text: get}
}

// fields are what a request has by itself. A host is without its port.
var fields = map[string]*node{
	"method": field(64, func(r *Request) string { return r.Method }),
	"path":   field(mostField, func(r *Request) string { return r.Path }),
	"query":  field(mostField, func(r *Request) string { return r.Query }),
	"host":   field(256, func(r *Request) string { return r.Host }),
	"scheme": field(8, func(r *Request) string { return r.Scheme }),
	"school": field(256, func(r *Request) string { return r.School }),
	"length": {typ: Int, cost: 1, int: func(r *Request) int64 { return r.Length }},
	"remote": {typ: Addr, cost: 1, addr: func(r *Request) netip.Addr { return r.Remote }},
}

type param struct {
	typ   Type
	fixed bool // it has to be written out
}

// function makes a node of what it is given, and says what it costs itself.
type function struct {
	args []param
	make func(n *node, a []*node) (own int, err error)
}

var functions map[string]function

func init() { // they are looked up by what they are made with
	text, plain, count := param{typ: Text}, param{Text, true}, param{typ: Int}
	functions = map[string]function{
		// var is a variable of the request; nothing where there is none.
		"var": {[]param{plain}, func(n *node, a []*node) (int, error) {
			name := a[0].text(nil)
			n.typ, n.long = Text, mostField
			n.text = func(r *Request) string { v, _ := r.Var(name); return v }
			return scan, nil
		}},
		"has": {[]param{plain}, func(n *node, a []*node) (int, error) {
			name := a[0].text(nil)
			n.typ = Bool
			n.bool = func(r *Request) bool { _, ok := r.Var(name); return ok }
			return scan, nil
		}},
		// arg is the first value of an argument of the query, among the first so many; nothing
		// where there is none, or it cannot be read.
		"arg": {[]param{plain}, func(n *node, a []*node) (int, error) {
			name := a[0].text(nil)
			n.typ, n.long, n.made = Text, mostMadeArg, mostMadeArg
			n.text = func(r *Request) string { return argument(r.Query, name) }
			return steps(mostField) + 8*mostArgs, nil
		}},
		// default is the first text, or the second where that is empty.
		"default": {[]param{text, text}, func(n *node, a []*node) (int, error) {
			n.typ, n.long = Text, max(a[0].long, a[1].long)
			n.text = func(r *Request) string { return cmp.Or(a[0].text(r), a[1].text(r)) }
			return 1, nil
		}},
		"lower": {[]param{text}, folded(strings.ToLower)},
		"upper": {[]param{text}, folded(strings.ToUpper)},
		// first is no more than so many bytes of a text.
		"first": {[]param{text, {Int, true}}, func(n *node, a []*node) (int, error) {
			most := a[1].int(nil)
			if most < 0 || most > mostField {
				return 0, wrong(a[1].at, "%d is not from 0 to %d", most, mostField)
			}
			n.typ, n.long = Text, min(int(most), a[0].long)
			n.text = func(r *Request) string { s := a[0].text(r); return s[:min(len(s), int(most))] }
			return 1, nil
		}},
		// part is the part of a text of that number, from 0, between separators; nothing where
		// there is none.
		"part": {[]param{text, plain, {Int, true}}, func(n *node, a []*node) (int, error) {
			sep, which := a[1].text(nil), a[2].int(nil)
			if sep == "" {
				return 0, wrong(a[1].at, "the separator is empty")
			}
			if which < 0 || which > 1000 {
				return 0, wrong(a[2].at, "%d is not from 0 to 1000", which)
			}
			n.typ, n.long = Text, a[0].long
			n.text = func(r *Request) string { return part(a[0].text(r), sep, int(which)) }
			return steps(a[0].long) + 2*int(which), nil
		}},
		"len": {[]param{text}, func(n *node, a []*node) (int, error) {
			n.typ, n.int = Int, func(r *Request) int64 { return int64(len(a[0].text(r))) }
			return 1, nil
		}},
		// number is what a text says, or the second value where it says none.
		"number": {[]param{text, count}, func(n *node, a []*node) (int, error) {
			n.typ = Int
			n.int = func(r *Request) int64 {
				s := a[0].text(r)
				if len(s) > 20 {
					return a[1].int(r)
				}
				if v, err := strconv.ParseInt(s, 10, 64); err == nil {
					return v
				}
				return a[1].int(r)
			}
			return 1, nil
		}},
		// bucket spreads texts over numbers from 0 to less than the second value, alike everywhere.
		"bucket": {[]param{text, {Int, true}}, func(n *node, a []*node) (int, error) {
			most := a[1].int(nil)
			if most < 1 || most > 1_000_000 {
				return 0, wrong(a[1].at, "%d is not from 1 to 1000000", most)
			}
			n.typ, n.int = Int, func(r *Request) int64 { return int64(xxhash.Sum64String(a[0].text(r)) % uint64(most)) }
			return steps(a[0].long), nil
		}},
		"known": {[]param{{typ: Addr}}, func(n *node, a []*node) (int, error) {
			n.typ, n.bool = Bool, func(r *Request) bool { return a[0].addr(r).IsValid() }
			return 1, nil
		}},
	}
}

const (
	scan        = 16 // steps to find a variable among the most that there can be
	mostMadeArg = 1024
	mostArgs    = 256 // arguments of a query that are looked at
)

// folded makes a text of another case. It makes no more than MostMade bytes: what is longer stays
// as it is, and equals none.
func folded(fold func(string) string) func(*node, []*node) (int, error) {
	return func(n *node, a []*node) (int, error) {
		n.typ, n.long = Text, a[0].long
		n.made = min(a[0].long, mostFold)
		n.text = func(r *Request) string {
			if s := a[0].text(r); len(s) <= mostFold {
				return fold(s)
			} else {
				return s
			}
		}
		return steps(mostFold), nil
	}
}

const mostFold = 512

func argument(query, name string) string {
	for n := 0; len(query) > 0 && n < mostArgs; n++ {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		// what is read of it is no longer than it
		if len(key) > 3*mostMadeArg || len(value) > mostMadeArg {
			continue
		}
		if k, err := url.QueryUnescape(key); err != nil || k != name {
			continue
		}
		if v, err := url.QueryUnescape(value); err == nil {
			return v
		}
		return ""
	}
	return ""
}

func part(s, sep string, which int) string {
	for ; ; which-- {
		head, tail, more := strings.Cut(s, sep)
		if which == 0 {
			return head
		}
		if !more {
			return ""
		}
		s = tail
	}
}

// orders are the comparisons, by what they hold for: below, alike, above.
var orders = map[string]*[3]bool{
	"==": {false, true, false},
	"!=": {true, false, true},
	"<":  {true, false, false},
	"<=": {true, true, false},
	">":  {false, false, true},
	">=": {false, true, true},
}

func inOrder(t token, a, b *node, holds *[3]bool) (*node, error) {
	if a.typ != b.typ {
		return nil, wrong(t.at, "%v is compared with %v", a.typ, b.typ)
	}
	n := &node{at: t.at, typ: Bool}
	switch a.typ {
	case Int:
		n.bool = func(r *Request) bool { return holds[1+cmp.Compare(a.int(r), b.int(r))] }
		return n.costs(1, a, b)
	case Text:
		n.bool = func(r *Request) bool { return holds[1+strings.Compare(a.text(r), b.text(r))] }
		return n.costs(steps(min(a.long, b.long)), a, b)
	}
	return nil, wrong(t.at, "%s does not compare %v", t.text, a.typ)
}

// searches are what is asked of two texts. The second of matches is a pattern.
var searches = map[string]func(s, of string) bool{
	"startswith": strings.HasPrefix,
	"endswith":   strings.HasSuffix,
	"contains":   strings.Contains,
	"matches":    nil,
}

func searchIn(t token, a, b *node, find func(s, of string) bool) (*node, error) {
	for _, side := range []*node{a, b} {
		if err := side.is(Text, "a side of "+strconv.Quote(t.text)); err != nil {
			return nil, err
		}
	}
	n := &node{at: t.at, typ: Bool}
	switch t.text {
	case "matches":
		if !b.fixed {
			return nil, wrong(b.at, "the pattern has to be written out")
		}
		pieces := strings.Split(b.text(nil), "*")
		n.bool = func(r *Request) bool { return matches(a.text(r), pieces) }
		// Each piece is looked for in what is left of the text, from left to right, and never
		// again.
		return n.costs(steps(a.long)+len(pieces), a, b)
	case "contains":
		if !b.fixed {
			return nil, wrong(b.at, "what it contains has to be written out")
		}
		n.bool = func(r *Request) bool { return find(a.text(r), b.text(r)) }
		return n.costs(steps(a.long), a, b)
	}
	n.bool = func(r *Request) bool { return find(a.text(r), b.text(r)) }
	return n.costs(steps(min(a.long, b.long)), a, b)
}

// matches tells whether a text is those pieces with anything in between. The first place of each
// piece is as good as a later one.
func matches(s string, pieces []string) bool {
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

// within tells whether an address is of a network. One that is not known is of none.
func within(t token, a, b *node) (*node, error) {
	if err := a.is(Addr, `what is "within"`); err != nil {
		return nil, err
	}
	if b.typ != Text || !b.fixed {
		return nil, wrong(b.at, "the network has to be written out, as a text")
	}
	net, err := netip.ParsePrefix(b.text(nil))
	if err != nil {
		return nil, wrong(b.at, "%q is no network, such as 10.0.0.0/8", b.text(nil))
	}
	if net != net.Masked() {
		return nil, wrong(b.at, "%v has bits behind its length: is %v meant?", net, net.Masked())
	}
	n := &node{at: t.at, typ: Bool, bool: func(r *Request) bool {
		addr := a.addr(r)
		return addr.IsValid() && net.Contains(addr.Unmap())
	}}
	return n.costs(2, a, b)
}

// plus adds numbers, which stay at their ends, or puts texts together.
func plus(t token, a, b *node) (*node, error) {
	if a.typ != b.typ || a.typ != Int && (a.typ != Text || t.text == "-") {
		return nil, wrong(t.at, "%s does not go with %v and %v", t.text, a.typ, b.typ)
	}
	n := &node{at: t.at, typ: a.typ}
	if a.typ == Text {
		n.long = min(a.long+b.long, math.MaxInt32)
		n.made = n.long
		n.text = func(r *Request) string { return a.text(r) + b.text(r) }
		return n.costs(steps(n.long), a, b)
	}
	n.int = func(r *Request) int64 {
		x, y := a.int(r), b.int(r)
		if t.text == "-" {
			if y == math.MinInt64 {
				y++
			}
			y = -y
		}
		switch s := x + y; {
		case x > 0 && y > 0 && s < 0:
			return math.MaxInt64
		case x < 0 && y < 0 && s >= 0:
			return math.MinInt64
		default:
			return s
		}
	}
	return n.costs(1, a, b)
}

// mostAmong is how long a list may be.
const mostAmong = 256

// among tells whether a value is one of a list.
func (p *parser) among(at int, a *node, not bool) (*node, error) {
	if a.typ != Int && a.typ != Text {
		return nil, wrong(a.at, "%v is in no list", a.typ)
	}
	if err := p.expect("["); err != nil {
		return nil, err
	}
	texts, numbers := map[string]bool{}, map[int64]bool{}
	for !p.takes("]") {
		if len(texts)+len(numbers) > 0 {
			if err := p.expect(","); err != nil {
				return nil, err
			}
		}
		b, err := p.value()
		if err != nil {
			return nil, err
		}
		switch {
		case !b.fixed || b.typ != a.typ:
			return nil, wrong(b.at, "the list is of %v each, written out", a.typ)
		case b.typ == Text && texts[b.text(nil)], b.typ == Int && numbers[b.int(nil)]:
			return nil, wrong(b.at, "it stands twice in the list")
		case len(texts)+len(numbers) >= mostAmong:
			return nil, wrong(b.at, "the list has more than %d", mostAmong)
		case b.typ == Text:
			texts[b.text(nil)] = true
		default:
			numbers[b.int(nil)] = true
		}
	}
	if len(texts)+len(numbers) == 0 {
		return nil, wrong(at, "the list is empty")
	}
	n := &node{at: at, typ: Bool}
	if a.typ == Int {
		n.bool = func(r *Request) bool { return numbers[a.int(r)] != not }
		return n.costs(2, a)
	}
	n.bool = func(r *Request) bool { return texts[a.text(r)] != not }
	return n.costs(steps(a.long), a)
}
