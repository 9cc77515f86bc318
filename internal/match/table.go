package match

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Rule leads requests to a route: those below a prefix for which a condition holds.
type Rule struct {
	Prefix string
	When   *Expr // nil: all of them
}

// Table finds the rule of a request.
type Table struct {
	rules []Rule
	order []int // of the rules: longer prefixes first, and those of one prefix as they stand
	cost  int
}

// NewTable puts rules together. It refuses one that no request can come to.
func NewTable(rules []Rule) (*Table, error) {
	t := &Table{rules: rules}
	all := map[string]int{} // rules without a condition, by prefix
	for i, r := range rules {
		if before, ok := all[r.Prefix]; ok {
			return nil, &Unreached{i, before}
		}
		if r.When == nil {
			all[r.Prefix] = i
		} else {
			t.cost += r.When.Cost()
		}
		t.order = append(t.order, i)
	}
	if t.cost > MostCost {
		return nil, fmt.Errorf(
			"the conditions together could cost %d steps for one request; %d is the most",
			t.cost,
			MostCost,
		)
	}
	slices.SortStableFunc(t.order, func(a, b int) int { return len(rules[b].Prefix) - len(rules[a].Prefix) })
	return t, nil
}

// Lead is how requests are led: whose they are, and to which rule.
type Lead struct {
	Table   *Table
	School  *Expr  // nil: the variable says it
	Var     string // the variable
	Default string // where neither says one
}

// Of finds a request's school, which the rules may go by, and the number of its rule; -1: it has
// none.
func (l *Lead) Of(r *Request) int {
	if l.School != nil {
		r.School = l.School.Text(r)
	} else {
		r.School, _ = r.Var(l.Var)
	}
	r.School = cmp.Or(r.School, l.Default)
	return l.Table.Find(r)
}

// Cost is what the condition of a rule costs at worst, in steps.
func (t *Table) Cost(rule int) int { return t.rules[rule].When.Cost() }

// Unreached is that of a rule behind one that takes all of its prefix.
type Unreached struct{ Rule, Behind int }

func (u *Unreached) Error() string {
	return fmt.Sprintf(
		"no request comes to it: the one of the same path before it, no. %d, takes all",
		u.Behind+1,
	)
}

// Find is the number of a request's rule; -1: it has none. The longest prefix counts of which a
// rule holds.
func (t *Table) Find(r *Request) int {
	for _, i := range t.order {
		if rule := &t.rules[i]; below(r.Path, rule.Prefix) && (rule.When == nil || rule.When.Holds(r)) {
			return i
		}
	}
	return -1
}

func below(path, prefix string) bool {
	stem := strings.TrimSuffix(prefix, "/")
	return path == prefix || len(path) > len(stem) && path[len(stem)] == '/' && path[:len(stem)] == stem
}
