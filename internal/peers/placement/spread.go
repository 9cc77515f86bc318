package placement

import (
	"cmp"
	"slices"
)

// maxImbalance is the largest difference between the numbers of slots, or of primaries, of two members
// at which nothing is moved.
const maxImbalance = 2

// bestReplica returns the member that is to join a slot next, or "" if there is none. In this order it
// prefers a member that is not leaving, the zone with the fewest replicas of the slot, the fewest
// slots, and the rank by rendezvous hashing. A leaving member joins only a slot without replicas.
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

// replicasInZone returns how many members of a zone replicate a slot or are joining it.
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

// leavingRank returns 1 for a member that is leaving and 0 for any other.
func (t *Table) leavingRank(name string) int {
	if m := t.Member(name); m != nil && m.Leaving {
		return 1
	}
	return 0
}

// mostDispensable returns the replica that is to leave a slot with one replica too many. It is never
// the primary. In this order it prefers a leaving member, the zone with the most replicas of the slot,
// and the most slots.
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

// Rebalance returns the next change that moves a slot away from a leaving member or spreads slots or
// primaries more evenly over the members. It reports false if nothing is to be moved, or while a slot
// lacks a replica or has a joining one.
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

// moveOffLeaving returns a change by which a slot of a leaving member gets another primary or an
// additional replica. It reports false if no leaving member has slots or no member can take them.
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

// leastLoaded returns the member with the fewest slots among those that are not lost or leaving, or ""
// if there is none.
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

// shouldTakeSlot reports whether a member is to join a slot in place of a replica that has more slots
// than the member by more than maxImbalance.
func (t *Table) shouldTakeSlot(name string, s *Slot, counts map[string]int) bool {
	if s.Holds(name) {
		return false
	}
	after := &Slot{Replicas: append(slices.Clone(s.Replicas), name)}
	leaves := t.mostDispensable(after, counts)
	return leaves != name && counts[leaves] > counts[name]+maxImbalance
}
