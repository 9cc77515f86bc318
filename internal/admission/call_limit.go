package admission

import (
	"math"
	"time"
)

const (
	// minCallSamples is the number of calls from which their times are compared.
	minCallSamples = 10
	// callTimeWeight is the least weight of a new call in the mean time of calls.
	callTimeWeight = 0.1
	// longCallTimeWeight is the same in the long mean, from which the best time is taken.
	longCallTimeWeight = 0.03
	// upperBoundErrors is the number of standard errors between the long mean and its upper bound.
	upperBoundErrors = 2
)

// dependencyCalls is this server's use of the dependency. Calls are limited by their number and by
// the time for which they may be in flight, so that a quota of less than one call, as each of
// hundreds of servers may have, is a share of time.
type dependencyCalls struct {
	queue          []*request      // awaiting a call, in the order in which they asked
	inFlight       int             // calls that are placed and not reported as ended
	abandonedUntil []time.Duration // until when the dependency may work on each abandoned call

	meanLimit float64 // calls that may be in flight as a mean over time
	limit     float64 // calls that may be in flight now; it follows the times of calls

	budgetSeconds    float64 // time for which calls may be in flight
	maxBudgetSeconds float64 // that may be saved up; as much again may be overdrawn
	budgetUpdatedAt  time.Duration

	times callTimes
}

// newDependencyCalls derives the limits of calls from the quota. What the mean limit leaves of the
// quota is saved up for calls that take long.
func newDependencyCalls(s *Settings, p *Parameters) dependencyCalls {
	objective := 0.0
	window := s.CallQuotaWindow.Seconds()
	for _, class := range s.Classes {
		if !class.Removed {
			objective = max(objective, class.LatencyObjective.Seconds())
		}
	}
	highest := min(s.CallQuota-objective/window, p.CallQuotaShare*s.CallQuota)
	mean := max(highest, p.MinCallQuotaShare*s.CallQuota)
	return dependencyCalls{
		meanLimit:        mean,
		limit:            max(mean, 1),
		maxBudgetSeconds: (s.CallQuota - mean) / 2 * window,
	}
}

// occupied is the number of calls that the dependency works on for this server.
func (d *dependencyCalls) occupied() int { return d.inFlight + len(d.abandonedUntil) }

// updateCallBudget adds the time that passed to the budget, less that of the calls in flight, and
// drops abandoned calls that are over.
func (c *Controller) updateCallBudget() {
	calls := &c.calls
	spare := calls.meanLimit - float64(calls.occupied())
	elapsed := (c.now - calls.budgetUpdatedAt).Seconds()
	calls.budgetSeconds = min(calls.budgetSeconds+spare*elapsed, calls.maxBudgetSeconds)
	calls.budgetUpdatedAt = c.now
	for len(calls.abandonedUntil) > 0 && calls.abandonedUntil[0] <= c.now {
		calls.abandonedUntil = calls.abandonedUntil[1:]
	}
}

// updateCallLimit lowers the limit of calls while the dependency is congested, as it then gets less
// done, and raises it otherwise. A dependency that is slow for another reason still gets as many
// calls as it works on at once.
func (c *Controller) updateCallLimit() {
	calls := &c.calls
	if calls.times.completed < minCallSamples {
		return
	}
	next := calls.limit + 1 - c.parameters.CallLimitDecrease
	if calls.times.meanSeconds > c.parameters.SlowCallFactor*calls.times.bestSeconds {
		next = calls.limit * c.parameters.CallLimitDecrease
	}
	calls.limit = max(min(next, calls.meanLimit), c.parameters.MinCallLimitShare*c.settings.CallQuota, 1)
}

// mayPlaceCall reports whether one more call may be placed: whether the limit allows it, and the
// budget is enough for twice a usual call and its stay after it is abandoned.
func (c *Controller) mayPlaceCall() bool {
	if c.settings.Dependency != DependencyShared {
		return true
	}
	calls := &c.calls
	need := min(calls.times.meanSeconds+c.settings.AbandonedCallTime.Seconds()/2, calls.maxBudgetSeconds)
	return float64(calls.occupied()+1) <= calls.limit && calls.budgetSeconds >= need
}

// maxCallTime is how long a call may last by the budget, including what may be overdrawn.
func (c *Controller) maxCallTime() time.Duration {
	budget := c.calls.budgetSeconds
	return seconds(max(2*budget-c.settings.AbandonedCallTime.Seconds(), budget))
}

// addAbandonedCall counts a call that was given up and that the dependency may still work on.
func (c *Controller) addAbandonedCall() {
	c.calls.abandonedUntil = append(c.calls.abandonedUntil, c.now+c.settings.AbandonedCallTime)
}

// callTimes describes how long calls take. The best time is the one without congestion: a slow mean
// beside it means that the dependency is congested.
type callTimes struct {
	completed       float64 // calls
	meanSeconds     float64 // moving mean of the last calls
	longMeanSeconds float64 // moving mean of more calls
	longVariance    float64 // seconds squared
	bestSeconds     float64
}

// record adds a call that lasted took seconds.
//
// The lowest mean of a few short calls is low by chance, and usual calls would look slow beside it.
// So the best time is the lowest upper bound (by the standard error) of the long mean. It grows by
// the factor growth with each call, and not with time, so that it expires as new calls replace it.
func (t *callTimes) record(took, growth float64) {
	t.completed++
	t.meanSeconds += max(callTimeWeight, 1/t.completed) * (took - t.meanSeconds)
	weight := max(longCallTimeWeight, 1/t.completed)
	t.longMeanSeconds += weight * (took - t.longMeanSeconds)
	deviation := took - t.longMeanSeconds
	t.longVariance += weight * (deviation*deviation - t.longVariance)
	samples := min(t.completed, 2/longCallTimeWeight) // those that a moving average amounts to
	upper := t.longMeanSeconds + upperBoundErrors*math.Sqrt(t.longVariance/samples)
	t.bestSeconds = min(t.bestSeconds*growth, upper)
	if t.completed <= minCallSamples {
		t.bestSeconds = upper
	}
}
