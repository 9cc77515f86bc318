package match

import (
	"math"
	"net/netip"
)

// node is a compiled subexpression. Of its evaluation functions only that of its result type is set.
type node struct {
	offset       int // in the source in bytes; of an infix operator, where the operator begins
	resultType   Type
	cost         int  // worst case in steps, including the operands
	maxLength    int  // of the result in bytes, if it is a text
	maxAllocated int  // bytes of text that an evaluation allocates, including the operands
	constant     bool // a literal, which can be evaluated with a nil request
	evalBool     func(*Request) bool
	evalInt      func(*Request) int64
	evalText     func(*Request) string
	evalAddr     func(*Request) netip.Addr
}

// withCost sets the cost of the node to its own steps plus the costs of its operands, and adds the
// text that the operands allocate. It returns an error if a sum exceeds MaxCost or MaxTextBytes. A
// definition counts each time it is used.
func (n *node) withCost(own int, operands ...*node) (*node, error) {
	n.cost = own
	for _, operand := range operands {
		n.cost = min(n.cost+operand.cost, math.MaxInt32)
		n.maxAllocated = min(n.maxAllocated+operand.maxAllocated, math.MaxInt32)
	}
	if n.cost > MaxCost {
		return nil, errorAt(n.offset, "the expression could cost %d steps, more than the limit of %d", n.cost, MaxCost)
	}
	if n.maxAllocated > MaxTextBytes {
		return nil, errorAt(
			n.offset,
			"the expression could allocate %d bytes of text, more than the limit of %d",
			n.maxAllocated,
			MaxTextBytes,
		)
	}
	return n, nil
}

// expectType returns an error if the type of the node is not t. what describes the node in the error
// message.
func (n *node) expectType(t Type, what string) error {
	if n.resultType != t {
		return errorAt(n.offset, "%s is %v, expected %v", what, n.resultType, t)
	}
	return nil
}

// scanCost returns the cost in steps of reading a text of the given length in bytes.
func scanCost(bytes int) int { return 1 + bytes/bytesPerStep }

// textLiteral returns a node for a text literal at an offset in the source.
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

// intLiteral returns a node for a number literal at an offset in the source.
func intLiteral(at int, v int64) *node {
	return &node{
		offset:     at,
		resultType: Int,
		cost:       1,
		constant:   true,
		evalInt:    func(*Request) int64 { return v },
	}
}
