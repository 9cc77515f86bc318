// Package balance is what stands before the runners: a balancer with habits of its own. It chooses
// a server for each try, waits, tries again, avoids and checks servers, and heeds what they tell
// it, or does none of that. It is a state machine free of I/O: the simulator's model plays it in
// virtual time, and its rig puts it on sockets.
//
// Each request that is submitted is finished exactly once. Retries and copies belong to its first
// try. A balancer knows of a server only what the list, its own checks, reports and that server's
// answers told it.
package balance

import (
	"math"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// The ways of choosing.
const (
	RoundRobin        Policy = "round"    // one after the other
	LeastRequests     Policy = "least"    // the fewest requests out from here
	PowerOfTwoChoices Policy = "two"      // the better of two drawn at random, by requests out
	WeightedRandom    Policy = "weighted" // at random by fixed weights
	LeastReportedLoad Policy = "told"     // the lowest measured load that was reported
	ConsistentHash    Policy = "hash"     // by the request's key, with little change when the list does
	LeastLatency      Policy = "fastest"  // the lowest mean time of answers
)

// The ways of trying again.
const (
	RetryNever     Retry = "never"
	RetryBounded   Retry = "bounded"   // so many tries, and retries only as a share of first tries
	RetryUnlimited Retry = "limitless" // down the list, and round again, until the client's time is over
)

// The kinds of answer.
const (
	Served Kind = iota + 1
	Rejected
	Failed      // it may have run
	Unreachable // no connection: it never ran
)

// The ends.
const (
	EndServed Outcome = iota + 1
	EndRejected
	EndFailed
	EndTimedOut // the client's time was over
	EndUnsent   // no server was willing, and none was tried
)

const (
	drawFirst = iota
	drawSecond
	drawWeight
	drawAllow
	drawThrottle = 1 << 20
)

type pendingRequest struct {
	*Request
	startedAt     time.Duration
	attempts      int
	active        []*Attempt
	tried         map[int]bool // in this round of the list
	lastOutcome   Outcome
	deadlineTimer virtualclock.Timer
	hedged        bool
	retryTimer    virtualclock.Timer
	sameServer    int // the server to go to again; -1: any
}

type server struct {
	listed       bool
	inSubset     bool
	weight       float64
	outstanding  int
	credit       float64
	creditAt     time.Duration
	avoidUntil   time.Duration
	failures     int
	ejectedUntil time.Duration
	failedChecks int // checks in a row
	latency      float64
	load         float64
	checking     bool
}

// Stats counts what a balancer did.
type Stats struct{ Requests, Attempts, Hedged, Aborted, Ejections, Unsent, Throttled int }

// Balancer is one of them.
type Balancer struct {
	behavior       Behavior
	clock          virtualclock.Clock
	transport      Transport
	draw           Draw
	servers        []server
	nextServer     int
	retryTokens    float64
	recentRequests float64 // decayed counts of Throttle
	recentServed   float64
	decayedAt      time.Duration
	eligible       []int // scratch
	Stats          Stats
}

const (
	unhealthyAfterChecks = 2
	latencyWeight        = 0.2
	maxRetryTokens       = 10.0
	throttleDecay        = 10 * time.Second
	minRetryPause        = time.Millisecond
	minFailureLatency    = time.Second
)

// New makes a balancer before n servers, none of which is listed yet. name tells subsets apart.
func New(name uint64, n int, habit Behavior, clock virtualclock.Clock, wire Transport, draw Draw) *Balancer {
	b := &Balancer{
		behavior:    habit,
		clock:       clock,
		transport:   wire,
		draw:        draw,
		servers:     make([]server, n),
		retryTokens: maxRetryTokens,
		decayedAt:   clock.Now(),
		nextServer:  int(rendezvousScore(name, 0) % uint64(max(n, 1))),
	}
	for i := range b.servers {
		b.servers[i].weight = 1
		b.servers[i].inSubset = true
	}
	if habit.SubsetSize > 0 && habit.SubsetSize < n {
		for i := range b.servers {
			above := 0
			for j := range b.servers {
				if rendezvousScore(name, j) > rendezvousScore(name, i) {
					above++
				}
			}
			b.servers[i].inSubset = above < habit.SubsetSize
		}
	}
	if habit.HealthCheckInterval > 0 {
		for i := range b.servers {
			b.clock.After(scale(habit.HealthCheckInterval, b.draw(name, i, drawFirst)), func() { b.startCheck(i) })
		}
	}
	return b
}

// SetListed takes a change of the list. What is out at a server that went goes on.
func (b *Balancer) SetListed(i int, on bool) {
	if s := &b.servers[i]; s.listed != on {
		*s = server{listed: on, inSubset: s.inSubset, weight: s.weight, outstanding: s.outstanding, checking: s.checking}
	}
}

// SetWeight sets the weight of a server.
func (b *Balancer) SetWeight(i int, w float64) { b.servers[i].weight = max(w, 0) }

// Report takes a measured load.
func (b *Balancer) Report(i int, load float64) { b.servers[i].load = load }

// Checked takes the end of a health check.
func (b *Balancer) Checked(i int, good bool) {
	s := &b.servers[i]
	s.checking = false
	if good {
		s.failedChecks = 0
	} else {
		s.failedChecks++
	}
}

func (b *Balancer) startCheck(i int) {
	b.clock.After(b.behavior.HealthCheckInterval, func() { b.startCheck(i) })
	s := &b.servers[i]
	if !s.listed || !s.inSubset {
		return
	}
	if s.checking { // the one before has not come back
		s.failedChecks++
		return
	}
	s.checking = true
	b.transport.Check(i)
}

// Submit takes over a first try.
func (b *Balancer) Submit(r *Request) {
	now := b.clock.Now()
	p := &pendingRequest{Request: r, startedAt: now, tried: map[int]bool{}, sameServer: -1}
	b.Stats.Requests++
	b.retryTokens = min(b.retryTokens+b.behavior.RetryBudget, maxRetryTokens)
	p.deadlineTimer = b.clock.After(r.Deadline, func() { b.finish(p, EndTimedOut, nil) })
	if b.isThrottled(r) {
		b.Stats.Throttled++
		b.finish(p, EndUnsent, nil)
		return
	}
	b.send(p, false)
}

// isThrottled keeps a request back in proportion to how much is turned away of late.
func (b *Balancer) isThrottled(r *Request) bool {
	if b.behavior.ThrottleFactor <= 0 {
		return false
	}
	now := b.clock.Now()
	fade := math.Exp(-virtualclock.Micros(now-b.decayedAt) / virtualclock.Micros(throttleDecay))
	b.recentRequests, b.recentServed, b.decayedAt = b.recentRequests*fade+1, b.recentServed*fade, now
	return b.draw(r.ID, 0, drawThrottle) < (b.recentRequests-b.behavior.ThrottleFactor*b.recentServed-1)/(b.recentRequests+1)
}

// send sends one more try, if there is a server for it.
func (b *Balancer) send(p *pendingRequest, second bool) {
	i := b.choose(p)
	if i < 0 {
		if !second {
			b.handleNoServer(p)
		}
		return
	}
	now := b.clock.Now()
	t := &Attempt{Request: p.Request, Server: i, Number: p.attempts, SentAt: now, Hedged: second, pending: p}
	p.attempts++
	p.tried[i] = true
	p.sameServer = -1
	p.active = append(p.active, t)
	b.Stats.Attempts++
	b.servers[i].outstanding++
	if wait := scale(p.Deadline, b.behavior.AttemptTimeout); b.behavior.AttemptTimeout < 1 &&
		now+wait < p.startedAt+p.Deadline {
		t.timer = b.clock.After(wait, func() { b.attemptTimedOut(t) })
	}
	if b.behavior.HedgeDelay > 0 && p.Idempotent && !p.hedged {
		p.hedged = true
		b.clock.After(b.behavior.HedgeDelay, func() {
			if p.deadlineTimer != nil && len(p.active) == 1 && !p.active[0].closed {
				b.Stats.Hedged++
				b.send(p, true)
			}
		})
	}
	b.transport.Send(t)
}

// handleNoServer deals with a request for which no server is left in this round.
func (b *Balancer) handleNoServer(p *pendingRequest) {
	if len(p.tried) == 0 {
		if p.lastOutcome == 0 {
			b.Stats.Unsent++
			p.lastOutcome = EndUnsent
		}
		b.finish(p, p.lastOutcome, nil)
		return
	}
	if b.behavior.Retry != RetryUnlimited {
		b.finish(p, p.lastOutcome, nil)
		return
	}
	clear(p.tried)
	p.retryTimer = b.clock.After(max(b.behavior.RetryPause, minRetryPause), func() { b.send(p, false) })
}

// attemptTimedOut ends a try that took too long.
func (b *Balancer) attemptTimedOut(t *Attempt) {
	if t.closed {
		return
	}
	b.recordFailure(t)
	b.closeAttempt(t)
	b.Stats.Aborted++
	b.transport.Abort(t)
	t.pending.lastOutcome = EndFailed
	b.retry(t, true, true)
}

// Answered takes what came back of a try. What nobody waits for any more is passed over, but for
// the free value.
func (b *Balancer) Answered(t *Attempt, a Answer) {
	s, now := &b.servers[t.Server], b.clock.Now()
	if a.AdvertisedValue >= 0 && b.behavior.FollowsAdvice {
		s.credit, s.creditAt = a.AdvertisedValue, now
	}
	if t.closed {
		return
	}
	b.closeAttempt(t)
	p := t.pending
	switch a.Kind {
	case Served:
		s.failures = 0
		b.recentServed++
		b.observeLatency(s, virtualclock.Micros(now-t.SentAt))
		b.finish(p, EndServed, t)
		return
	case Rejected:
		if b.behavior.FollowsAdvice && a.RetryAfter > 0 {
			s.avoidUntil = now + a.RetryAfter
		}
		p.lastOutcome = EndRejected
		if b.behavior.FollowsAdvice && a.DoNotRetry {
			if len(p.active) == 0 {
				b.finish(p, EndRejected, nil)
			}
			return
		}
		b.retry(t, false, false)
	case Unreachable:
		b.recordFailure(t)
		p.lastOutcome = EndFailed
		b.retry(t, true, false)
	default:
		b.recordFailure(t)
		p.lastOutcome = EndFailed
		b.retry(t, true, true)
	}
}

func (b *Balancer) observeLatency(s *server, took float64) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += latencyWeight * (took - s.latency)
}

// recordFailure counts against a server that brought no answer of its own.
func (b *Balancer) recordFailure(t *Attempt) {
	s := &b.servers[t.Server]
	s.failures++
	b.observeLatency(s, virtualclock.Micros(max(b.clock.Now()-t.SentAt, minFailureLatency)))
	if b.behavior.EjectAfterFailures > 0 && s.failures >= b.behavior.EjectAfterFailures {
		s.failures = 0
		s.ejectedUntil = b.clock.Now() + b.behavior.EjectionTime
		b.Stats.Ejections++
	}
}

// closeAttempt takes a try off the books.
func (b *Balancer) closeAttempt(t *Attempt) {
	t.closed = true
	b.servers[t.Server].outstanding--
	if t.timer != nil {
		t.timer.Stop()
	}
	for i, o := range t.pending.active {
		if o == t {
			t.pending.active = append(t.pending.active[:i], t.pending.active[i+1:]...)
			break
		}
	}
}

// retry decides what follows a try without a result. One that may have had an effect is sent again
// only under its key.
func (b *Balancer) retry(t *Attempt, failed, mayHaveRun bool) {
	p := t.pending
	if len(p.active) > 0 || p.deadlineTimer == nil { // its copy may still bring one
		return
	}
	if mayHaveRun && !p.Idempotent && !p.Keyed {
		b.finish(p, p.lastOutcome, nil)
		return
	}
	if mayHaveRun && p.Keyed && b.behavior.Sticky {
		p.sameServer = t.Server
	}
	switch b.behavior.Retry {
	case RetryUnlimited:
		if failed && p.sameServer >= 0 {
			p.retryTimer = b.clock.After(max(b.behavior.RetryPause, minRetryPause), func() { b.send(p, false) })
			return
		}
		b.send(p, false)
	case RetryBounded:
		if p.attempts >= b.behavior.MaxAttempts || b.behavior.RetryBudget > 0 && b.retryTokens < 1 {
			b.finish(p, p.lastOutcome, nil)
			return
		}
		if b.behavior.RetryBudget > 0 {
			b.retryTokens--
		}
		p.retryTimer = b.clock.After(b.behavior.RetryPause, func() { b.send(p, false) })
	default:
		b.finish(p, p.lastOutcome, nil)
	}
}

// finish ends a request for its client, once, and takes back what is still out.
func (b *Balancer) finish(p *pendingRequest, e Outcome, by *Attempt) {
	if p.deadlineTimer == nil {
		return
	}
	p.deadlineTimer.Stop()
	p.deadlineTimer = nil
	if p.retryTimer != nil {
		p.retryTimer.Stop()
	}
	for len(p.active) > 0 {
		t := p.active[0]
		b.closeAttempt(t)
		b.Stats.Aborted++
		b.transport.Abort(t)
	}
	b.transport.Finish(p.Request, e, by)
}

// scale returns d times a factor, in whole microseconds.
func scale(d time.Duration, factor float64) time.Duration {
	return virtualclock.FromMicros(virtualclock.Micros(d) * factor)
}

// Outstanding is how many tries are out at a server.
func (b *Balancer) Outstanding(i int) int { return b.servers[i].outstanding }
