package placement

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// Bounds of a table.
const (
	maxSlots   = 1 << 12
	maxBackups = 4
)

// Member is a runner that belongs to the installation.
type Member struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint,omitempty"`
	// Incarnation is the present incarnation of the membership; 0: the member is lost.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	// Process is the number of the runner's process, which is part of the numbers of its runs.
	Process uint32 `cbor:"4,keyasint,omitempty"`
	// PrevIncarnation is the previous incarnation, in which the member cannot join again.
	PrevIncarnation uint64 `cbor:"5,keyasint,omitempty"`
	Leaving         bool   `cbor:"6,keyasint,omitempty"` // its slots are moved to other members
	// NewestChange is the newest kind of change that the runner understands; 0: not announced.
	NewestChange ChangeKind `cbor:"7,keyasint,omitempty"`
	KeepsUsage   bool       `cbor:"8,keyasint,omitempty"` // the runner has a folder for usage ledgers
	// LeaseNames are the leases that the runner accepts, in the order of the operator's file.
	LeaseNames []string `cbor:"9,keyasint,omitempty"`
}

// SameAnnouncement reports whether two members agree in the fields that a runner announces of itself
// and may change.
func (m *Member) SameAnnouncement(o *Member) bool {
	return m.Incarnation == o.Incarnation && m.NewestChange == o.NewestChange &&
		m.KeepsUsage == o.KeepsUsage && slices.Equal(m.LeaseNames, o.LeaseNames)
}

// Slot is a partition of the keys and the members that replicate it.
type Slot struct {
	Epoch uint64 `cbor:"1,keyasint"` // increases with each change of Replicas
	// Replicas are the members that have every committed record of the slot. The first one is the
	// primary.
	Replicas []string `cbor:"2,keyasint,omitempty"`
	// Joining are the members that are catching up and do not count as replicas yet.
	Joining []string `cbor:"3,keyasint,omitempty"`
	// EmptyEpoch is the epoch at which the slot last started without records; 0: never.
	EmptyEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// Primary returns the replica that orders the records of the slot, or "" if there is none.
func (s *Slot) Primary() string {
	if len(s.Replicas) == 0 {
		return ""
	}
	return s.Replicas[0]
}

// Holds reports whether a member replicates the slot or is joining it.
func (s *Slot) Holds(name string) bool {
	return slices.Contains(s.Replicas, name) || slices.Contains(s.Joining, name)
}

// Table is the state that the consensus group has agreed on.
type Table struct {
	Version uint64   `cbor:"1,keyasint"`           // the number of changes applied
	Backups int      `cbor:"2,keyasint"`           // replicas of a slot besides the primary
	Members []Member `cbor:"3,keyasint,omitempty"` // sorted by name
	Slots   []Slot   `cbor:"4,keyasint,omitempty"`
	// BootstrapTime is when the consensus group was formed, in Unix seconds: the start time of its first
	// leader's process by that runner's clock. 0: not set yet.
	BootstrapTime uint64  `cbor:"5,keyasint,omitempty"`
	Leases        []Lease `cbor:"6,keyasint,omitempty"` // sorted by name
}

// New returns the table of an installation without members.
func New(slots, backups int) (*Table, error) {
	if slots < 1 || slots > maxSlots || backups < 1 || backups > maxBackups {
		return nil, fmt.Errorf("placement: %d slots with %d backups: want 1 to %d slots and 1 to %d backups",
			slots, backups, maxSlots, maxBackups)
	}
	return &Table{Backups: backups, Slots: make([]Slot, slots)}, nil
}

// Clone returns a copy that can be changed independently.
func (t *Table) Clone() *Table {
	c := *t
	c.Members, c.Slots, c.Leases = slices.Clone(t.Members), slices.Clone(t.Slots), slices.Clone(t.Leases)
	for i := range c.Slots {
		s := &c.Slots[i]
		s.Replicas, s.Joining = slices.Clone(s.Replicas), slices.Clone(s.Joining)
	}
	return &c
}

// Member returns the member of that name, or nil.
func (t *Table) Member(name string) *Member {
	i, ok := t.searchMember(name)
	if !ok {
		return nil
	}
	return &t.Members[i]
}

// searchMember returns the index at which the member of that name is or would be inserted, and whether
// it exists.
func (t *Table) searchMember(name string) (int, bool) {
	byName := func(m Member, name string) int { return cmp.Compare(m.Name, name) }
	return slices.BinarySearchFunc(t.Members, name, byName)
}

// ProcessAlive reports whether a process number belongs to a member that is not lost.
func (t *Table) ProcessAlive(process uint32) bool {
	return slices.ContainsFunc(t.Members, func(m Member) bool {
		return m.Incarnation != 0 && m.Process == process
	})
}

// SlotOf returns the index of a key's slot.
func (t *Table) SlotOf(key string) int {
	return int(Rank(key) % uint64(len(t.Slots)))
}

// AllUnderstand reports whether all named members understand a kind of change. A voter that does not
// understand a committed change would arrive at a different table.
func (t *Table) AllUnderstand(kind ChangeKind, names []string) bool {
	for _, name := range names {
		if m := t.Member(name); m == nil || max(m.NewestChange, implicitChangeKind) < kind {
			return false
		}
	}
	return true
}

// SlotCount returns how many slots a member replicates or is joining.
func (t *Table) SlotCount(name string) int { return t.slotCounts()[name] }

// slotCounts returns how many slots each member replicates or is joining, by name.
func (t *Table) slotCounts() map[string]int {
	counts := map[string]int{}
	for _, s := range t.Slots {
		for _, name := range s.Replicas {
			counts[name]++
		}
		for _, name := range s.Joining {
			counts[name]++
		}
	}
	return counts
}

// FullyReplicatedSlots returns how many slots have all their replicas.
func (t *Table) FullyReplicatedSlots() (n int) {
	for i := range t.Slots {
		if t.isFull(&t.Slots[i]) {
			n++
		}
	}
	return n
}

// isFull reports whether a slot has all its replicas.
func (t *Table) isFull(s *Slot) bool { return len(s.Replicas) >= 1+t.Backups }

// NeedsLeavingMembers reports whether the members that are not lost or leaving are too few to
// replicate a slot, so that the leaving ones are still needed.
func (t *Table) NeedsLeavingMembers() bool {
	staying := 0
	for _, m := range t.Members {
		if m.Incarnation != 0 && !m.Leaving {
			staying++
		}
	}
	return staying < 1+t.Backups
}

// without returns a copy of names without one of them.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// hashRank returns the rank of a member for a slot by rendezvous hashing, which is the same at all
// runners.
func hashRank(slot int, name string) uint64 {
	const goldenGamma = 0x9e3779b97f4a7c15 // of splitmix64: spreads consecutive numbers over all bits
	return mix64(fnv64(name) ^ uint64(slot)*goldenGamma)
}

// Rank returns a hash of a text that is the same at all runners, so that they make the same choice among
// several candidates.
func Rank(text string) uint64 { return mix64(fnv64(text)) }

func fnv64(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // Write of a hash.Hash never returns an error
	return h.Sum64()
}

// mix64 mixes the bits of a number with the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
