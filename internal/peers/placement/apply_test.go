package placement

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A process joins in another incarnation under a name whose earlier process had incarnations of
// higher numbers: these say nothing of it. Neither what it sent before that incarnation nor what the
// earlier process sent takes it back.
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
		"without the loss of the earlier one": {
			[]Change{join(earlier, 900), join(present, 100), join(present, 101)},
			101,
		},
		"sent before another incarnation": {
			[]Change{join(earlier, 900), lost(900), join(present, 101), join(present, 100)},
			101,
		},
		"the same while it is lost": {
			[]Change{join(present, 100), join(present, 101), lost(101), join(present, 100)},
			0,
		},
		"back from the loss in another incarnation": {
			[]Change{join(earlier, 900), join(present, 100), lost(100), join(present, 101)},
			101,
		},
		"lost, and sent late": {
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
				t.Errorf("incarnation %d, want %d", got, tt.want)
			}
		})
	}
}

// A lost member changes the slots that it held, and no others; the new primary was a replica.
func TestLossOfAMemberChangesOnlyItsSlots(t *testing.T) {
	table := newSettledTable(t, 9, 3, 64, 2)
	before := table.Clone()
	lost := *table.Member("n004")
	table.Apply(Change{Kind: ChangeLost, Member: lost})
	for i, s := range table.Slots {
		old := before.Slots[i]
		if !old.Holds(lost.Name) {
			if diff := cmp.Diff(old, s); diff != "" {
				t.Errorf("slot %d changed: %s", i, diff)
			}
			continue
		}
		if s.Epoch <= old.Epoch || s.Holds(lost.Name) || !slices.Contains(old.Replicas, s.Primary()) ||
			s.EmptyEpoch != old.EmptyEpoch ||
			len(s.Joining) != 1 {
			t.Errorf("slot %d is %+v, was %+v", i, s, old)
		}
	}
	table.Apply(Change{Kind: ChangeJoin, Member: lost}) // a late message
	if table.Member(lost.Name).Incarnation != 0 {
		t.Error("a lost incarnation is back")
	}
	table.Apply(Change{Kind: ChangeLost, Member: Member{Name: "n005", Incarnation: 99}})
	if table.Member("n005").Incarnation == 0 {
		t.Error("it is lost by the loss of another incarnation")
	}
}

// What a member announces anew in the same incarnation changes nothing else.
func TestNewAnnouncementChangesOnlyTheMember(t *testing.T) {
	table := newSettledTable(t, 3, 3, 16, 2)
	m := *table.Member("n001")
	m.NewestChange, m.KeepsUsage = NewestChangeKind, true
	want := table.Clone()
	*want.Member("n001") = m
	want.Version++
	table.Apply(Change{Kind: ChangeJoin, Member: m})
	if diff := cmp.Diff(want, table); diff != "" {
		t.Error(diff)
	}
}

// A member in a new incarnation is a replica of no slot before it has caught up.
func TestNewIncarnationIsNoReplicaBeforeItHasCaughtUp(t *testing.T) {
	table := newSettledTable(t, 3, 3, 16, 2)
	m := *table.Member("n001")
	m.Incarnation = 77
	table.Apply(Change{Kind: ChangeJoin, Member: m})
	for i, s := range table.Slots {
		if slices.Contains(s.Replicas, m.Name) || !slices.Contains(s.Joining, m.Name) {
			t.Errorf("slot %d: %+v", i, s)
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
			t.Fatalf("%+v made it a replica", c)
		}
	}
	table.Apply(Change{Kind: ChangeCaughtUp, Member: m, Epoch: epoch})
	if !slices.Contains(table.Slots[0].Replicas, m.Name) {
		t.Error("it does not become a replica")
	}
}
