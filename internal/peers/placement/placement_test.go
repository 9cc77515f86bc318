package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// after is a table of so many runners in so many halls, once all copies are made.
func after(t testing.TB, runners, halls, slots, copies int) *Table {
	t.Helper()
	p, err := New(slots, copies)
	if err != nil {
		t.Fatal(err)
	}
	for i := range runners {
		p.Apply(
			Change{
				Kind: ChangeJoin,
				Member: Member{
					Name:        fmt.Sprintf("n%03d", i),
					Zone:        fmt.Sprint("hall", i%halls),
					Incarnation: uint64(i + 1),
					Process:     uint32(i + 1),
				},
			},
		)
	}
	settle(p)
	return p
}

// settle has all who join become whole, and what is uneven spread, until nothing is left to do.
func settle(p *Table) {
	for range 100_000 {
		c, ok := joins(p)
		if !ok {
			if c, ok = p.Rebalance(); !ok {
				return
			}
		}
		p.Apply(c)
	}
}

func joins(p *Table) (Change, bool) {
	for i, s := range p.Slots {
		if len(s.Joining) > 0 {
			return Change{
				Kind:   ChangeCaughtUp,
				Slot:   i,
				Epoch:  s.Epoch,
				Member: *p.Member(s.Joining[0]),
			}, true
		}
	}
	return Change{}, false
}

// SlotOf any number of runners a slot's copies are in as many halls as there are, nobody holds much
// more than others, and nobody leads much more.
func TestSpread(t *testing.T) {
	for _, x := range []struct{ runners, halls, slots, copies int }{{3, 3, 64, 2}, {5, 3, 64, 2}, {9, 3, 64, 1}, {17, 3, 128, 2}, {300, 5, 512, 2}} {
		p := after(t, x.runners, x.halls, x.slots, x.copies)
		leads := map[string]int{}
		for i, s := range p.Slots {
			halls := map[string]bool{}
			for _, name := range s.Replicas {
				halls[p.Member(name).Zone] = true
			}
			if len(s.Replicas) != 1+x.copies || len(halls) != min(1+x.copies, x.halls) {
				t.Errorf("%+v: slot %d is in %v", x, i, s.Replicas)
			}
			leads[s.Primary()]++
		}
		low, high := x.slots, 0
		for _, n := range p.slotCounts() {
			low, high = min(low, n), max(high, n)
		}
		if len(p.slotCounts()) != x.runners || high > 2*x.slots*(1+x.copies)/x.runners+maxImbalance {
			t.Errorf("%+v: %d hold, from %d to %d slots", x, len(p.slotCounts()), low, high)
		}
		for name, n := range leads {
			if n > 3*x.slots/x.runners+maxImbalance+1 {
				t.Errorf("%+v: %s leads %d slots", x, name, n)
			}
		}
	}
}

// A lost member changes the slots that it held, and no others; who takes over had held them.
func TestLost(t *testing.T) {
	p := after(t, 9, 3, 64, 2)
	before := p.Clone()
	lost := *p.Member("n004")
	p.Apply(Change{Kind: ChangeLost, Member: lost})
	for i, s := range p.Slots {
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
	p.Apply(Change{Kind: ChangeJoin, Member: lost}) // a word of an earlier time, that is late
	if p.Member(lost.Name).Incarnation != 0 {
		t.Error("a life that was lost is back")
	}
	p.Apply(Change{Kind: ChangeLost, Member: Member{Name: "n005", Incarnation: 99}})
	if p.Member("n005").Incarnation == 0 {
		t.Error("it is out for the loss of another life")
	}
}

// What a member says of itself anew, in the same life, changes nothing else.
func TestSaidAgain(t *testing.T) {
	p := after(t, 3, 3, 16, 2)
	m := *p.Member("n001")
	m.NewestChange, m.KeepsUsage = NewestChangeKind, true
	want := p.Clone()
	*want.Member("n001") = m
	want.Version++
	p.Apply(Change{Kind: ChangeJoin, Member: m})
	if diff := cmp.Diff(want, p); diff != "" {
		t.Error(diff)
	}
}

// A member that is back in a new life holds nothing until it is whole.
func TestNewLife(t *testing.T) {
	p := after(t, 3, 3, 16, 2)
	m := *p.Member("n001")
	m.Incarnation = 77
	p.Apply(Change{Kind: ChangeJoin, Member: m})
	for i, s := range p.Slots {
		if slices.Contains(s.Replicas, m.Name) || !slices.Contains(s.Joining, m.Name) {
			t.Errorf("slot %d: %+v", i, s)
		}
	}
	s := p.Slots[0]
	for _, c := range []Change{{Kind: ChangeCaughtUp, Member: Member{Name: m.Name, Incarnation: 2}, Epoch: s.Epoch}, {Kind: ChangeCaughtUp, Member: m, Epoch: s.Epoch - 1},
		{Kind: ChangeCaughtUp, Member: *p.Member("n000"), Epoch: s.Epoch}, {Kind: ChangeCaughtUp, Member: m, Slot: 99}} {
		if p.Apply(c); slices.Contains(p.Slots[0].Replicas, m.Name) {
			t.Fatalf("%+v made it whole", c)
		}
	}
	p.Apply(Change{Kind: ChangeCaughtUp, Member: m, Epoch: s.Epoch})
	if !slices.Contains(p.Slots[0].Replicas, m.Name) {
		t.Error("it does not become whole")
	}
}

// A member that is leaving comes to hold nothing, one slot after the other, and no slot ever has
// fewer copies; where too few others are there, it keeps what it has.
func TestLeaving(t *testing.T) {
	p := after(t, 5, 3, 64, 2)
	for _, name := range []string{"n001", "n003"} {
		p.Apply(Change{Kind: ChangeLeave, Member: Member{Name: name}})
		for step := 0; ; step++ {
			c, ok := joins(p)
			if !ok {
				if c, ok = p.Rebalance(); !ok {
					break
				}
			}
			if p.Apply(c); p.FullyReplicatedSlots() < 64 || step > 10_000 {
				t.Fatalf("after %d steps, by %+v, %d slots are whole", step, c, p.FullyReplicatedSlots())
			}
		}
		if n := p.SlotCount(name); n != 0 {
			t.Errorf("%s holds %d", name, n)
		}
	}
	before := p.SlotCount("n000")
	p.Apply(Change{Kind: ChangeLeave, Member: Member{Name: "n000"}})
	if settle(p); !p.NeedsLeavingMembers() || p.SlotCount("n000") != before {
		t.Errorf("too few are there, and it went from %d to %d slots", before, p.SlotCount("n000"))
	}
	p.Apply(Change{Kind: ChangeStay, Member: Member{Name: "n001"}})
	if settle(p); p.SlotCount("n000") != 0 || p.SlotCount("n001") == 0 {
		t.Errorf("n000 holds %d, n001 %d", p.SlotCount("n000"), p.SlotCount("n001"))
	}
}

// Whatever changes come: epochs never go back, and rise whenever a set changes; a set has members
// that are in, each once; one that lost its last member is quiet from its next epoch on; the same
// changes give the same table.
func TestAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := New(rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 2).Draw(t, "copies"))
		if err != nil {
			t.Fatal(err)
		}
		twin := p.Clone()
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := Change{
				Kind: ChangeKind(rapid.IntRange(0, 10).Draw(t, "kind")),
				Slot: rapid.IntRange(-1, 8).Draw(t, "slot"),
				Member: Member{
					Name:        rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"),
					Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "life")),
				},
			}
			c.Member.Zone = c.Member.Name[:1]
			if m := p.Member(c.Member.Name); m != nil && c.Kind != ChangeJoin && rapid.Bool().Draw(t, "now") {
				c.Member.Incarnation = m.Incarnation
			}
			if c.Slot >= 0 && c.Slot < len(p.Slots) && rapid.IntRange(0, 3).Draw(t, "fits") > 0 {
				c.Epoch = p.Slots[c.Slot].Epoch
			}
			before := p.Clone()
			p.Apply(c)
			twin.Apply(c)
			for i, s := range p.Slots {
				old := before.Slots[i]
				if s.Epoch < old.Epoch || s.Epoch == old.Epoch && !slices.Equal(s.Replicas, old.Replicas) {
					t.Fatalf("%+v: slot %d went from %+v to %+v", c, i, old, s)
				}
				kept := slices.ContainsFunc(s.Replicas, func(n string) bool { return slices.Contains(old.Replicas, n) })
				if len(s.Replicas) > 0 && !kept && s.EmptyEpoch != s.Epoch {
					t.Fatalf("%+v: slot %d began with nothing and is not quiet: %+v to %+v", c, i, old, s)
				}
				seen := map[string]bool{}
				for _, name := range append(slices.Clone(s.Replicas), s.Joining...) {
					if m := p.Member(name); seen[name] || m == nil || m.Incarnation == 0 {
						t.Fatalf("%+v: slot %d holds %q in %+v", c, i, name, s)
					}
					seen[name] = true
				}
				if len(s.Replicas) > 1+p.Backups {
					t.Fatalf("%+v: slot %d has too many: %+v", c, i, s)
				}
			}
		}
		if diff := cmp.Diff(p, twin); diff != "" {
			t.Fatal(diff)
		}
	})
}
