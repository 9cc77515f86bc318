package concurrencylimit

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// station is a server of so many workers: a request takes its work, and waits for a worker first.
type station struct {
	workers int
	work    float64 // microseconds
	rand    *rand.Rand
}

// run keeps the server as busy as its limit lets, for so many windows, and gives the limit at the
// end of each.
func (st *station) run(l *Limit, cfg *Config, now *int64, windows int) (limits []int) {
	for range windows {
		open := l.Current()
		l.Sent(open)
		took := st.work * max(1, float64(open)/float64(st.workers))
		for range cfg.MinSamples {
			l.Done(cfg, int64(took*(0.7+0.6*st.rand.Float64())), false, *now)
		}
		*now += cfg.MinWindow
		l.Done(cfg, int64(took), false, *now)
		limits = append(limits, l.Current())
	}
	return limits
}

func mean(v []int) float64 {
	sum := 0
	for _, x := range v {
		sum += x
	}
	return float64(sum) / float64(len(v))
}

// The limit finds what a server is good for, shrinks when it slows, does not jam it, and grows back
// without overshoot.
func TestTheLimitFollowsTheServer(t *testing.T) {
	cfg := DefaultConfig(500)
	st := &station{workers: 16, work: 10_000, rand: rand.New(rand.NewPCG(1, 2))}
	l, now := New(&cfg), int64(1)
	st.run(&l, &cfg, &now, 100)
	fast := st.run(&l, &cfg, &now, 100)
	if m := mean(fast); m < 16 || m > 48 {
		t.Errorf("16 workers: the limit is %.1f on the average", m)
	}
	st.workers = 4 // a quarter of it is left
	st.run(&l, &cfg, &now, 60)
	if m := mean(st.run(&l, &cfg, &now, 100)); m < 4 || m > 0.6*mean(fast) {
		t.Errorf("4 workers: the limit is %.1f, and was %.1f", m, mean(fast))
	}
	st.workers = 16
	back := st.run(&l, &cfg, &now, 160)
	if m := mean(back[60:]); m < 0.8*mean(fast) {
		t.Errorf("back at 16 workers: the limit is %.1f, and was %.1f", m, mean(fast))
	}
	for _, x := range back {
		if x > 2*int(mean(fast)) {
			t.Errorf("it overshoots to %d", x)
		}
	}
}

// Noise alone does not take the limit down to nothing.
func TestNoise(t *testing.T) {
	cfg := DefaultConfig(100)
	l := New(&cfg)
	r := rand.New(rand.NewPCG(3, 4))
	for now := int64(1); now < 100*cfg.MinWindow; now += cfg.MinWindow / 20 {
		l.Sent(8)
		l.Done(&cfg, int64(r.ExpFloat64()*10_000), false, now)
	}
	if l.Current() < 8 {
		t.Errorf("the limit is %d", l.Current())
	}
}

// A limit that is not made use of does not grow, whatever comes back it stays within its bounds,
// and breaks shrink it.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(rapid.IntRange(1, 50).Draw(rt, "most"))
		l, now := New(&cfg), int64(1)
		idle := rapid.Bool().Draw(rt, "idle")
		for range 300 {
			before := l.Current()
			now += rapid.Int64Range(0, cfg.MinWindow).Draw(rt, "wait")
			if !idle {
				l.Sent(rapid.IntRange(0, 60).Draw(rt, "open"))
			}
			l.Done(
				&cfg,
				rapid.Int64Range(-5, 1_000_000).Draw(rt, "took"),
				rapid.Bool().Draw(rt, "broken"),
				now,
			)
			if l.Current() < cfg.Min || l.Current() > cfg.Max || idle && l.Current() > before {
				rt.Fatalf("%d after %d", l.Current(), before)
			}
		}
	})
	cfg := DefaultConfig(100)
	l := New(&cfg)
	for now := int64(1); now < 40*cfg.MinWindow; now += cfg.MinWindow / 20 {
		l.Sent(l.Current())
		l.Done(&cfg, 1000, true, now)
	}
	if l.Current() != cfg.Min {
		t.Errorf("after nothing but breaks the limit is %d", l.Current())
	}
}
