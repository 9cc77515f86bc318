package admission

import (
	"errors"
	"slices"
	"time"
)

const (
	// tickInterval is the time between two timer events. Deadlines are checked at each of them.
	tickInterval = 20 * time.Millisecond
	// controlPeriod is the time between two updates of the credit pool and the call limit.
	controlPeriod = 100 * time.Millisecond
)

// ErrRestartRequired reports changed settings that a running controller cannot adopt, since its
// queues and measured times depend on them.
var ErrRestartRequired = errors.New(
	"admission: changed classes, tenants, cores, memory factors, credit mode or dependency need a restart")

// Controller makes the admission decisions of one server. It is not safe for concurrent use: Handle
// is called from one goroutine at a time.
type Controller struct {
	settings   Settings
	parameters Parameters

	started     bool
	startedAt   time.Duration
	now         time.Duration // time of the events that are being handled
	periodStart time.Duration // when the last control period began

	requests  map[uint64]*request // all requests that are queued or in progress
	queues    []classQueue        // one for each class
	executing []*request          // requests that left their queue, in the order in which they left
	occupancy occupancy
	load      serverLoad
	memoryKB  float64 // used by requests and remembered keys
	keysKB    float64 // the part of memoryKB that remembered keys use
	runsKB    float64 // the part of memoryKB that requests use which are running or at a call

	credit      creditPool
	callers     callerTracker
	arrivals    arrivalStatistics
	retries     retryDetector
	quotaTokens []float64 // one token bucket for each tenant, in requests
	calls       dependencyCalls
	reusable    map[uint64]*request // completed reads whose result may be reused

	drain       drainState
	unhealthy   bool          // health checks fail because requests are read too late
	idleTimeout time.Duration // of idle connections, as last reported to the host

	actions []Action // results of the events that are being handled
}

// occupancy counts the requests that use the server, by what they use.
type occupancy struct {
	onCores int // running
	atCalls int // in a call, or waiting to place one
	reusing int // reads that are being answered from the result of another read
}

// onCoresWithOneMore is the number of requests that would use the cores if one more started.
func (o *occupancy) onCoresWithOneMore() float64 { return float64(o.onCores + o.reusing + 1) }

// serverLoad is the load of the cores as of the last gauges.
type serverLoad struct {
	cpu      float64 // busy fraction of the cores
	runnable float64 // requests that want a core; counted on between timers as runs enter and leave the cores
}

// New returns a controller for a server that starts with the first call of Handle. It returns a
// SettingError for a setting that is missing or out of range, and a ParameterError for a parameter
// out of its bounds. The seed is not used, since no decision is random.
func New(s Settings, _ uint64) (*Controller, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	parameters, err := s.Parameters.orDefault(defaultParameters)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		settings:    s,
		parameters:  parameters,
		requests:    map[uint64]*request{},
		queues:      make([]classQueue, len(s.Classes)),
		quotaTokens: make([]float64, len(s.Tenants)),
		reusable:    map[uint64]*request{},
		credit:      creditPool{size: float64(s.Cores), advertised: notAdvertised},
		calls:       newDependencyCalls(&s, &parameters),
	}
	for i := range c.quotaTokens {
		c.quotaTokens[i] = c.tenantQuota(i) * quotaBurst.Seconds()
	}
	return c, nil
}

// Handle processes the events up to now, in the order in which they happened. It appends the actions
// that the host has to carry out to out and returns the result.
func (c *Controller) Handle(now time.Duration, events []Event, out []Action) []Action {
	c.actions = out
	c.now = max(now, c.now)
	c.updateCallBudget()
	if !c.started {
		c.onStart()
	}
	for i := range events {
		c.handleEvent(&events[i])
	}
	c.placeCalls()
	c.dispatch()
	out, c.actions = c.actions, nil
	return out
}

// Configure applies changed settings while the server runs. Their classes have to come from
// [Settings.MergeClasses]. It returns an error of New for invalid settings, and ErrRestartRequired
// for a change of settings on which open requests and measured times depend.
func (c *Controller) Configure(s Settings) error {
	updated, err := New(s, 0)
	if err != nil {
		return err
	}
	if c.needsRestart(&s) {
		return ErrRestartRequired
	}
	added := len(s.Classes) - len(c.queues)
	c.queues = append(c.queues, make([]classQueue, added)...)
	s.WarmingUp = c.settings.WarmingUp // it describes the start of the process
	c.settings = s
	c.parameters = updated.parameters
	c.calls.meanLimit = updated.calls.meanLimit
	c.calls.maxBudgetSeconds = updated.calls.maxBudgetSeconds
	return nil
}

// needsRestart reports whether s differs from the settings in force in a setting that a running
// controller cannot change.
func (c *Controller) needsRestart(s *Settings) bool {
	sameClass := func(a, b Class) bool { return a.Name == b.Name && a.Idempotency == b.Idempotency }
	sameTenant := func(a, b Tenant) bool { return a.Name == b.Name }
	classCount := len(c.queues)
	return len(s.Classes) < classCount ||
		!slices.EqualFunc(s.Classes[:classCount], c.settings.Classes, sameClass) ||
		!slices.EqualFunc(s.Tenants, c.settings.Tenants, sameTenant) ||
		s.Cores != c.settings.Cores ||
		s.KeyMemoryKB != c.settings.KeyMemoryKB ||
		s.RunningMemoryFactor != c.settings.RunningMemoryFactor ||
		s.CreditMode != c.settings.CreditMode ||
		s.Dependency != c.settings.Dependency
}

func (c *Controller) handleEvent(e *Event) {
	switch e.Kind {
	case EventRequest:
		c.onArrival(e)
		return
	case EventTimer:
		c.onTimer(e)
		return
	case EventDrain:
		c.onDrain(e)
		return
	}
	r := c.requests[e.Request]
	if r == nil { // unknown, or already over
		return
	}
	switch e.Kind {
	case EventCompleted:
		c.onCompleted(r, e)
	case EventBlocked:
		c.onBlocked(r)
	case EventCallCompleted:
		c.onCallCompleted(r, e)
	case EventAbandoned:
		c.release(r)
	}
}

// onStart emits the first actions: health, idle timeout, credit and the first timer.
func (c *Controller) onStart() {
	c.started = true
	c.startedAt = c.now
	c.periodStart = c.now
	c.callers.returningShare = 1
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: true})
	c.updateIdleTimeout(c.readDelays().longestTarget)
	c.advertise()
	c.emit(Action{Kind: ActionTimer, Duration: tickInterval})
}

// onTimer reads the gauges, answers requests that have run out of time, and ends the control period
// when it is due.
func (c *Controller) onTimer(e *Event) {
	c.load = c.measuredLoad(&e.Gauges)
	c.updateFleetSaturation()
	c.expireKeys()
	c.answerExpired()
	if c.now >= c.periodStart+controlPeriod {
		c.endPeriod(c.now - c.periodStart)
		c.periodStart = c.now
	}
	c.emit(Action{Kind: ActionTimer, Duration: tickInterval})
}

// measuredLoad returns the load according to the gauges. If the host has none, it counts the running
// requests instead.
func (c *Controller) measuredLoad(gauges *Gauges) serverLoad {
	hasGauges := gauges.CPU >= 0 && gauges.Runnable >= 0 // false for NaN
	if hasGauges {
		return serverLoad{cpu: gauges.CPU, runnable: gauges.Runnable}
	}
	running := float64(c.occupancy.onCores)
	return serverLoad{cpu: running / float64(c.settings.Cores), runnable: running}
}

// endPeriod updates the idle timeout, call limit, health, credit and quotas at the end of a control
// period that lasted for elapsed.
func (c *Controller) endPeriod(elapsed time.Duration) {
	delay := c.readDelays()
	c.callers.expire(c.now)
	c.updateIdleTimeout(delay.longestTarget)
	c.updateCallLimit()
	c.updateHealth(delay.longestTarget)
	c.updateCredit(delay)
	c.advertise()
	c.refillQuotas(elapsed)
}

// coresBusy reports whether the cores are so busy that queueing delay means overload.
func (c *Controller) coresBusy() bool { return c.load.cpu > c.parameters.BusyCPU }

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) log(text string) { c.emit(Action{Kind: ActionLog, Text: "admission: " + text}) }

// setLogged sets a state of the controller and logs entered or left if the state changes.
func (c *Controller) setLogged(state *bool, on bool, entered, left string) {
	if *state == on {
		return
	}
	*state = on
	if on {
		c.log(entered)
	} else {
		c.log(left)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
