// Package balance models the load balancers in front of the runners. A balancer chooses a server for each
// attempt, limits the time of attempts, retries and hedges requests, health-checks and ejects servers, and
// follows their advice, all as its Behavior configures. The package does no I/O: package fleet runs it in
// virtual time, and package daytest on sockets.
//
// Each submitted request is finished exactly once. All that a balancer knows of a server comes from the
// endpoint list, its own health checks, load reports and the server's answers.
package balance

import (
	"math"
	"slices"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// pendingRequest is the state of a request until it is finished.
type pendingRequest struct {
	*Request
	startedAt     time.Duration
	attempts      int                // attempts sent so far
	active        []*Attempt         // attempts that are neither answered nor aborted
	tried         map[int]bool       // servers tried in the current round of the list
	lastOutcome   Outcome            // of the latest attempt that ended; 0: none has
	deadlineTimer virtualclock.Timer // nil: the request is finished
	hedged        bool               // the hedged attempt was scheduled
	retryTimer    virtualclock.Timer
	sameServer    int // server of the next attempt, or anyServer
}

// Values in place of the index of a server.
const (
	anyServer = -1 // the attempt may go to any server
	noServer  = -1 // no server is eligible
)

// server is what the balancer knows of a server.
type server struct {
	listed       bool
	inSubset     bool
	weight       float64
	outstanding  int           // attempts that are neither answered nor aborted
	credit       float64       // last advertised credit, in requests
	creditAt     time.Duration // time of that advertisement; 0: none so far
	avoidUntil   time.Duration // end of the last Retry-After
	failures     int           // consecutive failed attempts
	ejectedUntil time.Duration
	failedChecks int     // consecutive failed health checks
	latency      float64 // moving average, in microseconds; 0: unknown
	load         float64 // last reported load
	checking     bool    // a health check is under way
}

// Stats holds the counters of a balancer. Unsent counts requests that ended without an attempt because no
// server was eligible, and Throttled those that the throttle dropped. Hedged counts requests for which a hedged
// attempt was due, even if no server was eligible for it.
type Stats struct{ Requests, Attempts, Hedged, Aborted, Ejections, Unsent, Throttled int }

// Balancer is a load balancer. It is not safe for concurrent use.
type Balancer struct {
	behavior       Behavior
	clock          virtualclock.Clock
	transport      Transport
	draw           Draw
	servers        []server
	nextServer     int     // index from which RoundRobin goes on
	retryTokens    float64 // retries that the budget allows
	recentRequests float64 // exponentially decaying count, for the throttle
	recentServed   float64 // likewise
	decayedAt      time.Duration
	eligible       []int // scratch space of choose, reused between calls
	Stats          Stats
}

const (
	unhealthyAfterChecks = 2   // consecutive failed health checks after which a server is unhealthy
	latencyWeight        = 0.2 // weight of the newest sample in the moving average of the latency
	maxRetryTokens       = 10.0
	throttleDecay        = 10 * time.Second // time constant of recentRequests and recentServed
	minRetryPause        = time.Millisecond
	minFailureLatency    = time.Second // a failed attempt counts as at least this slow
)

// New returns a balancer for n servers, none of which is listed yet. Its name determines its subset of the
// servers and the start of RoundRobin.
func New(
	name uint64,
	n int,
	behavior Behavior,
	clock virtualclock.Clock,
	transport Transport,
	draw Draw,
) *Balancer {
	b := &Balancer{
		behavior:    behavior,
		clock:       clock,
		transport:   transport,
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
	b.chooseSubset(name)
	if behavior.HealthCheckInterval > 0 {
		for i := range b.servers {
			delay := scale(behavior.HealthCheckInterval, b.draw(name, i, drawFirst))
			b.clock.After(delay, func() { b.startCheck(i) })
		}
	}
	return b
}

// chooseSubset restricts the balancer to the SubsetSize servers with the highest scores for its name.
func (b *Balancer) chooseSubset(name uint64) {
	if b.behavior.SubsetSize <= 0 || b.behavior.SubsetSize >= len(b.servers) {
		return
	}
	for i := range b.servers {
		better := 0
		for other := range b.servers {
			if rendezvousScore(name, other) > rendezvousScore(name, i) {
				better++
			}
		}
		b.servers[i].inSubset = better < b.behavior.SubsetSize
	}
}

// SetListed adds server i to the endpoint list or removes it. A change resets what the balancer has learned
// of the server; outstanding attempts go on.
func (b *Balancer) SetListed(i int, listed bool) {
	s := &b.servers[i]
	if s.listed == listed {
		return
	}
	*s = server{
		listed:      listed,
		inSubset:    s.inSubset,
		weight:      s.weight,
		outstanding: s.outstanding,
		checking:    s.checking,
	}
}

// SetWeight sets the weight of server i for WeightedRandom.
func (b *Balancer) SetWeight(i int, weight float64) { b.servers[i].weight = max(weight, 0) }

// Report records a load report of server i.
func (b *Balancer) Report(i int, load float64) { b.servers[i].load = load }

// Outstanding returns the number of attempts at server i that are neither answered nor aborted.
func (b *Balancer) Outstanding(i int) int { return b.servers[i].outstanding }

// Checked records the result of a health check of server i.
func (b *Balancer) Checked(i int, healthy bool) {
	s := &b.servers[i]
	s.checking = false
	if healthy {
		s.failedChecks = 0
	} else {
		s.failedChecks++
	}
}

// startCheck starts a health check of server i and schedules the next one. If the previous check has not
// ended, it counts as failed and no other one is started.
func (b *Balancer) startCheck(i int) {
	b.clock.After(b.behavior.HealthCheckInterval, func() { b.startCheck(i) })
	s := &b.servers[i]
	if !s.listed || !s.inSubset {
		return
	}
	if s.checking {
		s.failedChecks++
		return
	}
	s.checking = true
	b.transport.Check(i)
}

// Submit accepts a request, which is finished by its deadline at the latest.
func (b *Balancer) Submit(r *Request) {
	p := &pendingRequest{Request: r, startedAt: b.clock.Now(), tried: map[int]bool{}, sameServer: anyServer}
	b.Stats.Requests++
	b.retryTokens = min(b.retryTokens+b.behavior.RetryBudget, maxRetryTokens)
	p.deadlineTimer = b.clock.After(r.Deadline, func() { b.finish(p, EndTimedOut, nil) })
	if b.isThrottled(r) {
		b.Stats.Throttled++
		b.finish(p, EndUnsent, nil)
		return
	}
	b.send(p)
}

// isThrottled decides whether a request is dropped. The probability grows with the share of recent requests
// that were not served.
func (b *Balancer) isThrottled(r *Request) bool {
	if b.behavior.ThrottleFactor <= 0 {
		return false
	}
	now := b.clock.Now()
	decay := math.Exp(-virtualclock.Micros(now-b.decayedAt) / virtualclock.Micros(throttleDecay))
	b.recentRequests = b.recentRequests*decay + 1
	b.recentServed *= decay
	b.decayedAt = now
	excess := b.recentRequests - b.behavior.ThrottleFactor*b.recentServed - 1
	return b.draw(r.ID, 0, drawThrottle) < excess/(b.recentRequests+1)
}

// send sends the next attempt of a request if a server is eligible for it.
func (b *Balancer) send(p *pendingRequest) {
	i := b.choose(p)
	if i == noServer {
		b.handleNoServer(p)
		return
	}
	b.sendAttempt(b.newAttempt(p, i))
}

// sendHedged sends the hedged attempt of a request if a server is eligible for it.
func (b *Balancer) sendHedged(p *pendingRequest) {
	i := b.choose(p)
	if i == noServer {
		return
	}
	attempt := b.newAttempt(p, i)
	attempt.Hedged = true
	b.sendAttempt(attempt)
}

// newAttempt returns the next attempt of a request, at server i.
func (b *Balancer) newAttempt(p *pendingRequest, i int) *Attempt {
	return &Attempt{
		Request: p.Request,
		Server:  i,
		Number:  p.attempts,
		SentAt:  b.clock.Now(),
		pending: p,
	}
}

func (b *Balancer) sendAttempt(attempt *Attempt) {
	p := attempt.pending
	p.attempts++
	p.tried[attempt.Server] = true
	p.sameServer = anyServer
	p.active = append(p.active, attempt)
	b.Stats.Attempts++
	b.servers[attempt.Server].outstanding++
	b.startTimeout(attempt)
	b.startHedging(p)
	b.transport.Send(attempt)
}

// startTimeout starts the timer of the attempt's timeout, unless the request's deadline comes first.
func (b *Balancer) startTimeout(attempt *Attempt) {
	p := attempt.pending
	timeout := scale(p.Deadline, b.behavior.AttemptTimeout)
	if b.behavior.AttemptTimeout < 1 && attempt.SentAt+timeout < p.startedAt+p.Deadline {
		attempt.timer = b.clock.After(timeout, func() { b.attemptTimedOut(attempt) })
	}
}

// startHedging schedules the hedged attempt of an idempotent request, once.
func (b *Balancer) startHedging(p *pendingRequest) {
	if b.behavior.HedgeDelay <= 0 || !p.Idempotent || p.hedged {
		return
	}
	p.hedged = true
	b.clock.After(b.behavior.HedgeDelay, func() {
		if p.deadlineTimer != nil && len(p.active) == 1 && !p.active[0].closed {
			b.Stats.Hedged++
			b.sendHedged(p)
		}
	})
}

// handleNoServer handles a request for which no server is eligible. With RetryUnlimited, another round of
// the list starts after a pause if a server was tried in this one. Otherwise the request is finished.
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
	b.sendAfter(p, max(b.behavior.RetryPause, minRetryPause))
}

// sendAfter sends the next attempt after a pause.
func (b *Balancer) sendAfter(p *pendingRequest, pause time.Duration) {
	p.retryTimer = b.clock.After(pause, func() { b.send(p) })
}

// attemptTimedOut aborts an attempt at its timeout, counts it as a failure and retries the request.
func (b *Balancer) attemptTimedOut(attempt *Attempt) {
	if attempt.closed {
		return
	}
	b.recordFailure(attempt)
	b.abort(attempt)
	attempt.pending.lastOutcome = EndFailed
	b.retry(attempt, Failed)
}

// Answered handles the answer to an attempt. Of an answer to an aborted attempt, only the advertised credit
// is used.
func (b *Balancer) Answered(attempt *Attempt, a Answer) {
	s, now := &b.servers[attempt.Server], b.clock.Now()
	if a.AdvertisedCredit >= 0 && b.behavior.FollowsAdvice {
		s.credit = a.AdvertisedCredit
		s.creditAt = now
	}
	if attempt.closed {
		return
	}
	b.closeAttempt(attempt)
	switch a.Kind {
	case Served:
		s.failures = 0
		b.recentServed++
		s.observeLatency(now - attempt.SentAt)
		b.finish(attempt.pending, EndServed, attempt)
	case Rejected:
		b.rejected(attempt, a)
	default:
		b.recordFailure(attempt)
		attempt.pending.lastOutcome = EndFailed
		b.retry(attempt, a.Kind)
	}
}

// rejected handles an attempt that the server rejected.
func (b *Balancer) rejected(attempt *Attempt, a Answer) {
	p := attempt.pending
	if b.behavior.FollowsAdvice && a.RetryAfter > 0 {
		b.servers[attempt.Server].avoidUntil = b.clock.Now() + a.RetryAfter
	}
	p.lastOutcome = EndRejected
	if b.behavior.FollowsAdvice && a.DoNotRetry {
		if len(p.active) == 0 {
			b.finish(p, EndRejected, nil)
		}
		return
	}
	b.retry(attempt, Rejected)
}

// observeLatency adds a sample to the moving average of the latency.
func (s *server) observeLatency(latency time.Duration) {
	sample := virtualclock.Micros(latency)
	if s.latency == 0 {
		s.latency = sample
	}
	s.latency += latencyWeight * (sample - s.latency)
}

// recordFailure records a failed attempt at its server, and ejects the server after EjectAfterFailures
// consecutive ones.
func (b *Balancer) recordFailure(attempt *Attempt) {
	s, now := &b.servers[attempt.Server], b.clock.Now()
	s.failures++
	s.observeLatency(max(now-attempt.SentAt, minFailureLatency))
	if b.behavior.EjectAfterFailures > 0 && s.failures >= b.behavior.EjectAfterFailures {
		s.failures = 0
		s.ejectedUntil = now + b.behavior.EjectionTime
		b.Stats.Ejections++
	}
}

// closeAttempt marks an attempt as closed and removes it from its request and its server.
func (b *Balancer) closeAttempt(attempt *Attempt) {
	attempt.closed = true
	b.servers[attempt.Server].outstanding--
	if attempt.timer != nil {
		attempt.timer.Stop()
	}
	if i := slices.Index(attempt.pending.active, attempt); i >= 0 {
		attempt.pending.active = slices.Delete(attempt.pending.active, i, i+1)
	}
}

// abort closes an attempt that is not answered and cancels it at its server.
func (b *Balancer) abort(attempt *Attempt) {
	b.closeAttempt(attempt)
	b.Stats.Aborted++
	b.transport.Abort(attempt)
}

// retry decides whether and how a request is retried after an attempt that was not served. After a failed
// attempt the request may have run; it is then retried only if it is idempotent, by itself or by its key.
func (b *Balancer) retry(attempt *Attempt, kind Kind) {
	p := attempt.pending
	mayHaveRun := kind == Failed
	if len(p.active) > 0 || p.deadlineTimer == nil { // another attempt may still be served, or the request is finished
		return
	}
	if mayHaveRun && !p.Idempotent && !p.Keyed {
		b.finish(p, p.lastOutcome, nil)
		return
	}
	if mayHaveRun && p.Keyed && b.behavior.Sticky {
		p.sameServer = attempt.Server
	}
	switch b.behavior.Retry {
	case RetryUnlimited:
		if kind != Rejected && p.sameServer >= 0 {
			b.sendAfter(p, max(b.behavior.RetryPause, minRetryPause))
			return
		}
		b.send(p)
	case RetryBounded:
		if !b.takeRetryToken(p) {
			b.finish(p, p.lastOutcome, nil)
			return
		}
		b.sendAfter(p, b.behavior.RetryPause)
	default:
		b.finish(p, p.lastOutcome, nil)
	}
}

// takeRetryToken reports whether a bounded retry is allowed, and if so takes a token from the budget.
func (b *Balancer) takeRetryToken(p *pendingRequest) bool {
	if p.attempts >= b.behavior.MaxAttempts {
		return false
	}
	if b.behavior.RetryBudget <= 0 {
		return true
	}
	if b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}

// finish finishes a request for its client and aborts its active attempts. Later calls do nothing.
func (b *Balancer) finish(p *pendingRequest, outcome Outcome, by *Attempt) {
	if p.deadlineTimer == nil {
		return
	}
	p.deadlineTimer.Stop()
	p.deadlineTimer = nil
	if p.retryTimer != nil {
		p.retryTimer.Stop()
	}
	for len(p.active) > 0 {
		b.abort(p.active[0])
	}
	b.transport.Finish(p.Request, outcome, by)
}

// scale returns d times a factor, cut to whole microseconds.
func scale(d time.Duration, factor float64) time.Duration {
	return virtualclock.FromMicros(virtualclock.Micros(d) * factor)
}
