package replication

import (
	"slices"

	"ryepaddle/internal/wallclock"
)

// handleAppend handles a MsgProbe or MsgAppend of a primary. A message of an older epoch is not
// answered.
func (r *Replica) handleAppend(m *Message) {
	t, s := &r.table.Slots[m.Slot], *r.slotAt(m.Slot)
	if m.Epoch < t.Epoch || s != nil && m.Epoch < s.epoch {
		return
	}
	if s == nil {
		s = newSlot()
		*r.slotAt(m.Slot) = s
	}
	if m.Epoch > s.epoch { // the table with this epoch has not arrived yet
		s.epoch = m.Epoch
		s.isPrimary = false
		s.commitWaiters = nil
	}
	if s.isPrimary || m.Epoch == t.Epoch && t.Primary() != m.From || s.isStale(m) {
		return
	}
	s.newest.from = m.From
	s.newest.incarnation = m.Incarnation
	s.newest.serial = m.Serial
	hasGap := !m.Reset && m.Base > s.lastSeq
	if m.Type == MsgProbe || hasGap {
		r.send(Message{
			Type:  MsgProbeResp,
			To:    m.From,
			Slot:  m.Slot,
			Epoch: s.epoch,
			Base:  s.lastEpoch,
			Seq:   s.lastSeq,
		})
		return
	}
	r.storeEntries(s, m)
	r.send(Message{Type: MsgAppendResp, To: m.From, Slot: m.Slot, Epoch: s.epoch, Seq: s.lastSeq})
}

// isStale reports whether a message is a duplicate of, or older than, the newest message received from
// the same incarnation of the primary.
func (s *slot) isStale(m *Message) bool {
	return s.newest.from == m.From && s.newest.incarnation == m.Incarnation && s.newest.serial >= m.Serial
}

// storeEntries stores the records of a MsgAppend, which must directly follow the stored records.
func (r *Replica) storeEntries(s *slot, m *Message) {
	if m.Reset {
		s.reset()
	}
	s.quarantine.until = r.now + m.Quarantine.Duration()
	for _, e := range m.Entries {
		if e.Seq > s.lastSeq {
			s.store(e, r.now+e.Remaining.Duration())
		}
	}
	if m.EpochStarts != nil { // the newest epochs may have no unexpired entries
		s.epochStarts = slices.Clone(m.EpochStarts)
		s.lastEpoch = m.EpochStarts[len(m.EpochStarts)-1].Epoch
	}
	s.lastSeq = max(s.lastSeq, m.Seq)
}

// quarantineLeft returns the remaining quarantine of the slot as a primary sends it to its followers;
// it is never negative.
func (r *Replica) quarantineLeft(s *slot) wallclock.Micros {
	return wallclock.MicrosOf(max(s.quarantine.until-r.now, 0))
}
