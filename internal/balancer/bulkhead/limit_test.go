package bulkhead

import (
	"math"
	"math/rand/v2"
	"testing"
)

// servers are workers behind one queue: what a group of servers is like to whoever sends it work.
type servers struct {
	workers int
	slow    float64
	free    []int64 // when each worker has done what it has
}

func (s *servers) take(now, work int64) int64 {
	for len(s.free) < s.workers {
		s.free = append(s.free, now)
	}
	first := 0
	for i, at := range s.free {
		if at < s.free[first] {
			first = i
		}
	}
	s.free[first] = max(s.free[first], now) + int64(float64(work)*s.slow)
	return s.free[first] - now
}

// play is a set before such servers, with as much waiting as it can take. It gives the limits, one
// each second.
func play(
	t *testing.T,
	way string,
	seed uint64,
	seconds int,
	change func(sec int, s *servers),
) (limits []float64) {
	cfg := Config{
		Pools:          []Pool{{Name: "all", Ceiling: 1, Weight: 1}},
		Classes:        []Class{{PriorityWeight: 1}, {PriorityWeight: 1}},
		LimitAlgorithm: way,
		InitialLimit:   8,
		MinLimit:       2,
		MaxLimit:       500,
		ReclaimTime:    500 * ms,
		MaxQueueLength: 20,
	}
	srv, rnd := &servers{workers: 40, slow: 1}, rand.New(rand.NewPCG(seed, 2))
	w := newWorld(t, cfg, func(r *Request) int64 { return 0 })
	w.took = func(r *Request) int64 {
		return srv.take(
			w.now,
			int64(float64([]int64{20 * ms, 100 * ms}[r.Class])*math.Exp(0.5*rnd.NormFloat64()-0.125)),
		)
	}
	for sec := range seconds {
		change(sec, srv)
		for range 200 {
			for w.s.Waiting() < 10 {
				w.offer(&Request{Class: rnd.IntN(2), Deadline: w.now + 1<<50})
			}
			w.pass(5 * ms)
		}
		limits = append(limits, w.s.adapt.limit)
	}
	return limits
}

// Each way finds about the workers that there are, shrinks where servers slow to a quarter (which
// more requests at once make worse), does not jam, and comes back without going far beyond.
func TestAdapt(t *testing.T) {
	for _, way := range LimitAlgorithms[1:] {
		limits := play(t, way, 1, 120, func(sec int, s *servers) {
			if s.slow = 1; sec >= 45 && sec < 75 {
				s.slow = 4
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
			way,
			calmLo,
			calmHi,
			slowLo,
			backLo,
			backHi,
		)
		if calmLo < 18 || calmHi > 90 || slowLo < 8 || backLo < 20 || backHi > 180 {
			t.Errorf("%s: %.0f", way, limits)
		}
	}
}

// At just what the servers can do, with one request among it that takes all the time, nothing is
// turned away and the limit stays where it is.
func TestHovering(t *testing.T) {
	cfg := three()
	cfg.LimitAlgorithm, cfg.InitialLimit = GradientLimit, 40
	srv, rnd := &servers{workers: 40, slow: 1}, rand.New(rand.NewPCG(1, 2))
	w := newWorld(t, cfg, nil)
	w.took = func(r *Request) int64 {
		if r.Attachment != nil {
			return 60_000 * ms
		}
		return srv.take(w.now, int64(60*ms*math.Exp(0.5*rnd.NormFloat64()-0.125)))
	}
	w.offer(&Request{Class: 2, Attachment: "long", Deadline: 1 << 50})
	for w.now < 40_000*ms {
		w.offer(&Request{Class: rnd.IntN(3), Deadline: w.now + 2000*ms})
		w.pass(int64(rnd.ExpFloat64()*1.6*ms) + 1) // 0.94 of 40 workers
		if l := w.s.adapt.limit; w.now > 5000*ms && w.s.adapt.half == 0 && (l < 30 || l > 120) {
			t.Fatalf("limit %.0f after %d s", l, w.now/1000/ms)
		}
	}
	if c := w.s.Counts; c.TooLate+c.QueueFull+c.Displaced > c.Granted/100 {
		t.Errorf("%+v", c)
	}
}
