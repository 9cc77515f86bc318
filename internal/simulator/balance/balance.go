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

	"ryepaddle/internal/simulator/virtualclock"
)

// The ways of choosing.
const (
	Round    Choice = "round"    // one after the other
	Least    Choice = "least"    // the fewest requests out from here
	Two      Choice = "two"      // the better of two drawn at random, by requests out
	Weighted Choice = "weighted" // at random by fixed weights
	Told     Choice = "told"     // the lowest measured load that was reported
	Hash     Choice = "hash"     // by the request's key, with little change when the list does
	Fastest  Choice = "fastest"  // the lowest mean time of answers
)

// The ways of trying again.
const (
	Never     Retry = "never"
	Bounded   Retry = "bounded"   // so many tries, and retries only as a share of first tries
	Limitless Retry = "limitless" // down the list, and round again, until the client's time is over
)

// The kinds of answer.
const (
	Served Kind = iota + 1
	Refused
	Failed      // it may have run
	Unreachable // no connection: it never ran
)

// The ends.
const (
	EndServed End = iota + 1
	EndRefused
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
	began  int64
	tries  int
	open   []*Try
	tried  map[int]bool // in this round of the list
	last   End
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
	valueAt  int64
	away     int64
	fails    int
	ejected  int64
	bad      int // checks in a row
	latency  float64
	load     float64
	checking bool
}

// Stats counts what a balancer did.
type Stats struct{ First, Tries, Copies, Aborted, Ejections, Unsent, Throttled int }

// Balancer is one of them.
type Balancer struct {
	habit    Habit
	clock    virtualclock.Clock
	wire     Wire
	draw     Draw
	servers  []server
	next     int
	tokens   float64
	asked    float64 // decayed counts of Throttle
	taken    float64
	countsAt int64
	willing  []int // scratch
	Stats    Stats
}

const (
	badChecks   = 2
	latencyPart = 0.2
	mostTokens  = 10.0
	countsFor   = 10_000_000.0
)

// New makes a balancer before n servers, none of which is listed yet. name tells subsets apart.
func New(name uint64, n int, habit Habit, clock virtualclock.Clock, wire Wire, draw Draw) *Balancer {
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
	if habit.Subset > 0 && habit.Subset < n {
		for i := range b.servers {
			above := 0
			for j := range b.servers {
				if score(name, j) > score(name, i) {
					above++
				}
			}
			b.servers[i].inSubset = above < habit.Subset
		}
	}
	if habit.CheckEvery > 0 {
		for i := range b.servers {
			b.clock.After(int64(float64(habit.CheckEvery)*b.draw(name, i, drawFirst)), func() { b.check(i) })
		}
	}
	return b
}

// Listed takes a change of the list. What is out at a server that went goes on.
func (b *Balancer) Listed(i int, on bool) {
	if s := &b.servers[i]; s.listed != on {
		*s = server{listed: on, inSubset: s.inSubset, weight: s.weight, out: s.out, checking: s.checking}
	}
}

// Weigh sets the weight of a server.
func (b *Balancer) Weigh(i int, w float64) { b.servers[i].weight = max(w, 0) }

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
	b.clock.After(b.habit.CheckEvery, func() { b.check(i) })
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
	b.Stats.First++
	b.tokens = min(b.tokens+b.habit.Budget, mostTokens)
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
	if b.habit.Throttle <= 0 {
		return false
	}
	now := b.clock.Now()
	fade := math.Exp(-float64(now-b.countsAt) / countsFor)
	b.asked, b.taken, b.countsAt = b.asked*fade+1, b.taken*fade, now
	return b.draw(r.ID, 0, drawThrottle) < (b.asked-b.habit.Throttle*b.taken-1)/(b.asked+1)
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
	t := &Try{Request: p.Request, Server: i, No: p.tries, Sent: now, Copy: second, p: p}
	p.tries++
	p.tried[i] = true
	p.same = -1
	p.open = append(p.open, t)
	b.Stats.Tries++
	b.servers[i].out++
	if wait := int64(b.habit.Patience * float64(p.Deadline)); b.habit.Patience < 1 &&
		now+wait < p.began+p.Deadline {
		t.timer = b.clock.After(wait, func() { b.timedOut(t) })
	}
	if b.habit.CopyAfter > 0 && p.Safe && !p.copied {
		p.copied = true
		b.clock.After(b.habit.CopyAfter, func() {
			if p.timer != nil && len(p.open) == 1 && !p.open[0].over {
				b.Stats.Copies++
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
	if b.habit.Retry != Limitless {
		b.finish(p, p.last, nil)
		return
	}
	clear(p.tried)
	p.paused = b.clock.After(max(b.habit.Pause, 1000), func() { b.try(p, false) })
}

// timedOut ends a try that took too long.
func (b *Balancer) timedOut(t *Try) {
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
func (b *Balancer) Answered(t *Try, a Answer) {
	s, now := &b.servers[t.Server], b.clock.Now()
	if a.Pressure >= 0 && b.habit.Heeds {
		s.value, s.valueAt = a.Pressure, now
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
		b.learn(s, float64(now-t.Sent))
		b.finish(p, EndServed, t)
		return
	case Refused:
		if b.habit.Heeds && a.ComeBack > 0 {
			s.away = now + a.ComeBack
		}
		p.last = EndRefused
		if b.habit.Heeds && a.Last {
			if len(p.open) == 0 {
				b.finish(p, EndRefused, nil)
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
func (b *Balancer) failed(t *Try) {
	s := &b.servers[t.Server]
	s.fails++
	b.learn(s, float64(max(b.clock.Now()-t.Sent, 1_000_000)))
	if b.habit.EjectAfter > 0 && s.fails >= b.habit.EjectAfter {
		s.fails = 0
		s.ejected = b.clock.Now() + b.habit.EjectFor
		b.Stats.Ejections++
	}
}

// close takes a try off the books.
func (b *Balancer) close(t *Try) {
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
func (b *Balancer) again(t *Try, failed, mayHaveRun bool) {
	p := t.p
	if len(p.open) > 0 || p.timer == nil { // its copy may still bring one
		return
	}
	if mayHaveRun && !p.Safe && !p.Keyed {
		b.finish(p, p.last, nil)
		return
	}
	if mayHaveRun && p.Keyed && b.habit.Stick {
		p.same = t.Server
	}
	switch b.habit.Retry {
	case Limitless:
		if failed && p.same >= 0 {
			p.paused = b.clock.After(max(b.habit.Pause, 1000), func() { b.try(p, false) })
			return
		}
		b.try(p, false)
	case Bounded:
		if p.tries >= b.habit.Tries || b.habit.Budget > 0 && b.tokens < 1 {
			b.finish(p, p.last, nil)
			return
		}
		if b.habit.Budget > 0 {
			b.tokens--
		}
		p.paused = b.clock.After(b.habit.Pause, func() { b.try(p, false) })
	default:
		b.finish(p, p.last, nil)
	}
}

// finish ends a request for its client, once, and takes back what is still out.
func (b *Balancer) finish(p *pending, e End, by *Try) {
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

// Out is how many tries are out at a server.
func (b *Balancer) Out(i int) int { return b.servers[i].out }
