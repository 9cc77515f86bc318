package lifecycle

import "ryepaddle/internal/admission"

// answer gives a request its final answer, if it has none yet.
func (m *Manager) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	m.stats[r.Class].countAnswer(a.Status)
	if a.Status == Rejected {
		a.RetryAfter = max(a.RetryAfter, minRetryAfter)
		if m.settings.NoRetryAfter {
			a.RetryAfter = 0
		}
	}
	m.closeRequest(r)
	m.reportRequest(r, a.Status, a.RetryAfter)
	r.Responder.Answer(a)
}

// fail answers a request without a result: as expired if its deadline is near.
func (m *Manager) fail(r *request) {
	status := Failed
	if m.isDeadlineNear(r) {
		status = Expired
	}
	m.answer(r, Answer{Status: status})
}

// isDeadlineNear reports whether it is too late for a result to reach the caller by the deadline.
func (m *Manager) isDeadlineNear(r *request) bool {
	return m.env.Now() >= r.deadline-deadlineMargin
}

// closeRequest marks a request as answered or abandoned. A duplicate no longer waits for its original,
// and the runner is told that the result of a running attempt is not needed.
func (m *Manager) closeRequest(r *request) {
	r.answered = true
	m.openCount--
	if r.awaitsOriginal {
		r.awaitsOriginal = false
		r.keyEntry.removeWaiter(r)
	}
	if a := r.running; a != nil && !a.pending {
		m.cancelCall(r, a)
		a.runner.Abandon(a)
	}
}

// removeIfDone removes a request that is answered and has no running attempt.
func (m *Manager) removeIfDone(r *request) {
	if !r.answered || r.running != nil || m.requests[r.id] != r {
		return
	}
	m.heldBytes -= r.heldBytes
	delete(m.requests, r.id)
	delete(m.openIDs, r.ID)
	if r.stopTimer != nil {
		r.stopTimer()
	}
}

// expire answers a request as expired when the timeout that its frontend set is over.
func (m *Manager) expire(r *request) {
	if r.answered {
		return
	}
	r.trace.setCause(CauseDeadline)
	m.answer(r, Answer{Status: Expired})
	m.releaseAnswer(r)
}

// Abandon reports that the caller of a request is gone. Its run goes on, and its key stays remembered.
func (m *Manager) Abandon(t Ticket) {
	if r := m.requests[uint64(t)]; r != nil && !r.answered {
		m.stats[r.Class].Abandoned++
		m.abandon(r)
	}
}

// Withdraw is Abandon for a caller that is still connected. The frontend confirms to the caller that
// the request has ended without a result, which callers treat as a failure.
func (m *Manager) Withdraw(t Ticket) {
	if r := m.requests[uint64(t)]; r != nil && !r.answered {
		m.stats[r.Class].Withdrawn++
		m.abandon(r)
	}
}

func (m *Manager) abandon(r *request) {
	r.trace.setCause(CauseCallerGone)
	m.reportRequest(r, 0, 0)
	m.closeRequest(r)
	m.releaseAnswer(r)
}

// releaseAnswer notifies the admission controller that a request no longer needs an answer.
func (m *Manager) releaseAnswer(r *request) {
	if !r.awaitsStore { // otherwise storeEnd has reported the end of the run
		m.admission.report(admission.Event{Kind: admission.EventAbandoned, Request: r.id})
		m.runActions()
	}
	m.removeIfDone(r)
}
