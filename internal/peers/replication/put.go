package replication

import (
	"slices"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

const (
	// maxWatchers is the maximum number of requests that wait for the end of one run.
	maxWatchers = 256
	// memoryRetryAfter is the delay before the earliest retry of a key that is rejected at the memory
	// bound.
	memoryRetryAfter = time.Second
)

// put is a MsgPut that this runner handles as the slot's primary.
type put struct {
	message   *Message
	slot      *slot
	record    *store.Record
	remaining time.Duration // time left of the key's window
	current   *item         // stored record of the key; nil: none
}

// handlePut handles a MsgPut as the slot's primary. It responds once the records on which the
// outcome depends are committed.
func (r *Replica) handlePut(m *Message) {
	if len(m.Entries) != 1 || m.Entries[0].Record == nil {
		return
	}
	s := *r.slotAt(m.Slot)
	if !r.servesPut(m, s) {
		r.respond(m, OutcomeRetry, 0)
		return
	}
	p := &put{message: m, slot: s, record: m.Entries[0].Record, remaining: m.Entries[0].Remaining.Duration()}
	p.current = r.currentItem(s, p.record.Name)
	if p.record.Kind != store.RunStarted {
		r.handleEnd(p)
	} else if !r.handleBegin(p) {
		return
	}
	r.advance(m.Slot, s)
}

// servesPut reports whether this runner is the slot's primary in the epoch of the request, has recent
// contact with the consensus group, and can commit records.
func (r *Replica) servesPut(m *Message, s *slot) bool {
	t := &r.table.Slots[m.Slot]
	if s == nil || !s.isPrimary || s.epoch != t.Epoch || m.Epoch != s.epoch || r.quorumLost(r.now) {
		return false
	}
	_, ok := s.committed(t)
	return ok
}

// currentItem returns the stored record of a key. It returns nil if there is none, or if the key's
// window and readGrace are over, unless the run still goes on.
func (r *Replica) currentItem(s *slot, name store.KeyName) *item {
	it := s.items[name]
	if it == nil || r.now <= it.expiresAt+readGrace {
		return it
	}
	if it.record.Kind == store.RunStarted && r.ownerAlive(&it.record) {
		return it
	}
	return nil
}

// handleBegin decides whether a run may begin. It reports false if it rejected the request at once:
// during the quarantine, at the memory bound, or with too many watchers of the key.
func (r *Replica) handleBegin(p *put) bool {
	current := p.current
	neverRan := current == nil || current.record.Kind == store.KeyReleased
	isOwn := current != nil && current.record.Owner == p.record.Owner
	switch {
	case p.message.Outcome == OutcomeOwnedByOther && neverRan:
		r.respondNeverRan(p)
	case neverRan && !isOwn:
		if wait := p.slot.remainingQuarantine(r.now); wait > 0 {
			r.respond(p.message, OutcomeUnavailable, wait)
			return false
		}
		// The memory bound applies to new keys only: the end of a run that began is always stored.
		if r.cfg.MaxBytes > 0 && r.HeldBytes >= r.cfg.MaxBytes {
			r.respond(p.message, OutcomeUnavailable, memoryRetryAfter)
			return false
		}
		it := r.appendRecord(p.message.Slot, p.slot, p.record, p.remaining)
		r.respondOnCommit(p, it, OutcomeGranted)
	case isOwn && current.record.Kind == store.RunStarted: // the request was resent
		r.respondOnCommit(p, current, OutcomeGranted)
	case neverRan: // its own sender abandoned the attempt
		r.respond(p.message, OutcomeConflict, 0)
	default:
		return r.watch(p)
	}
	return true
}

// watch responds with the record of the attempt that owns the key, and again when the run of that
// attempt ends. It reports false if the run has maxWatchers already.
func (r *Replica) watch(p *put) bool {
	it := p.current
	w := watcher{p.message.From, p.message.RequestID}
	if it.record.Kind == store.RunStarted && !slices.Contains(it.watchers, w) {
		if len(it.watchers) >= maxWatchers {
			r.respond(p.message, OutcomeUnavailable, resendInterval)
			return false
		}
		it.watchers = append(it.watchers, w)
	}
	slot := p.message.Slot
	p.slot.onCommit(it.seq, func() { r.sendOwner(slot, it, w) })
	return true
}

// handleEnd stores the record of a run that ended or never began.
func (r *Replica) handleEnd(p *put) {
	current, slot := p.current, p.message.Slot
	switch {
	case current == nil || current.record.Owner == p.record.Owner && current.record.Kind == store.RunStarted:
		it := r.appendRecord(slot, p.slot, p.record, p.remaining)
		r.respondOnCommit(p, it, OutcomeStored)
		p.slot.onCommit(it.seq, func() { r.notifyWatchers(slot, it) })
	case current.record.Owner == p.record.Owner:
		r.respondOnCommit(p, current, OutcomeStored)
	default:
		r.respond(p.message, OutcomeConflict, 0)
	}
}

// onCommit registers fn to be called once all records up to seq are committed.
func (s *slot) onCommit(seq uint64, fn func()) {
	s.commitWaiters = append(s.commitWaiters, commitWaiter{seq, fn})
}

// respond answers a MsgPut. With a retryAfter of 0 the request may be retried at once.
func (r *Replica) respond(m *Message, outcome Outcome, retryAfter time.Duration) {
	r.send(Message{
		Type:       MsgPutResp,
		To:         m.From,
		Slot:       m.Slot,
		Epoch:      m.Epoch,
		RequestID:  m.RequestID,
		Outcome:    outcome,
		RetryAfter: wallclock.MicrosOf(retryAfter),
	})
}

// respondOnCommit answers a MsgPut once the item's record is committed.
func (r *Replica) respondOnCommit(p *put, it *item, outcome Outcome) {
	m := p.message
	p.slot.onCommit(it.seq, func() { r.respond(m, outcome, 0) })
}

// respondNeverRan answers a request that waits for the end of another attempt's run: the run never
// began.
func (r *Replica) respondNeverRan(p *put) {
	released := *p.record
	released.Kind = store.KeyReleased
	r.send(Message{
		Type:      MsgPutResp,
		To:        p.message.From,
		Slot:      p.message.Slot,
		RequestID: p.message.RequestID,
		Outcome:   OutcomeOwnedByOther,
		Entries:   []Entry{{Remaining: wallclock.MicrosOf(p.remaining), Record: &released}},
	})
}

// sendOwner answers a request with the record of the attempt that owns the key.
func (r *Replica) sendOwner(i int, it *item, w watcher) {
	record := it.record
	r.send(Message{
		Type:      MsgPutResp,
		To:        w.runner,
		Slot:      i,
		RequestID: w.requestID,
		Outcome:   OutcomeOwnedByOther,
		InDoubt:   record.Kind == store.RunStarted && !r.ownerAlive(&record),
		Entries:   []Entry{{Remaining: wallclock.MicrosOf(it.expiresAt - r.now), Record: &record}},
	})
}

// notifyWatchers answers the watchers of a run that ended, never began or is in doubt. It does nothing
// while the run goes on.
func (r *Replica) notifyWatchers(i int, it *item) {
	if len(it.watchers) == 0 || it.record.Kind == store.RunStarted && r.ownerAlive(&it.record) {
		return
	}
	for _, w := range it.watchers {
		r.sendOwner(i, it, w)
	}
	it.watchers = nil
}
