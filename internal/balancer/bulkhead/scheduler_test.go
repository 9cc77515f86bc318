package bulkhead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against borrowed slots that come back too late: a pool gets its floor within the reclaim
// time, however long the requests of the others run, and a reserve gets its floor at once.
func TestIdlePoolGetsItsFloorWithinTheReclaimTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.InitialLimit = rapid.Float64Range(10, 60).Draw(t, "limit")
		durations := rapid.Map(rapid.Int64Range(20_000, 3_000_000), func(us int64) time.Duration {
			return time.Duration(us) * time.Microsecond
		})
		long := rapid.SliceOfN(durations, 3, 3).Draw(t, "runs")
		w := newSimulation(t, cfg, func(r *Request) time.Duration { return long[r.Class] })
		for class := range 3 { // so that the run times of all classes are known
			w.offer(&Request{Class: class, Deadline: far})
		}
		w.advance(5000 * ms)
		alone := rapid.Int64Range(500_000, 2_500_000).Draw(t, "alone")
		w.keepWaiting(2, 50, time.Duration(alone)*time.Microsecond)
		borrowed := w.s.Running()
		for class, within := range []time.Duration{cfg.ReclaimTime, 0} {
			for end := w.now + within; ; w.advance(min(5*ms, end-w.now)) {
				for c := range 3 {
					if c != 1-class {
						w.fill(c, 50)
					}
				}
				if w.now >= end {
					break
				}
			}
			if p := w.s.pools[class]; p.running < w.s.floorSlots(p) {
				t.Fatalf(
					"pool %s has %d of its %d slots after %v; runs take %v, %d of %d slots were in use before",
					p.Name,
					p.running,
					w.s.floorSlots(p),
					within,
					long,
					borrowed,
					w.s.Limit(),
				)
			}
		}
		if short := long[2] <= cfg.ReclaimTime; short && borrowed < w.s.ceilingSlots(w.s.pools[2]) {
			t.Fatalf("%d of %d slots are used by short requests, want all up to the ceiling: no other pool wants any",
				borrowed, w.s.Limit())
		}
	})
}

// Requests wait in all pools all the time. Guards against a pool whose requests wait without a bound.
func TestPoolsGetSlotTimeByWeightAndNoneStarves(t *testing.T) {
	cfg := testConfig()
	withoutWeight := Pool{Name: "idle", Ceiling: 1, Classes: []int{3}}
	cfg.Pools = append([]Pool{withoutWeight}, cfg.Pools...)
	cfg.Classes = append(cfg.Classes, Class{PriorityWeight: 1})
	long := []time.Duration{100 * ms, 30 * ms, 300 * ms, 100 * ms}
	used := make([]float64, 4)
	w := newSimulation(t, cfg, func(r *Request) time.Duration {
		used[r.Class] += long[r.Class].Seconds()
		return long[r.Class]
	})
	for w.now < 20_000*ms {
		for class := range 4 {
			w.fill(class, 10)
		}
		w.advance(5 * ms)
	}
	all := used[0] + used[1] + used[2]
	for class, want := range []float64{0.5, 0.333, 0.167} {
		if got := used[class] / all; got < want*0.75 || got > want*1.25 {
			t.Errorf("class %d has %.3f of the slot time, want about %.3f", class, got, want)
		}
		if w.longestWaits[class] > 3000*ms {
			t.Errorf("longest wait of class %d = %v, want at most 3s", class, w.longestWaits[class])
		}
	}
	if w.granted[3] > 0 {
		t.Errorf("the pool without a weight got %d slots, want 0 while others want them", w.granted[3])
	}
}

func TestFloodOfOneTenantOrCallerCostsTheOthersNothing(t *testing.T) {
	for name, flood := range map[string]Request{
		"of a tenant": {Tenant: 1, Caller: 7},
		"of a caller": {Tenant: 0, Caller: 7},
	} {
		cfg := testConfig()
		cfg.MaxQueueLength = 40
		w := newSimulation(t, cfg, func(*Request) time.Duration { return 100 * ms })
		w.offer(&Request{Deadline: far})
		w.advance(500 * ms)
		lost, wait := 0, time.Duration(0)
		for k := range 400 {
			for range 20 { // ten times the capacity
				r := flood
				r.Deadline = w.now + 2000*ms
				w.offer(&r)
			}
			if k%2 == 0 {
				r := &Request{Tenant: 0, Caller: 1, Deadline: w.now + 2000*ms}
				w.offer(r)
				began := w.now
				w.advance(10 * ms)
				for w.open[r] == requestOffered {
					w.advance(5 * ms)
				}
				if w.open[r] == "" && w.now == began+10*ms {
					lost++
				}
				wait = max(wait, w.now-began)
			} else {
				w.advance(10 * ms)
			}
		}
		if lost > 0 || wait > 300*ms {
			t.Errorf("flood %s: %d requests of another caller dropped, longest wait %v; want 0, at most 300ms",
				name, lost, wait)
		}
	}
}

func TestRequestThatWouldBeLateIsDroppedAndLessValuableOneIsDisplaced(t *testing.T) {
	cfg := testConfig()
	cfg.InitialLimit, cfg.MinLimit, cfg.Pools = 1, 1, []Pool{{Name: "all", Ceiling: 1, Weight: 1}}
	w := newSimulation(t, cfg, func(*Request) time.Duration { return 100 * ms })
	for class := range 3 {
		w.offer(&Request{Class: class, Deadline: far})
		w.advance(200 * ms)
	}
	running := &Request{Class: 1, Deadline: w.now + 150*ms}
	displaced := &Request{Class: 1, Deadline: w.now + 250*ms}
	late := &Request{Class: 1, Deadline: w.now + 260*ms}
	valuable := &Request{Class: 0, Deadline: w.now + 270*ms}
	all := []*Request{running, displaced, late, valuable}
	var got []string
	for _, r := range all {
		w.s.Enqueue(r, w.now)
		_, dropped := w.s.TakeDecisions()
		for _, d := range dropped {
			got = append(got, fmt.Sprint(slices.Index(all, d.Request), " ", d.Reason))
		}
	}
	want := "[2 too late, given the requests ahead of it 1 displaced by a more valuable request]"
	if fmt.Sprint(got) != want || !running.IsGranted() || valuable.IsGranted() {
		t.Errorf("dropped requests = %v, want 2 as too late, then 1 as displaced; 0 running and 3 waiting", got)
	}
}

// A request whose late result is worth nothing is dropped at once instead.
func TestRequestThatMissesItsObjectiveGoesBehindThoseThatKeepTheirs(t *testing.T) {
	cfg := testConfig()
	cfg.InitialLimit, cfg.MinLimit, cfg.Pools = 1, 1, []Pool{{Name: "all", Ceiling: 1, Weight: 1}}
	w := newSimulation(t, cfg, func(*Request) time.Duration { return 100 * ms })
	for class := range 2 {
		w.offer(&Request{Class: class, Deadline: far})
		w.advance(200 * ms)
	}
	deadline := w.now + 3000*ms
	w.offer(&Request{Class: 0, Deadline: deadline}) // this one runs
	missed := &Request{Class: 0, Objective: w.now + 50*ms, Deadline: deadline}
	kept := &Request{Class: 0, Objective: w.now + 400*ms, Deadline: deadline}
	worthless := &Request{Class: 1, Objective: w.now + 50*ms, Deadline: deadline}
	for _, r := range []*Request{missed, worthless, kept} {
		w.offer(r)
	}
	order := w.s.pools[0].queue.order
	if !slices.Equal(order, []*Request{kept, missed}) || w.open[worthless] != "" {
		t.Errorf("%d requests wait, want the one that keeps its objective and then the one that misses it; counts %+v",
			len(order), w.s.Counts)
	}
}

// One slot of the reserve stays free for its own requests.
func TestReserveIsUsedByRequestsThatWouldBeTooLate(t *testing.T) {
	cfg := testConfig()
	cfg.InitialLimit = 10 // two of them are the reserve
	w := newSimulation(t, cfg, func(*Request) time.Duration { return 1000 * ms })
	for class := range 2 {
		w.offer(&Request{Class: class, Deadline: far})
	}
	w.advance(2000 * ms)
	for range 20 {
		w.offer(&Request{Class: 0, Deadline: w.now + time.Minute, MayUseReserve: true})
	}
	// two slots are the reserve, and one is owed to the pool "rest" and would be returned too late
	if w.s.Running() != 7 {
		t.Errorf("Running() = %d, want 7", w.s.Running())
	}
	w.offer(&Request{Class: 0, Deadline: w.now + 1050*ms})
	if w.s.Running() != 7 {
		t.Error("a request that may not use the reserve got a slot of it")
	}
	for range 2 {
		w.offer(&Request{Class: 0, Deadline: w.now + 1050*ms, MayUseReserve: true})
	}
	if w.s.Running() != 8 || w.s.Counts.ReserveGrants != 1 {
		t.Errorf("Running() = %d, want 8, and one reserve grant; counts %+v", w.s.Running(), w.s.Counts)
	}
	w.offer(&Request{Class: 1, Deadline: w.now + 3000*ms})
	if w.s.Running() != 9 {
		t.Error("a request of the reserve's own pool does not get a slot at once")
	}
}
