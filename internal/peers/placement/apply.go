package placement

import "slices"

// Apply applies a committed change. A change that does not fit the table any more only increases the
// version.
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

// join adds a member or a new incarnation of it, and reports whether the incarnation is new. A new
// incarnation replicates no slots and holds no leases of the earlier one. If the incarnation is the
// present one, only what the member announces of itself is updated.
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
	// A voter of an older version may have proposed the member without these fields.
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

// oldestIncarnation returns the oldest incarnation in which the member's present process may join by a
// kind of change. The previous incarnation of a member that is not lost may belong to an earlier
// process, whose incarnations cannot be compared with those of the present process. The older kinds of
// join do not take this into account and keep their rules, as all voters must arrive at the same table.
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

// markLost takes all slots and leases from a member. If it is removed, its entry is deleted too.
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

// slotAt returns the slot that a change refers to, or nil if the slot does not exist or has another
// epoch than the change.
func (t *Table) slotAt(c Change) *Slot {
	if c.Slot < 0 || c.Slot >= len(t.Slots) || t.Slots[c.Slot].Epoch != c.Epoch {
		return nil
	}
	return &t.Slots[c.Slot]
}

// addReplica lets a member join a fully replicated slot, so that another replica can leave it later.
func (t *Table) addReplica(s *Slot, m *Member) {
	if s == nil || m == nil || m.Incarnation == 0 || m.Leaving || s.Holds(m.Name) {
		return
	}
	if len(s.Replicas) == 1+t.Backups && len(s.Joining) == 0 {
		s.Joining = append(s.Joining, m.Name)
	}
}

// setPrimary makes a replica the primary of its slot.
func (t *Table) setPrimary(s *Slot, name string) {
	if s == nil || !slices.Contains(s.Replicas, name) {
		return
	}
	s.Replicas = append([]string{name}, without(s.Replicas, name)...)
	s.Epoch++
}

// completeJoin makes a joining member a replica of the slot. If the slot then has one replica too
// many, the most dispensable one leaves it.
func (t *Table) completeJoin(s *Slot, name string) {
	s.Joining = without(s.Joining, name)
	s.Replicas = append(s.Replicas, name)
	s.Epoch++
	if len(s.Replicas) > 1+t.Backups {
		s.Replicas = without(s.Replicas, t.mostDispensable(s, t.slotCounts()))
	}
}

// removeFromSlots removes a member from all slots. A slot that loses its last replica starts anew
// without records; see assignReplicas.
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

// assignReplicas lets members join the slots that lack replicas. A slot without any replica starts
// anew without records, as the records of a joining member may be incomplete.
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
