package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// start begins the run of an admitted request. It is the only place where runs begin, and checks
// once more that the request may run: it is not answered, did not arrive too late in a drain, and is
// the first of its key to run.
func (m *Manager) start(r *request) {
	class := &m.settings.Classes[r.Class]
	runsElsewhere := r.keyEntry != nil && r.keyEntry.remoteOwner != 0
	if runsElsewhere && !r.answered {
		m.yieldToRemote(r)
		return
	}
	needsKey := class.Idempotency == admission.IdempotentWithKey
	isDuplicate := needsKey && !m.keys.mayRun(r)
	if r.answered || r.running != nil || isDuplicate || m.isTooLate(r) {
		m.env.Log(evStartCancelled, class.Name, r.ID)
		m.answer(r, Answer{Status: Failed})
		m.complete(r, admission.OutcomeFailed)
		return
	}
	if r.keyEntry == nil {
		m.startWithoutKey(r)
		return
	}
	r.keyEntry.markStarted(r.ArrivedAt, class.IdempotencyWindow)
	switch {
	case m.env.Reservations != nil:
		m.reserve(r)
	case m.env.KeyStore != nil:
		m.storeStart(r)
	default:
		m.startAttempt(r, nil)
	}
}

// startWithoutKey begins the run of a request without a key.
func (m *Manager) startWithoutKey(r *request) {
	if m.sharesIDs() && m.isIdentifiedByID(r.Request) {
		m.reserveID(r)
		return
	}
	m.startAttempt(r, nil)
}

// isTooLate reports whether a request arrived too late in a drain to be started.
func (m *Manager) isTooLate(r *request) bool {
	if m.drainingSince == 0 {
		return false
	}
	arrived := m.env.Now() - max(m.env.Unix().Sub(r.ArrivedAt), 0)
	return arrived > m.drainingSince+m.settings.DrainGrace
}

// mayStart reports whether a run that waited for its reservation or the key store may still begin.
func (m *Manager) mayStart(r *request) bool {
	return !r.answered && !m.isTooLate(r) && !m.isDeadlineNear(r)
}

func (m *Manager) newAttempt(r *request, previous *Attempt) *Attempt {
	class := &m.settings.Classes[r.Class]
	objective := time.Duration(0)
	if r.FirstSentAt > 0 {
		sent := m.env.Now() - m.env.Unix().Sub(r.FirstSentAt)
		objective = min(sent+class.LatencyObjective, r.deadline)
	}
	return &Attempt{
		Request:    r.Request,
		Class:      class.Name,
		Deadline:   r.deadline,
		Objective:  objective,
		Idempotent: class.Idempotency == admission.Idempotent,
		Previous:   previous,
		id:         r.id,
		runner:     m.env.Route(r.Class),
	}
}

func (m *Manager) startAttempt(r *request, previous *Attempt) {
	r.running = m.newAttempt(r, previous)
	m.dispatch(r)
}

// dispatch passes an attempt to its runner.
func (m *Manager) dispatch(r *request) {
	m.stats[r.Class].Attempts++
	m.rememberID(r)
	r.trace.attemptStarted(m.env.Unix())
	r.running.runner.Run(r.running)
}

// requestOf returns the request of a running attempt; nil if the attempt has ended.
func (m *Manager) requestOf(a *Attempt) *request {
	r := m.requests[a.id]
	if a.ended || r == nil || r.running != a {
		return nil
	}
	return r
}

// ResponseStarted reports a result whose body is still being received. It answers the request, whose
// run goes on until AttemptEnded; from now on the request can neither fail nor be retried. It returns
// false if the result was not passed on, so that nothing consumes the rest of the body.
func (m *Manager) ResponseStarted(a *Attempt, result *Result) bool {
	r := m.requestOf(a)
	if r == nil || r.answered {
		return false
	}
	m.callers.markProven(r.Caller, m.env.Now())
	m.stats[r.Class].Served++
	r.answered = true
	m.openCount--
	m.reportRequest(r, Served, 0)
	r.Responder.Answer(Answer{Status: Served, Result: result})
	return true
}

// AttemptEnded reports the end of an attempt. If the outcome is Succeeded and result is nil, the run
// has a result that cannot be cached.
func (m *Manager) AttemptEnded(a *Attempt, outcome Outcome, result *Result) {
	r := m.requestOf(a)
	if r == nil {
		return
	}
	a.ended = true
	r.running = nil
	r.trace.attemptEnded(a, outcome, m.env.Unix())
	m.cancelCall(r, a)
	if outcome == Succeeded {
		m.callers.markProven(r.Caller, m.env.Now())
	}
	if m.shouldRetry(r, a, outcome) {
		m.startAttempt(r, a)
		return
	}
	if r.keyEntry != nil && r.keyEntry.owner == r.id {
		if m.env.KeyStore != nil && !outcome.neverRan() {
			m.storeEnd(r, outcome, result)
			return
		}
		if m.env.KeyStore != nil {
			m.env.KeyStore.Released(m.requestRecord(r))
		}
		m.endKey(r, outcome, result)
	}
	if outcome.neverRan() {
		m.forgetID(r)
	}
	m.answerAttempt(r, a, outcome, result)
}

// answerAttempt answers a request whose last attempt has ended.
func (m *Manager) answerAttempt(r *request, a *Attempt, outcome Outcome, result *Result) {
	admissionOutcome, answer := answerOf(outcome, result)
	switch {
	case outcome == TimedOut && r.stopTimer != nil: // the frontend's timer was set to the same time
		r.trace.setCause(CauseDeadline)
	case a.Cause != CauseNone:
		r.trace.setComparison(a.Cause, a.Value, a.Limit)
	case outcome != Succeeded:
		r.trace.setCause(outcomeCause(outcome))
	}
	if outcome.neverRan() && outcome != UnknownRequest && m.env.RetryAfter != nil {
		answer.RetryAfter = m.env.RetryAfter(r.Class)
	}
	if outcome != Cancelled { // the admission controller answers a request that it has cancelled
		m.answer(r, answer)
	}
	m.complete(r, admissionOutcome)
	m.runActions()
	m.removeIfDone(r)
}

// answerOf returns the outcome of a run for the admission controller and the answer for the caller.
func answerOf(o Outcome, result *Result) (admission.Outcome, Answer) {
	switch o {
	case Succeeded:
		return admission.OutcomeOK, Answer{Status: Served, Result: result}
	case Cancelled:
		return admission.OutcomeCancelled, Answer{Status: Failed}
	case NotStarted, Unreachable:
		return admission.OutcomeNeverStarted, Answer{Status: Rejected}
	case TimedOut:
		return admission.OutcomeFailed, Answer{Status: Expired}
	case UnknownRequest: // not a rejection: a retry elsewhere would fail as well
		return admission.OutcomeNeverStarted, Answer{Status: NotFound}
	}
	return admission.OutcomeFailed, Answer{Status: Failed}
}

// shouldRetry decides whether an attempt is retried on another server. An attempt that no server
// took may be retried; one that was interrupted only if it is idempotent.
func (m *Manager) shouldRetry(r *request, a *Attempt, outcome Outcome) bool {
	mayRetry := outcome == Unreachable || outcome == Interrupted && a.Idempotent
	if r.answered || r.BodyConsumed || m.env.ShouldRetry == nil || !mayRetry {
		return false
	}
	return m.env.ShouldRetry(RetryCandidate{
		Class:         r.Class,
		HasSideEffect: !a.Idempotent,
		NeverRan:      outcome == Unreachable,
		Attempts:      a.count(),
		Remaining:     r.deadline - deadlineMargin - m.env.Now(),
	})
}
