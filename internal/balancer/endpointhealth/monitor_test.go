package endpointhealth

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// monitorTest is a monitor whose endpoints are named n0, n1 and so on, with a log of its state
// changes.
type monitorTest struct {
	*Monitor
	t   testing.TB
	log []string      // state changes since the last call of expect, as text
	all []StateChange // since the start
}

func testSpec(n int) EndpointSpec {
	return EndpointSpec{ID: ID{Name: fmt.Sprint("n", n), Addr: "a"}, Weight: 1}
}

func newMonitorTest(t testing.TB, cfg Config, servers int) *monitorTest {
	p := &monitorTest{t: t}
	p.Monitor = New(cfg, func(_ *Endpoint, c StateChange) {
		p.all = append(p.all, c)
		p.log = append(
			p.log,
			fmt.Sprintf("%d %s %v>%v: %s", c.At/time.Second, c.Endpoint.Name, c.From, c.To, c.Cause),
		)
	})
	p.list(time.Second, servers)
	p.log = nil
	return p
}

// list updates the endpoint list to the given number of endpoints.
func (p *monitorTest) list(now time.Duration, servers int) {
	var list []EndpointSpec
	for i := range servers {
		list = append(list, testSpec(i))
	}
	p.Update(list, now)
}

func (p *monitorTest) endpoint(n int) *Endpoint { return p.byID[testSpec(n).ID] }

// request sends one request to an endpoint, and ends it at the same time.
func (p *monitorTest) request(n int, outcome Outcome, took, now time.Duration) {
	e := p.endpoint(n)
	p.Sent(e)
	p.Done(e, outcome, took, now)
}

// check starts and ends all health checks that are due.
func (p *monitorTest) check(now time.Duration, passed bool) {
	for _, e := range p.DueHealthChecks(now, nil) {
		p.HealthCheckDone(e, passed, now)
	}
}

func numberOf(e *Endpoint) (n int) {
	if _, err := fmt.Sscanf(e.Name, "n%d", &n); err != nil {
		panic(err)
	}
	return n
}

// expect compares the state changes since the last call with those that are wanted.
func (p *monitorTest) expect(want ...string) {
	p.t.Helper()
	if diff := cmp.Diff(want, p.log); diff != "" {
		p.t.Errorf("state changes (-want +got):\n%s", diff)
	}
	p.log = nil
}

func TestEndpointIsEjectedProbedWarmedUpAndEjectedForLonger(t *testing.T) {
	p := newMonitorTest(t, DefaultConfig(), 4)
	for range 3 {
		p.request(0, Aborted, 0, time.Second)
	}
	p.expect(
		"1 n0 in service>suspected: a request failed",
		"1 n0 suspected>ejected: 3 failures in a row; ejected for 5000 ms",
	)
	e := p.endpoint(0)
	p.Tick(5 * time.Second)
	if p.TrafficShare(e, 5*time.Second) != 0 || p.NextProbe(true, 5*time.Second) != nil {
		t.Error("an ejected endpoint has a traffic share or is offered as a probe before its ejection ends")
	}
	if p.EarliestProbe() != 6*time.Second {
		t.Errorf("EarliestProbe() = %v, want 6s", p.EarliestProbe())
	}
	p.Tick(6 * time.Second)
	if p.NextProbe(true, 6*time.Second) != e || p.NextProbe(false, 6*time.Second) != nil {
		t.Error("NextProbe(): want the endpoint for a request that may be retried, nil for one that may not")
	}
	if p.NextProbe(false, 11*time.Second) != e {
		t.Error("NextProbe() after MaxProbeWait: want the endpoint also for a request that may not be retried")
	}
	p.Sent(e)
	if p.NextProbe(true, 6*time.Second) != nil {
		t.Error("NextProbe() returns the endpoint while a request probes it")
	}
	p.Done(e, Inconclusive, 0, 6*time.Second)
	if p.NextProbe(true, 6*time.Second) != e {
		t.Error("NextProbe() after an inconclusive probe: want the endpoint again")
	}
	p.request(0, Success, time.Millisecond, 7*time.Second)
	if got := p.TrafficShare(e, 12*time.Second); got < 0.5 || got > 0.6 {
		t.Errorf("TrafficShare() halfway through the warm-up = %v, want 0.5 to 0.6", got)
	}
	p.Tick(17 * time.Second)
	if p.TrafficShare(e, 17*time.Second) != 1 {
		t.Error("TrafficShare() after the warm-up: want 1")
	}
	for range 3 {
		p.request(0, Unreachable, 0, 20*time.Second)
	}
	p.Tick(30 * time.Second)
	p.request(0, Aborted, 0, 30*time.Second)
	p.expect(
		"6 n0 ejected>probing: its ejection time is over",
		"7 n0 probing>warming: its probe succeeded",
		"17 n0 warming>in service: its warm-up is complete",
		"20 n0 in service>suspected: a request failed",
		"20 n0 suspected>ejected: 3 failures in a row; ejected for 10000 ms",
		"30 n0 ejected>probing: its ejection time is over",
		"30 n0 probing>ejected: its probe failed; ejected for 10000 ms",
	)
}

func TestEndpointThatStaysDownIsProbedLessOften(t *testing.T) {
	p := newMonitorTest(t, DefaultConfig(), 4)
	for range 3 {
		p.request(0, Unreachable, 0, time.Second)
	}
	var at []int64 // seconds
	for now := time.Second; now < 100*time.Second; now += time.Second {
		p.Tick(now)
		if p.NextProbe(true, now) != nil {
			p.request(0, Unreachable, 0, now)
			at = append(at, int64(now/time.Second))
		}
	}
	if diff := cmp.Diff([]int64{6, 11, 16, 21, 31, 41, 51, 61, 81}, at); diff != "" {
		t.Errorf("seconds at which the endpoint was probed (-want +got):\n%s", diff)
	}
}

func TestTimeoutsCountOnlyInARowAndWherePeersAreInTime(t *testing.T) {
	p := newMonitorTest(t, DefaultConfig(), 4)
	for n := range 4 { // under overload some requests to every endpoint time out
		for k := range 40 {
			o := Success
			if k%4 == 3 {
				o = TimedOut
			}
			p.request(n, o, time.Millisecond, time.Second)
		}
	}
	p.Tick(2 * time.Second)
	for range 5 {
		p.request(1, TimedOut, 0, 2*time.Second)
	}
	p.expect()

	p = newMonitorTest(t, DefaultConfig(), 4)
	for range 2 {
		p.request(1, TimedOut, 0, time.Second)
	}
	p.expect()
	p.request(1, TimedOut, 0, time.Second)
	p.expect("1 n1 in service>ejected: 3 failures in a row; ejected for 5000 ms")
}

func TestSuspicionLastsItsMinimumTime(t *testing.T) {
	p := newMonitorTest(t, DefaultConfig(), 4)
	p.request(1, Aborted, 0, time.Second)
	p.request(1, Success, time.Millisecond, 2*time.Second)
	p.Tick(2 * time.Second)
	if got := p.TrafficShare(p.endpoint(1), 2*time.Second); got != 0.5 {
		t.Errorf("TrafficShare() of a suspected endpoint = %v, want 0.5", got)
	}
	p.Tick(6 * time.Second)
	p.expect("1 n1 in service>suspected: a request failed", "6 n1 suspected>in service: its requests succeed again")
}

func TestFailureRateIsComparedWithPeers(t *testing.T) {
	for name, c := range map[string]struct {
		fails [4]int // failed requests by endpoint, of 40
		want  []string
	}{
		"one": {[4]int{0, 0, 20, 0}, []string{
			"2 n2 in service>ejected: 20 of its 40 requests failed, and 0% of those of its peers; ejected for 5000 ms",
		}},
		"all alike":  {[4]int{20, 20, 22, 18}, nil},
		"few of one": {[4]int{0, 8, 0, 0}, nil},
		"two of four, as many as may be ejected": {[4]int{0, 40, 40, 0}, []string{
			"2 n1 in service>ejected: 40 of its 40 requests failed, and 33% of those of its peers; ejected for 5000 ms",
			"2 n2 in service>ejected: 40 of its 40 requests failed, and 33% of those of its peers; ejected for 5000 ms",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newMonitorTest(t, DefaultConfig(), 4)
			for k := range 40 {
				for n := range 4 {
					o := Success
					if k%40 < c.fails[n] {
						o = ErrorResponse
					}
					p.request(n, o, time.Millisecond, time.Second)
				}
			}
			p.Tick(2 * time.Second)
			p.expect(c.want...)
		})
	}
}

func TestLatencyIsComparedWithPeers(t *testing.T) {
	for name, c := range map[string]struct {
		took [5]int // latencies by endpoint, in ms
		want int    // the endpoint that is ejected; -1: none
	}{
		"one slow":      {[5]int{50, 50, 50, 400, 60}, 3},
		"all slow":      {[5]int{400, 400, 400, 500, 400}, -1},
		"small excess":  {[5]int{1, 1, 1, 10, 1}, -1}, // below MinLatencyExcess
		"twice as slow": {[5]int{50, 50, 50, 100, 50}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newMonitorTest(t, DefaultConfig(), 5)
			for now := time.Second; now < 8*time.Second; now += time.Second {
				for n := range 5 {
					for range 25 {
						if p.TrafficShare(p.endpoint(n), now) > 0 {
							took := time.Duration(c.took[n]) * time.Millisecond
							p.request(n, Success, took, now)
						}
					}
				}
				p.Tick(now + time.Second/2)
			}
			out := -1
			for _, e := range p.EndpointList().Endpoints {
				if e.State == Ejected {
					out = numberOf(e)
				}
			}
			if out != c.want {
				t.Errorf("ejected endpoint (-1: none) = %d; state changes: %q", out, p.log)
			}
		})
	}
}

func TestHealthChecksBringEndpointsInAndOut(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HealthChecks.Interval = 2 * time.Second
	p := newMonitorTest(t, cfg, 3)
	p.DueHealthChecks(time.Second, nil)
	p.list(2*time.Second, 4)
	p.expect("2 n3 listed>checking: it is new in the list")
	if p.TrafficShare(p.endpoint(3), 2*time.Second) != 0 {
		t.Error("a new endpoint has a traffic share before its health checks passed")
	}
	for now := 2 * time.Second; now < 7*time.Second; now += time.Second {
		p.check(now, true)
	}
	p.expect("4 n3 checking>warming: 2 checks passed")
	for now := 7 * time.Second; now < 13*time.Second; now += time.Second {
		p.check(now, false)
	}
	if got := p.StateCounts(); got[Ejected] != 2 {
		t.Errorf("%d of 4 endpoints are ejected by failed checks, want 2, the most allowed: %q", got[Ejected], p.log)
	}
}

func TestEndpointThatPassesChecksAndFailsRequestsIsEjectedForLonger(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HealthChecks.Interval = 2 * time.Second
	p := newMonitorTest(t, cfg, 3)
	p.DueHealthChecks(time.Second, nil)
	ejections := 0
	for now := 2 * time.Second; now < 120*time.Second; now += time.Second / 4 {
		p.check(now, true)
		if p.TrafficShare(p.endpoint(0), now) > 0 {
			p.request(0, Aborted, 0, now)
		}
		p.Tick(now)
	}
	for _, c := range p.all {
		if c.To == Ejected {
			ejections++
		}
	}
	if ejections < 2 || ejections > 6 {
		t.Errorf("the endpoint is ejected %d times in 2 minutes, want 2 to 6", ejections)
	}
}

func TestServerAtAnotherAddressIsAnotherEndpoint(t *testing.T) {
	p := newMonitorTest(t, DefaultConfig(), 1)
	old := p.endpoint(0)
	p.Sent(old)
	first := p.EndpointList()
	p.Update([]EndpointSpec{{ID: ID{Name: "n0", Addr: "b"}, Weight: 1}}, 2*time.Second)
	back := p.EndpointList().Endpoints[0]
	if p.TrafficShare(old, 2*time.Second) != 0 || p.TrafficShare(back, 2*time.Second) == 0 ||
		p.DrainingCount() != 1 {
		t.Errorf("want the old endpoint draining without traffic, and the new one with traffic: %+v, %+v", old, back)
	}
	if first.Endpoints[0] != old || len(first.Endpoints) != 1 || p.EndpointList().Version != first.Version+1 {
		t.Error("Update changed the previous list, or did not increment the version")
	}
	p.Done(old, Aborted, 0, 3*time.Second)
	p.expect(
		"2 n0 in service>draining: it left the list with 1 requests in flight",
		"2 n0 listed>warming: it is new in the list",
		"3 n0 draining>gone: its last request ended",
	)
	if p.DrainingCount() != 0 {
		t.Error("DrainingCount() after the last request ended: want 0")
	}
}

// flapping sends random requests to endpoints that fail at random.
type flapping struct {
	*monitorTest
	rt       *rapid.T
	count    int   // number of endpoints
	inFlight []int // requests in flight by endpoint
	now      time.Duration
}

// step sends one request to an endpoint that gets traffic, or to one that waits for a probe. Nine of
// ten requests (all, if badPercent is 0) end at once, and fail with a probability of badPercent.
func (f *flapping) step(badPercent int) {
	f.now += time.Duration(rapid.Int64Range(0, 500_000).Draw(f.rt, "wait")) * time.Microsecond
	f.Tick(f.now)
	var candidates []int
	for k := range f.count {
		if f.TrafficShare(f.endpoint(k), f.now) > 0 {
			candidates = append(candidates, k)
		}
	}
	if len(candidates) == 0 {
		f.rt.Fatalf("no endpoint gets traffic: %q", f.log)
	}
	if f.ejected > f.count/2 {
		f.rt.Fatalf("%d of %d endpoints are ejected or probing, want at most half", f.ejected, f.count)
	}
	to := rapid.SampledFrom(candidates).Draw(f.rt, "to")
	if probed := f.NextProbe(true, f.now); probed != nil {
		to = numberOf(probed)
	}
	f.Sent(f.endpoint(to))
	f.inFlight[to]++
	if rapid.IntRange(0, 9).Draw(f.rt, "later") > 0 || badPercent == 0 {
		outcome := Success
		if rapid.IntRange(0, 99).Draw(f.rt, "luck") < badPercent {
			outcome = rapid.SampledFrom([]Outcome{Aborted, Unreachable, ErrorResponse}).Draw(f.rt, "how")
		}
		f.Done(f.endpoint(to), outcome, time.Millisecond, f.now)
		f.inFlight[to]--
	}
}

func (f *flapping) checkActiveRequests() {
	for k := range f.count {
		if f.endpoint(k).ActiveRequests != f.inFlight[k] {
			f.rt.Fatalf(
				"n%d: %d requests are in flight, ActiveRequests says %d",
				k,
				f.inFlight[k],
				f.endpoint(k).ActiveRequests,
			)
		}
	}
}

func (f *flapping) checkChangesInAnyMinute() {
	const maxChanges = 40
	for i, c := range f.all {
		changes := 0
		for _, d := range f.all[i:] {
			if d.Endpoint == c.Endpoint && d.At < c.At+time.Minute {
				changes++
			}
		}
		if changes > maxChanges {
			f.rt.Fatalf("%s changes its state %d times within a minute:\n%s",
				c.Endpoint.Name, changes, strings.Join(f.log, "\n"))
		}
	}
}

// heal ends all requests in flight with success, and then sends requests that succeed for the given
// time.
func (f *flapping) heal(within time.Duration) {
	for k, n := range f.inFlight {
		for range n {
			f.Done(f.endpoint(k), Success, time.Millisecond, f.now)
		}
	}
	for end := f.now + within; f.now < end; {
		f.step(0)
		for k := range f.count { // so that each endpoint gets requests
			if f.TrafficShare(f.endpoint(k), f.now) > 0 {
				f.request(k, Success, time.Millisecond, f.now)
			}
		}
	}
}

func (f *flapping) checkAllInService() {
	for k := range f.count {
		if e := f.endpoint(k); e.State != InService {
			f.rt.Fatalf("%s is %v for %v: %s; want all endpoints in service\n%s",
				e.Name, e.State, f.now-e.StateSince, e.StateCause, strings.Join(f.log, "\n"))
		}
	}
}

// Guards against endpoints that flap without bound: each endpoint changes its state a bounded number
// of times in any minute, never more endpoints are ejected than MaxEjectedShare allows, and all of
// them are in service within recoveryTime once their requests succeed.
func TestStateChangesOfFlappingEndpointsAreBounded(t *testing.T) {
	// sum of the longest ejection, the wait for a probe, the warm-up and two ticks
	const recoveryTime = 60*time.Second + 5*time.Second + 10*time.Second + 2*time.Second
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(rt, "endpoints")
		f := &flapping{
			monitorTest: newMonitorTest(t, DefaultConfig(), count),
			rt:          rt,
			count:       count,
			inFlight:    make([]int, count),
			now:         time.Second,
		}
		badPercent := rapid.IntRange(0, 100).Draw(rt, "bad")
		for range 300 {
			f.step(badPercent)
		}
		f.checkActiveRequests()
		f.checkChangesInAnyMinute()
		f.heal(recoveryTime)
		f.checkAllInService()
	})
}
