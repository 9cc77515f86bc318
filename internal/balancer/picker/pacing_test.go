package picker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

// pickerFleet simulates several pickers that share servers, one of which joins later and is cold.
// Requests arrive at a constant mean rate, each at a picker that is drawn at random.
type pickerFleet struct {
	pickers    []*Picker
	random     *rand.Rand
	tickedAt   []time.Duration // time of the last tick, by picker
	ends       endings
	now        time.Duration
	coldSent   []time.Duration // times of the requests to the cold server
	refused    int             // requests that got no server
	slowFactor int             // factor of the latency of the cold server
}

// ending is a request in flight.
type ending struct {
	at, took time.Duration
	picker   *Picker
	server   *Server
}

// endings holds the requests in flight as a heap, ordered by their ends.
type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(v any)        { *e = append(*e, v.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const coldName = "cold"

// newPickerFleet returns pickers whose lists lack the cold server. They tick at different times.
func newPickerFleet(cfg Config, processes, servers int, seed uint64) *pickerFleet {
	f := &pickerFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, slowFactor: 1}
	warm := testSpecs(servers-1, "")
	for i := range processes {
		name := fmt.Sprint("process-", i)
		p := New(cfg, name, 1, seed<<16+uint64(i), func(*Server, endpointhealth.StateChange) {})
		p.UpdateEndpoints(warm, f.now)
		sinceTick := f.random.Int64N(endpointhealth.TickInterval.Microseconds())
		f.pickers = append(f.pickers, p)
		f.tickedAt = append(f.tickedAt, f.now-time.Duration(sinceTick)*time.Microsecond)
	}
	return f
}

// join adds the cold server to the list of each picker.
func (f *pickerFleet) join(servers int) {
	for _, p := range f.pickers {
		p.UpdateEndpoints(append(testSpecs(servers-1, ""), testSpec(coldName, "")), f.now)
	}
}

// run lets requests arrive at a rate per second for the given time. A request takes 20 ms, and
// slowFactor times that at the cold server.
func (f *pickerFleet) run(rate float64, lasts time.Duration) {
	for end := f.now + lasts; f.now < end; {
		f.now += time.Duration(f.random.ExpFloat64()*1e6/rate) * time.Microsecond
		for len(f.ends) > 0 && f.ends[0].at <= f.now {
			e := heap.Pop(&f.ends).(ending)
			e.picker.Done(e.server, 0, endpointhealth.Success, e.took, e.at)
		}
		for i, p := range f.pickers {
			if at := f.tickedAt[i]; f.now >= at+endpointhealth.TickInterval {
				p.Tick(f.now)
				f.tickedAt[i] = f.now
			}
		}
		p := f.pickers[f.random.IntN(len(f.pickers))]
		to, _ := send(p, Query{Idempotent: true, Now: f.now})
		if to == nil {
			f.refused++
			continue
		}
		took := 20 * time.Millisecond
		if to.Name == coldName {
			took *= time.Duration(f.slowFactor)
			f.coldSent = append(f.coldSent, f.now)
		}
		heap.Push(&f.ends, ending{f.now + took, took, p, to})
	}
}

// peaks examines each window of one second that ends with a request to the cold server. It returns the
// number of windows with more requests than the budget, two standard deviations and two more requests
// allow, the number of all windows, and the highest ratio of the requests to this bound.
func (f *pickerFleet) peaks(budget func(at time.Duration) float64) (exceeded, windows int, worst float64) {
	first := 0
	for i, at := range f.coldSent {
		for f.coldSent[first] <= at-time.Second {
			first++
		}
		n := budget(at)
		windows++
		ratio := float64(i-first+1) / (n + 2*math.Sqrt(n) + 2)
		if worst = max(worst, ratio); ratio > 1 {
			exceeded++
		}
	}
	return exceeded, windows, worst
}

// warmUpBudget returns the budget of a server that joined at the time joined, as a function of the time:
// the initial requests per second, growing in proportion to the server's traffic share.
func warmUpBudget(
	cfg *endpointhealth.Config,
	initial float64,
	joined time.Duration,
) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		elapsed := float64(at-joined) / float64(cfg.WarmUpWindow)
		share := min(cfg.WarmUpMinShare+(1-cfg.WarmUpMinShare)*elapsed, 1)
		return initial / cfg.WarmUpMinShare * share
	}
}

type warmUpCase struct {
	processes       int
	rate            float64 // requests per second
	initialRequests float64 // SlowStart.InitialRequests; 0: no bound
	slowFactor      int
}

// Guards against processes that together overload a server that is warming up. The bound is the
// server's share of what a warm server gets, or the initial requests that are configured. At least two
// thirds of it must be used if the server is as fast as the others.
func TestProcessesTogetherStayWithinTheSlowStart(t *testing.T) {
	// higher rates would take too long for all numbers of processes, and run only with the largest
	const maxRateOfFewProcesses = 3000
	for _, processes := range []int{1, 20, 30} {
		for _, c := range []warmUpCase{
			{processes, 100, 0, 1},
			{processes, 300, 0, 1},
			{processes, 1000, 0, 1},
			{processes, 3000, 0, 1},
			{processes, 10_000, 0, 1},
			{processes, 10_000, 0, 5},
			{processes, 3000, 5, 1},
			{processes, 3000, 10, 1},
			{processes, 10_000, 20, 1},
			{processes, 10_000, 20, 5},
		} {
			if processes < 30 && c.rate > maxRateOfFewProcesses {
				continue
			}
			name := fmt.Sprintf("%d processes, %v a second, %v initial requests, %d times as slow",
				processes, c.rate, c.initialRequests, c.slowFactor)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c.test(t)
			})
		}
	}
}

func (c warmUpCase) test(t *testing.T) {
	const servers, lasts = 10, 9 * time.Second
	cfg := DefaultConfig(1000)
	cfg.SlowStart.InitialRequests, cfg.SlowStart.Processes = c.initialRequests, c.processes
	initial := c.rate / servers * cfg.Health.WarmUpMinShare
	if c.initialRequests > 0 {
		initial = min(initial, c.initialRequests)
	}
	f := newPickerFleet(cfg, c.processes, servers, 1)
	f.slowFactor = c.slowFactor
	f.run(c.rate, 5*time.Second)
	f.join(servers)
	budget := warmUpBudget(&cfg.Health, initial, f.now)
	mean := (budget(f.now) + budget(f.now+lasts)) / 2
	f.run(c.rate, lasts)
	exceeded, windows, worst := f.peaks(budget)
	used := float64(len(f.coldSent)) / (mean * lasts.Seconds())
	t.Logf("over the bound in %d of %d windows, at most %.2f times the bound; %.2f of the budget is used",
		exceeded, windows, worst, used)
	if exceeded > 0 || f.refused > 0 {
		t.Errorf("over the bound in %d of %d windows, %d requests got no server; want 0 of both",
			exceeded, windows, f.refused)
	}
	if c.slowFactor == 1 && used < 2./3 {
		t.Errorf("%.2f of the budget is used, want at least two thirds", used)
	}
}

func TestProcessesTogetherProbeWithinTheInitialRequests(t *testing.T) {
	const servers, processes, initialRequests = 10, 30, 5
	cfg := DefaultConfig(1000)
	cfg.SlowStart.InitialRequests, cfg.SlowStart.Processes = initialRequests, processes
	f := newPickerFleet(cfg, processes, servers, 1)
	f.join(servers)
	f.run(3000, time.Second)
	for _, p := range f.pickers {
		for _, x := range p.Servers() {
			for range cfg.Health.ConsecutiveFailures {
				if x.Name == coldName {
					p.Sent(x)
					p.Done(x, 0, endpointhealth.Unreachable, 100*time.Microsecond, f.now)
				}
			}
		}
	}
	f.coldSent = nil
	lost := f.now
	f.run(3000, 15*time.Second)
	if len(f.coldSent) == 0 {
		t.Fatal("the ejected server was not probed")
	}
	exceeded, windows, worst := f.peaks(func(at time.Duration) float64 {
		return initialRequests * max(1, (at-lost-cfg.Health.BaseEjectionTime).Seconds())
	})
	t.Logf("over the bound in %d of %d windows, at most %.2f times the bound", exceeded, windows, worst)
	if exceeded > 0 {
		t.Errorf("over the bound in %d of %d windows, want 0", exceeded, windows)
	}
}

func TestServerThatWarmsUpGetsItsShareBesideFullServers(t *testing.T) {
	cfg := DefaultConfig(1)
	p := newTestPicker(cfg, testSpecs(2, ""))
	now := 2 * time.Second
	for range 2 {
		send(p, Query{Now: now})
	}
	p.UpdateEndpoints(append(testSpecs(2, ""), testSpec(coldName, "")), now)
	sent, refused := 0, 0
	for range 1000 {
		now += 5 * time.Millisecond
		if to, reason := send(p, Query{Now: now}); to == nil {
			refused++
		} else if sent++; to.Name != coldName || reason != Overloaded {
			t.Fatalf("Pick() beside full servers = %s, %v, want the cold server, Overloaded", to.Name, reason)
		} else {
			p.Done(to, 0, endpointhealth.Success, time.Millisecond, now)
		}
	}
	if sent < 100 || sent > 250 { // half of a traffic share that grows from 0.1 to 0.55, of 1,000 requests
		t.Errorf("%d requests got the cold server, want 100 to 250; %d got no server", sent, refused)
	}
}
