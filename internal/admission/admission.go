package admission

import (
	"math"
	"time"
)

// arrivalWeight is the weight of one arrival in the moving averages over arrivals, which thus cover
// about the last 50 arrivals.
const arrivalWeight = 0.02

// fullRejectedShare is the share of rejected arrivals from which all servers count as saturated.
const fullRejectedShare = 0.5

// arrivalStatistics describes the requests that the server reads. Shares are exponential moving
// averages over arrivals, from 0 to 1.
type arrivalStatistics struct {
	retryShare    float64 // share of retries and hedged requests
	rejectedShare float64 // share of rejected arrivals
	// readDelay is the mean queueing delay before a request is read, in nanoseconds: a moving average
	// over arrivals that also decays with each control period.
	readDelay float64
	recent    float64 // requests read recently: a sum that decays with each control period
	total     float64 // requests read since the start
	// fleetSaturation estimates how saturated the other servers are, from 0 to 1.
	fleetSaturation float64
}

// updateFleetSaturation estimates how saturated the other servers are from the share of requests
// that this one rejects. While the cores are not busy, requests can only queue for the dependency,
// which all servers call, so the others count as fully saturated.
func (c *Controller) updateFleetSaturation() {
	c.arrivals.fleetSaturation = min(c.arrivals.rejectedShare/fullRejectedShare, 1)
	if !c.coresBusy() {
		c.arrivals.fleetSaturation = 1
	}
}

// onArrival decides on a request that was just read: reject it, answer it from the result of
// another request, or queue it.
func (c *Controller) onArrival(e *Event) {
	if c.requests[e.Request] != nil {
		return
	}
	c.callers.recordRequest(e.Caller, c.now)
	r := c.newRequest(e)
	c.requests[r.id] = r
	c.memoryKB += r.sizeKB
	c.enqueue(r)
	class := &c.settings.Classes[r.class]
	// A repeat of a request that may have run is neither started nor rejected.
	r.mayHaveRun = e.PriorRequest != 0 && class.Idempotency == IdempotentWithKey
	r.shareable = class.Idempotency == Idempotent && e.SubjectKey != 0 && !e.Write && c.settings.ResultMaxAge > 0
	why, unacceptable := c.unacceptable(r)
	if unacceptable {
		c.reject(r, retryHint{}, why)
		return
	}
	switch {
	case r.mayHaveRun:
		c.reuseResult(r)
	case !(r.shareable && c.joinRun(r, e.PriorRequest)):
		c.admit(r, e)
	}
}

// newRequest creates the state of a request that was read, and counts it in the arrival statistics.
func (c *Controller) newRequest(e *Event) *request {
	c.arrivals.recent++
	c.arrivals.total++
	r := &request{id: e.Request, expectedWork: e.ExpectedWork, arrivedAt: c.now - max(e.QueueingDelay, 0)}
	if e.SizeKB > 0 && !math.IsInf(e.SizeKB, 0) {
		r.sizeKB = e.SizeKB
	}
	c.arrivals.readDelay += runTimeWeight * (float64(c.now-r.arrivedAt) - c.arrivals.readDelay)
	r.deadline = c.now // too near, so that a request of an unknown class is rejected
	if e.Class >= 0 && e.Class < len(c.queues) {
		r.class = e.Class
		r.deadline = e.Deadline
	}
	class := &c.settings.Classes[r.class]
	if r.deadline <= 0 {
		r.deadline = r.arrivedAt + class.Timeout
	}
	age := c.retries.age(r.deadline-r.arrivedAt, class.Timeout)
	r.isRetry = e.Retry || !c.settings.MarksRetries && age > 0
	r.objectiveAt = r.arrivedAt + class.LatencyObjective +
		time.Duration(class.ObjectiveWorkFactor*float64(r.expectedWork))
	if r.isRetry { // the latency objective starts at the first attempt
		r.objectiveAt -= age
	}
	r.objectiveAt = min(r.objectiveAt, r.deadline)
	return r
}

// unacceptable reports whether r has to be rejected whatever the load of the cores, and why.
func (c *Controller) unacceptable(r *request) (reason, bool) {
	switch {
	case c.arrivedAfterDrain(r):
		since := r.arrivedAt - c.drain.startedAt
		return reason{CauseDraining, since.Seconds(), c.settings.DrainGrace.Seconds()}, true
	case c.memoryKB > c.queueMemoryLimitKB(), !r.mayHaveRun && c.crowdsOutRuns(r, 0):
		return reason{CauseMemory, c.memoryKB, c.queueMemoryLimitKB()}, true
	case r.deadline <= c.now+answerMargin:
		return reason{CauseDeadlineTooNear, (r.deadline - c.now).Seconds(), answerMargin.Seconds()}, true
	}
	return reason{}, false
}

// admit queues or rejects an arrival. It rejects a request that would wait too long for its call
// and, while the server is saturated, a request whose queueing delay is past RejectDelayFactor times
// the target, that cannot meet its objective, or that is beyond its tenant's quota and past the
// target. Rejection past a multiple of the delay target is the AQM of Breakwater, section 3.2.3.
func (c *Controller) admit(r *request, e *Event) {
	delay := max(c.queueingDelay(r.class), c.now-r.arrivedAt)
	target := c.delayTarget(r.class)
	c.countArrival(r)
	if e.Retry {
		target = c.retryDelayTarget(target)
	}
	saturated := c.saturated(r.class)
	switch {
	case c.callQueueTooLong(r):
		// All servers call the same dependency, so a retry elsewhere does not help. Requests that
		// need no call are still accepted, so Retry-After is the shortest one.
		class := &c.settings.Classes[r.class]
		c.reject(r, retryHint{noRetry: true}, reason{CauseCallQueue, c.estimatedCallWait(r.class).Seconds(),
			c.parameters.CallQueueShare * class.LatencyObjective.Seconds()})
	case saturated && float64(delay) > c.parameters.RejectDelayFactor*float64(target):
		hint := retryHint{after: delay - target, noRetry: c.othersLikelyFull(r)}
		c.reject(r, hint, reason{CauseQueueingDelay, delay.Seconds(),
			c.parameters.RejectDelayFactor * target.Seconds()})
	case saturated && c.missesObjective(r, c.queueWait(r)):
		c.reject(r, retryHint{noRetry: c.othersLikelyFull(r)}, reason{cause: CauseObjectiveUnreachable})
	case !c.takeQuotaToken(e.Tenant) && saturated && delay > target:
		c.reject(r, retryHint{noRetry: true}, reason{CauseQuota, delay.Seconds(), target.Seconds()})
	default:
		c.rememberKey(r)
	}
}

// countArrival updates the shares of retries and rejections for one more arrival. If it is
// rejected, reject adds its weight to the share.
func (c *Controller) countArrival(r *request) {
	c.arrivals.retryShare *= 1 - arrivalWeight
	c.arrivals.rejectedShare *= 1 - arrivalWeight
	if r.isRetry {
		c.arrivals.retryShare += arrivalWeight
	}
}

// retryDelayTarget is the delay target of a marked retry: a share of its class's target that falls
// to 0 as the share of retries reaches RetryStormShare. The first attempt may have failed because
// the request takes long, and retries must not displace first attempts.
func (c *Controller) retryDelayTarget(target time.Duration) time.Duration {
	belowStorm := max(1-c.arrivals.retryShare/c.parameters.RetryStormShare, 0)
	return time.Duration(c.parameters.RetryTargetShare * belowStorm * float64(target))
}

// callQueueTooLong reports whether, while the cores are not busy, r would wait for its call longer
// than CallQueueShare of its latency objective.
func (c *Controller) callQueueTooLong(r *request) bool {
	class := &c.settings.Classes[r.class]
	return class.CallsDependency && !c.coresBusy() &&
		float64(c.estimatedCallWait(r.class)) > c.parameters.CallQueueShare*float64(class.LatencyObjective)
}

// othersLikelyFull reports whether r, rejected here, would probably be rejected elsewhere too, so
// that its caller is asked not to retry.
func (c *Controller) othersLikelyFull(r *request) bool {
	return r.isRetry || c.arrivals.retryShare > c.parameters.FewRetriesShare || c.arrivals.fleetSaturation >= 1
}

// saturated reports whether capacity is short for a class: the cores are busy, or its calls queue
// for the dependency.
func (c *Controller) saturated(class int) bool { return c.coresBusy() || c.callsCongested(class) }
