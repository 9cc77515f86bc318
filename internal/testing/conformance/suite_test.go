package conformance

import (
	"slices"
	"testing"
)

// Each clause must have a case and each case a clause, and names of cases must be unique.
func TestClausesAndCases(t *testing.T) {
	cases, clauses, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	covered, named := map[string]bool{}, map[string]bool{}
	for _, c := range cases {
		if named[c.Name] || len(c.Clauses) == 0 {
			t.Errorf("case %q is defined twice or covers no clause", c.Name)
		}
		named[c.Name] = true
		for _, id := range c.Clauses {
			covered[id] = true
			if !slices.ContainsFunc(clauses, func(l Clause) bool { return l.ID == id }) {
				t.Errorf("case %q covers %s, which is not a clause", c.Name, id)
			}
		}
	}
	for _, l := range clauses {
		if !covered[l.ID] || l.Text == "" || l.Source == "" {
			t.Errorf("clause %s has no case, no text or no source", l.ID)
		}
	}
	t.Logf("%d cases, %d clauses", len(cases), len(clauses))
}

// check must find each kind of deviation from the wanted response, and none in the wanted one. A suite that
// cannot fail would prove nothing.
func TestWantFindsFaults(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		want Want
		got  string
	}{
		"status":    {Want{Status: 404}, ok},
		"body":      {Want{Status: 200, Body: "no"}, ok},
		"field":     {Want{Status: 200, Body: "ok", Fields: map[string]string{"A": "c"}}, ok},
		"absent":    {Want{Status: 200, Body: "ok", Absent: []string{"a"}}, ok},
		"interim":   {Want{Status: 200, Body: "ok", Interim: []int{100}}, ok},
		"cut":       {Want{Status: 200, Body: "o"}, ok[:len(ok)-1]},
		"behind":    {Want{Status: 200, Body: "ok"}, ok + "!"},
		"no answer": {Want{Status: 200}, ""},
		"bytes":     {Want{Bytes: "x"}, "y"},
	} {
		if c.want.check([]byte(c.got)) == nil {
			t.Errorf("%s: check() = nil, want an error", name)
		}
	}
	if err := (&Want{Status: 200, Body: "ok", Fields: map[string]string{"a": "b"}}).check(
		[]byte(ok),
	); err != nil {
		t.Error(err)
	}
}
