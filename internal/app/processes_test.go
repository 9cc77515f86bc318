package app

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/config"
	"ryepaddle/internal/eventloop"
)

// started is a program on a loop that turns until the test ends.
func started(t *testing.T, change func(*config.Platform)) *Program {
	t.Helper()
	cfg, err := config.ReadPlatform("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Settings.Classes { // nothing listens for calls here
		cfg.Settings.Classes[i].CallsDependency = false
	}
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	change(cfg)
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(l, cfg, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Deliver(l.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.Close()
	})
	return p
}

// on calls fn on the program's loop.
func (p *Program) on(fn func()) {
	done := make(chan struct{})
	p.loop.Deliver(func() { fn(); close(done) })
	<-done
}

// Two processes have together what one has, and the one that stays has it all again.
func TestLimitsAreShared(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	here := func(*config.Platform) {}
	one := started(t, here)
	type limits struct {
		Parts                     int
		MemoryKB, CallsOut, Crowd float64
	}
	expect := func(p *Program, parts int) {
		t.Helper()
		var got, whole limits
		for range 1000 {
			p.on(func() {
				s := p.processShare(p.config.Settings)
				got = limits{p.keys.processes, s.MemoryKB, s.CallQuota, s.MaxRunningPerCore}
				whole = limits{
					1,
					p.config.Settings.MemoryKB,
					p.config.Settings.CallQuota,
					p.config.Settings.MaxRunningPerCore,
				}
			})
			if got.Parts == parts {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		n := float64(parts)
		want := limits{parts, whole.MemoryKB / n, whole.CallsOut / n, math.Max(whole.Crowd/n, 1)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
	}
	expect(one, 1)
	two := started(t, here)
	expect(two, 2)
	expect(one, 2)
	other := started(t, func(cfg *config.Platform) { cfg.Name = "n1" }) // of another runner
	expect(other, 1)
	one.on(func() {
		if most := one.platform.frontend.MaxConnections(); most != shareDescriptors(one.config, nil).balancers/2 {
			t.Errorf("one of two takes %d connections, of %d", most, shareDescriptors(one.config, nil).balancers)
		}
	})
	two.on(two.keys.reservations.Close) // as its death does
	expect(one, 1)
	one.on(func() {
		if most := one.platform.frontend.MaxConnections(); most != shareDescriptors(one.config, nil).balancers {
			t.Errorf(
				"alone again it takes %d connections, of %d",
				most,
				shareDescriptors(one.config, nil).balancers,
			)
		}
	})
}
