package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is the pacers of many processes for one server.
type fleet struct {
	cfg    Config
	pacers []Pacer
	sent   []time.Duration
}

func newFleet(cfg Config, seed uint64) *fleet {
	draw := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{cfg: cfg, pacers: make([]Pacer, cfg.Processes)}
	for i := range f.pacers {
		f.pacers[i].Reset(draw.Float64(), draw.Float64(), 0)
	}
	return f
}

// send has each process send at one time all that it may.
func (f *fleet) send(now time.Duration) {
	for i := range f.pacers {
		for f.pacers[i].HasClockPermit(&f.cfg, 1, now) {
			f.pacers[i].Spend()
			f.sent = append(f.sent, now)
		}
	}
}

// peak is the largest number of requests within one window.
func (f *fleet) peak() (peak int) {
	first := 0
	for i, at := range f.sent {
		for f.sent[first] <= at-f.cfg.Window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// bound is the initial requests plus two standard deviations.
func (f *fleet) bound() float64 {
	return f.cfg.InitialRequests + 2*math.Sqrt(f.cfg.InitialRequests) + 2
}

func TestSumOverProcessesStaysWithinTheInitialRequestsAndUsesThem(t *testing.T) {
	for _, processes := range []int{1, 2, 20, 30, 300} {
		for _, calls := range []float64{1, 4, 10, 30, 100, 400} {
			t.Run(fmt.Sprintf("%d processes, %v calls", processes, calls), func(t *testing.T) {
				t.Parallel()
				over, seeds, used := 0, 100, 0
				for seed := range uint64(seeds) {
					f := newFleet(Config{InitialRequests: calls, Window: time.Second, Processes: processes}, seed)
					begin := time.Duration(seed%7) * 3 * time.Second
					for now := begin; now < begin+5*time.Second; now += 10 * time.Millisecond {
						f.send(now)
					}
					if float64(f.peak()) > f.bound() {
						over++
					}
					used += len(f.sent)
				}
				mean := float64(used) / float64(seeds) / 5
				t.Logf(
					"over the bound in %d of %d plays of 5 s; %.2f of %v calls a second are used",
					over,
					seeds,
					mean,
					calls,
				)
				if over > seeds/20 || mean < calls*0.8 || mean > calls {
					t.Errorf(
						"over the bound in %d of %d plays; %.2f of %v calls a second",
						over,
						seeds,
						mean,
						calls,
					)
				}
			})
		}
	}
}

func TestOneProcessStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			InitialRequests: rapid.Float64Range(0.1, 1000).Draw(rt, "calls"),
			Window:          time.Second,
			Processes:       rapid.IntRange(1, 300).Draw(rt, "processes"),
		}
		share := cfg.InitialRequests / float64(cfg.Processes)
		f := &fleet{cfg: cfg, pacers: make([]Pacer, 1)}
		f.pacers[0].Reset(0, rapid.Float64Range(0, 1).Draw(rt, "begins with"), 0)
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, 250_000).Draw(rt, "wait")) * time.Microsecond
			f.send(now)
			if got := f.peak(); float64(got) > share*(1+1./expiryDivisor)+2 {
				rt.Fatalf("%d within a second of a share of %.2f", got, share)
			}
		}
	})
}

func TestClockPermitExpiresButItsFractionStays(t *testing.T) {
	cfg := Config{InitialRequests: 1 / utilization, Window: time.Second, Processes: 1} // one permit a second
	var p Pacer
	p.Reset(0, 0, 0)
	for _, step := range []struct {
		at   time.Duration
		want bool
	}{
		{time.Second - time.Millisecond, false},
		{time.Second + time.Millisecond, true},
		{time.Second + time.Second/expiryDivisor + time.Millisecond, false},
		{2*time.Second + time.Millisecond, true},
		{2*time.Second + 90*time.Millisecond, false},
	} {
		if got := p.HasClockPermit(&cfg, 1, step.at); got != step.want {
			t.Errorf("at %v: %v, want %v", step.at, got, step.want)
		}
	}
	unbounded := DefaultConfig()
	if !p.HasClockPermit(&unbounded, 1, 3*time.Second) {
		t.Error("bounded without initial requests")
	}
}

func TestRequestsToPeersEarnOnePermitThatIsSpentOrForfeited(t *testing.T) {
	var p Pacer
	p.Reset(0.5, 0, 0)
	for i, want := range []bool{false, true, true} { // no more than one is kept
		if p.PeerSent(0.25); p.HasPeerPermit() != want {
			t.Errorf("after %d: %v", i+1, !want)
		}
	}
	if p.Spend(); p.HasPeerPermit() {
		t.Error("it was spent")
	}
	for range 4 {
		p.PeerSent(0.25)
	}
	if p.ForfeitPeerPermits(); p.HasPeerPermit() {
		t.Error("it was forfeited")
	}
}
