package match

// Bounds and costs of lists.
const (
	maxListLength  = 256 // values
	numberListCost = 2   // steps to look up a number
)

// listValues are the values of a list literal, all of one type.
type listValues struct {
	texts   map[string]bool
	numbers map[int64]bool
}

// len returns the number of values.
func (l *listValues) len() int { return len(l.texts) + len(l.numbers) }

// contains reports whether the list contains the value of a literal.
func (l *listValues) contains(literal *node) bool {
	if literal.resultType == Text {
		return l.texts[literal.evalText(nil)]
	}
	return l.numbers[literal.evalInt(nil)]
}

// add adds the value of a literal to the list.
func (l *listValues) add(literal *node) {
	if literal.resultType == Text {
		l.texts[literal.evalText(nil)] = true
	} else {
		l.numbers[literal.evalInt(nil)] = true
	}
}

// parseMembership parses the list that follows the operator "in" or "not in", and compiles the test
// whether the list contains the value of a.
func (p *parser) parseMembership(offset int, a *node, negated bool) (*node, error) {
	if a.resultType != Int && a.resultType != Text {
		return nil, errorAt(a.offset, "%v cannot be looked up in a list", a.resultType)
	}
	list, err := p.parseList(a.resultType)
	if err != nil {
		return nil, err
	}
	if list.len() == 0 {
		return nil, errorAt(offset, "the list is empty")
	}
	n := &node{offset: offset, resultType: Bool}
	if a.resultType == Int {
		n.evalBool = func(r *Request) bool { return list.numbers[a.evalInt(r)] != negated }
		return n.withCost(numberListCost, a)
	}
	n.evalBool = func(r *Request) bool { return list.texts[a.evalText(r)] != negated }
	return n.withCost(scanCost(a.maxLength), a)
}

// parseList parses a list of literals of one type, in square brackets.
func (p *parser) parseList(valueType Type) (*listValues, error) {
	if err := p.expect("["); err != nil {
		return nil, err
	}
	list := &listValues{texts: map[string]bool{}, numbers: map[int64]bool{}}
	for !p.accept("]") {
		if list.len() > 0 {
			if err := p.expect(","); err != nil {
				return nil, err
			}
		}
		b, err := p.parseValue()
		if err != nil {
			return nil, err
		}
		switch {
		case !b.constant || b.resultType != valueType:
			return nil, errorAt(b.offset, "each value of the list has to be %v, as a literal", valueType)
		case list.contains(b):
			return nil, errorAt(b.offset, "the list contains this value twice")
		case list.len() >= maxListLength:
			return nil, errorAt(b.offset, "the list has more than %d values", maxListLength)
		}
		list.add(b)
	}
	return list, nil
}
