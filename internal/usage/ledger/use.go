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

// End is what became of a request.
type End uint8

// The ends of requests.
const (
	Served  End = iota + 1 // it ran, and its result went out; of a keyed one: for the first time
	Repeat                 // a keyed one that had been counted as served
	Late                   // it came to nothing in time
	Refused                // it never ran
	Failed
	Gone // its caller went
	ends
)

// Use is one request.
type Use struct {
	At     int64  `cbor:"At"` // when it was answered
	School string `cbor:"School"`
	Class  string `cbor:"Class"`
	End    End    `cbor:"End"`
	Work   int64  `cbor:"Work"`  // microseconds that servers spent on it, of all its tries
	Key    uint64 `cbor:"Key"`   // KeyOf of a keyed one; 0: it has none
	Until  int64  `cbor:"Until"` // how long a keyed one may come again
	Again  bool   `cbor:"Again"` // it is known to repeat another one
}

// KeyOf is what stands for a key, alike on all instances. It is never nought.
func KeyOf(school, class, key string) uint64 {
	d := xxhash.New()
	for _, s := range []string{school, class, key} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64(), 1)
}

// Count is sums of uses. In a correction and in an amendment they may be below nought.
type Count struct {
	Served  int64 `json:"served,omitempty"`
	Repeats int64 `json:"repeats,omitempty"`
	Late    int64 `json:"late,omitempty"`
	Refused int64 `json:"refused,omitempty"`
	Failed  int64 `json:"failed,omitempty"`
	Gone    int64 `json:"gone,omitempty"`
	WorkUs  int64 `json:"work_us,omitempty"`
}

func (c *Count) of(e End) *int64 {
	return [ends]*int64{Served: &c.Served, Repeat: &c.Repeats, Late: &c.Late, Refused: &c.Refused, Failed: &c.Failed, Gone: &c.Gone}[e]
}

// Add adds another one. Sums stay within what can be written: an account that came to its end is
// told from one that wrapped.
func (c *Count) Add(o Count) {
	for e := Served; e < ends; e++ {
		n := c.of(e)
		*n = sum(*n, *o.of(e))
	}
	c.WorkUs = sum(c.WorkUs, o.WorkUs)
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
	for e := Served; e < ends; e++ {
		n = sum(n, *c.of(e))
	}
	return n
}

// isBelow tells whether a sum is below nought, which no account comes to by itself.
func (c Count) isBelow() bool {
	for e := Served; e < ends; e++ {
		if *c.of(e) < 0 {
			return true
		}
	}
	return c.WorkUs < 0
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
	Why string `json:"why"`
	By  string `json:"by,omitempty"`
}

// Key is a key that was counted as served, so that other instances' statements can be compared.
type Key struct {
	Key           uint64
	At, Until     int64 // to the second below, and above
	Work          int64 // microseconds, up to an hour
	School, Class string
}
