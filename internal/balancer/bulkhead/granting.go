package bulkhead

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

const (
	// runSample is the number of running requests from which the time to the next free slot is
	// estimated.
	runSample = 64
	// minSparePerReserve is how many slots must be free for a request of another pool to use one slot
	// of a reserve: one slot stays free for the reserve.
	minSparePerReserve = 2
)

// floorSlots returns the floor of a pool in slots. A floor above 0 is at least one slot, unless there
// are no more slots than pools with a floor: then the floors of idle pools, and above all those of
// reserves, would starve the other pools.
func (s *Scheduler) floorSlots(p *pool) int {
	n := int(p.Floor * s.limit.current())
	if n == 0 && p.Floor > 0 && s.Limit() > s.poolsWithFloor {
		return 1
	}
	return n
}

// ceilingSlots returns the ceiling of a pool in slots, at least one.
func (s *Scheduler) ceilingSlots(p *pool) int { return max(int(p.Ceiling*s.limit.current()), 1) }

// expectedSlots returns how many slots a pool can expect while requests wait in it: what it has, its
// floor or its part by weight, whichever is the most, up to its ceiling.
func (s *Scheduler) expectedSlots(p *pool) int {
	weights := 0.0
	for _, other := range s.pools {
		if other == p || other.queue.length() > 0 || other.running > s.floorSlots(other) {
			weights += other.Weight
		}
	}
	part := 0
	if weights > 0 {
		part = int(s.limit.current() * p.Weight / weights)
	}
	return max(min(max(p.running, s.floorSlots(p), part), s.ceilingSlots(p)), 1)
}

// grantSlots grants slots to waiting requests until no pool may have another slot.
func (s *Scheduler) grantSlots() {
	for {
		p, isBorrowed := s.nextPool()
		if p == nil {
			return
		}
		s.grant(p, p.queue.head(), isBorrowed)
	}
}

// grant gives a slot to a waiting request of a pool.
func (s *Scheduler) grant(p *pool, r *Request, isBorrowed bool) {
	p.queue.remove(r)
	r.chargedMicros = max(s.classes[r.Class].meanMicros.Value, 1)
	p.charge(r.chargedMicros)
	r.state = stateGranted
	r.startedAt = s.now
	p.addRun(r)
	p.grantedAt = s.now
	s.running++
	s.classes[r.Class].running++
	s.limit.sent(s.running)
	s.Counts.Granted++
	if isBorrowed {
		s.Counts.Borrowed++
	}
	s.granted = append(s.granted, r)
}

// nextPool returns the pool that gets the next slot, or nil, and whether the slot is borrowed. A pool
// below its floor comes first, then the pool whose turn it is by weight, then one that may use a slot
// of a reserve.
func (s *Scheduler) nextPool() (p *pool, isBorrowed bool) {
	if s.running >= s.Limit() {
		return nil, false
	}
	free := s.Limit() - s.running - s.reservedSlots()
	if p := s.nextBelowFloor(free); p != nil {
		return p, false
	}
	if p := s.nextByWeight(free); p != nil {
		return p, true
	}
	return s.nextFromReserve(), false
}

// nextBelowFloor returns, of the pools that are below their floors and have waiting requests, the one
// that got its last slot the longest time ago. free is the number of free slots without those that stay
// free for reserves.
func (s *Scheduler) nextBelowFloor(free int) (best *pool) {
	for _, p := range s.pools {
		isBelow := p.queue.length() > 0 && p.running < min(s.floorSlots(p), s.ceilingSlots(p))
		if isBelow && (p.Reserve || free > 0) && (best == nil || p.grantedAt < best.grantedAt) {
			best = p
		}
	}
	return best
}

// nextByWeight returns, of the pools that may borrow a slot, the one with the lowest pass value, which is
// its slot time divided by its weight. A pool without a weight comes after all others. free is as for
// nextBelowFloor.
func (s *Scheduler) nextByWeight(free int) (best *pool) {
	s.advanceIdlePools()
	for _, p := range s.pools {
		if p.queue.length() == 0 || p.running >= s.ceilingSlots(p) || !s.mayBorrow(p, free) {
			continue
		}
		if best == nil || best.Weight == 0 && p.Weight > 0 ||
			(best.Weight > 0) == (p.Weight > 0) && p.pass < best.pass {
			best = p
		}
	}
	return best
}

// advanceIdlePools raises the pass value of each pool without waiting requests to the lowest one of
// the others: a pool must not accumulate a claim to slot time while it is idle.
func (s *Scheduler) advanceIdlePools() {
	least := math.Inf(1)
	for _, p := range s.pools {
		if p.queue.length() > 0 {
			least = min(least, p.pass)
		}
	}
	for _, p := range s.pools {
		switch {
		case p.queue.length() > 0:
		case math.IsInf(least, 1):
			p.pass = 0
		default:
			p.pass = max(p.pass, least)
		}
	}
}

// nextFromReserve returns a pool whose first request may use a slot of a reserve, and would be too late
// if it waited for the next slot. The slot is granted only if no request waits in the reserve's own
// pool, one more slot stays free, and the slots that other pools lack to their floors stay free too.
func (s *Scheduler) nextFromReserve() *pool {
	for _, reserve := range s.pools {
		spare := s.Limit() - s.running - s.owedSlots()
		if !reserve.Reserve || reserve.queue.length() > 0 || spare < minSparePerReserve {
			continue
		}
		for _, p := range s.pools {
			if r := p.queue.head(); r != nil && s.needsReserve(p, r) {
				s.Counts.ReserveGrants++
				return p
			}
		}
	}
	return nil
}

// needsReserve reports whether the first request of a pool may use a slot of a reserve, and would be
// too late if it waited for the next slot.
func (s *Scheduler) needsReserve(p *pool, r *Request) bool {
	if !r.MayUseReserve || p.Reserve || p.running >= s.ceilingSlots(p) {
		return false
	}
	longest := latency.FromMicros(s.classes[r.Class].longestMicros)
	latestStart := r.target() - s.cfg.DeadlineMargin - longest
	return latestStart <= s.now+s.timeToNextSlot()
}

// timeToNextSlot returns the estimated time until the next slot is free: the mean run time of the
// running requests, divided by their number.
func (s *Scheduler) timeToNextSlot() time.Duration {
	sumMicros := 0.0
	n := 0
	for _, p := range s.pools {
		for r := p.first; r != nil && n < runSample; r = r.next {
			sumMicros += s.classes[r.Class].meanMicros.Value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return latency.FromMicros(sumMicros / float64(n) / float64(max(s.running, 1)))
}
