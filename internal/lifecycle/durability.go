package lifecycle

import (
	"errors"
)

// storeStart makes the start of a run durable and then begins the run. If the store does not answer
// in time, the request is rejected, and the release of its key is stored after the start.
func (m *Manager) storeStart(r *request) {
	attempt := m.newAttempt(r, nil)
	r.running = attempt
	record := m.requestRecord(r)
	// The store may have become unavailable while the request was queued.
	if retryAfter, why := m.env.KeyStore.Unavailable(); retryAfter > 0 {
		m.startStored(r, attempt, record, errors.New(why))
		return
	}
	attempt.pending = true
	requestedAt := m.env.Now()
	var stopTimer func()
	finish := func(err error) {
		if !attempt.pending { // it timed out
			return
		}
		r.trace.addKeyWait(m.env.Now() - requestedAt)
		attempt.pending = false
		stopTimer()
		m.startStored(r, attempt, record, err)
	}
	timeout := min(m.env.KeyStore.Timeout(), max(r.deadline-deadlineMargin-requestedAt, 0))
	stopTimer = m.env.After(timeout, func() { finish(errStoreTimeout) })
	m.env.KeyStore.Started(record, finish)
}

// startStored begins a run whose start is durable. If the start could not be stored, or the run may no
// longer begin, it rejects the request.
func (m *Manager) startStored(r *request, a *Attempt, record KeyRecord, err error) {
	if err == nil && m.mayStart(r) {
		m.dispatch(r)
		return
	}
	if err != nil {
		m.env.Log(evStartNotDurable, a.Class, r.ID, err)
	}
	m.env.KeyStore.Released(record)
	retryAfter, _ := m.env.KeyStore.Unavailable()
	m.cancelStart(r, a, m.storeCause(), retryAfter)
}

// storeEnd makes the end of a run durable, and then answers the request and its duplicates. The
// admission controller is notified at once that the run has ended. The answer waits for the store, but
// not beyond the timeout of the store or the deadline. A result that is replicated may wait until the
// deadline: see expireReplicationWait.
func (m *Manager) storeEnd(r *request, outcome Outcome, result *Result) {
	admissionOutcome, answer := answerOf(outcome, result)
	m.complete(r, admissionOutcome)
	r.awaitsStore = true
	if outcome != Succeeded {
		r.trace.setCause(outcomeCause(outcome))
	}
	record := m.endRecord(r, outcome, result)
	requestedAt := m.env.Now()
	finished := false
	var stopTimer func()
	finish := func(err error) {
		if finished {
			return
		}
		finished = true
		r.trace.addKeyWait(m.env.Now() - requestedAt)
		stopTimer()
		if err != nil {
			m.env.Log(evResultNotDurable, record.Class, r.ID, err)
		}
		m.endKey(r, outcome, result)
		m.answer(r, answer)
		m.runActions()
		m.removeIfDone(r)
	}
	timeOut := func() { finish(errStoreTimeout) }
	if _, replicated := m.env.KeyStore.(ReplicatedKeyStore); replicated && outcome == Succeeded {
		// No duplicate can arrive after the key has expired.
		stopTimer = m.env.After(max(record.ExpiresAt.Sub(m.env.Unix()), 0), timeOut)
		m.env.KeyStore.Ended(record, finish)
		m.boundWait(r, m.expireReplicationWait)
		m.runActions()
		return
	}
	timeout := m.env.KeyStore.Timeout()
	if !r.answered {
		timeout = min(timeout, m.waitEnd(r)-requestedAt)
	}
	stopTimer = m.env.After(max(timeout, 0), timeOut)
	m.env.KeyStore.Ended(record, finish)
	if timeout <= 0 && !r.answered { // there is no time to wait; the store did not fail
		finish(nil)
	}
	m.runActions()
}

// endRecord returns the record of a run that has ended.
func (m *Manager) endRecord(r *request, outcome Outcome, result *Result) KeyRecord {
	record := m.requestRecord(r)
	record.Ended = true
	record.Result = result
	record.ServerTime = r.trace.serverTime()
	record.HasWaiter = !r.answered
	if outcome != Succeeded || result == nil {
		record.Result = nil
		record.Status = duplicateStatus(outcome)
	}
	return record
}

// expireReplicationWait answers a request whose result was not replicated in time as expired. The
// result must not be sent before it is replicated: if this process then appeared to have failed, the
// other runners would answer duplicates as in doubt. The key still waits until the result is
// replicated.
func (m *Manager) expireReplicationWait(r *request) {
	r.trace.setCause(CauseReplicas)
	m.answer(r, Answer{Status: Expired})
}
