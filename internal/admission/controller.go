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
	callFew      = 10
	maxCalls     = 6    // tries of one call: the layer below may have lost a third of its servers
	learn        = 0.1  // weight of a new run or call in its mean
	callLearn    = 0.03 // weight of a new call in the mean of which the best is taken
	furtherLearn = 0.02 // weight of one arrival in the share of further tries
	unreadFade   = 0.98 // a period: as its unread line is forgotten, a server off the list returns
	usualWaits   = 8    // waits remembered: more than callers have habits
	usualCount   = 3.0  // of about the last 50 arrivals: a wait seen as often is usual

	// how late a deadline may be noticed; a third of the usual slack
	tick      = 20 * time.Millisecond
	guardTime = tick + tick/4          // answers are given this long before they are due
	period    = 100 * time.Millisecond // one step of the pool, about a third of a usual run
	// a wait in line for a call that counts as want of capacity
	callJam     = 2 * period
	callBackoff = 50 * time.Millisecond  // before a call that was turned away is tried again
	walkTime    = 30 * time.Millisecond  // a wait further off a caller's usual tells a further try
	stopGuard   = 200 * time.Millisecond // answers are out this long before the process is stopped
	// design page: callers heard in about so long share the pool
	heardFor     = time.Second
	callerPlaces = 2048 // callers told apart
	heardSlots   = int(heardFor/period) + 1
	// of a tenant's rate that may come at once and be in its share
	quotaBurst  = 2 * time.Second
	returnShare = 0.5 // of arrivals: with fewer returning in time, keep short
	// of arrivals: with so many turned away no other server has room
	turnedAll = 0.5
	// idle connections take cores; as much by then as a new one
	idleKeep  = 5 * time.Second
	idleShort = 200 * time.Millisecond // where callers seldom return in time for that
)

type state uint8

const (
	held    state = iota
	running       // on the cores, or waiting for disk
	blocked       // at a call that is not placed yet
	calling       // its call is out
	joined        // waits for the run of another of its subject
	reusing       // answered from the result of another request
)

// request is what the module knows of one request until its run is over.
type request struct {
	id                       uint64
	class, tries, sharers    int // sharers: how many wait for its result
	state                    state
	answered, ran, kept      bool
	walked, read             bool
	origin                   *request // whose result it waits for
	arrived, due, aim, began time.Duration
	callAt, keptTo           time.Duration // no call before the one, key remembered to the other
	hint                     time.Duration
	sizeKB                   float64
}

// hold is the line of held requests of one class, as they were read, and what is known of the
// class's runs.
type hold struct {
	line []*request
	mean float64    // seconds that a run takes
	hint float64    // mean hint of those runs, in seconds
	keys []*request // whose keys are remembered, oldest first
}

// wait is a share of the deadline that first tries wait at some callers, and how often it was seen
// of late.
type wait struct{ part, count float64 }

// Controller decides for one server. It is not safe for concurrent use: Handle is called from one
// goroutine.
type Controller struct {
	set            Settings
	fig            Parameters
	requests       map[uint64]*request
	holds          []hold
	busy           []*request                  // running, at a call, joined or reusing
	callLine       []*request                  // blocked, in order
	callers        [callerPlaces]time.Duration // when each was last heard, by part of its number
	buckets        []float64                   // tokens of each tenant
	lingering      []time.Duration
	fresh          map[uint64]*request // reads that ended well and whose result may still be shared
	usual          [usualWaits]wait
	slots          [heardSlots]int // callers by when they were last heard
	slotAt, heardN int             // the slot of now, and the sum of all

	begun, draining, overloaded, unfit bool
	born, now, periodAt, trimmed       time.Duration
	drainAt, stopAt, paidAt            time.Duration
	pool, said                         float64
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
	out                         []Action
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
	c := &Controller{set: s, requests: map[uint64]*request{}, fresh: map[uint64]*request{},
		holds: make([]hold, len(s.Classes)), buckets: make([]float64, len(s.Tenants)), said: -1}
	var err error
	if c.fig, err = s.Parameters.or(defaultParameters); err != nil {
		return nil, err
	}
	for i := range c.buckets {
		c.buckets[i] = c.quota(i) * quotaBurst.Seconds()
	}
	c.pool = float64(s.Cores)
	c.callMost = max(min(s.CallQuota-aim/over, c.fig.CallQuotaShare*s.CallQuota), c.fig.MinCallQuotaShare*s.CallQuota)
	c.callStock = (s.CallQuota - c.callMost) / 2 * over // as much again may be overdrawn
	c.callLimit = max(c.callMost, 1)
	return c, nil
}

// Handle takes what happened up to now and appends what is to be done to out.
func (c *Controller) Handle(now time.Duration, events []Event, out []Action) []Action {
	c.out, c.now = out, max(now, c.now)
	c.payCalls()
	if !c.begun {
		c.begin()
	}
	for i := range events {
		c.event(&events[i])
	}
	c.placeCalls()
	c.dispatch()
	out, c.out = c.out, nil
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
	n := len(c.holds)
	if len(s.Classes) < n || !slices.EqualFunc(s.Classes[:n], c.set.Classes, same) ||
		!slices.EqualFunc(s.Tenants, c.set.Tenants, named) || s.Cores != c.set.Cores ||
		s.KeyMemoryKB != c.set.KeyMemoryKB || s.RunningMemoryFactor != c.set.RunningMemoryFactor ||
		s.CreditMode != c.set.CreditMode || s.Dependency != c.set.Dependency {
		return fmt.Errorf("admission: other classes, tenants, cores or another way of working need a restart")
	}
	c.holds = append(c.holds, make([]hold, len(s.Classes)-n)...)
	s.WarmingUp = c.set.WarmingUp // it tells of the start
	c.set, c.fig, c.callMost, c.callStock = s, fresh.fig, fresh.callMost, fresh.callStock
	return nil
}

func (c *Controller) begin() {
	c.begun, c.born, c.periodAt, c.returns = true, c.now, c.now, 1
	c.act(Action{Kind: ActionSetHealth, Static: true, Healthy: true})
	c.trim(1)
	c.advertise()
	c.act(Action{Kind: ActionTimer, Duration: tick})
}

func (c *Controller) act(a Action) { c.out = append(c.out, a) }

func (c *Controller) log(text string) { c.act(Action{Kind: ActionLog, Text: "admission: " + text}) }

func (c *Controller) event(e *Event) {
	switch r := c.requests[e.Request]; {
	case e.Kind == EventRequest:
		c.arrive(e)
	case e.Kind == EventTimer:
		c.timer(e)
	case e.Kind == EventDrain:
		c.drain(e)
	case r == nil:
	case e.Kind == EventCompleted:
		c.done(r, e)
	case e.Kind == EventBlocked:
		if r.state == running {
			c.onCores--
			c.load--
			c.atCalls++
			r.state, r.tries, r.callAt = blocked, 0, c.now
			c.callLine = append(c.callLine, r)
		}
	case e.Kind == EventCallCompleted:
		c.called(r, e)
	case e.Kind == EventAbandoned:
		c.release(r)
	}
}

// arrive decides on a request that was just read: repeat, refuse, or hold.
func (c *Controller) arrive(e *Event) {
	if c.requests[e.Request] != nil {
		return
	}
	c.heard(e.Caller)
	c.readNow, c.readAll = c.readNow+1, c.readAll+1
	r := &request{id: e.Request, hint: e.ExpectedWork, arrived: c.now - max(e.QueueingDelay, 0)}
	if r.sizeKB = e.SizeKB; !(r.sizeKB > 0) || math.IsInf(r.sizeKB, 0) {
		r.sizeKB = 0
	}
	c.requests[r.id] = r
	c.memoryKB += r.sizeKB
	c.unread += learn * (float64(c.now-r.arrived) - c.unread)
	if r.due = c.now; e.Class >= 0 && e.Class < len(c.holds) { // one of no class is shut out below
		r.class, r.due = e.Class, e.Deadline
	}
	class := &c.set.Classes[r.class]
	if r.due <= 0 {
		r.due = r.arrived + class.Timeout
	}
	age := c.age(r.class, r.due-r.arrived)
	r.walked = e.Retry || !c.set.MarksRetries && age > 0
	r.aim = r.arrived + class.LatencyObjective + time.Duration(class.ObjectiveWorkFactor*float64(r.hint))
	if r.walked {
		r.aim -= age
	}
	r.aim = min(r.aim, r.due)
	c.push(r)
	// what it repeats may have run: never started nor refused
	r.ran = e.PriorRequest != 0 && class.Idempotency == IdempotentWithKey
	shut := c.late(r) || c.memoryKB > c.fig.QueueMemoryShare*c.set.MemoryKB || r.due <= c.now+guardTime
	r.read = class.Idempotency == Idempotent && e.Key != 0 && !e.Write && c.set.ResultMaxAge > 0
	switch {
	case shut:
		c.refuse(r, 0, false, c.shutOut(r))
	case r.ran:
		c.reuse(r)
	case !(r.read && c.join(r, e.PriorRequest)):
		c.admit(r, e)
	}
}

// shutOut is why a request is not taken in.
func (c *Controller) shutOut(r *request) Action {
	switch {
	case c.late(r):
		return why(CauseDraining, (r.arrived - c.drainAt).Seconds(), c.set.DrainGrace.Seconds())
	case c.memoryKB > c.fig.QueueMemoryShare*c.set.MemoryKB:
		return why(CauseMemory, c.memoryKB, c.fig.QueueMemoryShare*c.set.MemoryKB)
	}
	return why(CauseDeadlineTooNear, (r.due - c.now).Seconds(), guardTime.Seconds())
}

// late reports whether r came after the drain's grace, so that it must not start; a repeat does not
// start.
func (c *Controller) late(r *request) bool {
	return c.draining && !r.ran && r.arrived > c.drainAt+c.set.DrainGrace
}

// admit refuses an arrival past twice the delay target, without hope, or past a tenant's share
// under load.
func (c *Controller) admit(r *request, e *Event) {
	class := &c.set.Classes[r.class]
	delay, target := max(c.delay(r.class), c.now-r.arrived), c.target(r.class)
	c.further, c.turned = c.further*(1-furtherLearn), c.turned*(1-furtherLearn)
	if r.walked {
		c.further += furtherLearn
	}
	if e.Retry { // it may have failed for being long, and a storm must not crowd out first tries
		target = time.Duration(c.fig.RetryTargetShare * max(1-c.further/c.fig.RetryStormShare, 0) * float64(target))
	}
	switch {
	// The dependency is the same wherever a caller walks to. What needs none of it is to come all
	// the same.
	case class.CallsDependency && !(c.cpu > c.fig.BusyCPU) &&
		float64(c.ahead(r.class)) > c.fig.CallQueueShare*float64(class.LatencyObjective):
		w := why(CauseCallQueue, c.ahead(r.class).Seconds(), c.fig.CallQueueShare*class.LatencyObjective.Seconds())
		c.refuse(r, 0, true, w)
	case c.full(r.class) && float64(delay) > c.fig.RejectDelayFactor*float64(target):
		w := why(CauseQueueingDelay, delay.Seconds(), c.fig.RejectDelayFactor*target.Seconds())
		c.refuse(r, delay-target, r.walked || c.further > c.fig.FewRetriesShare || c.crowded >= 1, w)
	case c.full(r.class) && c.hopeless(r, c.wait(r)):
		c.refuse(r, 0, r.walked || c.further > c.fig.FewRetriesShare || c.crowded >= 1, why(CauseObjectiveUnreachable, 0, 0))
	case !c.spend(e.Tenant) && c.full(r.class) && delay > target:
		c.refuse(r, 0, true, why(CauseQuota, delay.Seconds(), target.Seconds()))
	default:
		c.keep(r)
	}
}

// delay is the oldest held wait of a class, its unread time included, and the wait in line for a
// call.
func (c *Controller) delay(class int) (wait time.Duration) {
	if c.set.Classes[class].CallsDependency {
		wait = c.callWait()
	}
	if line := c.holds[class].line; len(line) > 0 {
		wait += c.now - line[0].arrived
	}
	return wait
}

// target is the class's delay target: a share of what its aim leaves beside the run.
func (c *Controller) target(class int) time.Duration {
	aim := c.set.Classes[class].LatencyObjective
	run := time.Duration(c.holds[class].mean * float64(time.Second))
	share := c.fig.MinDelayTargetShare + (c.fig.DelayTargetShare-c.fig.MinDelayTargetShare)*c.crowded
	return time.Duration(share * float64(max(aim-run, aim/4)))
}

// expected is how long r would run, from the runs of its class.
func (c *Controller) expected(r *request) time.Duration {
	h := &c.holds[r.class]
	took := h.mean
	// a part of every run is waiting, so half of it does not grow with the hint
	if r.hint > 0 && h.hint > 0 {
		took *= (1 + r.hint.Seconds()/h.hint) / 2
	}
	return time.Duration(min(took, 1e6) * float64(time.Second))
}

// wait is how long those held beside r take to start: what has no hope is told so while others have
// room.
func (c *Controller) wait(r *request) time.Duration {
	work := -c.holds[r.class].mean // it is held itself
	for i := range c.holds {
		work += float64(len(c.holds[i].line)) * c.holds[i].mean
	}
	return time.Duration(work / float64(max(c.onCores+c.atCalls, c.set.Cores)) * float64(time.Second))
}

// hopeless reports that r, if it waits for so long, cannot be answered while its answer has worth.
func (c *Controller) hopeless(r *request, wait time.Duration) bool {
	if !c.full(r.class) { // a guess must not turn work away where there is room for it
		return r.due <= c.now+guardTime
	}
	end := r.due - guardTime
	if c.set.Classes[r.class].LateWeightFraction == 0 {
		end = min(end, r.aim)
	}
	run := float64(c.expected(r))
	if c.set.Cancel == CancelNone { // what turns out to be late takes its cores to the end
		run *= c.fig.StartMarginFactor
	}
	return c.now+wait+time.Duration(run) > end
}

// lost reports that r, hopeless here, is so elsewhere: others are full too, or less than a run is
// left.
func (c *Controller) lost(r *request) bool {
	return c.crowded > c.fig.FewRetriesShare || r.aim < c.now+c.expected(r)
}

// quota is a tenant's part of this server, in requests a second.
func (c *Controller) quota(tenant int) float64 {
	return c.set.Tenants[tenant].QuotaRate / float64(max(c.set.Servers, 1))
}

// spend takes a token of a tenant's share, and reports whether there was one; without shares there
// is.
func (c *Controller) spend(tenant int) bool {
	if tenant < 0 || tenant >= len(c.buckets) || c.set.Tenants[tenant].QuotaRate <= 0 {
		return true
	}
	if c.buckets[tenant] < 1 {
		return false
	}
	c.buckets[tenant]--
	return true
}

// heard counts a caller among those that share the pool, and notes whether it returned within
// idleKeep.
func (c *Controller) heard(id uint32) {
	last := c.callers[id%callerPlaces]
	c.callers[id%callerPlaces] = c.now
	c.countCallers()
	if slot := int(last / period); last > 0 && slot > c.slotAt-heardSlots {
		c.slots[slot%heardSlots]--
		c.heardN--
	}
	c.slots[c.slotAt%heardSlots]++
	c.heardN++
	c.returns *= 1 - furtherLearn
	if last > 0 && c.now-last < idleKeep {
		c.returns += furtherLearn
	}
}

// age tells from the time left how long ago a request was first tried. First tries wait the same
// share of the deadline at all callers of one habit, so that few shares come again and again,
// whoever calls; further tries have a little less than one of these or, where tries are cut short,
// what is left of the client's patience. It guards against late work that looks fresh. Where waits
// vary by themselves none is usual.
func (c *Controller) age(class int, left time.Duration) time.Duration {
	deadline := float64(c.set.Classes[class].Timeout)
	near, part := float64(walkTime)/deadline, float64(left)/deadline
	match, least, known, above := -1, 0, false, math.Inf(1)
	for i := range c.usual {
		w := &c.usual[i]
		w.count *= 1 - furtherLearn
		if w.count < c.usual[least].count {
			least = i
		}
		if math.Abs(w.part-part) < near && (match < 0 || w.count > c.usual[match].count) {
			match = i
		}
		if w.count >= usualCount {
			known = true
			if w.part > part {
				above = min(above, w.part)
			}
		}
	}
	if match < 0 {
		match = least
		c.usual[least] = wait{part: part}
	}
	c.usual[match].count++
	if !known || c.usual[match].count >= usualCount {
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
	c.act(a)
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
	case held, joined, reusing:
		c.forget(r)
		c.remove(r)
	case running:
		if c.set.Cancel != CancelNone && r.sharers == 0 {
			c.learn(r) // or the mean would fall with each run stopped for being long
			c.act(Action{Kind: ActionCancel, Request: r.id})
		}
	case blocked:
		c.resume(r)
	default: // its call is in the dependency's hands until its end, or that of its run, is reported
	}
}

// refuse turns a held request away. What ran, or waits for what ran, is failed: an effect is never
// refused.
func (c *Controller) refuse(r *request, away time.Duration, last bool, w Action) {
	if r.state != held || r.ran {
		c.fail(r, w)
		return
	}
	c.turned, away = c.turned+furtherLearn, max(away, tick) // a client is told when to come back
	w.Kind, w.Duration, w.NoRetry = ActionReject, min(away, c.set.MaxRetryAfter), last
	c.answer(r, w)
}

func (c *Controller) fail(r *request, w Action) {
	w.Kind = ActionFail
	c.answer(r, w)
}

// start is the one place that starts a request.
func (c *Controller) start(r *request) bool {
	memory := c.memoryKB + r.sizeKB*(c.set.RunningMemoryFactor-1)
	if r.state != held || r.ran || r.answered || c.late(r) || memory > c.fig.RunMemoryShare*c.set.MemoryKB {
		return false
	}
	c.unlink(&c.holds[r.class].line, r)
	c.memoryKB = memory
	r.state, r.ran, r.began = running, true, c.now
	c.busy = append(c.busy, r)
	c.onCores++
	c.load++
	c.act(Action{Kind: ActionStart, Request: r.id})
	return true
}

// dispatch starts held requests as far as pool, cores and memory allow.
func (c *Controller) dispatch() {
	c.serveJoined()
	for {
		r := c.next()
		if r == nil {
			return
		}
		if c.hopeless(r, 0) {
			c.refuse(r, 0, c.lost(r), why(CauseObjectiveUnreachable, 0, 0))
			continue
		}
		if !c.room() || !c.start(r) {
			return
		}
	}
}

// next is the held request to start: that of the longest wait, in which each second counts by the
// worth.
func (c *Controller) next() *request {
	var best *request
	most := -1.0
	for i := range c.holds {
		if line := c.holds[i].line; len(line) > 0 && !c.jammed(i) {
			if w := float64(c.now-line[0].arrived) * c.set.Classes[i].PriorityWeight; w > most {
				best, most = line[0], w
			}
		}
	}
	return best
}

// room reports whether one more may run: up to the cores always, up to the pool while a core is
// free.
func (c *Controller) room() bool {
	crowd := c.crowd()
	all := float64(c.onCores + c.atCalls + c.sharing + 1) // calls may all return at once
	if float64(c.onCores+c.sharing+1) > crowd || all > crowd/c.fig.RunningLimitShare {
		return false
	}
	return c.onCores < c.set.Cores || float64(c.onCores) < c.pool && c.load < float64(c.set.Cores)
}

// crowd is the number of running requests that the server, as cold as it may be, outlives with
// ease.
func (c *Controller) crowd() float64 {
	share := 1.0
	if c.set.WarmingUp && c.set.WarmUpTime > 0 {
		share = min(c.set.WarmUpInitialShare+(1-c.set.WarmUpInitialShare)*float64(c.now-c.born)/float64(c.set.WarmUpTime), 1)
	}
	return max(float64(c.set.Cores)*(1+(c.set.MaxRunningPerCore-1)*share)*c.fig.RunningLimitShare, 1)
}

// join lets a read share the run of another of its subject. It costs no run, so delay does not
// refuse it.
func (c *Controller) join(r *request, prior uint64) bool {
	o := cmp.Or(c.requests[prior], c.fresh[prior])
	if o == nil || !o.kept || o.class != r.class {
		return false
	}
	c.unlink(&c.holds[r.class].line, r)
	r.state, r.origin = joined, o
	o.sharers++
	c.busy = append(c.busy, r)
	return true
}

// part lets those that wait for a read which failed or was dropped run themselves.
func (c *Controller) part(o *request) {
	for i := len(c.busy) - 1; o.sharers > 0 && i >= 0; i-- {
		if r := c.busy[i]; r.origin == o && r.state == joined {
			c.unlink(&c.busy, r)
			r.state, r.origin = held, nil
			line := &c.holds[r.class].line
			*line = slices.Insert(*line, 0, r)
			c.keep(r)
		}
	}
}

// serveJoined answers from results that are there, a few at a time: each is on the cores for a
// while.
func (c *Controller) serveJoined() {
	for i := 0; len(c.fresh) > 0 && i < len(c.busy) && float64(c.onCores+c.sharing+1) <= c.crowd(); i++ {
		if r := c.busy[i]; r.state == joined && c.fresh[r.origin.id] != nil && c.now <= r.origin.keptTo {
			r.state = reusing
			c.sharing++
			c.act(Action{Kind: ActionReuseResult, Request: r.id})
		}
	}
}

// reuse answers r from the request that it repeats.
func (c *Controller) reuse(r *request) {
	c.unlink(&c.holds[r.class].line, r)
	r.state = reusing
	c.busy = append(c.busy, r)
	c.act(Action{Kind: ActionReuseResult, Request: r.id})
}

// keep remembers a keyed request for its whole window, or refuses it for want of memory, and a read
// to share.
func (c *Controller) keep(r *request) {
	class := &c.set.Classes[r.class]
	scarce := c.memoryKB+c.set.KeyMemoryKB > c.fig.RunMemoryShare*c.set.MemoryKB
	if class.Idempotency == IdempotentWithKey && scarce {
		c.refuse(r, 0, false, why(CauseKeyMemory, c.memoryKB, c.fig.RunMemoryShare*c.set.MemoryKB))
	} else if class.Idempotency == IdempotentWithKey || r.read && !scarce {
		r.kept = true
		c.memoryKB += c.set.KeyMemoryKB
		last := r.due - c.now + c.set.ResultMaxAge
		if class.Idempotency == IdempotentWithKey {
			last = class.IdempotencyWindow
			c.forgetAt(r, c.now+last)
		}
		c.act(Action{Kind: ActionRememberKey, Request: r.id, Duration: last})
	}
}

// forgetAt lets r's key go at a time that comes later for each next request of the class.
func (c *Controller) forgetAt(r *request, at time.Duration) {
	r.keptTo = at
	c.holds[r.class].keys = append(c.holds[r.class].keys, r)
}

// expire gives back the memory of keys whose time is over. That of a held request has yet to begin
// to count.
func (c *Controller) expire() {
	for i := range c.holds {
		for h := &c.holds[i]; len(h.keys) > 0 && h.keys[0].keptTo < c.now-tick; {
			r, last := h.keys[0], c.set.Classes[i].IdempotencyWindow
			if h.keys = h.keys[1:]; r.kept && r.state == held {
				c.forgetAt(r, c.now+last)
				c.act(Action{Kind: ActionRememberKey, Request: r.id, Duration: last})
			} else {
				c.forget(r)
			}
		}
	}
}

// forget drops r's key. That of a keyed request goes before it runs or by itself.
func (c *Controller) forget(r *request) {
	if !r.kept {
		return
	}
	r.kept = false
	c.memoryKB -= c.set.KeyMemoryKB
	delete(c.fresh, r.id)
	if r.read || r.state == held {
		c.act(Action{Kind: ActionForgetKey, Request: r.id})
	}
	c.part(r)
}

// done ends a run.
func (c *Controller) done(r *request, e *Event) {
	if r.state == held || r.state == joined {
		return
	}
	if e.Outcome == OutcomeCancelled && !r.answered { // stopped without an answer: it may not start again
		c.fail(r, why(CauseCancelled, 0, 0))
	}
	if r.state == running && e.Outcome == OutcomeOK {
		c.learn(r)
	}
	if r.read && r.kept && r.state == running && e.Outcome == OutcomeOK {
		c.fresh[r.id] = r
		c.forgetAt(r, c.now+c.set.ResultMaxAge)
	} else if r.read {
		c.forget(r)
	}
	c.remove(r)
}

func (c *Controller) learn(r *request) {
	h, took := &c.holds[r.class], (c.now - r.began).Seconds()
	if h.mean == 0 {
		h.mean, h.hint = took, r.hint.Seconds()
	}
	h.mean, h.hint = h.mean+learn*(took-h.mean), h.hint+learn*(r.hint.Seconds()-h.hint)
}

// trim closes idle connections soon where callers return too late to use them: else a crowd fills
// the table. Where requests come too fast to be read, a full table keeps out what would only cost a
// handshake.
func (c *Controller) trim(target float64) {
	keep := idleKeep
	switch {
	case c.set.HandshakeCost > 0 && c.cpu < c.fig.BusyCPU: // idle ones take only cores that nobody wants
		keep = c.set.IdleConnectionTimeout
	case c.returns < returnShare && c.unread < target:
		keep = idleShort
	}
	if keep = min(keep, c.set.IdleConnectionTimeout); keep != c.trimmed {
		c.trimmed = keep
		c.act(Action{Kind: ActionCloseIdle, Duration: keep})
	}
}

// stepCalls moves the number of calls in the dependency's hands by the time that they take: a
// crowded one gets less done. One slow for another reason is held back for nothing, to what it
// works on at once.
func (c *Controller) stepCalls() {
	if c.calls < callFew {
		return
	}
	next := c.callLimit + 1 - c.fig.CallLimitDecrease
	if c.callMean > c.fig.SlowCallFactor*c.callBest {
		next = c.callLimit * c.fig.CallLimitDecrease
	}
	c.callLimit = max(min(next, c.callMost), c.fig.MinCallLimitShare*c.set.CallQuota, 1)
}

// mayCall reports whether one more call may be placed: by their number, and by the time for which
// calls may be in hand, so that a share of less than one call, as each of hundreds may have, is a
// share of time.
func (c *Controller) mayCall() bool {
	if c.set.Dependency != DependencyShared {
		return true
	}
	// twice a usual call and its linger
	need := min(c.callMean+c.set.AbandonedCallTime.Seconds()/2, c.callStock)
	return float64(c.inHand+len(c.lingering)+1) <= c.callLimit && c.callTime >= need
}

// payCalls keeps the time for which calls may be in hand: the share over time, less those that are.
func (c *Controller) payCalls() {
	n := float64(c.inHand + len(c.lingering))
	c.callTime, c.paidAt = min(c.callTime+(c.callMost-n)*(c.now-c.paidAt).Seconds(), c.callStock), c.now
	for len(c.lingering) > 0 && c.lingering[0] <= c.now {
		c.lingering = c.lingering[1:]
	}
}

// callWait is how long the oldest call that may still be in time has waited for its turn.
func (c *Controller) callWait() time.Duration {
	for _, r := range c.callLine {
		if r.state == blocked && !r.answered && r.aim > c.now {
			return c.now - r.callAt
		}
	}
	return 0
}

// ahead is how long a call of the class would wait for its turn behind those that go before it.
func (c *Controller) ahead(class int) time.Duration {
	n, worth := 0, c.set.Classes[class].PriorityWeight
	for _, r := range c.callLine {
		if r.state == blocked && !r.answered && r.aim > c.now && c.set.Classes[r.class].PriorityWeight >= worth {
			n++
		}
	}
	return time.Duration(float64(n) * c.callMean / c.callLimit * float64(time.Second))
}

// jammed reports that requests of a class would stand in line for the dependency; others need not
// wait.
func (c *Controller) jammed(class int) bool {
	return c.set.Classes[class].CallsDependency && c.callWait() > callJam
}

// full reports a want of capacity for a class: busy cores (design page) or, ours, a line for calls.
func (c *Controller) full(class int) bool { return c.cpu > c.fig.BusyCPU || c.jammed(class) }

// placeCalls places waiting calls as far as the share goes: by worth those still in their aim, then
// others.
func (c *Controller) placeCalls() {
	over := func(r *request) bool { return r.state != blocked || r.answered }
	c.callLine = slices.DeleteFunc(c.callLine, over)
	for c.mayCall() {
		best, most := -1, 0.0
		for i, r := range c.callLine {
			if w := c.callWorth(r); r.callAt <= c.now && w > most {
				best, most = i, w
			}
		}
		if best < 0 {
			return
		}
		r := c.callLine[best]
		c.callLine = slices.Delete(c.callLine, best, best+1)
		c.call(r)
	}
}

// callWorth is what a request is worth that waits for a call. Of late ones the latest read has most
// hope.
func (c *Controller) callWorth(r *request) float64 {
	class, back := &c.set.Classes[r.class], c.now+time.Duration(c.callMean*float64(time.Second))
	switch {
	case back <= r.aim:
		return class.PriorityWeight
	case back > r.due-guardTime && c.callMean < c.callStock:
		return 0
	}
	return class.PriorityWeight*class.LateWeightFraction + c.fig.LateCallWeight*(1+max(r.due-c.now, 0).Seconds())
}

// call places one call, with patience to the end of the request's time or of the worth without the
// call.
func (c *Controller) call(r *request) {
	class := &c.set.Classes[r.class]
	end := r.due - guardTime
	if class.DegradedWeightFraction > 0 {
		end = min(end, r.aim-c.expected(r)/2)
	}
	if end <= c.now {
		c.without(r)
		return
	}
	if c.set.Dependency == DependencyShared {
		patience := max(2*c.callTime-c.set.AbandonedCallTime.Seconds(), c.callTime)
		end = min(end, c.now+time.Duration(patience*float64(time.Second)))
	}
	r.state = calling
	r.tries++
	c.inHand++
	c.act(Action{Kind: ActionPlaceCall, Request: r.id, Duration: end - c.now})
}

// without goes on without the call where that has worth, and fails the request where it has none.
func (c *Controller) without(r *request) {
	if c.set.Classes[r.class].DegradedWeightFraction <= 0 {
		c.fail(r, why(CauseCallFailed, 0, 0))
		return
	}
	c.resume(r)
	c.act(Action{Kind: ActionOmitCall, Request: r.id})
}

// called ends a call. One that may have had an effect is not repeated.
func (c *Controller) called(r *request, e *Event) {
	if r.state != calling {
		return
	}
	proven := e.Outcome == OutcomeRejected || e.Outcome == OutcomeUnreachable || e.Outcome == OutcomeNeverStarted
	// A call turned away at once is not a fast one, and one that broke does not tell how long calls
	// take.
	if took := e.Elapsed.Seconds(); !proven && e.Outcome != OutcomeConnectionLost {
		c.calls++
		c.callMean += max(learn, 1/c.calls) * (took - c.callMean)
		// Forgotten by time, the best of many short calls is that of a lucky few, and the usual
		// looks slow. So it does beside the best of any few: it is taken as high as it may be, by
		// how calls differ.
		w := max(callLearn, 1/c.calls)
		c.callLong += w * (took - c.callLong)
		c.callVar += w * ((took-c.callLong)*(took-c.callLong) - c.callVar)
		high := c.callLong + 2*math.Sqrt(c.callVar/min(c.calls, 2/callLearn))
		if c.callBest = min(c.callBest*c.fig.BestCallTimeGrowth, high); c.calls <= callFew {
			c.callBest = high
		}
	}
	if e.Outcome == OutcomeTimedOut { // one that broke was dropped by the dependency itself
		c.linger()
	}
	if e.Outcome == OutcomeOK || r.answered {
		c.resume(r)
		return
	}
	c.inHand--
	r.state = blocked
	again := r.tries < maxCalls && (proven || c.set.Classes[r.class].Idempotency == Idempotent)
	if !again || e.Outcome == OutcomeTimedOut {
		c.without(r)
		return
	}
	r.callAt = c.now + callBackoff*time.Duration(r.tries)
	c.callLine = append(c.callLine, r)
}

// leaveCall ends r's stay at a call; an abandoned one lingers in the dependency's hands.
func (c *Controller) leaveCall(r *request, abandoned bool) {
	c.atCalls--
	if r.state == calling {
		c.inHand--
	}
	if abandoned {
		c.linger()
	}
}

// resume brings r back from a call.
func (c *Controller) resume(r *request) {
	c.leaveCall(r, false)
	r.state = running
	c.onCores++
	c.load++
}

func (c *Controller) linger() { c.lingering = append(c.lingering, c.now+c.set.AbandonedCallTime) }

// timer reads the gauges, answers what is due and moves the pool.
func (c *Controller) timer(e *Event) {
	c.cpu, c.load = e.Gauges.CPU, e.Gauges.Runnable
	if !(c.cpu >= 0 && c.load >= 0) { // no gauges: what runs stands for them
		c.cpu, c.load = float64(c.onCores)/float64(c.set.Cores), float64(c.onCores)
	}
	if c.crowded = min(c.turned/turnedAll, 1); !(c.cpu > c.fig.BusyCPU) {
		c.crowded = 1 // calls may stand in line, and the dependency is the same for all
	}
	c.expire()
	c.sweep()
	if c.now >= c.periodAt+period {
		c.step(c.now - c.periodAt)
		c.periodAt = c.now
	}
	c.act(Action{Kind: ActionTimer, Duration: tick})
}

// sweep answers what has run out of time. It goes by copies: what is answered moves those that wait
// for it.
func (c *Controller) sweep() {
	for i := range c.holds {
		for _, r := range slices.Clone(c.holds[i].line) {
			if r.due <= c.now+guardTime || c.hopeless(r, 0) {
				c.refuse(r, 0, c.lost(r), why(CauseObjectiveUnreachable, 0, 0))
			}
		}
	}
	next := c.next()
	for _, r := range slices.Clone(c.busy) {
		pointless := r.state == running && c.set.Cancel != CancelNone && c.full(r.class) &&
			(c.overlong(r, next) || c.set.Classes[r.class].LateWeightFraction == 0 && r.aim <= c.now)
		if r.due <= c.now+guardTime || pointless {
			c.fail(r, why(CauseDeadlinePassed, 0, 0))
		}
	}
}

// overlong reports that r gives way to next: what has run far longer than expected has long to go.
func (c *Controller) overlong(r, next *request) bool {
	return c.overloaded && next != nil && c.set.Classes[next.class].PriorityWeight >= c.set.Classes[r.class].PriorityWeight &&
		float64(c.now-r.began) > c.fig.OverrunFactor*float64(c.expected(r))
}

// health is bad while this server alone reads too late to serve, as few further tries tell: the
// list reaches callers that forget its credit. While it reads more than usual all may be flooded,
// and it stays.
func (c *Controller) health(target float64) {
	c.unread, c.readNow = c.unread*unreadFade, c.readNow*(1-learn)
	// a period, in the mean of its life
	usual := c.readAll * float64(period) / float64(c.now-c.born)
	enter := c.unread > c.fig.RejectDelayFactor*target && c.further < c.fig.FewRetriesShare && learn*c.readNow <= usual
	if !c.set.EndpointListFollowsHealth || c.draining || c.unfit && c.unread > target/2 || !c.unfit && !enter {
		return
	}
	c.turn(&c.unfit, !c.unfit, "health bad: reads too late to serve, others serve", "health good again")
	c.act(Action{Kind: ActionSetHealth, Static: true, Healthy: !c.unfit})
}

// step is Breakwater's: the pool grows by A, or is cut by the excess of the class furthest over its
// target.
func (c *Controller) step(since time.Duration) {
	worst, longest, full := -1.0, 0.0, false
	for i := range c.holds {
		t := float64(c.target(i))
		longest = max(longest, t)
		if c.full(i) {
			full = true
			worst = max(worst, (float64(c.delay(i))-t)/t)
		}
	}
	c.countCallers()
	c.trim(longest)
	c.stepCalls()
	c.health(longest)
	if worst >= 0 {
		least := c.fig.MinCredit
		if !(c.cpu > c.fig.BusyCPU) { // the cores are free: what does not call is still welcome
			least = c.fig.IdleCreditPerCore * float64(c.set.Cores)
		}
		c.pool = max(c.pool*max(1-c.fig.MultiplicativeDecrease*worst, c.fig.MinCutFactor), least)
	} else {
		// Nor beyond twice its use: credit that nobody used would all be drawn at once as load
		// comes.
		use := float64(c.onCores + c.atCalls + c.set.Cores)
		c.pool = min(c.pool+max(c.fig.AdditiveIncrease*float64(max(c.heardN, 1)), 1), c.crowd(), max(c.pool, 2*use))
	}
	c.turn(&c.overloaded, full && (worst >= 0 || c.overloaded),
		"overload entered: queueing delay over target, credit cut", "overload left: capacity no longer full")
	c.advertise()
	for i := range c.buckets {
		c.buckets[i] = min(c.buckets[i]+c.quota(i)*since.Seconds(), max(c.quota(i)*quotaBurst.Seconds(), 1))
	}
}

// turn sets one of the logged states.
func (c *Controller) turn(flag *bool, on bool, entered, left string) {
	if *flag == on {
		return
	}
	if *flag = on; !on {
		entered = left
	}
	c.log(entered)
}

// countCallers lets callers leave the count when they have not been heard for heardFor.
func (c *Controller) countCallers() {
	for c.slotAt = max(c.slotAt, int(c.now/period)-heardSlots); c.slotAt < int(c.now/period); {
		c.slotAt++
		c.heardN -= c.slots[c.slotAt%heardSlots]
		c.slots[c.slotAt%heardSlots] = 0
	}
}

// advertise tells callers their part of the pool, when it has moved.
func (c *Controller) advertise() {
	pool, v := c.pool, 0.0
	if c.draining {
		pool = 0
	}
	switch share := min(pool/c.crowd(), 1); c.set.CreditMode {
	case CreditNone:
		return
	case CreditPerCaller:
		n := max(c.heardN, 1)
		if c.set.WarmingUp && c.now < c.born+heardFor { // callers that were not heard yet come as well
			n = max(n, c.set.Callers)
		}
		v = pool / float64(n)
	case CreditWeight:
		v = share
	case CreditRankThreshold:
		v = 1 - share
	}
	if math.Abs(v-c.said) > c.fig.AdvertiseStep*c.said || c.said < 0 {
		c.said = v
		c.act(Action{Kind: ActionAdvertise, Value: v})
	}
}

// drain starts the way out: health turns bad, late arrivals are refused, all is answered before the
// stop.
func (c *Controller) drain(e *Event) {
	if c.draining {
		return
	}
	c.draining, c.drainAt, c.stopAt = true, c.now, e.Deadline
	c.log("drain: leaving, late arrivals are refused")
	c.act(Action{Kind: ActionSetHealth, Static: true, Healthy: false})
	c.advertise()
	for _, r := range c.requests {
		c.bound(r)
	}
}

// bound keeps a request's due time before the stop of a draining process.
func (c *Controller) bound(r *request) {
	if c.draining && c.stopAt > 0 {
		r.due = min(r.due, c.stopAt-stopGuard)
		r.aim = min(r.aim, r.due)
	}
}

// push adds r to the hold of its class, in the order of reading.
func (c *Controller) push(r *request) {
	c.bound(r)
	c.holds[r.class].line = append(c.holds[r.class].line, r)
}

// unlink takes r out of a line.
func (c *Controller) unlink(line *[]*request, r *request) {
	if i := slices.Index(*line, r); i >= 0 {
		*line = slices.Delete(*line, i, i+1)
	}
}

// remove drops a request and gives its memory back.
func (c *Controller) remove(r *request) {
	line, factor := &c.busy, c.set.RunningMemoryFactor
	switch r.state {
	case held:
		line, factor = &c.holds[r.class].line, 1
	case joined, reusing:
		factor = 1
		if r.state == reusing && r.origin != nil {
			c.sharing--
		}
	case running:
		c.onCores--
		c.load--
	default:
		c.leaveCall(r, r.state == calling)
	}
	c.unlink(line, r)
	c.memoryKB -= r.sizeKB * factor
	delete(c.requests, r.id)
}
