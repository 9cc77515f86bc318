package match

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// noRule is returned in place of the index of a rule if no rule applies.
const noRule = -1

// Rule selects the requests below a path prefix for which a condition holds.
type Rule struct {
	Prefix    string
	Condition *Expression // nil: all requests below the prefix
}

// RuleTable finds the rule that applies to a request. It is immutable.
type RuleTable struct {
	rules []Rule
	order []int // indexes into rules: longest prefix first, then as listed
	cost  int   // worst case of all conditions together, in steps
}

// NewRuleTable returns a table of the rules. It returns an *UnreachableRuleError for a rule that no
// request can reach, and an error if the costs of the conditions together exceed MaxCost.
func NewRuleTable(rules []Rule) (*RuleTable, error) {
	t := &RuleTable{rules: rules}
	unconditional := map[string]int{} // indexes of rules without a condition, by prefix
	for i, r := range rules {
		if before, ok := unconditional[r.Prefix]; ok {
			return nil, &UnreachableRuleError{Rule: i, Before: before}
		}
		if r.Condition == nil {
			unconditional[r.Prefix] = i
		} else {
			t.cost += r.Condition.Cost()
		}
		t.order = append(t.order, i)
	}
	if t.cost > MaxCost {
		return nil, fmt.Errorf(
			"the conditions together could cost %d steps for one request, more than the limit of %d",
			t.cost,
			MaxCost,
		)
	}
	slices.SortStableFunc(t.order, func(a, b int) int {
		return cmp.Compare(len(rules[b].Prefix), len(rules[a].Prefix)) // descending
	})
	return t, nil
}

// Matcher derives the tenant of a request and finds the rule that applies to it.
type Matcher struct {
	Rules            *RuleTable
	TenantExpression *Expression // derives the tenant; nil: TenantVariable holds it
	TenantVariable   string      // name of the request variable that holds the tenant
	DefaultTenant    string      // tenant of requests for which the expression or variable is empty
}

// Match sets the tenant of a request, which the conditions may use, and returns the index of the
// rule that applies, or -1 if none does.
func (m *Matcher) Match(r *Request) int {
	if m.TenantExpression != nil {
		r.Tenant = m.TenantExpression.Text(r)
	} else {
		r.Tenant, _ = r.Var(m.TenantVariable)
	}
	r.Tenant = cmp.Or(r.Tenant, m.DefaultTenant)
	return m.Rules.Find(r)
}

// Cost returns the worst-case cost of a rule's condition in steps.
func (t *RuleTable) Cost(rule int) int { return t.rules[rule].Condition.Cost() }

// UnreachableRuleError reports a rule that never applies, because an earlier rule with the same
// prefix and without a condition applies to all of its requests.
type UnreachableRuleError struct {
	Rule   int // index of the rule
	Before int // index of the earlier rule
}

// Error implements error.
func (e *UnreachableRuleError) Error() string {
	return fmt.Sprintf(
		"no request reaches this route: route no. %d, with the same path and without a condition, matches all of them",
		e.Before+1,
	)
}

// Find returns the index of the rule that applies to a request, or -1 if none does. Of the rules that
// match the request, the one with the longest prefix applies; of several such rules, the first.
func (t *RuleTable) Find(r *Request) int {
	for _, i := range t.order {
		if t.rules[i].matches(r) {
			return i
		}
	}
	return noRule
}

// matches reports whether a request is below the prefix and meets the condition.
func (r *Rule) matches(request *Request) bool {
	if !hasPathPrefix(request.Path, r.Prefix) {
		return false
	}
	return r.Condition == nil || r.Condition.Matches(request)
}

// hasPathPrefix reports whether path is prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return path == prefix || found && strings.HasPrefix(rest, "/")
}
