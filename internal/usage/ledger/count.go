package ledger

import (
	"cmp"
	"math"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Count is the sums of records. In a correction and in an amendment they may be negative.
type Count struct {
	Served     int64            `json:"served,omitempty"`
	Duplicates int64            `json:"repeats,omitempty"`
	TimedOut   int64            `json:"late,omitempty"`
	Rejected   int64            `json:"refused,omitempty"`
	Failed     int64            `json:"failed,omitempty"`
	Abandoned  int64            `json:"gone,omitempty"`
	Work       wallclock.Micros `json:"work_us,omitempty"` // time that servers spent
}

// counter returns a pointer to the sum of an outcome.
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

// Add adds the sums of another count. A sum that would overflow stays at its bound.
func (c *Count) Add(other Count) {
	for o := OutcomeServed; o < outcomeCount; o++ {
		sum := c.counter(o)
		*sum = addSaturating(*sum, *other.counter(o))
	}
	c.Work = addSaturating(c.Work, other.Work)
}

// addSaturating returns a+b, or the bound of its type where that overflows.
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

// hasNegative reports whether a sum is negative, which only a correction makes it.
func (c Count) hasNegative() bool {
	for o := OutcomeServed; o < outcomeCount; o++ {
		if *c.counter(o) < 0 {
			return true
		}
	}
	return c.Work < 0
}

// Line is what a school used of a class in a period.
type Line struct {
	Period wallclock.UnixMicro `json:"period"` // its start
	School string              `json:"school"`
	Class  string              `json:"class"`
	Count
	// Slices are the served requests of each slice of the period, up to the last that has any. A
	// quota is a rate over all instances, so that a bill adds slices up before it compares them.
	Slices []int64 `json:"slices,omitempty"`
}

func (l Line) key() lineKey { return lineKey{l.Period, l.School, l.Class} }

// compareLines orders lines by their keys.
func compareLines(a, b Line) int { return compareLineKeys(a.key(), b.key()) }

func (l Line) clone() Line {
	l.Slices = slices.Clone(l.Slices)
	return l
}

// addToSlice adds n to slice i, and returns the slices with room for it.
func addToSlice(served []int64, i int, n int64) []int64 {
	if i >= len(served) {
		served = append(served, make([]int64, i+1-len(served))...)
	}
	served[i] += n
	return served
}

// lineKey names a line.
type lineKey struct {
	period        wallclock.UnixMicro
	school, class string
}

// compareLineKeys orders keys by period, school and class.
func compareLineKeys(a, b lineKey) int {
	return cmp.Or(
		cmp.Compare(a.period, b.period),
		cmp.Compare(a.school, b.school),
		cmp.Compare(a.class, b.class),
	)
}
