package picker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryepaddle/internal/balancer/endpointhealth"
)

// sequence applies one sequence of events to a picker of three servers, one of which may move to another
// address.
type sequence struct {
	t        *testing.T
	code     int // number of the sequence, whose digits in base sequenceEvents are the events
	picker   *Picker
	now      time.Duration
	listed   []endpointhealth.EndpointSpec
	inFlight []*Server // the oldest first
}

const sequenceEvents = 9 // kinds of events; see sequence.apply

// fail ends the test, and names the sequence.
func (q *sequence) fail(format string, v ...any) {
	q.t.Helper()
	q.t.Fatalf("sequence %d in base %d: %s", q.code, sequenceEvents, fmt.Sprintf(format, v...))
}

func (q *sequence) apply(event int, lists [][]endpointhealth.EndpointSpec) {
	switch event {
	case 0, 1, 2:
		q.listed = lists[event]
		q.picker.UpdateEndpoints(q.listed, q.now)
	case 3:
		q.send(Query{Idempotent: true, Now: q.now})
	case 4:
		q.send(Query{Idempotent: true, Now: q.now, Retry: true, Attempts: attempts{"b"}})
	case 5:
		q.endOldest(endpointhealth.Success)
	case 6:
		q.endOldest(endpointhealth.Aborted)
	case 7:
		q.endOldest(endpointhealth.Inconclusive)
	case 8:
		q.now += 6 * time.Second
		q.picker.Tick(q.now)
	}
}

// send sends a request, and checks that it goes to a listed server below its limit that has had no
// attempt of it.
func (q *sequence) send(query Query) {
	to, reason := send(q.picker, query)
	if to == nil {
		hasRoom := len(q.inFlight) < 2*len(q.listed) && !query.Retry
		if hasRoom && reason != NoEndpoint {
			q.fail("no server although there is room, and the reason is %v, want NoEndpoint", reason)
		}
		return
	}
	isListed := slices.ContainsFunc(
		q.listed,
		func(spec endpointhealth.EndpointSpec) bool { return spec.ID == to.ID },
	)
	if !isListed || query.attempted(to) || to.ActiveRequests > 2 {
		q.fail("Pick() = %v by %v, with %d in flight: want a listed server not tried before, with at most 2",
			to.ID, reason, to.ActiveRequests)
	}
	q.inFlight = append(q.inFlight, to)
}

// endOldest ends the request that has been in flight for the longest time.
func (q *sequence) endOldest(outcome endpointhealth.Outcome) {
	if len(q.inFlight) > 0 {
		q.picker.Done(q.inFlight[0], 0, outcome, time.Millisecond, q.now)
		q.inFlight = q.inFlight[1:]
	}
}

// check checks the states of the servers and the counts of their requests.
func (q *sequence) check() {
	ejected, used, drained := 0, 0, 0
	for _, x := range q.picker.Servers() {
		used += x.ActiveRequests
		switch x.State {
		case endpointhealth.Ejected, endpointhealth.Probing:
			ejected++
		case endpointhealth.Draining, endpointhealth.Gone:
			q.fail("server %v is in Servers() in state %v", x.ID, x.State)
		}
	}
	if ejected > len(q.listed)/2 {
		q.fail("%d of %d servers are ejected or probing, want at most half", ejected, len(q.listed))
	}
	inZones := 0
	for _, z := range q.picker.zones {
		inZones += z.activeRequests
	}
	for _, x := range q.picker.Health().DrainingEndpoints() {
		drained += x.ActiveRequests
	}
	if inZones != used || used+drained != len(q.inFlight) {
		q.fail("requests in flight: %d by the zones, %d by the servers and %d by the draining ones; want %d in all",
			inZones, used, drained, len(q.inFlight))
	}
}

// Guards against requests that go to a server which is not listed or had them before, against more
// ejected servers than allowed, and against counts of requests in flight that go wrong.
func TestAllShortSequencesOfEvents(t *testing.T) {
	a, b, c := testSpec("a", "x"), testSpec("b", "x"), testSpec("c", "y")
	moved := b
	moved.Addr = "elsewhere"
	lists := [][]endpointhealth.EndpointSpec{{a, b, c}, {a, c}, {a, moved, c}}
	const depth = 5
	cfg := DefaultConfig(2)
	cfg.Health.ConsecutiveFailures = 1 // so that five events can lead through all states
	total := 1
	for range depth {
		total *= sequenceEvents
	}
	for n := range total {
		q := &sequence{
			t:      t,
			code:   n,
			picker: newTestPicker(cfg, lists[0]),
			now:    time.Second,
			listed: lists[0],
		}
		for code, k := n, 0; k < depth; code, k = code/sequenceEvents, k+1 {
			q.apply(code%sequenceEvents, lists)
			q.check()
		}
	}
}

// randomEvents drives a picker with random events.
type randomEvents struct {
	rt       *rapid.T
	cfg      Config
	picker   *Picker
	now      time.Duration
	inFlight []*Server
}

// endOne ends a random request in flight with a random outcome.
func (e *randomEvents) endOne() {
	if len(e.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(e.inFlight)-1).Draw(e.rt, "which")
	outcome := rapid.SampledFrom([]endpointhealth.Outcome{
		endpointhealth.Success,
		endpointhealth.Success,
		endpointhealth.ErrorResponse,
		endpointhealth.Aborted,
		endpointhealth.Unreachable,
		endpointhealth.Inconclusive,
	}).Draw(e.rt, "outcome")
	took := time.Duration(rapid.Int64Range(0, 1_000_000).Draw(e.rt, "took")) * time.Microsecond
	e.picker.Done(e.inFlight[i], 0, outcome, took, e.now)
	e.inFlight = slices.Delete(e.inFlight, i, i+1)
}

// send sends a request, and checks that it goes to a server that can take it, or that there is none.
func (e *randomEvents) send() {
	idempotent := rapid.Bool().Draw(e.rt, "idempotent")
	key := fmt.Sprint(e.now.Microseconds())
	to, reason := send(e.picker, Query{Idempotent: idempotent, Key: key, Now: e.now})
	if to == nil {
		for _, x := range e.picker.Servers() {
			// a paced server gets only its share, and takes no request without permits
			if x.ActiveRequests < e.cfg.MaxRequests && (!x.isPaced() || x.hasPermits(&Query{Now: e.now})) {
				e.rt.Fatalf("Pick() = nil although %s can take a request, with %d in flight", x.Name, x.ActiveRequests)
			}
		}
		return
	}
	if to.ActiveRequests > e.cfg.MaxRequests || to.State >= endpointhealth.Draining || reason == NoEndpoint {
		e.rt.Fatalf("Pick() = %v in state %v, with %d in flight, by %v; want a listed server, not above its maximum",
			to.ID, to.State, to.ActiveRequests, reason)
	}
	e.inFlight = append(e.inFlight, to)
}

// Guards against requests that go to servers which left the list or are at their maximum, and against
// requests that get no server although one can take them.
func TestRandomEventsKeepTheLimitsAndFindAServer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(rapid.IntRange(1, 20).Draw(rt, "max requests"))
		cfg.Zones = []string{"b", "a"}
		cfg.KeyAffinity = rapid.Bool().Draw(rt, "affinity")
		e := &randomEvents{
			rt:     rt,
			cfg:    cfg,
			picker: newTestPicker(cfg, testSpecs(3, "a", "b")),
			now:    time.Second,
		}
		for range 300 {
			e.now += time.Duration(rapid.Int64Range(0, 2_000_000).Draw(rt, "wait")) * time.Microsecond
			switch rapid.IntRange(0, 20).Draw(rt, "event") {
			case 0:
				listed := rapid.IntRange(1, 12).Draw(rt, "servers")
				e.picker.UpdateEndpoints(testSpecs(listed, "a", "b", "c")[:listed], e.now)
			case 1, 2:
				e.picker.Tick(e.now)
			case 3, 4, 5, 6, 7, 8, 9, 10:
				e.endOne()
			default:
				e.send()
			}
		}
	})
}
