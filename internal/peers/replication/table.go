package replication

import (
	"time"

	"ryepaddle/internal/peers/placement"
)

// SetTable replaces the table by a newer one. Older tables are ignored.
func (r *Replica) SetTable(t *placement.Table, now time.Duration) {
	if r.table != nil && t.Version <= r.table.Version {
		return
	}
	r.now = max(r.now, now)
	r.table = t
	for i := range t.Slots {
		r.applySlot(i, &t.Slots[i])
	}
	for _, p := range r.pending { // the slots may have new primaries
		p.nextSend = min(p.nextSend, r.now)
	}
	r.sendPending()
	r.drainLoopback(now)
}

// applySlot applies the table's entry of a slot: the epoch, the primary and the replicas.
func (r *Replica) applySlot(i int, t *placement.Slot) {
	if r.self() == nil || !t.Holds(r.cfg.Name) {
		r.leaveSlot(i, t)
		return
	}
	s := *r.slotAt(i)
	if s == nil {
		s = newSlot()
		*r.slotAt(i) = s
	}
	isPrimary := t.Primary() == r.cfg.Name
	r.applyEmptyEpoch(s, t, isPrimary)
	if t.Epoch < s.epoch {
		return
	}
	if t.Epoch > s.epoch || isPrimary != s.isPrimary {
		s.epoch = t.Epoch
		s.followers = map[string]*follower{}
		if !isPrimary {
			s.commitWaiters = nil
		}
	}
	if s.isPrimary = isPrimary; !isPrimary {
		return
	}
	r.setFollowers(i, s, t)
	for _, it := range s.watchedItems() { // the processes that began the runs may be lost
		r.notifyWatchers(i, it)
	}
	r.advance(i, s)
}

// leaveSlot removes the state of a slot that this runner does not replicate: no other runner needs its
// records, and a primary sends them again if this runner is to replicate the slot later. The state
// stays if a primary of a later epoch has sent a message before the table of that epoch arrived, or if
// this runner is not a member with its current incarnation; then it only stops being primary.
func (r *Replica) leaveSlot(i int, t *placement.Slot) {
	s := *r.slotAt(i)
	switch {
	case s == nil:
	case s.epoch <= t.Epoch && r.self() != nil:
		*r.slotAt(i) = nil
	default:
		s.isPrimary = false
	}
}

// applyEmptyEpoch quarantines a slot that began an epoch without records. A key may have run before
// without a record in the slot. Retries of such a key may arrive until the longest key window and
// readGrace are over.
func (r *Replica) applyEmptyEpoch(s *slot, t *placement.Slot, isPrimary bool) {
	if t.EmptyEpoch == s.quarantine.epoch {
		return
	}
	s.quarantine.epoch = t.EmptyEpoch
	s.quarantine.until = r.now + r.cfg.KeyWindow + readGrace
	if t.EmptyEpoch == t.Epoch && isPrimary { // the records of its own disk may be incomplete
		s.reset()
	}
}

// remainingQuarantine returns the remaining time during which the slot accepts no new keys. It is
// negative once the quarantine is over, and 0 if there was none.
func (s *slot) remainingQuarantine(now time.Duration) time.Duration {
	if s.quarantine.epoch == 0 {
		return 0
	}
	return s.quarantine.until - now
}

// setFollowers sets the primary's followers to the other replicas in the table. A replica with a new
// incarnation may have lost its disk and is probed again.
func (r *Replica) setFollowers(i int, s *slot, t *placement.Slot) {
	for name := range s.followers {
		if !t.Holds(name) {
			delete(s.followers, name)
		}
	}
	for _, names := range [][]string{t.Replicas, t.Joining} {
		for _, name := range names {
			incarnation := r.table.Member(name).Incarnation
			if name == r.cfg.Name ||
				s.followers[name] != nil && s.followers[name].incarnation == incarnation {
				continue
			}
			s.followers[name] = &follower{incarnation: incarnation, lastActive: r.now}
			r.send(Message{Type: MsgProbe, To: name, Slot: i, Epoch: s.epoch})
		}
	}
}
