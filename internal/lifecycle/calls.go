package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// NeedsCall reports that a run waits for a call to the back end with the given body.
func (m *Manager) NeedsCall(a *Attempt, body []byte) {
	r := m.requestOf(a)
	if r == nil {
		return
	}
	r.callBody = body
	m.callers.markProven(r.Caller, m.env.Now())
	if r.answered { // the run ends by itself
		return
	}
	m.admission.report(admission.Event{Kind: admission.EventBlocked, Request: r.id})
	m.runActions()
}

// CallEnded reports how a call ended, its reply and how long it took.
func (m *Manager) CallEnded(a *Attempt, outcome Outcome, reply []byte, took time.Duration) {
	r := m.requestOf(a)
	if r == nil || !r.callInFlight {
		return
	}
	r.callInFlight = false
	if outcome == Succeeded {
		r.callBody = nil
		if runner, ok := a.runner.(Resumer); ok {
			runner.Resume(a, reply)
		}
	}
	m.admission.report(admission.Event{
		Kind:    admission.EventCallCompleted,
		Request: r.id,
		Outcome: callOutcome(outcome),
		Elapsed: took,
	})
	m.runActions()
}

// callOutcome returns the outcome of a call for the admission controller.
func callOutcome(o Outcome) admission.Outcome {
	switch o {
	case Succeeded:
		return admission.OutcomeOK
	case Faulted:
		return admission.OutcomeFailed
	case Interrupted:
		return admission.OutcomeConnectionLost
	case TimedOut, Cancelled:
		return admission.OutcomeTimedOut
	case NotStarted:
		return admission.OutcomeNeverStarted
	case CallRejected:
		return admission.OutcomeRejected
	case Unreachable:
		return admission.OutcomeUnreachable
	}
	return 0
}

// startCall places the call that a run waits for. If timeout is not positive, the timeout of the
// class applies.
func (m *Manager) startCall(r *request, timeout time.Duration) {
	if r.running == nil || r.callBody == nil || m.env.Dependency == nil {
		m.admission.report(admission.Event{
			Kind:    admission.EventCallCompleted,
			Request: r.id,
			Outcome: admission.OutcomeUnreachable,
		})
		return
	}
	if timeout <= 0 {
		timeout = m.settings.Classes[r.Class].Timeout
	}
	r.callInFlight = true
	m.env.Dependency.Call(r.running, r.callBody, timeout)
}

// cancelCall cancels the call of an attempt, if one is in flight.
func (m *Manager) cancelCall(r *request, a *Attempt) {
	if r.callInFlight {
		r.callInFlight = false
		m.env.Dependency.CancelCall(a)
	}
}
