// Package core owns every request from the moment it is read to its one final answer: the attempts
// to run it, the dedupe keys and kept results, due times and the drain. It knows no wire. Fronts
// hand in requests and get answers; back ends get attempts and calls and report outcomes; the
// decisions are the module's.
//
// The manager runs on one goroutine.
package lifecycle

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// What is told to operators, through the host.
var (
	evRefused      = logging.Define("core.refused", slog.LevelWarn, "class", "cause", "requests")
	evModule       = logging.Define("core.module", slog.LevelInfo, "text")
	evNotRun       = logging.Define("core.not_run", slog.LevelWarn, "class", "request")
	evRunUnkept    = logging.Define("core.run_not_kept", slog.LevelWarn, "class", "request", "error")
	evResultUnkept = logging.Define("core.result_not_kept", slog.LevelWarn, "class", "request", "error")
)

// Host is what the core needs from the program round it.
type Host struct {
	Now       func() time.Duration // monotonic, above 0
	Unix      func() wallclock.UnixMicro
	After     func(d time.Duration, fn func()) (stop func())
	Measure   func(func(Gauges))      // measures, and then calls back once
	SetHealth func(stored, good bool) // how health checks are to be answered
	// the free value that goes with every answer from now on
	Advertise func(value float64)
	CloseIdle func(idle time.Duration) // close connections that are idle for so long
	Route     func(class int) Runner   // where requests of the class run
	// whether one that came to nothing there is tried once more; nil: never
	ShouldRetry func(RetryCandidate) bool
	// how long to stay away from a class that nobody took; nil: for the least time
	RetryAfter   func(class int) time.Duration
	Dependency   Dependency                            // nil where nothing is called
	Log          func(e *logging.Event, values ...any) // nil: the log of the process
	KeyLimits    KeyLimits                             // of the table of keys
	KeyStore     KeyStore                              // nil: keys do not outlive the program
	Reservations Reservations                          // nil: no other process serves as this runner
	// with a Keeper or Claims: tells this life of the program from others; 32 bits count
	Incarnation uint64
	// hears what became of each request, once it is answered; nil: nobody does
	OnAnswered func(*Trace)
	// hears of each request that is taken in; nil: nobody does
	OnAccepted func(*Request)
}

// KeyLimits bound the table of keys. The zero value of a field stands for what is usual.
type KeyLimits struct {
	Keys        int // 20,000
	ResultBytes int // of kept results; 24 MB
}

const fullFor = time.Second // how long a caller stays away from a full table

// request is the core's own record. It is kept until it is answered and nothing of it runs.
type request struct {
	*Request
	id       uint64
	due      time.Duration // monotonic
	answered bool
	running  *Attempt
	wants    []byte // body of the call that the run waits for
	calling  bool
	entry    *entry // of its key
	waits    bool   // for the result of another try
	held     bool   // it ended, and its answer waits until that is kept
	trail    *Trace // nil: nobody takes them
	stop     func() // ends the timer of its front's deadline, which would hold all of it until then
}

// Manager is the request table.
type Manager struct {
	host     Host
	set      admission.Settings
	gate     gate
	requests map[uint64]*request
	names    map[string]struct{} // of all in requests
	callers  callerTable
	lastID   uint64
	open     int // not yet answered
	keys     keyTable
	settling bool
	drainAt  time.Duration // monotonic; 0: not draining
	stopAt   time.Duration // monotonic; when a drain has to be over
	counts   []Stats       // by class
	// Monotonic times since when classes are not in the settings any more.
	droppedAt []time.Duration
	strange   []strangeKey // heard of other processes, of classes that there are not

	refused   int // for their keys, since that was told
	refusedAt time.Duration
}

// New makes the table round a fresh module.
func New(set admission.Settings, seed uint64, host Host) (*Manager, error) {
	set = usable(set)
	module, err := admission.New(set, seed)
	if err != nil {
		return nil, err
	}
	if host.Log == nil {
		host.Log = (*logging.Event).Log
	}
	c := &Manager{host: host, set: set, requests: map[uint64]*request{}, names: map[string]struct{}{},
		callers: callerTable{
			last: map[uint32]time.Duration{},
		}, keys: newKeyTable(host.KeyLimits), counts: make([]Stats, len(set.Classes)),
		droppedAt: make([]time.Duration, len(set.Classes))}
	c.gate = gate{module: module, now: host.Now}
	return c, nil
}

// Start lets the module begin.
func (c *Manager) Start() {
	c.gate.report(admission.Event{})
	c.settle()
}

// IsIdle tells whether nothing is open, and nothing runs.
func (c *Manager) IsIdle() bool { return len(c.requests) == 0 }

// OpenRequests is how many requests are owed an answer.
func (c *Manager) OpenRequests() int { return c.open }

// Ticket names a request that was handed in.
type Ticket uint64

// Submit takes over a request that has been read whole. Its answer may come before Submit returns.
func (c *Manager) Submit(q *Request) Ticket {
	// A second request by a name would be taken for the first by whoever runs them, and get its
	// result.
	if _, taken := c.names[q.ID]; taken {
		return c.misused(q, DuplicateID)
	}
	c.lastID++
	queued := max(c.host.Unix().Sub(q.ArrivedAt), 0)
	r := &request{Request: q, id: c.lastID, trail: c.trail(q)}
	class := &c.set.Classes[q.Class]
	arrival := c.arrivalOf(r, queued)
	r.due = c.host.Now() - queued + class.Timeout
	keyed := class.Idempotency == admission.IdempotentWithKey
	if keyed {
		if r.entry = c.keys.find(q); r.entry != nil {
			if c.answersAtOnce(r) {
				return 0
			}
			arrival.PriorRequest = r.entry.owner
		}
	}
	c.takeIn(r, queued)
	switch {
	case r.entry != nil && r.entry.elsewhere != 0: // nothing runs here, so that the module need not hear of it
		c.await(r)
	case keyed && r.entry == nil && c.refusesNewKey(r):
	default:
		c.gate.report(arrival)
		c.settle()
	}
	return Ticket(r.id)
}

// arrivalOf is what the module hears of a request.
func (c *Manager) arrivalOf(r *request, queued time.Duration) admission.Event {
	return admission.Event{Kind: admission.EventRequest, Request: r.id, Class: r.Class, Tenant: r.Tenant,
		Caller: c.callers.number(
			r.Caller,
		), SizeKB: r.SizeKB, Rank: r.Rank, Key: r.Entity, QueueingDelay: queued,
		Write: c.set.Classes[r.Class].Idempotency != admission.Idempotent}
}

// answersAtOnce answers a request that repeats another, where nothing has to be waited for: it
// carries another body, or the other ran in an earlier life. Else it counts as a repeat.
func (c *Manager) answersAtOnce(r *request) bool {
	// All tries of one request carry one body. What comes with another must not get a stranger's
	// result.
	if r.entry.body != bodyOf(r.Request) {
		c.misused(r.Request, KeyReused)
		return true
	}
	if r.entry.restored && r.entry.ended {
		c.recall(r.Request, r.entry)
		return true
	}
	if r.trail != nil {
		r.trail.OriginalID = r.entry.first
	}
	c.counts[r.Class].Repeats++
	return false
}

// takeIn has a request in the table, where it is owed an answer.
func (c *Manager) takeIn(r *request, queued time.Duration) {
	c.requests[r.id], c.names[r.ID] = r, struct{}{}
	c.open++
	c.counts[r.Class].Read++
	if c.host.OnAccepted != nil {
		c.host.OnAccepted(r.Request)
	}
	if r.Timeout > 0 {
		// The module takes the time that is left for a sign of the try's age, and shorter ones for
		// further tries. It goes by the class's deadline, and the shorter one is kept here.
		now := c.host.Now()
		r.due = min(r.due, now-queued+r.Timeout)
		r.stop = c.host.After(r.due-now, func() { c.expire(r) })
	}
}

// refusesNewKey turns a request away whose key cannot be kept.
func (c *Manager) refusesNewKey(r *request) bool {
	if c.keys.full() {
		r.trail.because(CauseKeyTableFull, float64(len(c.keys.byName)), float64(c.keys.most.Keys))
		c.turnAway(r, "the table of keys is full", fullFor)
		return true
	}
	if c.host.KeyStore == nil {
		return false
	}
	back, why := c.host.KeyStore.Unavailable()
	if back <= 0 {
		return false
	}
	r.trail.because(c.shutBy(), 0, 0)
	c.turnAway(r, why, back)
	return true
}

// turnAway refuses a request of which the module has not heard, and says when to come back.
func (c *Manager) turnAway(r *request, why string, back time.Duration) {
	c.unkept(c.set.Classes[r.Class].Name, why)
	c.answer(r, Answer{Status: Rejected, RetryAfter: back})
	c.drop(r)
}

// unkept tells that a request is refused since its key cannot be kept: once a second, for such
// troubles come to many.
func (c *Manager) unkept(class, why string) {
	c.refused++
	if now := c.host.Now(); now >= c.refusedAt+time.Second || c.refusedAt == 0 {
		c.host.Log(evRefused, class, why, c.refused)
		c.refused, c.refusedAt = 0, now
	}
}

// misused answers a request that is not taken in. The module never hears of it.
func (c *Manager) misused(q *Request, why Reason) Ticket {
	c.counts[q.Class].Read++
	c.counts[q.Class].ended(Conflict)
	t := c.trail(q)
	t.because(CauseDuplicateID+Cause(why-DuplicateID), 0, 0)
	c.tell(t, Conflict, 0)
	q.Responder.Answer(Answer{Status: Conflict, Reason: why})
	return 0
}

// expire answers a request whose front set it a deadline shorter than its class's.
func (c *Manager) expire(r *request) {
	if r.answered {
		return
	}
	r.trail.because(CauseDeadline, 0, 0)
	c.answer(r, Answer{Status: Expired})
	c.release(r)
}

// Abandon tells that nobody waits for the answer any more. What runs goes on, and a key stays
// remembered.
func (c *Manager) Abandon(t Ticket) {
	if r := c.requests[uint64(t)]; r != nil && !r.answered {
		c.counts[r.Class].Abandoned++
		c.abandon(r)
	}
}

// Withdraw is Abandon for a caller that is there still, and to whom its front confirms that the
// request is over: without a result, which callers take for a failure.
func (c *Manager) Withdraw(t Ticket) {
	if r := c.requests[uint64(t)]; r != nil && !r.answered {
		c.counts[r.Class].Withdrawn++
		c.abandon(r)
	}
}

func (c *Manager) abandon(r *request) {
	r.trail.because(CauseCallerGone, 0, 0)
	c.tellOf(r, 0, 0)
	c.close(r)
	c.release(r)
}

// release tells the module that an answer is no longer owed.
func (c *Manager) release(r *request) {
	if r.held { // it knows
		c.drop(r)
		return
	}
	c.gate.report(admission.Event{Kind: admission.EventAbandoned, Request: r.id})
	c.settle()
	c.drop(r)
}

// KeyCount is how many keys are remembered.
func (c *Manager) KeyCount() int { return len(c.keys.byName) }

// Drain tells that the process is stopped after so long.
func (c *Manager) Drain(stop time.Duration) {
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
	c.gate.report(admission.Event{Kind: admission.EventDrain, Deadline: c.stopAt})
	c.settle()
}

// settle carries out decisions until there are none. What it does may report more.
func (c *Manager) settle() {
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

func (c *Manager) carryOut(d decision) {
	switch d.verb {
	case doHealth:
		c.host.SetHealth(d.stored, d.good)
		return
	case doAdvertise:
		c.host.Advertise(d.value)
		return
	case doTrim:
		c.host.CloseIdle(d.span)
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
		c.answer(r, Answer{Status: Rejected, RetryAfter: d.span, DoNotRetry: d.last})
	case doFail:
		r.trail.because(Cause(d.cause), d.value, d.limit)
		c.fail(r)
	case doCall:
		c.call(r, d.span)
	case doKeep:
		c.keys.keep(r, c.host.Unix().Add(d.span))
	case doForget:
		c.forget(r)
	case doReuse:
		c.reuse(r)
	}
	c.drop(r)
}

// tick measures the machine and lets the module look round.
func (c *Manager) tick() {
	c.host.Measure(func(v Gauges) {
		c.keys.expire(c.host.Unix())
		c.callers.expire(c.host.Now())
		c.strange = slices.DeleteFunc(
			c.strange,
			func(k strangeKey) bool { return c.host.Unix() > k.ExpiresAt.Add(lateRead) },
		)
		c.gate.tick(v)
		c.settle()
	})
}

// comeBack is the least time that a caller is told to stay away after a refusal.
const comeBack = 20 * time.Millisecond

// errSlow is that of a keeper that does not answer in time.
var errSlow = errors.New("the disk does not answer in time")

// lateBy is how close to its due time a failure counts as want of time.
const lateBy = 40 * time.Millisecond

func (c *Manager) fail(r *request) {
	kind := Failed
	if c.host.Now() >= r.due-lateBy {
		kind = Expired
	}
	c.answer(r, Answer{Status: kind})
}

// answer gives the final answer, if none was given.
func (c *Manager) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	c.counts[r.Class].ended(a.Status)
	if a.Status == Rejected {
		if a.RetryAfter = max(a.RetryAfter, comeBack); c.set.NoRetryAfter {
			a.RetryAfter = 0
		}
	}
	c.close(r)
	c.tellOf(r, a.Status, a.RetryAfter)
	r.Responder.Answer(a)
}

// close ends what is owed: the request is answered or nobody waits for it.
func (c *Manager) close(r *request) {
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
func (c *Manager) drop(r *request) {
	if r.answered && r.running == nil {
		delete(c.requests, r.id)
		delete(c.names, r.ID)
		if r.stop != nil {
			r.stop()
		}
	}
}
