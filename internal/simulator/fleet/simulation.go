// Package fleet simulates a day of a fleet of runners in virtual time. Each runner executes the program's
// own request lifecycle and admission on a machine modelled by package dependencies; the balancers are
// modelled by package balance. All decisions of a runner are therefore those of the program itself. The
// result depends only on the drawn day and the Options. Package compare and cmd/simulator call this
// package; package daytest runs the same simulation with processes behind sockets.
package fleet

import (
	"fmt"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/wallclock"
)

// Version is the version of the simulation model. Results of different versions are not comparable.
const Version = 1

// Options holds what may differ between two simulations of the same day.
type Options struct {
	// Settings changes the settings of the runners; nil: they stay as drawn.
	Settings func(*admission.Settings)
	// BalancerKinds replaces the scenario's kinds of balancers, by index; nil: they are not replaced.
	BalancerKinds []day.BalancerKind
	Limits        lifecycle.KeyLimits // of the runners' tables of idempotency keys
	// BalancerSeed changes the draws of the balancers and of the network. The day stays the same.
	BalancerSeed uint64
	// Log receives the log lines of the runners; at is the time since the day began. nil: nothing is logged.
	Log func(at time.Duration, runner, text string)
}

// Run is the result of a simulated day.
type Run struct {
	*ledger.Result
	Seed         uint64  `json:"seed"`
	RequestRate  float64 `json:"rate"`     // requests per second of the clients
	Capacity     float64 `json:"capacity"` // requests per second of all cores
	Events       uint64  `json:"events"`   // events that the virtual clock ran; 0: the day ran on another clock
	AttemptsRead int     `json:"read"`     // attempts that a runner read
}

// unixOrigin is the Unix time at which a day in virtual time begins. Its value is arbitrary.
const unixOrigin wallclock.UnixMicro = 1_764_576_000_000_000

const (
	reportInterval     = time.Second            // between the reports of a runner to the registry
	loadReportInterval = 500 * time.Millisecond // between the load reports to balancers
	loadNoise          = 0.1                    // largest relative error of a load report
	connectTimeout     = time.Second
	checkTimeout       = time.Second            // of a health check
	linkDelay          = 50 * time.Microsecond  // between a runner and its engine, one way
	backendDelay       = 300 * time.Microsecond // between a runner and the back end, one way
	// measuringTolerance is added to the time limits of the rules (ledger.Rule), as reading an answer of a
	// runner behind sockets takes time. It is also the interval at which drain checks whether the runner may
	// be stopped.
	measuringTolerance = 100 * time.Millisecond
)

// noZone is the value of Simulation.cutZone while no zone is cut off.
const noZone = -1

// Simulation simulates one day of a fleet: its runners with their machines, the back end, the registry
// and the balancers. It is not safe for concurrent use.
type Simulation struct {
	day           *day.Day
	options       Options
	clock         virtualclock.Clock
	launch        Launch
	registration  Registration
	origin        time.Duration
	unixOrigin    wallclock.UnixMicro
	account       *ledger.Ledger
	backend       *dependencies.Backend
	registry      *dependencies.Registry
	runners       []*runner
	balancers     []*balancer
	cutZone       int    // zone that is cut off, or noZone
	attemptsRead  int    // attempts that a runner read
	attemptsNamed uint64 // attempts that were given a name
	messages      uint64 // messages sent over the network
	closed        bool
}

// Play simulates a whole day in virtual time, with runners in this process.
func Play(d *day.Day, options Options) (*Run, error) {
	clock := virtualclock.New()
	s := NewSimulation(d, options, clock, launchInProcess, RegisteredBySimulation)
	if err := s.Start(); err != nil {
		return nil, err
	}
	s.Begin(unixOrigin)
	clock.RunUntil(clock.Now() + s.Duration())
	r, err := s.Close()
	if err != nil {
		return nil, err
	}
	r.Events = clock.EventsRun
	return r, nil
}

// Registration tells who reports the runners to the registry.
type Registration uint8

const (
	// RegisteredBySimulation makes the simulation report the runners periodically.
	RegisteredBySimulation Registration = iota
	// SelfRegistered leaves the reports to the runners' processes, which call Incarnation.Report.
	SelfRegistered
)

// NewSimulation prepares the simulation of a day on a clock. launch starts the processes of the runners.
func NewSimulation(
	d *day.Day,
	options Options,
	clock virtualclock.Clock,
	launch Launch,
	registration Registration,
) *Simulation {
	s := &Simulation{
		day:          d,
		options:      options,
		clock:        clock,
		launch:       launch,
		registration: registration,
		cutZone:      noZone,
		origin:       clock.Now(),
		account:      newAccount(d),
	}
	s.backend = dependencies.NewBackend(s.clock, d.Backend)
	s.registry = dependencies.NewRegistry(s.clock)
	for i := range d.Runners {
		s.runners = append(s.runners, &runner{simulation: s, index: i, spec: &d.Runners[i]})
	}
	for i := range d.Balancers {
		s.balancers = append(s.balancers, s.newBalancer(i))
	}
	return s
}

// newAccount returns an empty ledger for a day.
func newAccount(d *day.Day) *ledger.Ledger {
	var classes []ledger.Class
	for _, c := range d.Spec.Classes {
		classes = append(classes, ledger.Class{
			Name:               c.Name,
			LatencyObjective:   virtualclock.FromMillis(c.AimMs),
			Deadline:           virtualclock.FromMillis(c.DeadlineMs),
			PriorityWeight:     c.Worth,
			LateWeightFraction: c.LateWorth,
		})
	}
	var tenants []string
	for _, t := range d.Spec.Tenants {
		tenants = append(tenants, t.Name)
	}
	g := d.Spec.Goal
	return ledger.New(classes, tenants, ledger.Goal{
		Whole:       g.Whole,
		WorstWindow: g.WorstWindow,
		WorstClass:  g.WorstClass,
		WorstTenant: g.WorstTenant,
		OverWorth:   g.OverWorth,
		Waste:       g.Waste,
		LateFail:    g.LateFail,
		Window:      virtualclock.FromSeconds(d.Spec.WindowS),
	}, d.Length)
}

// Start starts all runners, warmed up.
func (s *Simulation) Start() error {
	for _, r := range s.runners {
		if err := r.startWarm(); err != nil {
			return err
		}
	}
	return nil
}

// IsReady reports whether all runners are up and take requests.
func (s *Simulation) IsReady() bool {
	for _, r := range s.runners {
		if r.incarnation == nil || !r.incarnation.process.IsReady() {
			return false
		}
	}
	return true
}

// Begin begins the day at the given Unix time, with all runners listed.
func (s *Simulation) Begin(at wallclock.UnixMicro) {
	s.origin = s.clock.Now()
	s.unixOrigin = at
	for _, r := range s.runners {
		for _, b := range s.balancers {
			b.policy.SetListed(r.index, true)
		}
	}
	s.scheduleArrival(0)
	s.reportLoads()
	for _, e := range s.day.Events {
		s.clock.After(e.At, func() { s.startFault(e) })
	}
}

// Duration returns how long after Begin all requests of the day have ended.
func (s *Simulation) Duration() time.Duration {
	deadlineMs := 0.0
	for _, c := range s.day.Spec.Classes {
		deadlineMs = max(deadlineMs, c.DeadlineMs)
	}
	return s.day.Length + virtualclock.FromMillis(deadlineMs+s.day.Spec.Fleet.SlackMs) + 2*connectTimeout
}

// IsOver reports whether all requests of the day have arrived and ended.
func (s *Simulation) IsOver() bool {
	if s.now() <= s.day.Length {
		return false
	}
	for _, b := range s.balancers {
		if len(b.arrivals) > 0 {
			return false
		}
	}
	return true
}

// Close ends the day and returns its result. Requests that are still unanswered count as violations if
// they are past their deadlines or their runner drains.
func (s *Simulation) Close() (*Run, error) {
	s.closed = true
	workDone := 0.0
	for _, r := range s.runners {
		workDone += r.workDone
		if r.incarnation != nil {
			workDone += r.incarnation.machine.WorkDone()
			r.incarnation.recordUnanswered("at the end of the day")
		}
	}
	for range s.backend.Crashes {
		s.account.AddViolation(ledger.BackendCrash, s.now(), "the back end crashed")
	}
	result, err := s.account.Close(workDone)
	if err != nil {
		return nil, fmt.Errorf("fleet: day with seed %d: %w", s.day.Seed, err)
	}
	return &Run{
		Result:       result,
		Seed:         s.day.Seed,
		RequestRate:  s.day.RequestRate,
		Capacity:     s.day.Capacity,
		AttemptsRead: s.attemptsRead,
	}, nil
}

// Backend returns the back end that all runners share.
func (s *Simulation) Backend() *dependencies.Backend { return s.backend }

// StopTimeout returns how long after the start of a drain a runner is stopped.
func (s *Simulation) StopTimeout() time.Duration {
	return virtualclock.FromMillis(s.day.Spec.Fleet.StopMs)
}

// Find returns the attempt with the given name, or nil if no runner that is up holds it.
func (s *Simulation) Find(name string) *Attempt {
	for _, r := range s.runners {
		if r.incarnation != nil {
			if a := r.incarnation.attempts[name]; a != nil {
				return a
			}
		}
	}
	return nil
}

// Incarnation returns the current incarnation of the runner with the given name, or nil if it is down.
func (s *Simulation) Incarnation(name string) *Incarnation {
	for _, r := range s.runners {
		if r.spec.Name == name {
			return r.incarnation
		}
	}
	return nil
}

// now returns the time since the day began.
func (s *Simulation) now() time.Duration { return s.clock.Now() - s.origin }

// log passes a log line of a runner to Options.Log.
func (s *Simulation) log(r *runner, text string) {
	if s.options.Log != nil {
		s.options.Log(s.now(), r.spec.Name, text)
	}
}
