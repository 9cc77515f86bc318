package replication

import (
	"time"

	"ryepaddle/internal/peers/placement"
)

// SetTable takes a newer table. An older one is ignored.
func (r *Replica) SetTable(t *placement.Table, now time.Duration) {
	if r.table != nil && t.Version <= r.table.Version {
		return
	}
	r.now = max(r.now, now)
	r.table = t
	for i := range t.Slots {
		r.applySlot(i, &t.Slots[i])
	}
	for _, p := range r.pending { // their slots may have other primaries now
		p.nextSend = min(p.nextSend, r.now)
	}
	r.sendPending()
	r.drainLoopback(now)
}

// applySlot applies what the table says of a slot.
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
	for _, it := range s.watchedItems() { // the processes of their runs may be lost
		r.notifyWatchers(i, it)
	}
	r.advance(i, s)
}

// leaveSlot drops a slot that this runner does not replicate: nobody asks for its records, and they
// are sent anew if it is to replicate the slot again. The slot stays if a primary of a later epoch
// has sent something before the table that names it came.
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

// applyEmptyEpoch quarantines a slot that began with nothing: for the longest window of a key, and
// for as long as it may be asked for after that, a key may have run that the slot has no record of.
func (r *Replica) applyEmptyEpoch(s *slot, t *placement.Slot, isPrimary bool) {
	if t.EmptyEpoch == s.quarantine.epoch {
		return
	}
	s.quarantine.epoch = t.EmptyEpoch
	s.quarantine.until = r.now + r.cfg.KeyWindow + readGrace
	if t.EmptyEpoch == t.Epoch && isPrimary { // records of its own disk may not be complete
		s.reset()
	}
}

// remainingQuarantine returns for how long the slot accepts no new keys; it is negative once the
// quarantine is over.
func (s *slot) remainingQuarantine(now time.Duration) time.Duration {
	if s.quarantine.epoch == 0 {
		return 0
	}
	return s.quarantine.until - now
}

// setFollowers has a primary follow the table's replicas. One in another incarnation may have lost
// its disk, and is probed anew.
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
