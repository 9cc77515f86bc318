package flowcontrol

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var limits = Limits{MaxBuffered: 100, MaxCached: 200, MaxQueued: 50, MaxQueuedTotal: 400}

func TestSteps(t *testing.T) {
	for _, c := range []struct {
		name           string
		keyed, streams bool
		parts          []int
		want           []ResponseStep
		keeps          bool
	}{
		{"small", false, true, []int{40, 60}, []ResponseStep{Buffer, Buffer}, false},
		{"large", false, true, []int{40, 61, 1}, []ResponseStep{Buffer, StartStreaming, Forward}, false},
		{"large at once", false, true, []int{101}, []ResponseStep{StartStreaming}, false},
		{"for a caller that cannot", false, false, []int{100, 1}, []ResponseStep{Buffer, Reject}, false},
		{"keyed", true, true, []int{100, 100}, []ResponseStep{Buffer, StartStreaming}, true},
		{"keyed, too long to keep", true, true, []int{100, 100, 1}, []ResponseStep{Buffer, StartStreaming, Forward}, false},
		{"keyed and empty", true, true, nil, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewResponse(limits, c.keyed, c.streams)
			var got []ResponseStep
			for _, n := range c.parts {
				got = append(got, r.Add(n))
			}
			if diff := cmp.Diff(c.want, got); diff != "" || r.Caches() != c.keeps {
				t.Errorf("keeps %v (-want +got)\n%s", r.Caches(), diff)
			}
		})
	}
}

// A server waits at its reader's share and goes on at half of it; shares shrink in a crowd.
func TestWaiting(t *testing.T) {
	b := NewReaderWindows(limits)
	b.AddReader(1, 0)
	for _, c := range []struct {
		queued int
		wait   bool
	}{{49, false}, {50, true}, {40, true}, {26, true}, {25, false}, {49, false}, {60, true}, {0, false}} {
		if got := b.SetQueued(1, c.queued, 0); got != c.wait {
			t.Errorf("with %d queued: wait %v", c.queued, got)
		}
	}
	for id := ReaderID(2); id <= 10; id++ {
		b.AddReader(id, 0)
	}
	if !b.SetQueued(1, 20, 0) { // of 400, half among ten
		t.Error("in a crowd nobody waits at a smaller share")
	}
}

// The one that reads is not closed for one that does not.
func TestVictims(t *testing.T) {
	b := NewReaderWindows(limits)
	for id := ReaderID(1); id <= 3; id++ {
		b.AddReader(id, 0)
	}
	b.SetQueued(1, 150, 10) // took something at 30
	b.SetQueued(2, 100, 20) // nothing since 20
	b.SetQueued(3, 120, 25)
	b.SetQueued(1, 140, 30)
	if _, over := b.Victim(); over {
		t.Fatal("a victim under the total")
	}
	b.SetQueued(1, 190, 40)
	if id, over := b.Victim(); !over || id != 2 {
		t.Fatalf("%v, %v", id, over)
	}
	b.RemoveReader(2)
	if _, over := b.Victim(); over || b.QueuedBytes() != 310 {
		t.Fatalf("still over with %d", b.QueuedBytes())
	}
	ids := b.Stalled(100, 60)
	slices.Sort(ids)
	if diff := cmp.Diff([]ReaderID{1, 3}, ids); diff != "" {
		t.Error(diff)
	}
	if ids := b.Stalled(100, 70); !slices.Equal(ids, []ReaderID{3}) {
		t.Errorf("stalled for 70: %v", ids)
	}
}

// Whatever readers do: the total is the sum of what is queued; closing victims comes back under it;
// and where servers wait when they are told to, with no part larger than a share, nobody has to be
// closed at all.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewReaderWindows(limits)
		queued, waits := map[ReaderID]int{}, map[ReaderID]bool{}
		n := ReaderID(rapid.IntRange(1, 30).Draw(t, "readers"))
		for id := ReaderID(1); id <= n; id++ {
			b.AddReader(id, 0)
		}
		obeys := rapid.Bool().Draw(t, "obeys")
		for now := range int64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			id := ReaderID(rapid.IntRange(1, int(n)).Draw(t, "reader"))
			if _, open := b.readers[id]; !open {
				continue
			}
			if rapid.Bool().Draw(t, "takes") {
				queued[id] -= rapid.IntRange(0, queued[id]).Draw(t, "taken")
			} else if !obeys || !waits[id] {
				queued[id] += rapid.IntRange(1, b.share()).Draw(t, "more")
			}
			waits[id] = b.SetQueued(id, queued[id], now)
			for victim, over := b.Victim(); over; victim, over = b.Victim() {
				if obeys {
					t.Fatalf("reader %d is closed though all servers wait", victim)
				}
				b.RemoveReader(victim)
				delete(queued, victim)
			}
			sum := 0
			for _, q := range queued {
				sum += q
			}
			if b.QueuedBytes() != sum || sum > limits.MaxQueuedTotal {
				t.Fatalf("total %d, queued %d of %d", b.QueuedBytes(), sum, limits.MaxQueuedTotal)
			}
		}
	})
}

func TestBodies(t *testing.T) {
	l := Limits{MaxBufferedBody: 10, MaxStreamedBody: 100}
	for _, c := range []struct {
		safe, remote, chunked bool
		length                int64
		want                  BodyPlan
	}{
		{true, true, false, -1, BufferBody}, {true, true, false, 10, BufferBody}, {true, true, false, 11, StreamBody},
		{true, true, false, 100, StreamBody}, {true, true, false, 101, RejectTooLarge}, {false, true, false, 11, RejectTooLarge},
		{true, false, false, 11, RejectTooLarge}, {true, true, true, -1, BufferBody},
	} {
		if got := l.PlanBody(c.safe, c.remote, c.length, c.chunked); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if l.PlanOversizedChunked(true, true) != RequireLength || l.PlanOversizedChunked(false, true) != RejectTooLarge ||
		l.PlanOversizedChunked(true, false) != RejectTooLarge {
		t.Error("bodies in chunks that are too long")
	}
	if off := (Limits{MaxBufferedBody: 10}); off.PlanBody(true, true, 11, false) != RejectTooLarge ||
		off.PlanOversizedChunked(true, true) != RejectTooLarge {
		t.Error("streaming is off, and a body streams")
	}
}
