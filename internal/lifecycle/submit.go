package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// Ticket identifies an accepted request; 0: the request was answered without being accepted.
type Ticket uint64

// Submit takes over a request that has been read. It may be answered before Submit returns.
func (m *Manager) Submit(q *Request) Ticket {
	// Runners identify requests by ID: a second request with the same ID would get the result of
	// the first.
	if _, open := m.openIDs[q.ID]; open {
		return m.answerConflict(q, DuplicateID)
	}
	if m.answerRepeatedID(q) {
		return 0
	}
	m.lastID++
	queued := max(m.env.Unix().Sub(q.ArrivedAt), 0)
	r := &request{Request: q, id: m.lastID, trace: m.newTrace(q)}
	class := &m.settings.Classes[q.Class]
	arrival := m.arrivalEvent(r, queued)
	r.deadline = m.env.Now() - queued + class.Timeout
	hasKey := class.Idempotency == admission.IdempotentWithKey
	if hasKey {
		r.keyEntry = m.keys.find(q)
		if r.keyEntry != nil {
			if m.answerDuplicateAtOnce(r) {
				return 0
			}
			arrival.PriorRequest = r.keyEntry.owner
		}
	}
	m.accept(r, queued)
	if r.keyEntry != nil {
		m.dropContent(r)
	}
	switch {
	case r.keyEntry != nil && r.keyEntry.remoteOwner != 0: // runs in another process: nothing to admit
		m.awaitRemote(r)
	case r.keyEntry == nil && m.rejectForMemory(r): // a duplicate may have run, and is not rejected
	case hasKey && r.keyEntry == nil && m.rejectNewKey(r):
	default:
		m.admission.report(arrival)
		m.runActions()
	}
	return Ticket(r.id)
}

// arrivalEvent returns the admission event of a new request.
func (m *Manager) arrivalEvent(r *request, queued time.Duration) admission.Event {
	return admission.Event{
		Kind:          admission.EventRequest,
		Request:       r.id,
		Class:         r.Class,
		Tenant:        r.Tenant,
		Caller:        m.callers.admissionNumber(r.Caller),
		SizeKB:        r.SizeKB,
		Rank:          r.Rank,
		SubjectKey:    r.Entity,
		QueueingDelay: queued,
		Write:         m.settings.Classes[r.Class].Idempotency != admission.Idempotent,
	}
}

// answerDuplicateAtOnce answers a duplicate that need not wait, and reports whether it did. These
// are requests that use a key with another body, and duplicates of a run that ended in another or an
// earlier process. Any other duplicate is counted.
func (m *Manager) answerDuplicateAtOnce(r *request) bool {
	// A caller repeats a request with the same body. A request with another body must not get the
	// result.
	if r.keyEntry.bodyHash != hashBody(r.Request) {
		m.answerConflict(r.Request, KeyReused)
		return true
	}
	if r.keyEntry.restored && r.keyEntry.ended {
		m.answerRestored(r.Request, r.keyEntry)
		return true
	}
	if r.trace != nil {
		r.trace.OriginalID = r.keyEntry.originalID
	}
	m.stats[r.Class].Duplicates++
	return false
}

// accept adds a request to the table. From now on it must be answered.
func (m *Manager) accept(r *request, queued time.Duration) {
	m.requests[r.id] = r
	m.openIDs[r.ID] = struct{}{}
	m.openCount++
	r.heldBytes = heldBytes(r.Request)
	m.heldBytes += r.heldBytes
	m.stats[r.Class].Read++
	if m.env.OnAccepted != nil {
		m.env.OnAccepted(r.Request)
	}
	if r.Timeout > 0 {
		// The admission controller uses the timeout of the class, from which it also estimates
		// the age of a retry. A shorter timeout is enforced here.
		now := m.env.Now()
		r.deadline = min(r.deadline, now-queued+r.Timeout)
		r.stopTimer = m.env.After(r.deadline-now, func() { m.expire(r) })
	}
}

// rejectNewKey rejects a request whose key cannot be remembered, and reports whether it did.
func (m *Manager) rejectNewKey(r *request) bool {
	if m.keys.isFull() {
		r.trace.setComparison(CauseKeyTableFull, float64(len(m.keys.entries)), float64(m.keys.limits.Keys))
		m.reject(r, "the table of keys is full", keyTableFullRetryAfter)
		return true
	}
	if m.env.KeyStore == nil {
		return false
	}
	retryAfter, why := m.env.KeyStore.Unavailable()
	if retryAfter <= 0 {
		return false
	}
	r.trace.setCause(m.storeCause())
	m.reject(r, why, retryAfter)
	return true
}

// reject rejects a request that was not reported to the admission controller.
func (m *Manager) reject(r *request, why string, retryAfter time.Duration) {
	m.logRejection(m.settings.Classes[r.Class].Name, why)
	m.answer(r, Answer{Status: Rejected, RetryAfter: retryAfter})
	m.removeIfDone(r)
}

// logRejection logs that a request was rejected because its key cannot be remembered, or there is no memory for it,
// at most once per rejectionLogInterval, with the number of these rejections since the last log line.
func (m *Manager) logRejection(class, why string) {
	m.unloggedRejections++
	now := m.env.Now()
	if m.rejectionLoggedAt != 0 && now < m.rejectionLoggedAt+rejectionLogInterval {
		return
	}
	m.env.Log(evRejected, class, why, m.unloggedRejections)
	m.unloggedRejections = 0
	m.rejectionLoggedAt = now
}

// answerConflict answers a request that is not accepted. The admission controller is not involved.
func (m *Manager) answerConflict(q *Request, reason Reason) Ticket {
	m.stats[q.Class].Read++
	m.stats[q.Class].countAnswer(Conflict)
	trace := m.newTrace(q)
	trace.setCause(reason.cause())
	m.reportTrace(trace, Conflict, 0)
	q.Responder.Answer(Answer{Status: Conflict, Reason: reason})
	return 0
}
