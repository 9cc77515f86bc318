// Package match implements a small typed expression language with which the operator's file selects
// requests and derives their tenant and idempotency key. An expression is compiled once and
// evaluated for each request. The language has no loops, so the worst-case cost of an expression is
// known when it is compiled: Compile rejects an expression that is ill-typed, refers to itself or
// could exceed MaxCost or MaxTextBytes. The package does no I/O.
//
//	school in ["north", "lindby"] and path startswith "/ops/exam" and length < 20000
//	var("HTTP_X_EXERCISE") matches "intro-*" or remote within "10.0.0.0/8"
//	lower(part(host, ".", 0))
package match

import (
	"fmt"
	"net/netip"
)

// Type is the result type of an expression.
type Type uint8

// Result types of expressions.
const (
	Bool Type = iota + 1
	Int
	Text
	Addr
)

// String returns the type as error messages name it, with an article.
func (t Type) String() string {
	return [...]string{"", "a condition", "a number", "a text", "an address"}[t]
}

// Request is the request that an expression is evaluated for.
type Request struct {
	Method, Path, Query, Host, Scheme string
	Tenant                            string // set by Matcher.Match
	// Remote is the address of the caller. It is invalid if unknown, as on a Unix socket.
	Remote netip.Addr
	Length int64 // bytes of the body; -1: not stated
	// Var returns the value of a request variable and whether the request has it.
	Var func(name string) (string, bool)
}

// Bounds of an expression.
const (
	// MaxCost is the largest worst-case cost of an expression in steps: one step for each operation,
	// and one for each 64 bytes of input that the operation reads. All inputs are assumed to have
	// their maximum length.
	MaxCost = 10_000
	// MaxTextBytes is the most text that one evaluation may allocate, in bytes.
	MaxTextBytes  = 4096
	maxFieldBytes = 32 << 10 // longest request field in bytes; frontends reject longer ones
	bytesPerStep  = 64
)

// Expression is a compiled expression. It is safe for concurrent use.
type Expression struct {
	source string
	root   *node
}

// Definitions maps names to the sources of named expressions, which other expressions may refer to.
type Definitions map[string]string

// Compile compiles an expression, whose result type has to be want. The expression may refer to the
// definitions. The unavailable fields have no value yet when the expression is evaluated, so using
// one of them is an error. All errors are *Error.
func Compile(source string, want Type, definitions Definitions, unavailable ...string) (*Expression, error) {
	p := newParser(definitions, unavailable)
	n, err := p.parseSource(source)
	if err != nil {
		return nil, err
	}
	if n.resultType != want {
		return nil, errorAt(n.offset, "it is %v, expected %v", n.resultType, want)
	}
	return &Expression{source: source, root: n}, nil
}

// CheckDefinition validates the name and the source of a definition, even if no expression uses it.
func CheckDefinition(name string, definitions Definitions) error {
	tokens, err := lex(name)
	switch {
	case err != nil || len(tokens) != 2 || tokens[0].kind != tokenName:
		return fmt.Errorf(
			"%q is not a valid name: a name consists of letters, digits and _ and is not an operator",
			name,
		)
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

// Cost returns the worst-case cost of the expression in steps.
func (e *Expression) Cost() int { return e.root.cost }

// Matches evaluates the expression as a condition. Its type has to be Bool.
func (e *Expression) Matches(r *Request) bool { return e.root.evalBool(r) }

// Text evaluates the expression to a text. Its type has to be Text.
func (e *Expression) Text(r *Request) string { return e.root.evalText(r) }
