package endpointhealth

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const s = 1_000_000

// play is a table whose servers are named n0, n1 and so on, with the log of its changes.
type play struct {
	*Monitor
	t   testing.TB
	log []string
	all []StateChange
}

func listing(n int) EndpointSpec { return EndpointSpec{ID: ID{fmt.Sprint("n", n), "a"}, Weight: 1} }

func newPlay(t testing.TB, cfg Config, servers int) *play {
	p := &play{t: t}
	p.Monitor = New(cfg, func(_ *Endpoint, c StateChange) {
		p.all = append(p.all, c)
		p.log = append(p.log, fmt.Sprintf("%d %s %v>%v: %s", c.At/s, c.Endpoint.Name, c.From, c.To, c.Cause))
	})
	p.list(s, servers)
	p.log = nil
	return p
}

// list lists so many servers.
func (p *play) list(now int64, servers int) {
	var list []EndpointSpec
	for i := range servers {
		list = append(list, listing(i))
	}
	p.Update(list, now)
}

func (p *play) member(n int) *Endpoint { return p.byID[listing(n).ID] }

func (p *play) one(n int, o Outcome, took, now int64) {
	m := p.member(n)
	p.Sent(m)
	p.Done(m, o, took, now)
}

func (p *play) expect(want ...string) {
	p.t.Helper()
	if diff := cmp.Diff(want, p.log); diff != "" {
		p.t.Errorf("(-want +got)\n%s", diff)
	}
	p.log = nil
}

// A server that fails is ejected, probed by one request, warms up, and is ejected for longer if it
// fails again.
func TestALife(t *testing.T) {
	p := newPlay(t, DefaultConfig(), 4)
	for range 3 {
		p.one(0, Aborted, 0, 1*s)
	}
	p.expect(
		"1 n0 in service>suspected: it failed",
		"1 n0 suspected>ejected: 3 failures in a row, for 5000 ms",
	)
	m := p.member(0)
	p.Tick(5 * s)
	if p.TrafficShare(m, 5*s) != 0 || p.NextProbe(true, 5*s) != nil {
		t.Error("an ejected server gets a part, or is probed")
	}
	if p.EarliestProbe() != 6*s {
		t.Errorf("it is back at %d", p.EarliestProbe())
	}
	p.Tick(6 * s)
	if p.NextProbe(true, 6*s) != m || p.NextProbe(false, 6*s) != nil {
		t.Error("nothing probes it, or a request does that may not be sent again")
	}
	if p.NextProbe(false, 11*s) != m {
		t.Error("where no others come, nothing probes it")
	}
	p.Sent(m)
	if p.NextProbe(true, 6*s) != nil {
		t.Error("two requests probe it")
	}
	p.Done(m, Inconclusive, 0, 6*s)
	if p.NextProbe(true, 6*s) != m {
		t.Error("after a probe that said nothing there is no other")
	}
	p.one(0, Success, 1000, 7*s)
	if got := p.TrafficShare(m, 12*s); got < 0.5 || got > 0.6 {
		t.Errorf("half warm it gets %v", got)
	}
	p.Tick(17 * s)
	if p.TrafficShare(m, 17*s) != 1 {
		t.Error("warm, it does not get its whole part")
	}
	for range 3 {
		p.one(0, Unreachable, 0, 20*s)
	}
	p.Tick(30 * s)
	p.one(0, Aborted, 0, 30*s)
	p.expect(
		"6 n0 ejected>probing: its time is over",
		"7 n0 probing>warming: its probe went well",
		"17 n0 warming>in service: it is warm",
		"20 n0 in service>suspected: it failed",
		"20 n0 suspected>ejected: 3 failures in a row, for 10000 ms",
		"30 n0 ejected>probing: its time is over",
		"30 n0 probing>ejected: its probe failed, for 10000 ms",
	)
}

// One that stays away is probed at the same distance for a while, and less often after that.
func TestOneThatStaysAway(t *testing.T) {
	p := newPlay(t, DefaultConfig(), 4)
	for range 3 {
		p.one(0, Unreachable, 0, 1*s)
	}
	var at []int64
	for now := int64(1 * s); now < 100*s; now += s {
		p.Tick(now)
		if m := p.NextProbe(true, now); m != nil {
			p.one(0, Unreachable, 0, now)
			at = append(at, now/s)
		}
	}
	if diff := cmp.Diff([]int64{6, 11, 16, 21, 31, 41, 51, 61, 81}, at); diff != "" {
		t.Errorf("probes (-want +got)\n%s", diff)
	}
}

// Requests that come back too late tell of a server only where its peers' do come back, and one of
// them tells nothing.
func TestLateness(t *testing.T) {
	p := newPlay(t, DefaultConfig(), 4)
	for n := range 4 { // a crowd: all are late now and then
		for k := range 40 {
			o := Success
			if k%4 == 3 {
				o = TimedOut
			}
			p.one(n, o, 1000, 1*s)
		}
	}
	p.Tick(2 * s)
	for range 5 {
		p.one(1, TimedOut, 0, 2*s)
	}
	p.expect()
	p = newPlay(t, DefaultConfig(), 4)
	for range 2 {
		p.one(1, TimedOut, 0, 1*s)
	}
	p.expect()
	p.one(1, TimedOut, 0, 1*s)
	p.expect("1 n1 in service>ejected: 3 failures in a row, for 5000 ms")
}

// One failure is a suspicion, which lasts; then the server is in service again.
func TestSuspicion(t *testing.T) {
	p := newPlay(t, DefaultConfig(), 4)
	p.one(1, Aborted, 0, 1*s)
	p.one(1, Success, 1000, 2*s)
	p.Tick(2 * s)
	if got := p.TrafficShare(p.member(1), 2*s); got != 0.5 {
		t.Errorf("its part is %v", got)
	}
	p.Tick(6 * s)
	p.expect("1 n1 in service>suspected: it failed", "6 n1 suspected>in service: it serves again")
}

// A server's own failures tell on it where its peers have none, and what befalls all says nothing
// of one. A server that answers 500 in a millisecond drew all the work.
func TestRateBesidePeers(t *testing.T) {
	for name, c := range map[string]struct {
		fails [4]int // of 40 requests
		want  []string
	}{
		"one":           {[4]int{0, 0, 20, 0}, []string{"2 n2 in service>ejected: 20 of its 40 requests failed, 0% of its peers', for 5000 ms"}},
		"all alike":     {[4]int{20, 20, 22, 18}, nil},
		"a few":         {[4]int{0, 8, 0, 0}, nil},
		"half, and two": {[4]int{0, 40, 40, 0}, []string{"2 n1 in service>ejected: 40 of its 40 requests failed, 33% of its peers', for 5000 ms", "2 n2 in service>ejected: 40 of its 40 requests failed, 33% of its peers', for 5000 ms"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t, DefaultConfig(), 4)
			for k := range 40 {
				for n := range 4 {
					o := Success
					if k%40 < c.fails[n] {
						o = ErrorResponse
					}
					p.one(n, o, 1000, 1*s)
				}
			}
			p.Tick(2 * s)
			p.expect(c.want...)
		})
	}
}

// A server that has been several times slower than the others for a while is ejected; all of them
// slow are not, and one that warms up is not.
func TestLatencyBesidePeers(t *testing.T) {
	for name, c := range map[string]struct {
		took [5]int64 // ms
		want int      // that is ejected; -1: nobody
	}{
		"one slow":      {[5]int64{50, 50, 50, 400, 60}, 3},
		"all slow":      {[5]int64{400, 400, 400, 500, 400}, -1},
		"little":        {[5]int64{1, 1, 1, 10, 1}, -1}, // 10 ms are nothing to speak of
		"twice as slow": {[5]int64{50, 50, 50, 100, 50}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t, DefaultConfig(), 5)
			for sec := int64(1); sec < 8; sec++ {
				for n := range 5 {
					for range 25 {
						if m := p.member(n); p.TrafficShare(m, sec*s) > 0 {
							p.one(n, Success, c.took[n]*1000, sec*s)
						}
					}
				}
				p.Tick(sec*s + s/2)
			}
			out := -1
			for _, m := range p.EndpointList().Endpoints {
				if m.State == Ejected {
					fmt.Sscanf(m.Name, "n%d", &out)
				}
			}
			if out != c.want {
				t.Errorf("%d is ejected: %q", out, p.log)
			}
		})
	}
}

// HealthChecks bring servers in and out; one that answers them and no work is out for longer each time
// all the same.
func TestChecks(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HealthChecks.Interval = 2 * s
	p := newPlay(t, cfg, 3)
	check := func(now int64, good bool) (names []string) {
		for _, m := range p.DueHealthChecks(now, nil) {
			names = append(names, m.Name)
			p.HealthCheckDone(m, good, now)
		}
		return names
	}
	p.DueHealthChecks(1*s, nil)
	p.list(2*s, 4)
	p.expect("2 n3 listed>checking: it is new in the list")
	if p.TrafficShare(p.member(3), 2*s) != 0 {
		t.Error("it gets work before it is checked")
	}
	for now := int64(2 * s); now < 7*s; now += s {
		check(now, true)
	}
	p.expect("4 n3 checking>warming: 2 checks passed")
	for now := int64(7 * s); now < 13*s; now += s {
		check(now, false)
	}
	if got := p.StateCounts(); got[Ejected] != 2 {
		t.Errorf("%d of 4 are ejected by checks, of at most half: %q", got[Ejected], p.log)
	}
	p.log = nil
	p = newPlay(t, cfg, 3)
	p.DueHealthChecks(1*s, nil)
	outs := 0
	for now := int64(2 * s); now < 120*s; now += s / 4 {
		check(now, true)
		if m := p.member(0); p.TrafficShare(m, now) > 0 {
			p.one(0, Aborted, 0, now)
		}
		p.Tick(now)
	}
	for _, c := range p.all {
		if c.To == Ejected {
			outs++
		}
	}
	if outs < 2 || outs > 6 {
		t.Errorf("a server that answers checks alone is ejected %d times in 2 minutes", outs)
	}
}

// A server that comes back at another address while its old requests are open is another one.
func TestAnotherAddress(t *testing.T) {
	p := newPlay(t, DefaultConfig(), 1)
	old := p.member(0)
	p.Sent(old)
	first := p.EndpointList()
	p.Update([]EndpointSpec{{ID: ID{"n0", "b"}, Weight: 1}}, 2*s)
	back := p.EndpointList().Endpoints[0]
	if p.TrafficShare(old, 2*s) != 0 || p.TrafficShare(back, 2*s) == 0 || p.DrainingCount() != 1 {
		t.Errorf("%+v, %+v", old, back)
	}
	if first.Endpoints[0] != old || len(first.Endpoints) != 1 || p.EndpointList().Version != first.Version+1 {
		t.Error("the roster that stood was changed")
	}
	p.Done(old, Aborted, 0, 3*s)
	p.expect(
		"2 n0 in service>draining: it left the list with 1 open",
		"2 n0 listed>warming: it is new in the list",
		"3 n0 draining>gone: its last request ended",
	)
	if p.DrainingCount() != 0 {
		t.Error("it is still known")
	}
}

// Whatever servers do, each changes its state a bounded number of times in any minute, never more
// are out than may be, what is open comes out even, and those that are well again are in service
// again within a stated time.
func TestFlappingIsBounded(t *testing.T) {
	// the longest ejection, the wait for a probe, the warming, two looks
	const backWithin = 60*s + 5*s + 10*s + 2*s
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "servers")
		p := newPlay(t, DefaultConfig(), n)
		bad := rapid.IntRange(0, 100).Draw(rt, "bad")
		open := make([]int, n)
		now := int64(s)
		step := func(bad int) {
			now += rapid.Int64Range(0, s/2).Draw(rt, "wait")
			p.Tick(now)
			var in []int
			for k := range n {
				if p.TrafficShare(p.member(k), now) > 0 {
					in = append(in, k)
				}
			}
			if len(in) == 0 {
				rt.Fatalf("nobody gets work: %q", p.log)
			}
			if p.out > n/2 {
				rt.Fatalf("%d of %d are out", p.out, n)
			}
			to := rapid.SampledFrom(in).Draw(rt, "to")
			if m := p.NextProbe(true, now); m != nil {
				fmt.Sscanf(m.Name, "n%d", &to)
			}
			p.Sent(p.member(to))
			open[to]++
			if rapid.IntRange(0, 9).Draw(rt, "later") > 0 || bad == 0 {
				o := Success
				if rapid.IntRange(0, 99).Draw(rt, "luck") < bad {
					o = rapid.SampledFrom([]Outcome{Aborted, Unreachable, ErrorResponse}).Draw(rt, "how")
				}
				p.Done(p.member(to), o, 1000, now)
				open[to]--
			}
		}
		for range 300 {
			step(bad)
		}
		for k := range n {
			if p.member(k).ActiveRequests != open[k] {
				rt.Fatalf("n%d: %d open, and %d by its count", k, open[k], p.member(k).ActiveRequests)
			}
		}
		const most = 40
		for i, c := range p.all {
			changes := 0
			for _, d := range p.all[i:] {
				if d.Endpoint == c.Endpoint && d.At < c.At+60*s {
					changes++
				}
			}
			if changes > most {
				rt.Fatalf(
					"%s changes %d times in a minute:\n%s",
					c.Endpoint.Name,
					changes,
					strings.Join(p.log, "\n"),
				)
			}
		}
		for k, open := range open {
			for range open {
				p.Done(p.member(k), Success, 1000, now)
			}
		}
		for well := now + backWithin; now < well; {
			step(0)
			for k := range n { // and all of them get some
				if p.TrafficShare(p.member(k), now) > 0 {
					p.one(k, Success, 1000, now)
				}
			}
		}
		for k := range n {
			if m := p.member(k); m.State != InService {
				rt.Fatalf(
					"%s is %v, since %d s: %s\n%s",
					m.Name,
					m.State,
					(now-m.StateSince)/s,
					m.StateCause,
					strings.Join(p.log, "\n"),
				)
			}
		}
	})
}
