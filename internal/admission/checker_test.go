package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// checkerEpoch is the time at which a checked server starts.
const checkerEpoch = time.Hour

// observedRequest is the checker's own state of one request.
type observedRequest struct {
	id                       uint64
	class                    int
	subject                  uint64
	arrivedAt, deadline      time.Duration
	sizeKB                   float64
	state                    requestState
	answered, abandoned, ran bool
	finished                 bool
	callDone, callMayHaveRun bool
	cancelled                bool
	succeeded                bool
	finishedAt               time.Duration
	priorRequest             uint64
}

// checker feeds a controller with random valid events and checks its actions against the rules of the
// service. It does not model speeds or queues: which runs and calls end, and when, is drawn at random.
type checker struct {
	settings  Settings
	ctl       *Controller
	rng       *rand.Rand
	now       time.Duration
	lastID    uint64
	all       map[uint64]*observedRequest
	live      []*observedRequest
	ranKeys   map[uint64]time.Duration // by subject, the arrival of the attempt that ran
	keyOwner  map[uint64]uint64        // by subject, the request whose key is remembered
	keyExpiry map[uint64]time.Duration
	timers    []time.Duration
	drainAt   time.Duration
	stopAt    time.Duration
	// when the dependency stops working on each abandoned call
	abandonedCalls []time.Duration
	// by subject, the first keyed request of the batch, which later ones in the batch repeat
	firstOfBatch map[uint64]uint64
	mutate       func(k *checker, out []Action) []Action
	problems     []string
	reused       int
}

func newChecker(t testing.TB, s Settings, seed uint64) *checker {
	t.Helper()
	ctl, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &checker{
		settings:  s,
		ctl:       ctl,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		now:       checkerEpoch,
		all:       map[uint64]*observedRequest{},
		ranKeys:   map[uint64]time.Duration{},
		keyOwner:  map[uint64]uint64{},
		keyExpiry: map[uint64]time.Duration{},
	}
}

// rule is one of the rules of the service that the checker checks.
type rule string

const (
	ruleOneAnswer   rule = "lost"      // each request gets one answer in time
	ruleNoDuplicate rule = "duplicate" // no effect happens twice
	ruleDrain       rule = "drain"     // a drain leaves no request unanswered
	ruleCapacity    rule = "fall-over" // the server and the dependency stay within their capacity
	ruleProtocol    rule = "fault"     // only actions that the host can carry out
)

// violate records that a rule was broken.
func (k *checker) violate(broken rule, format string, a ...any) {
	const maxProblems = 500
	if len(k.problems) < maxProblems {
		text := fmt.Sprintf("%v: %s: ", k.now-checkerEpoch, broken) + fmt.Sprintf(format, a...)
		k.problems = append(k.problems, text)
	}
}

// runLifetime simulates a server from start to stop: load, more load, a drain and the stop.
func (k *checker) runLifetime() {
	for range 1500 {
		k.step(20)
	}
	for range 1500 {
		k.step(70)
	}
	k.drainAt, k.stopAt = k.now, k.now+3*time.Second
	k.handleBatch([]Event{{Kind: EventDrain, Deadline: k.stopAt}})
	for k.now < k.stopAt {
		k.step(40)
		if k.now > k.stopAt-100*time.Millisecond {
			k.now = k.stopAt
			k.audit()
		}
	}
}

// step advances the time by a few milliseconds and handles a batch of events. Arrivals
// are added one by one, each with a probability of rate percent, until one is not.
func (k *checker) step(rate int) {
	k.now += time.Duration(1+k.rng.IntN(8)) * time.Millisecond
	events := k.dueTimers()
	for _, s := range k.live {
		if e, ok := k.progress(s); ok {
			events = append(events, e)
		}
	}
	k.firstOfBatch = map[uint64]uint64{}
	for k.rng.IntN(100) < rate {
		events = append(events, k.arrival())
	}
	if k.rng.IntN(40) == 0 { // unknown and finished requests
		kind := EventKind(2 + k.rng.IntN(4))
		events = append(events, Event{Kind: kind, Request: uint64(k.rng.IntN(int(k.lastID)+9)) << 40})
	}
	k.handleBatch(events)
}

// dueTimers returns an event for each timer that is due.
func (k *checker) dueTimers() (events []Event) {
	waiting := k.timers[:0]
	for _, at := range k.timers {
		if at > k.now {
			waiting = append(waiting, at)
			continue
		}
		g := Gauges{
			CPU:         k.rng.Float64() * 1.2,
			Runnable:    float64(k.onCores()),
			Memory:      0.5,
			Connections: math.NaN(),
		}
		if k.rng.IntN(50) == 0 {
			g = Gauges{CPU: math.NaN(), Runnable: math.Inf(1), Memory: math.Inf(-1), Connections: -3}
		}
		events = append(events, Event{Kind: EventTimer, Gauges: g})
	}
	k.timers = waiting
	return events
}

func (k *checker) onCores() (n int) {
	for _, s := range k.live {
		if s.state == running && !s.finished {
			n++
		}
	}
	return n
}

// arrival returns a random arrival.
func (k *checker) arrival() Event {
	k.lastID++
	class := k.rng.IntN(len(k.settings.Classes))
	delay := time.Duration(k.rng.IntN(200)) * time.Millisecond
	s := &observedRequest{
		id:        k.lastID,
		class:     class,
		subject:   uint64(k.rng.IntN(40)) + 1,
		arrivedAt: k.now - delay,
		sizeKB:    1 + 60*k.rng.Float64(),
	}
	s.deadline = s.arrivedAt + time.Duration(k.rng.Int64N(int64(k.settings.Classes[class].Timeout)))
	e := Event{
		Kind:          EventRequest,
		Request:       s.id,
		Class:         class,
		Tenant:        k.rng.IntN(3),
		Caller:        uint32(k.rng.IntN(max(k.settings.Callers, 5))),
		Deadline:      s.deadline,
		SizeKB:        s.sizeKB,
		QueueingDelay: delay,
		Retry:         k.rng.IntN(4) == 0,
	}
	if !k.settings.ReportsAbandoned { // a host that does not report abandoned requests knows no deadlines either
		e.Deadline, s.deadline = 0, s.arrivedAt+k.settings.Classes[class].Timeout
	}
	s.deadline = max(s.deadline, k.now)
	switch k.rng.IntN(12) {
	case 0:
		e.ExpectedWork = time.Duration(k.rng.Int64())
	case 1, 2, 3:
		e.ExpectedWork = time.Duration(k.rng.IntN(500)) * time.Millisecond
	}
	k.linkToPrior(s, &e)
	k.all[s.id] = s
	k.live = append(k.live, s)
	return e
}

// linkToPrior sets the remembered request that an arrival repeats, as a host does from its table of
// keys.
func (k *checker) linkToPrior(s *observedRequest, e *Event) {
	idempotency := k.settings.Classes[s.class].Idempotency
	if idempotency == Idempotent && k.settings.ResultMaxAge > 0 {
		s.subject = 1000 + uint64(k.rng.IntN(10)) // few subjects, so that reads share runs
		e.SubjectKey, s.priorRequest = s.subject, k.keyOwner[s.subject]
		prior := k.all[s.priorRequest]
		if prior != nil && k.keyExpiry[s.subject] >= s.arrivedAt && k.mayShare(prior) {
			e.PriorRequest = s.priorRequest
		}
	}
	if idempotency != IdempotentWithKey {
		return
	}
	if prior, ok := k.keyOwner[s.subject]; ok && k.keyExpiry[s.subject] >= s.arrivedAt {
		e.PriorRequest = prior
	} else if first, ok := k.firstOfBatch[s.subject]; ok {
		e.PriorRequest = first
	} else {
		k.firstOfBatch[s.subject] = s.id
	}
}

// mayShare reports whether the result of a remembered read is available or may become so.
func (k *checker) mayShare(s *observedRequest) bool {
	return !s.finished || s.succeeded && k.now <= s.finishedAt+k.settings.ResultMaxAge
}

// progress returns a random event of a request after its arrival, if one happens.
func (k *checker) progress(s *observedRequest) (Event, bool) {
	if s.finished {
		return Event{}, false
	}
	p := k.rng.IntN(1000)
	if e, ok := k.runProgress(s, p); ok {
		return e, true
	}
	if s.state == inCall && p < 60 {
		return k.callEnds(s), true
	}
	if p == 999 && !s.answered && !s.abandoned && k.settings.ReportsAbandoned {
		return k.abandon(s), true
	}
	return Event{}, false
}

// runProgress returns a random event of a run, or of an answer from the result of another request.
func (k *checker) runProgress(s *observedRequest, p int) (Event, bool) {
	switch {
	case s.state == running && s.cancelled:
		return k.complete(s, OutcomeCancelled), true
	case s.state == running && s.answered && p < 100, s.state == awaitingCall && (s.answered || s.abandoned):
		return k.complete(s, OutcomeCancelled), true
	case s.state == running && p < 10:
		return k.complete(s, OutcomeOK), true
	case s.state == running && p < 12:
		return k.complete(s, OutcomeFailed), true
	case s.state == running && !s.callDone && p < 40 && !s.answered:
		s.state, s.callMayHaveRun = awaitingCall, false
		return Event{Kind: EventBlocked, Request: s.id}, true
	case s.state == reusingResult && p < 30:
		return k.complete(s, []Outcome{OutcomeOK, OutcomeOK, OutcomeFailed}[k.rng.IntN(3)]), true
	}
	return Event{}, false
}

// complete ends a run, or an answer from the result of another request.
func (k *checker) complete(s *observedRequest, o Outcome) Event {
	s.finished, s.succeeded, s.finishedAt = true, o == OutcomeOK && s.state == running, k.now
	if (o == OutcomeOK || o == OutcomeFailed) && !s.abandoned && !s.answered {
		k.answered(s, false)
	}
	return Event{Kind: EventCompleted, Request: s.id, Outcome: o}
}

// callEnds ends a call with a random outcome.
func (k *checker) callEnds(s *observedRequest) Event {
	outcome := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut,
		OutcomeUnreachable, OutcomeConnectionLost}[k.rng.IntN(8)]
	elapsed := time.Duration(k.rng.IntN(100)) * time.Millisecond
	s.state = awaitingCall
	if outcome == OutcomeOK {
		s.state, s.callDone = running, true
	}
	if outcome == OutcomeTimedOut { // the dependency drops a call whose connection broke
		k.addAbandonedCall()
	}
	s.callMayHaveRun = outcome == OutcomeTimedOut || outcome == OutcomeConnectionLost || outcome == OutcomeFailed
	return Event{Kind: EventCallCompleted, Request: s.id, Outcome: outcome, Elapsed: elapsed}
}

// abandon reports that the caller no longer waits for a request.
func (k *checker) abandon(s *observedRequest) Event {
	s.abandoned = true
	switch s.state {
	case queued, reusingResult:
		s.finished = true
	case inCall:
		s.state = awaitingCall
		k.addAbandonedCall()
	}
	return Event{Kind: EventAbandoned, Request: s.id}
}

func (k *checker) addAbandonedCall() {
	k.abandonedCalls = append(k.abandonedCalls, k.now+k.settings.AbandonedCallTime)
}
