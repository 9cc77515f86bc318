package ledger

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// account makes statements of an instance, one of each hour, with so many served in its first slice
// and in its second.
func made(instance string, hours ...[2]int) (out []*Statement) {
	set := settings()
	set.Instance = instance
	l := New(set, "a", 480_000*hour)
	for h, n := range hours {
		at := (480_000 + int64(h)) * hour
		for k := range n[0] + n[1] {
			u := Record{AnsweredAt: at + sec, School: "north", Class: "check", Outcome: OutcomeServed, Work: 100}
			if k >= n[0] {
				u.AnsweredAt += 60 * sec
			}
			l.Add(u)
		}
		s := l.Seal(at + 2*hour - sec)
		l.MarkExported(s)
		out = append(out, s)
	}
	return out
}

func TestReconcile(t *testing.T) {
	first := 480_000 * hour
	handIn := func(instance string, at int64, key uint64, work int64) *Statement {
		set := settings()
		set.Instance = instance
		l := New(set, "a", first)
		l.Add(
			Record{
				AnsweredAt:   at,
				School:       "north",
				Class:        "hand-in",
				Outcome:      OutcomeServed,
				Key:          key,
				KeyExpiresAt: at + 20*sec,
				Work:         work,
			},
		)
		return l.Seal(first + 2*hour)
	}
	fixed := func(instance string) *Statement {
		set := settings()
		set.Instance = instance
		l := New(set, "a", first)
		for range 2 {
			if _, err := l.Correct(Correction{ID: "t1", Period: first, School: "north", Class: "check", Reason: "w", Count: Count{Served: -2}}, first+sec); err != nil {
				t.Fatal(err)
			}
		}
		return l.Seal(first + 2*hour)
	}
	line := func(period int64, class string, c Count, changed bool) BillLine {
		return BillLine{first + period*hour, "north", class, c, changed}
	}
	n0, n1 := made("n0", [2]int{3, 0}, [2]int{1, 0}, [2]int{2, 0}), made("n1", [2]int{5, 4})
	other := made("n0", [2]int{3, 0}, [2]int{7, 0})
	above := func(b *Bill) float64 { return b.Schools[0].AboveQuota }
	for name, c := range map[string]struct {
		list     []*Statement
		terms    BillingTerms
		lines    []BillLine
		problems []string
		missing  string // of the first period
		more     func(b *Bill) bool
	}{
		"of two, some twice, in any order": {list: []*Statement{n0[1], n1[0], n0[0], n0[1]}, missing: "",
			lines: []BillLine{line(0, "check", Count{Served: 12, Work: 1200}, false), line(1, "check", Count{Served: 1, Work: 100}, false)},
			more: func(b *Bill) bool {
				return b.DuplicateStatements == 1 && b.Statements == 3 && len(b.Periods[1].MissingInstances) == 1
			}},
		"a gap": {list: []*Statement{n0[0], n0[2]}, problems: []string{"statement 2 is missing"},
			lines: []BillLine{line(0, "check", Count{Served: 3, Work: 300}, false), line(2, "check", Count{Served: 2, Work: 200}, false)}},
		"the first are missing": {list: n0[2:], problems: []string{"statements 1 to 2 are missing"}, lines: []BillLine{line(2, "check", Count{Served: 2, Work: 200}, false)}},
		"two that differ": {list: []*Statement{n0[0], n0[1], other[1]}, problems: []string{"there are two statements 2, which differ; neither is counted"},
			lines: []BillLine{line(0, "check", Count{Served: 3, Work: 300}, false)}},
		"of another chain": {list: []*Statement{made("n0", [2]int{9, 0})[0], n0[1]}, problems: []string{"statement 2 does not follow the statement 1 that is here; both are counted"},
			lines: []BillLine{line(0, "check", Count{Served: 9, Work: 900}, false), line(1, "check", Count{Served: 1, Work: 100}, false)}},
		"an instance of which there is nothing": {list: n1, terms: BillingTerms{Instances: []string{"n1", "n2"}}, problems: []string{"there is no statement of it"}, missing: "n2",
			lines: []BillLine{line(0, "check", Count{Served: 9, Work: 900}, false)}},
		"a hand-in that two ran": {list: []*Statement{handIn("n0", first+sec, 7, 30), handIn("n1", first+5*sec, 7, 50), handIn("n2", first+60*sec, 7, 70)},
			lines: []BillLine{line(0, "hand-in", Count{Served: 2, Duplicates: 1, Work: 100}, false)}, more: func(b *Bill) bool { return b.DeduplicatedRuns == 1 }},
		"a correction given to two": {list: []*Statement{fixed("n2"), fixed("n3"), n0[0]}, lines: []BillLine{line(0, "check", Count{Served: 1, Work: 300}, true)}},
		"a correction below nought": {list: []*Statement{fixed("n2")}, problems: []string{"north, check, period 1728000000000000: a sum is below nought"},
			lines: []BillLine{line(0, "check", Count{Served: -2}, true)}},
		// 0.1 a second are 6 in a slice: of 8 and 4, 2 are above. Neither instance alone is.
		"a share over all": {list: []*Statement{n0[0], n1[0]}, terms: BillingTerms{Quotas: map[string]float64{"north": 0.1}}, more: func(b *Bill) bool { return above(b) == 2 },
			lines: []BillLine{line(0, "check", Count{Served: 12, Work: 1200}, false)}},
		"no share is told": {list: []*Statement{n0[0], n1[0]}, more: func(b *Bill) bool { return above(b) == 0 }, lines: []BillLine{line(0, "check", Count{Served: 12, Work: 1200}, false)}},
	} {
		b, err := Reconcile(c.list, c.terms)
		if err != nil {
			t.Fatal(err)
		}
		var problems []string
		for _, p := range b.Problems {
			problems = append(problems, p.Description)
		}
		if diff := cmp.Diff(c.lines, b.Lines) + cmp.Diff(c.problems, problems); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if got := strings.Join(b.Periods[0].MissingInstances, " "); got != c.missing || c.more != nil && !c.more(b) {
			t.Errorf("%s: missing %q; %+v", name, got, b)
		}
	}
	s := *n0[0]
	s.Slice = 2 * s.Slice
	if _, err := Reconcile([]*Statement{n0[0], &s}, BillingTerms{}); err == nil {
		t.Error("statements of different slices are put together")
	}
}
