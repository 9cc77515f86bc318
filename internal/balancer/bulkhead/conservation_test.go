package bulkhead

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomLoad drives a scheduler with random requests, ends of requests and configurations.
type randomLoad struct {
	*simulation
	rt      *rapid.T
	random  *rand.Rand
	cfg     Config
	offered int // requests so far
}

func (l *randomLoad) offerBurst() {
	for range rapid.IntRange(1, 10).Draw(l.rt, "burst") {
		l.offered++
		l.offer(&Request{
			Class:         l.random.IntN(3),
			Tenant:        l.random.IntN(3) - 1,
			Caller:        uint32(l.random.IntN(4)),
			Objective:     time.Duration(l.random.Int64N(2)) * (l.now + l.randomTime(1500*ms)),
			Deadline:      l.now + l.randomTime(3000*ms),
			MayUseReserve: l.random.IntN(2) == 0,
		})
	}
}

func (l *randomLoad) randomTime(below time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(below.Microseconds())) * time.Microsecond
}

// cancelOne cancels a waiting request, or tries to cancel a running one if none waits.
func (l *randomLoad) cancelOne() {
	p := l.s.pools[l.random.IntN(len(l.s.pools))]
	r := p.queue.head()
	if r == nil && len(l.running) > 0 {
		r = l.running[0].Request
	}
	if r != nil {
		state := l.open[r]
		if l.s.Cancel(r, l.now) != (state == requestOffered) {
			l.rt.Fatalf("Cancel() of a request in state %q: want true only for a waiting one", state)
		}
		if state == requestOffered {
			delete(l.open, r)
			l.ended++
		}
	}
	l.check()
}

// endOneTwice ends a running request before its time, and reports its end twice.
func (l *randomLoad) endOneTwice() {
	if len(l.running) == 0 {
		return
	}
	r := heap.Pop(&l.running).(*run)
	l.end(r.Request, Outcome(l.random.IntN(3)))
	l.s.Done(r.Request, Success, l.now)
	l.check()
}

func (l *randomLoad) reconfigure() {
	next := testConfig()
	next.LimitAlgorithm = l.cfg.LimitAlgorithm
	next.InitialLimit, next.MaxQueueLength = l.cfg.InitialLimit, l.cfg.MaxQueueLength
	next.Pools = next.Pools[rapid.IntRange(0, 2).Draw(l.rt, "from"):]
	next.Pools[len(next.Pools)-1].Weight = float64(l.random.IntN(3))
	next.Pools[0].Floor = l.random.Float64() * 0.3
	next.Pools[0].Reserve = next.Pools[0].Reserve && next.Pools[0].Floor > 0
	if err := next.Validate(); err != nil {
		l.rt.Fatalf("Validate() of a random configuration: %v", err)
	}
	l.s.Configure(next, l.now)
	l.check()
}

// Guards against lost slots and requests when pools come and go under load, and requests end early or
// twice. Each step also checks that the limit, the ceilings and the counts hold.
func TestEachRequestIsGrantedOrDroppedOnceAndNoSlotIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.LimitAlgorithm = rapid.SampledFrom(LimitAlgorithms).Draw(t, "algorithm")
		cfg.InitialLimit = rapid.Float64Range(1, 40).Draw(t, "initial limit")
		cfg.MaxQueueLength = rapid.IntRange(1, 30).Draw(t, "queue length")
		l := &randomLoad{rt: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), cfg: cfg}
		l.simulation = newSimulation(t, cfg, func(*Request) time.Duration {
			return time.Microsecond + l.randomTime(800*ms)
		})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.advance(time.Duration(rapid.Int64Range(1, 2_000_000).Draw(t, "time")) * time.Microsecond)
			case 1:
				l.cancelOne()
			case 2:
				l.endOneTwice()
			case 3:
				l.reconfigure()
			case 4:
				l.s.SetCapacity(rapid.IntRange(0, 50).Draw(t, "capacity"))
			default:
				l.offerBurst()
			}
		}
		l.advance(20_000 * ms)
		if l.ended != l.offered || len(l.open) > 0 || l.s.Running() > 0 || l.s.Waiting() > 0 {
			t.Fatalf("%d of %d requests ended or were dropped, %d are open; want all, and none running or waiting",
				l.ended, l.offered, len(l.open))
		}
	})
}
