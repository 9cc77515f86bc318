package replication

import (
	"slices"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

const (
	// maxAppendBytes bounds the records of one message, but for a single record that is larger.
	maxAppendBytes = 256 << 10
	// catchUpBurst is the part of a second's catch-up rate that may be sent at once.
	catchUpBurst = time.Second / 4
)

// handleFollowerResponse handles a MsgProbeResp or MsgAppendResp, as the slot's primary.
func (r *Replica) handleFollowerResponse(m *Message) {
	s := *r.slotAt(m.Slot)
	if s == nil || !s.isPrimary || m.Epoch != s.epoch {
		return
	}
	f := s.followers[m.From]
	if f == nil || f.incarnation != m.Incarnation { // its disk may have gone with its incarnation
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

// catchUp sends a follower the records that it lacks, up to one message's bound. One that is only
// joining is held to the catch-up rate, as nothing waits for it; without any other nothing is
// committed, and it is sent its records at once.
func (r *Replica) catchUp(i int, s *slot, name string, f *follower) {
	if f.sentSeq >= s.lastSeq && !f.needsReset && !f.needsAppend {
		return
	}
	joins := r.cfg.CatchUpRate > 0 && !f.caughtUp && slices.Contains(r.table.Slots[i].Joining, name)
	maxBytes := maxAppendBytes
	if joins {
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
	r.countCatchUp(entries, joins)
	f.sentSeq = upTo
	f.lastActive = r.now
	f.needsReset = false
	f.needsAppend = false
	r.send(m)
}

// countCatchUp counts records that bring a follower up to date, and charges those for one that is
// joining to the budget.
func (r *Replica) countCatchUp(entries []Entry, joins bool) {
	for _, e := range entries {
		size := int64(recordSize(e.Record))
		if r.CatchUpBytes += size; joins {
			r.catchUpBudget -= size
		}
	}
}

// refillCatchUpBudget adds what the catch-up rate gives for the time since the last refill, up to
// the burst.
func (r *Replica) refillCatchUpBudget() {
	rate := r.cfg.CatchUpRate
	refill := rate * (r.now - r.budgetRefilledAt).Microseconds() / time.Second.Microseconds()
	r.catchUpBudget = min(r.catchUpBudget+refill, rate*catchUpBurst.Milliseconds()/1000)
	r.budgetRefilledAt = r.now
}

// appendRecord stores a record as the slot's next and sends it to the followers that have all
// before it.
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

// tickFollowers resends what followers did not answer.
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

// advance reports followers that have caught up to the consensus group and answers the requests
// whose records are committed.
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

// reportCaughtUp proposes that joining followers with all records become members of the replica
// set. Before each required follower has answered the probe it is not known which records are all.
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
