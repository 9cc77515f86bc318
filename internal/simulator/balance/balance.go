// Package balance models the load balancers in front of the runners: it chooses a server for each
// attempt, times attempts out, retries and hedges, ejects and checks servers, and observes their
// advice, as its Behavior configures. It does no I/O: package fleet runs it in virtual time, and
// package daytest on sockets.
//
// Each submitted request is finished exactly once. The state of a server comes from the endpoint list,
// the balancer's own health checks, load reports and the server's answers alone.
package balance

import (
	"math"
	"slices"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// pendingRequest is a request that is not finished.
type pendingRequest struct {
	*Request
	startedAt     time.Duration
	attempts      int
	active        []*Attempt
	tried         map[int]bool       // servers, in this round of the list
	lastOutcome   Outcome            // of the attempts so far
	deadlineTimer virtualclock.Timer // nil: it is finished
	hedged        bool
	retryTimer    virtualclock.Timer
	sameServer    int // to which the next attempt goes; anyServer: any
}

// Values in place of the index of a server.
const (
	anyServer = -1 // no particular one is required
	noServer  = -1 // none is eligible
)

// server is the state of a server as this balancer sees it.
type server struct {
	listed       bool
	inSubset     bool
	weight       float64
	outstanding  int
	credit       float64
	creditAt     time.Duration // 0: it never advertised any
	avoidUntil   time.Duration
	failures     int // consecutive
	ejectedUntil time.Duration
	failedChecks int     // consecutive
	latency      float64 // moving average in microseconds; 0: unknown
	load         float64 // as reported
	checking     bool
}

// Stats counts what a balancer did.
type Stats struct{ Requests, Attempts, Hedged, Aborted, Ejections, Unsent, Throttled int }

// Balancer is a load balancer. It is not safe for concurrent use.
type Balancer struct {
	behavior       Behavior
	clock          virtualclock.Clock
	transport      Transport
	draw           Draw
	servers        []server
	nextServer     int // of RoundRobin
	retryTokens    float64
	recentRequests float64 // decaying count, for the throttle
	recentServed   float64 // likewise
	decayedAt      time.Duration
	eligible       []int // scratch space of choose
	Stats          Stats
}

const (
	unhealthyAfterChecks = 2   // consecutive failed health checks
	latencyWeight        = 0.2 // of the newest sample in the moving average
	maxRetryTokens       = 10.0
	throttleDecay        = 10 * time.Second // time constant of the counts
	minRetryPause        = time.Millisecond
	minFailureLatency    = time.Second // a failed attempt counts as at least this slow
)

// New returns a balancer for n servers, none of which is listed. The name selects its subset.
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

// chooseSubset restricts the balancer to the servers with the highest scores for its name.
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

// SetListed adds server i to the endpoint list or removes it. Its attempts go on.
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

// Report takes a load report of server i.
func (b *Balancer) Report(i int, load float64) { b.servers[i].load = load }

// Outstanding returns the number of attempts at server i that are not answered.
func (b *Balancer) Outstanding(i int) int { return b.servers[i].outstanding }

// Checked takes the result of a health check of server i.
func (b *Balancer) Checked(i int, healthy bool) {
	s := &b.servers[i]
	s.checking = false
	if healthy {
		s.failedChecks = 0
	} else {
		s.failedChecks++
	}
}

// startCheck starts a health check of server i and schedules the next one. A check that has not
// ended by then has failed.
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

// Submit takes over a request.
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

// isThrottled reports whether a request is dropped, with a probability that grows with the share of
// recent requests that were not served.
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

// send sends the next attempt of a request, or handles that no server is eligible.
func (b *Balancer) send(p *pendingRequest) {
	i := b.choose(p)
	if i == noServer {
		b.handleNoServer(p)
		return
	}
	b.sendAttempt(b.newAttempt(p, i))
}

// sendHedged sends an attempt beside the one that is active, if a server is eligible.
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

// startTimeout starts the timeout of an attempt, if it ends before the request's deadline.
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

// handleNoServer deals with a request for which no server is left in this round of the list.
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

// attemptTimedOut ends an attempt whose timeout has passed.
func (b *Balancer) attemptTimedOut(attempt *Attempt) {
	if attempt.closed {
		return
	}
	b.recordFailure(attempt)
	b.abort(attempt)
	attempt.pending.lastOutcome = EndFailed
	b.retry(attempt, Failed)
}

// Answered takes the answer to an attempt. Of an attempt that was aborted only the advertised credit
// counts.
func (b *Balancer) Answered(attempt *Attempt, a Answer) {
	s, now := &b.servers[attempt.Server], b.clock.Now()
	if a.AdvertisedValue >= 0 && b.behavior.FollowsAdvice {
		s.credit = a.AdvertisedValue
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

// rejected deals with an attempt that its server rejected.
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

// observeLatency adds a sample to the moving average.
func (s *server) observeLatency(latency time.Duration) {
	sample := virtualclock.Micros(latency)
	if s.latency == 0 {
		s.latency = sample
	}
	s.latency += latencyWeight * (sample - s.latency)
}

// recordFailure counts a failed attempt against its server, and ejects the server after enough.
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

// closeAttempt removes an attempt from its request and its server.
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

// abort closes an attempt that has no answer.
func (b *Balancer) abort(attempt *Attempt) {
	b.closeAttempt(attempt)
	b.Stats.Aborted++
	b.transport.Abort(attempt)
}

// retry decides what follows an attempt that was not served. After a failure the request may have
// run: it is then retried only if it is idempotent, by itself or by its key.
func (b *Balancer) retry(attempt *Attempt, kind Kind) {
	p := attempt.pending
	mayHaveRun := kind == Failed
	if len(p.active) > 0 || p.deadlineTimer == nil { // the hedged attempt may still be served
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

// takeRetryToken reports whether a bounded retry is allowed, and takes it from the budget.
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

// finish ends a request for its client, once, and aborts its attempts.
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
