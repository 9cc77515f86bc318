// Package explain keeps recent requests in bounded memory, with their statuses and causes, for queries
// by the control command "explain". It does no I/O.
//
// The log is a stratified sample with one stratum for each class and status. When it is full, the
// stratum with the most entries for its weight drops its oldest entry, so that a flood of requests of
// one class and status displaces only its own entries. Rarer and worse outcomes have a larger weight.
// At a high rate of served requests only a random sample of them is stored, and the others are counted.
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

// Entry is a request in the log. Its strings are truncated to maxTextBytes.
type Entry struct {
	lifecycle.Trace
	Seq        uint64 // sequence number from 1, in the order in which the stored requests were answered
	Represents int    // requests of its stratum that it represents: itself and those skipped before it
}

// MaxEntryBytes bounds the memory of an entry, with its strings and its pointer in the stratum.
const MaxEntryBytes = 900

const (
	maxTextBytes = 64
	// Factors of the weight of a stratum, which is 1 without them. Strata share the memory in proportion
	// to their weights.
	notServedWeight = 4.0
	keyedWeight     = 2.0 // for classes whose requests have idempotency keys, and so side effects
	// maxServedPerSecond is the rate to which sampling reduces the stored requests of a class that were
	// served. Rates below twice this are not sampled.
	maxServedPerSecond = 100
	// defaultLimit is the maximum number of entries that a query without a limit returns.
	defaultLimit = 20
	// maxSpareEntries is the unused capacity of a stratum, beyond twice its length, that is not freed.
	maxSpareEntries = 64
	// randomStream is the second seed of the random generator that samples.
	randomStream = 5
)

// stratumKey identifies a stratum.
type stratumKey struct {
	class  int
	status lifecycle.Status
}

// stratum holds the entries of a class and status, oldest first.
type stratum struct {
	stratumKey
	entries []*Entry
	weight  float64
	added   uint64 // requests since the start, including those that were not stored
	skipped int    // requests since the last one that was stored
	rate    rateMeter
}

// rateMeter counts events in windows of one second.
type rateMeter struct {
	since    wallclock.UnixMicro // start of the current window
	count    int                 // events in the current window
	previous int                 // events in the window before it
}

// add counts an event, and returns the higher of the counts of the current and the previous window.
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

// RequestLog is a log of answered requests. It is not safe for concurrent use.
type RequestLog struct {
	capacity int
	keyed    func(class int) bool
	rand     *rand.Rand
	strata   map[stratumKey]*stratum
	order    []*stratum // in the order of their creation, so that the choice of a stratum to drop from is deterministic
	len      int
	lastSeq  uint64
}

// New returns a log that takes at most maxBytes but holds at least one entry. keyed reports whether a
// class has requests with idempotency keys, and seed is that of the sampling.
func New(maxBytes int, keyed func(class int) bool, seed uint64) *RequestLog {
	return &RequestLog{
		capacity: max(maxBytes/MaxEntryBytes, 1),
		keyed:    keyed,
		rand:     rand.New(rand.NewPCG(seed, randomStream)),
		strata:   map[stratumKey]*stratum{},
	}
}

// Capacity returns the maximum number of entries.
func (r *RequestLog) Capacity() int { return r.capacity }

// Len returns the number of entries.
func (r *RequestLog) Len() int { return r.len }

// Add adds a request that was answered at now. At a high rate, sampling may skip a served request.
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

// stratum returns the stratum of a key, and creates it if it does not exist.
func (r *RequestLog) stratum(key stratumKey) *stratum {
	s := r.strata[key]
	if s == nil {
		s = &stratum{stratumKey: key, weight: r.weight(key)}
		r.strata[key] = s
		r.order = append(r.order, s)
	}
	return s
}

// weight returns the weight of a stratum, in proportion to which strata share the memory.
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

// skips decides at random whether a served request is not stored, at a rate in requests per second.
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

// truncateText returns a copy of the first maxTextBytes of s. It copies because a substring would keep
// the whole received packet in memory.
func truncateText(s string) string { return strings.Clone(s[:min(len(s), maxTextBytes)]) }

// dropOldest drops the oldest entry of the stratum with the most entries for its weight.
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

// dropFirst drops the oldest entry, and frees the unused capacity of the slice once it is large.
func (s *stratum) dropFirst() {
	s.entries[0] = nil
	s.entries = s.entries[1:]
	if cap(s.entries) > 2*len(s.entries)+maxSpareEntries {
		s.entries = slices.Clone(s.entries)
	}
}

// Query selects requests. A field with its zero value matches all requests, except Class.
type Query struct {
	ID, Key   string
	Class     int // -1: any
	Status    lifecycle.Status
	NotServed bool
	Cause     lifecycle.Cause
	From, To  wallclock.UnixMicro // bounds of the time of the answer, inclusive
	Limit     int                 // maximum number of entries; 0: defaultLimit
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

// Find returns the newest requests that match, newest first. A query by ID finds all requests with that
// ID, and the duplicates of the request with that ID.
func (r *RequestLog) Find(q Query) []*Entry {
	limit := cmp.Or(q.Limit, defaultLimit)
	var found []*Entry
	for _, s := range r.order {
		found = append(found, s.newest(&q, limit)...)
	}
	slices.SortFunc(found, func(a, b *Entry) int { return cmp.Compare(b.Seq, a.Seq) })
	return found[:min(len(found), limit)]
}

// newest returns the newest entries that match, newest first and up to a limit.
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

// Stratum has the numbers of requests of a class and status.
type Stratum struct {
	Class    int
	Status   lifecycle.Status
	Added    uint64 // requests since the start
	Retained int    // entries in the log
}

// Strata returns all strata, ordered by class and status.
func (r *RequestLog) Strata() (out []Stratum) {
	for _, s := range r.order {
		out = append(out, Stratum{s.class, s.status, s.added, len(s.entries)})
	}
	slices.SortFunc(out, func(a, b Stratum) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Status, b.Status))
	})
	return out
}
