package lifecycle

import "ryepaddle/internal/admission"

// Began reports a result of which the first part is there. It answers the request, whose run goes
// on until its end is reported; from now on it can neither fail nor be tried again. It reports
// whether anybody takes the rest.
func (c *Core) Began(a *Attempt, res *Result) bool {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || r.answered {
		return false
	}
	c.callers.prove(r.Caller, c.host.Now())
	c.counts[r.Class].Served++
	r.answered = true
	c.open--
	c.tellOf(r, Served, 0)
	r.Asker.Answer(Answer{Kind: Served, Result: res})
	return true
}

// Ended reports the end of an attempt. A run that ended well without a result has one that is not
// kept.
func (c *Core) Ended(a *Attempt, o Outcome, res *Result) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a {
		return
	}
	a.over, r.running = true, nil
	r.trail.ended(a, o, c.host.Unix())
	c.giveUpCall(r, a)
	if o == Fine {
		c.callers.prove(r.Caller, c.host.Now())
	}
	if c.again(r, a, o) {
		c.attempt(r, a)
		return
	}
	if own := r.entry != nil && r.entry.owner == r.id; own && c.host.Keeper != nil {
		if !neverRan(o) {
			c.hold(r, o, res)
			return
		}
		c.host.Keeper.Forgot(c.kept(r))
		c.settleKey(r, o, res)
	} else if own {
		c.settleKey(r, o, res)
	}
	done, answer := verdict(o, res)
	switch {
	case o == TimedOut && r.stop != nil: // its server's clock came before its front's, which is set to the same time
		r.trail.because(CauseDeadline, 0, 0)
	case a.Why != CauseNone:
		r.trail.because(a.Why, a.Value, a.Limit)
	case o != Fine:
		r.trail.because(causeOf(o), 0, 0)
	}
	if neverRan(o) && o != Unknown && c.host.Back != nil {
		answer.ComeBack = c.host.Back(r.Class)
	}
	if o != Stopped { // the module answers what is unanswered
		c.answer(r, answer)
	}
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: done})
	c.settle()
	c.drop(r)
}

// neverRan tells whether an outcome proves that nothing ran.
func neverRan(o Outcome) bool { return o == NotRun || o == Unreachable || o == Unknown }

// verdict is what the end of a run is to the module, and to its caller.
func verdict(o Outcome, res *Result) (admission.Outcome, Answer) {
	switch o {
	case Fine:
		return admission.OutcomeOK, Answer{Kind: Served, Result: res}
	case Stopped:
		return admission.OutcomeCancelled, Answer{Kind: Failed}
	case NotRun, Unreachable:
		return admission.OutcomeNeverStarted, Answer{Kind: Refused}
	case TimedOut:
		return admission.OutcomeFailed, Answer{Kind: Late}
	case Unknown: // not a refusal: to try it elsewhere is in vain
		return admission.OutcomeNeverStarted, Answer{Kind: Foreign}
	}
	return admission.OutcomeFailed, Answer{Kind: Failed}
}

// Needs reports that a run waits for a call with this body.
func (c *Core) Needs(a *Attempt, body []byte) {
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
	Fine:        admission.OutcomeOK,
	Fault:       admission.OutcomeFailed,
	Broken:      admission.OutcomeConnectionLost,
	TimedOut:    admission.OutcomeTimedOut,
	Stopped:     admission.OutcomeTimedOut,
	NotRun:      admission.OutcomeNeverStarted,
	TurnedAway:  admission.OutcomeRejected,
	Unreachable: admission.OutcomeUnreachable,
}

// Called reports the end of a call that took so long.
func (c *Core) Called(a *Attempt, o Outcome, reply []byte, took int64) {
	r := c.requests[a.id]
	if a.over || r == nil || r.running != a || !r.calling {
		return
	}
	r.calling = false
	if o == Fine {
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
			Elapsed: span(took),
		},
	)
	c.settle()
}

// start begins an attempt. It is the one place where something is run, and so the last guard of two
// rules.
func (c *Core) start(r *request) {
	class := &c.set.Classes[r.Class]
	if !r.answered && r.entry != nil && r.entry.elsewhere != 0 { // another process was first
		c.yield(r)
		return
	}
	if r.answered || r.running != nil || c.late(r) || class.Idempotency == admission.IdempotentWithKey && !c.keys.mayRun(r) {
		c.host.Log(evNotRun, class.Name, r.Name)
		c.answer(r, Answer{Kind: Failed})
		c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeFailed})
		return
	}
	if r.entry != nil {
		r.entry.run(r.Arrived, class.IdempotencyWindow.Microseconds())
		if c.host.Claims != nil {
			c.claim(r)
			return
		}
		if c.host.Keeper != nil {
			c.begin(r)
			return
		}
	}
	c.attempt(r, nil)
}

// late tells whether a request came too late to begin in a drain.
func (c *Core) late(r *request) bool {
	return c.drainAt != 0 &&
		c.host.Now()-max(c.host.Unix()-r.Arrived, 0) > c.drainAt+c.set.DrainGrace.Microseconds()
}

func (c *Core) newAttempt(r *request, before *Attempt) *Attempt {
	class := &c.set.Classes[r.Class]
	aim := int64(0)
	if r.First > 0 {
		aim = min(c.host.Now()-(c.host.Unix()-r.First)+class.LatencyObjective.Microseconds(), r.due)
	}
	return &Attempt{
		Request: r.Request,
		Class:   class.Name,
		Due:     r.due,
		Aim:     aim,
		Safe:    class.Idempotency == admission.Idempotent,
		Before:  before,
		id:      r.id,
		runner:  c.host.Route(r.Class),
	}
}

func (c *Core) attempt(r *request, before *Attempt) {
	r.running = c.newAttempt(r, before)
	c.run(r)
}

// run hands an attempt to its runner.
func (c *Core) run(r *request) {
	c.counts[r.Class].Started++
	r.trail.tried(c.host.Unix())
	r.running.runner.Run(r.running)
}

// again tells whether a run is tried once more, on another server. One that may have had its effect
// is sent again only where that is safe; one that never ran always is.
func (c *Core) again(r *request, a *Attempt, o Outcome) bool {
	if r.answered || r.Spent || c.host.Again == nil || o != Unreachable && (o != Broken || !a.Safe) {
		return false
	}
	t := Try{
		Class:  r.Class,
		Effect: !a.Safe,
		Proven: o == Unreachable,
		Tries:  1,
		Left:   r.due - lateBy - c.host.Now(),
	}
	for b := a.Before; b != nil; b = b.Before {
		t.Tries++
	}
	return c.host.Again(t)
}

func (c *Core) call(r *request, patience int64) {
	if r.running == nil || r.wants == nil || c.host.Below == nil {
		c.gate.report(
			admission.Event{Kind: admission.EventCallCompleted, Request: r.id, Outcome: admission.OutcomeUnreachable},
		)
		return
	}
	if patience <= 0 {
		patience = c.set.Classes[r.Class].Timeout.Microseconds()
	}
	r.calling = true
	c.host.Below.Call(r.running, r.wants, patience)
}

func (c *Core) giveUpCall(r *request, a *Attempt) {
	if r.calling {
		r.calling = false
		c.host.Below.GiveUp(a)
	}
}
