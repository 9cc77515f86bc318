package admission

import (
	"slices"
	"time"
)

// answerMargin is how long before its deadline a request is answered, so that the answer is in time
// although deadlines are checked once in tickInterval.
const answerMargin = tickInterval + tickInterval/4

// reason is why a request is answered without a result: the cause, the value that was measured and
// the limit that it was compared with, in the unit of the cause.
type reason struct {
	cause        Cause
	value, limit float64
}

// retryHint is the advice on retries that the caller of a rejected request gets.
type retryHint struct {
	after   time.Duration // Retry-After, within tickInterval and Settings.MaxRetryAfter
	noRetry bool          // do not retry at another server
}

// answer emits the final answer of a request; all answers pass through it. It drops a request that
// does not run.
func (c *Controller) answer(r *request, a Action) {
	if r.answered {
		return
	}
	a.Request = r.id
	c.emit(a)
	c.release(r)
}

// reject answers a queued request that never ran. A request that may have run fails instead: a
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

// fail answers a request without a promise of whether it ran.
func (c *Controller) fail(r *request, why reason) {
	c.answer(r, Action{Kind: ActionFail, Cause: why.cause, Value: why.value, Limit: why.limit})
}

// release ends the interest in a request. One that does not run is dropped; one that runs is
// cancelled where that is possible.
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
			// Long runs are the ones that are cancelled: without them the mean would be too low.
			c.recordRunTime(r)
			c.emit(Action{Kind: ActionCancel, Request: r.id})
		}
	case awaitingCall:
		c.resumeAfterCall(r)
	case inCall: // the dependency works on the call until its end, or that of the run, is reported
	}
}

// answerExpired answers requests that have run out of time, and cancels runs that are to give
// up their cores. It iterates over copies, since an answer moves the requests that wait for its
// result.
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

// deadlineNear reports whether r has to be answered now.
func (c *Controller) deadlineNear(r *request) bool { return r.deadline <= c.now+answerMargin }

// notWorthRunning reports whether r, which runs and can be cancelled, is to give up its core: it
// has run far longer than expected while next waits, or it is late and its answer has no weight any
// more.
func (c *Controller) notWorthRunning(r, next *request) bool {
	if r.state != running || c.settings.Cancel == CancelNone || !c.saturated(r.class) {
		return false
	}
	isWorthless := c.settings.Classes[r.class].LateWeightFraction == 0 && r.objectiveAt <= c.now
	return c.overrunsFor(r, next) || isWorthless
}

// overrunsFor reports whether r, under overload, is to give up its core to next. A run far beyond the
// expected time is likely to go on for long.
func (c *Controller) overrunsFor(r, next *request) bool {
	if !c.credit.overloaded || next == nil {
		return false
	}
	classes := c.settings.Classes
	return classes[next.class].PriorityWeight >= classes[r.class].PriorityWeight &&
		float64(c.now-r.startedAt) > c.parameters.OverrunFactor*float64(c.expectedRunTime(r))
}
