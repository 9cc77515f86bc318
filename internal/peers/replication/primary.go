package replication

import (
	"slices"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

const (
	// maxAppendBytes bounds the size of the records in one MsgAppend. A single larger record is still
	// sent.
	maxAppendBytes = 256 << 10
	// catchUpBurst is the time for which unused catch-up rate accumulates: the bytes of this time may
	// be sent at once.
	catchUpBurst = time.Second / 4
)

// handleFollowerResponse handles a MsgProbeResp or MsgAppendResp as the slot's primary.
func (r *Replica) handleFollowerResponse(m *Message) {
	s := *r.slotAt(m.Slot)
	if s == nil || !s.isPrimary || m.Epoch != s.epoch {
		return
	}
	f := s.followers[m.From]
	if f == nil || f.incarnation != m.Incarnation { // a new incarnation may have lost its disk
		return
	}
	f.lastActive = r.now
	switch {
	case m.Type == MsgProbeResp:
		isFirst, isPrefix := !f.probed, s.isPrefix(m.Base, m.Seq)
		f.ackedSeq = 0
		if isPrefix {
			f.ackedSeq = m.Seq
		}
		f.probed = true
		f.sentSeq = f.ackedSeq
		f.needsReset = f.needsReset || !isPrefix
		f.needsAppend = f.needsAppend || isFirst
		r.catchUp(m.Slot, s, m.From, f)
	case f.probed:
		f.ackedSeq = max(f.ackedSeq, min(m.Seq, s.lastSeq))
		r.catchUp(m.Slot, s, m.From, f)
	}
	r.advance(m.Slot, s)
}

// catchUp sends a follower the records that it lacks, as many as one message may contain. A follower
// that is only joining is limited to the catch-up rate, because no commit waits for it. Commits wait
// for any other follower, which is sent its records at once.
func (r *Replica) catchUp(i int, s *slot, name string, f *follower) {
	if f.sentSeq >= s.lastSeq && !f.needsReset && !f.needsAppend {
		return
	}
	rateLimited := r.cfg.CatchUpRate > 0 && !f.caughtUp && slices.Contains(r.table.Slots[i].Joining, name)
	maxBytes := maxAppendBytes
	if rateLimited {
		if r.catchUpBudget <= 0 {
			f.needsAppend = true
			return
		}
		maxBytes = int(min(r.catchUpBudget, maxAppendBytes))
	}
	entries, upTo := s.entriesAfter(f.sentSeq, r.now, maxBytes)
	m := Message{
		Type:       MsgAppend,
		To:         name,
		Slot:       i,
		Epoch:      s.epoch,
		Base:       f.sentSeq,
		Seq:        upTo,
		Reset:      f.needsReset,
		Entries:    entries,
		Quarantine: r.quarantineLeft(s),
	}
	for _, e := range s.epochStarts {
		if e.FirstSeq <= upTo {
			m.EpochStarts = append(m.EpochStarts, e)
		}
	}
	r.countCatchUp(entries, rateLimited)
	f.sentSeq = upTo
	f.lastActive = r.now
	f.needsReset = false
	f.needsAppend = false
	r.send(m)
}

// countCatchUp adds the records sent to a follower that lacked them to CatchUpBytes. Those of a
// rate-limited follower also use up the catch-up budget.
func (r *Replica) countCatchUp(entries []Entry, rateLimited bool) {
	for _, e := range entries {
		size := int64(recordSize(e.Record))
		if r.CatchUpBytes += size; rateLimited {
			r.catchUpBudget -= size
		}
	}
}

// refillCatchUpBudget adds the bytes that the catch-up rate allows for the time since the last refill.
// The budget does not exceed the bytes of catchUpBurst.
func (r *Replica) refillCatchUpBudget() {
	rate := r.cfg.CatchUpRate
	refill := rate * (r.now - r.budgetRefilledAt).Microseconds() / time.Second.Microseconds()
	r.catchUpBudget = min(r.catchUpBudget+refill, rate*catchUpBurst.Milliseconds()/1000)
	r.budgetRefilledAt = r.now
}

// appendRecord stores a record with the slot's next sequence number and sends it to the followers that
// were sent all records before it.
func (r *Replica) appendRecord(i int, s *slot, record *store.Record, remaining time.Duration) *item {
	it := s.append(record, r.now+remaining)
	for name, f := range s.sortedFollowers() {
		if !f.probed || f.sentSeq != s.lastSeq-1 {
			continue
		}
		f.sentSeq = s.lastSeq
		f.lastActive = r.now
		r.send(Message{
			Type:       MsgAppend,
			To:         name,
			Slot:       i,
			Epoch:      s.epoch,
			Base:       s.lastSeq - 1,
			Seq:        s.lastSeq,
			Quarantine: r.quarantineLeft(s),
			Entries: []Entry{
				{Seq: it.seq, Epoch: it.epoch, Remaining: wallclock.MicrosOf(remaining), Record: record},
			},
		})
	}
	return it
}

// tickFollowers sends deferred catch-up records, and resends messages that followers did not answer.
func (r *Replica) tickFollowers(i int, s *slot) {
	for name, f := range s.sortedFollowers() {
		switch {
		case f.probed && f.needsAppend:
			r.catchUp(i, s, name, f)
		case r.now-f.lastActive < resendInterval:
		case !f.probed:
			f.lastActive = r.now
			r.send(Message{Type: MsgProbe, To: name, Slot: i, Epoch: s.epoch})
		case f.ackedSeq < s.lastSeq:
			f.sentSeq = f.ackedSeq
			r.catchUp(i, s, name, f)
		}
	}
}

// advance proposes followers that have caught up to the consensus group and runs the callbacks of the
// records that are now committed.
func (r *Replica) advance(i int, s *slot) {
	t := &r.table.Slots[i]
	if !s.isPrimary || t.Epoch != s.epoch {
		return
	}
	r.reportCaughtUp(i, s, t)
	seq, ok := s.committed(t)
	if !ok {
		return
	}
	var due []commitWaiter
	waiting := s.commitWaiters[:0]
	for _, w := range s.commitWaiters {
		if w.seq <= seq {
			due = append(due, w)
		} else {
			waiting = append(waiting, w)
		}
	}
	s.commitWaiters = waiting
	for _, w := range due {
		w.fn()
	}
}

// reportCaughtUp proposes that joining followers with all records become members of the replica set.
// It does nothing until each required follower has answered the probe: before that, the primary does
// not know which records the slot must have.
func (r *Replica) reportCaughtUp(i int, s *slot, t *placement.Slot) {
	unprobed := func(f *follower) bool { return !f.probed }
	if slices.ContainsFunc(s.requiredFollowers(t), unprobed) {
		return
	}
	for name, f := range s.sortedFollowers() {
		member := r.table.Member(name)
		if !slices.Contains(t.Joining, name) || !f.probed || f.ackedSeq < s.lastSeq {
			continue
		}
		f.caughtUp = true
		change := placement.Change{Kind: placement.ChangeCaughtUp, Member: *member, Slot: i, Epoch: s.epoch}
		r.changes = append(r.changes, change)
	}
}
