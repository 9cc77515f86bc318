package cluster

import (
	"math"
	"math/rand/v2"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/waitqueue"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

const (
	// settleTime is how long the simulation goes on after the end of the day, so that all requests end.
	settleTime = 15 * time.Second
	// unixOrigin is the Unix time at the origin of the virtual clock.
	unixOrigin wallclock.UnixMicro = 1e15
)

// simulation simulates one day. It implements lifecycle.Runner over the simulated servers.
type simulation struct {
	spec      *Spec
	seed      uint64
	scheduler *virtualclock.Scheduler
	manager   *lifecycle.Manager
	picker    Picker
	queue     *waitqueue.Queue // nil: the mode has no bulkheads
	servers   []*server
	byName    map[string]*server
	listed    []endpointhealth.EndpointSpec
	inFlight  map[*lifecycle.Attempt]*inFlightAttempt
	clients   *rand.Rand // jitter of the clients' retries
	// submissions counts the submissions of all clients.
	submissions int
	// sendsFirstSentAt makes clients send the time of their first submission.
	sendsFirstSentAt bool
	stats            *stats
}

// Play simulates a day of a kind with a routing mode. The seed determines the day.
func Play(spec *Spec, seed uint64, mode string) (*Result, error) {
	s := &simulation{
		spec:      spec,
		seed:      seed,
		scheduler: virtualclock.New(),
		picker:    NewPicker(mode, spec, seed),
		byName:    map[string]*server{},
		inFlight:  map[*lifecycle.Attempt]*inFlightAttempt{},
		clients:   day.Stream(seed, "clients", 0),
		stats:     newStats(spec),
	}
	s.addServers()
	runner := s.addBulkheads(mode)
	var err error
	if s.manager, err = lifecycle.New(s.settings(mode), seed, s.environment(runner)); err != nil {
		return nil, err
	}
	s.manager.Start()
	s.every(endpointhealth.TickInterval, func() { s.picker.Tick(s.scheduler.Now()) })
	for _, fault := range spec.Faults {
		s.scheduleFault(fault)
	}
	s.startArrivals()
	s.scheduler.RunUntil(virtualclock.Origin + virtualclock.FromSeconds(spec.Seconds) + settleTime)
	return s.stats.result(seed, s.picker), nil
}

// addServers creates the servers and lists all but those that join later.
func (s *simulation) addServers() {
	for i := range s.spec.Servers {
		created := newServer(s.scheduler, s.spec, i, s.stats.countRun)
		s.servers = append(s.servers, created)
		s.byName[created.Name] = created
	}
	joining := 0
	for _, fault := range s.spec.Faults {
		if fault.Kind == FaultJoin {
			joining = int(math.Round(fault.Share * float64(s.spec.Servers)))
		}
	}
	for _, listed := range s.servers[joining:] {
		s.listed = append(s.listed, listed.EndpointSpec)
	}
	s.picker.SetEndpoints(s.listed, s.scheduler.Now())
}

// addBulkheads puts a queue with bulkheads in front of the servers if the mode has bulkheads. It returns the
// lifecycle.Runner to which the request lifecycle sends attempts.
func (s *simulation) addBulkheads(mode string) lifecycle.Runner {
	config := bulkheadConfig(mode, s.spec)
	if config == nil {
		return s
	}
	s.queue = waitqueue.New(waitqueue.Environment{
		Now:      s.scheduler.Now,
		Post:     func(fn func()) { s.scheduler.After(0, fn) },
		After:    func(d time.Duration, fn func()) { s.scheduler.After(d, fn) },
		Capacity: func() int { return s.picker.Capacity(s.scheduler.Now()) },
	}, managerSink{s})
	s.queue.SetNext(s)
	s.queue.Configure(config)
	s.sendsFirstSentAt = mode == bulkheadPrefix+objectiveMode
	return s.queue
}

// managerSink passes results on to simulation.manager, which does not exist yet when the queue is created.
type managerSink struct{ simulation *simulation }

// ResponseStarted implements lifecycle.Sink.
func (m managerSink) ResponseStarted(a *lifecycle.Attempt, r *lifecycle.Result) bool {
	return m.simulation.manager.ResponseStarted(a, r)
}

// AttemptEnded implements lifecycle.Sink.
func (m managerSink) AttemptEnded(a *lifecycle.Attempt, o lifecycle.Outcome, r *lifecycle.Result) {
	m.simulation.manager.AttemptEnded(a, o, r)
}

// environment returns the environment that connects the request lifecycle to the simulation.
func (s *simulation) environment(runner lifecycle.Runner) lifecycle.Environment {
	return lifecycle.Environment{
		Now:   s.scheduler.Now,
		Unix:  func() wallclock.UnixMicro { return unixOrigin.Add(s.scheduler.Now()) },
		After: func(d time.Duration, fn func()) func() { return s.scheduler.After(d, fn).Stop },
		Measure: func(fn func(lifecycle.Gauges)) {
			s.scheduler.After(networkDelay, func() { fn(lifecycle.UnknownGauges()) })
		},
		SetHealth: func(bool, bool) {},
		Advertise: func(float64) {},
		CloseIdle: func(time.Duration) {},
		Log:       func(*logging.Event, ...any) {},
		Route:     func(int) lifecycle.Runner { return runner },
		ShouldRetry: func(c lifecycle.RetryCandidate) bool {
			return s.picker.ShouldRetry(c, s.scheduler.Now())
		},
		RetryAfter: s.retryAfter,
		KeyLimits:  lifecycle.KeyLimits{Keys: 1 << 20, ResultBytes: 1 << 30},
	}
}

// retryAfter returns the Retry-After for a rejected request of a class.
func (s *simulation) retryAfter(class int) time.Duration {
	retryAfter := s.picker.RetryAfter(s.scheduler.Now())
	if s.queue != nil {
		return max(retryAfter, s.queue.RetryAfter(class))
	}
	return retryAfter
}

// settings returns the settings of the admission.
func (s *simulation) settings(mode string) admission.Settings {
	settings := admission.Settings{
		Servers:               1,
		Callers:               clientAddresses,
		Cores:                 s.spec.workers(),
		MemoryKB:              1e8,
		RunningMemoryFactor:   1,
		KeyMemoryKB:           0.1,
		CreditMode:            admission.CreditNone,
		ReportsAbandoned:      true,
		IdleConnectionTimeout: 30 * time.Second,
		MaxRetryAfter:         time.Second,
		OverQuotaWeight:       0.05,
		DeadlineGrace:         60 * time.Millisecond,
		DrainGrace:            time.Second,
		MaxRunningPerCore:     1000,
		MaxRunningWindow:      2 * time.Second,
		WarmUpInitialShare:    1,
		WarmUpTime:            time.Second,
		Tenants:               []admission.Tenant{{Name: "all", QuotaRate: 1e6}},
	}
	if reportsMoreCores(mode) {
		settings.Cores *= reportedCoresFactor
	}
	for _, c := range classes {
		class := admission.Class{
			Name:               c.Name,
			LatencyObjective:   virtualclock.FromMillis(c.LatencyObjective),
			Timeout:            virtualclock.FromMillis(c.Deadline),
			PriorityWeight:     c.PriorityWeight,
			LateWeightFraction: c.LateWeightFraction,
			Idempotency:        admission.Idempotent,
		}
		if c.Keyed {
			class.Idempotency = admission.IdempotentWithKey
			class.IdempotencyWindow = 13 * time.Second
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// every calls fn periodically, for the first time after one interval.
func (s *simulation) every(interval time.Duration, fn func()) {
	s.scheduler.After(interval, func() {
		fn()
		s.every(interval, fn)
	})
}

// at calls fn at a time of the day, in seconds.
func (s *simulation) at(second float64, fn func()) {
	s.scheduler.After(virtualclock.Origin+virtualclock.FromSeconds(second)-s.scheduler.Now(), fn)
}
