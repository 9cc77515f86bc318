package admission

import (
	"slices"
	"time"
)

const (
	// maxCallAttempts is the maximum number of attempts of one call. It allows for the loss of up to
	// a third of the dependency's servers at once.
	maxCallAttempts = 6
	// callBackoff is the wait before the second attempt of a call. The wait before each further
	// attempt is longer by the same amount.
	callBackoff = 50 * time.Millisecond
	// callCongestionDelay is the wait to place a call above which the dependency counts as congested.
	callCongestionDelay = 2 * controlPeriod
)

// onBlocked adds a running request that needs a call to the queue for calls.
func (c *Controller) onBlocked(r *request) {
	if r.state != running {
		return
	}
	c.leaveCores()
	c.occupancy.atCalls++
	r.state = awaitingCall
	r.callAttempts = 0
	r.nextCallAt = c.now
	c.calls.queue = append(c.calls.queue, r)
}

// awaitsCallInTime reports whether r still waits to place its call and may still meet its objective.
func (c *Controller) awaitsCallInTime(r *request) bool {
	return r.state == awaitingCall && !r.answered && r.objectiveAt > c.now
}

// callQueueDelay returns the wait of the first request in the call queue that may still meet its
// objective; 0: there is none.
func (c *Controller) callQueueDelay() time.Duration {
	for _, r := range c.calls.queue {
		if c.awaitsCallInTime(r) {
			return c.now - r.nextCallAt
		}
	}
	return 0
}

// estimatedCallWait estimates how long a call of the class would wait behind the queued calls of the
// same or a higher priority weight.
func (c *Controller) estimatedCallWait(class int) time.Duration {
	ahead := 0
	weight := c.settings.Classes[class].PriorityWeight
	for _, r := range c.calls.queue {
		if c.awaitsCallInTime(r) && c.settings.Classes[r.class].PriorityWeight >= weight {
			ahead++
		}
	}
	return seconds(float64(ahead) * c.calls.times.meanSeconds / c.calls.limit)
}

// callsCongested reports whether the class calls the dependency and would wait long for it. Classes
// without calls need not wait.
func (c *Controller) callsCongested(class int) bool {
	return c.settings.Classes[class].CallsDependency && c.callQueueDelay() > callCongestionDelay
}

// placeCalls places waiting calls by weight, as far as the call limit and the budget allow.
func (c *Controller) placeCalls() {
	c.calls.queue = slices.DeleteFunc(c.calls.queue, func(r *request) bool {
		return r.state != awaitingCall || r.answered
	})
	for c.mayPlaceCall() {
		next := c.nextCall()
		if next < 0 {
			return
		}
		r := c.calls.queue[next]
		c.calls.queue = slices.Delete(c.calls.queue, next, next+1)
		c.placeCall(r)
	}
}

// nextCall is the index in the queue of the call to place next; -1: no call that is due has any
// weight.
func (c *Controller) nextCall() int {
	next := -1
	most := 0.0
	for i, r := range c.calls.queue {
		if weight := c.callWeight(r); r.nextCallAt <= c.now && weight > most {
			next = i
			most = weight
		}
	}
	return next
}

// callWeight is the weight by which the call of r is placed: the priority weight of its class if the
// call would end before the objective, and less otherwise. Among late requests the one with the most
// time left goes first.
func (c *Controller) callWeight(r *request) float64 {
	class := &c.settings.Classes[r.class]
	end := c.now + seconds(c.calls.times.meanSeconds)
	if end <= r.objectiveAt {
		return class.PriorityWeight
	}
	// If the quota is so small that the budget never covers a call of mean length, calls that would
	// end after the deadline are placed too.
	if end > r.deadline-answerMargin && c.calls.times.meanSeconds < c.calls.maxBudgetSeconds {
		return 0
	}
	secondsLeft := max(r.deadline-c.now, 0).Seconds()
	return class.PriorityWeight*class.LateWeightFraction + c.parameters.LateCallWeight*(1+secondsLeft)
}

// placeCall places the call of r. The call may last until the deadline of r or, where an answer
// without it has any weight, until the run has to continue without it.
func (c *Controller) placeCall(r *request) {
	end := r.deadline - answerMargin
	if c.settings.Classes[r.class].DegradedWeightFraction > 0 {
		end = min(end, r.objectiveAt-c.expectedRunTime(r)/2)
	}
	if end <= c.now {
		c.continueWithoutCall(r)
		return
	}
	if c.settings.Dependency == DependencyShared {
		end = min(end, c.now+c.maxCallTime())
	}
	r.state = inCall
	r.callAttempts++
	c.calls.inFlight++
	c.emit(Action{Kind: ActionPlaceCall, Request: r.id, Duration: end - c.now})
}

// continueWithoutCall resumes r without its call where a degraded answer has any weight, and fails r
// otherwise.
func (c *Controller) continueWithoutCall(r *request) {
	if c.settings.Classes[r.class].DegradedWeightFraction <= 0 {
		c.fail(r, reason{cause: CauseCallFailed})
		return
	}
	c.resumeAfterCall(r)
	c.emit(Action{Kind: ActionOmitCall, Request: r.id})
}

// onCallCompleted ends one attempt of a call. The call is retried only if its effect cannot happen
// twice.
func (c *Controller) onCallCompleted(r *request, e *Event) {
	if r.state != inCall {
		return
	}
	neverRan := e.Outcome.neverRan()
	// A call that never ran, or whose connection broke, does not show how long calls take.
	if !neverRan && e.Outcome != OutcomeConnectionLost {
		c.calls.times.record(e.Elapsed.Seconds(), c.parameters.BestCallTimeGrowth)
	}
	if e.Outcome == OutcomeTimedOut { // the dependency itself drops a call whose connection broke
		c.addAbandonedCall()
	}
	if e.Outcome == OutcomeOK || r.answered {
		c.resumeAfterCall(r)
		return
	}
	c.calls.inFlight--
	r.state = awaitingCall
	isRetryable := neverRan || c.settings.Classes[r.class].Idempotency == Idempotent
	if r.callAttempts >= maxCallAttempts || !isRetryable || e.Outcome == OutcomeTimedOut {
		c.continueWithoutCall(r)
		return
	}
	r.nextCallAt = c.now + callBackoff*time.Duration(r.callAttempts)
	c.calls.queue = append(c.calls.queue, r)
}

// endCall counts r as no longer at a call. The dependency works on an abandoned call for a while.
func (c *Controller) endCall(r *request, abandoned bool) {
	c.occupancy.atCalls--
	if r.state == inCall {
		c.calls.inFlight--
	}
	if abandoned {
		c.addAbandonedCall()
	}
}

// resumeAfterCall ends r's call and counts r as running on the cores again.
func (c *Controller) resumeAfterCall(r *request) {
	c.endCall(r, false)
	r.state = running
	c.enterCores()
}
