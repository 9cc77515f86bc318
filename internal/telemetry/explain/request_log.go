// Package explain keeps recent requests in bounded memory, with their statuses and causes, for queries
// by the control command "explain". It does no I/O.
//
// It is a stratified sample with a stratum for each class and status. Once the memory is full, the
// stratum that is furthest over its part drops its oldest entry, so that a flood of
// one kind drops its own entries. Rarer and worse outcomes have a larger part. Of a flood of served
// requests only a sample is remembered, and the others are counted.
package explain

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// Entry is one request. Its texts are cut to maxTextBytes.
type Entry struct {
	lifecycle.Trace
	Seq        uint64 // in the order of answers
	Represents int    // requests of its stratum for which it stands, itself and those skipped before it
}

// MaxEntryBytes is the most memory that an entry takes, with all its texts and its place.
const MaxEntryBytes = 900

const (
	maxTextBytes = 64
	// Weights of the part of the memory that a stratum has beside others.
	notServedWeight = 4.0
	keyedWeight     = 2.0 // of classes whose requests have effects
	// maxServedPerSecond bounds the served requests of a class that are remembered in a second.
	maxServedPerSecond = 100
	// defaultLimit is the most entries that a query without a limit returns.
	defaultLimit = 20
	// maxSpareEntries is the unused capacity of a stratum, beyond twice its length, that is not freed.
	maxSpareEntries = 64
	// randomStream is the second seed of the sampling.
	randomStream = 5
)

// stratumKey names a stratum.
type stratumKey struct {
	class  int
	status lifecycle.Status
}

// stratum is the entries of a class and status, the oldest first.
type stratum struct {
	stratumKey
	entries []*Entry
	weight  float64
	added   uint64
	skipped int // requests since the last that was remembered
	rate    rateMeter
}

// rateMeter counts events by seconds.
type rateMeter struct {
	since    wallclock.UnixMicro // begin of the second that is counted
	count    int                 // events in it
	previous int                 // events in the second before
}

// add counts an event, and returns the higher of the counts of this second and the one before.
func (m *rateMeter) add(now wallclock.UnixMicro) int {
	elapsed := now.Sub(m.since)
	clockSetBack := elapsed < 0
	if elapsed >= time.Second || clockSetBack {
		m.previous = m.count
		if elapsed >= 2*time.Second || clockSetBack {
			m.previous = 0
		}
		m.since = now
		m.count = 0
	}
	m.count++
	return max(m.previous, m.count)
}

// RequestLog is the requests that are remembered. It is used by one goroutine.
type RequestLog struct {
	capacity int
	keyed    func(class int) bool
	rand     *rand.Rand
	strata   map[stratumKey]*stratum
	order    []*stratum // as they came, so that what is dropped is the same each time
	len      int
	lastSeq  uint64
}

// New returns a log that takes at most a number of bytes. keyed reports whether a class has requests
// with idempotency keys.
func New(maxBytes int, keyed func(class int) bool, seed uint64) *RequestLog {
	return &RequestLog{
		capacity: max(maxBytes/MaxEntryBytes, 1),
		keyed:    keyed,
		rand:     rand.New(rand.NewPCG(seed, randomStream)),
		strata:   map[stratumKey]*stratum{},
	}
}

// Capacity returns how many entries there is room for.
func (r *RequestLog) Capacity() int { return r.capacity }

// Len returns how many entries there are.
func (r *RequestLog) Len() int { return r.len }

// Add takes a request that was answered now.
func (r *RequestLog) Add(t *lifecycle.Trace, now wallclock.UnixMicro) {
	s := r.stratum(stratumKey{t.Class, t.Status})
	s.added++
	rate := s.rate.add(now)
	if t.Status == lifecycle.Served && r.skips(rate) {
		s.skipped++
		return
	}
	r.lastSeq++
	s.entries = append(s.entries, newEntry(t, r.lastSeq, s.skipped+1))
	s.skipped = 0
	r.len++
	if r.len > r.capacity {
		r.dropOldest()
	}
}

// stratum returns the stratum of a key, which it adds if there is none.
func (r *RequestLog) stratum(key stratumKey) *stratum {
	s := r.strata[key]
	if s == nil {
		s = &stratum{stratumKey: key, weight: r.weight(key)}
		r.strata[key] = s
		r.order = append(r.order, s)
	}
	return s
}

// weight returns the part of the memory that a stratum has beside others.
func (r *RequestLog) weight(key stratumKey) float64 {
	weight := 1.0
	if key.status != lifecycle.Served {
		weight *= notServedWeight
	}
	if r.keyed(key.class) {
		weight *= keyedWeight
	}
	return weight
}

// skips reports whether a served request is not remembered, at a rate in requests a second.
func (r *RequestLog) skips(rate int) bool {
	n := rate / maxServedPerSecond
	return n > 1 && r.rand.IntN(n) > 0
}

func newEntry(t *lifecycle.Trace, seq uint64, represents int) *Entry {
	e := &Entry{Trace: *t, Seq: seq, Represents: represents}
	e.ID, e.Key, e.OriginalID = truncateText(e.ID), truncateText(e.Key), truncateText(e.OriginalID)
	for i := range e.Attempts {
		e.Attempts[i].Server = truncateText(e.Attempts[i].Server)
	}
	return e
}

// truncateText bounds a text, and copies it: a substring of a received packet would keep all of the
// packet in memory.
func truncateText(s string) string { return strings.Clone(s[:min(len(s), maxTextBytes)]) }

// dropOldest drops the oldest entry of the stratum that is furthest over its part.
func (r *RequestLog) dropOldest() {
	var worst *stratum
	highest := 0.0
	for _, s := range r.order {
		use := float64(len(s.entries)) / s.weight
		if len(s.entries) > 0 && (worst == nil || use > highest) {
			worst = s
			highest = use
		}
	}
	worst.dropFirst()
	r.len--
}

// dropFirst drops the oldest entry, and frees memory once much of it is unused.
func (s *stratum) dropFirst() {
	s.entries[0] = nil
	s.entries = s.entries[1:]
	if cap(s.entries) > 2*len(s.entries)+maxSpareEntries {
		s.entries = slices.Clone(s.entries)
	}
}

// Query says which requests to find. A field with its zero value selects nothing, but for Class.
type Query struct {
	ID, Key   string
	Class     int // -1: any
	Status    lifecycle.Status
	NotServed bool
	Cause     lifecycle.Cause
	From, To  wallclock.UnixMicro // bounds of the time of the answer
	Limit     int                 // most entries; 0: defaultLimit
}

func (q *Query) matches(e *Entry) bool {
	id, key := truncateText(q.ID), truncateText(q.Key)
	switch {
	case id != "" && e.ID != id && e.OriginalID != id,
		key != "" && e.Key != key,
		q.Class >= 0 && e.Class != q.Class,
		q.Status != 0 && e.Status != q.Status,
		q.NotServed && e.Status == lifecycle.Served,
		q.Cause != 0 && e.Cause != q.Cause,
		q.From != 0 && e.AnsweredAt < q.From,
		q.To != 0 && e.AnsweredAt > q.To:
		return false
	}
	return true
}

// Find returns the newest of the requests that match, the newest first. A query by ID finds the
// duplicates of that request as well, and all requests that had the ID.
func (r *RequestLog) Find(q Query) []*Entry {
	limit := cmp.Or(q.Limit, defaultLimit)
	var found []*Entry
	for _, s := range r.order {
		found = append(found, s.newest(&q, limit)...)
	}
	slices.SortFunc(found, func(a, b *Entry) int { return cmp.Compare(b.Seq, a.Seq) })
	return found[:min(len(found), limit)]
}

// newest returns the newest entries that match, up to a limit.
func (s *stratum) newest(q *Query, limit int) (found []*Entry) {
	for _, e := range slices.Backward(s.entries) {
		if len(found) == limit {
			break
		}
		if q.matches(e) {
			found = append(found, e)
		}
	}
	return found
}

// Stratum is what is known of a class and a status.
type Stratum struct {
	Class    int
	Status   lifecycle.Status
	Added    uint64 // requests since the start
	Retained int    // those of them that are remembered
}

// Strata returns all strata, by class and status.
func (r *RequestLog) Strata() (out []Stratum) {
	for _, s := range r.order {
		out = append(out, Stratum{s.class, s.status, s.added, len(s.entries)})
	}
	slices.SortFunc(out, func(a, b Stratum) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Status, b.Status))
	})
	return out
}
