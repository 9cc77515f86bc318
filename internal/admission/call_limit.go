package admission

import (
	"math"
	"time"
)

const (
	// minCallSamples is the number of completed calls from which their times change the call limit.
	minCallSamples = 10
	// callTimeWeight is the minimum weight of a new call in the mean call time.
	callTimeWeight = 0.1
	// longCallTimeWeight is the minimum weight of a new call in the long mean, from which the best
	// call time is derived.
	longCallTimeWeight = 0.03
	// upperBoundErrors is the number of standard errors between the long mean and its upper bound.
	upperBoundErrors = 2
)

// dependencyCalls tracks this server's calls to the dependency. It limits their number and the total
// time for which they are in flight. Each of hundreds of servers may have a quota of less than one
// call; the limit of time keeps such a quota as a mean over time.
type dependencyCalls struct {
	queue          []*request      // requests that wait to place a call, in the order in which they joined
	inFlight       int             // calls that are placed and not reported as ended
	abandonedUntil []time.Duration // for each abandoned call, until when the dependency may work on it

	meanLimit float64 // limit of the mean number of calls in flight
	limit     float64 // limit of the calls in flight now; it follows the call times

	budgetSeconds    float64 // time saved up for which calls may be in flight; negative: overdrawn
	maxBudgetSeconds float64 // the most that may be saved up; as much again may be overdrawn
	budgetUpdatedAt  time.Duration

	times callTimes
}

// newDependencyCalls derives the call limits from the quota. The part of the quota above the mean
// limit may be saved up, for calls that take long.
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

// updateCallBudget adds to the budget, for the time since the last update, the mean limit less the
// calls that occupied the dependency. It also drops abandoned calls that are over.
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

// updateCallLimit lowers the call limit while the dependency is congested, since congestion reduces
// its throughput, and raises it otherwise. MinCallLimitShare is a lower bound: a dependency that is
// slow for another reason still gets as many calls as it works on at once.
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

// mayPlaceCall reports whether one more call may be placed: the limit allows it, and the budget with
// its overdraft covers twice the mean call time and the time for which an abandoned call goes on. A
// full budget is always enough.
func (c *Controller) mayPlaceCall() bool {
	if c.settings.Dependency != DependencyShared {
		return true
	}
	calls := &c.calls
	need := min(calls.times.meanSeconds+c.settings.AbandonedCallTime.Seconds()/2, calls.maxBudgetSeconds)
	return float64(calls.occupied()+1) <= calls.limit && calls.budgetSeconds >= need
}

// maxCallTime is how long a new call may last: the budget with its overdraft, less the time for which
// the call goes on if it is abandoned, and at least the budget itself.
func (c *Controller) maxCallTime() time.Duration {
	budget := c.calls.budgetSeconds
	return seconds(max(2*budget-c.settings.AbandonedCallTime.Seconds(), budget))
}

// addAbandonedCall counts a call that was given up and that the dependency may still work on.
func (c *Controller) addAbandonedCall() {
	c.calls.abandonedUntil = append(c.calls.abandonedUntil, c.now+c.settings.AbandonedCallTime)
}

// callTimes describes how long calls take. The best time estimates the call time without congestion:
// a mean far above it means that the dependency is congested.
type callTimes struct {
	completed       float64 // number of calls
	meanSeconds     float64 // moving mean over the last calls
	longMeanSeconds float64 // moving mean over more calls
	longVariance    float64 // seconds squared
	bestSeconds     float64
}

// record adds a call that lasted took seconds.
//
// The mean of a few short calls can be low by chance, and usual calls would look slow compared with
// it. The best time is therefore the lowest upper bound (by the standard error) of the long mean. It
// is multiplied by growth for each call, rather than over time, so that it expires only as new calls
// replace it.
func (t *callTimes) record(took, growth float64) {
	t.completed++
	t.meanSeconds += max(callTimeWeight, 1/t.completed) * (took - t.meanSeconds)
	weight := max(longCallTimeWeight, 1/t.completed)
	t.longMeanSeconds += weight * (took - t.longMeanSeconds)
	deviation := took - t.longMeanSeconds
	t.longVariance += weight * (deviation*deviation - t.longVariance)
	samples := min(t.completed, 2/longCallTimeWeight) // effective sample size of the moving average
	upper := t.longMeanSeconds + upperBoundErrors*math.Sqrt(t.longVariance/samples)
	t.bestSeconds = min(t.bestSeconds*growth, upper)
	if t.completed <= minCallSamples {
		t.bestSeconds = upper
	}
}
