// Package explain remembers, in memory that does not grow, what became of recent requests and why.
// It is free of I/O.
//
// Entries stand in strata, one for each class and end. When there is no room left, the stratum that
// is furthest over its part gives up its oldest entry, so that a flood of one kind pushes out its
// own. What is rarer and worse has a larger part: a refused hand-in outlives many served checks. In
// a flood of what went well only one in some is remembered, and the others are counted.
package explain

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"ryepaddle/internal/lifecycle"
)

// Entry is one request. Its texts are cut to a length, so that an entry has a bound.
type Entry struct {
	lifecycle.Trace
	Seq        uint64 // in the order of answers
	Represents int    // for so many of its stratum: it is one in so many
}

const (
	textMost      = 64
	MaxEntryBytes = 900 // bytes of an entry at the most, about, with all its texts and its place
)

// strand is a class and an end.
type strand struct {
	class int
	kind  lifecycle.Status
}

// stratum is the entries of one, the oldest first.
type stratum struct {
	strand
	entries []*Entry
	part    float64
	seen    uint64
	since   int64 // begin of the second that is counted
	count   int   // in it
	rate    int   // in the one before
	skipped int   // since the last that was taken
}

// RequestLog is the entries.
type RequestLog struct {
	most    int
	keyed   func(class int) bool
	rand    *rand.Rand
	strata  map[strand]*stratum
	order   []*stratum // as they came, so that what is given up is the same each time
	parts   float64
	len     int
	numbers uint64
}

// New makes a record of at most so many bytes. keyed tells which classes have an effect.
func New(bytes int, keyed func(class int) bool, seed uint64) *RequestLog {
	return &RequestLog{
		most:   max(bytes/MaxEntryBytes, 1),
		keyed:  keyed,
		rand:   rand.New(rand.NewPCG(seed, 5)),
		strata: map[strand]*stratum{},
	}
}

// Capacity is how many entries there is room for, and Len how many there are.
func (r *RequestLog) Capacity() int { return r.most }

// Len is how many entries there are.
func (r *RequestLog) Len() int { return r.len }

// part is how much of the room a stratum has beside others.
func (r *RequestLog) part(s strand) float64 {
	part := 1.0
	if s.kind != lifecycle.Served {
		part *= 4
	}
	if r.keyed(s.class) {
		part *= 2
	}
	return part
}

// plenty is how many requests of one stratum that were served are remembered in a second; of more,
// one in some.
const plenty = 100

// Add takes a request that was answered, at that Unix time in microseconds.
func (r *RequestLog) Add(t *lifecycle.Trace, now int64) {
	key := strand{t.Class, t.Status}
	s := r.strata[key]
	if s == nil {
		s = &stratum{strand: key, part: r.part(key)}
		r.strata[key] = s
		r.order = append(r.order, s)
		r.parts += s.part
	}
	s.seen++
	if past := now - s.since; past >= 1_000_000 || past < 0 { // the clock may step
		if s.rate = s.count; past >= 2_000_000 || past < 0 {
			s.rate = 0
		}
		s.since, s.count = now, 0
	}
	s.count++
	if t.Status == lifecycle.Served {
		if one := max(s.rate, s.count) / plenty; one > 1 && r.rand.IntN(one) > 0 {
			s.skipped++
			return
		}
	}
	r.numbers++
	e := &Entry{Trace: *t, Seq: r.numbers, Represents: s.skipped + 1}
	s.skipped = 0
	e.ID, e.Key, e.OriginalID = short(e.ID), short(e.Key), short(e.OriginalID)
	for i := range e.Attempts {
		e.Attempts[i].Server = short(e.Attempts[i].Server)
	}
	s.entries = append(s.entries, e)
	if r.len++; r.len > r.most {
		r.giveUp()
	}
}

// short bounds a text, in memory of its own: a part of a packet would keep the whole of it.
func short(s string) string {
	if len(s) > textMost {
		s = s[:textMost]
	}
	return string([]byte(s))
}

// giveUp drops the oldest entry of the stratum that is furthest over its part.
func (r *RequestLog) giveUp() {
	var worst *stratum
	over := 0.0
	for _, s := range r.order {
		if share := float64(len(s.entries)) / s.part; len(s.entries) > 0 && (worst == nil || share > over) {
			worst, over = s, share
		}
	}
	worst.entries[0] = nil
	if worst.entries = worst.entries[1:]; cap(worst.entries) > 2*len(worst.entries)+64 {
		worst.entries = slices.Clone(worst.entries)
	}
	r.len--
}

// Query says which requests are asked for. What is left at its zero value says nothing.
type Query struct {
	ID, Key   string
	Class     int // -1: any
	Status    lifecycle.Status
	NotServed bool
	Cause     lifecycle.Cause
	From, To  int64 // Unix time of the answer
	Limit     int
}

func (q *Query) takes(e *Entry) bool {
	return (q.ID == "" || e.ID == short(q.ID) || e.OriginalID == short(q.ID)) && (q.Key == "" || e.Key == short(q.Key)) &&
		(q.Class < 0 || e.Class == q.Class) && (q.Status == 0 || e.Status == q.Status) &&
		!(q.NotServed && e.Status == lifecycle.Served) &&
		(q.Cause == 0 || e.Cause == q.Cause) &&
		(q.From == 0 || int64(e.AnsweredAt) >= q.From) &&
		(q.To == 0 || int64(e.AnsweredAt) <= q.To)
}

// Find gives the newest of the requests that are asked for, the newest first. Whoever asks by a
// name gets those that repeat it as well; a name that was used again gets all of its uses.
func (r *RequestLog) Find(q Query) []*Entry {
	var out []*Entry
	most := cmp.Or(q.Limit, 20)
	for _, s := range r.order {
		n := 0
		for _, e := range slices.Backward(s.entries) {
			if n == most {
				break
			}
			if q.takes(e) {
				out = append(out, e)
				n++
			}
		}
	}
	slices.SortFunc(out, func(a, b *Entry) int { return cmp.Compare(b.Seq, a.Seq) })
	return out[:min(len(out), most)]
}

// Stratum is what is known of a class and an end.
type Stratum struct {
	Class    int
	Status   lifecycle.Status
	Added    uint64 // since the start
	Retained int
}

// Strata are all of them.
func (r *RequestLog) Strata() (out []Stratum) {
	for _, s := range r.order {
		out = append(out, Stratum{s.class, s.kind, s.seen, len(s.entries)})
	}
	slices.SortFunc(
		out,
		func(a, b Stratum) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Status, b.Status)) },
	)
	return out
}
