// Package placement is the table that the runners of an installation agree on: who belongs, and
// which of them hold the copies of which keys at which epoch. It is free of I/O and of clocks: the
// same changes in the same order give the same table everywhere.
package placement

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// Member is a runner that belongs to the installation.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // which time it is in; 0: it is out
	// the life of its process, by which its runs are known
	Process uint32 `cbor:"4,keyasint,omitempty"`
	// the life before this one, which does not come back
	PrevIncarnation uint64     `cbor:"5,keyasint,omitempty"`
	Leaving         bool       `cbor:"6,keyasint,omitempty"` // its slots go to others
	NewestChange    ChangeKind `cbor:"7,keyasint,omitempty"` // the newest kind of change that it knows
	// it has a folder for accounts of usage, and knows those of others
	KeepsUsage bool `cbor:"8,keyasint,omitempty"`
	// LeaseNames are the names of those that it would take, in order.
	LeaseNames []string `cbor:"9,keyasint,omitempty"`
}

// SameAnnouncement tells whether two say the same of a runner, as the runner itself says it.
func (m *Member) SameAnnouncement(o *Member) bool {
	return m.Incarnation == o.Incarnation && m.NewestChange == o.NewestChange && m.KeepsUsage == o.KeepsUsage && slices.Equal(m.LeaseNames, o.LeaseNames)
}

// implicitChangeKind is the oldest life in which a process may be taken in by a change. What is gone of a
// member that is in may be of the process before, whose lives are other numbers; older versions do
// not tell, and all have to come to the same table.
func (m *Member) oldestIncarnation(kind ChangeKind) uint64 {
	switch {
	case kind == ChangeJoin:
		return 0
	case kind == ChangeJoinV2:
		return max(m.Incarnation, m.PrevIncarnation)
	case m.Incarnation != 0:
		return m.Incarnation
	}
	return m.PrevIncarnation
}

// Slot is a part of the keys, and who holds it.
type Slot struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// each has every promise of the slot; the primary first
	Replicas []string `cbor:"2,keyasint,omitempty"`
	Joining  []string `cbor:"3,keyasint,omitempty"` // they are brought up, and count for nothing
	// the epoch at which the slot began with nothing; 0: never
	EmptyEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// Table is what is agreed on.
type Table struct {
	Version uint64   `cbor:"1,keyasint"`
	Backups int      `cbor:"2,keyasint"` // beside the primary's
	Members []Member `cbor:"3,keyasint,omitempty"`
	Slots   []Slot   `cbor:"4,keyasint,omitempty"`
	// Unix seconds, by the clock of whoever led the consensus group when it began; 0: not said yet
	BootstrapTime uint64  `cbor:"5,keyasint,omitempty"`
	Leases        []Lease `cbor:"6,keyasint,omitempty"` // by name
}

// ChangeKind is what a change says.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeJoin         ChangeKind = iota + 1 // a member is there, in a life that is new
	ChangeLost                               // it is lost, in that life
	ChangeRemove                             // it does not belong any more
	ChangeCaughtUp                           // who was joining a slot has all of it, at that epoch
	ChangeAddReplica                         // a member is to join a slot, for a better spread
	ChangeSetPrimary                         // a member of a set is to be its primary
	ChangeLeave                              // a member is to hold nothing any more
	ChangeStay                               // it is to stay after all
	ChangeBootstrap                          // when the consensus group began, by a clock
	ChangeGrantLease                         // a member is to hold a duty that nobody holds
	ChangeReleaseLease                       // its holder gives it back, with what the next one is to know
	ChangeSetHandover                        // its holder leaves what the next one is to know
	// as In; what a process said before it took another life does not take it back there
	ChangeJoinV2
	ChangeJoinV3 // as Enter, but lives of the process before do not count
)

// NewestChangeKind is the newest kind of change.
const NewestChangeKind = ChangeJoinV3

const (
	implicitChangeKind = ChangeSetPrimary // the newest that a member knows which does not say so
)

// Change leads from one table to the next.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
	Slot   int        `cbor:"3,keyasint,omitempty"`
	// of a slot; Yield and Note: the number of the change, of those under its token
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	Lease string `cbor:"5,keyasint,omitempty"`
	// the newest that whoever says it knows of the duty; Found: Unix seconds
	Token    uint64 `cbor:"6,keyasint,omitempty"`
	Handover []byte `cbor:"7,keyasint,omitempty"`
	// ChangeGrantLease: by the member's own clock, when it said that it is there
	AskedAt int64 `cbor:"8,keyasint,omitempty"`
}

// New is the table of an installation before anybody is in.
func New(slots, copies int) (*Table, error) {
	if slots < 1 || slots > 1<<12 || copies < 1 || copies > 4 {
		return nil, fmt.Errorf("plan: %d slots with %d copies: want 1 to 4096 and 1 to 4", slots, copies)
	}
	return &Table{Backups: copies, Slots: make([]Slot, slots)}, nil
}

// Clone is the same table, which may be changed by itself.
func (t *Table) Clone() *Table {
	c := *t
	c.Members, c.Slots, c.Leases = slices.Clone(t.Members), slices.Clone(t.Slots), slices.Clone(t.Leases)
	for i := range c.Slots {
		c.Slots[i].Replicas, c.Slots[i].Joining = slices.Clone(c.Slots[i].Replicas), slices.Clone(c.Slots[i].Joining)
	}
	return &c
}

// Member is the one of that name; nil: none.
func (t *Table) Member(name string) *Member {
	i, ok := slices.BinarySearchFunc(
		t.Members,
		name,
		func(m Member, name string) int { return cmp.Compare(m.Name, name) },
	)
	if !ok {
		return nil
	}
	return &t.Members[i]
}

// ProcessAlive tells whether a process is that of a member which is in.
func (t *Table) ProcessAlive(process uint32) bool {
	return slices.ContainsFunc(t.Members, func(m Member) bool { return m.Incarnation != 0 && m.Process == process })
}

// SlotOf is the slot of a name.
func (t *Table) SlotOf(name string) int {
	h := fnv.New64a()
	h.Write([]byte(name)) // a hash takes all
	return int(mix64(h.Sum64()) % uint64(len(t.Slots)))
}

// Primary is who orders the tries of a slot's keys; empty: nobody.
func (s *Slot) Primary() string {
	if len(s.Replicas) == 0 {
		return ""
	}
	return s.Replicas[0]
}

// Holds tells whether a member has the slot, or is being brought up.
func (s *Slot) Holds(name string) bool {
	return slices.Contains(s.Replicas, name) || slices.Contains(s.Joining, name)
}

// Apply takes a change. One that does not fit any more changes nothing but the version.
func (t *Table) Apply(c Change) {
	t.Version++
	m := t.Member(c.Member.Name)
	switch c.Kind {
	case ChangeJoin, ChangeJoinV2, ChangeJoinV3:
		if !t.join(c, m) {
			return
		}
	case ChangeLost, ChangeRemove:
		if m == nil || c.Kind == ChangeLost && m.Incarnation != c.Member.Incarnation {
			return
		}
		t.markLost(m, c.Kind == ChangeRemove)
	case ChangeCaughtUp:
		s := t.slotAt(c)
		if s == nil || m == nil || m.Incarnation != c.Member.Incarnation || !slices.Contains(s.Joining, m.Name) {
			return
		}
		t.completeJoin(s, m.Name)
	case ChangeAddReplica:
		if s := t.slotAt(c); s != nil && m != nil && m.Incarnation != 0 && !m.Leaving && !s.Holds(m.Name) &&
			len(s.Replicas) == 1+t.Backups &&
			len(s.Joining) == 0 {
			s.Joining = append(s.Joining, m.Name)
		}
	case ChangeSetPrimary:
		if s := t.slotAt(c); s != nil && slices.Contains(s.Replicas, c.Member.Name) {
			s.Replicas = append([]string{c.Member.Name}, without(s.Replicas, c.Member.Name)...)
			s.Epoch++
		}
	case ChangeLeave, ChangeStay:
		if m != nil {
			m.Leaving = c.Kind == ChangeLeave
		}
	case ChangeBootstrap:
		if t.BootstrapTime == 0 {
			t.BootstrapTime = c.Token
		}
	case ChangeGrantLease, ChangeReleaseLease, ChangeSetHandover:
		t.applyLeaseChange(c, m)
	}
	t.assignReplicas()
}

// join takes a member in, in a life that is new; false: it is not, and the slots stay as they are.
// What an earlier life held is forgotten.
func (t *Table) join(c Change, m *Member) bool {
	if m != nil && c.Member.Process != 0 && c.Member.Process == m.Process &&
		c.Member.Incarnation < m.oldestIncarnation(c.Kind) {
		return false
	}
	if m == nil {
		i, _ := slices.BinarySearchFunc(
			t.Members,
			c.Member.Name,
			func(m Member, name string) int { return cmp.Compare(m.Name, name) },
		)
		t.Members = slices.Insert(t.Members, i, Member{Name: c.Member.Name})
		m = &t.Members[i]
	}
	// said again, as whoever agreed to it before may have known less of members
	if m.Incarnation == c.Member.Incarnation && m.Incarnation != 0 {
		m.NewestChange, m.KeepsUsage, m.LeaseNames = c.Member.NewestChange, c.Member.KeepsUsage, c.Member.LeaseNames
	}
	if m.Incarnation == c.Member.Incarnation || c.Member.Incarnation == 0 || c.Member.Incarnation == m.PrevIncarnation {
		return false
	}
	t.expireLeases(m.Name, m.Incarnation != 0)
	t.removeFromSlots(m.Name)
	gone, leaving := m.PrevIncarnation, m.Leaving
	if m.Incarnation != 0 {
		gone = m.Incarnation
	}
	*m = c.Member
	m.PrevIncarnation, m.Leaving = gone, leaving
	return true
}

// markLost takes a member out that is lost, or that does not belong any more.
func (t *Table) markLost(m *Member, removed bool) {
	name := m.Name
	t.expireLeases(name, false)
	t.removeFromSlots(name)
	if m.Incarnation != 0 {
		m.PrevIncarnation = m.Incarnation
	}
	m.Incarnation = 0
	if removed {
		t.Members = slices.DeleteFunc(t.Members, func(m Member) bool { return m.Name == name })
	}
}

// completeJoin has a member that joined a slot hold it. Where it came for a better spread, another one
// goes.
func (t *Table) completeJoin(s *Slot, name string) {
	s.Joining = without(s.Joining, name)
	s.Replicas = append(s.Replicas, name)
	s.Epoch++
	if len(s.Replicas) > 1+t.Backups {
		s.Replicas = without(s.Replicas, t.mostDispensable(s, t.slotCounts()))
	}
}

// AllUnderstand tells whether all of these members know a kind of change: who does not would come to another
// table.
func (t *Table) AllUnderstand(k ChangeKind, names []string) bool {
	for _, name := range names {
		if m := t.Member(name); m == nil || max(m.NewestChange, implicitChangeKind) < k {
			return false
		}
	}
	return true
}

// SlotCount is how many slots a member holds, or is to hold.
func (t *Table) SlotCount(name string) int { return t.slotCounts()[name] }

// slotAt is that of a change, if it still stands at the change's epoch.
func (t *Table) slotAt(c Change) *Slot {
	if c.Slot < 0 || c.Slot >= len(t.Slots) || t.Slots[c.Slot].Epoch != c.Epoch {
		return nil
	}
	return &t.Slots[c.Slot]
}

// removeFromSlots takes a member out of all slots. Those that it was the last of begin anew, with nothing.
func (t *Table) removeFromSlots(name string) {
	for i := range t.Slots {
		s := &t.Slots[i]
		s.Joining = without(s.Joining, name)
		if slices.Contains(s.Replicas, name) {
			s.Replicas = without(s.Replicas, name)
			s.Epoch++
		}
	}
}

// assignReplicas has members join the slots that lack copies.
func (t *Table) assignReplicas() {
	load := t.slotCounts()
	for i := range t.Slots {
		s := &t.Slots[i]
		if len(s.Replicas) == 0 { // who was joining has nothing that can be relied on
			s.Joining = nil
			if p := t.bestReplica(i, load); p != "" {
				s.Epoch++
				s.Replicas, s.EmptyEpoch = []string{p}, s.Epoch
				load[p]++
			}
		}
		for len(s.Replicas) > 0 && len(s.Replicas)+len(s.Joining) < 1+t.Backups {
			p := t.bestReplica(i, load)
			if p == "" {
				break
			}
			s.Joining = append(s.Joining, p)
			load[p]++
		}
	}
}

// slotCounts is how many slots each member holds.
func (t *Table) slotCounts() map[string]int {
	load := map[string]int{}
	for _, s := range t.Slots {
		for _, name := range s.Replicas {
			load[name]++
		}
		for _, name := range s.Joining {
			load[name]++
		}
	}
	return load
}

// bestReplica is the member that is to hold a slot next: in a hall that has none, with the least load, by
// a draw of slot and name.
func (t *Table) bestReplica(slot int, load map[string]int) string {
	s := &t.Slots[slot]
	best := ""
	var rank [4]uint64
	for _, m := range t.Members {
		if m.Incarnation == 0 || s.Holds(m.Name) || m.Leaving && len(s.Replicas) > 0 {
			continue
		}
		leaving := uint64(0)
		if m.Leaving { // better than nobody
			leaving = 1
		}
		r := [4]uint64{leaving, uint64(t.replicasInZone(s, m.Zone)), uint64(load[m.Name]), hashRank(slot, m.Name)}
		if best == "" || slices.Compare(r[:], rank[:]) < 0 {
			best, rank = m.Name, r
		}
	}
	return best
}

// replicasInZone is how many holders of a slot there are in a hall.
func (t *Table) replicasInZone(s *Slot, hall string) (n int) {
	for _, names := range [][]string{s.Replicas, s.Joining} {
		for _, name := range names {
			if m := t.Member(name); m != nil && m.Zone == hall {
				n++
			}
		}
	}
	return n
}

// mostDispensable is whom a set can do without, as it is one too many: one that is leaving, or the one
// whose hall has others, then whose load is highest, not the primary.
func (t *Table) mostDispensable(s *Slot, load map[string]int) string {
	worst := s.Replicas[1]
	for _, name := range s.Replicas[2:] {
		a, b := t.replicasInZone(s, t.Member(name).Zone), t.replicasInZone(s, t.Member(worst).Zone)
		if cmp.Or(
			t.leavingRank(name)-t.leavingRank(worst),
			cmp.Compare(a, b),
			cmp.Compare(load[name], load[worst]),
		) > 0 {
			worst = name
		}
	}
	return worst
}

// leavingRank is 1 for a member that is leaving.
func (t *Table) leavingRank(name string) int {
	if m := t.Member(name); m != nil && m.Leaving {
		return 1
	}
	return 0
}

// moveOffLeaving is a change that brings a leaving member closer to holding nothing; false: there is none, or
// nobody who could take its place.
func (t *Table) moveOffLeaving(load map[string]int) (Change, bool) {
	for i := range t.Slots {
		s := &t.Slots[i]
		for _, name := range s.Replicas {
			if t.leavingRank(name) == 0 {
				continue
			}
			if name == s.Primary() {
				for _, next := range s.Replicas[1:] {
					if t.leavingRank(next) == 0 {
						return Change{
							Kind:   ChangeSetPrimary,
							Member: *t.Member(next),
							Slot:   i,
							Epoch:  s.Epoch,
						}, true
					}
				}
			}
			if next := t.bestReplica(i, load); next != "" {
				return Change{Kind: ChangeAddReplica, Member: *t.Member(next), Slot: i, Epoch: s.Epoch}, true
			}
		}
	}
	return Change{}, false
}

// maxImbalance is by how many slots the loads of two members may differ.
const maxImbalance = 2

// Rebalance is a change that spreads slots or primaries better; false: they are spread well enough, or
// copies are still being made.
func (t *Table) Rebalance() (Change, bool) {
	load, leads := t.slotCounts(), map[string]int{}
	for _, s := range t.Slots {
		if len(s.Joining) > 0 || len(s.Replicas) < 1+t.Backups {
			return Change{}, false
		}
		leads[s.Primary()]++
	}
	if c, ok := t.moveOffLeaving(load); ok {
		return c, true
	}
	least := ""
	for _, m := range t.Members {
		if m.Incarnation != 0 && !m.Leaving && (least == "" || load[m.Name] < load[least]) {
			least = m.Name
		}
	}
	if least == "" {
		return Change{}, false
	}
	for i := range t.Slots {
		s := &t.Slots[i]
		if !s.Holds(least) {
			if h := t.dispensableAfter(s, least, load); h != "" && load[h] > load[least]+maxImbalance {
				return Change{Kind: ChangeAddReplica, Member: *t.Member(least), Slot: i, Epoch: s.Epoch}, true
			}
		}
		for _, name := range s.Replicas[1:] {
			if leads[s.Primary()] > leads[name]+maxImbalance && t.leavingRank(name) == 0 {
				return Change{Kind: ChangeSetPrimary, Member: *t.Member(name), Slot: i, Epoch: s.Epoch}, true
			}
		}
	}
	return Change{}, false
}

// dispensableAfter is who would leave a set once another has joined it; empty: that one itself.
func (t *Table) dispensableAfter(s *Slot, joins string, load map[string]int) string {
	after := &Slot{Replicas: append(slices.Clone(s.Replicas), joins)}
	if h := t.mostDispensable(after, load); h != joins {
		return h
	}
	return ""
}

// NeedsLeavingMembers tells whether members that stay are too few for all copies, so that those that are leaving
// are needed on.
func (t *Table) NeedsLeavingMembers() bool {
	n := 0
	for _, m := range t.Members {
		if m.Incarnation != 0 && !m.Leaving {
			n++
		}
	}
	return n < 1+t.Backups
}

// ChangeCaughtUp tells how many slots have all their copies.
func (t *Table) FullyReplicatedSlots() (n int) {
	for i := range t.Slots {
		if len(t.Slots[i].Replicas) >= 1+t.Backups {
			n++
		}
	}
	return n
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// hashRank is a number of a slot and a member, the same everywhere.
func hashRank(slot int, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix64(h.Sum64() ^ uint64(slot)*0x9e3779b97f4a7c15)
}

// mix64 spreads the bits of a number (the finalizer of splitmix64).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
