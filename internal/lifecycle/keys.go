package lifecycle

import (
	"cmp"
	"crypto/sha256"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/wallclock"
)

// keyName tells the tries of one request from those of others, whichever front they came through.
type keyName struct {
	class, tenant int
	key           string
}

// keyEntry is what is remembered of a key.
type keyEntry struct {
	name       keyName
	originalID string // the name of the try that is kept
	owner      uint64 // the try that is kept, and that runs if any does
	bodyHash   bodyHash
	expiresAt  wallclock.UnixMicro // Unix time up to which a repeat may arrive
	started    bool
	ended      bool
	status     Status  // of an end without a result
	result     *Result // of an end with one
	waiters    []*request
	// Of one that was kept in an earlier life of the program:
	restored bool
	inDoubt  bool // it had begun, and did not end
	// The life of the process that runs it, where that is another of this runner; 0: this one.
	remoteOwner uint32
}

// keyTable remembers keyed requests for both fronts.
type keyTable struct {
	entries     map[keyName]*keyEntry
	resultBytes int
	sweptAt     wallclock.UnixMicro
	limits      KeyLimits
}

func newKeyTable(most KeyLimits) keyTable {
	most.Keys = cmp.Or(most.Keys, 20_000)
	most.ResultBytes = cmp.Or(most.ResultBytes, 24<<20)
	return keyTable{entries: map[keyName]*keyEntry{}, limits: most}
}

// maxReadDelay is how long after its arrival a repeat may be read; it still meets the entry that stood
// when it came.
const maxReadDelay = 10 * time.Second

// sweepInterval bounds the work of looking through the table.
const sweepInterval = 500 * time.Millisecond

// bodyHash stands for a body, of which all tries carry the same.
type bodyHash [sha256.Size]byte

func hashBody(q *Request) bodyHash { return sha256.Sum256(q.Body) }

func keyNameOf(q *Request) keyName { return keyName{q.Class, q.Tenant, q.Key} }

// find is the entry that a request repeats, if it came while that stood.
func (t *keyTable) find(q *Request) *keyEntry {
	e := t.entries[keyNameOf(q)]
	// one that is held or runs stands, however long that takes
	if e != nil && (q.ArrivedAt <= e.expiresAt || !e.ended) {
		return e
	}
	return nil
}

// put remembers a request's key up to a Unix time, in place of an older try whose time is over.
func (t *keyTable) put(r *request, until wallclock.UnixMicro) {
	e := t.entries[keyNameOf(r.Request)]
	// another process was first, since r was read
	if e != nil && e.remoteOwner != 0 && r.ArrivedAt <= e.expiresAt {
		r.keyEntry = e
		return
	}
	if e == nil || e.owner != r.id {
		t.remove(e)
		e = &keyEntry{name: keyNameOf(r.Request), owner: r.id, originalID: r.ID, bodyHash: hashBody(r.Request)}
		t.entries[e.name] = e
	}
	e.expiresAt = max(e.expiresAt, until)
	r.keyEntry = e
}

// mayRun tells whether r is the try that its key stands for, and the first of them to run.
func (t *keyTable) mayRun(r *request) bool {
	e := r.keyEntry
	return e != nil && t.entries[e.name] == e && e.owner == r.id && !e.started
}

// isFull tells whether the table has no room for another key. What ran is never dropped for room.
func (t *keyTable) isFull() bool {
	return len(t.entries) >= t.limits.Keys || t.resultBytes >= t.limits.ResultBytes
}

// markStarted opens the window: it counts from the arrival of the try that runs.
func (e *keyEntry) markStarted(arrived wallclock.UnixMicro, window time.Duration) {
	e.started = true
	e.expiresAt = max(e.expiresAt, arrived.Add(window))
}

func (e *keyEntry) removeWaiter(r *request) {
	for i, w := range e.waiters {
		if w == r {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
}

// remove takes an entry out of the table and gives its memory back.
func (t *keyTable) remove(e *keyEntry) {
	if e != nil && t.entries[e.name] == e {
		delete(t.entries, e.name)
		if e.result != nil {
			t.resultBytes -= e.result.size()
		}
	}
}

func (r *Result) size() int {
	n := len(r.Body)
	for _, f := range r.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// expire drops the entries that no repeat can meet any more.
func (t *keyTable) expire(now wallclock.UnixMicro) {
	if now < t.sweptAt.Add(sweepInterval) {
		return
	}
	t.sweptAt = now
	for _, e := range t.entries {
		if now > e.expiresAt.Add(maxReadDelay) && (e.ended || !e.started || e.remoteOwner != 0) && len(e.waiters) == 0 {
			t.remove(e)
		}
	}
}

// endKey notes how the run of a key ended and answers the repeats that wait for it.
func (c *Manager) endKey(r *request, o Outcome, res *Result) {
	e := r.keyEntry
	if neverRan(o) { // proof that nothing ran: another try may
		if c.env.Reservations != nil {
			c.env.Reservations.Released(c.entryRecord(e))
		}
		c.releaseEntry(e)
		return
	}
	e.ended, e.status = true, duplicateStatus(o)
	if o == Succeeded && res != nil {
		e.result = res
		c.keys.resultBytes += res.size()
	}
	if c.env.Reservations != nil {
		c.env.Reservations.Ended(c.entryRecord(e))
	}
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		c.answerFromEntry(w, e)
	}
}

// duplicateStatus is how repeats of a run are answered that has no result to give.
func duplicateStatus(o Outcome) Status {
	switch o {
	case TimedOut:
		return Expired
	case Succeeded:
		return ResultLost
	}
	return Failed
}

// releaseKey drops the key of a request that did not run.
func (c *Manager) releaseKey(r *request) {
	if r.keyEntry != nil && r.keyEntry.owner == r.id && !r.keyEntry.started {
		c.releaseEntry(r.keyEntry)
	}
}

// releaseEntry drops a key whose try never ran. Nor did those that wait for it, and they may be
// tried again.
func (c *Manager) releaseEntry(e *keyEntry) {
	c.keys.remove(e)
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		w.awaitsOriginal = false
		w.trace.setCause(CauseOriginalNotRun, 0, 0)
		c.answer(w, Answer{Status: Rejected})
		c.endDuplicate(w, admission.OutcomeFailed)
	}
}

// answerDuplicate answers a repeat with the result of the try that ran, now or when there is one.
func (c *Manager) answerDuplicate(r *request) {
	switch e := r.keyEntry; {
	case e == nil || c.keys.entries[e.name] != e && !e.ended:
		r.trace.setCause(CauseOriginalNotRun, 0, 0)
		c.answer(r, Answer{Status: Rejected}) // what it repeats was dropped without having run
		c.endDuplicate(r, admission.OutcomeFailed)
	case e.ended:
		c.answerFromEntry(r, e)
	default:
		r.awaitsOriginal = true
		e.waiters = append(e.waiters, r)
	}
}

// answerFromEntry answers a repeat from an entry that has ended.
func (c *Manager) answerFromEntry(r *request, e *keyEntry) {
	r.awaitsOriginal = false
	r.trace.setCause(CauseDuplicate, 0, 0)
	if e.result != nil {
		c.answer(r, Answer{Status: Served, Result: e.result})
		c.endDuplicate(r, admission.OutcomeOK)
		return
	}
	c.answer(r, Answer{Status: e.status})
	c.endDuplicate(r, admission.OutcomeFailed)
}

func (c *Manager) endDuplicate(r *request, o admission.Outcome) {
	c.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: o})
	c.removeIfDone(r)
}
