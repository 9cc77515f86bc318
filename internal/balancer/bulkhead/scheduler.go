// Package bulkhead implements bulkheads: it decides which of the admitted requests get a slot at a
// group of servers now, and which wait. The policy is weighted fair queueing (stride scheduling,
// Waldspurger 1995) with guaranteed minimum shares and borrowing. It does no I/O: the caller reports
// requests, their ends and the time, and carries the decisions out. Package waitqueue is that caller.
//
// A Scheduler shares the slots of one group of servers among pools. The number of slots is an
// adaptive limit (limit.go). A pool has a floor, which is guaranteed to it, a ceiling, and a weight by
// which the remaining slots are shared. Slots of a floor that its pool does not need are lent to
// other pools; borrowed slots come back within the reclaim time, which bounds how much long-running
// requests can borrow (borrowing.go). A reserve is a floor that is never lent. Within a pool the
// requests of tenants and callers that keep to their fair shares of the queue go first, and of these
// the one with the earliest target (queue.go). Requests that cannot be in time are dropped at once
// (dropping.go).
//
// Times are monotonic, and latencies are measured in whole microseconds. A scheduler is used by one
// goroutine.
package bulkhead

import (
	"slices"
	"time"

	"ryepaddle/internal/balancer/latency"
)

const (
	// meanWindow is the window of the mean run time of a class, in runs.
	meanWindow = 64
	// longestDecay is the number of runs over which the longest run time of a class decays towards
	// the mean: one long run in some hundreds shows how long the next one may take.
	longestDecay = 256
)

// Scheduler shares the slots of one group of servers.
type Scheduler struct {
	cfg     Config
	pools   []*pool // in the order of the configuration
	removed []*pool // pools that are no longer configured, and have running requests
	classes []classStats
	limit   adaptiveLimit
	running int
	// poolsWithFloor is the number of pools that have a floor.
	poolsWithFloor int
	// longestChanges counts how often the longest run time of any class has grown.
	longestChanges int
	now            time.Duration // monotonic; the time of the current call

	granted []*Request // since the last TakeDecisions
	dropped []Dropped  // since the last TakeDecisions
	Counts  Counts     // since the start
}

// Counts are numbers of requests since the start.
type Counts struct {
	Granted, Completed, TooLate, QueueFull, Displaced int
	Borrowed                                          int // granted a slot beyond the floor of their pool
	ReserveGrants                                     int // granted a slot of the reserve of another pool
}

// classStats holds the measurements of a class.
type classStats struct {
	meanMicros    latency.Mean // mean run time
	longestMicros float64      // longest recent run time
	running       int          // running requests
}

// New returns a scheduler for a configuration that Validate accepts.
func New(cfg Config, now time.Duration) *Scheduler {
	s := &Scheduler{now: now}
	s.limit.limit = cfg.InitialLimit
	s.Configure(cfg, now)
	return s
}

// Configure changes the parameters, also while requests wait or run. Pools are matched by name,
// classes and tenants by number. Running requests keep their slots, and waiting ones move to the pool
// that takes them now.
func (s *Scheduler) Configure(cfg Config, now time.Duration) {
	s.now = now
	moved := s.replacePools(cfg.Pools)
	s.cfg = cfg
	s.limit.configure(&s.cfg)
	for len(s.classes) < len(cfg.Classes) {
		s.classes = append(s.classes, classStats{})
	}
	for _, r := range moved {
		r.state = stateIdle
		s.Enqueue(r, now)
	}
	s.grantSlots()
}

// replacePools sets the pools, and returns the requests that waited in the former ones. A pool that
// is no longer configured is kept while requests of it run.
func (s *Scheduler) replacePools(configured []Pool) (waiting []*Request) {
	former := append(s.pools, s.removed...)
	s.pools = nil
	s.removed = nil
	s.poolsWithFloor = 0
	for _, parameters := range configured {
		next := &pool{Pool: parameters}
		hasName := func(p *pool) bool { return p.Name == parameters.Name }
		if i := slices.IndexFunc(former, hasName); i >= 0 {
			next = former[i]
			next.Pool = parameters
			former = append(former[:i:i], former[i+1:]...)
		}
		s.pools = append(s.pools, next)
		if parameters.Floor > 0 {
			s.poolsWithFloor++
		}
	}
	for _, p := range former {
		if p.running > 0 {
			s.removed = append(s.removed, p)
		}
	}
	for _, p := range append(s.pools, former...) {
		waiting = append(waiting, p.queue.clear()...)
	}
	return waiting
}

// Limit returns the current number of slots.
func (s *Scheduler) Limit() int { return int(s.limit.current()) }

// Running returns how many requests have a slot.
func (s *Scheduler) Running() int { return s.running }

// Waiting returns how many requests wait.
func (s *Scheduler) Waiting() (n int) {
	for _, p := range s.pools {
		n += p.queue.length()
	}
	return n
}

// SetCapacity sets an upper bound of the limit: the number of requests that the servers can take
// together; 0: not known.
func (s *Scheduler) SetCapacity(requests int) { s.limit.capacity = float64(requests) }

// TakeDecisions returns the requests that were granted and dropped since the last call.
func (s *Scheduler) TakeDecisions() (granted []*Request, dropped []Dropped) {
	granted, dropped = s.granted, s.dropped
	s.granted = nil
	s.dropped = nil
	return granted, dropped
}

// Enqueue adds a request to the queue of its pool. It may be granted a slot at once, or dropped at once
// if it cannot be in time or the queue is full.
func (s *Scheduler) Enqueue(r *Request, now time.Duration) {
	s.now = now
	p := s.poolOf(r.Class, r.Tenant, int64(r.Caller))
	r.pool = p
	r.state = stateWaiting
	r.missesObjective = false
	r.previous = nil
	r.next = nil
	r.overuse = p.queue.overuseOf(r, s.tenantShare(r.Tenant), s.cfg.MaxQueueLength, s.ceilingSlots(p))
	p.queue.add(r)
	if p.queue.length() > s.cfg.MaxQueueLength {
		s.dropFromFullQueue(p)
	}
	s.grantSlots()
	s.dropLate(p, r)
}

// poolOf returns the first pool that takes a request. Validate rejects a configuration without one.
func (s *Scheduler) poolOf(class, tenant int, caller int64) *pool {
	for _, p := range s.pools {
		if p.takes(class, tenant, caller) {
			return p
		}
	}
	return s.pools[len(s.pools)-1]
}

// Cancel removes a waiting request, and reports whether it was waiting. A running request is not
// affected.
func (s *Scheduler) Cancel(r *Request, now time.Duration) bool {
	s.now = now
	if r.state != stateWaiting {
		return false
	}
	r.pool.queue.remove(r)
	r.state = stateIdle
	return true
}

// Done releases the slot of a request. It has no effect on a request that has no slot.
func (s *Scheduler) Done(r *Request, outcome Outcome, now time.Duration) {
	if r.state != stateGranted {
		return
	}
	s.now = now
	took := latency.AtLeastOneMicrosecond(now - r.startedAt)
	s.Counts.Completed++
	r.pool.removeRun(r)
	r.pool.charge(latency.Micros(took) - r.chargedMicros)
	r.state = stateIdle
	s.running--
	s.classes[r.Class].running--
	if outcome == Success {
		s.learnRunTime(r.Class, latency.Micros(took))
	}
	if outcome != Inconclusive {
		s.limit.done(&s.cfg, r.Class, took, outcome == Success, now)
	}
	if r.pool.running == 0 {
		if i := slices.Index(s.removed, r.pool); i >= 0 {
			s.removed = slices.Delete(s.removed, i, i+1)
		}
	}
	s.grantSlots()
}

// learnRunTime updates the mean and the longest run time of a class.
func (s *Scheduler) learnRunTime(class int, micros float64) {
	c := &s.classes[class]
	c.meanMicros.Add(micros, meanWindow)
	c.longestMicros -= (c.longestMicros - c.meanMicros.Value) / longestDecay
	if micros > c.longestMicros {
		c.longestMicros = micros
		s.longestChanges++
	}
}

// Tick drops the requests that cannot be in time any more, and grants slots that may be lent only now,
// as more borrowed ones are due to come back within the reclaim time. The caller has to call it every
// 10 to 100 ms.
func (s *Scheduler) Tick(now time.Duration) {
	s.now = now
	s.limit.endWindow(&s.cfg, now)
	for _, p := range s.pools {
		s.dropLate(p, nil)
	}
	s.grantSlots()
}

// RetryAfter returns the estimated time until a request of a class that was dropped can get a slot,
// given that the requests waiting in its pool go first.
func (s *Scheduler) RetryAfter(class, tenant int) time.Duration {
	p := s.poolOf(class, tenant, 0)
	ahead := float64(p.queue.length() + 1)
	return latency.FromMicros(ahead * s.classes[class].meanMicros.Value / float64(s.expectedSlots(p)))
}

// PoolStatus is the current state of a pool. Floor and ceiling are in slots.
type PoolStatus struct {
	Name    string `json:"pool"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Floor   int    `json:"floor"`
	Ceiling int    `json:"ceiling"`
}

// PoolStatuses returns the states of the pools, in the order of the configuration.
func (s *Scheduler) PoolStatuses() (statuses []PoolStatus) {
	for _, p := range s.pools {
		statuses = append(statuses, PoolStatus{
			Name:    p.Name,
			Running: p.running,
			Waiting: p.queue.length(),
			Floor:   s.floorSlots(p),
			Ceiling: s.ceilingSlots(p),
		})
	}
	return statuses
}

// tenantShare returns the share of a tenant; 0 for requests without one.
func (s *Scheduler) tenantShare(tenant int) float64 {
	if tenant >= 0 && tenant < len(s.cfg.Tenants) {
		return s.cfg.Tenants[tenant]
	}
	return 0
}
