// Package match implements a small typed expression language with which the operator's file selects
// requests and derives their tenant and idempotency key. An expression is compiled once. The
// language has no loops, so that the worst cost of an expression is known when it is compiled: one
// that is ill-typed, refers to itself or could exceed its bounds is rejected there. The package
// does no I/O.
//
//	school in ["north", "lindby"] and path startswith "/ops/exam" and length < 20000
//	var("HTTP_X_EXERCISE") matches "intro-*" or remote within "10.0.0.0/8"
//	lower(part(host, ".", 0))
package match

import (
	"fmt"
	"net/netip"
)

// Type is the type of a value.
type Type uint8

// Types of values.
const (
	Bool Type = iota + 1
	Int
	Text
	Addr
)

// String returns the type as error texts name it.
func (t Type) String() string {
	return [...]string{"", "a condition", "a number", "a text", "an address"}[t]
}

// Request is the request that an expression is evaluated for.
type Request struct {
	Method, Path, Query, Host, Scheme string
	School                            string // tenant; set by Matcher.Match
	// address of the caller; invalid: unknown, as on a Unix socket
	Remote netip.Addr
	Length int64 // bytes of the body; -1: not stated
	// Var returns the value of a request variable and whether the request has it.
	Var func(name string) (string, bool)
}

// Bounds of an expression.
const (
	// MaxCost is the largest worst-case cost of an expression in steps: one for each operation, and
	// one for each 64 bytes that it reads of inputs of the greatest length.
	MaxCost = 10_000
	// MaxTextBytes is the most text that one evaluation may allocate, in bytes.
	MaxTextBytes  = 4096
	maxFieldBytes = 32 << 10 // bytes of a request field; frontends accept no longer ones
	bytesPerStep  = 64
)

// Expression is a compiled expression. It is safe for concurrent use.
type Expression struct {
	source string
	root   *node
}

// Definitions maps names to the sources of expressions that other expressions may use by name.
type Definitions map[string]string

// Compile compiles an expression that has to have the type want. It may use the given definitions.
// The unavailable fields are not known yet where the expression is evaluated, and using one is an
// error. All errors are *Error.
func Compile(source string, want Type, definitions Definitions, unavailable ...string) (*Expression, error) {
	p := newParser(definitions, unavailable)
	n, err := p.parseSource(source)
	if err != nil {
		return nil, err
	}
	if n.resultType != want {
		return nil, errorAt(n.offset, "it is %v; wanted is %v", n.resultType, want)
	}
	return &Expression{source: source, root: n}, nil
}

// CheckDefinition returns what is wrong with the name and the source of a definition, whether or
// not an expression uses it.
func CheckDefinition(name string, definitions Definitions) error {
	tokens, err := lex(name)
	switch {
	case err != nil || len(tokens) != 2 || tokens[0].kind != tokenName:
		return fmt.Errorf("%q is no name: letters, digits and _, and none of the operators", name)
	case fields[name] != nil:
		return fmt.Errorf("%s is a field of requests", name)
	}
	p := newParser(definitions, nil)
	p.expanding[name] = true
	_, err = p.parseSource(definitions[name])
	return err
}

// String returns the source of the expression.
func (e *Expression) String() string { return e.source }

// Cost returns the worst-case cost in steps.
func (e *Expression) Cost() int { return e.root.cost }

// Matches evaluates a condition. The expression has to be of type Bool.
func (e *Expression) Matches(r *Request) bool { return e.root.evalBool(r) }

// Text evaluates a text. The expression has to be of type Text.
func (e *Expression) Text(r *Request) string { return e.root.evalText(r) }
