package placement

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawChange draws a random change. Its incarnation and epoch often match the table.
func drawChange(t *rapid.T, table *Table) Change {
	c := Change{
		Kind: ChangeKind(rapid.IntRange(0, 10).Draw(t, "kind")),
		Slot: rapid.IntRange(-1, 8).Draw(t, "slot"),
		Member: Member{
			Name:        rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"),
			Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
		},
	}
	c.Member.Zone = c.Member.Name[:1]
	m := table.Member(c.Member.Name)
	if m != nil && c.Kind != ChangeJoin && rapid.Bool().Draw(t, "present incarnation") {
		c.Member.Incarnation = m.Incarnation
	}
	if c.Slot >= 0 && c.Slot < len(table.Slots) && rapid.IntRange(0, 3).Draw(t, "present epoch") > 0 {
		c.Epoch = table.Slots[c.Slot].Epoch
	}
	return c
}

// checkSlot checks the invariants of a slot after a change.
func checkSlot(t *rapid.T, table *Table, c Change, i int, old Slot) {
	s := table.Slots[i]
	if s.Epoch < old.Epoch || s.Epoch == old.Epoch && !slices.Equal(s.Replicas, old.Replicas) {
		t.Fatalf("%+v: replicas changed without a later epoch: slot %d from %+v to %+v", c, i, old, s)
	}
	wasReplica := func(name string) bool { return slices.Contains(old.Replicas, name) }
	if len(s.Replicas) > 0 && !slices.ContainsFunc(s.Replicas, wasReplica) && s.EmptyEpoch != s.Epoch {
		t.Fatalf("%+v: slot %d started without records and EmptyEpoch is not set: %+v to %+v", c, i, old, s)
	}
	seen := map[string]bool{}
	for _, name := range append(slices.Clone(s.Replicas), s.Joining...) {
		if m := table.Member(name); seen[name] || m == nil || m.Incarnation == 0 {
			t.Fatalf("%+v: slot %d has %q twice, or as a lost or unknown member: %+v", c, i, name, s)
		}
		seen[name] = true
	}
	if len(s.Replicas) > 1+table.Backups {
		t.Fatalf("%+v: slot %d has too many replicas: %+v", c, i, s)
	}
}

// The following holds for any sequence of changes. Epochs never decrease, and increase whenever the
// replicas change. Replicas and joining members are distinct members that are not lost. EmptyEpoch
// tells when a slot started anew after it had lost its last replica. The same changes result in the
// same table.
func TestAnyChangesKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, backups := rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 2).Draw(t, "backups")
		table, err := New(slots, backups)
		if err != nil {
			t.Fatal(err)
		}
		twin := table.Clone()
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := drawChange(t, table)
			before := table.Clone()
			table.Apply(c)
			twin.Apply(c)
			for i := range table.Slots {
				checkSlot(t, table, c, i, before.Slots[i])
			}
		}
		if diff := cmp.Diff(table, twin); diff != "" {
			t.Fatalf("tables after the same changes differ (-first +second):\n%s", diff)
		}
	})
}
