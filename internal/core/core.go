// Package core owns every request from the moment it is read to its one final answer: the attempts to run it, the
// dedupe keys and kept results, due times and the drain. It knows no wire. Fronts hand in requests and get answers;
// back ends get attempts and calls and report outcomes; the decisions are the module's.
//
// All times are microseconds. The core runs on one goroutine.
package core

import (
	"errors"
	"log/slog"
	"math"
	"slices"

	"shalesail"
	"shalesail/internal/logs"
)

// What is told to operators, through the host.
var (
	evRefused      = logs.Define("core.refused", slog.LevelWarn, "class", "cause", "requests")
	evModule       = logs.Define("core.module", slog.LevelInfo, "text")
	evNotRun       = logs.Define("core.not_run", slog.LevelWarn, "class", "request")
	evRunUnkept    = logs.Define("core.run_not_kept", slog.LevelWarn, "class", "request", "error")
	evResultUnkept = logs.Define("core.result_not_kept", slog.LevelWarn, "class", "request", "error")
)

// Kind is how a request was answered.
type Kind uint8

// The kinds of answer.
const (
	Served  Kind = iota + 1 // with the result of a run
	Refused                 // this try never ran
	Failed                  // no promise
	Late                    // failed for want of time
	Misused                 // failed, as it names what belongs to another request; Reason says how
	Foreign                 // failed, as whoever runs requests knows of none like it
	Ran                     // it repeats one that ran, and whose result is not to be had any more
)

// Field is one named value that goes with a result.
type Field struct{ Name, Value string }

// Result is what a run made.
type Result struct {
	Status int // of the server that made it; 200 for the engine's
	Fields []Field
	Body   []byte // of one that streams: its first part
	Length int64  // of a body that streams; negative: it is not known
	Rest   Stream // nil: the body is whole
}

// Upload is the rest of a body that is still coming.
type Upload interface {
	Attach(UploadTaker) // names who takes it; from then on the request is spent
	Untaken(n int)      // tells how much of it the taker has not been rid of
	Detach()            // nobody takes it any more
}

// UploadTaker takes the rest of a body.
type UploadTaker interface{ TakeBody(part []byte) }

// Stream is the rest of a result that is still coming.
type Stream interface {
	// Attach names who takes the rest. It is called from within Answer, or never.
	Attach(Taker)
	// Wait has the rest wait, or go on.
	Wait(on bool)
	// Cancel tells that nobody takes the rest any more.
	Cancel()
}

// Taker takes the rest of a result. Finished or Cut comes once, last, unless the stream was cancelled.
type Taker interface {
	Take(part []byte)
	Finished()
	Cut() // it will not be whole, and must not look so
}

// Answer is the one final answer to a request.
type Answer struct {
	Kind     Kind
	Result   *Result // of Served
	ComeBack int64   // of Refused: how long to stay away; 0: the settings allow no such advice
	Last     bool    // of Refused: the wish that nobody else is tried
	Reason   Reason  // of Misused, and of Failed in doubt
}

// Reason is how a request was misused.
type Reason uint8

// The reasons.
const (
	NameOpen Reason = iota + 1 // another request by its name is open
	KeyTaken                   // its key stands for another body
	InDoubt                    // of Failed: it repeats one that had begun when the program ended, and may have run
)

func (r Reason) String() string {
	return map[Reason]string{NameOpen: "a request by this id is open", KeyTaken: "the dedupe key stands for another body",
		InDoubt: "it had begun before a restart, and may have run"}[r]
}

// Asker gets the answer to a request, once, unless the request was abandoned before.
type Asker interface{ Answer(Answer) }

// Request is what a front hands in.
type Request struct {
	Name    string // unique among the requests that are open
	Class   int
	Tenant  int // NoTenant: nobody's
	Caller  uint32
	Arrived int64 // Unix time at which it reached the machine
	Due     int64 // how long after that its caller waits; 0: the class's deadline
	First   int64 // Unix time at which its caller asked for it first; 0: not known
	SizeKB  float64
	Rank    float64
	Key     string // dedupe key; needed in keyed classes
	Subject uint64
	Trace   string // where it stands in its caller's trace, as that says
	Body    []byte
	Meta    []Field // what the front read beside the body, for back ends that pass it on
	Streams bool    // its front takes results that are still coming
	Rest    Upload  // what follows Body and is still coming; nil: Body is whole
	Length  int64   // of the whole body, where Rest is not nil
	Spent   bool    // a server has begun to take the rest, which cannot be had again
	Asker   Asker
}

// Outcome is how an attempt or a call ended.
type Outcome uint8

// The outcomes. NotRun, TurnedAway, Unreachable and Unknown prove that nothing ran.
const (
	Fine        Outcome = iota + 1
	Fault               // it failed
	Broken              // it was cut off and may have had its effect
	TimedOut            // likewise
	Stopped             // it ended because its request is over
	NotRun              // nothing was started
	TurnedAway          // the call was turned away
	Unreachable         // nobody took it
	Unknown             // whoever runs requests has none like this: it is nobody's
)

// Attempt is one try to run a request on a back end.
type Attempt struct {
	Request *Request
	Class   string
	Due     int64    // monotonic time at which its answer is worth nothing
	Aim     int64    // and after which it is worth less; 0: nobody knows how old it is
	Safe    bool     // it may be sent again
	Server  string   // which server took it, for back ends that have several
	Before  *Attempt // the try before it, which failed
	// Why it was not run, if its runner knows better than the outcome tells, with what was compared.
	Why          Cause
	Value, Limit float64
	id           uint64
	runner       Runner // where it was sent: routes may change while it runs
	over         bool
	pending      bool // it is not handed to its runner yet
}

// Tried tells whether a server has had one of the tries of this request.
func (a *Attempt) Tried(server string) bool {
	for b := a.Before; b != nil; b = b.Before {
		if b.Server == server {
			return true
		}
	}
	return false
}

// Try is what is known of a request that came to nothing, when it is asked whether to try again.
type Try struct {
	Class  int
	Effect bool  // running it twice would do harm
	Proven bool  // that it never ran
	Tries  int   // that it has had
	Left   int64 // microseconds until its answer is late
}

// Runner is a back end that runs requests. Outcomes are reported with Core.Ended, once an attempt, never from
// within Run.
type Runner interface {
	Run(a *Attempt)
	// Abandon tells that nobody waits for the attempt. Its end is still reported.
	Abandon(a *Attempt)
}

// Dependency places the calls of running requests and reports them with Core.Called, never from within Call.
type Dependency interface {
	Call(a *Attempt, body []byte, patience int64)
	// GiveUp drops a call that is out; nothing is reported of it.
	GiveUp(a *Attempt)
}

// Resumer is a Runner whose attempts make calls.
type Resumer interface {
	Runner
	Resume(a *Attempt, reply []byte)
}

// Gauges are measurements of the machine; NaN stands for one that is not had.
type Gauges shalesail.Gauges

// NoGauges tells the module to go by its own counts.
func NoGauges() Gauges {
	return Gauges{CPU: math.NaN(), Runnable: math.NaN(), Memory: math.NaN(), Connections: math.NaN()}
}

// Host is what the core needs from the program round it.
type Host struct {
	Now    func() int64 // monotonic, above 0
	Unix   func() int64
	After  func(d int64, fn func()) (stop func())
	Gauges func(func(Gauges))                 // measures, and then calls back once
	Health func(stored, good bool)            // how health checks are to be answered
	Say    func(value float64)                // the free value that goes with every answer from now on
	Trim   func(idle int64)                   // close connections that are idle for so long
	Route  func(class int) Runner             // where requests of the class run
	Again  func(Try) bool                     // whether one that came to nothing there is tried once more; nil: never
	Back   func(class int) int64              // how long to stay away from a class that nobody took; nil: for the least time
	Below  Dependency                         // nil where nothing is called
	Log    func(e *logs.Event, values ...any) // nil: the log of the process
	Limits Limits                             // of the table of keys
	Keeper Keeper                             // nil: keys do not outlive the program
	Claims Claims                             // nil: no other process serves as this runner
	Life   uint64                             // with a Keeper or Claims: tells this life of the program from others; 32 bits count
	Trails func(*Trail)                       // hears what became of each request, once it is answered; nil: nobody does
	Seen   func(*Request)                     // hears of each request that is taken in; nil: nobody does
}

// Limits bound the table of keys. The zero value of a field stands for what is usual.
type Limits struct {
	Keys        int // 20,000
	ResultBytes int // of kept results; 24 MB
}

const fullFor = 1_000_000 // how long a caller stays away from a full table

// request is the core's own record. It is kept until it is answered and nothing of it runs.
type request struct {
	*Request
	id       uint64
	due      int64 // monotonic
	answered bool
	running  *Attempt
	wants    []byte // body of the call that the run waits for
	calling  bool
	entry    *entry // of its key
	waits    bool   // for the result of another try
	held     bool   // it ended, and its answer waits until that is kept
	trail    *Trail // nil: nobody takes them
	stop     func() // ends the timer of its front's deadline, which would hold all of it until then
}

// Core is the request table.
type Core struct {
	host     Host
	set      shalesail.Settings
	gate     gate
	requests map[uint64]*request
	names    map[string]struct{} // of all in requests
	callers  callerTable
	lastID   uint64
	open     int // not yet answered
	keys     keyTable
	settling bool
	drainAt  int64   // monotonic; 0: not draining
	stopAt   int64   // monotonic; when a drain has to be over
	counts   []Stats // by class
	// Monotonic times since when classes are not in the settings any more.
	droppedAt []int64
	strange   []strangeKey // heard of other processes, of classes that there are not

	refused   int // for their keys, since that was told
	refusedAt int64
}

// New makes the table round a fresh module.
func New(set shalesail.Settings, seed uint64, host Host) (*Core, error) {
	set = usable(set)
	module, err := shalesail.New(set, seed)
	if err != nil {
		return nil, err
	}
	if host.Log == nil {
		host.Log = (*logs.Event).Log
	}
	c := &Core{host: host, set: set, requests: map[uint64]*request{}, names: map[string]struct{}{},
		callers: callerTable{last: map[uint32]int64{}}, keys: newKeyTable(host.Limits), counts: make([]Stats, len(set.Classes)),
		droppedAt: make([]int64, len(set.Classes))}
	c.gate = gate{module: module, now: host.Now}
	return c, nil
}

// Start lets the module begin.
func (c *Core) Start() {
	c.gate.report(shalesail.Event{})
	c.settle()
}

// droppedFor is for how long after a change of the settings requests of a class that they have not any more are taken: callers hear
// of it late.
const droppedFor = 5_000_000

// Configure takes settings that were changed while the program runs, and gives them as they are in force, with the places of classes
// that they have dropped.
func (c *Core) Configure(set shalesail.Settings) (shalesail.Settings, error) {
	set, err := usable(set).After(c.set)
	if err != nil {
		return set, err
	}
	if c.drainAt != 0 { // the notice was given under the grace of then
		set.DrainGrace = c.set.DrainGrace
	}
	if err := c.gate.module.Configure(set); err != nil {
		return set, err
	}
	for i := range set.Classes {
		if i < len(c.set.Classes) && set.Classes[i].Dropped && !c.set.Classes[i].Dropped {
			c.droppedAt[i] = c.host.Now()
		}
	}
	grow := len(set.Classes) - len(c.set.Classes)
	c.counts, c.droppedAt = append(c.counts, make([]Stats, grow)...), append(c.droppedAt, make([]int64, grow)...)
	c.set = set
	c.hearAgain()
	return set, nil
}

// Class finds a class by its name.
func (c *Core) Class(name string) (int, bool) {
	if i := c.set.Class(name); i >= 0 {
		return i, true
	}
	for i := range c.set.Classes {
		if c.set.Classes[i].Name == name && c.host.Now() < c.droppedAt[i]+droppedFor {
			return i, true
		}
	}
	return 0, false
}

// Dropped tells whether there was a class by that name.
func (c *Core) Dropped(name string) bool {
	return slices.ContainsFunc(c.set.Classes, func(class shalesail.Class) bool { return class.Name == name && class.Dropped })
}

// NoTenant is the place of requests of nobody: where there are no tenants, all are.
const NoTenant = -1

// Tenant finds a tenant by its name. Where there are none, a name says nothing.
func (c *Core) Tenant(name string) (int, bool) {
	if len(c.set.Tenants) == 0 {
		return NoTenant, true
	}
	for i := range c.set.Tenants {
		if c.set.Tenants[i].Name == name {
			return i, true
		}
	}
	return NoTenant, false
}

// Keyed tells whether requests of the class carry a key.
func (c *Core) Keyed(class int) bool { return c.set.Classes[class].Effect == shalesail.Keyed }

// Idle tells whether nothing is open, and nothing runs.
func (c *Core) Idle() bool { return len(c.requests) == 0 }

// Open is how many requests are owed an answer.
func (c *Core) Open() int { return c.open }

// Ticket names a request that was handed in.
type Ticket uint64

// Submit takes over a request that has been read whole. Its answer may come before Submit returns.
func (c *Core) Submit(q *Request) Ticket {
	// A second request by a name would be taken for the first by whoever runs them, and get its result.
	if _, taken := c.names[q.Name]; taken {
		return c.misused(q, NameOpen)
	}
	c.lastID++
	now := c.host.Now()
	queued := max(c.host.Unix()-q.Arrived, 0)
	r := &request{Request: q, id: c.lastID, trail: c.trail(q)}
	class := &c.set.Classes[q.Class]
	e := shalesail.Event{Kind: shalesail.EventRequest, Request: r.id, Class: q.Class, Tenant: q.Tenant,
		Caller: c.callers.number(q.Caller), SizeKB: q.SizeKB, Rank: q.Rank, Key: q.Subject, Queued: span(queued),
		Write: class.Effect != shalesail.Safe}
	r.due = now - queued + class.Deadline.Microseconds()
	if class.Effect == shalesail.Keyed {
		if r.entry = c.keys.find(q); r.entry != nil {
			// All tries of one request carry one body. What comes with another must not get a stranger's result.
			if r.entry.body != bodyOf(q) {
				return c.misused(q, KeyTaken)
			}
			if r.entry.restored && r.entry.ended {
				c.recall(q, r.entry)
				return 0
			}
			e.Prior = r.entry.owner
			if r.trail != nil {
				r.trail.First = r.entry.first
			}
			c.counts[q.Class].Repeats++
		}
	}
	c.requests[r.id], c.names[q.Name] = r, struct{}{}
	c.open++
	c.counts[q.Class].Read++
	if c.host.Seen != nil {
		c.host.Seen(q)
	}
	if q.Due > 0 {
		// The module takes the time that is left for a sign of the try's age, and shorter ones for further tries. It
		// goes by the class's deadline, and the shorter one is kept here.
		r.due = min(r.due, now-queued+q.Due)
		r.stop = c.host.After(r.due-now, func() { c.expire(r) })
	}
	if r.entry != nil && r.entry.elsewhere != 0 { // nothing runs here, so that the module need not hear of it
		c.await(r)
		return Ticket(r.id)
	}
	if class.Effect == shalesail.Keyed && r.entry == nil && c.keys.full() {
		c.unkept(class.Name, "the table of keys is full")
		r.trail.because(CauseKeyTable, float64(len(c.keys.byName)), float64(c.keys.most.Keys))
		c.answer(r, Answer{Kind: Refused, ComeBack: fullFor})
		c.drop(r)
		return Ticket(r.id)
	}
	if class.Effect == shalesail.Keyed && r.entry == nil && c.host.Keeper != nil {
		if back, why := c.host.Keeper.Closed(); back > 0 {
			c.unkept(class.Name, why)
			r.trail.because(c.shutBy(), 0, 0)
			c.answer(r, Answer{Kind: Refused, ComeBack: back})
			c.drop(r)
			return Ticket(r.id)
		}
	}
	c.gate.report(e)
	c.settle()
	return Ticket(r.id)
}

// unkept tells that a request is refused since its key cannot be kept: once a second, for such troubles come to many.
func (c *Core) unkept(class, why string) {
	c.refused++
	if now := c.host.Now(); now >= c.refusedAt+1_000_000 || c.refusedAt == 0 {
		c.host.Log(evRefused, class, why, c.refused)
		c.refused, c.refusedAt = 0, now
	}
}

// misused answers a request that is not taken in. The module never hears of it.
func (c *Core) misused(q *Request, why Reason) Ticket {
	c.counts[q.Class].Read++
	c.counts[q.Class].ended(Misused)
	t := c.trail(q)
	t.because(CauseNameOpen+Cause(why-NameOpen), 0, 0)
	c.tell(t, Misused, 0)
	q.Asker.Answer(Answer{Kind: Misused, Reason: why})
	return 0
}

// expire answers a request whose front set it a deadline shorter than its class's.
func (c *Core) expire(r *request) {
	if r.answered {
		return
	}
	r.trail.because(CauseDeadline, 0, 0)
	c.answer(r, Answer{Kind: Late})
	c.release(r)
}

// Abandon tells that nobody waits for the answer any more. What runs goes on, and a key stays remembered.
func (c *Core) Abandon(t Ticket) {
	if r := c.requests[uint64(t)]; r != nil && !r.answered {
		c.counts[r.Class].Gone++
		c.abandon(r)
	}
}

// Withdraw is Abandon for a caller that is there still, and to whom its front confirms that the request is over: without a result, which
// callers take for a failure.
func (c *Core) Withdraw(t Ticket) {
	if r := c.requests[uint64(t)]; r != nil && !r.answered {
		c.counts[r.Class].Withdrawn++
		c.abandon(r)
	}
}

func (c *Core) abandon(r *request) {
	r.trail.because(CauseGone, 0, 0)
	c.tellOf(r, 0, 0)
	c.close(r)
	c.release(r)
}

// release tells the module that an answer is no longer owed.
func (c *Core) release(r *request) {
	if r.held { // it knows
		c.drop(r)
		return
	}
	c.gate.report(shalesail.Event{Kind: shalesail.EventGone, Request: r.id})
	c.settle()
	c.drop(r)
}

// Began reports a result of which the first part is there. It answers the request, whose run goes on until its end is
// reported; from now on it can neither fail nor be tried again. It reports whether anybody takes the rest.
func (c *Core) Began(a *Attempt, res *Result) bool {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || r.answered {
		return false
	}
	c.callers.prove(r.Caller, c.host.Now())
	c.counts[r.Class].Served++
	r.answered = true
	c.open--
	c.tellOf(r, Served, 0)
	r.Asker.Answer(Answer{Kind: Served, Result: res})
	return true
}

// Ended reports the end of an attempt. A run that ended well without a result has one that is not kept.
func (c *Core) Ended(a *Attempt, o Outcome, res *Result) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a {
		return
	}
	a.over, r.running = true, nil
	r.trail.ended(a, o, c.host.Unix())
	c.giveUpCall(r, a)
	if o == Fine {
		c.callers.prove(r.Caller, c.host.Now())
	}
	if c.again(r, a, o) {
		c.attempt(r, a)
		return
	}
	if own := r.entry != nil && r.entry.owner == r.id; own && c.host.Keeper != nil {
		if !neverRan(o) {
			c.hold(r, o, res)
			return
		}
		c.host.Keeper.Forgot(c.kept(r))
		c.settleKey(r, o, res)
	} else if own {
		c.settleKey(r, o, res)
	}
	done, answer := verdict(o, res)
	switch {
	case o == TimedOut && r.stop != nil: // its server's clock came before its front's, which is set to the same time
		r.trail.because(CauseDeadline, 0, 0)
	case a.Why != CauseNone:
		r.trail.because(a.Why, a.Value, a.Limit)
	case o != Fine:
		r.trail.because(causeOf(o), 0, 0)
	}
	if neverRan(o) && o != Unknown && c.host.Back != nil {
		answer.ComeBack = c.host.Back(r.Class)
	}
	if o != Stopped { // the module answers what is unanswered
		c.answer(r, answer)
	}
	c.gate.report(shalesail.Event{Kind: shalesail.EventDone, Request: r.id, Outcome: done})
	c.settle()
	c.drop(r)
}

// neverRan tells whether an outcome proves that nothing ran.
func neverRan(o Outcome) bool { return o == NotRun || o == Unreachable || o == Unknown }

// verdict is what the end of a run is to the module, and to its caller.
func verdict(o Outcome, res *Result) (shalesail.Outcome, Answer) {
	switch o {
	case Fine:
		return shalesail.OK, Answer{Kind: Served, Result: res}
	case Stopped:
		return shalesail.Cancelled, Answer{Kind: Failed}
	case NotRun, Unreachable:
		return shalesail.Moot, Answer{Kind: Refused}
	case TimedOut:
		return shalesail.Failed, Answer{Kind: Late}
	case Unknown: // not a refusal: to try it elsewhere is in vain
		return shalesail.Moot, Answer{Kind: Foreign}
	}
	return shalesail.Failed, Answer{Kind: Failed}
}

// Needs reports that a run waits for a call with this body.
func (c *Core) Needs(a *Attempt, body []byte) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a {
		return
	}
	r.wants = body
	c.callers.prove(r.Caller, c.host.Now())
	if r.answered { // the run is over as far as anybody cares; it ends by itself
		return
	}
	c.gate.report(shalesail.Event{Kind: shalesail.EventBlocked, Request: r.id})
	c.settle()
}

var callOutcomes = map[Outcome]shalesail.Outcome{Fine: shalesail.OK, Fault: shalesail.Failed, Broken: shalesail.Broken,
	TimedOut: shalesail.TimedOut, Stopped: shalesail.TimedOut, NotRun: shalesail.Moot, TurnedAway: shalesail.Full,
	Unreachable: shalesail.Unreachable}

// Called reports the end of a call that took so long.
func (c *Core) Called(a *Attempt, o Outcome, reply []byte, took int64) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || !r.calling {
		return
	}
	r.calling = false
	if o == Fine {
		r.wants = nil
		if runner, ok := a.runner.(Resumer); ok {
			runner.Resume(a, reply)
		}
	}
	c.gate.report(shalesail.Event{Kind: shalesail.EventCalled, Request: r.id, Outcome: callOutcomes[o], Elapsed: span(took)})
	c.settle()
}

// Keys is how many keys are remembered.
func (c *Core) Keys() int { return len(c.keys.byName) }

// Drain tells that the process is stopped after so long.
func (c *Core) Drain(stop int64) {
	if c.drainAt != 0 {
		return
	}
	c.drainAt = c.host.Now()
	c.stopAt = c.drainAt + stop
	for _, r := range c.requests {
		if r.held && !r.answered {
			c.boundReplication(r)
		}
	}
	c.gate.report(shalesail.Event{Kind: shalesail.EventDrain, Due: span(c.stopAt)})
	c.settle()
}

// settle carries out decisions until there are none. What it does may report more.
func (c *Core) settle() {
	if c.settling {
		return
	}
	c.settling = true
	defer func() { c.settling = false }()
	for {
		d, ok := c.gate.pick()
		if !ok {
			return
		}
		c.carryOut(d)
	}
}

func (c *Core) carryOut(d decision) {
	switch d.verb {
	case doHealth:
		c.host.Health(d.stored, d.good)
		return
	case doAdvertise:
		c.host.Say(d.value)
		return
	case doTrim:
		c.host.Trim(d.span)
		return
	case doTick:
		c.host.After(d.span, c.tick)
		return
	case doLog:
		c.host.Log(evModule, d.text)
		return
	}
	r := c.requests[d.id]
	if r == nil {
		return
	}
	switch d.verb {
	case doStart:
		c.start(r)
	case doRefuse:
		r.trail.because(Cause(d.cause), d.value, d.limit)
		c.answer(r, Answer{Kind: Refused, ComeBack: d.span, Last: d.last})
	case doFail:
		r.trail.because(Cause(d.cause), d.value, d.limit)
		c.fail(r)
	case doCall:
		c.call(r, d.span)
	case doKeep:
		c.keys.keep(r, c.host.Unix()+d.span)
	case doForget:
		c.forget(r)
	case doReuse:
		c.reuse(r)
	}
	c.drop(r)
}

// tick measures the machine and lets the module look round.
func (c *Core) tick() {
	c.host.Gauges(func(v Gauges) {
		c.keys.expire(c.host.Unix())
		c.callers.expire(c.host.Now())
		c.strange = slices.DeleteFunc(c.strange, func(k strangeKey) bool { return c.host.Unix() > k.Until+lateRead })
		c.gate.tick(v)
		c.settle()
	})
}

// start begins an attempt. It is the one place where something is run, and so the last guard of two rules.
func (c *Core) start(r *request) {
	class := &c.set.Classes[r.Class]
	if !r.answered && r.entry != nil && r.entry.elsewhere != 0 { // another process was first
		c.yield(r)
		return
	}
	if r.answered || r.running != nil || c.late(r) || class.Effect == shalesail.Keyed && !c.keys.mayRun(r) {
		c.host.Log(evNotRun, class.Name, r.Name)
		c.answer(r, Answer{Kind: Failed})
		c.gate.report(shalesail.Event{Kind: shalesail.EventDone, Request: r.id, Outcome: shalesail.Failed})
		return
	}
	if r.entry != nil {
		r.entry.run(r.Arrived, class.Window.Microseconds())
		if c.host.Claims != nil {
			c.claim(r)
			return
		}
		if c.host.Keeper != nil {
			c.begin(r)
			return
		}
	}
	c.attempt(r, nil)
}

// late tells whether a request came too late to begin in a drain.
func (c *Core) late(r *request) bool {
	return c.drainAt != 0 && c.host.Now()-max(c.host.Unix()-r.Arrived, 0) > c.drainAt+c.set.DrainGrace.Microseconds()
}

func (c *Core) newAttempt(r *request, before *Attempt) *Attempt {
	class := &c.set.Classes[r.Class]
	aim := int64(0)
	if r.First > 0 {
		aim = min(c.host.Now()-(c.host.Unix()-r.First)+class.Target.Microseconds(), r.due)
	}
	return &Attempt{Request: r.Request, Class: class.Name, Due: r.due, Aim: aim, Safe: class.Effect == shalesail.Safe, Before: before, id: r.id,
		runner: c.host.Route(r.Class)}
}

func (c *Core) attempt(r *request, before *Attempt) {
	r.running = c.newAttempt(r, before)
	c.run(r)
}

// run hands an attempt to its runner.
func (c *Core) run(r *request) {
	c.counts[r.Class].Started++
	r.trail.tried(c.host.Unix())
	r.running.runner.Run(r.running)
}

// again tells whether a run is tried once more, on another server. One that may have had its effect is sent again
// only where that is safe; one that never ran always is.
func (c *Core) again(r *request, a *Attempt, o Outcome) bool {
	if r.answered || r.Spent || c.host.Again == nil || o != Unreachable && (o != Broken || !a.Safe) {
		return false
	}
	t := Try{Class: r.Class, Effect: !a.Safe, Proven: o == Unreachable, Tries: 1, Left: r.due - lateBy - c.host.Now()}
	for b := a.Before; b != nil; b = b.Before {
		t.Tries++
	}
	return c.host.Again(t)
}

// comeBack is the least time that a caller is told to stay away after a refusal.
const comeBack = 20_000

// errSlow is that of a keeper that does not answer in time.
var errSlow = errors.New("the disk does not answer in time")

// lateBy is how close to its due time a failure counts as want of time.
const lateBy = 40_000

func (c *Core) fail(r *request) {
	kind := Failed
	if c.host.Now() >= r.due-lateBy {
		kind = Late
	}
	c.answer(r, Answer{Kind: kind})
}

func (c *Core) call(r *request, patience int64) {
	if r.running == nil || r.wants == nil || c.host.Below == nil {
		c.gate.report(shalesail.Event{Kind: shalesail.EventCalled, Request: r.id, Outcome: shalesail.Unreachable})
		return
	}
	if patience <= 0 {
		patience = c.set.Classes[r.Class].Deadline.Microseconds()
	}
	r.calling = true
	c.host.Below.Call(r.running, r.wants, patience)
}

func (c *Core) giveUpCall(r *request, a *Attempt) {
	if r.calling {
		r.calling = false
		c.host.Below.GiveUp(a)
	}
}

// answer gives the final answer, if none was given.
func (c *Core) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	c.counts[r.Class].ended(a.Kind)
	if a.Kind == Refused {
		if a.ComeBack = max(a.ComeBack, comeBack); c.set.NoStayAway {
			a.ComeBack = 0
		}
	}
	c.close(r)
	c.tellOf(r, a.Kind, a.ComeBack)
	r.Asker.Answer(a)
}

// close ends what is owed: the request is answered or nobody waits for it.
func (c *Core) close(r *request) {
	r.answered = true
	c.open--
	if r.waits {
		r.waits = false
		r.entry.leave(r)
	}
	if a := r.running; a != nil && !a.pending {
		c.giveUpCall(r, a)
		a.runner.Abandon(a)
	}
}

// drop forgets a request that is answered and of which nothing runs.
func (c *Core) drop(r *request) {
	if r.answered && r.running == nil {
		delete(c.requests, r.id)
		delete(c.names, r.Name)
		if r.stop != nil {
			r.stop()
		}
	}
}

// usable is what the module is told of the settings: no more than this program can carry out. What they allow beyond that is no reason
// not to serve. The engine's protocol has no word for stopping a run nor for going on without a call, and an answer is served with what
// a run made for that request, so that reads do not share results.
func usable(set shalesail.Settings) shalesail.Settings {
	set.Halt, set.FreshFor = shalesail.HaltNone, 0
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].OmitWorth = 0
	}
	return set
}
