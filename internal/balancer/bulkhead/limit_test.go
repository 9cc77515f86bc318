package bulkhead

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// testServers are workers behind one queue.
type testServers struct {
	workers    int
	slowFactor float64
	freeAt     []time.Duration // by worker: when it has done the work that it has
}

// take returns how long a request takes, with the time that it waits for a worker.
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

// scale multiplies a span, cut to whole microseconds.
func scale(d time.Duration, factor float64) time.Duration {
	return latency.FromMicros(latency.Micros(d) * factor)
}

// limitsUnderLoad plays a scheduler before such servers, with requests waiting all the time. It
// returns the limits, one each second.
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
			w.pass(5 * ms)
		}
		limits = append(limits, w.s.limit.limit)
	}
	return limits
}

// Each algorithm finds about the number of workers, falls where the servers become slower, and comes
// back without much overshoot.
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
			"%s: %.0f to %.0f for 40 workers; %.0f while they are slow; %.0f to %.0f after that",
			algorithm,
			calmLo,
			calmHi,
			slowLo,
			backLo,
			backHi,
		)
		if calmLo < 18 || calmHi > 90 || slowLo < 8 || backLo < 20 || backHi > 180 {
			t.Errorf("%s: %.0f", algorithm, limits)
		}
	}
}

// One request among them runs all the time.
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
		w.pass(scale(1600*time.Microsecond, rnd.ExpFloat64()) + time.Microsecond) // 0.94 of 40 workers
		if l := w.s.limit.limit; w.now > 5000*ms && w.s.limit.reducedFrom == 0 && (l < 30 || l > 120) {
			t.Fatalf("limit %.0f after %v", l, w.now)
		}
	}
	if c := w.s.Counts; c.TooLate+c.QueueFull+c.Displaced > c.Granted/100 {
		t.Errorf("%+v", c)
	}
}
