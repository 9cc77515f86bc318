package lifecycle

// unknownClassKey is a record of another process whose class or tenant is not in the settings.
type unknownClassKey struct {
	KeyRecord
	released bool
}

// keepUnknownClassKey keeps a record of a class or tenant that the settings lack: the other process may
// have read settings that this one is about to read.
func (m *Manager) keepUnknownClassKey(k unknownClassKey) {
	if len(m.unknownClassKeys) < m.keys.limits.Keys {
		m.unknownClassKeys = append(m.unknownClassKeys, k)
	}
}

// ApplyRemote applies the record that another process has written about the run of a key.
func (m *Manager) ApplyRemote(k KeyRecord) {
	name, ok := m.keyNameOfRecord(k)
	if !ok {
		m.keepUnknownClassKey(unknownClassKey{k, false})
		return
	}
	if m.isIDRecord(name) {
		m.applyRemoteID(name, k)
		return
	}
	entry := m.keys.entries[name]
	if m.isOutdated(entry, k) {
		return
	}
	if entry == nil {
		entry = &keyEntry{name: name}
		m.keys.entries[name] = entry
	}
	if entry.remoteOwner != 0 && entry.owner == k.Owner && entry.ended {
		return // a repeated record
	}
	if entry.owner != k.Owner { // the window of the earlier run is over
		m.keys.setResult(entry, nil)
	}
	entry.remoteOwner = ownerIncarnation(k.Owner)
	entry.owner = k.Owner
	entry.restored = true
	entry.started = true
	entry.ended = false
	entry.bodyHash = k.BodyHash
	entry.expiresAt = max(k.ExpiresAt, entry.expiresAt)
	if k.Ended {
		entry.inDoubt = false
		m.endRemote(entry, k.Status, k.Result)
	}
}

// isOutdated reports whether a record of another process is older than what is known of its key.
func (m *Manager) isOutdated(entry *keyEntry, k KeyRecord) bool {
	if entry == nil {
		return false
	}
	if entry.remoteOwner != 0 {
		return entry.owner != k.Owner && k.ExpiresAt < entry.expiresAt
	}
	// The key ran here or in an earlier process. As reservations are made under a shared lock, no
	// other process can have reserved the key before its window was over.
	return entry.started && !m.isReserving(entry) && !(entry.ended && k.ExpiresAt > entry.expiresAt)
}

// ReleaseRemote applies the record that the run of a key in another process never began.
func (m *Manager) ReleaseRemote(k KeyRecord) {
	name, ok := m.keyNameOfRecord(k)
	if !ok {
		m.keepUnknownClassKey(unknownClassKey{k, true})
		return
	}
	if m.isIDRecord(name) {
		m.releaseRemoteID(name)
		return
	}
	entry := m.keys.entries[name]
	if entry == nil || entry.owner != k.Owner || entry.remoteOwner == 0 || entry.ended {
		return
	}
	m.releaseEntry(entry)
	m.runActions()
}

// applyUnknownClassKeys applies the records again that arrived before the settings had their classes.
func (m *Manager) applyUnknownClassKeys() {
	keys := m.unknownClassKeys
	m.unknownClassKeys = nil
	for _, k := range keys {
		switch expired := m.env.Unix() > k.ExpiresAt.Add(maxReadDelay); {
		case expired:
		case k.released:
			m.ReleaseRemote(k.KeyRecord)
		default:
			m.ApplyRemote(k.KeyRecord)
		}
	}
}

// isReserving reports whether the run of a key waits for its reservation or the key store.
func (m *Manager) isReserving(entry *keyEntry) bool {
	r := m.requests[entry.owner]
	return r != nil && r.keyEntry == entry && r.running != nil && r.running.pending
}

// endRemote records how a run in another process ended, and answers the requests that wait for it.
func (m *Manager) endRemote(entry *keyEntry, status Status, result *Result) {
	entry.ended = true
	entry.status = status
	if result != nil && m.keys.hasRoomFor(result) {
		m.keys.setResult(entry, result)
	} else if result != nil {
		entry.status = ResultLost
	}
	m.answerWaiters(entry)
	m.runActions()
}

// OwnerDied reports that another process has exited. Those of its runs whose end is not known are in
// doubt: they may have run.
func (m *Manager) OwnerDied(incarnation uint32) {
	for _, entry := range m.keys.entries {
		if entry.remoteOwner == incarnation && !entry.ended {
			entry.inDoubt = true
			m.endRemote(entry, Failed, nil)
		}
	}
}

// EachOwned calls fn for each key whose run has begun in this process and that has not expired, and for the IDs of such
// runs without keys.
func (m *Manager) EachOwned(fn func(KeyRecord)) {
	m.eachOwnedID(fn)
	now := m.env.Unix()
	for _, entry := range m.keys.entries {
		expired := now > entry.expiresAt.Add(maxReadDelay)
		if entry.remoteOwner == 0 && entry.started && !m.isReserving(entry) && !expired {
			fn(m.entryRecord(entry))
		}
	}
}
