package ledger

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/wallclock"
)

// hourly makes statements of an instance, one of each hour, with numbers of requests served in its
// first slice and in its second.
func hourly(instance string, hours ...[2]int) (out []*Statement) {
	set := settings()
	set.Instance = instance
	l := New(set, "a", begin)
	for h, n := range hours {
		at := begin + wallclock.UnixMicro(h)*hour
		for k := range n[0] + n[1] {
			r := Record{
				AnsweredAt: at + sec,
				School:     "north",
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

// handIn makes the statement of an instance that served one request with a key.
func handIn(instance string, at wallclock.UnixMicro, key uint64, work wallclock.Micros) *Statement {
	set := settings()
	set.Instance = instance
	l := New(set, "a", begin)
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
	return l.Seal(begin + 2*hour)
}

// corrected makes the statement of an instance that was given one correction twice.
func corrected(t *testing.T, instance string) *Statement {
	t.Helper()
	set := settings()
	set.Instance = instance
	l := New(set, "a", begin)
	c := Correction{
		ID: "t1", Period: begin, School: "north", Class: "check", Reason: "w", Count: Count{Served: -2},
	}
	for range 2 {
		if _, err := l.Correct(c, begin+sec); err != nil {
			t.Fatal(err)
		}
	}
	return l.Seal(begin + 2*hour)
}

// checks is the line of requests that were served in a period, counted from 0.
func checks(period, served int64) BillLine {
	at := begin + wallclock.UnixMicro(period)*hour
	return BillLine{
		Period: at, School: "north", Class: "check",
		Count: Count{Served: served, Work: wallclock.Micros(served) * 100},
	}
}

// billCase is a list of statements and the bill that they make.
type billCase struct {
	name     string
	list     []*Statement
	terms    BillingTerms
	lines    []BillLine
	problems []string
	missing  string // instances of the first period
	more     func(b *Bill) bool
}

func aboveQuota(want float64) func(*Bill) bool {
	return func(b *Bill) bool { return b.Schools[0].AboveQuota == want }
}

// chainCases are statements of an account that are missing, repeated or in conflict.
func chainCases() []billCase {
	n0 := hourly("n0", [2]int{3, 0}, [2]int{1, 0}, [2]int{2, 0})
	n1 := hourly("n1", [2]int{5, 4})
	other := hourly("n0", [2]int{3, 0}, [2]int{7, 0})
	return []billCase{
		{
			name:  "of two, some twice, in any order",
			list:  []*Statement{n0[1], n1[0], n0[0], n0[1]},
			lines: []BillLine{checks(0, 12), checks(1, 1)},
			more: func(b *Bill) bool {
				return b.DuplicateStatements == 1 && b.Statements == 3 &&
					len(b.Periods[1].MissingInstances) == 1
			},
		},
		{
			name:     "a gap",
			list:     []*Statement{n0[0], n0[2]},
			problems: []string{"statement 2 is missing"},
			lines:    []BillLine{checks(0, 3), checks(2, 2)},
		},
		{
			name:     "the first are missing",
			list:     n0[2:],
			problems: []string{"statements 1 to 2 are missing"},
			lines:    []BillLine{checks(2, 2)},
		},
		{
			name:     "two that differ",
			list:     []*Statement{n0[0], n0[1], other[1]},
			problems: []string{"there are two statements 2, which differ; neither is counted"},
			lines:    []BillLine{checks(0, 3)},
		},
		{
			name:     "of another chain",
			list:     []*Statement{hourly("n0", [2]int{9, 0})[0], n0[1]},
			problems: []string{"statement 2 does not follow the statement 1 that is here; both are counted"},
			lines:    []BillLine{checks(0, 9), checks(1, 1)},
		},
		{
			name:     "an instance without statements",
			list:     n1,
			terms:    BillingTerms{Instances: []string{"n1", "n2"}},
			problems: []string{"there is no statement of it"},
			missing:  "n2",
			lines:    []BillLine{checks(0, 9)},
		},
	}
}

// sumCases are keys, corrections and quotas over several instances.
func sumCases(t *testing.T) []billCase {
	n0, n1 := hourly("n0", [2]int{3, 0}), hourly("n1", [2]int{5, 4})
	both := []*Statement{n0[0], n1[0]}
	reduced, negative := checks(0, 3), checks(0, 0)
	reduced.Served, reduced.Changed = 1, true
	negative.Served, negative.Changed = -2, true
	return []billCase{
		{
			name: "a request with a key that two ran",
			list: []*Statement{
				handIn(
					"n0",
					begin+sec,
					7,
					30,
				), handIn("n1", begin+5*sec, 7, 50), handIn("n2", begin+60*sec, 7, 70),
			},
			lines: []BillLine{{
				Period: begin, School: "north", Class: "hand-in",
				Count: Count{Served: 2, Duplicates: 1, Work: 100},
			}},
			more: func(b *Bill) bool { return b.DeduplicatedRuns == 1 },
		},
		{
			name:  "a correction given to two",
			list:  []*Statement{corrected(t, "n2"), corrected(t, "n3"), n0[0]},
			lines: []BillLine{reduced},
		},
		{
			name:     "a correction below zero",
			list:     []*Statement{corrected(t, "n2")},
			problems: []string{"north, check, period 1728000000000000: a sum is below nought"},
			lines:    []BillLine{negative},
		},
		{
			// 0.1 a second are 6 in a slice: of 8 and 4, 2 are above. Neither instance alone is.
			name:  "a quota over all instances",
			list:  both,
			terms: BillingTerms{Quotas: map[string]float64{"north": 0.1}},
			more:  aboveQuota(2),
			lines: []BillLine{checks(0, 12)},
		},
		{name: "no quota", list: both, more: aboveQuota(0), lines: []BillLine{checks(0, 12)}},
	}
}

func TestReconcile(t *testing.T) {
	for _, c := range append(chainCases(), sumCases(t)...) {
		b, err := Reconcile(c.list, c.terms)
		if err != nil {
			t.Fatal(err)
		}
		var problems []string
		for _, p := range b.Problems {
			problems = append(problems, p.Description)
		}
		if diff := cmp.Diff(c.lines, b.Lines) + cmp.Diff(c.problems, problems); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
		if got := strings.Join(b.Periods[0].MissingInstances, " "); got != c.missing ||
			c.more != nil && !c.more(b) {
			t.Errorf("%s: missing %q; %+v", c.name, got, b)
		}
	}
	first := hourly("n0", [2]int{3, 0})[0]
	other := *first
	other.Slice = 2 * other.Slice
	if _, err := Reconcile([]*Statement{first, &other}, BillingTerms{}); err == nil {
		t.Error("statements of different slices make one bill")
	}
}
