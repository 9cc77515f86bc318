package replication

import (
	"slices"

	"ryepaddle/internal/idempotency/store"
)

// Put asks that a record is taken: that a run is about to begin, that it ended, or that it never
// began. Left is what is left of its window. Done is told once what that came to, at the latest
// when the time is over; of a run of another that goes on it is told that, and once more how it
// ended. An end is said on after that, until it is kept; of a beginning that was given up it is
// said that it never ran.
func (h *Replica) Put(r *store.Record, left, within, now int64, done func(Result)) {
	h.now = max(h.now, now)
	h.enqueuePut(r, left, within, done)
	h.sendPending()
	h.drainLoopback(now)
}

func (h *Replica) enqueuePut(r *store.Record, left, within int64, done func(Result)) {
	h.lastRequestID++
	a := &pendingPut{
		id:        h.lastRequestID,
		record:    r,
		expiresAt: h.now + left,
		deadline:  h.now + within,
		abandonAt: h.now + within,
		nextSend:  h.now,
		done:      done,
	}
	if r.Kind != store.RunStarted {
		a.abandonAt = max(a.abandonAt, a.expiresAt)
	}
	if h.table == nil {
		done(Result{Outcome: OutcomeUnavailable, RetryAfter: h.cfg.QuorumTimeout, Err: ErrUnavailable})
		return
	}
	a.slot = h.table.SlotOf(r.Name.Class + "\x00" + r.Name.Tenant + "\x00" + r.Name.Key)
	h.pending[a.id] = a
}

// sendPending says what is under way and was not answered, and gives up what is late.
func (h *Replica) sendPending() {
	ids := make([]uint64, 0, len(h.pending))
	for id := range h.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids) // in the order in which they came
	for _, id := range ids {
		a := h.pending[id]
		if a == nil {
			continue
		}
		if h.now >= a.deadline && !a.answered && !a.watching {
			h.answer(a, Result{Err: ErrTimeout})
		}
		if h.now >= a.abandonAt {
			delete(h.pending, id)
			if a.record.Kind == store.RunStarted && !a.watching {
				never := *a.record
				never.Kind = store.KeyReleased
				h.enqueuePut(&never, a.expiresAt-h.now, h.cfg.QuorumTimeout, func(Result) {})
			}
			continue
		}
		if h.now < a.nextSend {
			continue
		}
		t := &h.table.Slots[a.slot]
		if to := t.Primary(); to != "" {
			word := OutcomeGranted
			if a.watching {
				word = OutcomeOwnedByOther
			}
			h.send(Message{Type: MsgPut, To: to, Slot: a.slot, Epoch: t.Epoch, RequestID: a.id, Outcome: word,
				Entries: []Entry{{Remaining: a.expiresAt - h.now, Record: a.record}}})
		}
		if a.nextSend = h.now + resendInterval; a.watching {
			a.nextSend = h.now + 5*resendInterval
		}
	}
}

// answer answers an asker, once.
func (h *Replica) answer(a *pendingPut, x Result) {
	if !a.answered {
		a.answered = true
		a.done(x)
	}
}

// answered hears what became of an ask.
func (h *Replica) handlePutResponse(m *Message) {
	a := h.pending[m.RequestID]
	if a == nil {
		return
	}
	if m.Outcome == OutcomeRetry {
		a.nextSend = min(a.nextSend, h.now+retryInterval)
		return
	}
	if begins := a.record.Kind == store.RunStarted; m.Outcome == OutcomeStored && begins ||
		m.Outcome == OutcomeGranted && !begins {
		return // that was not asked
	}
	x := Result{Outcome: m.Outcome, InDoubt: m.InDoubt, RetryAfter: m.RetryAfter}
	switch m.Outcome {
	case OutcomeOwnedByOther:
		if len(m.Entries) != 1 || m.Entries[0].Record == nil || m.Entries[0].Record.Name != a.record.Name {
			return
		}
		x.Record, x.Remaining = m.Entries[0].Record, m.Entries[0].Remaining
		if x.Record.Kind == store.RunStarted && !m.InDoubt { // its end is told as soon as it is kept
			if !a.watching && !a.answered {
				a.watching, a.answered, a.abandonAt = true, true, a.expiresAt
				a.done(x)
			}
			return
		}
		if a.watching { // the second answer
			a.answered = false
		}
	case OutcomeGranted:
		if h.now >= a.deadline { // it was given up, if only just
			return
		}
		a.abandonAt = h.now // there is nothing more to say
	case OutcomeUnavailable:
		x.Err = ErrUnavailable
	case OutcomeConflict:
		x.Err = ErrConflict
	}
	delete(h.pending, a.id)
	h.answer(a, x)
}

// CancelWatch ends the wait for another's run.
func (h *Replica) CancelWatch(name store.KeyName) {
	for id, a := range h.pending {
		if a.watching && a.record.Name == name {
			delete(h.pending, id)
		}
	}
}

// pendingPut hears an ask, as the primary.
func (h *Replica) handlePut(m *Message) {
	if len(m.Entries) != 1 || m.Entries[0].Record == nil {
		return
	}
	r, left := m.Entries[0].Record, m.Entries[0].Remaining
	tell := func(w Outcome, back int64) {
		h.send(
			Message{
				Type:       MsgPutResp,
				To:         m.From,
				Slot:       m.Slot,
				Epoch:      m.Epoch,
				RequestID:  m.RequestID,
				Outcome:    w,
				RetryAfter: back,
			},
		)
	}
	s, t := *h.slotAt(m.Slot), &h.table.Slots[m.Slot]
	// A primary that does not hear the consensus group may have been replaced, and whoever replaced
	// it may have begun with nothing.
	if s == nil || !s.isPrimary || s.epoch != t.Epoch || m.Epoch != s.epoch ||
		h.now-h.quorumContact > h.cfg.QuorumTimeout {
		tell(OutcomeRetry, 0)
		return
	}
	if _, open := s.committed(t); !open {
		tell(OutcomeRetry, 0)
		return
	}
	it := s.items[r.Name]
	if it != nil && h.now > it.expiresAt+readGrace && (it.record.Kind != store.RunStarted || !h.ownerAlive(&it.record)) {
		it = nil // no repeat of it can come any more
	}
	once := func(it *item, w Outcome) {
		s.commitWaiters = append(s.commitWaiters, commitWaiter{it.seq, func() { tell(w, 0) }})
	}
	switch {
	case r.Kind == store.RunStarted && m.Outcome == OutcomeOwnedByOther && (it == nil || it.record.Kind == store.KeyReleased): // what it waits for never began
		never := *r
		never.Kind = store.KeyReleased
		h.send(
			Message{
				Type:      MsgPutResp,
				To:        m.From,
				Slot:      m.Slot,
				RequestID: m.RequestID,
				Outcome:   OutcomeOwnedByOther,
				Entries:   []Entry{{Remaining: left, Record: &never}},
			},
		)
	case r.Kind == store.RunStarted && (it == nil || it.record.Kind == store.KeyReleased && it.record.Owner != r.Owner):
		if wait := s.quarantine.until - h.now; s.quarantine.epoch != 0 && wait > 0 {
			tell(OutcomeUnavailable, wait)
			return
		}
		if h.cfg.MaxBytes > 0 && h.HeldBytes >= h.cfg.MaxBytes { // what was taken is kept, and its end too
			tell(OutcomeUnavailable, memoryRetryAfter)
			return
		}
		once(h.appendRecord(m.Slot, s, r, h.now+left), OutcomeGranted)
	case r.Kind == store.RunStarted && it.record.Owner == r.Owner && it.record.Kind == store.RunStarted:
		once(it, OutcomeGranted) // it is said again
	case r.Kind == store.RunStarted && it.record.Kind == store.KeyReleased:
		tell(OutcomeConflict, 0) // its asker has given it up
	case r.Kind == store.RunStarted:
		w := watcher{m.From, m.RequestID}
		if it.record.Kind == store.RunStarted && !slices.Contains(it.watchers, w) {
			if len(it.watchers) >= maxWatchers {
				tell(OutcomeUnavailable, resendInterval)
				return
			}
			it.watchers = append(it.watchers, w)
		}
		s.commitWaiters = append(s.commitWaiters, commitWaiter{it.seq, func() { h.sendOwner(m.Slot, it, w) }})
	case it == nil || it.record.Owner == r.Owner && it.record.Kind == store.RunStarted:
		it = h.appendRecord(m.Slot, s, r, h.now+left)
		once(it, OutcomeStored)
		s.commitWaiters = append(s.commitWaiters, commitWaiter{it.seq, func() { h.notifyWatchers(m.Slot, it) }})
	case it.record.Owner == r.Owner:
		once(it, OutcomeStored)
	default:
		tell(OutcomeConflict, 0)
	}
	h.advance(m.Slot, s)
}

// appendRecord takes a record as the slot's next, and has it kept.
func (h *Replica) appendRecord(i int, s *slot, r *store.Record, until int64) *item {
	it := s.append(r, until)
	for name, p := range s.sortedFollowers() {
		if p.probed && p.sentSeq == s.lastSeq-1 {
			p.sentSeq, p.lastActive = s.lastSeq, h.now
			h.send(
				Message{
					Type:       MsgAppend,
					To:         name,
					Slot:       i,
					Epoch:      s.epoch,
					Base:       s.lastSeq - 1,
					Seq:        s.lastSeq,
					Quarantine: max(s.quarantine.until-h.now, 0),
					Entries:    []Entry{{Seq: it.seq, Epoch: it.epoch, Remaining: until - h.now, Record: r}},
				},
			)
		}
	}
	return it
}

// sendOwner tells a runner how a key stands.
func (h *Replica) sendOwner(i int, it *item, w watcher) {
	r := it.record
	doubt := r.Kind == store.RunStarted && !h.ownerAlive(&r)
	h.send(
		Message{
			Type:      MsgPutResp,
			To:        w.runner,
			Slot:      i,
			RequestID: w.requestID,
			Outcome:   OutcomeOwnedByOther,
			InDoubt:   doubt,
			Entries:   []Entry{{Remaining: it.expiresAt - h.now, Record: &r}},
		},
	)
}

// notifyWatchers tells those who wait for the end of a run that it ended, never began, or is in
// doubt.
func (h *Replica) notifyWatchers(i int, it *item) {
	if len(it.watchers) == 0 || it.record.Kind == store.RunStarted && h.ownerAlive(&it.record) {
		return
	}
	for _, w := range it.watchers {
		h.sendOwner(i, it, w)
	}
	it.watchers = nil
}
