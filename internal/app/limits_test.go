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

// startProgram starts a program on a loop that runs until the test ends.
func startProgram(t *testing.T, change func(*config.Platform)) *Program {
	t.Helper()
	c, err := config.ReadPlatform("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for i := range c.Settings.Classes { // no back end runs in the test
		c.Settings.Classes[i].CallsDependency = false
	}
	c.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	change(c)
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(loop, c, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	t.Cleanup(func() {
		loop.Deliver(loop.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		loop.Close()
	})
	return p
}

// onLoop calls fn on the program's loop, and waits until it has returned.
func (p *Program) onLoop(fn func()) {
	done := make(chan struct{})
	p.loop.Deliver(func() { fn(); close(done) })
	<-done
}

// limits are the limits of one process.
type limits struct {
	Processes                              int
	MemoryKB, CallQuota, MaxRunningPerCore float64
}

// limits returns the process's limits, and those of the whole runner.
func (p *Program) limits() (process, runner limits) {
	p.onLoop(func() {
		share, all := p.processShare(p.config.Settings), p.config.Settings
		process = limits{p.keys.processes, share.MemoryKB, share.CallQuota, share.MaxRunningPerCore}
		runner = limits{1, all.MemoryKB, all.CallQuota, all.MaxRunningPerCore}
	})
	return process, runner
}

// requireShare waits until a program knows the number of processes of its runner, and checks its share
// of the limits.
func requireShare(t *testing.T, p *Program, processes int) {
	t.Helper()
	var got, runner limits
	for range 1000 {
		if got, runner = p.limits(); got.Processes == processes {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	n := float64(processes)
	want := limits{
		processes,
		runner.MemoryKB / n,
		runner.CallQuota / n,
		math.Max(runner.MaxRunningPerCore/n, 1),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("limits of the process (-want +got)\n%s", diff)
	}
}

// requireMaxConnections checks how many connections of balancers a process accepts.
func requireMaxConnections(t *testing.T, p *Program, processes int) {
	t.Helper()
	p.onLoop(func() {
		all := shareDescriptors(p.config, nil).balancers
		if got := p.platform.frontend.MaxConnections(); got != all/processes {
			t.Errorf("one of %d processes accepts %d connections, want an equal share of %d", processes, got, all)
		}
	})
}

// Two processes of a runner divide its limits, and the one that remains gets all of them again. Without
// that the runner would exceed its limits while a new version starts, or stay below them afterwards.
func TestLimitsAreDividedAmongProcesses(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	unchanged := func(*config.Platform) {}
	one := startProgram(t, unchanged)
	requireShare(t, one, 1)
	two := startProgram(t, unchanged)
	requireShare(t, two, 2)
	requireShare(t, one, 2)
	other := startProgram(t, func(c *config.Platform) { c.Name = "n1" }) // of another runner
	requireShare(t, other, 1)
	requireMaxConnections(t, one, 2)
	two.onLoop(two.keys.reservations.Close) // has the effect of the process's end
	requireShare(t, one, 1)
	requireMaxConnections(t, one, 1)
}
