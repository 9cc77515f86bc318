package admission

import (
	"slices"
	"time"
)

// answerMargin is how long before its deadline a request counts as out of time. It is longer than
// the interval at which deadlines are checked, so that the answer is still in time.
const answerMargin = tickInterval + tickInterval/4

// reason is why a request is answered without a result: the cause, the value that was measured and
// the limit that it was compared with, in the unit of the cause.
type reason struct {
	cause        Cause
	value, limit float64
}

// retryHint is the advice on retries that the caller of a rejected request gets.
type retryHint struct {
	after   time.Duration // Retry-After, raised to tickInterval, then limited to Settings.MaxRetryAfter
	noRetry bool          // do not retry at another server
}

// answer emits the final answer of r and releases r, unless it was answered before. All final
// answers go through it.
func (c *Controller) answer(r *request, a Action) {
	if r.answered {
		return
	}
	a.Request = r.id
	c.emit(a)
	c.release(r)
}

// reject rejects a queued request that never ran. Any other request fails instead, because a
// rejection promises that nothing ran.
func (c *Controller) reject(r *request, hint retryHint, why reason) {
	if r.state != queued || r.mayHaveRun {
		c.fail(r, why)
		return
	}
	c.arrivals.rejectedShare += arrivalWeight
	c.answer(r, Action{
		Kind:     ActionReject,
		Duration: min(max(hint.after, tickInterval), c.settings.MaxRetryAfter),
		NoRetry:  hint.noRetry,
		Cause:    why.cause,
		Value:    why.value,
		Limit:    why.limit,
	})
}

// fail answers r with an error, which does not say whether it ran.
func (c *Controller) fail(r *request, why reason) {
	c.answer(r, Action{Kind: ActionFail, Cause: why.cause, Value: why.value, Limit: why.limit})
}

// release marks r as answered or abandoned. A request without a run of its own is dropped. A run is
// cancelled if the server can do that and no other request waits for its result; a run that waits
// to place its call continues without it.
func (c *Controller) release(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	switch r.state {
	case queued, awaitingResult, reusingResult:
		c.forgetKey(r)
		c.remove(r)
	case running:
		if c.settings.Cancel != CancelNone && r.waiters == 0 {
			// Mostly long runs are cancelled. Without them the mean would be too low.
			c.recordRunTime(r)
			c.emit(Action{Kind: ActionCancel, Request: r.id})
		}
	case awaitingCall:
		c.resumeAfterCall(r)
	case inCall: // the call stays in flight until the host reports the end of the call or of the run
	}
}

// answerExpired answers requests that have run out of time, and cancels runs that are not worth
// their core any more. It iterates over copies, since answering a request moves the requests that
// wait for its result to another list.
func (c *Controller) answerExpired() {
	for i := range c.queues {
		for _, r := range slices.Clone(c.queues[i].requests) {
			if c.deadlineNear(r) || c.missesObjective(r, 0) {
				c.reject(r, retryHint{noRetry: c.retryIsFutile(r)}, reason{cause: CauseObjectiveUnreachable})
			}
		}
	}
	next := c.nextQueued()
	for _, r := range slices.Clone(c.executing) {
		if c.deadlineNear(r) || c.notWorthRunning(r, next) {
			c.fail(r, reason{cause: CauseDeadlinePassed})
		}
	}
}

// deadlineNear reports whether r has to be answered now to meet its deadline.
func (c *Controller) deadlineNear(r *request) bool { return r.deadline <= c.now+answerMargin }

// notWorthRunning reports whether the run of r should be cancelled to free its core under
// saturation: it has run far longer than expected while next waits, or it has missed its objective
// and a late answer has no weight.
func (c *Controller) notWorthRunning(r, next *request) bool {
	if r.state != running || c.settings.Cancel == CancelNone || !c.saturated(r.class) {
		return false
	}
	isWorthless := c.settings.Classes[r.class].LateWeightFraction == 0 && r.objectiveAt <= c.now
	return c.overrunsFor(r, next) || isWorthless
}

// overrunsFor reports whether, under overload, r has run for OverrunFactor times its expected time
// and next has at least its priority weight. Such a run is likely to go on for long.
func (c *Controller) overrunsFor(r, next *request) bool {
	if !c.credit.overloaded || next == nil {
		return false
	}
	classes := c.settings.Classes
	return classes[next.class].PriorityWeight >= classes[r.class].PriorityWeight &&
		float64(c.now-r.startedAt) > c.parameters.OverrunFactor*float64(c.expectedRunTime(r))
}
