package ledger

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/wallclock"
)

// hourlyStatements returns statements of an instance, one for each hour. hours has the numbers of
// requests that were served in the first slice of each hour and in the second.
func hourlyStatements(instance string, hours ...[2]int) (out []*Statement) {
	set := settings()
	set.Instance = instance
	l := New(set, "a", begin)
	for h, n := range hours {
		at := begin + wallclock.UnixMicro(h)*hour
		for k := range n[0] + n[1] {
			r := Record{
				AnsweredAt: at + sec,
				Tenant:     "north",
				Class:      "check",
				Outcome:    OutcomeServed,
				Work:       100,
			}
			if k >= n[0] {
				r.AnsweredAt += 60 * sec
			}
			l.Add(r)
		}
		s := l.Seal(at + 2*hour - sec)
		l.MarkExported(s)
		out = append(out, s)
	}
	return out
}

// keyedStatement returns the statement of an instance that served one request with an idempotency key.
func keyedStatement(instance string, at wallclock.UnixMicro, key uint64, work wallclock.Micros) *Statement {
	set := settings()
	set.Instance = instance
	l := New(set, "a", begin)
	l.Add(
		Record{
			AnsweredAt:   at,
			Tenant:       "north",
			Class:        "hand-in",
			Outcome:      OutcomeServed,
			Key:          key,
			KeyExpiresAt: at + 20*sec,
			Work:         work,
		},
	)
	return l.Seal(begin + 2*hour)
}

// statementWithCorrection returns the statement of an instance that got one correction twice.
func statementWithCorrection(t *testing.T, instance string) *Statement {
	t.Helper()
	set := settings()
	set.Instance = instance
	l := New(set, "a", begin)
	c := Correction{
		ID: "t1", Period: begin, Tenant: "north", Class: "check", Reason: "w", Count: Count{Served: -2},
	}
	for range 2 {
		if _, err := l.Correct(c, begin+sec); err != nil {
			t.Fatal(err)
		}
	}
	return l.Seal(begin + 2*hour)
}

// servedLine returns a line with a number of served requests in a period, which is counted from 0.
func servedLine(period, served int64) BillLine {
	at := begin + wallclock.UnixMicro(period)*hour
	return BillLine{
		Period: at, Tenant: "north", Class: "check",
		Count: Count{Served: served, Work: wallclock.Micros(served) * 100},
	}
}

// billCase is a list of statements and the bill that they must make.
type billCase struct {
	name       string
	statements []*Statement
	terms      BillingTerms
	lines      []BillLine
	problems   []string
	missing    string // instances without a statement of the first period
	check      func(b *Bill) bool
}

func aboveQuota(want float64) func(*Bill) bool {
	return func(b *Bill) bool { return b.Tenants[0].AboveQuota == want }
}

// chainCases returns cases of statements that are missing, repeated or in conflict.
func chainCases() []billCase {
	n0 := hourlyStatements("n0", [2]int{3, 0}, [2]int{1, 0}, [2]int{2, 0})
	n1 := hourlyStatements("n1", [2]int{5, 4})
	other := hourlyStatements("n0", [2]int{3, 0}, [2]int{7, 0})
	return []billCase{
		{
			name:       "two instances, repeated and in any order",
			statements: []*Statement{n0[1], n1[0], n0[0], n0[1]},
			lines:      []BillLine{servedLine(0, 12), servedLine(1, 1)},
			check: func(b *Bill) bool {
				return b.DuplicateStatements == 1 && b.Statements == 3 &&
					len(b.Periods[1].MissingInstances) == 1
			},
		},
		{
			name:       "a statement in between is missing",
			statements: []*Statement{n0[0], n0[2]},
			problems:   []string{"statement 2 is missing"},
			lines:      []BillLine{servedLine(0, 3), servedLine(2, 2)},
		},
		{
			name:       "the first statements are missing",
			statements: n0[2:],
			problems:   []string{"statements 1 to 2 are missing"},
			lines:      []BillLine{servedLine(2, 2)},
		},
		{
			name:       "two statements with one number differ",
			statements: []*Statement{n0[0], n0[1], other[1]},
			problems:   []string{"there are two statements 2, which differ; neither is counted"},
			lines:      []BillLine{servedLine(0, 3)},
		},
		{
			name:       "a statement does not follow the previous one",
			statements: []*Statement{hourlyStatements("n0", [2]int{9, 0})[0], n0[1]},
			problems:   []string{"statement 2 does not follow the statement 1 that is here; both are counted"},
			lines:      []BillLine{servedLine(0, 9), servedLine(1, 1)},
		},
		{
			name:       "an instance without statements",
			statements: n1,
			terms:      BillingTerms{Instances: []string{"n1", "n2"}},
			problems:   []string{"there is no statement of it"},
			missing:    "n2",
			lines:      []BillLine{servedLine(0, 9)},
		},
	}
}

// sumCases returns cases of keys, corrections and quotas over several instances.
func sumCases(t *testing.T) []billCase {
	n0, n1 := hourlyStatements("n0", [2]int{3, 0}), hourlyStatements("n1", [2]int{5, 4})
	both := []*Statement{n0[0], n1[0]}
	reduced, negative := servedLine(0, 3), servedLine(0, 0)
	reduced.Served, reduced.Changed = 1, true
	negative.Served, negative.Changed = -2, true
	return []billCase{
		{
			name: "two instances ran a request with the same key",
			statements: []*Statement{
				keyedStatement(
					"n0",
					begin+sec,
					7,
					30,
				), keyedStatement("n1", begin+5*sec, 7, 50), keyedStatement("n2", begin+60*sec, 7, 70),
			},
			lines: []BillLine{{
				Period: begin, Tenant: "north", Class: "hand-in",
				Count: Count{Served: 2, Duplicates: 1, Work: 100},
			}},
			check: func(b *Bill) bool { return b.DeduplicatedRuns == 1 },
		},
		{
			name:       "two instances applied the same correction",
			statements: []*Statement{statementWithCorrection(t, "n2"), statementWithCorrection(t, "n3"), n0[0]},
			lines:      []BillLine{reduced},
		},
		{
			name:       "a correction makes a sum negative",
			statements: []*Statement{statementWithCorrection(t, "n2")},
			problems:   []string{"north, check, period 1728000000000000: a sum is below nought"},
			lines:      []BillLine{negative},
		},
		{
			// A rate of 0.1 per second allows 6 requests in a slice. The slices have 8 and 4, so 2 are
			// above the quota. Neither instance is above it alone.
			name:       "a quota over all instances",
			statements: both,
			terms:      BillingTerms{Quotas: map[string]float64{"north": 0.1}},
			check:      aboveQuota(2),
			lines:      []BillLine{servedLine(0, 12)},
		},
		{name: "no quota", statements: both, check: aboveQuota(0), lines: []BillLine{servedLine(0, 12)}},
	}
}

func TestReconcile(t *testing.T) {
	for _, c := range append(chainCases(), sumCases(t)...) {
		b, err := Reconcile(c.statements, c.terms)
		if err != nil {
			t.Fatal(err)
		}
		var problems []string
		for _, p := range b.Problems {
			problems = append(problems, p.Description)
		}
		if diff := cmp.Diff(c.lines, b.Lines) + cmp.Diff(c.problems, problems); diff != "" {
			t.Errorf("%s: lines or problems of the bill (-want +got):\n%s", c.name, diff)
		}
		if got := strings.Join(b.Periods[0].MissingInstances, " "); got != c.missing ||
			c.check != nil && !c.check(b) {
			t.Errorf("%s: instances missing from the first period = %q, or a wrong bill: %+v", c.name, got, b)
		}
	}
	first := hourlyStatements("n0", [2]int{3, 0})[0]
	other := *first
	other.Slice = 2 * other.Slice
	if _, err := Reconcile([]*Statement{first, &other}, BillingTerms{}); err == nil {
		t.Error("Reconcile() = nil error for statements with different slices, want one")
	}
}
