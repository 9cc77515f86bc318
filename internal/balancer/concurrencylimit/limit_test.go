package concurrencylimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testServer models a server with a number of workers: a request waits for a free worker, which then
// takes the time work.
type testServer struct {
	workers int
	work    time.Duration
	rand    *rand.Rand
}

// run keeps as many requests in flight as the limit allows for a number of windows, and returns the
// limit at the end of each window.
func (s *testServer) run(l *Limit, cfg *Config, now *time.Duration, windows int) (limits []int) {
	for range windows {
		inFlight := l.Current()
		l.Sent(inFlight)
		took := s.work.Seconds() * max(1, float64(inFlight)/float64(s.workers))
		for range cfg.MinSamples {
			l.Succeeded(cfg, seconds(took*(0.7+0.6*s.rand.Float64())), *now)
		}
		*now += cfg.MinWindow
		l.Succeeded(cfg, seconds(took), *now)
		limits = append(limits, l.Current())
	}
	return limits
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func mean(v []int) float64 {
	sum := 0
	for _, x := range v {
		sum += x
	}
	return float64(sum) / float64(len(v))
}

func TestLimitFollowsTheCapacityOfTheServerWithoutOvershoot(t *testing.T) {
	cfg := DefaultConfig(500)
	server := &testServer{workers: 16, work: 10 * time.Millisecond, rand: rand.New(rand.NewPCG(1, 2))}
	l, now := New(&cfg), time.Microsecond
	server.run(&l, &cfg, &now, 100)
	fast := server.run(&l, &cfg, &now, 100)
	if m := mean(fast); m < 16 || m > 48 {
		t.Errorf("mean limit with 16 workers = %.1f, want 16 to 48", m)
	}
	server.workers = 4
	server.run(&l, &cfg, &now, 60)
	if m := mean(server.run(&l, &cfg, &now, 100)); m < 4 || m > 0.6*mean(fast) {
		t.Errorf("mean limit with 4 workers = %.1f, want 4 to 0.6 times the %.1f with 16 workers", m, mean(fast))
	}
	server.workers = 16
	back := server.run(&l, &cfg, &now, 160)
	if m := mean(back[60:]); m < 0.8*mean(fast) {
		t.Errorf("mean limit back at 16 workers = %.1f, want at least 0.8 times the %.1f of before", m, mean(fast))
	}
	for _, x := range back {
		if x > 2*int(mean(fast)) {
			t.Errorf("the limit overshoots to %d back at 16 workers, want at most twice the mean of before", x)
		}
	}
}

func TestNoiseAloneDoesNotLowerTheLimit(t *testing.T) {
	cfg := DefaultConfig(100)
	l := New(&cfg)
	r := rand.New(rand.NewPCG(3, 4))
	for now := time.Microsecond; now < 100*cfg.MinWindow; now += cfg.MinWindow / 20 {
		l.Sent(8)
		l.Succeeded(&cfg, seconds(r.ExpFloat64()*0.01), now)
	}
	if l.Current() < 8 {
		t.Errorf("Current() with exponentially distributed latencies = %d, want at least 8", l.Current())
	}
}

func TestLimitStaysWithinItsBoundsAndGrowsOnlyWhenUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(rapid.IntRange(1, 50).Draw(rt, "max"))
		l, now := New(&cfg), time.Microsecond
		idle := rapid.Bool().Draw(rt, "idle")
		for range 300 {
			before := l.Current()
			now += drawDuration(rt, 0, cfg.MinWindow, "wait")
			if !idle {
				l.Sent(rapid.IntRange(0, 60).Draw(rt, "in flight"))
			}
			took := drawDuration(rt, -5*time.Microsecond, time.Second, "took")
			if rapid.Bool().Draw(rt, "overload") {
				l.Overloaded(&cfg, now)
			} else {
				l.Succeeded(&cfg, took, now)
			}
			if l.Current() < cfg.Min || l.Current() > cfg.Max || idle && l.Current() > before {
				rt.Fatalf("limit %d after %d: out of bounds, or grown without use", l.Current(), before)
			}
		}
	})
}

func TestOverloadLowersTheLimitToItsMinimum(t *testing.T) {
	cfg := DefaultConfig(100)
	l := New(&cfg)
	for now := time.Microsecond; now < 40*cfg.MinWindow; now += cfg.MinWindow / 20 {
		l.Sent(l.Current())
		l.Overloaded(&cfg, now)
	}
	if l.Current() != cfg.Min {
		t.Errorf("Current() after nothing but overload = %d, want the minimum", l.Current())
	}
}

// drawDuration draws a duration of whole microseconds between two bounds.
func drawDuration(rt *rapid.T, least, most time.Duration, label string) time.Duration {
	us := rapid.Int64Range(least.Microseconds(), most.Microseconds()).Draw(rt, label)
	return time.Duration(us) * time.Microsecond
}
