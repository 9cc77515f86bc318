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
		{"for a caller that cannot", false, false, []int{100, 1}, []ResponseStep{Buffer, Reject}, false},
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
				t.Errorf("caches %v (-want +got)\n%s", r.Caches(), diff)
			}
		})
	}
}

// Windows are smaller with many readers.
func TestServerWaitsFromTheWindowOfItsReaderToHalfOfIt(t *testing.T) {
	w := NewReaderWindows(testLimits)
	w.AddReader(1, 0)
	for _, c := range []struct {
		queued int
		wait   bool
	}{{49, false}, {50, true}, {40, true}, {26, true}, {25, false}, {49, false}, {60, true}, {0, false}} {
		if got := w.SetQueued(1, c.queued, 0); got != c.wait {
			t.Errorf("with %d queued: wait %v", c.queued, got)
		}
	}
	for id := ReaderID(2); id <= 10; id++ {
		w.AddReader(id, 0)
	}
	if !w.SetQueued(1, 20, 0) { // of 400, half among ten
		t.Error("with many readers no server waits at a smaller window")
	}
}

func TestReaderWithoutProgressIsTheVictim(t *testing.T) {
	w := NewReaderWindows(testLimits)
	for id := ReaderID(1); id <= 3; id++ {
		w.AddReader(id, 0)
	}
	w.SetQueued(1, 150, 10*ms) // progress at 30 ms
	w.SetQueued(2, 100, 20*ms) // none since 20 ms
	w.SetQueued(3, 120, 25*ms)
	w.SetQueued(1, 140, 30*ms)
	if _, over := w.Victim(); over {
		t.Fatal("a victim under the total")
	}
	w.SetQueued(1, 190, 40*ms)
	if id, over := w.Victim(); !over || id != 2 {
		t.Fatalf("%v, %v", id, over)
	}
	w.RemoveReader(2)
	if _, over := w.Victim(); over || w.QueuedBytes() != 310 {
		t.Fatalf("still over with %d", w.QueuedBytes())
	}
	ids := w.Stalled(100*ms, 60*ms)
	slices.Sort(ids)
	if diff := cmp.Diff([]ReaderID{1, 3}, ids); diff != "" {
		t.Error(diff)
	}
	if ids := w.Stalled(100*ms, 70*ms); !slices.Equal(ids, []ReaderID{3}) {
		t.Errorf("stalled for 70 ms: %v", ids)
	}
}

// Where servers wait when they have to, with no part larger than a window, no reader is dropped.
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
					t.Fatalf("reader %d is dropped though all servers wait", victim)
				}
				w.RemoveReader(victim)
				delete(queued, victim)
			}
			sum := 0
			for _, q := range queued {
				sum += q
			}
			if w.QueuedBytes() != sum || sum > testLimits.MaxQueuedTotal {
				t.Fatalf("total %d, queued %d of %d", w.QueuedBytes(), sum, testLimits.MaxQueuedTotal)
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
			t.Errorf("%+v: %v", c, got)
		}
	}
	streamable := RequestBody{Idempotent: true, Remote: true, Length: 11}
	if l.PlanOversizedChunked(streamable) != RequireLength ||
		l.PlanOversizedChunked(RequestBody{Remote: true}) != RejectTooLarge ||
		l.PlanOversizedChunked(RequestBody{Idempotent: true}) != RejectTooLarge {
		t.Error("bodies in chunks that are too large")
	}
	if off := (Limits{MaxBufferedBody: 10}); off.PlanBody(streamable) != RejectTooLarge ||
		off.PlanOversizedChunked(streamable) != RejectTooLarge {
		t.Error("streaming is off, and a body streams")
	}
}
