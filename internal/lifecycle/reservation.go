package lifecycle

import (
	"cmp"
	"time"

	"ryepaddle/internal/admission"
)

// Reservations decides among the processes of one runner which of them runs a key.
type Reservations interface {
	// Reserve reserves a key for a run that is about to begin. Once it has applied all records of
	// other processes, it calls isFree, which reports whether the key is still available. It calls
	// done once, now or later: reserved reports whether the key is reserved; after an error nothing
	// may run.
	Reserve(k KeyRecord, within time.Duration, isFree func() bool, done func(reserved bool, err error))
	// Ended reports that the run of a key has ended.
	Ended(k KeyRecord)
	// Released reports that the run of a reserved key never began.
	Released(k KeyRecord)
}

const (
	// reservationTimeout bounds how long a run waits for its reservation.
	reservationTimeout = 200 * time.Millisecond
	// reservationRetryAfter is the Retry-After of a request whose reservation failed, if the error
	// does not state one.
	reservationRetryAfter = time.Second
)

// reserve reserves the key of a request and then begins its run.
func (m *Manager) reserve(r *request) {
	entry := r.keyEntry
	attempt := m.newAttempt(r, nil)
	attempt.pending = true
	r.running = attempt
	requestedAt := m.env.Now()
	m.env.Reservations.Reserve(
		m.requestRecord(r),
		reservationTimeout,
		func() bool { return entry.remoteOwner == 0 },
		func(reserved bool, err error) {
			attempt.pending = false
			r.trace.addKeyWait(m.env.Now() - requestedAt)
			m.startReserved(r, attempt, entry, reserved, err)
			m.runActions()
		},
	)
}

// startReserved begins the run of a request if the reservation of its key has succeeded.
func (m *Manager) startReserved(r *request, a *Attempt, entry *keyEntry, reserved bool, err error) {
	switch {
	case entry.remoteOwner != 0:
		a.ended = true
		r.running = nil
		m.yieldToRemote(r)
	case err != nil || !reserved:
		m.env.Log(evStartNotDurable, a.Class, r.ID, err)
		cause, retryAfter := storeErrorCause(err)
		m.cancelStart(r, a, cause, cmp.Or(retryAfter, reservationRetryAfter))
	case !m.mayStart(r):
		m.cancelStart(r, a, CauseNone, 0)
	case m.env.KeyStore != nil:
		m.storeStart(r)
	default:
		m.dispatch(r)
	}
}

// cancelStart rejects a request whose run was about to begin and did not.
func (m *Manager) cancelStart(r *request, a *Attempt, cause Cause, retryAfter time.Duration) {
	r.trace.setCause(cause)
	if m.env.Reservations != nil {
		m.env.Reservations.Released(m.requestRecord(r))
	}
	a.ended = true
	r.running = nil
	m.releaseEntry(r.keyEntry)
	m.answer(r, Answer{Status: Rejected, RetryAfter: retryAfter})
	m.complete(r, admission.OutcomeNeverStarted)
	m.runActions()
	m.removeIfDone(r)
}

// yieldToRemote makes a request that was to run here wait for the run in another process. The
// admission controller is told that the request has ended without a run.
func (m *Manager) yieldToRemote(r *request) {
	m.complete(r, admission.OutcomeNeverStarted)
	if !r.answered {
		m.awaitRemote(r)
	}
	m.runActions()
	m.removeIfDone(r)
}

// awaitRemote answers a request when the run of its key in another process has ended. The admission
// controller does not know the request, so the wait is bounded here.
func (m *Manager) awaitRemote(r *request) {
	entry := r.keyEntry
	if entry.ended {
		m.answerFromEntry(r, entry)
		return
	}
	entry.addWaiter(r)
	r.awaitsRemote = true
	m.boundWait(r, m.failRemoteWait)
}

// failRemoteWait answers a request whose wait for a run in another process is over. It is not
// rejected, as the run goes on.
func (m *Manager) failRemoteWait(r *request) {
	cause := admission.CauseDraining
	if m.isDeadlineNear(r) {
		cause = admission.CauseDeadlinePassed
	}
	r.trace.setCause(Cause(cause))
	m.fail(r)
}
