package placement

import "slices"

// Apply applies a change. One that does not fit any more changes nothing but the version.
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
		t.addReplica(t.slotAt(c), m)
	case ChangeSetPrimary:
		t.setPrimary(t.slotAt(c), c.Member.Name)
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

// join takes a member in, in a new incarnation, and reports false if that is not new. What an
// earlier incarnation replicated is forgotten.
func (t *Table) join(c Change, m *Member) bool {
	if m != nil && c.Member.Process != 0 && c.Member.Process == m.Process &&
		c.Member.Incarnation < m.oldestIncarnation(c.Kind) {
		return false
	}
	if m == nil {
		i, _ := t.searchMember(c.Member.Name)
		t.Members = slices.Insert(t.Members, i, Member{Name: c.Member.Name})
		m = &t.Members[i]
	}
	// A voter of an older version may have proposed the member without these.
	if m.Incarnation == c.Member.Incarnation && m.Incarnation != 0 {
		m.NewestChange = c.Member.NewestChange
		m.KeepsUsage = c.Member.KeepsUsage
		m.LeaseNames = c.Member.LeaseNames
	}
	if m.Incarnation == c.Member.Incarnation || c.Member.Incarnation == 0 ||
		c.Member.Incarnation == m.PrevIncarnation {
		return false
	}
	t.expireLeases(m.Name, m.Incarnation != 0)
	t.removeFromSlots(m.Name)
	previous := m.PrevIncarnation
	leaving := m.Leaving
	if m.Incarnation != 0 {
		previous = m.Incarnation
	}
	*m = c.Member
	m.PrevIncarnation = previous
	m.Leaving = leaving
	return true
}

// oldestIncarnation is the oldest one in which the member's process may join by a kind of change.
// The previous incarnation of a member that is not lost may be of an earlier process, whose
// incarnations are other numbers. Older kinds do not tell that; all voters have to come to the same
// table.
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

// markLost takes a member out of all slots and leases. A removed one is forgotten.
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

// slotAt returns the slot of a change, or nil if its epoch is not the change's any more.
func (t *Table) slotAt(c Change) *Slot {
	if c.Slot < 0 || c.Slot >= len(t.Slots) || t.Slots[c.Slot].Epoch != c.Epoch {
		return nil
	}
	return &t.Slots[c.Slot]
}

// addReplica has a member join a full slot, so that another one can leave it.
func (t *Table) addReplica(s *Slot, m *Member) {
	if s == nil || m == nil || m.Incarnation == 0 || m.Leaving || s.Holds(m.Name) {
		return
	}
	if len(s.Replicas) == 1+t.Backups && len(s.Joining) == 0 {
		s.Joining = append(s.Joining, m.Name)
	}
}

// setPrimary puts a replica first.
func (t *Table) setPrimary(s *Slot, name string) {
	if s == nil || !slices.Contains(s.Replicas, name) {
		return
	}
	s.Replicas = append([]string{name}, without(s.Replicas, name)...)
	s.Epoch++
}

// completeJoin makes a joining member a replica of the slot. If that is one too many, another one
// leaves the slot.
func (t *Table) completeJoin(s *Slot, name string) {
	s.Joining = without(s.Joining, name)
	s.Replicas = append(s.Replicas, name)
	s.Epoch++
	if len(s.Replicas) > 1+t.Backups {
		s.Replicas = without(s.Replicas, t.mostDispensable(s, t.slotCounts()))
	}
}

// removeFromSlots takes a member out of all slots. A slot that loses its last replica begins anew
// with no records; see assignReplicas.
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

// assignReplicas has members join the slots that lack replicas. A slot without any begins with no
// records: what a joining member has of it is not known to be complete.
func (t *Table) assignReplicas() {
	counts := t.slotCounts()
	for i := range t.Slots {
		s := &t.Slots[i]
		if len(s.Replicas) == 0 {
			s.Joining = nil
			if name := t.bestReplica(i, counts); name != "" {
				s.Epoch++
				s.Replicas = []string{name}
				s.EmptyEpoch = s.Epoch
				counts[name]++
			}
		}
		for len(s.Replicas) > 0 && len(s.Replicas)+len(s.Joining) < 1+t.Backups {
			name := t.bestReplica(i, counts)
			if name == "" {
				break
			}
			s.Joining = append(s.Joining, name)
			counts[name]++
		}
	}
}
