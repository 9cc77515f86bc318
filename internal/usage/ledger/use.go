// Package usage keeps the account of what schools use: sums by school, class and period, which are
// sealed into statements and put together with those of other instances. It is free of I/O and of
// clocks; who meters hands over each request that was answered.
//
// What a period holds is settled once, when it is sealed. What becomes known later of a sealed
// period is never lost and never changes what was told: it goes into the next statement, as an
// amendment of the period that it is about.
//
// Times are Unix microseconds.
package ledger

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Outcome is what became of a request.
type Outcome uint8

// The ends of requests.
const (
	OutcomeServed    Outcome = iota + 1 // it ran, and its result went out; of a keyed one: for the first time
	OutcomeDuplicate                    // a keyed one that had been counted as served
	OutcomeTimedOut                     // it came to nothing in time
	OutcomeRejected                     // it never ran
	OutcomeFailed
	OutcomeAbandoned // its caller went
	outcomeCount
)

// Record is one request.
type Record struct {
	AnsweredAt     int64   `cbor:"At"` // when it was answered
	School         string  `cbor:"School"`
	Class          string  `cbor:"Class"`
	Outcome        Outcome `cbor:"End"`
	Work           int64   `cbor:"Work"`  // microseconds that servers spent on it, of all its tries
	Key            uint64  `cbor:"Key"`   // HashKey of a keyed one; 0: it has none
	KeyExpiresAt   int64   `cbor:"Until"` // how long a keyed one may come again
	KnownDuplicate bool    `cbor:"Again"` // it is known to repeat another one
}

// HashKey is what stands for a key, alike on all instances. It is never nought.
func HashKey(school, class, key string) uint64 {
	d := xxhash.New()
	for _, s := range []string{school, class, key} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64(), 1)
}

// Count is sums of uses. In a correction and in an amendment they may be below nought.
type Count struct {
	Served     int64 `json:"served,omitempty"`
	Duplicates int64 `json:"repeats,omitempty"`
	TimedOut   int64 `json:"late,omitempty"`
	Rejected   int64 `json:"refused,omitempty"`
	Failed     int64 `json:"failed,omitempty"`
	Abandoned  int64 `json:"gone,omitempty"`
	Work       int64 `json:"work_us,omitempty"`
}

func (c *Count) of(e Outcome) *int64 {
	return [outcomeCount]*int64{OutcomeServed: &c.Served, OutcomeDuplicate: &c.Duplicates, OutcomeTimedOut: &c.TimedOut, OutcomeRejected: &c.Rejected, OutcomeFailed: &c.Failed, OutcomeAbandoned: &c.Abandoned}[e]
}

// Add adds another one. Sums stay within what can be written: an account that came to its end is
// told from one that wrapped.
func (c *Count) Add(o Count) {
	for e := OutcomeServed; e < outcomeCount; e++ {
		n := c.of(e)
		*n = sum(*n, *o.of(e))
	}
	c.Work = sum(c.Work, o.Work)
}

func sum(a, b int64) int64 {
	switch n := a + b; {
	case a > 0 && b > 0 && n < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && n >= 0:
		return math.MinInt64
	default:
		return n
	}
}

// Requests is how many there were.
func (c Count) Requests() int64 {
	n := int64(0)
	for e := OutcomeServed; e < outcomeCount; e++ {
		n = sum(n, *c.of(e))
	}
	return n
}

// isBelow tells whether a sum is below nought, which no account comes to by itself.
func (c Count) isBelow() bool {
	for e := OutcomeServed; e < outcomeCount; e++ {
		if *c.of(e) < 0 {
			return true
		}
	}
	return c.Work < 0
}

// Line is what a school used of a class in a period.
type Line struct {
	Period int64  `json:"period"` // when it began
	School string `json:"school"`
	Class  string `json:"class"`
	Count
	// Slices are the served of each slice of the period, up to the last that had any: a share is a
	// rate, and what is above it shows only where the slices of all instances are added up.
	Slices []int64 `json:"slices,omitempty"`
}

func byName(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Period, b.Period),
		cmp.Compare(a.School, b.School),
		cmp.Compare(a.Class, b.Class),
	)
}

func (l *Line) inSlice(n int, by int64) {
	if n >= len(l.Slices) {
		l.Slices = append(l.Slices, make([]int64, n+1-len(l.Slices))...)
	}
	l.Slices[n] += by
}

func (l Line) clone() Line {
	l.Slices = slices.Clone(l.Slices)
	return l
}

// Correction is a change of the account by an operator, of any period that has begun.
type Correction struct {
	ID     string `json:"id"` // given twice it is one
	Period int64  `json:"period"`
	School string `json:"school"`
	Class  string `json:"class"`
	Count
	Reason string `json:"why"`
	Author string `json:"by,omitempty"`
}

// Hash is a key that was counted as served, so that other instances' statements can be compared.
type CountedKey struct {
	Hash                uint64
	ServedAt, ExpiresAt int64 // to the second below, and above
	Work                int64 // microseconds, up to an hour
	School, Class       string
}
