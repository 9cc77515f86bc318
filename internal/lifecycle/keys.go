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

// entry is what is remembered of a key.
type entry struct {
	name    keyName
	first   string // the name of the try that is kept
	owner   uint64 // the try that is kept, and that runs if any does
	body    bodySum
	until   wallclock.UnixMicro // Unix time up to which a repeat may arrive
	ran     bool
	ended   bool
	failed  Status  // of an end without a result
	result  *Result // of an end with one
	waiters []*request
	// Of one that was kept in an earlier life of the program:
	restored bool
	doubt    bool // it had begun, and did not end
	// The life of the process that runs it, where that is another of this runner; 0: this one.
	elsewhere uint32
}

// keyTable remembers keyed requests for both fronts.
type keyTable struct {
	byName map[keyName]*entry
	bytes  int
	swept  wallclock.UnixMicro
	most   KeyLimits
}

func newKeyTable(most KeyLimits) keyTable {
	most.Keys = cmp.Or(most.Keys, 20_000)
	most.ResultBytes = cmp.Or(most.ResultBytes, 24<<20)
	return keyTable{byName: map[keyName]*entry{}, most: most}
}

// lateRead is how long after its arrival a repeat may be read; it still meets the entry that stood
// when it came.
const lateRead = 10 * time.Second

// sweepEvery bounds the work of looking through the table.
const sweepEvery = 500 * time.Millisecond

// bodySum stands for a body, of which all tries carry the same.
type bodySum [sha256.Size]byte

func bodyOf(q *Request) bodySum { return sha256.Sum256(q.Body) }

func nameOf(q *Request) keyName { return keyName{q.Class, q.Tenant, q.Key} }

// find is the entry that a request repeats, if it came while that stood.
func (t *keyTable) find(q *Request) *entry {
	e := t.byName[nameOf(q)]
	// one that is held or runs stands, however long that takes
	if e != nil && (q.ArrivedAt <= e.until || !e.ended) {
		return e
	}
	return nil
}

// keep remembers a request's key up to a Unix time, in place of an older try whose time is over.
func (t *keyTable) keep(r *request, until wallclock.UnixMicro) {
	e := t.byName[nameOf(r.Request)]
	// another process was first, since r was read
	if e != nil && e.elsewhere != 0 && r.ArrivedAt <= e.until {
		r.entry = e
		return
	}
	if e == nil || e.owner != r.id {
		t.remove(e)
		e = &entry{name: nameOf(r.Request), owner: r.id, first: r.ID, body: bodyOf(r.Request)}
		t.byName[e.name] = e
	}
	e.until = max(e.until, until)
	r.entry = e
}

// mayRun tells whether r is the try that its key stands for, and the first of them to run.
func (t *keyTable) mayRun(r *request) bool {
	e := r.entry
	return e != nil && t.byName[e.name] == e && e.owner == r.id && !e.ran
}

// full tells whether the table has no room for another key. What ran is never dropped for room.
func (t *keyTable) full() bool { return len(t.byName) >= t.most.Keys || t.bytes >= t.most.ResultBytes }

// run opens the window: it counts from the arrival of the try that runs.
func (e *entry) run(arrived wallclock.UnixMicro, window time.Duration) {
	e.ran = true
	e.until = max(e.until, arrived.Add(window))
}

func (e *entry) leave(r *request) {
	for i, w := range e.waiters {
		if w == r {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
}

// remove takes an entry out of the table and gives its memory back.
func (t *keyTable) remove(e *entry) {
	if e != nil && t.byName[e.name] == e {
		delete(t.byName, e.name)
		if e.result != nil {
			t.bytes -= e.result.size()
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
	if now < t.swept.Add(sweepEvery) {
		return
	}
	t.swept = now
	for _, e := range t.byName {
		if now > e.until.Add(lateRead) && (e.ended || !e.ran || e.elsewhere != 0) && len(e.waiters) == 0 {
			t.remove(e)
		}
	}
}

// settleKey notes how the run of a key ended and answers the repeats that wait for it.
func (c *Manager) settleKey(r *request, o Outcome, res *Result) {
	e := r.entry
	if neverRan(o) { // proof that nothing ran: another try may
		if c.host.Reservations != nil {
			c.host.Reservations.Released(c.keptOf(e))
		}
		c.forgetEntry(e)
		return
	}
	e.ended, e.failed = true, howOf(o)
	if o == Succeeded && res != nil {
		e.result = res
		c.keys.bytes += res.size()
	}
	if c.host.Reservations != nil {
		c.host.Reservations.Ended(c.keptOf(e))
	}
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		c.finishReuse(w, e)
	}
}

// howOf is how repeats of a run are answered that has no result to give.
func howOf(o Outcome) Status {
	switch o {
	case TimedOut:
		return Expired
	case Succeeded:
		return ResultLost
	}
	return Failed
}

// forget drops the key of a request that did not run.
func (c *Manager) forget(r *request) {
	if r.entry != nil && r.entry.owner == r.id && !r.entry.ran {
		c.forgetEntry(r.entry)
	}
}

// forgetEntry drops a key whose try never ran. Nor did those that wait for it, and they may be
// tried again.
func (c *Manager) forgetEntry(e *entry) {
	c.keys.remove(e)
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		w.waits = false
		w.trail.because(CauseOriginalNotRun, 0, 0)
		c.answer(w, Answer{Status: Rejected})
		c.reuseOver(w, admission.OutcomeFailed)
	}
}

// reuse answers a repeat with the result of the try that ran, now or when there is one.
func (c *Manager) reuse(r *request) {
	switch e := r.entry; {
	case e == nil || c.keys.byName[e.name] != e && !e.ended:
		r.trail.because(CauseOriginalNotRun, 0, 0)
		c.answer(r, Answer{Status: Rejected}) // what it repeats was dropped without having run
		c.reuseOver(r, admission.OutcomeFailed)
	case e.ended:
		c.finishReuse(r, e)
	default:
		r.waits = true
		e.waiters = append(e.waiters, r)
	}
}

// finishReuse answers a repeat from an entry that has ended.
func (c *Manager) finishReuse(r *request, e *entry) {
	r.waits = false
	r.trail.because(CauseDuplicate, 0, 0)
	if e.result != nil {
		c.answer(r, Answer{Status: Served, Result: e.result})
		c.reuseOver(r, admission.OutcomeOK)
		return
	}
	c.answer(r, Answer{Status: e.failed})
	c.reuseOver(r, admission.OutcomeFailed)
}

func (c *Manager) reuseOver(r *request, o admission.Outcome) {
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: o})
	c.drop(r)
}
