package lifecycle

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"ryepaddle/internal/wallclock"
)

const (
	// maxReadDelay is how long after its arrival a duplicate may be read. It must still find the
	// entry that was valid when it arrived.
	maxReadDelay = 10 * time.Second
	// sweepInterval is the minimum time between two searches of a table for expired entries.
	sweepInterval = 500 * time.Millisecond
)

// The defaults of KeyLimits.
const (
	DefaultMaxKeys        = 20_000
	DefaultMaxResultBytes = 24 << 20
)

// keyName identifies an idempotency key. It does not depend on the frontend of the request.
type keyName struct {
	class, tenant int // NoTenant, or an index in the settings
	key           string
}

// bodyHash identifies the body of a request, which is the same each time the caller sends it.
type bodyHash [sha256.Size]byte

func hashBody(q *Request) bodyHash { return sha256.Sum256(q.Body) }

func keyNameOf(q *Request) keyName { return keyName{q.Class, q.Tenant, q.Key} }

// keyEntry is the state of an idempotency key.
type keyEntry struct {
	name        keyName
	originalID  string // ID of the request that owns the key
	owner       uint64 // the request that owns the key; for a key of another process: KeyRecord.Owner
	bodyHash    bodyHash
	expiresAt   wallclock.UnixMicro // up to which a duplicate may arrive
	started     bool                // its run has begun
	ended       bool
	status      Status  // after an end without a result: how duplicates are answered
	result      *Result // after an end with a result
	waiters     []*request
	restored    bool   // it was run by another process, or before a restart
	inDoubt     bool   // its run had begun when its process exited, and may have ended
	remoteOwner uint32 // incarnation of the other process that runs it; 0: this process
}

// addWaiter adds a duplicate, which waits for the end of the run.
func (e *keyEntry) addWaiter(r *request) {
	r.awaitsOriginal = true
	e.waiters = append(e.waiters, r)
}

func (e *keyEntry) removeWaiter(r *request) {
	if i := slices.Index(e.waiters, r); i >= 0 {
		e.waiters = slices.Delete(e.waiters, i, i+1)
	}
}

// takeWaiters removes and returns the waiting duplicates.
func (e *keyEntry) takeWaiters() []*request {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// markStarted records that the run begins. The window of the key counts from the arrival of its
// request.
func (e *keyEntry) markStarted(arrivedAt wallclock.UnixMicro, window time.Duration) {
	e.started = true
	e.expiresAt = max(e.expiresAt, arrivedAt.Add(window))
}

// keyTable remembers the keys of requests.
type keyTable struct {
	entries     map[keyName]*keyEntry
	resultBytes int // of the cached results
	sweptAt     wallclock.UnixMicro
	limits      KeyLimits
}

func newKeyTable(limits KeyLimits) keyTable {
	return keyTable{entries: map[keyName]*keyEntry{}, limits: limits.orDefault()}
}

// orDefault returns the limits with the defaults in place of zero.
func (l KeyLimits) orDefault() KeyLimits {
	return KeyLimits{
		Keys:        cmp.Or(l.Keys, DefaultMaxKeys),
		ResultBytes: cmp.Or(l.ResultBytes, DefaultMaxResultBytes),
	}
}

// find returns the entry that a request duplicates, if the request arrived before it expired; nil
// if there is none. An entry whose run has not ended does not expire.
func (t *keyTable) find(q *Request) *keyEntry {
	entry := t.entries[keyNameOf(q)]
	if entry != nil && (q.ArrivedAt <= entry.expiresAt || !entry.ended) {
		return entry
	}
	return nil
}

// put adds the key of a request, to be remembered until expiresAt. It replaces an expired entry.
func (t *keyTable) put(r *request, expiresAt wallclock.UnixMicro) {
	name := keyNameOf(r.Request)
	entry := t.entries[name]
	if entry != nil && entry.remoteOwner != 0 && r.ArrivedAt <= entry.expiresAt {
		r.keyEntry = entry // another process has reserved the key since the request was read
		return
	}
	if entry == nil || entry.owner != r.id {
		t.remove(entry)
		entry = &keyEntry{name: name, owner: r.id, originalID: r.ID, bodyHash: hashBody(r.Request)}
		t.entries[name] = entry
	}
	entry.expiresAt = max(entry.expiresAt, expiresAt)
	r.keyEntry = entry
}

// mayRun reports whether a request owns its key and is the first of its key to run.
func (t *keyTable) mayRun(r *request) bool {
	entry := r.keyEntry
	return entry != nil && t.entries[entry.name] == entry && entry.owner == r.id && !entry.started
}

// isFull reports whether there is no room for another key. Keys that ran are never removed to make
// room.
func (t *keyTable) isFull() bool {
	return len(t.entries) >= t.limits.Keys || t.resultBytes >= t.limits.ResultBytes
}

// hasRoomFor reports whether a result fits the cache.
func (t *keyTable) hasRoomFor(result *Result) bool {
	return t.resultBytes+result.size() <= t.limits.ResultBytes
}

// setResult replaces the cached result of an entry; nil removes it.
func (t *keyTable) setResult(entry *keyEntry, result *Result) {
	if entry.result != nil {
		t.resultBytes -= entry.result.size()
	}
	entry.result = result
	if result != nil {
		t.resultBytes += result.size()
	}
}

// remove removes an entry, if it is in the table.
func (t *keyTable) remove(entry *keyEntry) {
	if entry == nil || t.entries[entry.name] != entry {
		return
	}
	delete(t.entries, entry.name)
	if entry.result != nil {
		t.resultBytes -= entry.result.size()
	}
}

// expire removes the entries that no duplicate can find any more.
func (t *keyTable) expire(now wallclock.UnixMicro) {
	if now < t.sweptAt.Add(sweepInterval) {
		return
	}
	t.sweptAt = now
	for _, entry := range t.entries {
		isRunning := entry.started && !entry.ended && entry.remoteOwner == 0
		if now > entry.expiresAt.Add(maxReadDelay) && !isRunning && len(entry.waiters) == 0 {
			t.remove(entry)
		}
	}
}
