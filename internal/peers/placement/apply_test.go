package placement

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A process must be able to join in a new incarnation although an earlier process under its name had
// higher incarnation numbers, which cannot be compared with its own. A delayed message must not take
// the member back to an earlier incarnation of its process.
func TestIncarnationsOfTwoProcessesUnderOneName(t *testing.T) {
	const earlier, present = 1, 2 // processes
	join := func(process uint32, incarnation uint64) Change {
		member := Member{Name: "n1", Process: process, Incarnation: incarnation}
		return Change{Kind: ChangeJoinV3, Member: member}
	}
	lost := func(incarnation uint64) Change {
		return Change{Kind: ChangeLost, Member: Member{Name: "n1", Incarnation: incarnation}}
	}
	for name, tt := range map[string]struct {
		changes []Change
		want    uint64
	}{
		"another incarnation of the present process": {
			[]Change{join(earlier, 900), lost(900), join(present, 100), join(present, 101)},
			101,
		},
		"the earlier process was not declared lost": {
			[]Change{join(earlier, 900), join(present, 100), join(present, 101)},
			101,
		},
		"delayed join of an earlier incarnation": {
			[]Change{join(earlier, 900), lost(900), join(present, 101), join(present, 100)},
			101,
		},
		"delayed join of an earlier incarnation while the member is lost": {
			[]Change{join(present, 100), join(present, 101), lost(101), join(present, 100)},
			0,
		},
		"rejoin in another incarnation after the loss": {
			[]Change{join(earlier, 900), join(present, 100), lost(100), join(present, 101)},
			101,
		},
		"delayed join of the lost incarnation": {
			[]Change{join(present, 100), lost(100), join(present, 100)},
			0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := New(4, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, change := range tt.changes {
				table.Apply(change)
			}
			if got := table.Member("n1").Incarnation; got != tt.want {
				t.Errorf("incarnation = %d, want %d", got, tt.want)
			}
		})
	}
}

// The loss of a member changes only the slots that it held. Each of them gets a new epoch, a former
// replica as the primary and a joining replica.
func TestLossOfAMemberChangesOnlyItsSlots(t *testing.T) {
	table := newSettledTable(t, 9, 3, 64, 2)
	before := table.Clone()
	lost := *table.Member("n004")
	table.Apply(Change{Kind: ChangeLost, Member: lost})
	for i, s := range table.Slots {
		old := before.Slots[i]
		if !old.Holds(lost.Name) {
			if diff := cmp.Diff(old, s); diff != "" {
				t.Errorf("slot %d without the lost member changed (-before +after):\n%s", i, diff)
			}
			continue
		}
		if s.Epoch <= old.Epoch || s.Holds(lost.Name) || !slices.Contains(old.Replicas, s.Primary()) ||
			s.EmptyEpoch != old.EmptyEpoch ||
			len(s.Joining) != 1 {
			t.Errorf("slot %d = %+v, was %+v; want a new epoch, an old replica as primary, one joining", i, s, old)
		}
	}
	table.Apply(Change{Kind: ChangeJoin, Member: lost}) // a delayed message
	if table.Member(lost.Name).Incarnation != 0 {
		t.Error("the lost incarnation joined again")
	}
	table.Apply(Change{Kind: ChangeLost, Member: Member{Name: "n005", Incarnation: 99}})
	if table.Member("n005").Incarnation == 0 {
		t.Error("the member is lost after the loss of another incarnation")
	}
}

// A new announcement of a member in the same incarnation changes only the announced fields and the
// version.
func TestNewAnnouncementChangesOnlyTheMember(t *testing.T) {
	table := newSettledTable(t, 3, 3, 16, 2)
	m := *table.Member("n001")
	m.NewestChange, m.KeepsUsage = NewestChangeKind, true
	want := table.Clone()
	*want.Member("n001") = m
	want.Version++
	table.Apply(Change{Kind: ChangeJoin, Member: m})
	if diff := cmp.Diff(want, table); diff != "" {
		t.Errorf("table after the announcement differs (-want +got):\n%s", diff)
	}
}

// A member in a new incarnation becomes a replica of a slot only when it has caught up in that
// incarnation and at the slot's present epoch.
func TestNewIncarnationIsNoReplicaBeforeItHasCaughtUp(t *testing.T) {
	table := newSettledTable(t, 3, 3, 16, 2)
	m := *table.Member("n001")
	m.Incarnation = 77
	table.Apply(Change{Kind: ChangeJoin, Member: m})
	for i, s := range table.Slots {
		if slices.Contains(s.Replicas, m.Name) || !slices.Contains(s.Joining, m.Name) {
			t.Errorf("slot %d = %+v, want the new incarnation joining and no replica", i, s)
		}
	}
	epoch := table.Slots[0].Epoch
	for _, c := range []Change{
		{Kind: ChangeCaughtUp, Member: Member{Name: m.Name, Incarnation: 2}, Epoch: epoch},
		{Kind: ChangeCaughtUp, Member: m, Epoch: epoch - 1},
		{Kind: ChangeCaughtUp, Member: *table.Member("n000"), Epoch: epoch},
		{Kind: ChangeCaughtUp, Member: m, Slot: 99},
	} {
		if table.Apply(c); slices.Contains(table.Slots[0].Replicas, m.Name) {
			t.Fatalf("change %+v made the joining member a replica", c)
		}
	}
	table.Apply(Change{Kind: ChangeCaughtUp, Member: m, Epoch: epoch})
	if !slices.Contains(table.Slots[0].Replicas, m.Name) {
		t.Error("the member is no replica after it caught up")
	}
}
