package replication

import "slices"

// SlotSnapshot is what a disk has of a slot.
type SlotSnapshot struct {
	Slot        int          `cbor:"1,keyasint"`
	LastEpoch   uint64       `cbor:"2,keyasint"`
	LastSeq     uint64       `cbor:"3,keyasint"`
	EpochStarts []EpochStart `cbor:"4,keyasint,omitempty"`
	Entries     []Entry      `cbor:"5,keyasint,omitempty"`
}

// Snapshot gives what is held, for a disk.
func (h *Replica) Snapshot(now int64) []SlotSnapshot {
	var all []SlotSnapshot
	for i := range h.slots {
		if s := h.SnapshotSlot(i, now); s != nil {
			all = append(all, *s)
		}
	}
	return all
}

// SnapshotSlot gives what is held of one slot; nil: nothing.
func (h *Replica) SnapshotSlot(i int, now int64) *SlotSnapshot {
	if i >= len(h.slots) || h.slots[i] == nil || h.slots[i].lastSeq == 0 {
		return nil
	}
	s := h.slots[i]
	entries, _ := s.entriesAfter(0, now, 1<<62)
	return &SlotSnapshot{Slot: i, LastEpoch: s.lastEpoch, LastSeq: s.lastSeq, EpochStarts: slices.Clone(s.epochStarts), Entries: entries}
}

// restore is what was saved. It is at no epoch: its holder counts for nothing until a primary has
// brought it up.
func (v *SlotSnapshot) restore(now int64) *slot {
	s := newSlot()
	for _, e := range v.Entries {
		s.store(e, now+e.Remaining)
	}
	s.lastEpoch, s.lastSeq, s.epochStarts = v.LastEpoch, v.LastSeq, slices.Clone(v.EpochStarts)
	return s
}
