package match

import (
	"fmt"
	"slices"
)

// parser is a recursive-descent parser that type-checks and compiles as it reads. The operators in
// the order of increasing precedence are: or, and, not, comparisons, + and -.
type parser struct {
	definitions Definitions
	unavailable []string         // fields that may not be used
	compiled    map[string]*node // definitions that were compiled already
	expanding   map[string]bool  // definitions that are being compiled, to detect cycles
	tokens      []token          // not consumed yet
	depth       int              // current level of nesting, which enter counts
}

// newParser returns a parser without a source; parseSource gives it one.
func newParser(definitions Definitions, unavailable []string) *parser {
	return &parser{
		definitions: definitions,
		unavailable: unavailable,
		compiled:    map[string]*node{},
		expanding:   map[string]bool{},
	}
}

// parseSource compiles a whole source. It leaves the tokens of p as they are, so that a definition
// can be compiled in the middle of another source.
func (p *parser) parseSource(source string) (*node, error) {
	tokens, err := lex(source)
	if err != nil {
		return nil, err
	}
	inner := *p
	inner.tokens = tokens
	n, err := inner.parseOr()
	if err != nil {
		return nil, err
	}
	if t := inner.peek(); t.kind != tokenEnd {
		return nil, errorAt(t.offset, "unexpected %v after the expression", t)
	}
	return n, nil
}

// peek returns the next token without consuming it.
func (p *parser) peek() token { return p.tokens[0] }

// next consumes the next token. tokenEnd is never consumed.
func (p *parser) next() token {
	t := p.tokens[0]
	if t.kind != tokenEnd {
		p.tokens = p.tokens[1:]
	}
	return t
}

// accept consumes the next token if it is the given operator, and reports whether it did.
func (p *parser) accept(operator string) bool {
	if t := p.peek(); t.kind == tokenOperator && t.text == operator {
		p.next()
		return true
	}
	return false
}

// expect consumes the next token if it is the given operator, and returns an error otherwise.
func (p *parser) expect(operator string) error {
	if !p.accept(operator) {
		return errorAt(p.peek().offset, "found %v, expected %q", p.peek(), operator)
	}
	return nil
}

// enter counts one more level of nesting, and returns an error if there are more than maxDepth. The
// caller has to decrement depth when it leaves the level.
func (p *parser) enter(offset int) error {
	if p.depth++; p.depth > maxDepth {
		return errorAt(offset, "the expression is nested more than %d levels deep", maxDepth)
	}
	return nil
}

// parseOr parses conditions that are joined by or.
func (p *parser) parseOr() (*node, error) {
	return p.parseLogic("or", p.parseAnd, func(a, b *node) func(*Request) bool {
		return func(r *Request) bool { return a.evalBool(r) || b.evalBool(r) }
	})
}

// parseAnd parses conditions that are joined by and.
func (p *parser) parseAnd() (*node, error) {
	return p.parseLogic("and", p.parseNot, func(a, b *node) func(*Request) bool {
		return func(r *Request) bool { return a.evalBool(r) && b.evalBool(r) }
	})
}

// parseLogic parses operands that are joined by a logical operator.
func (p *parser) parseLogic(
	operator string,
	operand func() (*node, error),
	join func(a, b *node) func(*Request) bool,
) (*node, error) {
	a, err := operand()
	if err != nil {
		return nil, err
	}
	for p.peek().kind == tokenOperator && p.peek().text == operator {
		offset := p.next().offset
		b, err := operand()
		if err != nil {
			return nil, err
		}
		for _, side := range []*node{a, b} {
			if err := side.expectType(Bool, fmt.Sprintf("a side of %q", operator)); err != nil {
				return nil, err
			}
		}
		n := &node{offset: offset, resultType: Bool, evalBool: join(a, b)}
		if a, err = n.withCost(1, a, b); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// parseNot parses a condition that may be negated.
func (p *parser) parseNot() (*node, error) {
	if t := p.peek(); p.accept("not") {
		if err := p.enter(t.offset); err != nil {
			return nil, err
		}
		defer func() { p.depth-- }()
		a, err := p.parseNot()
		if err != nil {
			return nil, err
		}
		if err := a.expectType(Bool, `the operand of "not"`); err != nil {
			return nil, err
		}
		negation := &node{
			offset:     t.offset,
			resultType: Bool,
			evalBool:   func(r *Request) bool { return !a.evalBool(r) },
		}
		return negation.withCost(1, a)
	}
	return p.parseComparison()
}

// parseComparison parses a value, or two values with a comparison operator between them.
func (p *parser) parseComparison() (*node, error) {
	a, err := p.parseSum()
	if err != nil {
		return nil, err
	}
	t := p.peek()
	if t.kind != tokenOperator {
		return a, nil
	}
	switch t.text {
	case "in":
		p.next()
		return p.parseMembership(t.offset, a, false)
	case "not":
		p.next()
		if !p.accept("in") {
			return nil, errorAt(p.peek().offset, `found %v, expected "in"`, p.peek())
		}
		return p.parseMembership(t.offset, a, true)
	}
	operator, isComparison := comparisons[t.text]
	search, isSearch := textSearches[t.text]
	if !isComparison && !isSearch && t.text != "within" {
		return a, nil
	}
	p.next()
	b, err := p.parseSum()
	if err != nil {
		return nil, err
	}
	var n *node
	switch {
	case t.text == "within":
		n, err = withinNetwork(t, a, b)
	case isSearch:
		n, err = searchText(t, a, b, search)
	default:
		n, err = compareValues(t, a, b, operator)
	}
	if err != nil {
		return nil, err
	}
	if after := p.peek(); after.kind == tokenOperator && comparisons[after.text] != nil {
		return nil, errorAt(after.offset, "two comparisons in a row: join them with and")
	}
	return n, nil
}

// parseSum parses values that are joined by + or -.
func (p *parser) parseSum() (*node, error) {
	a, err := p.parseValue()
	if err != nil {
		return nil, err
	}
	for p.peek().kind == tokenOperator && (p.peek().text == "+" || p.peek().text == "-") {
		t := p.next()
		b, err := p.parseValue()
		if err != nil {
			return nil, err
		}
		if a, err = addValues(t, a, b); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// parseValue parses a literal, a name, a function call or an expression in parentheses.
func (p *parser) parseValue() (*node, error) {
	t := p.next()
	if err := p.enter(t.offset); err != nil {
		return nil, err
	}
	defer func() { p.depth-- }()
	switch {
	case t.kind == tokenText:
		return textLiteral(t.offset, t.text), nil
	case t.kind == tokenNumber:
		return intLiteral(t.offset, t.number), nil
	case t.kind == tokenOperator && t.text == "-":
		if n := p.next(); n.kind == tokenNumber {
			return intLiteral(t.offset, -n.number), nil
		}
		return nil, errorAt(t.offset, "a minus has to precede a number literal or join two values")
	case t.kind == tokenOperator && t.text == "(":
		n, err := p.parseOr()
		if err != nil {
			return nil, err
		}
		return n, p.expect(")")
	case t.kind == tokenName && p.accept("("):
		return p.parseCall(t)
	case t.kind == tokenName:
		return p.parseName(t)
	}
	return nil, errorAt(t.offset, "found %v, expected a value", t)
}

// parseName resolves a name to a field or a definition. A definition is compiled once, and its cost
// counts each time it is used.
func (p *parser) parseName(t token) (*node, error) {
	if f, ok := fields[t.text]; ok {
		if slices.Contains(p.unavailable, t.text) {
			return nil, errorAt(t.offset, "%s has no value yet at this point", t.text)
		}
		n := *f
		n.offset = t.offset
		return &n, nil
	}
	if n := p.compiled[t.text]; n != nil {
		return n, nil
	}
	text, ok := p.definitions[t.text]
	if !ok {
		return nil, errorAt(t.offset, "there is no field and no expression named %s", t.text)
	}
	if p.expanding[t.text] {
		return nil, errorAt(t.offset, "%s refers to itself", t.text)
	}
	p.expanding[t.text] = true
	defer delete(p.expanding, t.text)
	n, err := p.parseSource(text)
	if err != nil {
		return nil, errorAt(t.offset, "in %s: %v", t.text, err)
	}
	p.compiled[t.text] = n
	return n, nil
}

// parseCall parses the arguments of a function up to the closing parenthesis, and compiles the call.
func (p *parser) parseCall(t token) (*node, error) {
	f, ok := lookUpFunction(t.text)
	if !ok {
		return nil, errorAt(t.offset, "there is no function named %s", t.text)
	}
	var arguments []*node
	for !p.accept(")") {
		if len(arguments) > 0 {
			if err := p.expect(","); err != nil {
				return nil, err
			}
		}
		if len(arguments) == len(f.parameters) {
			return nil, errorAt(p.peek().offset, "%s takes only %d argument(s)", t.text, len(f.parameters))
		}
		a, err := p.parseOr()
		if err != nil {
			return nil, err
		}
		want := f.parameters[len(arguments)]
		place := fmt.Sprintf("argument %d of %s", len(arguments)+1, t.text)
		if err := a.expectType(want.resultType, place); err != nil {
			return nil, err
		}
		if want.constant && !a.constant {
			return nil, errorAt(a.offset, "%s has to be a literal", place)
		}
		arguments = append(arguments, a)
	}
	if len(arguments) < len(f.parameters) {
		return nil, errorAt(
			t.offset,
			"%s takes %d argument(s), got %d",
			t.text,
			len(f.parameters),
			len(arguments),
		)
	}
	n := &node{offset: t.offset}
	own, err := f.build(n, arguments)
	if err != nil {
		return nil, err
	}
	return n.withCost(own, arguments...)
}
