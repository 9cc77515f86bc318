package replication

import (
	"math"
	"slices"
	"time"
)

// SlotSnapshot is the stored form of one slot's records at a runner.
type SlotSnapshot struct {
	Slot        int          `cbor:"1,keyasint"`
	LastEpoch   uint64       `cbor:"2,keyasint"`
	LastSeq     uint64       `cbor:"3,keyasint"`
	EpochStarts []EpochStart `cbor:"4,keyasint,omitempty"`
	Entries     []Entry      `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns the snapshots of all slots that have records.
func (r *Replica) Snapshot(now time.Duration) []SlotSnapshot {
	var all []SlotSnapshot
	for i := range r.slots {
		if s := r.SnapshotSlot(i, now); s != nil {
			all = append(all, *s)
		}
	}
	return all
}

// SnapshotSlot returns the snapshot of one slot, or nil if the runner has no record of it.
func (r *Replica) SnapshotSlot(i int, now time.Duration) *SlotSnapshot {
	if i >= len(r.slots) || r.slots[i] == nil || r.slots[i].lastSeq == 0 {
		return nil
	}
	s := r.slots[i]
	entries, _ := s.entriesAfter(0, now, math.MaxInt)
	return &SlotSnapshot{
		Slot:        i,
		LastEpoch:   s.lastEpoch,
		LastSeq:     s.lastSeq,
		EpochStarts: slices.Clone(s.epochStarts),
		Entries:     entries,
	}
}

// restore returns the slot of a snapshot. Its epoch is 0: the slot does not count as a replica until a
// primary has brought it up to date.
func (v *SlotSnapshot) restore(now time.Duration) *slot {
	s := newSlot()
	for _, e := range v.Entries {
		s.store(e, now+e.Remaining.Duration())
	}
	s.lastEpoch, s.lastSeq, s.epochStarts = v.LastEpoch, v.LastSeq, slices.Clone(v.EpochStarts)
	return s
}
