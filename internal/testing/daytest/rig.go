// Package rig plays a day of the simulator on real runner processes: the stage's machines, back
// end, roster and balancers are put behind sockets on loopback, one stand-in for each party that a
// runner speaks to. It is small on purpose: it shows whether the model is like the fleet, and is no
// load tool.
package daytest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/virtualclock"
)

// readyWithin is how long the processes may take to start.
const readyWithin = 30 * time.Second

// settleFor is how long the day goes on once all first tries have ended: runners still owe answers
// that nobody waits for.
const settleFor = 500 * time.Millisecond

// clock lets the state machines run on the event loop.
type clock struct{ l *eventloop.Loop }

func (c clock) Now() time.Duration { return c.l.Now().Truncate(virtualclock.Resolution) }
func (c clock) After(d time.Duration, fn func()) virtualclock.Timer {
	return c.l.After(d, fn)
}

// Harness is a day under way.
type Harness struct {
	loop    *eventloop.Loop
	stage   *fleet.Simulation
	bin     string
	dir     string
	log     io.Writer
	mu      sync.Mutex // of log
	backend *backend
	roster  *net.UDPConn
	starts  int
	procs   []*process
	err     error
	over    atomic.Bool   // the loop needs no more waking
	still   chan struct{} // closed when nothing wakes it any more
}

// loopback is where listeners of the rig are opened.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Play plays a day on processes of a built runner and blocks until it is over. What they log goes
// to log.
func Play(ctx context.Context, d *day.Day, opt fleet.Options, bin string, log io.Writer) (*fleet.Run, error) {
	l, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	defer l.Close()
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &Harness{loop: l, bin: bin, dir: dir, log: log}
	defer r.close()
	r.stage = fleet.NewSimulation(d, opt, clock{l}, r.launch, true)
	if r.backend, err = newBackend(l, r.stage); err != nil {
		return nil, err
	}
	if r.roster, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback)); err != nil {
		return nil, err
	}
	go r.hear(r.roster)
	if err := r.stage.Start(); err != nil {
		return nil, err
	}
	var run *fleet.Run
	end := func() {
		run, r.err = r.stage.Close()
		l.Stop()
	}
	deadline := time.Now().Add(readyWithin)
	var wait func()
	wait = func() {
		switch {
		case r.stage.IsReady():
			r.stage.Begin(l.Unix())
			last := l.Now() + r.stage.Duration()
			var look func()
			look = func() {
				if r.stage.IsOver() || l.Now() >= last {
					l.After(settleFor, end)
					return
				}
				l.After(100*time.Millisecond, look)
			}
			look()
		case time.Now().After(deadline):
			r.err = errors.New("rig: the runners do not come up")
			l.Stop()
		default:
			l.After(20*time.Millisecond, wait)
		}
	}
	l.After(0, wait)
	r.still = make(chan struct{})
	go r.beat()
	stop := context.AfterFunc(ctx, func() {
		l.Deliver(func() {
			r.err = ctx.Err()
			l.Stop()
		})
	})
	defer stop()
	if err := l.Run(); err != nil {
		return nil, err
	}
	return run, r.err
}

// beatEvery is how often the loop looks at its timers. By itself it sleeps in whole milliseconds,
// which a request meets half a dozen times on its way; the fleet that is stood in for does not wait
// so.
const beatEvery = 200 * time.Microsecond

// beat wakes the loop until the day is over.
func (r *Harness) beat() {
	for !r.over.Load() {
		t := unix.NsecToTimespec(beatEvery.Nanoseconds())
		_ = unix.Nanosleep(&t, nil) // a signal may end it early, which does no harm
		r.loop.Deliver(func() {})
	}
	close(r.still)
}

// close ends all processes and waits for them: none outlives its day.
func (r *Harness) close() {
	if r.over.Store(true); r.still != nil {
		<-r.still
	}
	for _, p := range r.procs {
		p.Kill()
	}
	for _, p := range r.procs {
		<-p.gone
	}
	if r.roster != nil {
		r.roster.Close()
	}
}

// hear takes reports to the roster.
func (r *Harness) hear(conn *net.UDPConn) {
	buf := make([]byte, 512)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return // it was closed
		}
		words := strings.Fields(string(buf[:n]))
		if len(words) == 3 && words[0] == "HERE" {
			r.loop.Deliver(func() {
				if l := r.stage.Incarnation(words[1]); l != nil {
					l.Report()
				}
			})
		}
	}
}

// fail ends the day for a fault of the rig or of what it plays.
func (r *Harness) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.loop.Stop()
}

// say writes a line that a runner logged.
func (r *Harness) say(name, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.log, "%s %s\n", name, line)
}

// Settings lays out what a runner is told as the platform does.
func Settings(s *admission.Settings) map[string]any {
	effects := map[admission.Idempotency]string{
		admission.Idempotent:        "read_like",
		admission.IdempotentWithKey: "idempotency_key",
		admission.NonIdempotent:     "non_idempotent",
	}
	says := map[admission.CreditMode]string{
		admission.CreditNone:          "silent",
		admission.CreditRankThreshold: "floor",
		admission.CreditPerCaller:     "allowance",
		admission.CreditWeight:        "weight",
	}
	below := map[admission.Dependency]string{
		admission.DependencyNone:   "silent",
		admission.DependencyShared: "one_for_all",
		admission.DependencyTier:   "tier",
	}
	halts := map[admission.CancelMode]string{
		admission.CancelNone:    "silent",
		admission.CancelDiscard: "discard",
		admission.CancelSuspend: "freeze",
	}
	by := map[bool]string{false: "request", true: "work"}
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var classes, tenants, calls, omits []any
	for _, c := range s.Classes {
		classes = append(
			classes,
			map[string]any{"Name": c.Name, "TargetUs": us(
				c.LatencyObjective,
			), "AimStretch": c.ObjectiveWorkFactor,
				"DeadlineUs": us(
					c.Timeout,
				), "WindowUs": us(c.IdempotencyWindow),
				"Idempotency": effects[c.Idempotency],
				"Worth":       c.PriorityWeight,
				"LateWorth":   c.LateWeightFraction},
		)
		calls, omits = append(calls, c.CallsDependency), append(omits, c.DegradedWeightFraction)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "QuotaRps": t.QuotaRate})
	}
	return map[string]any{
		"Accounts":       tenants,
		"RequestClasses": classes,
		"Servers":        s.Servers,
		"OverShareWorth": s.OverQuotaWeight,
		"ValueBy":        by[s.WeightPerWork],
		"Prices":         map[string]any{"Handshake": s.HandshakeCost},
		"Callers":        map[string]any{"MarksRetry": s.MarksRetries},
		"Caps": map[string]any{
			"MaxRetryAfterUs": us(s.MaxRetryAfter),
			"RetryAfter":      !s.NoRetryAfter,
		},
		"Rules": map[string]any{
			"AnswerSlackUs":       us(s.DeadlineGrace),
			"StopSendingWithinUs": us(s.DrainGrace),
			"FallMultiple":        s.MaxRunningPerCore,
			"FallUs":              us(s.MaxRunningWindow),
			"ColdShare":           s.WarmUpInitialShare,
			"ColdUs":              us(s.WarmUpTime),
		},
		"Specifics": map[string]any{
			"Upstreams":    s.Callers,
			"JustStarted":  s.WarmingUp,
			"Cores":        s.Cores,
			"MemoryKb":     s.MemoryKB,
			"RunMemFactor": s.RunningMemoryFactor,
			"KeyKb":        s.KeyMemoryKB,
			"FreshUs":      us(s.ResultMaxAge),
			"Halt":         halts[s.Cancel],
			"Say":          says[s.CreditMode],
			"HeededUs": us(
				s.CreditLifetime,
			),
			"Below":       below[s.Dependency],
			"CallsOut":    s.CallQuota,
			"CallsOverUs": us(s.CallQuotaWindow),
			"LingerUs": us(
				s.AbandonedCallTime,
			),
			"DeepChecks":      s.DeepHealthChecks,
			"TellsGone":       s.ReportsAbandoned,
			"RegistryFollows": s.EndpointListFollowsHealth,
			"IdleUs":          us(s.IdleConnectionTimeout),
			"CallsByClass":    calls,
			"ClassSkipWorth":  omits,
			"PassesDeadline":  false,
			"Meters":          []string{"cpu_busy", "runnable", "mem_used", "sockets"},
		},
	}
}
