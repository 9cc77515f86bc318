package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// StartedAt reports a result of which the first part is there. It answers the request, whose run goes
// on until its end is reported; from now on it can neither fail nor be tried again. It reports
// whether anybody takes the rest.
func (c *Manager) ResponseStarted(a *Attempt, res *Result) bool {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || r.answered {
		return false
	}
	c.callers.markProven(r.Caller, c.env.Now())
	c.stats[r.Class].Served++
	r.answered = true
	c.openCount--
	c.reportRequest(r, Served, 0)
	r.Responder.Answer(Answer{Status: Served, Result: res})
	return true
}

// AttemptEnded reports the end of an attempt. A run that ended well without a result has one that is not
// kept.
func (c *Manager) AttemptEnded(a *Attempt, o Outcome, res *Result) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a {
		return
	}
	a.over, r.running = true, nil
	r.trace.attemptEnded(a, o, c.env.Unix())
	c.cancelCall(r, a)
	if o == Succeeded {
		c.callers.markProven(r.Caller, c.env.Now())
	}
	if c.shouldRetry(r, a, o) {
		c.startAttempt(r, a)
		return
	}
	if own := r.keyEntry != nil && r.keyEntry.owner == r.id; own && c.env.KeyStore != nil {
		if !neverRan(o) {
			c.storeEnd(r, o, res)
			return
		}
		c.env.KeyStore.Released(c.requestRecord(r))
		c.endKey(r, o, res)
	} else if own {
		c.endKey(r, o, res)
	}
	done, answer := answerOf(o, res)
	switch {
	case o == TimedOut && r.stopTimer != nil: // its server's clock came before its front's, which is set to the same time
		r.trace.setCause(CauseDeadline, 0, 0)
	case a.Cause != CauseNone:
		r.trace.setCause(a.Cause, a.Value, a.Limit)
	case o != Succeeded:
		r.trace.setCause(outcomeCause(o), 0, 0)
	}
	if neverRan(o) && o != UnknownRequest && c.env.RetryAfter != nil {
		answer.RetryAfter = c.env.RetryAfter(r.Class)
	}
	if o != Canceled { // the module answers what is unanswered
		c.answer(r, answer)
	}
	c.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: done})
	c.runActions()
	c.removeIfDone(r)
}

// neverRan tells whether an outcome proves that nothing ran.
func neverRan(o Outcome) bool { return o == NotStarted || o == Unreachable || o == UnknownRequest }

// answerOf is what the end of a run is to the module, and to its caller.
func answerOf(o Outcome, res *Result) (admission.Outcome, Answer) {
	switch o {
	case Succeeded:
		return admission.OutcomeOK, Answer{Status: Served, Result: res}
	case Canceled:
		return admission.OutcomeCancelled, Answer{Status: Failed}
	case NotStarted, Unreachable:
		return admission.OutcomeNeverStarted, Answer{Status: Rejected}
	case TimedOut:
		return admission.OutcomeFailed, Answer{Status: Expired}
	case UnknownRequest: // not a refusal: to try it elsewhere is in vain
		return admission.OutcomeNeverStarted, Answer{Status: NotFound}
	}
	return admission.OutcomeFailed, Answer{Status: Failed}
}

// NeedsCall reports that a run waits for a call with this body.
func (c *Manager) NeedsCall(a *Attempt, body []byte) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a {
		return
	}
	r.callBody = body
	c.callers.markProven(r.Caller, c.env.Now())
	if r.answered { // the run is over as far as anybody cares; it ends by itself
		return
	}
	c.admission.report(admission.Event{Kind: admission.EventBlocked, Request: r.id})
	c.runActions()
}

var callOutcomes = map[Outcome]admission.Outcome{
	Succeeded:    admission.OutcomeOK,
	Faulted:      admission.OutcomeFailed,
	Interrupted:  admission.OutcomeConnectionLost,
	TimedOut:     admission.OutcomeTimedOut,
	Canceled:     admission.OutcomeTimedOut,
	NotStarted:   admission.OutcomeNeverStarted,
	CallRejected: admission.OutcomeRejected,
	Unreachable:  admission.OutcomeUnreachable,
}

// CallEnded reports the end of a call that took so long.
func (c *Manager) CallEnded(a *Attempt, o Outcome, reply []byte, took time.Duration) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || !r.callInFlight {
		return
	}
	r.callInFlight = false
	if o == Succeeded {
		r.callBody = nil
		if runner, ok := a.runner.(Resumer); ok {
			runner.Resume(a, reply)
		}
	}
	c.admission.report(
		admission.Event{
			Kind:    admission.EventCallCompleted,
			Request: r.id,
			Outcome: callOutcomes[o],
			Elapsed: took,
		},
	)
	c.runActions()
}

// start begins an attempt. It is the one place where something is run, and so the last guard of two
// rules.
func (c *Manager) start(r *request) {
	class := &c.settings.Classes[r.Class]
	if !r.answered && r.keyEntry != nil && r.keyEntry.remoteOwner != 0 { // another process was first
		c.yieldToRemote(r)
		return
	}
	if r.answered || r.running != nil || c.isTooLate(r) || class.Idempotency == admission.IdempotentWithKey && !c.keys.mayRun(r) {
		c.env.Log(evNotStarted, class.Name, r.ID)
		c.answer(r, Answer{Status: Failed})
		c.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeFailed})
		return
	}
	if r.keyEntry != nil {
		r.keyEntry.markStarted(r.ArrivedAt, class.IdempotencyWindow)
		if c.env.Reservations != nil {
			c.reserve(r)
			return
		}
		if c.env.KeyStore != nil {
			c.storeStart(r)
			return
		}
	}
	c.startAttempt(r, nil)
}

// isTooLate tells whether a request came too late to begin in a drain.
func (c *Manager) isTooLate(r *request) bool {
	return c.drainingSince != 0 &&
		c.env.Now()-max(c.env.Unix().Sub(r.ArrivedAt), 0) > c.drainingSince+c.settings.DrainGrace
}

func (c *Manager) newAttempt(r *request, before *Attempt) *Attempt {
	class := &c.settings.Classes[r.Class]
	aim := time.Duration(0)
	if r.FirstSentAt > 0 {
		aim = min(c.env.Now()-c.env.Unix().Sub(r.FirstSentAt)+class.LatencyObjective, r.deadline)
	}
	return &Attempt{
		Request:    r.Request,
		Class:      class.Name,
		Deadline:   r.deadline,
		Objective:  aim,
		Idempotent: class.Idempotency == admission.Idempotent,
		Previous:   before,
		id:         r.id,
		runner:     c.env.Route(r.Class),
	}
}

func (c *Manager) startAttempt(r *request, before *Attempt) {
	r.running = c.newAttempt(r, before)
	c.dispatch(r)
}

// markStarted hands an attempt to its runner.
func (c *Manager) dispatch(r *request) {
	c.stats[r.Class].Attempts++
	r.trace.attemptStarted(c.env.Unix())
	r.running.runner.Run(r.running)
}

// shouldRetry tells whether a run is tried once more, on another server. One that may have had its effect
// is sent again only where that is safe; one that never ran always is.
func (c *Manager) shouldRetry(r *request, a *Attempt, o Outcome) bool {
	if r.answered || r.BodyConsumed || c.env.ShouldRetry == nil || o != Unreachable && (o != Interrupted || !a.Idempotent) {
		return false
	}
	t := RetryCandidate{
		Class:         r.Class,
		HasSideEffect: !a.Idempotent,
		NeverRan:      o == Unreachable,
		Attempts:      1,
		Remaining:     r.deadline - deadlineMargin - c.env.Now(),
	}
	for b := a.Previous; b != nil; b = b.Previous {
		t.Attempts++
	}
	return c.env.ShouldRetry(t)
}

func (c *Manager) startCall(r *request, patience time.Duration) {
	if r.running == nil || r.callBody == nil || c.env.Dependency == nil {
		c.admission.report(
			admission.Event{Kind: admission.EventCallCompleted, Request: r.id, Outcome: admission.OutcomeUnreachable},
		)
		return
	}
	if patience <= 0 {
		patience = c.settings.Classes[r.Class].Timeout
	}
	r.callInFlight = true
	c.env.Dependency.Call(r.running, r.callBody, patience)
}

func (c *Manager) cancelCall(r *request, a *Attempt) {
	if r.callInFlight {
		r.callInFlight = false
		c.env.Dependency.CancelCall(a)
	}
}
