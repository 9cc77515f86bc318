package replication

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

const (
	// retryInterval is the time after which a request that was answered with OutcomeRetry is resent.
	retryInterval = 20 * time.Millisecond
	// watchInterval is the time after which a request that waits for the end of another attempt's
	// run is resent.
	watchInterval = 5 * resendInterval
)

// pendingPut is a request of this runner without a final response of a primary.
type pendingPut struct {
	id        uint64
	slot      int
	record    *store.Record
	expiresAt time.Duration // end of the key's window
	deadline  time.Duration // when the caller gets ErrTimeout
	abandonAt time.Duration // when it is no longer sent
	nextSend  time.Duration
	answered  bool // done was called
	watching  bool // it waits for the end of another attempt's run
	done      func(Result)
}

// Put asks the primary of the key's slot to store a record: that a run is about to begin, that it
// ended, or that it never began. Remaining is the time left of the key's window.
//
// Done is called once with the result, or with ErrTimeout after timeout. If another attempt's run goes
// on, done is called with OutcomeOwnedByOther and again when that run ends. The end of a run is resent
// after the timeout until it is stored. A run whose beginning timed out does not begin, and is stored
// as one that never ran.
func (r *Replica) Put(record *store.Record, remaining, timeout, now time.Duration, done func(Result)) {
	r.now = max(r.now, now)
	r.enqueuePut(record, remaining, timeout, done)
	r.sendPending()
	r.drainLoopback(now)
}

func (r *Replica) enqueuePut(record *store.Record, remaining, timeout time.Duration, done func(Result)) {
	r.lastRequestID++
	p := &pendingPut{
		id:        r.lastRequestID,
		record:    record,
		expiresAt: r.now + remaining,
		deadline:  r.now + timeout,
		abandonAt: r.now + timeout,
		nextSend:  r.now,
		done:      done,
	}
	if record.Kind != store.RunStarted {
		p.abandonAt = max(p.abandonAt, p.expiresAt)
	}
	if r.table == nil {
		done(Result{Outcome: OutcomeUnavailable, RetryAfter: r.cfg.QuorumTimeout, Err: ErrUnavailable})
		return
	}
	p.slot = r.slotOf(record.Name)
	r.pending[p.id] = p
}

// sendPending sends the requests that are due, in the order of their IDs, and fails those past their
// deadlines.
func (r *Replica) sendPending() {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		p := r.pending[id]
		if p == nil { // removed by the callback of an earlier request
			continue
		}
		if r.now >= p.deadline && !p.answered && !p.watching {
			p.answer(Result{Err: ErrTimeout})
		}
		switch {
		case r.now >= p.abandonAt:
			r.abandon(p)
		case r.now >= p.nextSend:
			r.sendPut(p)
		}
	}
}

// abandon stops sending a request. A run that was about to begin is stored as one that never ran.
func (r *Replica) abandon(p *pendingPut) {
	delete(r.pending, p.id)
	if p.record.Kind != store.RunStarted || p.watching {
		return
	}
	released := *p.record
	released.Kind = store.KeyReleased
	r.enqueuePut(&released, p.expiresAt-r.now, r.cfg.QuorumTimeout, func(Result) {})
}

// sendPut sends a request to the slot's primary, if the table has one.
func (r *Replica) sendPut(p *pendingPut) {
	wanted := OutcomeGranted
	interval := resendInterval
	if p.watching {
		wanted = OutcomeOwnedByOther
		interval = watchInterval
	}
	p.nextSend = r.now + interval
	t := &r.table.Slots[p.slot]
	primary := t.Primary()
	if primary == "" {
		return
	}
	r.send(Message{
		Type:      MsgPut,
		To:        primary,
		Slot:      p.slot,
		Epoch:     t.Epoch,
		RequestID: p.id,
		Outcome:   wanted,
		Entries:   []Entry{{Remaining: wallclock.MicrosOf(p.expiresAt - r.now), Record: p.record}},
	})
}

// answer calls done with the result, unless it was called before.
func (p *pendingPut) answer(result Result) {
	if !p.answered {
		p.answered = true
		p.done(result)
	}
}

// handlePutResponse handles the response to a request of this runner.
func (r *Replica) handlePutResponse(m *Message) {
	p := r.pending[m.RequestID]
	if p == nil {
		return
	}
	result := Result{Outcome: m.Outcome, InDoubt: m.InDoubt, RetryAfter: m.RetryAfter.Duration()}
	switch m.Outcome {
	case OutcomeRetry:
		p.nextSend = min(p.nextSend, r.now+retryInterval)
		return
	case OutcomeOwnedByOther:
		if len(m.Entries) != 1 || m.Entries[0].Record == nil || m.Entries[0].Record.Name != p.record.Name {
			return
		}
		result.Record, result.Remaining = m.Entries[0].Record, m.Entries[0].Remaining.Duration()
		if result.Record.Kind == store.RunStarted && !m.InDoubt {
			p.watch(result)
			return
		}
		if p.watching { // the caller gets the end of the run as a second result
			p.answered = false
		}
	case OutcomeGranted:
		if p.record.Kind != store.RunStarted || r.now >= p.deadline { // response to another request, or too late
			return
		}
	case OutcomeStored:
		if p.record.Kind == store.RunStarted { // the response belongs to another request
			return
		}
	case OutcomeUnavailable:
		result.Err = ErrUnavailable
	case OutcomeConflict:
		result.Err = ErrConflict
	}
	delete(r.pending, p.id)
	p.answer(result)
}

// watch calls done with another attempt's run that goes on, and keeps the request until that run ends.
func (p *pendingPut) watch(result Result) {
	if p.watching || p.answered {
		return
	}
	p.watching = true
	p.answered = true
	p.abandonAt = p.expiresAt
	p.done(result)
}
