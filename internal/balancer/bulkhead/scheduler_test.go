package bulkhead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However long the work of the others takes. A reserve has its floor at once.
func TestIdlePoolGetsItsFloorWithinTheReclaimTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.InitialLimit = rapid.Float64Range(10, 60).Draw(t, "limit")
		durations := rapid.Map(rapid.Int64Range(20_000, 3_000_000), func(us int64) time.Duration {
			return time.Duration(us) * time.Microsecond
		})
		long := rapid.SliceOfN(durations, 3, 3).Draw(t, "runs")
		w := newSimulation(t, cfg, func(r *Request) time.Duration { return long[r.Class] })
		for class := range 3 { // so that run times are known
			w.offer(&Request{Class: class, Deadline: far})
		}
		w.pass(5000 * ms)
		alone := rapid.Int64Range(500_000, 2_500_000).Draw(t, "alone")
		w.keepWaiting(2, 50, time.Duration(alone)*time.Microsecond)
		borrowed := w.s.Running()
		for class, within := range []time.Duration{cfg.ReclaimTime, 0} {
			for end := w.now + within; ; w.pass(min(5*ms, end-w.now)) {
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
					"pool %s has %d of its %d after %v; runs take %v, %d were borrowed of %d",
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
			t.Fatalf("%d of %d are used by short work, and no other pool wants any", borrowed, w.s.Limit())
		}
	})
}

// With work in all pools all the time, no request waits without a bound.
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
		w.pass(5 * ms)
	}
	all := used[0] + used[1] + used[2]
	for class, want := range []float64{0.5, 0.333, 0.167} {
		if got := used[class] / all; got < want*0.75 || got > want*1.25 {
			t.Errorf("class %d has %.3f of the slots, want %.3f", class, got, want)
		}
		if w.longest[class] > 3000*ms {
			t.Errorf("class %d waited for %v", class, w.longest[class])
		}
	}
	if w.granted[3] > 0 {
		t.Errorf("the pool without a weight has %d, and others want them", w.granted[3])
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
		w.pass(500 * ms)
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
				w.pass(10 * ms)
				for w.open[r] == isOffered {
					w.pass(5 * ms)
				}
				if w.open[r] == "" && w.now == began+10*ms {
					lost++
				}
				wait = max(wait, w.now-began)
			} else {
				w.pass(10 * ms)
			}
		}
		if lost > 0 || wait > 300*ms {
			t.Errorf("%s: %d of another are dropped, and one waits for %v", name, lost, wait)
		}
	}
}

func TestHopelessRequestIsDroppedAndLessValuableOneIsDisplaced(t *testing.T) {
	cfg := testConfig()
	cfg.InitialLimit, cfg.MinLimit, cfg.Pools = 1, 1, []Pool{{Name: "all", Ceiling: 1, Weight: 1}}
	w := newSimulation(t, cfg, func(*Request) time.Duration { return 100 * ms })
	for class := range 3 {
		w.offer(&Request{Class: class, Deadline: far})
		w.pass(200 * ms)
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
	want := "[2 too late by what stands before it 1 gave way]"
	if fmt.Sprint(got) != want || !running.IsGranted() || valuable.IsGranted() {
		t.Errorf("%v", got)
	}
}

// It is dropped at once where its late result is worth nothing.
func TestRequestThatMissesItsObjectiveGoesBehindThoseThatKeepTheirs(t *testing.T) {
	cfg := testConfig()
	cfg.InitialLimit, cfg.MinLimit, cfg.Pools = 1, 1, []Pool{{Name: "all", Ceiling: 1, Weight: 1}}
	w := newSimulation(t, cfg, func(*Request) time.Duration { return 100 * ms })
	for class := range 2 {
		w.offer(&Request{Class: class, Deadline: far})
		w.pass(200 * ms)
	}
	deadline := w.now + 3000*ms
	w.offer(&Request{Class: 0, Deadline: deadline}) // it runs
	missed := &Request{Class: 0, Objective: w.now + 50*ms, Deadline: deadline}
	kept := &Request{Class: 0, Objective: w.now + 400*ms, Deadline: deadline}
	worthless := &Request{Class: 1, Objective: w.now + 50*ms, Deadline: deadline}
	for _, r := range []*Request{missed, worthless, kept} {
		w.offer(r)
	}
	order := w.s.pools[0].queue.order
	if !slices.Equal(order, []*Request{kept, missed}) || w.open[worthless] != "" {
		t.Errorf("%d wait, %+v", len(order), w.s.Counts)
	}
}

// One slot of the reserve stays.
func TestReserveIsUsedByRequestsThatWouldBeTooLate(t *testing.T) {
	cfg := testConfig()
	cfg.InitialLimit = 10 // of which two are the reserve
	w := newSimulation(t, cfg, func(*Request) time.Duration { return 1000 * ms })
	for class := range 2 {
		w.offer(&Request{Class: class, Deadline: far})
	}
	w.pass(2000 * ms)
	for range 20 {
		w.offer(&Request{Class: 0, Deadline: w.now + time.Minute, MayUseReserve: true})
	}
	// two are the reserve, one is owed to the rest and would be returned too late
	if w.s.Running() != 7 {
		t.Errorf("%d run", w.s.Running())
	}
	w.offer(&Request{Class: 0, Deadline: w.now + 1050*ms})
	if w.s.Running() != 7 {
		t.Error("a request that may not use the reserve has a slot of it")
	}
	for range 2 {
		w.offer(&Request{Class: 0, Deadline: w.now + 1050*ms, MayUseReserve: true})
	}
	if w.s.Running() != 8 || w.s.Counts.ReserveGrants != 1 {
		t.Errorf("%d run, %+v", w.s.Running(), w.s.Counts)
	}
	w.offer(&Request{Class: 1, Deadline: w.now + 3000*ms})
	if w.s.Running() != 9 {
		t.Error("a request of the reserve does not get a slot at once")
	}
}
