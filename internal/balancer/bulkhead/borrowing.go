package bulkhead

import (
	"time"

	"ryepaddle/internal/balancer/latency"
)

// A borrowed slot is one beyond the floor of its pool. Running requests cannot be interrupted, so
// an unused floor may be lent only as far as it comes back within the reclaim time: at each moment
// the slots that are free, together with the borrowed ones that will have been returned by then,
// are no fewer than what is owed to pools below their floors. A run ends within the longest time
// that its class took lately, so a run that started long enough ago counts as returning. Time alone
// makes more runs count; only another loan, a floor that grows or a limit that falls can make
// fewer, and then nothing is lent.

// unknownRunTime stands for the run time of a class that has not been measured.
const unknownRunTime = 30 * 365 * 24 * time.Hour

// owedSlots returns how many slots pools lack to their floors. Those of reserves are not counted:
// they have to be free at all times.
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

func (s *Scheduler) lackingSlots(p *pool) int { return max(s.floorSlots(p)-p.running, 0) }

// mayBorrow reports whether a pool may have one more slot beyond its floor. free is the number of
// free slots beside those of the reserves.
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

// longestRun returns how long a request may run: the longest that its class took lately. The first
// run of a class that has not been measured counts as short, as the class would never run
// otherwise.
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
// in the order of their start, and the boundary moves with time, so that a call costs what has
// changed since the last one; all are counted again when a class has come to take longer. Where the
// classes of a pool differ, the first run that may take longer ends the count: it may be too low,
// never too high.
func (s *Scheduler) returningRuns(p *pool) int {
	if p.countedLongest != s.longestChanges {
		p.countedLongest = s.longestChanges
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
