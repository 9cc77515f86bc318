package ledger

import (
	"cmp"
	"math"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Count holds the sums over records, by outcome. They may be negative in a correction, and in a line of
// a bill to which a correction was applied.
type Count struct {
	Served     int64            `json:"served,omitempty"`
	Duplicates int64            `json:"repeats,omitempty"`
	TimedOut   int64            `json:"late,omitempty"`
	Rejected   int64            `json:"refused,omitempty"`
	Failed     int64            `json:"failed,omitempty"`
	Abandoned  int64            `json:"gone,omitempty"`
	Work       wallclock.Micros `json:"work_us,omitempty"` // time that servers spent on the requests
}

// counter returns a pointer to the sum for an outcome.
func (c *Count) counter(o Outcome) *int64 {
	sums := [outcomeCount]*int64{
		OutcomeServed:    &c.Served,
		OutcomeDuplicate: &c.Duplicates,
		OutcomeTimedOut:  &c.TimedOut,
		OutcomeRejected:  &c.Rejected,
		OutcomeFailed:    &c.Failed,
		OutcomeAbandoned: &c.Abandoned,
	}
	return sums[o]
}

// Add adds the sums of another count. A sum that would overflow saturates.
func (c *Count) Add(other Count) {
	for o := OutcomeServed; o < outcomeCount; o++ {
		sum := c.counter(o)
		*sum = addSaturating(*sum, *other.counter(o))
	}
	c.Work = addSaturating(c.Work, other.Work)
}

// addSaturating returns a+b, or the nearest bound of int64 if the sum overflows.
func addSaturating[T ~int64](a, b T) T {
	sum := a + b
	switch {
	case a > 0 && b > 0 && sum < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && sum >= 0:
		return math.MinInt64
	default:
		return sum
	}
}

// Requests returns the number of requests of all outcomes.
func (c Count) Requests() int64 {
	total := int64(0)
	for o := OutcomeServed; o < outcomeCount; o++ {
		total = addSaturating(total, *c.counter(o))
	}
	return total
}

// hasNegative reports whether a sum is negative, which only a correction can cause.
func (c Count) hasNegative() bool {
	for o := OutcomeServed; o < outcomeCount; o++ {
		if *c.counter(o) < 0 {
			return true
		}
	}
	return c.Work < 0
}

// Line holds what a tenant used of a class in a period.
type Line struct {
	Period wallclock.UnixMicro `json:"period"` // its start
	Tenant string              `json:"school"`
	Class  string              `json:"class"`
	Count
	// Slices holds the number of served requests in each slice of the period, up to the last slice
	// that has any. A quota is a rate over all instances, so a bill adds up the slices of all
	// instances before it compares them with the quota.
	Slices []int64 `json:"slices,omitempty"`
}

func (l Line) key() lineKey { return lineKey{l.Period, l.Tenant, l.Class} }

// compareLines orders lines by their keys.
func compareLines(a, b Line) int { return compareLineKeys(a.key(), b.key()) }

func (l Line) clone() Line {
	l.Slices = slices.Clone(l.Slices)
	return l
}

// addToSlice adds n to element i of served, which it extends if needed, and returns served.
func addToSlice(served []int64, i int, n int64) []int64 {
	if i >= len(served) {
		served = append(served, make([]int64, i+1-len(served))...)
	}
	served[i] += n
	return served
}

// lineKey identifies a line.
type lineKey struct {
	period        wallclock.UnixMicro
	tenant, class string
}

// compareLineKeys orders keys by period, tenant and class.
func compareLineKeys(a, b lineKey) int {
	return cmp.Or(
		cmp.Compare(a.period, b.period),
		cmp.Compare(a.tenant, b.tenant),
		cmp.Compare(a.class, b.class),
	)
}
