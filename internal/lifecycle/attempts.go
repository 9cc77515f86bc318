package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// StartedAt reports a result of which the first part is there. It answers the request, whose run goes
// on until its end is reported; from now on it can neither fail nor be tried again. It reports
// whether anybody takes the rest.
func (c *Manager) Began(a *Attempt, res *Result) bool {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || r.answered {
		return false
	}
	c.callers.prove(r.Caller, c.host.Now())
	c.counts[r.Class].Served++
	r.answered = true
	c.open--
	c.tellOf(r, Served, 0)
	r.Responder.Answer(Answer{Status: Served, Result: res})
	return true
}

// Ended reports the end of an attempt. A run that ended well without a result has one that is not
// kept.
func (c *Manager) Ended(a *Attempt, o Outcome, res *Result) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a {
		return
	}
	a.over, r.running = true, nil
	r.trail.ended(a, o, c.host.Unix())
	c.giveUpCall(r, a)
	if o == Succeeded {
		c.callers.prove(r.Caller, c.host.Now())
	}
	if c.again(r, a, o) {
		c.attempt(r, a)
		return
	}
	if own := r.entry != nil && r.entry.owner == r.id; own && c.host.KeyStore != nil {
		if !neverRan(o) {
			c.hold(r, o, res)
			return
		}
		c.host.KeyStore.Released(c.kept(r))
		c.settleKey(r, o, res)
	} else if own {
		c.settleKey(r, o, res)
	}
	done, answer := verdict(o, res)
	switch {
	case o == TimedOut && r.stop != nil: // its server's clock came before its front's, which is set to the same time
		r.trail.because(CauseDeadline, 0, 0)
	case a.Cause != CauseNone:
		r.trail.because(a.Cause, a.Value, a.Limit)
	case o != Succeeded:
		r.trail.because(causeOf(o), 0, 0)
	}
	if neverRan(o) && o != UnknownRequest && c.host.RetryAfter != nil {
		answer.RetryAfter = c.host.RetryAfter(r.Class)
	}
	if o != Canceled { // the module answers what is unanswered
		c.answer(r, answer)
	}
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: done})
	c.settle()
	c.drop(r)
}

// neverRan tells whether an outcome proves that nothing ran.
func neverRan(o Outcome) bool { return o == NotStarted || o == Unreachable || o == UnknownRequest }

// verdict is what the end of a run is to the module, and to its caller.
func verdict(o Outcome, res *Result) (admission.Outcome, Answer) {
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
	r.wants = body
	c.callers.prove(r.Caller, c.host.Now())
	if r.answered { // the run is over as far as anybody cares; it ends by itself
		return
	}
	c.gate.report(admission.Event{Kind: admission.EventBlocked, Request: r.id})
	c.settle()
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
	if a.over || r == nil || r.running != a || !r.calling {
		return
	}
	r.calling = false
	if o == Succeeded {
		r.wants = nil
		if runner, ok := a.runner.(Resumer); ok {
			runner.Resume(a, reply)
		}
	}
	c.gate.report(
		admission.Event{
			Kind:    admission.EventCallCompleted,
			Request: r.id,
			Outcome: callOutcomes[o],
			Elapsed: took,
		},
	)
	c.settle()
}

// start begins an attempt. It is the one place where something is run, and so the last guard of two
// rules.
func (c *Manager) start(r *request) {
	class := &c.set.Classes[r.Class]
	if !r.answered && r.entry != nil && r.entry.elsewhere != 0 { // another process was first
		c.yield(r)
		return
	}
	if r.answered || r.running != nil || c.late(r) || class.Idempotency == admission.IdempotentWithKey && !c.keys.mayRun(r) {
		c.host.Log(evNotRun, class.Name, r.ID)
		c.answer(r, Answer{Status: Failed})
		c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeFailed})
		return
	}
	if r.entry != nil {
		r.entry.run(r.ArrivedAt, class.IdempotencyWindow)
		if c.host.Reservations != nil {
			c.claim(r)
			return
		}
		if c.host.KeyStore != nil {
			c.begin(r)
			return
		}
	}
	c.attempt(r, nil)
}

// late tells whether a request came too late to begin in a drain.
func (c *Manager) late(r *request) bool {
	return c.drainAt != 0 &&
		c.host.Now()-max(c.host.Unix().Sub(r.ArrivedAt), 0) > c.drainAt+c.set.DrainGrace
}

func (c *Manager) newAttempt(r *request, before *Attempt) *Attempt {
	class := &c.set.Classes[r.Class]
	aim := time.Duration(0)
	if r.FirstSentAt > 0 {
		aim = min(c.host.Now()-c.host.Unix().Sub(r.FirstSentAt)+class.LatencyObjective, r.due)
	}
	return &Attempt{
		Request:    r.Request,
		Class:      class.Name,
		Deadline:   r.due,
		Objective:  aim,
		Idempotent: class.Idempotency == admission.Idempotent,
		Previous:   before,
		id:         r.id,
		runner:     c.host.Route(r.Class),
	}
}

func (c *Manager) attempt(r *request, before *Attempt) {
	r.running = c.newAttempt(r, before)
	c.run(r)
}

// run hands an attempt to its runner.
func (c *Manager) run(r *request) {
	c.counts[r.Class].Attempts++
	r.trail.tried(c.host.Unix())
	r.running.runner.Run(r.running)
}

// again tells whether a run is tried once more, on another server. One that may have had its effect
// is sent again only where that is safe; one that never ran always is.
func (c *Manager) again(r *request, a *Attempt, o Outcome) bool {
	if r.answered || r.BodyConsumed || c.host.ShouldRetry == nil || o != Unreachable && (o != Interrupted || !a.Idempotent) {
		return false
	}
	t := RetryCandidate{
		Class:         r.Class,
		HasSideEffect: !a.Idempotent,
		NeverRan:      o == Unreachable,
		Attempts:      1,
		Remaining:     r.due - lateBy - c.host.Now(),
	}
	for b := a.Previous; b != nil; b = b.Previous {
		t.Attempts++
	}
	return c.host.ShouldRetry(t)
}

func (c *Manager) call(r *request, patience time.Duration) {
	if r.running == nil || r.wants == nil || c.host.Dependency == nil {
		c.gate.report(
			admission.Event{Kind: admission.EventCallCompleted, Request: r.id, Outcome: admission.OutcomeUnreachable},
		)
		return
	}
	if patience <= 0 {
		patience = c.set.Classes[r.Class].Timeout
	}
	r.calling = true
	c.host.Dependency.Call(r.running, r.wants, patience)
}

func (c *Manager) giveUpCall(r *request, a *Attempt) {
	if r.calling {
		r.calling = false
		c.host.Dependency.CancelCall(a)
	}
}
