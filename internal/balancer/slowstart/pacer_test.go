package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const second = 1_000_000

// fleet is the pacers of many processes for one server.
type fleet struct {
	cfg    Config
	pacers []Pacer
	sent   []int64
}

func newFleet(cfg Config, seed uint64) *fleet {
	draw := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{cfg: cfg, pacers: make([]Pacer, cfg.Processes)}
	for i := range f.pacers {
		f.pacers[i].Reset(draw.Float64(), draw.Float64(), 0)
	}
	return f
}

// ask has each process send what it may at one time, one request after the other.
func (f *fleet) ask(now int64) {
	for i := range f.pacers {
		for f.pacers[i].HasClockPermit(&f.cfg, 1, now) {
			f.pacers[i].Spend()
			f.sent = append(f.sent, now)
		}
	}
}

// most is the largest number of requests within Over.
func (f *fleet) most() (most int) {
	first := 0
	for i, at := range f.sent {
		for f.sent[first] <= at-f.cfg.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) bound() float64 {
	return f.cfg.InitialRequests + 2*math.Sqrt(f.cfg.InitialRequests) + 2
}

// However long processes were idle and whenever they all begin to ask, the sum keeps to the calls
// but for chance, and uses them.
func TestSumOfManyProcesses(t *testing.T) {
	for _, processes := range []int{1, 2, 20, 30, 300} {
		for _, calls := range []float64{1, 4, 10, 30, 100, 400} {
			t.Run(fmt.Sprintf("%d processes, %v calls", processes, calls), func(t *testing.T) {
				t.Parallel()
				over, seeds, used := 0, 100, 0
				for seed := range uint64(seeds) {
					f := newFleet(Config{InitialRequests: calls, Window: second, Processes: processes}, seed)
					begin := int64(seed%7) * 3 * second
					for now := begin; now < begin+5*second; now += 10_000 {
						f.ask(now)
					}
					if float64(f.most()) > f.bound() {
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

// One process never sends more than its share, with one more for the fraction and what it may hold.
func TestShareOfOneProcess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			InitialRequests: rapid.Float64Range(0.1, 1000).Draw(rt, "calls"),
			Window:          second,
			Processes:       rapid.IntRange(1, 300).Draw(rt, "processes"),
		}
		share := cfg.InitialRequests / float64(cfg.Processes)
		f := &fleet{cfg: cfg, pacers: make([]Pacer, 1)}
		f.pacers[0].Reset(0, rapid.Float64Range(0, 1).Draw(rt, "begins with"), 0)
		now := int64(0)
		for range 200 {
			now += rapid.Int64Range(0, second/4).Draw(rt, "wait")
			f.ask(now)
			if got := f.most(); float64(got) > share*(1+1./holdShare)+2 {
				rt.Fatalf("%d within a second of a share of %.2f", got, share)
			}
		}
	})
}

// A permit that nobody took in time is void, its fraction is not; without calls the clock bounds
// nothing.
func TestPermits(t *testing.T) {
	cfg := Config{InitialRequests: 1 / utilization, Window: second, Processes: 1} // one permit a second
	var p Pacer
	p.Reset(0, 0, 0)
	for _, step := range []struct {
		at   int64
		want bool
	}{{second - 1000, false}, {second + 1000, true}, {second + second/holdShare + 1000, false}, {2*second + 1000, true}, {2*second + 90_000, false}} {
		if got := p.HasClockPermit(&cfg, 1, step.at); got != step.want {
			t.Errorf("at %d: %v, want %v", step.at, got, step.want)
		}
	}
	unbounded := DefaultConfig()
	if !p.HasClockPermit(&unbounded, 1, 3*second) {
		t.Error("bounded without calls")
	}
}

// Requests to warm peers earn a permit, which is spent by one request or passes on to nobody.
func TestPermitsByPeers(t *testing.T) {
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
		t.Error("it was passed")
	}
}
