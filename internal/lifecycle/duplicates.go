package lifecycle

import "ryepaddle/internal/admission"

// endKey records how the run of a key ended, and answers the duplicates that wait for it.
func (m *Manager) endKey(r *request, outcome Outcome, result *Result) {
	entry := r.keyEntry
	if outcome.neverRan() { // another request may run the key
		if m.env.Reservations != nil {
			m.env.Reservations.Released(m.entryRecord(entry))
		}
		m.releaseEntry(entry)
		return
	}
	entry.ended = true
	entry.status = duplicateStatus(outcome)
	if outcome == Succeeded && result != nil {
		m.keys.setResult(entry, result)
	}
	if m.env.Reservations != nil {
		m.env.Reservations.Ended(m.entryRecord(entry))
	}
	m.answerWaiters(entry)
}

// duplicateStatus returns the status of answers to duplicates of a run without a result.
func duplicateStatus(o Outcome) Status {
	switch o {
	case TimedOut:
		return Expired
	case Succeeded:
		return ResultLost
	}
	return Failed
}

// releaseKey releases the key of a request that did not run.
func (m *Manager) releaseKey(r *request) {
	if r.keyEntry != nil && r.keyEntry.owner == r.id && !r.keyEntry.started {
		m.releaseEntry(r.keyEntry)
	}
}

// releaseEntry removes a key whose run never began, and rejects the duplicates that wait for it:
// they did not run either, and may be sent again.
func (m *Manager) releaseEntry(entry *keyEntry) {
	m.keys.remove(entry)
	for _, waiter := range entry.takeWaiters() {
		waiter.awaitsOriginal = false
		m.rejectDuplicate(waiter)
	}
}

// rejectDuplicate rejects a duplicate whose original never ran.
func (m *Manager) rejectDuplicate(r *request) {
	r.trace.setCause(CauseOriginalNotRun)
	m.answer(r, Answer{Status: Rejected})
	m.endDuplicate(r, admission.OutcomeFailed)
}

// answerDuplicate answers a duplicate with the result of its original, now or when the original has
// ended.
func (m *Manager) answerDuplicate(r *request) {
	entry := r.keyEntry
	switch {
	case entry == nil || m.keys.entries[entry.name] != entry && !entry.ended:
		m.rejectDuplicate(r)
	case entry.ended:
		m.answerFromEntry(r, entry)
	default:
		entry.addWaiter(r)
	}
}

// answerWaiters answers the duplicates that wait for a run that has ended.
func (m *Manager) answerWaiters(entry *keyEntry) {
	for _, waiter := range entry.takeWaiters() {
		m.answerFromEntry(waiter, entry)
	}
}

// answerFromEntry answers a duplicate of a run that has ended.
func (m *Manager) answerFromEntry(r *request, entry *keyEntry) {
	r.awaitsOriginal = false
	r.trace.setCause(CauseDuplicate)
	if entry.result != nil {
		m.answer(r, Answer{Status: Served, Result: entry.result})
		m.endDuplicate(r, admission.OutcomeOK)
		return
	}
	m.answer(r, Answer{Status: entry.status})
	m.endDuplicate(r, admission.OutcomeFailed)
}

// endDuplicate notifies the admission controller that a duplicate is answered.
func (m *Manager) endDuplicate(r *request, outcome admission.Outcome) {
	m.complete(r, outcome)
	m.removeIfDone(r)
}
