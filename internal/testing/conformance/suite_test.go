package conformance

import (
	"slices"
	"testing"
)

// Each clause has a case, each case has a clause, and no two cases have one name.
func TestClausesAndCases(t *testing.T) {
	cases, clauses, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	shown, named := map[string]bool{}, map[string]bool{}
	for _, c := range cases {
		if named[c.Name] || len(c.Clauses) == 0 {
			t.Errorf("case %q stands twice or shows nothing", c.Name)
		}
		named[c.Name] = true
		for _, id := range c.Clauses {
			shown[id] = true
			if !slices.ContainsFunc(clauses, func(l Clause) bool { return l.ID == id }) {
				t.Errorf("case %q shows %s, which is no clause", c.Name, id)
			}
		}
	}
	for _, l := range clauses {
		if !shown[l.ID] || l.Text == "" || l.Source == "" {
			t.Errorf("no case shows %s, or it says nothing", l.ID)
		}
	}
	t.Logf("%d cases, %d clauses", len(cases), len(clauses))
}

// A suite that cannot fail shows nothing: what is not as wanted is found out.
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
			t.Errorf("%s: nothing was found", name)
		}
	}
	if err := (&Want{Status: 200, Body: "ok", Fields: map[string]string{"a": "b"}}).check(
		[]byte(ok),
	); err != nil {
		t.Error(err)
	}
}
