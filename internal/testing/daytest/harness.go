package daytest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	// startTimeout is how long the processes may take to start.
	startTimeout = 30 * time.Second
	// startPollInterval is how often the harness checks whether they have started.
	startPollInterval = 20 * time.Millisecond
	// endPollInterval is how often the harness checks whether the day is over.
	endPollInterval = 100 * time.Millisecond
	// settleTime is how long the day continues once all first attempts have ended: runners may still
	// send answers that no client waits for.
	settleTime = 500 * time.Millisecond
	// wakeInterval is the time between two wake-ups of the loop, which then checks its timers. By itself
	// the loop sleeps in whole milliseconds, which would delay each request at about six points, unlike
	// the fleet that the harness stands in for.
	wakeInterval = 200 * time.Microsecond
)

// loopback is the address at which the harness and the runners listen, each on a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// loopClock is the clock of the simulator's state machines when they run on the event loop.
type loopClock struct{ loop *eventloop.Loop }

// Now implements virtualclock.Clock.
func (c loopClock) Now() time.Duration { return c.loop.Now().Truncate(virtualclock.Resolution) }

// After implements virtualclock.Clock.
func (c loopClock) After(d time.Duration, fn func()) virtualclock.Timer {
	return c.loop.After(d, fn)
}

// harness plays one day.
type harness struct {
	loop       *eventloop.Loop
	simulation *fleet.Simulation
	binary     string // path of the runner's program
	dir        string // of configuration files and temporary directories
	backend    *backend
	registry   *net.UDPConn
	starts     int // number of processes started so far
	processes  []*process
	run        *fleet.Run // the result, once the day is over
	err        error      // why the day ended early

	logMu sync.Mutex
	log   io.Writer // guarded by logMu

	stopWaking    atomic.Bool
	wakingStopped chan struct{} // closed when the goroutine of startWaking ends; nil: it was not started
}

// Play plays a day on processes of the runner's program at binary and blocks until the day is over
// or ctx is done. The log lines of the processes go to log. It returns an error if the processes do
// not start within 30 s, if a stand-in fails, or if the accounts of the day do not add up.
func Play(ctx context.Context, d *day.Day, opt fleet.Options, binary string, log io.Writer) (*fleet.Run, error) {
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	defer loop.Close()
	dir, err := os.MkdirTemp("", "daytest")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	h := &harness{loop: loop, binary: binary, dir: dir, log: log}
	defer h.close()
	h.simulation = fleet.NewSimulation(d, opt, loopClock{loop}, h.launch, fleet.SelfRegistered)
	if err := h.openStandIns(); err != nil {
		return nil, err
	}
	if err := h.simulation.Start(); err != nil {
		return nil, err
	}
	h.awaitStart(time.Now().Add(startTimeout))
	h.startWaking()
	stop := context.AfterFunc(ctx, func() {
		loop.Deliver(func() { h.fail(ctx.Err()) })
	})
	defer stop()
	if err := loop.Run(); err != nil {
		return nil, err
	}
	return h.run, h.err
}

// openStandIns opens the sockets of the stand-ins for the back end and the registry.
func (h *harness) openStandIns() (err error) {
	if h.backend, err = newBackend(h.loop, h.simulation); err != nil {
		return err
	}
	if h.registry, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback)); err != nil {
		return err
	}
	go h.receiveReports()
	return nil
}

// awaitStart begins the day once all processes are ready, and fails after the deadline.
func (h *harness) awaitStart(deadline time.Time) {
	h.loop.After(startPollInterval, func() {
		switch {
		case h.simulation.IsReady():
			h.simulation.Begin(h.loop.Unix())
			h.awaitEnd(h.loop.Now() + h.simulation.Duration())
		case time.Now().After(deadline):
			h.fail(errors.New("daytest: the runners did not start in time"))
		default:
			h.awaitStart(deadline)
		}
	})
}

// awaitEnd ends the day once it is over, and at the time last at the latest.
func (h *harness) awaitEnd(last time.Duration) {
	if h.simulation.IsOver() || h.loop.Now() >= last {
		h.loop.After(settleTime, h.finish)
		return
	}
	h.loop.After(endPollInterval, func() { h.awaitEnd(last) })
}

// finish stores the result of the day and stops the loop.
func (h *harness) finish() {
	h.run, h.err = h.simulation.Close()
	h.loop.Stop()
}

// fail ends the day with an error. The first error is kept.
func (h *harness) fail(err error) {
	if h.err == nil {
		h.err = err
	}
	h.loop.Stop()
}

// startWaking starts the goroutine that wakes the loop every wakeInterval.
func (h *harness) startWaking() {
	h.wakingStopped = make(chan struct{})
	go func() {
		defer close(h.wakingStopped)
		for !h.stopWaking.Load() {
			t := unix.NsecToTimespec(wakeInterval.Nanoseconds())
			_ = unix.Nanosleep(&t, nil) // a signal may end it early, which does no harm
			h.loop.Deliver(func() {})
		}
	}()
}

// close kills all processes and waits for them, so that none outlives the day.
func (h *harness) close() {
	h.stopWaking.Store(true)
	if h.wakingStopped != nil {
		<-h.wakingStopped
	}
	for _, p := range h.processes {
		p.Kill()
	}
	for _, p := range h.processes {
		<-p.exited
	}
	if h.registry != nil {
		h.registry.Close()
	}
}

// logLine writes a line that a runner logged. It may be called by any goroutine.
func (h *harness) logLine(name, line string) {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	fmt.Fprintf(h.log, "%s %s\n", name, line)
}
