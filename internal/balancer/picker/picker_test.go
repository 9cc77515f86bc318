package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

func testSpec(name, zone string) endpointhealth.EndpointSpec {
	return endpointhealth.EndpointSpec{ID: endpointhealth.ID{Name: name, Addr: "a"}, Zone: zone, Weight: 1}
}

// testSpecs returns n servers, spread evenly over zones.
func testSpecs(n int, zones ...string) (list []endpointhealth.EndpointSpec) {
	for i := range n {
		list = append(list, testSpec(fmt.Sprintf("n%04d", i), zones[i%len(zones)]))
	}
	return list
}

func newTestPicker(cfg Config, list []endpointhealth.EndpointSpec) *Picker {
	p := New(cfg, "here", 3, 1, func(*Server, endpointhealth.StateChange) {})
	p.UpdateEndpoints(list, time.Second)
	return p
}

// send picks a server for a request, and reports the request as sent.
func send(p *Picker, q Query) (*Server, PickReason) {
	to, reason := p.Pick(&q)
	if to != nil {
		p.Sent(to)
	}
	return to, reason
}

// When all zones are full the least loaded server gets the request.
func TestRequestsOverflowToTheNextZoneOnceTheNearestIsFull(t *testing.T) {
	cfg := DefaultConfig(1000)
	cfg.Zones, cfg.ConcurrencyLimit.Initial = []string{"near", "next"}, 10
	list := append(testSpecs(2, "near"), testSpec("x1", "next"), testSpec("y1", "far"))
	p := newTestPicker(cfg, list)
	got := map[string]int{}
	var reasons [NoEndpoint + 1]int
	for k := range 60 {
		to, reason := send(p, Query{Now: 2*time.Second + time.Duration(k)*zoneRefreshInterval})
		got[to.Zone]++
		reasons[reason]++
	}
	if got["near"] != 40 || got["next"] != 10 || got["far"] != 10 || reasons[Nearest] != 20 ||
		reasons[Overflow] != 20 ||
		reasons[Overloaded] != 20 {
		t.Errorf("requests by zone %v, by reason %v; want 40 near, 10 next, 10 far, 20 for each reason", got, reasons)
	}
}

func TestZoneThatLostMostOfItsServersOverflows(t *testing.T) {
	cfg := DefaultConfig(1000)
	cfg.Zones, cfg.Health.MaxEjectedShare = []string{"near", "next"}, 0.9
	p := newTestPicker(cfg, testSpecs(20, "near", "next"))
	now := 2 * time.Second
	for _, x := range p.zones[0].servers[:8] {
		for range 3 {
			p.Sent(x)
			p.Done(x, 0, endpointhealth.Unreachable, 100*time.Microsecond, now)
		}
	}
	now += zoneRefreshInterval
	got := map[string]int{}
	for range 1000 {
		to, _ := send(p, Query{Now: now})
		got[to.Zone]++
		p.Done(to, 0, endpointhealth.Success, time.Millisecond, now)
	}
	if got["near"] < 200 || got["near"] > 360 { // 2 of 10 servers are left, which take 1.4 times their share
		t.Errorf("requests by zone = %v of 1000, want 200 to 360 in zone near", got)
	}
}

func TestLoadIsSpreadByWeightLatencyAndFailures(t *testing.T) {
	for name, c := range map[string]struct {
		weights [4]int
		took    [4]int // ms; negative: the server fails its requests at once
		want    [4]float64
	}{
		"alike":       {[4]int{1, 1, 1, 1}, [4]int{10, 10, 10, 10}, [4]float64{.25, .25, .25, .25}},
		"weights":     {[4]int{4, 2, 1, 1}, [4]int{10, 10, 10, 10}, [4]float64{.5, .25, .125, .125}},
		"one is slow": {[4]int{1, 1, 1, 1}, [4]int{40, 10, 10, 10}, [4]float64{.04, .32, .32, .32}},
		"fails fast":  {[4]int{1, 1, 1, 1}, [4]int{-1, 10, 10, 10}, [4]float64{.02, .33, .33, .33}},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 20000
			got := sharesOf(c.weights, c.took, requests)
			for i, want := range c.want {
				if share := got[fmt.Sprint(i)] / requests; math.Abs(share-want) > 0.06 {
					t.Errorf("share of server %d = %.3f, want about %.3f", i, share, want)
				}
			}
		})
	}
}

// sharesOf returns how many requests each of four servers gets if one arrives each 500 µs: with the
// fast servers about 20 are in flight at once.
func sharesOf(weights, tookMs [4]int, requests int) map[string]float64 {
	var list []endpointhealth.EndpointSpec
	for i, weight := range weights {
		spec := testSpec(fmt.Sprint(i), "")
		spec.Weight = weight
		list = append(list, spec)
	}
	p := newTestPicker(DefaultConfig(1000), list)
	latencyOf := func(s *Server) time.Duration {
		return time.Duration(tookMs[s.Name[0]-'0']) * time.Millisecond
	}
	type ending struct {
		at     time.Duration
		server *Server
	}
	var open []ending
	got := map[string]float64{}
	for k := range requests {
		now := 2*time.Second + time.Duration(k)*500*time.Microsecond
		if k%2000 == 0 {
			p.Tick(now)
		}
		for i := 0; i < len(open); i++ {
			if e := open[i]; e.at <= now {
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
				i--
				p.Done(e.server, 0, endpointhealth.Success, latencyOf(e.server), now)
			}
		}
		to, _ := send(p, Query{Now: now})
		got[to.Name]++
		if took := latencyOf(to); took < 0 {
			p.Done(to, 0, endpointhealth.ErrorResponse, time.Millisecond, now)
		} else {
			open = append(open, ending{now + took, to})
		}
	}
	return got
}

func TestNewServerGetsAGrowingShareOfRequestsAndKeys(t *testing.T) {
	for _, affinity := range []bool{false, true} {
		cfg := DefaultConfig(1 << 20)
		cfg.KeyAffinity, cfg.ConcurrencyLimit.Initial, cfg.ConcurrencyLimit.Max = affinity, 1<<20, 1<<20
		p := newTestPicker(cfg, testSpecs(9, "a"))
		p.UpdateEndpoints(testSpecs(10, "a"), 10*time.Second)
		for i, want := range []float64{0.1, 0.55, 1} {
			age := 5 * time.Duration(i) * time.Second
			now := 10*time.Second + age
			p.Tick(now)
			got := 0
			for k := range 20000 {
				q := Query{Now: now}
				if affinity {
					q.Key = fmt.Sprint(k)
				}
				to, _ := send(p, q)
				if to.Name == "n0009" {
					got++
				}
				p.Done(to, 0, endpointhealth.Success, time.Millisecond, now)
			}
			if share := float64(got) / 2000; share < want*0.6 || share > want*1.5 {
				t.Errorf(
					"affinity %v: %v after it joined the server gets %.2f of its share, want about %.2f",
					affinity,
					age,
					share,
					want,
				)
			}
		}
	}
}

// attempts holds the names of the servers that had an attempt.
type attempts []string

func (a attempts) Tried(name string) bool { return slices.Contains(a, name) }

func TestLoadIsSpreadEvenlyWhereAllServersAreSuspected(t *testing.T) {
	p := newTestPicker(DefaultConfig(1000), testSpecs(6, "a"))
	for _, x := range p.Servers() {
		p.Sent(x)
		p.Done(x, 0, endpointhealth.Aborted, time.Millisecond, 2*time.Second)
	}
	got := map[string]int{}
	for range 600 {
		to, _ := send(p, Query{Now: 2*time.Second + zoneRefreshInterval})
		got[to.Name]++
	}
	for name, n := range got {
		if n < 90 || n > 110 {
			t.Errorf("%s gets %d of 600 requests, want 90 to 110", name, n)
		}
	}
}

func TestRetryAfterIsTheNextProbeOrTheMeanLatency(t *testing.T) {
	cfg := DefaultConfig(1)
	cfg.Health.MaxEjectedShare = 1
	p := newTestPicker(cfg, testSpecs(2, "a"))
	now := 2 * time.Second
	for i, x := range p.Servers() {
		for range 3 {
			p.Sent(x)
			p.Done(x, 0, endpointhealth.Unreachable, 100*time.Microsecond, now+time.Duration(i)*time.Second)
		}
	}
	if got := p.RetryAfter(now + 2*time.Second); got != 3*time.Second {
		t.Errorf("RetryAfter() with all servers ejected = %v, want 3s", got)
	}
	p = newTestPicker(cfg, testSpecs(1, "a"))
	to, _ := send(p, Query{Now: now})
	p.Done(to, 0, endpointhealth.Success, 300*time.Millisecond, now)
	send(p, Query{Now: now})
	if to, reason := send(p, Query{Now: now}); to != nil || reason != NoEndpoint {
		t.Errorf("a server with one request in flight, the maximum, gets another one, by reason %v", reason)
	}
	if got := p.RetryAfter(now); got != 300*time.Millisecond {
		t.Errorf("RetryAfter() with all servers full = %v, want 300ms", got)
	}
}

func TestSlowServerGetsRequestsAgainOnceItsMeasurementsAreVoid(t *testing.T) {
	p := newTestPicker(DefaultConfig(100), testSpecs(3, "a"))
	now := 2 * time.Second
	got := map[string]int{}
	for k := range 300 {
		now += time.Second / 10
		to, _ := send(p, Query{Now: now})
		got[to.Name]++
		took := 10 * time.Millisecond
		if to.Name == "n0001" && k < 30 {
			took = 200 * time.Millisecond
		}
		p.Done(to, 0, endpointhealth.Success, took, now)
	}
	if got["n0001"] < 30 || got["n0000"] < 60 || got["n0002"] < 60 {
		t.Errorf("requests by server = %v, want at least 30 for n0001 and 60 for each of the others", got)
	}
}

// Guards against a server that looks slow because it gets more requests of a slow class: the latencies
// of a class are compared with those of the same class.
func TestLimitDoesNotFallWhenTheShareOfASlowClassGrows(t *testing.T) {
	cfg := DefaultConfig(64)
	p := New(cfg, "hop", 2, 1, func(*Server, endpointhealth.StateChange) {})
	now, rnd := time.Microsecond, rand.New(rand.NewPCG(1, 1))
	p.UpdateEndpoints(
		[]endpointhealth.EndpointSpec{{ID: endpointhealth.ID{Name: "one", Addr: "one"}, Weight: 1}},
		now,
	)
	server := p.Servers()[0]
	limits := [2]int{64, 64} // the lowest limit of each part
	for part, slowPercent := range []int{10, 90} {
		for n := range 4000 {
			class, took := 0, 5*time.Millisecond
			if rnd.IntN(100) < slowPercent {
				class, took = 1, 100*time.Millisecond
			}
			now += 10 * time.Millisecond
			for server.ActiveRequests < server.Limit() {
				p.Sent(server)
			}
			p.Done(server, class, endpointhealth.Success, took, now)
			if n > 2000 || part == 1 {
				limits[part] = min(limits[part], server.Limit())
			}
		}
	}
	// the limit is halved now and then to measure the best latency
	if limits[0] < 16 || limits[1] < limits[0]*2/5 {
		t.Errorf("lowest limit = %d, want at least 16; with more of the slow class = %d, want at least 0.4 of it",
			limits[0], limits[1])
	}
}
