package placement

import (
	"cmp"
	"slices"
)

// maxImbalance is by how many slots two members may differ before a slot is moved.
const maxImbalance = 2

// bestReplica returns the member that is to join a slot next, or "" if there is none: one that is
// not leaving, then in the zone with the fewest replicas of the slot, then with the fewest slots,
// then by rendezvous hashing. A leaving member is taken for a slot without replicas only.
func (t *Table) bestReplica(slot int, counts map[string]int) string {
	s := &t.Slots[slot]
	best := ""
	var bestRank [4]uint64
	for _, m := range t.Members {
		if m.Incarnation == 0 || s.Holds(m.Name) || m.Leaving && len(s.Replicas) > 0 {
			continue
		}
		rank := [4]uint64{
			uint64(t.leavingRank(m.Name)),
			uint64(t.replicasInZone(s, m.Zone)),
			uint64(counts[m.Name]),
			hashRank(slot, m.Name),
		}
		if best == "" || slices.Compare(rank[:], bestRank[:]) < 0 {
			best = m.Name
			bestRank = rank
		}
	}
	return best
}

// replicasInZone returns how many members of a zone hold a slot.
func (t *Table) replicasInZone(s *Slot, zone string) (n int) {
	for _, names := range [][]string{s.Replicas, s.Joining} {
		for _, name := range names {
			if m := t.Member(name); m != nil && m.Zone == zone {
				n++
			}
		}
	}
	return n
}

// leavingRank is 1 for a member that is leaving and 0 for any other.
func (t *Table) leavingRank(name string) int {
	if m := t.Member(name); m != nil && m.Leaving {
		return 1
	}
	return 0
}

// mostDispensable returns the replica that leaves a slot with one too many, never the primary: one
// that is leaving, then in the zone with the most replicas of the slot, then with the most slots.
func (t *Table) mostDispensable(s *Slot, counts map[string]int) string {
	worst := s.Replicas[1]
	for _, name := range s.Replicas[2:] {
		order := cmp.Or(
			t.leavingRank(name)-t.leavingRank(worst),
			cmp.Compare(t.replicasInZone(s, t.Member(name).Zone), t.replicasInZone(s, t.Member(worst).Zone)),
			cmp.Compare(counts[name], counts[worst]),
		)
		if order > 0 {
			worst = name
		}
	}
	return worst
}

// Rebalance returns a change that moves a slot off a leaving member or spreads slots or primaries
// better. It reports false if nothing is to be moved, or while any slot lacks a replica.
func (t *Table) Rebalance() (Change, bool) {
	for i := range t.Slots {
		if len(t.Slots[i].Joining) > 0 || !t.isFull(&t.Slots[i]) {
			return Change{}, false
		}
	}
	counts := t.slotCounts()
	if c, ok := t.moveOffLeaving(counts); ok {
		return c, true
	}
	least := t.leastLoaded(counts)
	if least == "" {
		return Change{}, false
	}
	primaries := t.primaryCounts()
	for i := range t.Slots {
		s := &t.Slots[i]
		if t.shouldTakeSlot(least, s, counts) {
			return Change{Kind: ChangeAddReplica, Member: *t.Member(least), Slot: i, Epoch: s.Epoch}, true
		}
		for _, name := range s.Replicas[1:] {
			if primaries[s.Primary()] > primaries[name]+maxImbalance && t.leavingRank(name) == 0 {
				return Change{Kind: ChangeSetPrimary, Member: *t.Member(name), Slot: i, Epoch: s.Epoch}, true
			}
		}
	}
	return Change{}, false
}

// moveOffLeaving returns a change that brings a leaving member closer to holding nothing. It reports
// false if there is none, or nobody who could take its place.
func (t *Table) moveOffLeaving(counts map[string]int) (Change, bool) {
	for i := range t.Slots {
		s := &t.Slots[i]
		for _, name := range s.Replicas {
			if t.leavingRank(name) == 0 {
				continue
			}
			if name == s.Primary() {
				for _, next := range s.Replicas[1:] {
					if t.leavingRank(next) == 0 {
						return Change{Kind: ChangeSetPrimary, Member: *t.Member(next), Slot: i, Epoch: s.Epoch}, true
					}
				}
			}
			if next := t.bestReplica(i, counts); next != "" {
				return Change{Kind: ChangeAddReplica, Member: *t.Member(next), Slot: i, Epoch: s.Epoch}, true
			}
		}
	}
	return Change{}, false
}

// leastLoaded returns the member with the fewest slots of those that stay, or "".
func (t *Table) leastLoaded(counts map[string]int) (least string) {
	for _, m := range t.Members {
		if m.Incarnation != 0 && !m.Leaving && (least == "" || counts[m.Name] < counts[least]) {
			least = m.Name
		}
	}
	return least
}

// primaryCounts returns how many slots each member is the primary of.
func (t *Table) primaryCounts() map[string]int {
	counts := map[string]int{}
	for i := range t.Slots {
		counts[t.Slots[i].Primary()]++
	}
	return counts
}

// shouldTakeSlot reports whether a slot is to move to a member from one with more than maxImbalance
// slots more.
func (t *Table) shouldTakeSlot(name string, s *Slot, counts map[string]int) bool {
	if s.Holds(name) {
		return false
	}
	after := &Slot{Replicas: append(slices.Clone(s.Replicas), name)}
	leaves := t.mostDispensable(after, counts)
	return leaves != name && counts[leaves] > counts[name]+maxImbalance
}
