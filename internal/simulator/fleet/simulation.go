// Package fleet simulates a day of a fleet in virtual time. Each runner is the program's own request
// lifecycle and admission on a machine of package dependencies; the balancers are those of package
// balance, so that all decisions are those of the program itself. The result depends on nothing but
// the drawn day and the Options. Package compare and cmd/simulator call it; package daytest runs the
// same simulation with processes behind sockets.
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

// Version identifies the model. Results of different versions are not comparable.
const Version = 1

// Options is what may differ between two simulations of one day.
type Options struct {
	// Settings changes the settings of the runners; nil: nothing is changed.
	Settings func(*admission.Settings)
	// BalancerKinds replaces the kinds of balancers of the scenario, by index; nil: they stay.
	BalancerKinds []day.BalancerKind
	Limits        lifecycle.KeyLimits // of the runners' tables of idempotency keys
	// BalancerSeed makes the balancers and the network draw anew, with the day as it is.
	BalancerSeed uint64
	// Log takes what the runners log; at is the time of the day. nil: nothing is logged.
	Log func(at time.Duration, runner, text string)
}

// Run is the result of a simulated day.
type Run struct {
	*ledger.Result
	Seed         uint64  `json:"seed"`
	RequestRate  float64 `json:"rate"`     // requests per second of the clients
	Capacity     float64 `json:"capacity"` // requests per second of the cores
	Events       uint64  `json:"events"`
	AttemptsRead int     `json:"read"` // attempts that a runner read
}

// unixOrigin is the Unix time at which a day in virtual time begins. Any will do.
const unixOrigin wallclock.UnixMicro = 1_764_576_000_000_000

const (
	reportInterval     = time.Second            // of a runner to the registry
	loadReportInterval = 500 * time.Millisecond // of loads to balancers
	loadNoise          = 0.1                    // relative error of a load report
	connectTimeout     = time.Second
	checkTimeout       = time.Second            // of a health check
	linkDelay          = 50 * time.Microsecond  // between a runner and its engine
	backendDelay       = 300 * time.Microsecond // between a runner and the back end, one way
	// measuringTolerance is added to the time limits of the rules: with runners behind sockets, reading
	// an answer takes time.
	measuringTolerance = 100 * time.Millisecond
)

// noZone is the value of cutZone while no zone is cut off.
const noZone = -1

// Simulation is a day of a fleet, with its machines, back end, registry, balancers and runners. It is not
// safe for concurrent use.
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
	cutZone       int // zone that is cut off, or noZone
	attemptsRead  int
	attemptsNamed uint64
	messages      uint64 // sent over the network
	closed        bool
}

// Play simulates a day to its end, in virtual time, with runners in this process.
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

// Registration says who reports runners to the registry.
type Registration uint8

const (
	// RegisteredBySimulation makes the simulation report them at an interval.
	RegisteredBySimulation Registration = iota
	// SelfRegistered leaves it to their processes, through Incarnation.Report.
	SelfRegistered
)

// NewSimulation prepares a day on a clock, with runners that launch starts.
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

// newAccount returns the empty account of a day.
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

// Start starts the runners.
func (s *Simulation) Start() error {
	for _, r := range s.runners {
		if err := r.startWarm(); err != nil {
			return err
		}
	}
	return nil
}

// IsReady reports whether all runners take requests.
func (s *Simulation) IsReady() bool {
	for _, r := range s.runners {
		if r.incarnation == nil || !r.incarnation.process.IsReady() {
			return false
		}
	}
	return true
}

// Begin begins the day at a Unix time, with all runners listed.
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

// Duration returns how long after Begin the last request of the day has ended.
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

// Close ends the day and returns its result.
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
		s.account.AddViolation(ledger.BackendCrash, s.now(), "the back end fell over")
	}
	result, err := s.account.Close(workDone)
	if err != nil {
		return nil, fmt.Errorf("fleet: day %d: %w", s.day.Seed, err)
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

// Find returns the attempt with a name that a runner has read and that is not done, or nil.
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

// Incarnation returns the present incarnation of a runner, or nil if it is down.
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

// log logs a line of a runner.
func (s *Simulation) log(r *runner, text string) {
	if s.options.Log != nil {
		s.options.Log(s.now(), r.spec.Name, text)
	}
}
