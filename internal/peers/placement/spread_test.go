package placement

import (
	"fmt"
	"testing"
)

// newSettledTable returns a table of the given numbers of runners, zones, slots and backups, in which
// all slots are fully replicated and rebalanced.
func newSettledTable(t testing.TB, runners, zones, slots, backups int) *Table {
	t.Helper()
	table, err := New(slots, backups)
	if err != nil {
		t.Fatal(err)
	}
	for i := range runners {
		table.Apply(Change{
			Kind: ChangeJoin,
			Member: Member{
				Name:        fmt.Sprintf("n%03d", i),
				Zone:        fmt.Sprint("hall", i%zones),
				Incarnation: uint64(i + 1),
				Process:     uint32(i + 1),
			},
		})
	}
	settle(table)
	return table
}

// settle lets joining replicas catch up and rebalances the table until no change is left.
func settle(t *Table) {
	for range 100_000 {
		c, ok := nextStep(t)
		if !ok {
			return
		}
		t.Apply(c)
	}
}

// nextStep returns the change by which a joining replica has caught up or, if no replica is joining,
// the next change of Rebalance.
func nextStep(t *Table) (Change, bool) {
	for i, s := range t.Slots {
		if len(s.Joining) > 0 {
			return Change{Kind: ChangeCaughtUp, Slot: i, Epoch: s.Epoch, Member: *t.Member(s.Joining[0])}, true
		}
	}
	return t.Rebalance()
}

// For various numbers of runners, the replicas of a slot are in as many different zones as possible,
// and slots and primaries are spread evenly over the members.
func TestSlotsAreSpreadOverZonesAndMembers(t *testing.T) {
	for _, tt := range []struct{ runners, zones, slots, backups int }{
		{3, 3, 64, 2},
		{5, 3, 64, 2},
		{9, 3, 64, 1},
		{17, 3, 128, 2},
		{300, 5, 512, 2},
	} {
		table := newSettledTable(t, tt.runners, tt.zones, tt.slots, tt.backups)
		for i, s := range table.Slots {
			zones := map[string]bool{}
			for _, name := range s.Replicas {
				zones[table.Member(name).Zone] = true
			}
			if len(s.Replicas) != 1+tt.backups || len(zones) != min(1+tt.backups, tt.zones) {
				t.Errorf("%+v: replicas of slot %d = %v, want 1+backups in distinct zones", tt, i, s.Replicas)
			}
		}
		fewest, most := tt.slots, 0
		for _, n := range table.slotCounts() {
			fewest, most = min(fewest, n), max(most, n)
		}
		if len(table.slotCounts()) != tt.runners ||
			most > 2*tt.slots*(1+tt.backups)/tt.runners+maxImbalance {
			t.Errorf("%+v: %d members hold from %d to %d slots, want all members to hold similar numbers",
				tt, len(table.slotCounts()), fewest, most)
		}
		for name, n := range table.primaryCounts() {
			if n > 3*tt.slots/tt.runners+maxImbalance+1 {
				t.Errorf("%+v: %s is the primary of %d slots, want at most about three times the mean", tt, name, n)
			}
		}
	}
}

// A leaving member gives up all its slots one by one, and all slots remain fully replicated meanwhile.
// If the other members are too few, it keeps its slots.
func TestLeavingMemberGivesUpItsSlotsOneByOne(t *testing.T) {
	table := newSettledTable(t, 5, 3, 64, 2)
	for _, name := range []string{"n001", "n003"} {
		table.Apply(Change{Kind: ChangeLeave, Member: Member{Name: name}})
		for step := 0; ; step++ {
			c, ok := nextStep(table)
			if !ok {
				break
			}
			if table.Apply(c); table.FullyReplicatedSlots() < 64 || step > 10_000 {
				full := table.FullyReplicatedSlots()
				t.Fatalf("step %d: %+v: fully replicated slots = %d, want 64 within 10000 steps", step, c, full)
			}
		}
		if n := table.SlotCount(name); n != 0 {
			t.Errorf("slots of the leaving member %s = %d, want 0", name, n)
		}
	}
	before := table.SlotCount("n000")
	table.Apply(Change{Kind: ChangeLeave, Member: Member{Name: "n000"}})
	settle(table)
	if n := table.SlotCount("n000"); !table.NeedsLeavingMembers() || n != before {
		t.Errorf("slots of a leaving member among too few others went from %d to %d, want no change", before, n)
	}
	table.Apply(Change{Kind: ChangeStay, Member: Member{Name: "n001"}})
	settle(table)
	if left, took := table.SlotCount("n000"), table.SlotCount("n001"); left != 0 || took == 0 {
		t.Errorf("n000 holds %d slots, want 0; n001 holds %d, want some", left, took)
	}
}
