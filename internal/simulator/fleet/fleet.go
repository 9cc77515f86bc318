// Package fleet is the simulator's model: it plays one day of a fleet in virtual time. Each runner
// is the real core with the real decision module, on a machine of package world; balancers are
// those of package balance. There is no second copy of any decision. A day depends on its draw and
// on nothing else.
package fleet

import (
	"fmt"
	"strconv"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/wallclock"
)

// Version names what the model does. Results of different versions are not compared.
const Version = 1

// Options are what may differ between two runs of one day.
type Options struct {
	Settings func(*admission.Settings) // changes what runners are told; nil: nothing
	// of the balancers, in place of the scenario's, by place; nil: as they are
	BalancerKinds []day.BalancerKind
	Limits        lifecycle.KeyLimits // of the cores' tables
	// another one draws balancers' choices anew, with the day as it was
	BalancerSeed uint64
	Log          func(at time.Duration, runner, text string)
}

// Run is a day that was played.
type Run struct {
	*ledger.Result
	Seed         uint64  `json:"seed"`
	RequestRate  float64 `json:"rate"`     // first tries a second asked for
	Capacity     float64 `json:"capacity"` // that the cores can do
	Events       uint64  `json:"events"`
	AttemptsRead int     `json:"read"` // tries that a runner read
}

// unixOrigin is the Unix time at which a day in virtual time begins; any will do.
const unixOrigin wallclock.UnixMicro = 1_764_576_000_000_000

const (
	reportInterval     = time.Second            // of a runner to the roster
	loadReportInterval = 500 * time.Millisecond // of measured loads to balancers
	loadNoise          = 0.1
	connectTimeout     = time.Second            // after which a connection that nobody takes is given up
	linkDelay          = 50 * time.Microsecond  // between a runner and its engine
	backendDelay       = 300 * time.Microsecond // between a runner and the back end, one way
	checkTimeout       = time.Second            // a health check that takes longer is bad
	// of the rules' time limits, as on sockets (PROTOCOL grants 50 ms and the reading of answers)
	measuringTolerance = 100 * time.Millisecond
)

// Simulation is a day on which the parts of a fleet meet: machines, back end, roster, balancers, and
// runners behind Process.
type Simulation struct {
	day           *day.Day
	options       Options
	clock         virtualclock.Clock
	launch        Launch
	reportsItself bool // runners report to the roster by themselves
	origin        time.Duration
	unixOrigin    wallclock.UnixMicro
	account       *ledger.Ledger
	backend       *dependencies.Backend
	registry      *dependencies.Registry
	runners       []*runner
	balancers     []*balancer
	cutZone       int // hall that is cut off; -1: none
	attemptsRead  int
	messages      uint64
	attemptsNamed uint64
	closed        bool
}

// Play plays a day to its end, in virtual time, with runners in this process.
func Play(d *day.Day, opt Options) (*Run, error) {
	clock := virtualclock.New()
	s := NewSimulation(d, opt, clock, launchInProcess, false)
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

// NewSimulation sets up a day on a clock. Where runners listen, they report to the roster by themselves.
func NewSimulation(d *day.Day, opt Options, clock virtualclock.Clock, launch Launch, listens bool) *Simulation {
	s := &Simulation{
		day:           d,
		options:       opt,
		clock:         clock,
		launch:        launch,
		reportsItself: listens,
		cutZone:       -1,
		origin:        clock.Now(),
	}
	if opt.Log == nil {
		s.options.Log = func(time.Duration, string, string) {}
	}
	s.openAccount()
	s.backend = dependencies.NewBackend(s.clock, d.BackEnd)
	s.registry = dependencies.NewRegistry(s.clock)
	for i := range d.Runners {
		s.runners = append(s.runners, &runner{simulation: s, index: i, spec: &d.Runners[i]})
	}
	for i := range d.Balancers {
		s.balancers = append(s.balancers, s.newBalancer(i))
	}
	return s
}

// Start starts the runners.
func (s *Simulation) Start() error {
	for _, r := range s.runners {
		if err := r.start(false); err != nil {
			return err
		}
	}
	return nil
}

// IsReady tells whether all of them take requests.
func (s *Simulation) IsReady() bool {
	for _, r := range s.runners {
		if r.incarnation == nil || !r.incarnation.process.IsReady() {
			return false
		}
	}
	return true
}

// Begin begins the day at a Unix time.
func (s *Simulation) Begin(unix wallclock.UnixMicro) {
	s.origin, s.unixOrigin = s.clock.Now(), unix
	for _, r := range s.runners {
		for _, b := range s.balancers { // all know the fleet as the day begins
			b.policy.SetListed(r.index, true)
		}
	}
	s.scheduleArrival(0)
	s.reportLoads()
	for _, e := range s.day.Events {
		s.clock.After(e.At, func() { s.startFault(e) })
	}
}

// Duration is how long after its beginning the last request of the day is over.
func (s *Simulation) Duration() time.Duration {
	last := 0.0
	for _, c := range s.day.Spec.Classes {
		last = max(last, c.DeadlineMs)
	}
	return s.day.Length + millis(last+s.day.Spec.Fleet.SlackMs) + 2*connectTimeout
}

// Backend is the back end that all share.
func (s *Simulation) Backend() *dependencies.Backend { return s.backend }

// Find finds a try that a runner has read, and the runner.
func (s *Simulation) Find(name string) *Attempt {
	for _, r := range s.runners {
		if r.incarnation != nil {
			if j := r.incarnation.attempts[name]; j != nil {
				return j
			}
		}
	}
	return nil
}

// Incarnation finds the runner of a name that is up.
func (s *Simulation) Incarnation(name string) *Incarnation {
	for _, r := range s.runners {
		if r.spec.Name == name {
			return r.incarnation
		}
	}
	return nil
}

func (s *Simulation) openAccount() {
	spec, d := s.day.Spec, s.day
	var classes []ledger.Class
	var tenants []string
	for _, c := range spec.Classes {
		classes = append(
			classes,
			ledger.Class{Name: c.Name, LatencyObjective: millis(c.AimMs), Deadline: millis(c.DeadlineMs),
				PriorityWeight: c.Worth, LateWeightFraction: c.LateWorth},
		)
	}
	for _, t := range spec.Tenants {
		tenants = append(tenants, t.Name)
	}
	g := spec.Goal
	s.account = ledger.New(
		classes,
		tenants,
		ledger.Goal{Whole: g.Whole, WorstWindow: g.WorstWindow, WorstClass: g.WorstClass,
			WorstTenant: g.WorstTenant, OverWorth: g.OverWorth, Waste: g.Waste, LateFail: g.LateFail,
			Window: seconds(spec.WindowS)},
		d.Length,
	)
}

// Close ends the day and closes the account.
func (s *Simulation) Close() (*Run, error) {
	s.closed = true
	worked := 0.0
	for _, r := range s.runners {
		if worked += r.workDone; r.incarnation != nil {
			worked += r.incarnation.machine.WorkDone()
			r.incarnation.recordUnanswered("at the end of the day")
		}
	}
	for range s.backend.Crashes {
		s.account.AddViolation(ledger.BackendCrash, s.now(), "the back end fell over")
	}
	res, err := s.account.Close(worked)
	if err != nil {
		return nil, fmt.Errorf("fleet: day %d: %w", s.day.Seed, err)
	}
	return &Run{Result: res, Seed: s.day.Seed, RequestRate: s.day.Rate, Capacity: s.day.Capacity, AttemptsRead: s.attemptsRead}, nil
}

// millis and seconds convert the figures of scenarios, cut to whole microseconds.
func millis(ms float64) time.Duration { return virtualclock.FromMicros(ms * 1000) }
func seconds(s float64) time.Duration { return virtualclock.FromMicros(s * 1e6) }

// now is the time since the day began.
func (s *Simulation) now() time.Duration { return s.clock.Now() - s.origin }

// scheduleArrival lets the client of the next first try ask.
func (s *Simulation) scheduleArrival(i int) {
	if i == len(s.day.Arrivals) {
		return
	}
	a := &s.day.Arrivals[i]
	s.clock.After(a.At-s.now(), func() {
		s.account.AddRequest(
			a.ID,
			ledger.Request{
				At:      a.At,
				Class:   a.Class,
				Tenant:  a.Tenant,
				InShare: a.InShare,
				Work:    a.Work + s.readWork(),
			},
		)
		s.balancers[a.Balancer].submit(a)
		s.scheduleArrival(i + 1)
	})
}

func (s *Simulation) readWork() float64 { return s.day.Runners[0].Spec.ReadWork }

// networkDelay is how long a message takes between halls, and whether it arrives at all.
func (s *Simulation) networkDelay(from, to int) (time.Duration, bool) {
	if from != to && (from == s.cutZone || to == s.cutZone) {
		return 0, false
	}
	s.messages++
	d := s.day.Spec.Fleet.NearMs * 1000
	if from != to {
		d = s.day.CrossUs
	}
	return virtualclock.FromMicros(d * (0.9 + 0.2*day.Unit(s.day.Seed^s.options.BalancerSeed, "net", s.messages))), true
}

// startFault begins a trouble and sees to its end.
func (s *Simulation) startFault(e day.Event) {
	each := func(do func(r *runner)) {
		for _, i := range e.Runners {
			do(s.runners[i])
		}
	}
	after := func(do func()) { s.clock.After(e.For, do) }
	switch e.Kind {
	case day.Crash:
		each(func(r *runner) {
			r.kill("killed")
			r.restart(e.For)
		})
	case day.Slow:
		each(func(r *runner) { r.setSlowdown(e.Times) })
		after(func() { each(func(r *runner) { r.setSlowdown(1) }) })
	case day.Crawl:
		s.backend.SetSlowdown(e.Times)
		after(func() { s.backend.SetSlowdown(1) })
	case day.Pause:
		each(func(r *runner) { r.setFrozen(true) })
		after(func() { each(func(r *runner) { r.setFrozen(false) }) })
	case day.Drain:
		step := (e.For / time.Duration(max(len(e.Runners), 1))).Truncate(virtualclock.Resolution)
		for k, i := range e.Runners {
			s.clock.After(time.Duration(k)*step, s.runners[i].drain)
		}
	case day.CutHall:
		s.cutZone = e.Hall
		after(func() { s.cutZone = -1 })
	}
}

// reportLoads gives balancers that go by measured load what was measured, a little noisy.
func (s *Simulation) reportLoads() {
	s.clock.After(loadReportInterval, s.reportLoads)
	for _, b := range s.balancers {
		if !b.usesLoadReports {
			continue
		}
		for _, r := range s.runners {
			if r.incarnation != nil {
				n := day.Unit(s.day.Seed^s.options.BalancerSeed, "load"+strconv.Itoa(r.index), uint64(s.now().Microseconds()))
				g := r.incarnation.machine.Gauges()
				b.policy.Report(r.index, (g.CPU+g.Runnable/float64(r.spec.Spec.Cores))*(1+loadNoise*(2*n-1)))
			}
		}
	}
}

// The answers.
const (
	Served Status = iota + 1
	Rejected
	Failed
)

// StopMs is how long after the notice to leave a runner is stopped.
func (s *Simulation) StopMs() float64 { return s.day.Spec.Fleet.StopMs }

// IsOver tells whether the day's traffic has come and each first try has ended.
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
