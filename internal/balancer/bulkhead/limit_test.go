package bulkhead

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// testServers models servers as workers behind one queue.
type testServers struct {
	workers    int
	slowFactor float64         // factor of the time of each request
	freeAt     []time.Duration // by worker: when it has completed its requests
}

// take returns the latency of a request, including its wait for a worker.
func (s *testServers) take(now, work time.Duration) time.Duration {
	for len(s.freeAt) < s.workers {
		s.freeAt = append(s.freeAt, now)
	}
	first := 0
	for i, at := range s.freeAt {
		if at < s.freeAt[first] {
			first = i
		}
	}
	s.freeAt[first] = max(s.freeAt[first], now) + scale(work, s.slowFactor)
	return s.freeAt[first] - now
}

// scale multiplies a duration by a factor, and cuts the result to whole microseconds.
func scale(d time.Duration, factor float64) time.Duration {
	return latency.FromMicros(latency.Micros(d) * factor)
}

// limitsUnderLoad simulates a scheduler in front of testServers, with requests waiting all the time.
// change is called at the start of each second. It returns the limit at the end of each second.
func limitsUnderLoad(
	t *testing.T,
	algorithm LimitAlgorithm,
	seed uint64,
	seconds int,
	change func(sec int, s *testServers),
) (limits []float64) {
	cfg := Config{
		Pools:          []Pool{{Name: "all", Ceiling: 1, Weight: 1}},
		Classes:        []Class{{PriorityWeight: 1}, {PriorityWeight: 1}},
		LimitAlgorithm: algorithm,
		InitialLimit:   8,
		MinLimit:       2,
		MaxLimit:       500,
		ReclaimTime:    500 * ms,
		MaxQueueLength: 20,
	}
	srv, rnd := &testServers{workers: 40, slowFactor: 1}, rand.New(rand.NewPCG(seed, 2))
	w := newSimulation(t, cfg, nil)
	w.took = func(r *Request) time.Duration {
		work := []time.Duration{20 * ms, 100 * ms}[r.Class]
		return srv.take(w.now, scale(work, math.Exp(0.5*rnd.NormFloat64()-0.125)))
	}
	for sec := range seconds {
		change(sec, srv)
		for range 200 {
			for w.s.Waiting() < 10 {
				w.offer(&Request{Class: rnd.IntN(2), Deadline: w.now + far})
			}
			w.advance(5 * ms)
		}
		limits = append(limits, w.s.limit.limit)
	}
	return limits
}

// Guards against algorithms that do not follow the servers: the limit must come to about the number of
// workers, not collapse while the servers are slower, and recover after that without much overshoot.
func TestLimitFollowsTheServers(t *testing.T) {
	for _, algorithm := range LimitAlgorithms[1:] {
		limits := limitsUnderLoad(t, algorithm, 1, 120, func(sec int, s *testServers) {
			if s.slowFactor = 1; sec >= 45 && sec < 75 {
				s.slowFactor = 4
			}
		})
		span := func(from, to int) (least, most float64) {
			least, most = math.Inf(1), 0
			for _, l := range limits[from:to] {
				least, most = min(least, l), max(most, l)
			}
			return least, most
		}
		calmLo, calmHi := span(25, 45)
		slowLo, _ := span(47, 75)
		backLo, backHi := span(100, 120)
		t.Logf(
			"%s: limit %.0f to %.0f for 40 workers; at least %.0f while they are slow; %.0f to %.0f after that",
			algorithm,
			calmLo,
			calmHi,
			slowLo,
			backLo,
			backHi,
		)
		if calmLo < 18 || calmHi > 90 || slowLo < 8 || backLo < 20 || backHi > 180 {
			t.Errorf("%s: limits by second = %.0f; want 18 to 90 before the slow part, >= 8 in it, 20 to 180 after it",
				algorithm, limits)
		}
	}
}

// One request runs for the whole test: a single long run must not disturb the limit.
func TestLimitIsSteadyNearTheCapacityOfTheServers(t *testing.T) {
	cfg := testConfig()
	cfg.LimitAlgorithm, cfg.InitialLimit = GradientLimit, 40
	srv, rnd := &testServers{workers: 40, slowFactor: 1}, rand.New(rand.NewPCG(1, 2))
	w := newSimulation(t, cfg, nil)
	w.took = func(r *Request) time.Duration {
		if r.Attachment != nil {
			return time.Minute
		}
		return srv.take(w.now, scale(60*ms, math.Exp(0.5*rnd.NormFloat64()-0.125)))
	}
	w.offer(&Request{Class: 2, Attachment: "long", Deadline: far})
	for w.now < 40_000*ms {
		w.offer(&Request{Class: rnd.IntN(3), Deadline: w.now + 2000*ms})
		w.advance(scale(1600*time.Microsecond, rnd.ExpFloat64()) + time.Microsecond) // a load of 0.94 of the 40 workers
		if l := w.s.limit.limit; w.now > 5000*ms && w.s.limit.reducedFrom == 0 && (l < 30 || l > 120) {
			t.Fatalf("limit after %[2]v = %[1].0f, want 30 to 120", l, w.now)
		}
	}
	if c := w.s.Counts; c.TooLate+c.QueueFull+c.Displaced > c.Granted/100 {
		t.Errorf("counts = %+v, want at most 1 dropped request for 100 granted ones", c)
	}
}
