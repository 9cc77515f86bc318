package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// admissionQueue collects events for the decision module and yields its actions one at a time.
type admissionQueue struct {
	controller *admission.Controller
	now        func() time.Duration
	events     []admission.Event  // not handled yet
	actions    []admission.Action // of the last events
	next       int                // index of the next action
}

// report adds an event. The decision module handles it when the next action is asked for.
func (q *admissionQueue) report(e admission.Event) { q.events = append(q.events, e) }

// nextAction returns the next action; false if all events are handled and their actions carried
// out. Its duration is in whole microseconds.
func (q *admissionQueue) nextAction() (admission.Action, bool) {
	if q.next == len(q.actions) {
		if len(q.events) == 0 {
			return admission.Action{}, false
		}
		q.actions, q.next = q.controller.Handle(q.now(), q.events, q.actions[:0]), 0
		q.events = q.events[:0]
		if len(q.actions) == 0 {
			return admission.Action{}, false
		}
	}
	action := q.actions[q.next]
	q.next++
	action.Duration = action.Duration.Truncate(time.Microsecond)
	return action, true
}

// runActions carries out actions until there are none. Carrying out one may report more events.
func (m *Manager) runActions() {
	if m.carryingOut {
		return
	}
	m.carryingOut = true
	defer func() { m.carryingOut = false }()
	for {
		action, ok := m.admission.nextAction()
		if !ok {
			return
		}
		m.carryOut(action)
	}
}

// carryOut carries out an action that concerns no request, or passes it on.
func (m *Manager) carryOut(a admission.Action) {
	switch a.Kind {
	case admission.ActionSetHealth:
		m.env.SetHealth(a.Static, a.Healthy)
	case admission.ActionAdvertise:
		m.env.Advertise(a.Value)
	case admission.ActionCloseIdle:
		m.env.CloseIdle(a.Duration)
	case admission.ActionTimer:
		m.env.After(a.Duration, m.tick)
	case admission.ActionLog:
		m.env.Log(evAdmission, a.Text)
	default:
		if r := m.requests[a.Request]; r != nil {
			m.carryOutRequest(r, a)
			m.removeIfDone(r)
		}
	}
}

// carryOutRequest carries out an action that concerns a request.
func (m *Manager) carryOutRequest(r *request, a admission.Action) {
	switch a.Kind {
	case admission.ActionStart:
		m.start(r)
	case admission.ActionReject:
		r.trace.setCause(Cause(a.Cause), a.Value, a.Limit)
		m.answer(r, Answer{Status: Rejected, RetryAfter: a.Duration, DoNotRetry: a.NoRetry})
	case admission.ActionFail:
		r.trace.setCause(Cause(a.Cause), a.Value, a.Limit)
		m.fail(r)
	case admission.ActionPlaceCall:
		m.startCall(r, a.Duration)
	case admission.ActionRememberKey:
		m.keys.put(r, m.env.Unix().Add(a.Duration))
	case admission.ActionForgetKey:
		m.releaseKey(r)
	case admission.ActionReuseResult:
		m.answerDuplicate(r)
	}
}

// complete tells the decision module that a request has ended.
func (m *Manager) complete(r *request, outcome admission.Outcome) {
	m.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: outcome})
}
