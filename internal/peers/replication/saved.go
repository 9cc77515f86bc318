package replication

import "slices"

// Saved is what a disk has of a slot.
type Saved struct {
	Slot    int     `cbor:"1,keyasint"`
	Last    uint64  `cbor:"2,keyasint"`
	Seq     uint64  `cbor:"3,keyasint"`
	Eras    []Era   `cbor:"4,keyasint,omitempty"`
	Entries []Entry `cbor:"5,keyasint,omitempty"`
}

// Save gives what is held, for a disk.
func (h *Replica) Save(now int64) []Saved {
	var all []Saved
	for i := range h.slots {
		if s := h.SaveSlot(i, now); s != nil {
			all = append(all, *s)
		}
	}
	return all
}

// SaveSlot gives what is held of one slot; nil: nothing.
func (h *Replica) SaveSlot(i int, now int64) *Saved {
	if i >= len(h.slots) || h.slots[i] == nil || h.slots[i].seq == 0 {
		return nil
	}
	s := h.slots[i]
	entries, _ := s.after(0, now, 1<<62)
	return &Saved{Slot: i, Last: s.last, Seq: s.seq, Eras: slices.Clone(s.eras), Entries: entries}
}

// slot is what was saved. It is at no epoch: its holder counts for nothing until a primary has
// brought it up.
func (v *Saved) slot(now int64) *slot {
	s := newSlot()
	for _, e := range v.Entries {
		s.set(e, now+e.Left)
	}
	s.last, s.seq, s.eras = v.Last, v.Seq, slices.Clone(v.Eras)
	return s
}
