package match

import (
	"math"
	"net/netip"
)

// node is a compiled part of an expression. The evaluation function of its result type is set.
type node struct {
	offset       int // byte of the source at which it begins
	resultType   Type
	cost         int  // steps in the worst case, with its operands
	maxLength    int  // bytes, if it is a text
	maxAllocated int  // bytes of text that are allocated, with its operands
	constant     bool // a literal: it may be evaluated without a request
	evalBool     func(*Request) bool
	evalInt      func(*Request) int64
	evalText     func(*Request) string
	evalAddr     func(*Request) netip.Addr
}

// withCost adds the costs of the operands to those of the node itself, and returns an error where
// the sum exceeds MaxCost or MaxTextBytes. A definition counts at each place where it is used.
func (n *node) withCost(own int, operands ...*node) (*node, error) {
	n.cost = own
	for _, operand := range operands {
		n.cost = min(n.cost+operand.cost, math.MaxInt32)
		n.maxAllocated = min(n.maxAllocated+operand.maxAllocated, math.MaxInt32)
	}
	if n.cost > MaxCost {
		return nil, errorAt(n.offset, "it could cost %d steps; %d is the most", n.cost, MaxCost)
	}
	if n.maxAllocated > MaxTextBytes {
		return nil, errorAt(
			n.offset,
			"it could make %d bytes of text; %d is the most",
			n.maxAllocated,
			MaxTextBytes,
		)
	}
	return n, nil
}

// expectType returns an error where the node has another type. what names the place in the error.
func (n *node) expectType(t Type, what string) error {
	if n.resultType != t {
		return errorAt(n.offset, "%s is %v; wanted is %v", what, n.resultType, t)
	}
	return nil
}

// scanCost returns the cost in steps of reading that many bytes.
func scanCost(bytes int) int { return 1 + bytes/bytesPerStep }

// textLiteral returns a node for a literal text.
func textLiteral(at int, s string) *node {
	return &node{
		offset:     at,
		resultType: Text,
		cost:       1,
		maxLength:  len(s),
		constant:   true,
		evalText:   func(*Request) string { return s },
	}
}

// intLiteral returns a node for a literal number.
func intLiteral(at int, v int64) *node {
	return &node{
		offset:     at,
		resultType: Int,
		cost:       1,
		constant:   true,
		evalInt:    func(*Request) int64 { return v },
	}
}
