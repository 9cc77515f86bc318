package admission

// The decision module: what a server takes, runs and turns away. The ordinary path is Breakwater
// (OSDI 2020): a credit pool grows while queueing delay is under target and is cut past it; callers
// are told their parts.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// What the module goes by unless it is told otherwise: unit, origin (paper, design page; all others
// are ours) and reason. The bounds stand in figures.go.
var defaultParameters = Parameters{
	AdditiveIncrease: 0.001, // credits per caller and period; paper: additive growth, at least 1
	// of the excess; paper: 0.02 each network round trip, but a period is far longer
	MultiplicativeDecrease: 0.5,
	MinCutFactor:           0.5, // of the pool; paper: no cut takes more than half
	DelayTargetShare:       0.4, // of the aim left beside the run; paper: 40% of the objective
	// the same while nothing is turned away: others have room, an early cut leads there
	MinDelayTargetShare: 0.3,
	RejectDelayFactor:   2.0, // delay targets; paper: refusal past it
	BusyCPU:             0.9, // cpu gauge; design page: cut and refuse only above it
	MinCredit:           1.0, // credits: a trickle that shows when a server has recovered
	RetryTargetShare:    0.5, // of the target: what a marked further try gets of it
	// of arrivals: so many further tries are a storm, and get nothing of the target
	RetryStormShare: 0.25,
	// of arrivals: with fewer further tries others serve; with more a walk is in vain
	FewRetriesShare: 0.05,
	// expected runs: past it, under overload, stoppable work gives way to what waits
	OverrunFactor: 3.0,
	// expected runs: time for a start that cannot be stopped; one for one that can
	StartMarginFactor: 1.5,
	RunningLimitShare: 0.8, // of the crowd that the server outlives: room for what comes back at once
	RunMemoryShare:    0.9, // of the memory: runs start and keys are kept below it
	// of the memory: arrivals are refused past it; the rest is for what is read unasked
	QueueMemoryShare: 0.95,
	// of the stated share of the dependency: the most that is spent steadily on calls
	CallQuotaShare: 0.8,
	// of it: the least, however small; the rest is saved up for calls that take long
	MinCallQuotaShare:  0.2,
	SlowCallFactor:     2.5,   // best mean times of a call: past it the dependency is crowded
	CallLimitDecrease:  0.9,   // a period: how fast a crowded dependency is given room
	BestCallTimeGrowth: 1.003, // a call: how fast the best mean is forgotten
	LateCallWeight:     1e-6,  // of worth, for each second left: the order of requests that are late
	// of the aim: what would stand in line for a call for longer is refused at reading
	CallQueueShare: 0.07,
	// credits for each core: the least while calls stand in line and the cores are free
	IdleCreditPerCore: 3.0,
	MinCallLimitShare: 0.2,  // of the stated share: what the dependency works on at once
	AdvertiseStep:     0.02, // of the value last sent: smaller moves are not sent
}

// DefaultParameters are those that are built in.
func DefaultParameters() Parameters { return defaultParameters }

// What is built in.
const (
	// calls: a best is taken from no fewer, or one short first call would be it for good
	minCallSamples      = 10
	maxCallAttempts     = 6    // tries of one call: the layer below may have lost a third of its servers
	runTimeWeight       = 0.1  // weight of a new run or call in its mean
	longCallWeight      = 0.03 // weight of a new call in the mean of which the best is taken
	arrivalWeight       = 0.02 // weight of one arrival in the share of further tries
	readDelayDecay      = 0.98 // a period: as its unread line is forgotten, a server off the list returns
	commonWaitSlots     = 8    // waits remembered: more than callers have habits
	commonWaitMinWeight = 3.0  // of about the last 50 arrivals: a wait seen as often is usual

	// how late a deadline may be noticed; a third of the usual slack
	tickInterval  = 20 * time.Millisecond
	answerMargin  = tickInterval + tickInterval/4 // answers are given this long before they are due
	controlPeriod = 100 * time.Millisecond        // one step of the pool, about a third of a usual run
	// a wait in line for a call that counts as want of capacity
	callCongestionDelay = 2 * controlPeriod
	callBackoff         = 50 * time.Millisecond  // before a call that was turned away is tried again
	waitTolerance       = 30 * time.Millisecond  // a wait further off a caller's usual tells a further try
	stopMargin          = 200 * time.Millisecond // answers are out this long before the process is stopped
	// design page: callers heard in about so long share the pool
	callerActiveTime = time.Second
	callerTableSize  = 2048 // callers told apart
	callerSlots      = int(callerActiveTime/controlPeriod) + 1
	// of a tenant's rate that may come at once and be in its share
	quotaBurst        = 2 * time.Second
	minReturningShare = 0.5 // of arrivals: with fewer returning in time, keep short
	// of arrivals: with so many turned away no other server has room
	fullRejectedShare = 0.5
	// idle connections take cores; as much by then as a new one
	defaultIdleTimeout = 5 * time.Second
	shortIdleTimeout   = 200 * time.Millisecond // where callers seldom return in time for that
)

type state uint8

const (
	queued         state = iota
	running              // on the cores, or waiting for disk
	awaitingCall         // at a call that is not placed yet
	inCall               // its call is out
	awaitingResult       // waits for the run of another of its subject
	reusingResult        // answered from the result of another request
)

// request is what the module knows of one request until its run is over.
type request struct {
	id                                        uint64
	class, callAttempts, waiters              int // sharers: how many wait for its result
	state                                     state
	answered, mayHaveRun, keyRemembered       bool
	retried, shareable                        bool
	resultSource                              *request // whose result it waits for
	arrived, deadline, objectiveAt, startedAt time.Duration
	nextCallAt, keyExpiresAt                  time.Duration // no call before the one, key remembered to the other
	expectedWork                              time.Duration
	sizeKB                                    float64
}

// classQueue is the line of held requests of one class, as they were read, and what is known of the
// class's runs.
type classQueue struct {
	requests         []*request
	meanRunTime      float64    // seconds that a run takes
	meanExpectedWork float64    // mean hint of those runs, in seconds
	keyExpiry        []*request // whose keys are remembered, oldest first
}

// commonWait is a share of the deadline that first tries wait at some callers, and how often it was seen
// of late.
type commonWait struct{ fraction, weight float64 }

// Controller decides for one server. It is not safe for concurrent use: Handle is called from one
// goroutine.
type Controller struct {
	settings       Settings
	parameters     Parameters
	requests       map[uint64]*request
	queues         []classQueue
	executing      []*request                     // running, at a call, joined or reusing
	callLine       []*request                     // blocked, in order
	callers        [callerTableSize]time.Duration // when each was last heard, by part of its number
	quotaTokens    []float64                      // tokens of each tenant
	lingering      []time.Duration
	reusable       map[uint64]*request // reads that ended well and whose result may still be shared
	usual          [commonWaitSlots]commonWait
	slots          [callerSlots]int // callers by when they were last heard
	slotAt, heardN int              // the slot of now, and the sum of all

	started, draining, overloaded, unhealthy bool
	startedAt, now, periodStart, idleTimeout time.Duration
	drainAt, stopAt, paidAt                  time.Duration
	pool, said                               float64
	// shares: callers heard, further, refused; how full others are
	returns, further, turned, crowded float64
	// mean unread wait in ns; arrivals of late and in all
	unread, readNow, readAll float64
	// last gauges; load is kept up to date between timers
	cpu, load float64
	// sharing: reads that are being answered from another's result
	onCores, atCalls, inHand, sharing int
	callMost, callLimit               float64 // calls that may be in hand, as a mean and now
	callTime, callStock               float64 // seconds for which they may, and the most saved up
	// calls that ended, and the seconds that one takes of late
	calls, callMean             float64
	callLong, callVar, callBest float64 // over longer, its spread, and the lowest it may be
	memoryKB                    float64
	actions                     []Action
}

// New returns a controller for a server that starts now. It reports a setting that it cannot do
// without.
func New(s Settings, _ uint64) (*Controller, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	aim, over := 0.0, s.CallQuotaWindow.Seconds()
	for _, c := range s.Classes {
		if !c.Removed {
			aim = max(aim, c.LatencyObjective.Seconds())
		}
	}
	c := &Controller{settings: s, requests: map[uint64]*request{}, reusable: map[uint64]*request{},
		queues: make([]classQueue, len(s.Classes)), quotaTokens: make([]float64, len(s.Tenants)), said: -1}
	var err error
	if c.parameters, err = s.Parameters.orDefault(defaultParameters); err != nil {
		return nil, err
	}
	for i := range c.quotaTokens {
		c.quotaTokens[i] = c.tenantQuota(i) * quotaBurst.Seconds()
	}
	c.pool = float64(s.Cores)
	c.callMost = max(min(s.CallQuota-aim/over, c.parameters.CallQuotaShare*s.CallQuota), c.parameters.MinCallQuotaShare*s.CallQuota)
	c.callStock = (s.CallQuota - c.callMost) / 2 * over // as much again may be overdrawn
	c.callLimit = max(c.callMost, 1)
	return c, nil
}

// Handle takes what happened up to now and appends what is to be done to out.
func (c *Controller) Handle(now time.Duration, events []Event, out []Action) []Action {
	c.actions, c.now = out, max(now, c.now)
	c.accountCallTime()
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

// Configure takes changed settings while the server runs, laid over those in force by After. Its
// tenants and cores have to be those it began with, since what it holds and has learned goes by
// them.
func (c *Controller) Configure(s Settings) error {
	fresh, err := New(s, 0)
	if err != nil {
		return err
	}
	same := func(a, b Class) bool { return a.Name == b.Name && a.Idempotency == b.Idempotency }
	named := func(a, b Tenant) bool { return a.Name == b.Name }
	n := len(c.queues)
	if len(s.Classes) < n || !slices.EqualFunc(s.Classes[:n], c.settings.Classes, same) ||
		!slices.EqualFunc(s.Tenants, c.settings.Tenants, named) || s.Cores != c.settings.Cores ||
		s.KeyMemoryKB != c.settings.KeyMemoryKB || s.RunningMemoryFactor != c.settings.RunningMemoryFactor ||
		s.CreditMode != c.settings.CreditMode || s.Dependency != c.settings.Dependency {
		return fmt.Errorf("admission: other classes, tenants, cores or another way of working need a restart")
	}
	c.queues = append(c.queues, make([]classQueue, len(s.Classes)-n)...)
	s.WarmingUp = c.settings.WarmingUp // it tells of the start
	c.settings, c.parameters, c.callMost, c.callStock = s, fresh.parameters, fresh.callMost, fresh.callStock
	return nil
}

func (c *Controller) onStart() {
	c.started, c.startedAt, c.periodStart, c.returns = true, c.now, c.now, 1
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: true})
	c.adjustIdleTimeout(1)
	c.advertise()
	c.emit(Action{Kind: ActionTimer, Duration: tickInterval})
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) log(text string) { c.emit(Action{Kind: ActionLog, Text: "admission: " + text}) }

func (c *Controller) handleEvent(e *Event) {
	switch r := c.requests[e.Request]; {
	case e.Kind == EventRequest:
		c.onArrival(e)
	case e.Kind == EventTimer:
		c.onTimer(e)
	case e.Kind == EventDrain:
		c.onDrain(e)
	case r == nil:
	case e.Kind == EventCompleted:
		c.onCompleted(r, e)
	case e.Kind == EventBlocked:
		if r.state == running {
			c.onCores--
			c.load--
			c.atCalls++
			r.state, r.callAttempts, r.nextCallAt = awaitingCall, 0, c.now
			c.callLine = append(c.callLine, r)
		}
	case e.Kind == EventCallCompleted:
		c.onCallCompleted(r, e)
	case e.Kind == EventAbandoned:
		c.release(r)
	}
}

// onArrival decides on a request that was just read: repeat, refuse, or hold.
func (c *Controller) onArrival(e *Event) {
	if c.requests[e.Request] != nil {
		return
	}
	c.onCallerHeard(e.Caller)
	c.readNow, c.readAll = c.readNow+1, c.readAll+1
	r := &request{id: e.Request, expectedWork: e.ExpectedWork, arrived: c.now - max(e.QueueingDelay, 0)}
	if r.sizeKB = e.SizeKB; !(r.sizeKB > 0) || math.IsInf(r.sizeKB, 0) {
		r.sizeKB = 0
	}
	c.requests[r.id] = r
	c.memoryKB += r.sizeKB
	c.unread += runTimeWeight * (float64(c.now-r.arrived) - c.unread)
	if r.deadline = c.now; e.Class >= 0 && e.Class < len(c.queues) { // one of no class is shut out below
		r.class, r.deadline = e.Class, e.Deadline
	}
	class := &c.settings.Classes[r.class]
	if r.deadline <= 0 {
		r.deadline = r.arrived + class.Timeout
	}
	age := c.requestAge(r.class, r.deadline-r.arrived)
	r.retried = e.Retry || !c.settings.MarksRetries && age > 0
	r.objectiveAt = r.arrived + class.LatencyObjective + time.Duration(class.ObjectiveWorkFactor*float64(r.expectedWork))
	if r.retried {
		r.objectiveAt -= age
	}
	r.objectiveAt = min(r.objectiveAt, r.deadline)
	c.enqueue(r)
	// what it repeats may have run: never started nor refused
	r.mayHaveRun = e.PriorRequest != 0 && class.Idempotency == IdempotentWithKey
	shut := c.arrivedAfterDrain(r) || c.memoryKB > c.parameters.QueueMemoryShare*c.settings.MemoryKB || r.deadline <= c.now+answerMargin
	r.shareable = class.Idempotency == Idempotent && e.Key != 0 && !e.Write && c.settings.ResultMaxAge > 0
	switch {
	case shut:
		c.reject(r, 0, false, c.rejectionOnRead(r))
	case r.mayHaveRun:
		c.reuseResult(r)
	case !(r.shareable && c.joinRun(r, e.PriorRequest)):
		c.admit(r, e)
	}
}

// rejectionOnRead is why a request is not taken in.
func (c *Controller) rejectionOnRead(r *request) Action {
	switch {
	case c.arrivedAfterDrain(r):
		return because(CauseDraining, (r.arrived - c.drainAt).Seconds(), c.settings.DrainGrace.Seconds())
	case c.memoryKB > c.parameters.QueueMemoryShare*c.settings.MemoryKB:
		return because(CauseMemory, c.memoryKB, c.parameters.QueueMemoryShare*c.settings.MemoryKB)
	}
	return because(CauseDeadlineTooNear, (r.deadline - c.now).Seconds(), answerMargin.Seconds())
}

// arrivedAfterDrain reports whether r came after the drain's grace, so that it must not start; a repeat does not
// start.
func (c *Controller) arrivedAfterDrain(r *request) bool {
	return c.draining && !r.mayHaveRun && r.arrived > c.drainAt+c.settings.DrainGrace
}

// admit refuses an arrival past twice the delay target, without hope, or past a tenant's share
// under load.
func (c *Controller) admit(r *request, e *Event) {
	class := &c.settings.Classes[r.class]
	delay, target := max(c.queueingDelay(r.class), c.now-r.arrived), c.delayTarget(r.class)
	c.further, c.turned = c.further*(1-arrivalWeight), c.turned*(1-arrivalWeight)
	if r.retried {
		c.further += arrivalWeight
	}
	if e.Retry { // it may have failed for being long, and a storm must not crowd out first tries
		target = time.Duration(c.parameters.RetryTargetShare * max(1-c.further/c.parameters.RetryStormShare, 0) * float64(target))
	}
	switch {
	// The dependency is the same wherever a caller walks to. What needs none of it is to come all
	// the same.
	case class.CallsDependency && !(c.cpu > c.parameters.BusyCPU) &&
		float64(c.estimatedCallWait(r.class)) > c.parameters.CallQueueShare*float64(class.LatencyObjective):
		w := because(CauseCallQueue, c.estimatedCallWait(r.class).Seconds(), c.parameters.CallQueueShare*class.LatencyObjective.Seconds())
		c.reject(r, 0, true, w)
	case c.saturated(r.class) && float64(delay) > c.parameters.RejectDelayFactor*float64(target):
		w := because(CauseQueueingDelay, delay.Seconds(), c.parameters.RejectDelayFactor*target.Seconds())
		c.reject(r, delay-target, r.retried || c.further > c.parameters.FewRetriesShare || c.crowded >= 1, w)
	case c.saturated(r.class) && c.missesObjective(r, c.queueWait(r)):
		c.reject(r, 0, r.retried || c.further > c.parameters.FewRetriesShare || c.crowded >= 1, because(CauseObjectiveUnreachable, 0, 0))
	case !c.takeQuotaToken(e.Tenant) && c.saturated(r.class) && delay > target:
		c.reject(r, 0, true, because(CauseQuota, delay.Seconds(), target.Seconds()))
	default:
		c.rememberKey(r)
	}
}

// queueingDelay is the oldest held wait of a class, its unread time included, and the wait in line for a
// call.
func (c *Controller) queueingDelay(class int) (wait time.Duration) {
	if c.settings.Classes[class].CallsDependency {
		wait = c.callQueueDelay()
	}
	if line := c.queues[class].requests; len(line) > 0 {
		wait += c.now - line[0].arrived
	}
	return wait
}

// delayTarget is the class's delay target: a share of what its aim leaves beside the run.
func (c *Controller) delayTarget(class int) time.Duration {
	aim := c.settings.Classes[class].LatencyObjective
	run := time.Duration(c.queues[class].meanRunTime * float64(time.Second))
	share := c.parameters.MinDelayTargetShare + (c.parameters.DelayTargetShare-c.parameters.MinDelayTargetShare)*c.crowded
	return time.Duration(share * float64(max(aim-run, aim/4)))
}

// expectedRunTime is how long r would run, from the runs of its class.
func (c *Controller) expectedRunTime(r *request) time.Duration {
	h := &c.queues[r.class]
	took := h.meanRunTime
	// a part of every run is waiting, so half of it does not grow with the hint
	if r.expectedWork > 0 && h.meanExpectedWork > 0 {
		took *= (1 + r.expectedWork.Seconds()/h.meanExpectedWork) / 2
	}
	return time.Duration(min(took, 1e6) * float64(time.Second))
}

// commonWait is how long those held beside r take to start: what has no hope is told so while others have
// room.
func (c *Controller) queueWait(r *request) time.Duration {
	work := -c.queues[r.class].meanRunTime // it is held itself
	for i := range c.queues {
		work += float64(len(c.queues[i].requests)) * c.queues[i].meanRunTime
	}
	return time.Duration(work / float64(max(c.onCores+c.atCalls, c.settings.Cores)) * float64(time.Second))
}

// missesObjective reports that r, if it waits for so long, cannot be answered while its answer has worth.
func (c *Controller) missesObjective(r *request, wait time.Duration) bool {
	if !c.saturated(r.class) { // a guess must not turn work away where there is room for it
		return r.deadline <= c.now+answerMargin
	}
	end := r.deadline - answerMargin
	if c.settings.Classes[r.class].LateWeightFraction == 0 {
		end = min(end, r.objectiveAt)
	}
	run := float64(c.expectedRunTime(r))
	if c.settings.Cancel == CancelNone { // what turns out to be late takes its cores to the end
		run *= c.parameters.StartMarginFactor
	}
	return c.now+wait+time.Duration(run) > end
}

// retryIsFutile reports that r, hopeless here, is so elsewhere: others are full too, or less than a run is
// left.
func (c *Controller) retryIsFutile(r *request) bool {
	return c.crowded > c.parameters.FewRetriesShare || r.objectiveAt < c.now+c.expectedRunTime(r)
}

// tenantQuota is a tenant's part of this server, in requests a second.
func (c *Controller) tenantQuota(tenant int) float64 {
	return c.settings.Tenants[tenant].QuotaRate / float64(max(c.settings.Servers, 1))
}

// takeQuotaToken takes a token of a tenant's share, and reports whether there was one; without shares there
// is.
func (c *Controller) takeQuotaToken(tenant int) bool {
	if tenant < 0 || tenant >= len(c.quotaTokens) || c.settings.Tenants[tenant].QuotaRate <= 0 {
		return true
	}
	if c.quotaTokens[tenant] < 1 {
		return false
	}
	c.quotaTokens[tenant]--
	return true
}

// onCallerHeard counts a caller among those that share the pool, and notes whether it returned within
// defaultIdleTimeout.
func (c *Controller) onCallerHeard(id uint32) {
	last := c.callers[id%callerTableSize]
	c.callers[id%callerTableSize] = c.now
	c.expireCallers()
	if slot := int(last / controlPeriod); last > 0 && slot > c.slotAt-callerSlots {
		c.slots[slot%callerSlots]--
		c.heardN--
	}
	c.slots[c.slotAt%callerSlots]++
	c.heardN++
	c.returns *= 1 - arrivalWeight
	if last > 0 && c.now-last < defaultIdleTimeout {
		c.returns += arrivalWeight
	}
}

// requestAge tells from the time left how long ago a request was first tried. First tries wait the same
// share of the deadline at all callers of one habit, so that few shares come again and again,
// whoever calls; further tries have a little less than one of these or, where tries are cut short,
// what is left of the client's patience. It guards against late work that looks fresh. Where waits
// vary by themselves none is usual.
func (c *Controller) requestAge(class int, left time.Duration) time.Duration {
	deadline := float64(c.settings.Classes[class].Timeout)
	near, part := float64(waitTolerance)/deadline, float64(left)/deadline
	match, least, known, above := -1, 0, false, math.Inf(1)
	for i := range c.usual {
		w := &c.usual[i]
		w.weight *= 1 - arrivalWeight
		if w.weight < c.usual[least].weight {
			least = i
		}
		if math.Abs(w.fraction-part) < near && (match < 0 || w.weight > c.usual[match].weight) {
			match = i
		}
		if w.weight >= commonWaitMinWeight {
			known = true
			if w.fraction > part {
				above = min(above, w.fraction)
			}
		}
	}
	if match < 0 {
		match = least
		c.usual[least] = commonWait{fraction: part}
	}
	c.usual[match].weight++
	if !known || c.usual[match].weight >= commonWaitMinWeight {
		return 0
	}
	return time.Duration((min(above, max(part, 1)) - part) * deadline)
}

// answer is the one place that gives a final answer. It drops what does not run.
func (c *Controller) answer(r *request, a Action) {
	if r.answered {
		return
	}
	a.Request = r.id
	c.emit(a)
	c.release(r)
}

// release ends the interest in a request: what does not run is dropped, what runs is stopped if it
// can be.
func (c *Controller) release(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	switch r.state {
	case queued, awaitingResult, reusingResult:
		c.forgetKey(r)
		c.remove(r)
	case running:
		if c.settings.Cancel != CancelNone && r.waiters == 0 {
			c.recordRunTime(r) // or the mean would fall with each run stopped for being long
			c.emit(Action{Kind: ActionCancel, Request: r.id})
		}
	case awaitingCall:
		c.resumeAfterCall(r)
	default: // its call is in the dependency's hands until its end, or that of its run, is reported
	}
}

// reject turns a held request away. What ran, or waits for what ran, is failed: an effect is never
// refused.
func (c *Controller) reject(r *request, away time.Duration, last bool, w Action) {
	if r.state != queued || r.mayHaveRun {
		c.fail(r, w)
		return
	}
	c.turned, away = c.turned+arrivalWeight, max(away, tickInterval) // a client is told when to come back
	w.Kind, w.Duration, w.NoRetry = ActionReject, min(away, c.settings.MaxRetryAfter), last
	c.answer(r, w)
}

func (c *Controller) fail(r *request, w Action) {
	w.Kind = ActionFail
	c.answer(r, w)
}

// startRun is the one place that starts a request.
func (c *Controller) startRun(r *request) bool {
	memory := c.memoryKB + r.sizeKB*(c.settings.RunningMemoryFactor-1)
	if r.state != queued || r.mayHaveRun || r.answered || c.arrivedAfterDrain(r) || memory > c.parameters.RunMemoryShare*c.settings.MemoryKB {
		return false
	}
	c.removeFrom(&c.queues[r.class].requests, r)
	c.memoryKB = memory
	r.state, r.mayHaveRun, r.startedAt = running, true, c.now
	c.executing = append(c.executing, r)
	c.onCores++
	c.load++
	c.emit(Action{Kind: ActionStart, Request: r.id})
	return true
}

// dispatch starts held requests as far as pool, cores and memory allow.
func (c *Controller) dispatch() {
	c.reuseResults()
	for {
		r := c.nextQueued()
		if r == nil {
			return
		}
		if c.missesObjective(r, 0) {
			c.reject(r, 0, c.retryIsFutile(r), because(CauseObjectiveUnreachable, 0, 0))
			continue
		}
		if !c.hasRoom() || !c.startRun(r) {
			return
		}
	}
}

// nextQueued is the held request to start: that of the longest wait, in which each second counts by the
// worth.
func (c *Controller) nextQueued() *request {
	var best *request
	most := -1.0
	for i := range c.queues {
		if line := c.queues[i].requests; len(line) > 0 && !c.callsCongested(i) {
			if w := float64(c.now-line[0].arrived) * c.settings.Classes[i].PriorityWeight; w > most {
				best, most = line[0], w
			}
		}
	}
	return best
}

// hasRoom reports whether one more may run: up to the cores always, up to the pool while a core is
// free.
func (c *Controller) hasRoom() bool {
	crowd := c.runningLimit()
	all := float64(c.onCores + c.atCalls + c.sharing + 1) // calls may all return at once
	if float64(c.onCores+c.sharing+1) > crowd || all > crowd/c.parameters.RunningLimitShare {
		return false
	}
	return c.onCores < c.settings.Cores || float64(c.onCores) < c.pool && c.load < float64(c.settings.Cores)
}

// runningLimit is the number of running requests that the server, as cold as it may be, outlives with
// ease.
func (c *Controller) runningLimit() float64 {
	share := 1.0
	if c.settings.WarmingUp && c.settings.WarmUpTime > 0 {
		share = min(c.settings.WarmUpInitialShare+(1-c.settings.WarmUpInitialShare)*float64(c.now-c.startedAt)/float64(c.settings.WarmUpTime), 1)
	}
	return max(float64(c.settings.Cores)*(1+(c.settings.MaxRunningPerCore-1)*share)*c.parameters.RunningLimitShare, 1)
}

// joinRun lets a read share the run of another of its subject. It costs no run, so delay does not
// refuse it.
func (c *Controller) joinRun(r *request, prior uint64) bool {
	o := cmp.Or(c.requests[prior], c.reusable[prior])
	if o == nil || !o.keyRemembered || o.class != r.class {
		return false
	}
	c.removeFrom(&c.queues[r.class].requests, r)
	r.state, r.resultSource = awaitingResult, o
	o.waiters++
	c.executing = append(c.executing, r)
	return true
}

// fraction lets those that wait for a read which failed or was dropped run themselves.
func (c *Controller) detachWaiters(o *request) {
	for i := len(c.executing) - 1; o.waiters > 0 && i >= 0; i-- {
		if r := c.executing[i]; r.resultSource == o && r.state == awaitingResult {
			c.removeFrom(&c.executing, r)
			r.state, r.resultSource = queued, nil
			line := &c.queues[r.class].requests
			*line = slices.Insert(*line, 0, r)
			c.rememberKey(r)
		}
	}
}

// reuseResults answers from results that are there, a few at a time: each is on the cores for a
// while.
func (c *Controller) reuseResults() {
	for i := 0; len(c.reusable) > 0 && i < len(c.executing) && float64(c.onCores+c.sharing+1) <= c.runningLimit(); i++ {
		if r := c.executing[i]; r.state == awaitingResult && c.reusable[r.resultSource.id] != nil && c.now <= r.resultSource.keyExpiresAt {
			r.state = reusingResult
			c.sharing++
			c.emit(Action{Kind: ActionReuseResult, Request: r.id})
		}
	}
}

// reuseResult answers r from the request that it repeats.
func (c *Controller) reuseResult(r *request) {
	c.removeFrom(&c.queues[r.class].requests, r)
	r.state = reusingResult
	c.executing = append(c.executing, r)
	c.emit(Action{Kind: ActionReuseResult, Request: r.id})
}

// rememberKey remembers a keyed request for its whole window, or refuses it for want of memory, and a read
// to share.
func (c *Controller) rememberKey(r *request) {
	class := &c.settings.Classes[r.class]
	scarce := c.memoryKB+c.settings.KeyMemoryKB > c.parameters.RunMemoryShare*c.settings.MemoryKB
	if class.Idempotency == IdempotentWithKey && scarce {
		c.reject(r, 0, false, because(CauseKeyMemory, c.memoryKB, c.parameters.RunMemoryShare*c.settings.MemoryKB))
	} else if class.Idempotency == IdempotentWithKey || r.shareable && !scarce {
		r.keyRemembered = true
		c.memoryKB += c.settings.KeyMemoryKB
		last := r.deadline - c.now + c.settings.ResultMaxAge
		if class.Idempotency == IdempotentWithKey {
			last = class.IdempotencyWindow
			c.scheduleKeyExpiry(r, c.now+last)
		}
		c.emit(Action{Kind: ActionRememberKey, Request: r.id, Duration: last})
	}
}

// scheduleKeyExpiry lets r's key go at a time that comes later for each next request of the class.
func (c *Controller) scheduleKeyExpiry(r *request, at time.Duration) {
	r.keyExpiresAt = at
	c.queues[r.class].keyExpiry = append(c.queues[r.class].keyExpiry, r)
}

// expireKeys gives back the memory of keys whose time is over. That of a held request has yet to begin
// to count.
func (c *Controller) expireKeys() {
	for i := range c.queues {
		for h := &c.queues[i]; len(h.keyExpiry) > 0 && h.keyExpiry[0].keyExpiresAt < c.now-tickInterval; {
			r, last := h.keyExpiry[0], c.settings.Classes[i].IdempotencyWindow
			if h.keyExpiry = h.keyExpiry[1:]; r.keyRemembered && r.state == queued {
				c.scheduleKeyExpiry(r, c.now+last)
				c.emit(Action{Kind: ActionRememberKey, Request: r.id, Duration: last})
			} else {
				c.forgetKey(r)
			}
		}
	}
}

// forgetKey drops r's key. That of a keyed request goes before it runs or by itself.
func (c *Controller) forgetKey(r *request) {
	if !r.keyRemembered {
		return
	}
	r.keyRemembered = false
	c.memoryKB -= c.settings.KeyMemoryKB
	delete(c.reusable, r.id)
	if r.shareable || r.state == queued {
		c.emit(Action{Kind: ActionForgetKey, Request: r.id})
	}
	c.detachWaiters(r)
}

// onCompleted ends a run.
func (c *Controller) onCompleted(r *request, e *Event) {
	if r.state == queued || r.state == awaitingResult {
		return
	}
	if e.Outcome == OutcomeCancelled && !r.answered { // stopped without an answer: it may not start again
		c.fail(r, because(CauseCancelled, 0, 0))
	}
	if r.state == running && e.Outcome == OutcomeOK {
		c.recordRunTime(r)
	}
	if r.shareable && r.keyRemembered && r.state == running && e.Outcome == OutcomeOK {
		c.reusable[r.id] = r
		c.scheduleKeyExpiry(r, c.now+c.settings.ResultMaxAge)
	} else if r.shareable {
		c.forgetKey(r)
	}
	c.remove(r)
}

func (c *Controller) recordRunTime(r *request) {
	h, took := &c.queues[r.class], (c.now - r.startedAt).Seconds()
	if h.meanRunTime == 0 {
		h.meanRunTime, h.meanExpectedWork = took, r.expectedWork.Seconds()
	}
	h.meanRunTime, h.meanExpectedWork = h.meanRunTime+runTimeWeight*(took-h.meanRunTime), h.meanExpectedWork+runTimeWeight*(r.expectedWork.Seconds()-h.meanExpectedWork)
}

// adjustIdleTimeout closes idle connections soon where callers return too late to use them: else a crowd fills
// the table. Where requests come too fast to be read, a full table keeps out what would only cost a
// handshake.
func (c *Controller) adjustIdleTimeout(target float64) {
	keep := defaultIdleTimeout
	switch {
	case c.settings.HandshakeCost > 0 && c.cpu < c.parameters.BusyCPU: // idle ones take only cores that nobody wants
		keep = c.settings.IdleConnectionTimeout
	case c.returns < minReturningShare && c.unread < target:
		keep = shortIdleTimeout
	}
	if keep = min(keep, c.settings.IdleConnectionTimeout); keep != c.idleTimeout {
		c.idleTimeout = keep
		c.emit(Action{Kind: ActionCloseIdle, Duration: keep})
	}
}

// adjustCallLimit moves the number of calls in the dependency's hands by the time that they take: a
// crowded one gets less done. One slow for another reason is held back for nothing, to what it
// works on at once.
func (c *Controller) adjustCallLimit() {
	if c.calls < minCallSamples {
		return
	}
	next := c.callLimit + 1 - c.parameters.CallLimitDecrease
	if c.callMean > c.parameters.SlowCallFactor*c.callBest {
		next = c.callLimit * c.parameters.CallLimitDecrease
	}
	c.callLimit = max(min(next, c.callMost), c.parameters.MinCallLimitShare*c.settings.CallQuota, 1)
}

// mayPlaceCall reports whether one more call may be placed: by their number, and by the time for which
// calls may be in hand, so that a share of less than one call, as each of hundreds may have, is a
// share of time.
func (c *Controller) mayPlaceCall() bool {
	if c.settings.Dependency != DependencyShared {
		return true
	}
	// twice a usual call and its linger
	need := min(c.callMean+c.settings.AbandonedCallTime.Seconds()/2, c.callStock)
	return float64(c.inHand+len(c.lingering)+1) <= c.callLimit && c.callTime >= need
}

// accountCallTime keeps the time for which calls may be in hand: the share over time, less those that are.
func (c *Controller) accountCallTime() {
	n := float64(c.inHand + len(c.lingering))
	c.callTime, c.paidAt = min(c.callTime+(c.callMost-n)*(c.now-c.paidAt).Seconds(), c.callStock), c.now
	for len(c.lingering) > 0 && c.lingering[0] <= c.now {
		c.lingering = c.lingering[1:]
	}
}

// callQueueDelay is how long the oldest call that may still be in time has waited for its turn.
func (c *Controller) callQueueDelay() time.Duration {
	for _, r := range c.callLine {
		if r.state == awaitingCall && !r.answered && r.objectiveAt > c.now {
			return c.now - r.nextCallAt
		}
	}
	return 0
}

// estimatedCallWait is how long a call of the class would wait for its turn behind those that go before it.
func (c *Controller) estimatedCallWait(class int) time.Duration {
	n, worth := 0, c.settings.Classes[class].PriorityWeight
	for _, r := range c.callLine {
		if r.state == awaitingCall && !r.answered && r.objectiveAt > c.now && c.settings.Classes[r.class].PriorityWeight >= worth {
			n++
		}
	}
	return time.Duration(float64(n) * c.callMean / c.callLimit * float64(time.Second))
}

// callsCongested reports that requests of a class would stand in line for the dependency; others need not
// wait.
func (c *Controller) callsCongested(class int) bool {
	return c.settings.Classes[class].CallsDependency && c.callQueueDelay() > callCongestionDelay
}

// saturated reports a want of capacity for a class: busy cores (design page) or, ours, a line for calls.
func (c *Controller) saturated(class int) bool {
	return c.cpu > c.parameters.BusyCPU || c.callsCongested(class)
}

// placeCalls places waiting calls as far as the share goes: by worth those still in their aim, then
// others.
func (c *Controller) placeCalls() {
	over := func(r *request) bool { return r.state != awaitingCall || r.answered }
	c.callLine = slices.DeleteFunc(c.callLine, over)
	for c.mayPlaceCall() {
		best, most := -1, 0.0
		for i, r := range c.callLine {
			if w := c.callWeight(r); r.nextCallAt <= c.now && w > most {
				best, most = i, w
			}
		}
		if best < 0 {
			return
		}
		r := c.callLine[best]
		c.callLine = slices.Delete(c.callLine, best, best+1)
		c.placeCall(r)
	}
}

// callWeight is what a request is worth that waits for a call. Of late ones the latest read has most
// hope.
func (c *Controller) callWeight(r *request) float64 {
	class, back := &c.settings.Classes[r.class], c.now+time.Duration(c.callMean*float64(time.Second))
	switch {
	case back <= r.objectiveAt:
		return class.PriorityWeight
	case back > r.deadline-answerMargin && c.callMean < c.callStock:
		return 0
	}
	return class.PriorityWeight*class.LateWeightFraction + c.parameters.LateCallWeight*(1+max(r.deadline-c.now, 0).Seconds())
}

// placeCall places one call, with patience to the end of the request's time or of the worth without the
// call.
func (c *Controller) placeCall(r *request) {
	class := &c.settings.Classes[r.class]
	end := r.deadline - answerMargin
	if class.DegradedWeightFraction > 0 {
		end = min(end, r.objectiveAt-c.expectedRunTime(r)/2)
	}
	if end <= c.now {
		c.continueWithoutCall(r)
		return
	}
	if c.settings.Dependency == DependencyShared {
		patience := max(2*c.callTime-c.settings.AbandonedCallTime.Seconds(), c.callTime)
		end = min(end, c.now+time.Duration(patience*float64(time.Second)))
	}
	r.state = inCall
	r.callAttempts++
	c.inHand++
	c.emit(Action{Kind: ActionPlaceCall, Request: r.id, Duration: end - c.now})
}

// continueWithoutCall goes on without the call where that has worth, and fails the request where it has none.
func (c *Controller) continueWithoutCall(r *request) {
	if c.settings.Classes[r.class].DegradedWeightFraction <= 0 {
		c.fail(r, because(CauseCallFailed, 0, 0))
		return
	}
	c.resumeAfterCall(r)
	c.emit(Action{Kind: ActionOmitCall, Request: r.id})
}

// onCallCompleted ends a call. One that may have had an effect is not repeated.
func (c *Controller) onCallCompleted(r *request, e *Event) {
	if r.state != inCall {
		return
	}
	proven := e.Outcome == OutcomeRejected || e.Outcome == OutcomeUnreachable || e.Outcome == OutcomeNeverStarted
	// A call turned away at once is not a fast one, and one that broke does not tell how long calls
	// take.
	if took := e.Elapsed.Seconds(); !proven && e.Outcome != OutcomeConnectionLost {
		c.calls++
		c.callMean += max(runTimeWeight, 1/c.calls) * (took - c.callMean)
		// Forgotten by time, the best of many short calls is that of a lucky few, and the usual
		// looks slow. So it does beside the best of any few: it is taken as high as it may be, by
		// how calls differ.
		w := max(longCallWeight, 1/c.calls)
		c.callLong += w * (took - c.callLong)
		c.callVar += w * ((took-c.callLong)*(took-c.callLong) - c.callVar)
		high := c.callLong + 2*math.Sqrt(c.callVar/min(c.calls, 2/longCallWeight))
		if c.callBest = min(c.callBest*c.parameters.BestCallTimeGrowth, high); c.calls <= minCallSamples {
			c.callBest = high
		}
	}
	if e.Outcome == OutcomeTimedOut { // one that broke was dropped by the dependency itself
		c.addAbandonedCall()
	}
	if e.Outcome == OutcomeOK || r.answered {
		c.resumeAfterCall(r)
		return
	}
	c.inHand--
	r.state = awaitingCall
	again := r.callAttempts < maxCallAttempts && (proven || c.settings.Classes[r.class].Idempotency == Idempotent)
	if !again || e.Outcome == OutcomeTimedOut {
		c.continueWithoutCall(r)
		return
	}
	r.nextCallAt = c.now + callBackoff*time.Duration(r.callAttempts)
	c.callLine = append(c.callLine, r)
}

// endCall ends r's stay at a call; an abandoned one lingers in the dependency's hands.
func (c *Controller) endCall(r *request, abandoned bool) {
	c.atCalls--
	if r.state == inCall {
		c.inHand--
	}
	if abandoned {
		c.addAbandonedCall()
	}
}

// resumeAfterCall brings r back from a call.
func (c *Controller) resumeAfterCall(r *request) {
	c.endCall(r, false)
	r.state = running
	c.onCores++
	c.load++
}

func (c *Controller) addAbandonedCall() {
	c.lingering = append(c.lingering, c.now+c.settings.AbandonedCallTime)
}

// onTimer reads the gauges, answers what is due and moves the pool.
func (c *Controller) onTimer(e *Event) {
	c.cpu, c.load = e.Gauges.CPU, e.Gauges.Runnable
	if !(c.cpu >= 0 && c.load >= 0) { // no gauges: what runs stands for them
		c.cpu, c.load = float64(c.onCores)/float64(c.settings.Cores), float64(c.onCores)
	}
	if c.crowded = min(c.turned/fullRejectedShare, 1); !(c.cpu > c.parameters.BusyCPU) {
		c.crowded = 1 // calls may stand in line, and the dependency is the same for all
	}
	c.expireKeys()
	c.answerExpired()
	if c.now >= c.periodStart+controlPeriod {
		c.updateCredit(c.now - c.periodStart)
		c.periodStart = c.now
	}
	c.emit(Action{Kind: ActionTimer, Duration: tickInterval})
}

// answerExpired answers what has run out of time. It goes by copies: what is answered moves those that wait
// for it.
func (c *Controller) answerExpired() {
	for i := range c.queues {
		for _, r := range slices.Clone(c.queues[i].requests) {
			if r.deadline <= c.now+answerMargin || c.missesObjective(r, 0) {
				c.reject(r, 0, c.retryIsFutile(r), because(CauseObjectiveUnreachable, 0, 0))
			}
		}
	}
	next := c.nextQueued()
	for _, r := range slices.Clone(c.executing) {
		pointless := r.state == running && c.settings.Cancel != CancelNone && c.saturated(r.class) &&
			(c.overrunsFor(r, next) || c.settings.Classes[r.class].LateWeightFraction == 0 && r.objectiveAt <= c.now)
		if r.deadline <= c.now+answerMargin || pointless {
			c.fail(r, because(CauseDeadlinePassed, 0, 0))
		}
	}
}

// overrunsFor reports that r gives way to next: what has run far longer than expected has long to go.
func (c *Controller) overrunsFor(r, next *request) bool {
	return c.overloaded && next != nil && c.settings.Classes[next.class].PriorityWeight >= c.settings.Classes[r.class].PriorityWeight &&
		float64(c.now-r.startedAt) > c.parameters.OverrunFactor*float64(c.expectedRunTime(r))
}

// updateHealth is bad while this server alone reads too late to serve, as few further tries tell: the
// list reaches callers that forget its credit. While it reads more than usual all may be flooded,
// and it stays.
func (c *Controller) updateHealth(target float64) {
	c.unread, c.readNow = c.unread*readDelayDecay, c.readNow*(1-runTimeWeight)
	// a period, in the mean of its life
	usual := c.readAll * float64(controlPeriod) / float64(c.now-c.startedAt)
	enter := c.unread > c.parameters.RejectDelayFactor*target && c.further < c.parameters.FewRetriesShare && runTimeWeight*c.readNow <= usual
	if !c.settings.EndpointListFollowsHealth || c.draining || c.unhealthy && c.unread > target/2 || !c.unhealthy && !enter {
		return
	}
	c.setLogged(&c.unhealthy, !c.unhealthy, "health bad: reads too late to serve, others serve", "health good again")
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: !c.unhealthy})
}

// updateCredit is Breakwater's: the pool grows by A, or is cut by the excess of the class furthest over its
// target.
func (c *Controller) updateCredit(since time.Duration) {
	worst, longest, full := -1.0, 0.0, false
	for i := range c.queues {
		t := float64(c.delayTarget(i))
		longest = max(longest, t)
		if c.saturated(i) {
			full = true
			worst = max(worst, (float64(c.queueingDelay(i))-t)/t)
		}
	}
	c.expireCallers()
	c.adjustIdleTimeout(longest)
	c.adjustCallLimit()
	c.updateHealth(longest)
	if worst >= 0 {
		least := c.parameters.MinCredit
		if !(c.cpu > c.parameters.BusyCPU) { // the cores are free: what does not call is still welcome
			least = c.parameters.IdleCreditPerCore * float64(c.settings.Cores)
		}
		c.pool = max(c.pool*max(1-c.parameters.MultiplicativeDecrease*worst, c.parameters.MinCutFactor), least)
	} else {
		// Nor beyond twice its use: credit that nobody used would all be drawn at once as load
		// comes.
		use := float64(c.onCores + c.atCalls + c.settings.Cores)
		c.pool = min(c.pool+max(c.parameters.AdditiveIncrease*float64(max(c.heardN, 1)), 1), c.runningLimit(), max(c.pool, 2*use))
	}
	c.setLogged(&c.overloaded, full && (worst >= 0 || c.overloaded),
		"overload entered: queueing delay over target, credit cut", "overload left: capacity no longer full")
	c.advertise()
	for i := range c.quotaTokens {
		c.quotaTokens[i] = min(c.quotaTokens[i]+c.tenantQuota(i)*since.Seconds(), max(c.tenantQuota(i)*quotaBurst.Seconds(), 1))
	}
}

// setLogged sets one of the logged states.
func (c *Controller) setLogged(flag *bool, on bool, entered, left string) {
	if *flag == on {
		return
	}
	if *flag = on; !on {
		entered = left
	}
	c.log(entered)
}

// expireCallers lets callers leave the count when they have not been heard for callerActiveTime.
func (c *Controller) expireCallers() {
	for c.slotAt = max(c.slotAt, int(c.now/controlPeriod)-callerSlots); c.slotAt < int(c.now/controlPeriod); {
		c.slotAt++
		c.heardN -= c.slots[c.slotAt%callerSlots]
		c.slots[c.slotAt%callerSlots] = 0
	}
}

// advertise tells callers their part of the pool, when it has moved.
func (c *Controller) advertise() {
	pool, v := c.pool, 0.0
	if c.draining {
		pool = 0
	}
	switch share := min(pool/c.runningLimit(), 1); c.settings.CreditMode {
	case CreditNone:
		return
	case CreditPerCaller:
		n := max(c.heardN, 1)
		if c.settings.WarmingUp && c.now < c.startedAt+callerActiveTime { // callers that were not heard yet come as well
			n = max(n, c.settings.Callers)
		}
		v = pool / float64(n)
	case CreditWeight:
		v = share
	case CreditRankThreshold:
		v = 1 - share
	}
	if math.Abs(v-c.said) > c.parameters.AdvertiseStep*c.said || c.said < 0 {
		c.said = v
		c.emit(Action{Kind: ActionAdvertise, Value: v})
	}
}

// onDrain starts the way out: health turns bad, late arrivals are refused, all is answered before the
// stop.
func (c *Controller) onDrain(e *Event) {
	if c.draining {
		return
	}
	c.draining, c.drainAt, c.stopAt = true, c.now, e.Deadline
	c.log("drain: leaving, late arrivals are refused")
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: false})
	c.advertise()
	for _, r := range c.requests {
		c.capDeadline(r)
	}
}

// capDeadline keeps a request's due time before the stop of a draining process.
func (c *Controller) capDeadline(r *request) {
	if c.draining && c.stopAt > 0 {
		r.deadline = min(r.deadline, c.stopAt-stopMargin)
		r.objectiveAt = min(r.objectiveAt, r.deadline)
	}
}

// enqueue adds r to the hold of its class, in the order of reading.
func (c *Controller) enqueue(r *request) {
	c.capDeadline(r)
	c.queues[r.class].requests = append(c.queues[r.class].requests, r)
}

// removeFrom takes r out of a line.
func (c *Controller) removeFrom(line *[]*request, r *request) {
	if i := slices.Index(*line, r); i >= 0 {
		*line = slices.Delete(*line, i, i+1)
	}
}

// remove drops a request and gives its memory back.
func (c *Controller) remove(r *request) {
	line, factor := &c.executing, c.settings.RunningMemoryFactor
	switch r.state {
	case queued:
		line, factor = &c.queues[r.class].requests, 1
	case awaitingResult, reusingResult:
		factor = 1
		if r.state == reusingResult && r.resultSource != nil {
			c.sharing--
		}
	case running:
		c.onCores--
		c.load--
	default:
		c.endCall(r, r.state == inCall)
	}
	c.removeFrom(line, r)
	c.memoryKB -= r.sizeKB * factor
	delete(c.requests, r.id)
}
