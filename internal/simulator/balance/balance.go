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

type pending struct {
	*Request
	began  time.Duration
	tries  int
	open   []*Attempt
	tried  map[int]bool // in this round of the list
	last   Outcome
	timer  virtualclock.Timer
	copied bool
	paused virtualclock.Timer
	same   int // the server to go to again; -1: any
}

type server struct {
	listed   bool
	inSubset bool
	weight   float64
	out      int
	value    float64
	valueAt  time.Duration
	away     time.Duration
	fails    int
	ejected  time.Duration
	bad      int // checks in a row
	latency  float64
	load     float64
	checking bool
}

// Stats counts what a balancer did.
type Stats struct{ Requests, Attempts, Hedged, Aborted, Ejections, Unsent, Throttled int }

// Balancer is one of them.
type Balancer struct {
	habit    Behavior
	clock    virtualclock.Clock
	wire     Transport
	draw     Draw
	servers  []server
	next     int
	tokens   float64
	asked    float64 // decayed counts of Throttle
	taken    float64
	countsAt time.Duration
	willing  []int // scratch
	Stats    Stats
}

const (
	badChecks         = 2
	latencyPart       = 0.2
	mostTokens        = 10.0
	countsFor         = 10 * time.Second
	minRetryPause     = time.Millisecond
	minFailureLatency = time.Second
)

// New makes a balancer before n servers, none of which is listed yet. name tells subsets apart.
func New(name uint64, n int, habit Behavior, clock virtualclock.Clock, wire Transport, draw Draw) *Balancer {
	b := &Balancer{
		habit:    habit,
		clock:    clock,
		wire:     wire,
		draw:     draw,
		servers:  make([]server, n),
		tokens:   mostTokens,
		countsAt: clock.Now(),
		next:     int(score(name, 0) % uint64(max(n, 1))),
	}
	for i := range b.servers {
		b.servers[i].weight = 1
		b.servers[i].inSubset = true
	}
	if habit.SubsetSize > 0 && habit.SubsetSize < n {
		for i := range b.servers {
			above := 0
			for j := range b.servers {
				if score(name, j) > score(name, i) {
					above++
				}
			}
			b.servers[i].inSubset = above < habit.SubsetSize
		}
	}
	if habit.HealthCheckInterval > 0 {
		for i := range b.servers {
			b.clock.After(scale(habit.HealthCheckInterval, b.draw(name, i, drawFirst)), func() { b.check(i) })
		}
	}
	return b
}

// SetListed takes a change of the list. What is out at a server that went goes on.
func (b *Balancer) SetListed(i int, on bool) {
	if s := &b.servers[i]; s.listed != on {
		*s = server{listed: on, inSubset: s.inSubset, weight: s.weight, out: s.out, checking: s.checking}
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
		s.bad = 0
	} else {
		s.bad++
	}
}

func (b *Balancer) check(i int) {
	b.clock.After(b.habit.HealthCheckInterval, func() { b.check(i) })
	s := &b.servers[i]
	if !s.listed || !s.inSubset {
		return
	}
	if s.checking { // the one before has not come back
		s.bad++
		return
	}
	s.checking = true
	b.wire.Check(i)
}

// Submit takes over a first try.
func (b *Balancer) Submit(r *Request) {
	now := b.clock.Now()
	p := &pending{Request: r, began: now, tried: map[int]bool{}, same: -1}
	b.Stats.Requests++
	b.tokens = min(b.tokens+b.habit.RetryBudget, mostTokens)
	p.timer = b.clock.After(r.Deadline, func() { b.finish(p, EndTimedOut, nil) })
	if b.throttled(r) {
		b.Stats.Throttled++
		b.finish(p, EndUnsent, nil)
		return
	}
	b.try(p, false)
}

// throttled keeps a request back in proportion to how much is turned away of late.
func (b *Balancer) throttled(r *Request) bool {
	if b.habit.ThrottleFactor <= 0 {
		return false
	}
	now := b.clock.Now()
	fade := math.Exp(-virtualclock.Micros(now-b.countsAt) / virtualclock.Micros(countsFor))
	b.asked, b.taken, b.countsAt = b.asked*fade+1, b.taken*fade, now
	return b.draw(r.ID, 0, drawThrottle) < (b.asked-b.habit.ThrottleFactor*b.taken-1)/(b.asked+1)
}

// try sends one more try, if there is a server for it.
func (b *Balancer) try(p *pending, second bool) {
	i := b.choose(p)
	if i < 0 {
		if !second {
			b.noServer(p)
		}
		return
	}
	now := b.clock.Now()
	t := &Attempt{Request: p.Request, Server: i, Number: p.tries, SentAt: now, Hedged: second, p: p}
	p.tries++
	p.tried[i] = true
	p.same = -1
	p.open = append(p.open, t)
	b.Stats.Attempts++
	b.servers[i].out++
	if wait := scale(p.Deadline, b.habit.AttemptTimeout); b.habit.AttemptTimeout < 1 &&
		now+wait < p.began+p.Deadline {
		t.timer = b.clock.After(wait, func() { b.timedOut(t) })
	}
	if b.habit.HedgeDelay > 0 && p.Idempotent && !p.copied {
		p.copied = true
		b.clock.After(b.habit.HedgeDelay, func() {
			if p.timer != nil && len(p.open) == 1 && !p.open[0].over {
				b.Stats.Hedged++
				b.try(p, true)
			}
		})
	}
	b.wire.Send(t)
}

// noServer deals with a request for which no server is left in this round.
func (b *Balancer) noServer(p *pending) {
	if len(p.tried) == 0 {
		if p.last == 0 {
			b.Stats.Unsent++
			p.last = EndUnsent
		}
		b.finish(p, p.last, nil)
		return
	}
	if b.habit.Retry != RetryUnlimited {
		b.finish(p, p.last, nil)
		return
	}
	clear(p.tried)
	p.paused = b.clock.After(max(b.habit.RetryPause, minRetryPause), func() { b.try(p, false) })
}

// timedOut ends a try that took too long.
func (b *Balancer) timedOut(t *Attempt) {
	if t.over {
		return
	}
	b.failed(t)
	b.close(t)
	b.Stats.Aborted++
	b.wire.Abort(t)
	t.p.last = EndFailed
	b.again(t, true, true)
}

// Answered takes what came back of a try. What nobody waits for any more is passed over, but for
// the free value.
func (b *Balancer) Answered(t *Attempt, a Answer) {
	s, now := &b.servers[t.Server], b.clock.Now()
	if a.AdvertisedValue >= 0 && b.habit.FollowsAdvice {
		s.value, s.valueAt = a.AdvertisedValue, now
	}
	if t.over {
		return
	}
	b.close(t)
	p := t.p
	switch a.Kind {
	case Served:
		s.fails = 0
		b.taken++
		b.learn(s, virtualclock.Micros(now-t.SentAt))
		b.finish(p, EndServed, t)
		return
	case Rejected:
		if b.habit.FollowsAdvice && a.RetryAfter > 0 {
			s.away = now + a.RetryAfter
		}
		p.last = EndRejected
		if b.habit.FollowsAdvice && a.DoNotRetry {
			if len(p.open) == 0 {
				b.finish(p, EndRejected, nil)
			}
			return
		}
		b.again(t, false, false)
	case Unreachable:
		b.failed(t)
		p.last = EndFailed
		b.again(t, true, false)
	default:
		b.failed(t)
		p.last = EndFailed
		b.again(t, true, true)
	}
}

func (b *Balancer) learn(s *server, took float64) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += latencyPart * (took - s.latency)
}

// failed counts against a server that brought no answer of its own.
func (b *Balancer) failed(t *Attempt) {
	s := &b.servers[t.Server]
	s.fails++
	b.learn(s, virtualclock.Micros(max(b.clock.Now()-t.SentAt, minFailureLatency)))
	if b.habit.EjectAfterFailures > 0 && s.fails >= b.habit.EjectAfterFailures {
		s.fails = 0
		s.ejected = b.clock.Now() + b.habit.EjectionTime
		b.Stats.Ejections++
	}
}

// close takes a try off the books.
func (b *Balancer) close(t *Attempt) {
	t.over = true
	b.servers[t.Server].out--
	if t.timer != nil {
		t.timer.Stop()
	}
	for i, o := range t.p.open {
		if o == t {
			t.p.open = append(t.p.open[:i], t.p.open[i+1:]...)
			break
		}
	}
}

// again decides what follows a try without a result. One that may have had an effect is sent again
// only under its key.
func (b *Balancer) again(t *Attempt, failed, mayHaveRun bool) {
	p := t.p
	if len(p.open) > 0 || p.timer == nil { // its copy may still bring one
		return
	}
	if mayHaveRun && !p.Idempotent && !p.Keyed {
		b.finish(p, p.last, nil)
		return
	}
	if mayHaveRun && p.Keyed && b.habit.Sticky {
		p.same = t.Server
	}
	switch b.habit.Retry {
	case RetryUnlimited:
		if failed && p.same >= 0 {
			p.paused = b.clock.After(max(b.habit.RetryPause, minRetryPause), func() { b.try(p, false) })
			return
		}
		b.try(p, false)
	case RetryBounded:
		if p.tries >= b.habit.MaxAttempts || b.habit.RetryBudget > 0 && b.tokens < 1 {
			b.finish(p, p.last, nil)
			return
		}
		if b.habit.RetryBudget > 0 {
			b.tokens--
		}
		p.paused = b.clock.After(b.habit.RetryPause, func() { b.try(p, false) })
	default:
		b.finish(p, p.last, nil)
	}
}

// finish ends a request for its client, once, and takes back what is still out.
func (b *Balancer) finish(p *pending, e Outcome, by *Attempt) {
	if p.timer == nil {
		return
	}
	p.timer.Stop()
	p.timer = nil
	if p.paused != nil {
		p.paused.Stop()
	}
	for len(p.open) > 0 {
		t := p.open[0]
		b.close(t)
		b.Stats.Aborted++
		b.wire.Abort(t)
	}
	b.wire.Finish(p.Request, e, by)
}

// scale returns d times a factor, in whole microseconds.
func scale(d time.Duration, factor float64) time.Duration {
	return virtualclock.FromMicros(virtualclock.Micros(d) * factor)
}

// Outstanding is how many tries are out at a server.
func (b *Balancer) Outstanding(i int) int { return b.servers[i].out }
