package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet holds the pacers of many processes for one server.
type fleet struct {
	cfg    Config
	pacers []Pacer
	sent   []time.Duration // times of the requests sent
}

func newFleet(cfg Config, seed uint64) *fleet {
	draw := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{cfg: cfg, pacers: make([]Pacer, cfg.Processes)}
	for i := range f.pacers {
		f.pacers[i].Reset(draw.Float64(), draw.Float64(), 0)
	}
	return f
}

// send lets each process send as many requests at the time now as it may.
func (f *fleet) send(now time.Duration) {
	for i := range f.pacers {
		for f.pacers[i].HasClockPermit(&f.cfg, 1, now) {
			f.pacers[i].Spend()
			f.sent = append(f.sent, now)
		}
	}
}

// peak returns the largest number of requests within one window.
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

// bound returns the initial requests plus two standard deviations, and two more requests.
func (f *fleet) bound() float64 {
	return f.cfg.InitialRequests + 2*math.Sqrt(f.cfg.InitialRequests) + 2
}

func TestSumOverProcessesStaysWithinTheInitialRequestsAndUsesThem(t *testing.T) {
	for _, processes := range []int{1, 2, 20, 30, 300} {
		for _, requests := range []float64{1, 4, 10, 30, 100, 400} {
			t.Run(fmt.Sprintf("%d processes, %v requests", processes, requests), func(t *testing.T) {
				t.Parallel()
				over, seeds, used := 0, 100, 0
				for seed := range uint64(seeds) {
					f := newFleet(Config{InitialRequests: requests, Window: time.Second, Processes: processes}, seed)
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
					"over the bound in %d of %d simulations of 5 s; %.2f of %v requests per second are used",
					over,
					seeds,
					mean,
					requests,
				)
				if over > seeds/20 || mean < requests*0.8 || mean > requests {
					t.Errorf(
						"over the bound in %d of %d runs, want <= 5 %%; %.2f of %v requests/s, want 80 to 100 %%",
						over,
						seeds,
						mean,
						requests,
					)
				}
			})
		}
	}
}

func TestOneProcessStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			InitialRequests: rapid.Float64Range(0.1, 1000).Draw(rt, "requests"),
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
				rt.Fatalf("one process sends %d requests within a second, its share is %.2f", got, share)
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
			t.Errorf("HasClockPermit() at %v = %v, want %v", step.at, got, step.want)
		}
	}
	unbounded := DefaultConfig()
	if !p.HasClockPermit(&unbounded, 1, 3*time.Second) {
		t.Error("HasClockPermit() without initial requests = false, want true")
	}
}

func TestRequestsToPeersEarnOnePermitThatIsSpentOrForfeited(t *testing.T) {
	var p Pacer
	p.Reset(0.5, 0, 0)
	for i, want := range []bool{false, true, true} { // no more than one permit is kept
		if p.PeerSent(0.25); p.HasPeerPermit() != want {
			t.Errorf("HasPeerPermit() after %d requests to warm servers = %v, want the opposite", i+1, !want)
		}
	}
	if p.Spend(); p.HasPeerPermit() {
		t.Error("HasPeerPermit() after Spend = true, want false")
	}
	for range 4 {
		p.PeerSent(0.25)
	}
	if p.ForfeitPeerPermits(); p.HasPeerPermit() {
		t.Error("HasPeerPermit() after ForfeitPeerPermits = true, want false")
	}
}
