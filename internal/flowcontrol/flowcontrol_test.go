package flowcontrol

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testLimits = Limits{MaxBuffered: 100, MaxCached: 200, MaxQueued: 50, MaxQueuedTotal: 400}

func TestResponseIsBufferedStreamedOrRejectedBySize(t *testing.T) {
	for _, c := range []struct {
		name              string
		keyed, streamable bool
		parts             []int
		want              []ResponseStep
		caches            bool
	}{
		{"small", false, true, []int{40, 60}, []ResponseStep{Buffer, Buffer}, false},
		{"large", false, true, []int{40, 61, 1}, []ResponseStep{Buffer, StartStreaming, Forward}, false},
		{"large at once", false, true, []int{101}, []ResponseStep{StartStreaming}, false},
		{"large, not streamable", false, false, []int{100, 1}, []ResponseStep{Buffer, Reject}, false},
		{"keyed", true, true, []int{100, 100}, []ResponseStep{Buffer, StartStreaming}, true},
		{
			"keyed, too long to cache", true, true, []int{100, 100, 1},
			[]ResponseStep{Buffer, StartStreaming, Forward}, false,
		},
		{"keyed and empty", true, true, nil, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewResponse(testLimits, ResponseOptions{Keyed: c.keyed, Streamable: c.streamable})
			var got []ResponseStep
			for _, n := range c.parts {
				got = append(got, r.Add(n))
			}
			if diff := cmp.Diff(c.want, got); diff != "" || r.Caches() != c.caches {
				t.Errorf("Caches() = %v; steps (-want +got):\n%s", r.Caches(), diff)
			}
		})
	}
}

// With many readers the window of each is smaller.
func TestServerWaitsFromTheWindowOfItsReaderToHalfOfIt(t *testing.T) {
	w := NewReaderWindows(testLimits)
	w.AddReader(1, 0)
	for _, c := range []struct {
		queued int
		wait   bool
	}{{49, false}, {50, true}, {40, true}, {26, true}, {25, false}, {49, false}, {60, true}, {0, false}} {
		if got := w.SetQueued(1, c.queued, 0); got != c.wait {
			t.Errorf("SetQueued(%d) = %v, want the opposite", c.queued, got)
		}
	}
	for id := ReaderID(2); id <= 10; id++ {
		w.AddReader(id, 0)
	}
	if !w.SetQueued(1, 20, 0) { // half of MaxQueuedTotal (400) is shared by ten readers
		t.Error("SetQueued(20) with ten readers = false, want true: each has a window of 20")
	}
}

func TestReaderWithoutProgressIsTheVictim(t *testing.T) {
	w := NewReaderWindows(testLimits)
	for id := ReaderID(1); id <= 3; id++ {
		w.AddReader(id, 0)
	}
	w.SetQueued(1, 150, 10*ms) // this one reads at 30 ms
	w.SetQueued(2, 100, 20*ms) // this one has read nothing since 20 ms
	w.SetQueued(3, 120, 25*ms)
	w.SetQueued(1, 140, 30*ms)
	if _, over := w.Victim(); over {
		t.Fatal("Victim() while no more than MaxQueuedTotal is queued: want none")
	}
	w.SetQueued(1, 190, 40*ms)
	if id, over := w.Victim(); !over || id != 2 {
		t.Fatalf("Victim() = %v, %v, want 2, true", id, over)
	}
	w.RemoveReader(2)
	if _, over := w.Victim(); over || w.QueuedBytes() != 310 {
		t.Fatalf("after the victim is removed %d bytes are queued, want 310 and no victim", w.QueuedBytes())
	}
	ids := w.Stalled(100*ms, 60*ms)
	slices.Sort(ids)
	if diff := cmp.Diff([]ReaderID{1, 3}, ids); diff != "" {
		t.Errorf("Stalled() for over 60 ms (-want +got):\n%s", diff)
	}
	if ids := w.Stalled(100*ms, 70*ms); !slices.Equal(ids, []ReaderID{3}) {
		t.Errorf("Stalled() for over 70 ms = %v, want reader 3", ids)
	}
}

// Guards against a total above MaxQueuedTotal, and against readers that are dropped without need: none
// is, if the servers wait when they have to and no part is larger than a window.
func TestDroppingVictimsKeepsTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewReaderWindows(testLimits)
		queued, waits := map[ReaderID]int{}, map[ReaderID]bool{}
		n := ReaderID(rapid.IntRange(1, 30).Draw(t, "readers"))
		for id := ReaderID(1); id <= n; id++ {
			w.AddReader(id, 0)
		}
		obeys := rapid.Bool().Draw(t, "obeys")
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := ReaderID(rapid.IntRange(1, int(n)).Draw(t, "reader"))
			if _, open := w.readers[id]; !open {
				continue
			}
			if rapid.Bool().Draw(t, "takes") {
				queued[id] -= rapid.IntRange(0, queued[id]).Draw(t, "taken")
			} else if !obeys || !waits[id] {
				queued[id] += rapid.IntRange(1, w.window()).Draw(t, "more")
			}
			waits[id] = w.SetQueued(id, queued[id], time.Duration(step)*ms)
			for victim, over := w.Victim(); over; victim, over = w.Victim() {
				if obeys {
					t.Fatalf("reader %d is dropped although all servers wait when they have to", victim)
				}
				w.RemoveReader(victim)
				delete(queued, victim)
			}
			sum := 0
			for _, q := range queued {
				sum += q
			}
			if w.QueuedBytes() != sum || sum > testLimits.MaxQueuedTotal {
				t.Fatalf("QueuedBytes() = %d, want %d, and at most %d", w.QueuedBytes(), sum, testLimits.MaxQueuedTotal)
			}
		}
	})
}

func TestRequestBodyIsBufferedStreamedOrRejectedBySize(t *testing.T) {
	l := Limits{MaxBufferedBody: 10, MaxStreamedBody: 100}
	for _, c := range []struct {
		idempotent, remote, chunked bool
		length                      int64
		want                        BodyPlan
	}{
		{true, true, false, -1, BufferBody},
		{true, true, false, 10, BufferBody},
		{true, true, false, 11, StreamBody},
		{true, true, false, 100, StreamBody},
		{true, true, false, 101, RejectTooLarge},
		{false, true, false, 11, RejectTooLarge},
		{true, false, false, 11, RejectTooLarge},
		{true, true, true, -1, BufferBody},
	} {
		body := RequestBody{Idempotent: c.idempotent, Remote: c.remote, Length: c.length, Chunked: c.chunked}
		if got := l.PlanBody(body); got != c.want {
			t.Errorf("PlanBody() for case %+v = %v", c, got)
		}
	}
	streamable := RequestBody{Idempotent: true, Remote: true, Length: 11}
	if l.PlanOversizedChunked(streamable) != RequireLength ||
		l.PlanOversizedChunked(RequestBody{Remote: true}) != RejectTooLarge ||
		l.PlanOversizedChunked(RequestBody{Idempotent: true}) != RejectTooLarge {
		t.Error("PlanOversizedChunked(): want RequireLength only for an idempotent request to a server")
	}
	if off := (Limits{MaxBufferedBody: 10}); off.PlanBody(streamable) != RejectTooLarge ||
		off.PlanOversizedChunked(streamable) != RejectTooLarge {
		t.Error("a body over MaxBufferedBody is not rejected although streaming is off")
	}
}
