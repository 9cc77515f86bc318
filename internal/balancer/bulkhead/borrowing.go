package bulkhead

import (
	"time"

	"ryepaddle/internal/balancer/latency"
)

// A borrowed slot is a slot that a pool has beyond its floor. Running requests cannot be interrupted,
// so an unused floor may be lent only as far as it comes back within the reclaim time. The invariant:
// the free slots, together with the borrowed slots that will be returned within the reclaim time, are
// at least as many as the slots that pools lack to their floors.
//
// A run is assumed to end within the longest time that its class took lately, so a run that started
// long enough ago counts as returning. The passing of time only adds returning runs. The invariant is
// checked before each loan; a larger floor, a lower limit or a longer run time of a class can break
// it, and then no slot is lent until it holds again.

// unknownRunTime is the assumed run time of a class that has not been measured: longer than any.
const unknownRunTime = 30 * 365 * 24 * time.Hour

// owedSlots returns how many slots pools lack to their floors. Reserves are not counted: their slots
// have to stay free at all times; see reservedSlots.
func (s *Scheduler) owedSlots() (n int) {
	for _, p := range s.pools {
		if !p.Reserve {
			n += s.lackingSlots(p)
		}
	}
	return n
}

// reservedSlots returns how many slots have to stay free for reserves.
func (s *Scheduler) reservedSlots() (n int) {
	for _, p := range s.pools {
		if p.Reserve {
			n += s.lackingSlots(p)
		}
	}
	return n
}

// lackingSlots returns how many slots a pool lacks to its floor.
func (s *Scheduler) lackingSlots(p *pool) int { return max(s.floorSlots(p)-p.running, 0) }

// mayBorrow reports whether a pool may borrow a slot for the first request in its queue. free is the
// number of free slots without those that stay free for reserves.
func (s *Scheduler) mayBorrow(p *pool, free int) bool {
	if free < 1 {
		return false
	}
	returned := 0
	for _, other := range s.pools {
		borrowed := other.running - s.floorSlots(other)
		returning := s.returningRuns(other)
		if other == p {
			borrowed++
			if s.longestRun(p.queue.head()) <= s.cfg.ReclaimTime {
				returning++
			}
		}
		returned += min(max(borrowed, 0), returning)
	}
	for _, removed := range s.removed {
		returned += s.returningRuns(removed)
	}
	return free-1+returned >= s.owedSlots()
}

// longestRun returns the assumed upper bound of the run time of a request: the longest time that its
// class took lately. The first run of a class that has not been measured is assumed to take no longer
// than the reclaim time, as the class would never run otherwise.
func (s *Scheduler) longestRun(r *Request) time.Duration {
	class := &s.classes[r.Class]
	switch {
	case class.meanMicros.Count > 0:
		return latency.FromMicros(class.longestMicros)
	case class.running == 0:
		return s.cfg.ReclaimTime
	}
	return unknownRunTime
}

// returningRuns returns how many runs of a pool will have ended within the reclaim time. Runs are
// listed in the order of their start, and the boundary firstLate moves on with time, so that a call
// visits only the runs that have become returning since the last one. All runs are counted again
// when the longest run time of a class has grown. The count ends at the first run that may take
// longer: in a pool with several classes it may be too low, but never too high.
func (s *Scheduler) returningRuns(p *pool) int {
	if p.longestChangesAtCount != s.longestChanges {
		p.longestChangesAtCount = s.longestChanges
		p.firstLate = p.first
		p.returning = 0
	}
	for p.firstLate != nil {
		remaining := p.firstLate.startedAt + s.longestRun(p.firstLate) - s.now
		if remaining > s.cfg.ReclaimTime {
			break
		}
		p.firstLate = p.firstLate.next
		p.returning++
	}
	return p.returning
}
