package picker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"ryepaddle/internal/balancer/endpointhealth"
)

// coldFleet is a number of routers that share servers, of which one joins cold. Its requests come
// evenly in sum, each at a router that is drawn.
type coldFleet struct {
	routers []*Picker
	rand    *rand.Rand
	ticked  []int64 // when each router looked round last
	ends    endings
	now     int64
	cold    []int64 // when the cold server was sent a request
	refused int
	slow    int64 // how many times as long the cold server takes
}

// ending is a request that a server is at.
type ending struct {
	at, took int64
	router   *Picker
	server   *Server
}

// endings are those under way, the next to end first.
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

// newColdFleet is so many routers at which the cold server is new in the list, of which each hears
// within a tenth of a second.
func newColdFleet(cfg Config, processes, servers int, seed uint64) *coldFleet {
	f := &coldFleet{rand: rand.New(rand.NewPCG(seed, 1)), now: s}
	warm := farm(servers-1, "")
	for i := range processes {
		r := New(
			cfg,
			fmt.Sprint("process-", i),
			1,
			seed<<16+uint64(i),
			func(*Server, endpointhealth.StateChange) {},
		)
		r.UpdateEndpoints(warm, f.now)
		f.routers, f.ticked = append(f.routers, r), append(f.ticked, f.now-f.rand.Int64N(endpointhealth.TickInterval))
	}
	return f
}

// join has the cold server in the list of each router.
func (f *coldFleet) join(servers int) {
	for _, r := range f.routers {
		r.UpdateEndpoints(append(farm(servers-1, ""), listing(coldName, "")), f.now)
	}
}

// play has so many requests a second come for a while. One takes 20 ms, at the cold server 100.
func (f *coldFleet) play(rate float64, lasts int64) {
	for end := f.now + lasts; f.now < end; {
		f.now += int64(f.rand.ExpFloat64() * s / rate)
		for len(f.ends) > 0 && f.ends[0].at <= f.now {
			e := heap.Pop(&f.ends).(ending)
			e.router.Done(e.server, 0, endpointhealth.Success, e.took, e.at)
		}
		for i, r := range f.routers {
			if at := f.ticked[i]; f.now >= at+endpointhealth.TickInterval {
				r.Tick(f.now)
				f.ticked[i] = f.now
			}
		}
		r := f.routers[f.rand.IntN(len(f.routers))]
		to, _ := send(r, Query{Idempotent: true, Now: f.now})
		if to == nil {
			f.refused++
			continue
		}
		took := int64(20_000)
		if to.Name == coldName {
			took *= f.slow
			f.cold = append(f.cold, f.now)
		}
		heap.Push(&f.ends, ending{f.now + took, took, r, to})
	}
}

// peaks looks at each second that ends with a request of the cold server, and tells in how many of
// them there were more than chance explains of a budget that is given by the time since the
// beginning, and the worst of them beside its bound.
func (f *coldFleet) peaks(over int64, budget func(at int64) float64) (exceeded, windows int, worst float64) {
	first := 0
	for i, at := range f.cold {
		for f.cold[first] <= at-over {
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

// ramped is the budget of a server in the table's warming: so much as it begins, and in proportion
// to its part.
func ramped(cfg *endpointhealth.Config, first float64, joined int64) func(int64) float64 {
	return func(at int64) float64 {
		return first / cfg.WarmUpMinShare * min(
			cfg.WarmUpMinShare+(1-cfg.WarmUpMinShare)*float64(at-joined)/float64(cfg.WarmUpWindow),
			1,
		)
	}
}

// What any number of processes send a server that joins keeps to the ramp in sum: to its part of
// what a warm one gets, or to the calls that the operator has named for all of them. No third of
// that is left over, where the server is as fast as the others.
func TestManyProcessesKeepToTheRamp(t *testing.T) {
	const servers, warmFor = 10, 10 * s
	for _, processes := range []int{1, 20, 30} {
		// requests a second of fewer than the most processes: more take long to play
		const longest = 3000
		for _, c := range []struct {
			rate, calls float64
			slow        int64
		}{{100, 0, 1}, {300, 0, 1}, {1000, 0, 1}, {3000, 0, 1}, {10_000, 0, 1}, {10_000, 0, 5}, {3000, 5, 1}, {3000, 10, 1}, {10_000, 20, 1}, {10_000, 20, 5}} {
			if processes < 30 && c.rate > longest {
				continue
			}
			t.Run(
				fmt.Sprintf(
					"%d processes, %v a second, %v calls, %d times as slow",
					processes,
					c.rate,
					c.calls,
					c.slow,
				),
				func(t *testing.T) {
					t.Parallel()
					cfg := DefaultConfig(1000)
					cfg.SlowStart.InitialRequests, cfg.SlowStart.Processes = c.calls, processes
					first := c.rate / servers * cfg.Health.WarmUpMinShare
					if c.calls > 0 {
						first = min(first, c.calls)
					}
					f := newColdFleet(cfg, processes, servers, 1)
					f.slow = c.slow
					f.play(c.rate, 5*s)
					f.join(servers)
					budget := ramped(&cfg.Health, first, f.now)
					mean := (budget(f.now) + budget(f.now+warmFor*9/10)) / 2
					f.play(c.rate, warmFor*9/10)
					exceeded, windows, worst := f.peaks(s, budget)
					used := float64(len(f.cold)) / (mean * 9)
					t.Logf(
						"over the bound in %d of %d windows, at the most %.2f of it; %.2f of the budget is used",
						exceeded,
						windows,
						worst,
						used,
					)
					if exceeded > 0 || f.refused > 0 {
						t.Errorf(
							"over the bound in %d of %d windows, %d requests refused",
							exceeded,
							windows,
							f.refused,
						)
					}
					if c.slow == 1 && used < 2./3 {
						t.Errorf("%.2f of the budget is used", used)
					}
				},
			)
		}
	}
}

// Processes that have all lost a server do not all probe it in the same moment, where the operator
// has named its calls.
func TestManyProcessesProbeWithinTheCalls(t *testing.T) {
	const servers, processes, calls = 10, 30, 5
	cfg := DefaultConfig(1000)
	cfg.SlowStart.InitialRequests, cfg.SlowStart.Processes = calls, processes
	f := newColdFleet(cfg, processes, servers, 1)
	f.slow = 1
	f.join(servers)
	f.play(3000, s)
	for _, r := range f.routers {
		for _, x := range r.Servers() {
			for range cfg.Health.ConsecutiveFailures {
				if x.Name == coldName {
					r.Sent(x)
					r.Done(x, 0, endpointhealth.Unreachable, 100, f.now)
				}
			}
		}
	}
	f.cold = nil
	lost := f.now
	f.play(3000, 15*s)
	if len(f.cold) == 0 {
		t.Fatal("nobody has probed it")
	}
	exceeded, windows, worst := f.peaks(
		s,
		func(at int64) float64 { return calls * max(1, float64(at-lost-cfg.Health.BaseEjectionTime)/s) },
	)
	t.Logf("over the bound in %d of %d windows, at the most %.2f of it", exceeded, windows, worst)
	if exceeded > 0 {
		t.Errorf("over the bound in %d of %d windows", exceeded, windows)
	}
}

// A server that warms up gets its part also where all others are as full as may be.
func TestWarmingBesideFullServers(t *testing.T) {
	cfg := DefaultConfig(1)
	r := newRouter(cfg, farm(2, ""))
	now := int64(2 * s)
	for range 2 {
		send(r, Query{Now: now})
	}
	r.UpdateEndpoints(append(farm(2, ""), listing(coldName, "")), now)
	got, refused := 0, 0
	for range 1000 {
		now += 5000
		if to, why := send(r, Query{Now: now}); to == nil {
			refused++
		} else if got++; to.Name != coldName || why != Overloaded {
			t.Fatalf("%s by %v", to.Name, why)
		} else {
			r.Done(to, 0, endpointhealth.Success, 1000, now)
		}
	}
	if got < 100 || got > 250 { // half of 0.1 to 0.55 of 1,000
		t.Errorf("%d sent, %d refused", got, refused)
	}
}
