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
	evRejected         = logging.Define("core.rejected", slog.LevelWarn, "class", "cause", "requests")
	evAdmission        = logging.Define("core.admission", slog.LevelInfo, "text")
	evNotStarted       = logging.Define("core.start_cancelled", slog.LevelWarn, "class", "request")
	evStartNotDurable  = logging.Define("core.start_not_durable", slog.LevelWarn, "class", "request", "error")
	evResultNotDurable = logging.Define("core.result_not_durable", slog.LevelWarn, "class", "request", "error")
)

// Environment is what the core needs from the program round it.
type Environment struct {
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

const keyTableFullRetryAfter = time.Second // how long a caller stays away from a full table

// request is the core's own record. It is kept until it is answered and nothing of it runs.
type request struct {
	*Request
	id             uint64
	deadline       time.Duration // monotonic
	answered       bool
	running        *Attempt
	callBody       []byte // body of the call that the run waits for
	callInFlight   bool
	keyEntry       *keyEntry // of its key
	awaitsOriginal bool      // for the result of another try
	awaitsStore    bool      // it ended, and its answer waits until that is kept
	trace          *Trace    // nil: nobody takes them
	stopTimer      func()    // ends the timer of its front's deadline, which would hold all of it until then
}

// Manager is the request table.
type Manager struct {
	env           Environment
	settings      admission.Settings
	admission     admissionQueue
	requests      map[uint64]*request
	openIDs       map[string]struct{} // of all in requests
	callers       provenCallers
	lastID        uint64
	openCount     int // not yet answered
	keys          keyTable
	carryingOut   bool
	drainingSince time.Duration // monotonic; 0: not draining
	stopAt        time.Duration // monotonic; when a drain has to be over
	stats         []Stats       // by class
	// Monotonic times since when classes are not in the settings any more.
	removedAt        []time.Duration
	unknownClassKeys []unknownClassKey // heard of other processes, of classes that there are not

	unloggedRejections int // for their keys, since that was told
	rejectionLoggedAt  time.Duration
}

// New makes the table round a fresh module.
func New(set admission.Settings, seed uint64, host Environment) (*Manager, error) {
	set = usableSettings(set)
	module, err := admission.New(set, seed)
	if err != nil {
		return nil, err
	}
	if host.Log == nil {
		host.Log = (*logging.Event).Log
	}
	c := &Manager{env: host, settings: set, requests: map[uint64]*request{}, openIDs: map[string]struct{}{},
		callers: provenCallers{
			lastRunAt: map[uint32]time.Duration{},
		}, keys: newKeyTable(host.KeyLimits), stats: make([]Stats, len(set.Classes)),
		removedAt: make([]time.Duration, len(set.Classes))}
	c.admission = admissionQueue{module: module, now: host.Now}
	return c, nil
}

// Start lets the module begin.
func (c *Manager) Start() {
	c.admission.report(admission.Event{})
	c.runActions()
}

// IsIdle tells whether nothing is open, and nothing runs.
func (c *Manager) IsIdle() bool { return len(c.requests) == 0 }

// OpenRequests is how many requests are owed an answer.
func (c *Manager) OpenRequests() int { return c.openCount }

// Ticket names a request that was handed in.
type Ticket uint64

// Submit takes over a request that has been read whole. Its answer may come before Submit returns.
func (c *Manager) Submit(q *Request) Ticket {
	// A second request by a name would be taken for the first by whoever runs them, and get its
	// result.
	if _, taken := c.openIDs[q.ID]; taken {
		return c.answerConflict(q, DuplicateID)
	}
	c.lastID++
	queued := max(c.env.Unix().Sub(q.ArrivedAt), 0)
	r := &request{Request: q, id: c.lastID, trace: c.newTrace(q)}
	class := &c.settings.Classes[q.Class]
	arrival := c.arrivalEvent(r, queued)
	r.deadline = c.env.Now() - queued + class.Timeout
	keyed := class.Idempotency == admission.IdempotentWithKey
	if keyed {
		if r.keyEntry = c.keys.find(q); r.keyEntry != nil {
			if c.answerDuplicateAtOnce(r) {
				return 0
			}
			arrival.PriorRequest = r.keyEntry.owner
		}
	}
	c.accept(r, queued)
	switch {
	case r.keyEntry != nil && r.keyEntry.remoteOwner != 0: // nothing runs here, so that the module need not hear of it
		c.awaitRemote(r)
	case keyed && r.keyEntry == nil && c.rejectNewKey(r):
	default:
		c.admission.report(arrival)
		c.runActions()
	}
	return Ticket(r.id)
}

// arrivalEvent is what the module hears of a request.
func (c *Manager) arrivalEvent(r *request, queued time.Duration) admission.Event {
	return admission.Event{Kind: admission.EventRequest, Request: r.id, Class: r.Class, Tenant: r.Tenant,
		Caller: c.callers.admissionNumber(
			r.Caller,
		), SizeKB: r.SizeKB, Rank: r.Rank, Key: r.Entity, QueueingDelay: queued,
		Write: c.settings.Classes[r.Class].Idempotency != admission.Idempotent}
}

// answerDuplicateAtOnce answers a request that repeats another, where nothing has to be waited for: it
// carries another body, or the other ran in an earlier life. Else it counts as a repeat.
func (c *Manager) answerDuplicateAtOnce(r *request) bool {
	// All tries of one request carry one body. What comes with another must not get a stranger's
	// result.
	if r.keyEntry.bodyHash != hashBody(r.Request) {
		c.answerConflict(r.Request, KeyReused)
		return true
	}
	if r.keyEntry.restored && r.keyEntry.ended {
		c.answerRestored(r.Request, r.keyEntry)
		return true
	}
	if r.trace != nil {
		r.trace.OriginalID = r.keyEntry.originalID
	}
	c.stats[r.Class].Repeats++
	return false
}

// accept has a request in the table, where it is owed an answer.
func (c *Manager) accept(r *request, queued time.Duration) {
	c.requests[r.id], c.openIDs[r.ID] = r, struct{}{}
	c.openCount++
	c.stats[r.Class].Read++
	if c.env.OnAccepted != nil {
		c.env.OnAccepted(r.Request)
	}
	if r.Timeout > 0 {
		// The module takes the time that is left for a sign of the try's age, and shorter ones for
		// further tries. It goes by the class's deadline, and the shorter one is kept here.
		now := c.env.Now()
		r.deadline = min(r.deadline, now-queued+r.Timeout)
		r.stopTimer = c.env.After(r.deadline-now, func() { c.expire(r) })
	}
}

// rejectNewKey turns a request away whose key cannot be kept.
func (c *Manager) rejectNewKey(r *request) bool {
	if c.keys.isFull() {
		r.trace.setCause(CauseKeyTableFull, float64(len(c.keys.entries)), float64(c.keys.limits.Keys))
		c.reject(r, "the table of keys is full", keyTableFullRetryAfter)
		return true
	}
	if c.env.KeyStore == nil {
		return false
	}
	back, why := c.env.KeyStore.Unavailable()
	if back <= 0 {
		return false
	}
	r.trace.setCause(c.storeCause(), 0, 0)
	c.reject(r, why, back)
	return true
}

// reject refuses a request of which the module has not heard, and says when to come back.
func (c *Manager) reject(r *request, why string, back time.Duration) {
	c.logRejection(c.settings.Classes[r.Class].Name, why)
	c.answer(r, Answer{Status: Rejected, RetryAfter: back})
	c.removeIfDone(r)
}

// logRejection tells that a request is refused since its key cannot be kept: once a second, for such
// troubles come to many.
func (c *Manager) logRejection(class, why string) {
	c.unloggedRejections++
	if now := c.env.Now(); now >= c.rejectionLoggedAt+time.Second || c.rejectionLoggedAt == 0 {
		c.env.Log(evRejected, class, why, c.unloggedRejections)
		c.unloggedRejections, c.rejectionLoggedAt = 0, now
	}
}

// answerConflict answers a request that is not taken in. The module never hears of it.
func (c *Manager) answerConflict(q *Request, why Reason) Ticket {
	c.stats[q.Class].Read++
	c.stats[q.Class].ended(Conflict)
	t := c.newTrace(q)
	t.setCause(CauseDuplicateID+Cause(why-DuplicateID), 0, 0)
	c.report(t, Conflict, 0)
	q.Responder.Answer(Answer{Status: Conflict, Reason: why})
	return 0
}

// expire answers a request whose front set it a deadline shorter than its class's.
func (c *Manager) expire(r *request) {
	if r.answered {
		return
	}
	r.trace.setCause(CauseDeadline, 0, 0)
	c.answer(r, Answer{Status: Expired})
	c.release(r)
}

// Abandon tells that nobody waits for the answer any more. What runs goes on, and a key stays
// remembered.
func (c *Manager) Abandon(t Ticket) {
	if r := c.requests[uint64(t)]; r != nil && !r.answered {
		c.stats[r.Class].Abandoned++
		c.abandon(r)
	}
}

// Withdraw is Abandon for a caller that is there still, and to whom its front confirms that the
// request is over: without a result, which callers take for a failure.
func (c *Manager) Withdraw(t Ticket) {
	if r := c.requests[uint64(t)]; r != nil && !r.answered {
		c.stats[r.Class].Withdrawn++
		c.abandon(r)
	}
}

func (c *Manager) abandon(r *request) {
	r.trace.setCause(CauseCallerGone, 0, 0)
	c.reportRequest(r, 0, 0)
	c.closeRequest(r)
	c.release(r)
}

// release tells the module that an answer is no longer owed.
func (c *Manager) release(r *request) {
	if r.awaitsStore { // it knows
		c.removeIfDone(r)
		return
	}
	c.admission.report(admission.Event{Kind: admission.EventAbandoned, Request: r.id})
	c.runActions()
	c.removeIfDone(r)
}

// KeyCount is how many keys are remembered.
func (c *Manager) KeyCount() int { return len(c.keys.entries) }

// Drain tells that the process is stopped after so long.
func (c *Manager) Drain(stop time.Duration) {
	if c.drainingSince != 0 {
		return
	}
	c.drainingSince = c.env.Now()
	c.stopAt = c.drainingSince + stop
	for _, r := range c.requests {
		if r.awaitsStore && !r.answered {
			c.boundReplicationWait(r)
		}
	}
	c.admission.report(admission.Event{Kind: admission.EventDrain, Deadline: c.stopAt})
	c.runActions()
}

// runActions carries out decisions until there are none. What it does may report more.
func (c *Manager) runActions() {
	if c.carryingOut {
		return
	}
	c.carryingOut = true
	defer func() { c.carryingOut = false }()
	for {
		d, ok := c.admission.pick()
		if !ok {
			return
		}
		c.carryOut(d)
	}
}

func (c *Manager) carryOut(d decision) {
	switch d.verb {
	case doHealth:
		c.env.SetHealth(d.stored, d.good)
		return
	case doAdvertise:
		c.env.Advertise(d.value)
		return
	case doTrim:
		c.env.CloseIdle(d.span)
		return
	case doTick:
		c.env.After(d.span, c.tick)
		return
	case doLog:
		c.env.Log(evAdmission, d.text)
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
		r.trace.setCause(Cause(d.cause), d.value, d.limit)
		c.answer(r, Answer{Status: Rejected, RetryAfter: d.span, DoNotRetry: d.last})
	case doFail:
		r.trace.setCause(Cause(d.cause), d.value, d.limit)
		c.fail(r)
	case doCall:
		c.startCall(r, d.span)
	case doKeep:
		c.keys.put(r, c.env.Unix().Add(d.span))
	case doForget:
		c.releaseKey(r)
	case doReuse:
		c.answerDuplicate(r)
	}
	c.removeIfDone(r)
}

// tick measures the machine and lets the module look round.
func (c *Manager) tick() {
	c.env.Measure(func(v Gauges) {
		c.keys.expire(c.env.Unix())
		c.callers.expire(c.env.Now())
		c.unknownClassKeys = slices.DeleteFunc(
			c.unknownClassKeys,
			func(k unknownClassKey) bool { return c.env.Unix() > k.ExpiresAt.Add(maxReadDelay) },
		)
		c.admission.tick(v)
		c.runActions()
	})
}

// minRetryAfter is the least time that a caller is told to stay away after a refusal.
const minRetryAfter = 20 * time.Millisecond

// errStoreTimeout is that of a keeper that does not answer in time.
var errStoreTimeout = errors.New("the disk does not answer in time")

// deadlineMargin is how close to its due time a failure counts as want of time.
const deadlineMargin = 40 * time.Millisecond

func (c *Manager) fail(r *request) {
	kind := Failed
	if c.env.Now() >= r.deadline-deadlineMargin {
		kind = Expired
	}
	c.answer(r, Answer{Status: kind})
}

// answer gives the final answer, if none was given.
func (c *Manager) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	c.stats[r.Class].ended(a.Status)
	if a.Status == Rejected {
		if a.RetryAfter = max(a.RetryAfter, minRetryAfter); c.settings.NoRetryAfter {
			a.RetryAfter = 0
		}
	}
	c.closeRequest(r)
	c.reportRequest(r, a.Status, a.RetryAfter)
	r.Responder.Answer(a)
}

// closeRequest ends what is owed: the request is answered or nobody waits for it.
func (c *Manager) closeRequest(r *request) {
	r.answered = true
	c.openCount--
	if r.awaitsOriginal {
		r.awaitsOriginal = false
		r.keyEntry.removeWaiter(r)
	}
	if a := r.running; a != nil && !a.pending {
		c.cancelCall(r, a)
		a.runner.Abandon(a)
	}
}

// removeIfDone forgets a request that is answered and of which nothing runs.
func (c *Manager) removeIfDone(r *request) {
	if r.answered && r.running == nil {
		delete(c.requests, r.id)
		delete(c.openIDs, r.ID)
		if r.stopTimer != nil {
			r.stopTimer()
		}
	}
}
