package flowcontrol

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var limits = Limits{Whole: 100, Keep: 200, Queue: 50, Total: 400}

func TestSteps(t *testing.T) {
	for _, c := range []struct {
		name           string
		keyed, streams bool
		parts          []int
		want           []Step
		keeps          bool
	}{
		{"small", false, true, []int{40, 60}, []Step{Gather, Gather}, false},
		{"large", false, true, []int{40, 61, 1}, []Step{Gather, Begin, Pass}, false},
		{"large at once", false, true, []int{101}, []Step{Begin}, false},
		{"for a caller that cannot", false, false, []int{100, 1}, []Step{Gather, Refuse}, false},
		{"keyed", true, true, []int{100, 100}, []Step{Gather, Begin}, true},
		{"keyed, too long to keep", true, true, []int{100, 100, 1}, []Step{Gather, Begin, Pass}, false},
		{"keyed and empty", true, true, nil, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewResponse(limits, c.keyed, c.streams)
			var got []Step
			for _, n := range c.parts {
				got = append(got, r.Add(n))
			}
			if diff := cmp.Diff(c.want, got); diff != "" || r.Keeps() != c.keeps {
				t.Errorf("keeps %v (-want +got)\n%s", r.Keeps(), diff)
			}
		})
	}
}

// A server waits at its reader's share and goes on at half of it; shares shrink in a crowd.
func TestWaiting(t *testing.T) {
	b := NewBudget(limits)
	b.Open(1, 0)
	for _, c := range []struct {
		queued int
		wait   bool
	}{{49, false}, {50, true}, {40, true}, {26, true}, {25, false}, {49, false}, {60, true}, {0, false}} {
		if got := b.Queued(1, c.queued, 0); got != c.wait {
			t.Errorf("with %d queued: wait %v", c.queued, got)
		}
	}
	for id := ID(2); id <= 10; id++ {
		b.Open(id, 0)
	}
	if !b.Queued(1, 20, 0) { // of 400, half among ten
		t.Error("in a crowd nobody waits at a smaller share")
	}
}

// The one that reads is not closed for one that does not.
func TestVictims(t *testing.T) {
	b := NewBudget(limits)
	for id := ID(1); id <= 3; id++ {
		b.Open(id, 0)
	}
	b.Queued(1, 150, 10) // took something at 30
	b.Queued(2, 100, 20) // nothing since 20
	b.Queued(3, 120, 25)
	b.Queued(1, 140, 30)
	if _, over := b.Victim(); over {
		t.Fatal("a victim under the total")
	}
	b.Queued(1, 190, 40)
	if id, over := b.Victim(); !over || id != 2 {
		t.Fatalf("%v, %v", id, over)
	}
	b.Close(2)
	if _, over := b.Victim(); over || b.Total() != 310 {
		t.Fatalf("still over with %d", b.Total())
	}
	ids := b.Stalled(100, 60)
	slices.Sort(ids)
	if diff := cmp.Diff([]ID{1, 3}, ids); diff != "" {
		t.Error(diff)
	}
	if ids := b.Stalled(100, 70); !slices.Equal(ids, []ID{3}) {
		t.Errorf("stalled for 70: %v", ids)
	}
}

// Whatever readers do: the total is the sum of what is queued; closing victims comes back under it;
// and where servers wait when they are told to, with no part larger than a share, nobody has to be
// closed at all.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(limits)
		queued, waits := map[ID]int{}, map[ID]bool{}
		n := ID(rapid.IntRange(1, 30).Draw(t, "readers"))
		for id := ID(1); id <= n; id++ {
			b.Open(id, 0)
		}
		obeys := rapid.Bool().Draw(t, "obeys")
		for now := range int64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			id := ID(rapid.IntRange(1, int(n)).Draw(t, "reader"))
			if _, open := b.readers[id]; !open {
				continue
			}
			if rapid.Bool().Draw(t, "takes") {
				queued[id] -= rapid.IntRange(0, queued[id]).Draw(t, "taken")
			} else if !obeys || !waits[id] {
				queued[id] += rapid.IntRange(1, b.share()).Draw(t, "more")
			}
			waits[id] = b.Queued(id, queued[id], now)
			for victim, over := b.Victim(); over; victim, over = b.Victim() {
				if obeys {
					t.Fatalf("reader %d is closed though all servers wait", victim)
				}
				b.Close(victim)
				delete(queued, victim)
			}
			sum := 0
			for _, q := range queued {
				sum += q
			}
			if b.Total() != sum || sum > limits.Total {
				t.Fatalf("total %d, queued %d of %d", b.Total(), sum, limits.Total)
			}
		}
	})
}

func TestBodies(t *testing.T) {
	l := Limits{Body: 10, Most: 100}
	for _, c := range []struct {
		safe, remote, chunked bool
		length                int64
		want                  Body
	}{
		{true, true, false, -1, WholeBody}, {true, true, false, 10, WholeBody}, {true, true, false, 11, StreamBody},
		{true, true, false, 100, StreamBody}, {true, true, false, 101, TooLarge}, {false, true, false, 11, TooLarge},
		{true, false, false, 11, TooLarge}, {true, true, true, -1, WholeBody},
	} {
		if got := l.PlanBody(c.safe, c.remote, c.length, c.chunked); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if l.PlanLong(true, true) != NeedsLength || l.PlanLong(false, true) != TooLarge ||
		l.PlanLong(true, false) != TooLarge {
		t.Error("bodies in chunks that are too long")
	}
	if off := (Limits{Body: 10}); off.PlanBody(true, true, 11, false) != TooLarge ||
		off.PlanLong(true, true) != TooLarge {
		t.Error("streaming is off, and a body streams")
	}
}
