package lifecycle

import (
	"errors"
	"time"

	"ryepaddle/internal/wallclock"
)

// KeyRecord is the state of an idempotency key as it is stored outside the process. Classes and
// tenants are stored by name.
type KeyRecord struct {
	Class, Tenant, Key string
	// Owner identifies the request that owns the key among the requests of all processes: the
	// incarnation of its process in the upper 32 bits and its number in the lower.
	Owner uint64
	// ExpiresAt is the time up to which a duplicate may arrive.
	ExpiresAt  wallclock.UnixMicro
	BodyHash   [32]byte // SHA-256 of the request's body
	Ended      bool     // the run has ended; otherwise it has begun
	Status     Status   // after an end without a result: how duplicates are answered
	Result     *Result
	ServerTime time.Duration // after an end: time that servers spent on the run
	HasWaiter  bool          // after an end: a caller waits for the answer
}

// KeyStore makes keys durable. A run begins once its start is durable, and its answer is sent once
// its result is. Records of one key are stored in the order of the calls.
type KeyStore interface {
	// Unavailable returns for how long no new keys are accepted, and why; zero if they are accepted.
	Unavailable() (retryAfter time.Duration, why string)
	// Started and Ended store the start and the end of a run. They call done on the manager's
	// goroutine, after they have returned.
	Started(k KeyRecord, done func(error))
	Ended(k KeyRecord, done func(error))
	// Released stores that a run never began.
	Released(k KeyRecord)
	// Timeout returns how long a run or an answer waits for the store. A result that is replicated
	// waits as long as its deadline allows.
	Timeout() time.Duration
}

// ReplicatedKeyStore is a KeyStore that replicates keys to other runners. The result of a run is
// sent only once it is replicated.
type ReplicatedKeyStore interface {
	KeyStore
	// MissingReplicas reports whether keys are unavailable for lack of replicas.
	MissingReplicas() bool
}

// ReplicationError reports a key that could not be replicated.
type ReplicationError struct {
	RetryAfter time.Duration // when a retry may succeed; 0: not known
	Err        error
}

func (e *ReplicationError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ReplicationError) Unwrap() error { return e.Err }

// errStoreTimeout reports a key store that did not answer in time.
var errStoreTimeout = errors.New("the key store did not answer in time")

// storeErrorCause returns the cause of an answer whose key could not be reserved or stored, and when
// to retry; 0: not known.
func storeErrorCause(err error) (cause Cause, retryAfter time.Duration) {
	if replication := (*ReplicationError)(nil); errors.As(err, &replication) {
		return CauseReplicas, replication.RetryAfter
	}
	return CauseKeyStore, 0
}

// storeCause returns why the key store accepts no new keys.
func (m *Manager) storeCause() Cause {
	if s, ok := m.env.KeyStore.(ReplicatedKeyStore); ok && s.MissingReplicas() {
		return CauseReplicas
	}
	return CauseKeyStore
}

// ownerBits is how many bits of KeyRecord.Owner identify the request.
const ownerBits = 32

// ownerOf returns KeyRecord.Owner for a request of this process.
func (m *Manager) ownerOf(id uint64) uint64 {
	return m.env.Incarnation<<ownerBits | id&(1<<ownerBits-1)
}

// ownerIncarnation returns the incarnation of the process that an owner belongs to.
func ownerIncarnation(owner uint64) uint32 { return uint32(owner >> ownerBits) }

// requestRecord returns the record of the key of a request that owns it.
func (m *Manager) requestRecord(r *request) KeyRecord {
	k := m.entryRecord(r.keyEntry)
	k.Owner = m.ownerOf(r.id)
	return k
}

// entryRecord returns the record of a key.
func (m *Manager) entryRecord(e *keyEntry) KeyRecord {
	k := KeyRecord{
		Class:     m.settings.Classes[e.name.class].Name,
		Key:       e.name.key,
		Owner:     m.ownerOf(e.owner),
		ExpiresAt: e.expiresAt,
		BodyHash:  e.bodyHash,
		Ended:     e.ended,
		Status:    e.status,
		Result:    e.result,
	}
	if e.name.tenant >= 0 {
		k.Tenant = m.settings.Tenants[e.name.tenant].Name
	}
	return k
}

// keyNameOfRecord returns the name of a record's key; false if the settings lack its class or
// tenant.
func (m *Manager) keyNameOfRecord(k KeyRecord) (keyName, bool) {
	class, ok := m.Class(k.Class)
	tenant := NoTenant
	if k.Tenant != "" && ok {
		tenant, ok = m.Tenant(k.Tenant)
	}
	return keyName{class, tenant, k.Key}, ok
}
