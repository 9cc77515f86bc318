// Package match is a small typed language in which the operator's file says which requests are
// meant, and what their schools and keys are. An expression is compiled once. It has no loops, and
// its worst cost is known then: one that is ill-typed, stands for itself, or could cost more than
// its bound never gets to see a request. It is free of I/O.
//
//	school in ["north", "lindby"] and path startswith "/ops/exam" and length < 20000
//	var("HTTP_X_EXERCISE") matches "intro-*" or remote within "10.0.0.0/8"
//	lower(part(host, ".", 0))
package match

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
)

// Type is that of a value.
type Type uint8

// The types.
const (
	Bool Type = iota + 1
	Int
	Text
	Addr
)

func (t Type) String() string {
	return [...]string{"", "a condition", "a number", "a text", "an address"}[t]
}

// Request is what expressions look at. Var gives the value of a variable, and whether there is one.
type Request struct {
	Method, Path, Query, Host, Scheme, School string
	Remote                                    netip.Addr // not valid: unknown, as on a unix socket
	Length                                    int64      // of the body; -1: not stated
	Var                                       func(name string) (string, bool)
}

// Bounds of what an expression may come to.
const (
	// MostCost is the most that one may cost, in steps: one for each operation, and one for each 64
	// bytes that it looks at, all of them as long as they can be.
	MostCost = 10_000
	// MostMade is how many bytes of text one may make.
	MostMade  = 4096
	mostField = 32 << 10 // bytes of a field; fronts take no longer ones
	perStep   = 64
)

// Expr is an expression that was compiled. It may be used by several goroutines.
type Expr struct {
	text string
	node *node
}

// node is a part of an expression. One of the functions stands, by its type.
type node struct {
	at    int
	typ   Type
	cost  int // at worst, with all that it is made of
	long  int // bytes, of a text
	made  int // bytes that are made for it, with all that it is made of
	fixed bool
	bool  func(*Request) bool
	int   func(*Request) int64
	text  func(*Request) string
	addr  func(*Request) netip.Addr
}

// Names are expressions that others may use by name, as they were written.
type Names map[string]string

// Compile reads an expression that comes to a type. Errors are *Error, and of the names that it
// uses tell which. without are fields that are not known yet where it is used.
func Compile(text string, want Type, names Names, without ...string) (*Expr, error) {
	p := &parser{names: names, without: without, done: map[string]*node{}, busy: map[string]bool{}}
	n, err := p.whole(text)
	if err != nil {
		return nil, err
	}
	if n.typ != want {
		return nil, wrong(n.at, "it is %v; wanted is %v", n.typ, want)
	}
	return &Expr{text, n}, nil
}

// CheckName reports what is wrong with one of the names and what it stands for, whether or not
// anybody uses it.
func CheckName(name string, names Names) error {
	toks, err := lex(name)
	switch {
	case err != nil || len(toks) != 2 || toks[0].kind != tokName:
		return fmt.Errorf("%q is no name: letters, digits and _, and none of the operators", name)
	case fields[name] != nil:
		return fmt.Errorf("%s is a field of requests", name)
	}
	p := &parser{names: names, done: map[string]*node{}, busy: map[string]bool{name: true}}
	_, err = p.whole(names[name])
	return err
}

// String is the expression as it was written.
func (e *Expr) String() string { return e.text }

// Cost is what it costs at worst, in steps.
func (e *Expr) Cost() int { return e.node.cost }

// Holds tells whether a condition does for a request.
func (e *Expr) Holds(r *Request) bool { return e.node.bool(r) }

// Text is what a text comes to.
func (e *Expr) Text(r *Request) string { return e.node.text(r) }

// steps is what looking at so many bytes costs.
func steps(bytes int) int { return 1 + bytes/perStep }

// costs adds up what a node is made of, and refuses what comes to too much. Named ones count as
// often as they stand.
func (n *node) costs(own int, parts ...*node) (*node, error) {
	n.cost = own
	for _, p := range parts {
		n.cost = min(n.cost+p.cost, math.MaxInt32)
		n.made = min(n.made+p.made, math.MaxInt32)
	}
	if n.cost > MostCost {
		return nil, wrong(n.at, "it could cost %d steps; %d is the most", n.cost, MostCost)
	}
	if n.made > MostMade {
		return nil, wrong(n.at, "it could make %d bytes of text; %d is the most", n.made, MostMade)
	}
	return n, nil
}

func (n *node) is(t Type, what string) error {
	if n.typ != t {
		return wrong(n.at, "%s is %v; wanted is %v", what, n.typ, t)
	}
	return nil
}

type parser struct {
	names   Names
	without []string
	done    map[string]*node
	busy    map[string]bool // that are being read: one of them that is used stands for itself
	toks    []token
	deep    int
}

// whole reads an expression from its first word to its last.
func (p *parser) whole(text string) (*node, error) {
	toks, err := lex(text)
	if err != nil {
		return nil, err
	}
	inner := &parser{names: p.names, without: p.without, done: p.done, busy: p.busy, toks: toks, deep: p.deep}
	n, err := inner.or()
	if err != nil {
		return nil, err
	}
	if t := inner.peek(); t.kind != tokEnd {
		return nil, wrong(t.at, "%v follows a whole expression", t)
	}
	return n, nil
}

func (p *parser) peek() token { return p.toks[0] }

func (p *parser) next() token {
	t := p.toks[0]
	if t.kind != tokEnd {
		p.toks = p.toks[1:]
	}
	return t
}

// takes moves on if the next word is that one.
func (p *parser) takes(sign string) bool {
	if t := p.peek(); t.kind == tokSign && t.text == sign {
		p.next()
		return true
	}
	return false
}

func (p *parser) expect(sign string) error {
	if !p.takes(sign) {
		return wrong(p.peek().at, "%v stands where %q is missing", p.peek(), sign)
	}
	return nil
}

func (p *parser) enter(at int) error {
	if p.deep++; p.deep > mostDeep {
		return wrong(at, "it is more than %d deep", mostDeep)
	}
	return nil
}

func (p *parser) or() (*node, error) {
	return p.logic("or", p.and, func(a, b *node) func(*Request) bool {
		return func(r *Request) bool { return a.bool(r) || b.bool(r) }
	})
}

func (p *parser) and() (*node, error) {
	return p.logic("and", p.not, func(a, b *node) func(*Request) bool {
		return func(r *Request) bool { return a.bool(r) && b.bool(r) }
	})
}

func (p *parser) logic(
	sign string,
	part func() (*node, error),
	join func(a, b *node) func(*Request) bool,
) (*node, error) {
	a, err := part()
	if err != nil {
		return nil, err
	}
	for p.peek().kind == tokSign && p.peek().text == sign {
		at := p.next().at
		b, err := part()
		if err != nil {
			return nil, err
		}
		for _, side := range []*node{a, b} {
			if err := side.is(Bool, fmt.Sprintf("a side of %q", sign)); err != nil {
				return nil, err
			}
		}
		n := &node{at: at, typ: Bool, bool: join(a, b)}
		if a, err = n.costs(1, a, b); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (p *parser) not() (*node, error) {
	if t := p.peek(); p.takes("not") {
		if err := p.enter(t.at); err != nil {
			return nil, err
		}
		defer func() { p.deep-- }()
		a, err := p.not()
		if err != nil {
			return nil, err
		}
		if err := a.is(Bool, `what follows "not"`); err != nil {
			return nil, err
		}
		return (&node{at: t.at, typ: Bool, bool: func(r *Request) bool { return !a.bool(r) }}).costs(1, a)
	}
	return p.compare()
}

func (p *parser) compare() (*node, error) {
	a, err := p.sum()
	if err != nil {
		return nil, err
	}
	t := p.peek()
	if t.kind != tokSign {
		return a, nil
	}
	switch t.text {
	case "in":
		p.next()
		return p.among(t.at, a, false)
	case "not":
		p.next()
		if !p.takes("in") {
			return nil, wrong(p.peek().at, `%v stands where "in" is missing`, p.peek())
		}
		return p.among(t.at, a, true)
	}
	ordered, equal := orders[t.text]
	search, found := searches[t.text]
	if !equal && !found && t.text != "within" {
		return a, nil
	}
	p.next()
	b, err := p.sum()
	if err != nil {
		return nil, err
	}
	var n *node
	switch {
	case t.text == "within":
		n, err = within(t, a, b)
	case found:
		n, err = searchIn(t, a, b, search)
	default:
		n, err = inOrder(t, a, b, ordered)
	}
	if err != nil {
		return nil, err
	}
	if after := p.peek(); after.kind == tokSign && orders[after.text] != nil {
		return nil, wrong(after.at, "two comparisons in a row: join them with and")
	}
	return n, nil
}

func (p *parser) sum() (*node, error) {
	a, err := p.value()
	if err != nil {
		return nil, err
	}
	for p.peek().kind == tokSign && (p.peek().text == "+" || p.peek().text == "-") {
		t := p.next()
		b, err := p.value()
		if err != nil {
			return nil, err
		}
		if a, err = plus(t, a, b); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (p *parser) value() (*node, error) {
	t := p.next()
	if err := p.enter(t.at); err != nil {
		return nil, err
	}
	defer func() { p.deep-- }()
	switch {
	case t.kind == tokText:
		return constant(t.at, t.text), nil
	case t.kind == tokNumber:
		return number(t.at, t.n), nil
	case t.kind == tokSign && t.text == "-":
		if n := p.next(); n.kind == tokNumber {
			return number(t.at, -n.n), nil
		}
		return nil, wrong(t.at, "a minus stands before a number, or between two")
	case t.kind == tokSign && t.text == "(":
		n, err := p.or()
		if err != nil {
			return nil, err
		}
		return n, p.expect(")")
	case t.kind == tokName && p.takes("("):
		return p.call(t)
	case t.kind == tokName:
		return p.named(t)
	}
	return nil, wrong(t.at, "%v stands where a value is missing", t)
}

// named is a field, or an expression of that name. Each is read once, and costs what it costs
// wherever it stands.
func (p *parser) named(t token) (*node, error) {
	if f, ok := fields[t.text]; ok {
		if slices.Contains(p.without, t.text) {
			return nil, wrong(t.at, "%s is not known yet here", t.text)
		}
		n := *f
		n.at = t.at
		return &n, nil
	}
	if n := p.done[t.text]; n != nil {
		return n, nil
	}
	text, ok := p.names[t.text]
	if !ok {
		return nil, wrong(t.at, "there is no field and no expression named %s", t.text)
	}
	if p.busy[t.text] {
		return nil, wrong(t.at, "%s stands for itself", t.text)
	}
	p.busy[t.text] = true
	defer delete(p.busy, t.text)
	n, err := p.whole(text)
	if err != nil {
		return nil, wrong(t.at, "in %s: %v", t.text, err)
	}
	p.done[t.text] = n
	return n, nil
}

// call is a function with its arguments.
func (p *parser) call(t token) (*node, error) {
	f, ok := functions[t.text]
	if !ok {
		return nil, wrong(t.at, "there is no function %s", t.text)
	}
	var args []*node
	for !p.takes(")") {
		if len(args) > 0 {
			if err := p.expect(","); err != nil {
				return nil, err
			}
		}
		if len(args) == len(f.args) {
			return nil, wrong(p.peek().at, "%s takes %d values", t.text, len(f.args))
		}
		a, err := p.or()
		if err != nil {
			return nil, err
		}
		want := f.args[len(args)]
		if err := a.is(want.typ, fmt.Sprintf("value %d of %s", len(args)+1, t.text)); err != nil {
			return nil, err
		}
		if want.fixed && !a.fixed {
			return nil, wrong(a.at, "value %d of %s has to be written out", len(args)+1, t.text)
		}
		args = append(args, a)
	}
	if len(args) < len(f.args) {
		return nil, wrong(t.at, "%s takes %d values, and has %d", t.text, len(f.args), len(args))
	}
	n := &node{at: t.at}
	own, err := f.make(n, args)
	if err != nil {
		return nil, err
	}
	return n.costs(own, args...)
}
