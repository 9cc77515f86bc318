package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// admissionQueue collects events for the admission controller and yields its actions one at a time.
type admissionQueue struct {
	controller *admission.Controller
	now        func() time.Duration
	events     []admission.Event  // not handled yet
	actions    []admission.Action // results of the events handled last
	next       int                // index of the next action
}

// report adds an event. The admission controller handles it once the actions of earlier events have
// been executed.
func (q *admissionQueue) report(e admission.Event) { q.events = append(q.events, e) }

// nextAction returns the next action; false if all events are handled and their actions executed.
// The duration of the action is truncated to whole microseconds.
func (q *admissionQueue) nextAction() (admission.Action, bool) {
	if q.next == len(q.actions) {
		if len(q.events) == 0 {
			return admission.Action{}, false
		}
		q.actions = q.controller.Handle(q.now(), q.events, q.actions[:0])
		q.next = 0
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

// runActions executes actions until there are none. Executing one may report more events.
func (m *Manager) runActions() {
	if m.runningActions {
		return
	}
	m.runningActions = true
	defer func() { m.runningActions = false }()
	for {
		action, ok := m.admission.nextAction()
		if !ok {
			return
		}
		m.execute(action)
	}
}

// execute executes an action. Those that concern a request are passed to executeForRequest.
func (m *Manager) execute(a admission.Action) {
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
			m.executeForRequest(r, a)
			m.removeIfDone(r)
		}
	}
}

// executeForRequest executes an action that concerns a request.
func (m *Manager) executeForRequest(r *request, a admission.Action) {
	switch a.Kind {
	case admission.ActionStart:
		m.start(r)
	case admission.ActionReject:
		r.trace.setComparison(Cause(a.Cause), a.Value, a.Limit)
		m.answer(r, Answer{Status: Rejected, RetryAfter: a.Duration, DoNotRetry: a.NoRetry})
	case admission.ActionFail:
		r.trace.setComparison(Cause(a.Cause), a.Value, a.Limit)
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

// complete notifies the admission controller that a request has ended.
func (m *Manager) complete(r *request, outcome admission.Outcome) {
	m.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: outcome})
}
