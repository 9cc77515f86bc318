package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// maxRecentIDs bounds the IDs that are remembered. Each takes about 150 bytes.
const maxRecentIDs = 10_000

// recentIDs remembers the IDs of requests without an idempotency key whose runs have begun, so that a copy of such a
// request is not run again after its caller has left. A copy that is exact is refused for its deadline later on.
type recentIDs struct {
	entries map[string]recentID
	order   []string // in the order in which they were added; may hold IDs that were removed
	limit   int      // of the IDs; beyond it the oldest are forgotten
}

// recentID is what is remembered of an ID.
type recentID struct {
	expiresAt time.Duration // monotonic
	class     int
	remote    bool // it runs or ran in another process of the runner
}

func newRecentIDs(limit int) recentIDs {
	return recentIDs{entries: map[string]recentID{}, limit: limit}
}

// add remembers an ID.
func (r *recentIDs) add(id string, entry recentID) {
	if _, known := r.entries[id]; !known {
		r.order = append(r.order, id)
	}
	r.entries[id] = entry
	for len(r.entries) > r.limit {
		r.forgetOldest()
	}
}

// remove forgets the ID of a run that never began.
func (r *recentIDs) remove(id string) { delete(r.entries, id) }

// contains reports whether a request with the ID has run.
func (r *recentIDs) contains(id string, now time.Duration) bool { return now < r.entries[id].expiresAt }

// expire forgets the oldest IDs whose time is over.
func (r *recentIDs) expire(now time.Duration) {
	for len(r.order) > 0 && r.entries[r.order[0]].expiresAt <= now {
		r.forgetOldest()
	}
}

func (r *recentIDs) forgetOldest() {
	delete(r.entries, r.order[0])
	r.order = r.order[1:]
}

// rememberID remembers the ID of a request without a key whose run begins, for as long as a copy may arrive.
func (m *Manager) rememberID(r *request) {
	if m.isIdentifiedByID(r.Request) {
		m.recentIDs.add(r.ID, recentID{expiresAt: r.deadline + maxReadDelay, class: r.Class})
	}
}

// forgetID forgets the ID of a request whose run never began.
func (m *Manager) forgetID(r *request) {
	if !m.isIdentifiedByID(r.Request) {
		return
	}
	m.recentIDs.remove(r.ID)
	if m.sharesIDs() {
		m.env.Reservations.Released(m.idRecord(r))
	}
}

// isIdentifiedByID reports whether copies of a request are recognized by its ID, and not by a key.
func (m *Manager) isIdentifiedByID(q *Request) bool { return q.IDFromCaller && !m.RequiresKey(q.Class) }

// answerRepeatedID answers a copy of a request without a key that has run, and reports whether it is one.
func (m *Manager) answerRepeatedID(q *Request) bool {
	if !m.isIdentifiedByID(q) || !m.recentIDs.contains(q.ID, m.env.Now()) {
		return false
	}
	stats := &m.stats[q.Class]
	stats.Read++
	stats.Duplicates++
	stats.countAnswer(ResultLost)
	trace := m.newTrace(q)
	trace.setCause(CauseRepeatedID)
	m.reportTrace(trace, ResultLost, 0)
	q.Responder.Answer(Answer{Status: ResultLost})
	return true
}

// sharesIDs reports whether other processes of the runner may get copies of requests. The IDs of requests without keys
// are then reserved like keys: their records have the class of the request, which requires no key, and the ID in place
// of the key.
func (m *Manager) sharesIDs() bool { return m.env.SharesIDs != nil && m.env.SharesIDs() }

// idRecord returns the record of the ID of a request.
func (m *Manager) idRecord(r *request) KeyRecord {
	return KeyRecord{
		Class:     m.settings.Classes[r.Class].Name,
		Key:       r.ID,
		Owner:     m.ownerOf(r.id),
		ExpiresAt: m.env.Unix().Add(r.deadline + maxReadDelay - m.env.Now()),
	}
}

// isIDRecord reports whether a record is that of an ID. Reads whose results are shared have records without a key.
func (m *Manager) isIDRecord(name keyName) bool { return name.key != "" && !m.RequiresKey(name.class) }

// applyRemoteID applies the record of an ID that another process has run.
func (m *Manager) applyRemoteID(name keyName, k KeyRecord) {
	expiresAt := m.env.Now() + k.ExpiresAt.Sub(m.env.Unix())
	m.recentIDs.add(name.key, recentID{expiresAt: expiresAt, class: name.class, remote: true})
}

// releaseRemoteID forgets an ID whose run in another process never began.
func (m *Manager) releaseRemoteID(name keyName) {
	if m.recentIDs.entries[name.key].remote {
		m.recentIDs.remove(name.key)
	}
}

// eachOwnedID calls fn for the IDs that have run in this process and have not expired.
func (m *Manager) eachOwnedID(fn func(KeyRecord)) {
	now := m.env.Now()
	for id, entry := range m.recentIDs.entries {
		if entry.remote || now >= entry.expiresAt {
			continue
		}
		fn(KeyRecord{
			Class:     m.settings.Classes[entry.class].Name,
			Key:       id,
			Owner:     m.ownerOf(0),
			ExpiresAt: m.env.Unix().Add(entry.expiresAt - now),
			Ended:     true,
			Status:    ResultLost,
		})
	}
}

// reserveID reserves the ID of a request among the processes of the runner, and then begins its run.
func (m *Manager) reserveID(r *request) {
	attempt := m.newAttempt(r, nil)
	attempt.pending = true
	r.running = attempt
	m.env.Reservations.Reserve(
		m.idRecord(r),
		reservationTimeout,
		func() bool { return !m.recentIDs.contains(r.ID, m.env.Now()) },
		func(reserved bool, err error) {
			attempt.pending = false
			m.startWithID(r, attempt, reserved, err)
			m.runActions()
		},
	)
}

// startWithID begins the run of a request whose ID was to be reserved. If that failed, an idempotent request is run all
// the same, and any other is rejected.
func (m *Manager) startWithID(r *request, a *Attempt, reserved bool, err error) {
	isIdempotent := m.settings.Classes[r.Class].Idempotency == admission.Idempotent
	answer := Answer{Status: Rejected, RetryAfter: reservationRetryAfter}
	switch {
	case err == nil && !reserved:
		answer = Answer{Status: ResultLost}
		r.trace.setCause(CauseRepeatedID)
	case !m.mayStart(r):
		if reserved {
			m.forgetID(r)
		}
	case err == nil || isIdempotent:
		m.dispatch(r)
		return
	default:
		r.trace.setCause(CauseKeyStore)
	}
	a.ended = true
	r.running = nil
	m.answer(r, answer)
	m.complete(r, admission.OutcomeNeverStarted)
	m.runActions()
	m.removeIfDone(r)
}
