package lifecycle

// Restore adds the keys of earlier processes. A run that had begun and not ended is in doubt: it may
// have taken effect, and is never run again. It returns how many keys are of classes or tenants that the
// settings lack.
func (m *Manager) Restore(keys []KeyRecord) (unknown int) {
	for _, k := range keys {
		name, ok := m.keyNameOfRecord(k)
		if !ok {
			unknown++
			continue
		}
		if m.keys.entries[name] != nil { // the entry of this process is newer
			continue
		}
		entry := &keyEntry{
			name:      name,
			bodyHash:  k.BodyHash,
			expiresAt: k.ExpiresAt,
			started:   true,
			ended:     true,
			restored:  true,
			status:    k.Status,
		}
		if !k.Ended {
			entry.status = Failed
			entry.inDoubt = true
		}
		m.keys.entries[name] = entry
		m.keys.setResult(entry, k.Result)
	}
	return unknown
}

// answerRestored answers a duplicate of a request that ran in another or an earlier process. As
// nothing runs, the admission controller is not notified.
func (m *Manager) answerRestored(q *Request, entry *keyEntry) {
	answer := Answer{Status: entry.status}
	switch {
	case entry.result != nil:
		answer = Answer{Status: Served, Result: entry.result}
	case entry.inDoubt:
		answer.Reason = InDoubt
	}
	stats := &m.stats[q.Class]
	stats.Read++
	stats.Duplicates++
	stats.countAnswer(answer.Status)
	if trace := m.newTrace(q); trace != nil {
		trace.OriginalID = entry.originalID
		if entry.inDoubt {
			trace.setCause(CauseInDoubt)
		}
		trace.setCause(CauseDuplicate)
		m.reportTrace(trace, answer.Status, 0)
	}
	q.Responder.Answer(answer)
}
