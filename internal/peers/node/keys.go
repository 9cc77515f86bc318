package node

import (
	"errors"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/replication"
)

// put replicates a record of a key. Done is called by the loop after the current callback, so that it
// may make further requests.
func (n *Node) put(kind store.RecordKind, k lifecycle.KeyRecord, done func(replication.Result)) {
	now := n.loop.Unix()
	remaining := k.ExpiresAt.Sub(now)
	timeout := n.cfg.ReplicationTimeout
	// For the end of a run, the lifecycle bounds how long an answer waits for replication.
	if kind == store.RunEnded {
		timeout = max(timeout, remaining)
	}
	n.replica.Put(
		persistence.ToRecord(kind, k, now),
		remaining,
		timeout,
		n.loop.Now(),
		func(result replication.Result) { n.loop.Post(func() { done(result) }) },
	)
	n.loop.Post(n.flush)
}

// Reserve implements lifecycle.Reservations: a run may start once the record of its start is
// replicated, unless another attempt owns the key.
func (n *Node) Reserve(
	k lifecycle.KeyRecord,
	_ time.Duration,
	free func() bool,
	done func(mine bool, err error),
) {
	called := false
	n.put(store.RunStarted, k, func(result replication.Result) {
		isFirst := !called
		called = true
		if result.Outcome == replication.OutcomeOwnedByOther {
			n.applyRemote(result)
			if isFirst {
				done(false, nil)
			}
			return
		}
		if isFirst {
			granted := result.Err == nil && result.Outcome == replication.OutcomeGranted
			done(granted && free(), reservationError(result))
		}
	})
}

// reservationError returns the error of a result as a lifecycle.ReplicationError, or nil if it has
// none.
func reservationError(result replication.Result) error {
	if result.Err == nil {
		return nil
	}
	return &lifecycle.ReplicationError{RetryAfter: result.RetryAfter, Err: result.Err}
}

// applyRemote passes the record of another attempt's run to the lifecycle. A run whose process is lost
// is in doubt, as it may have been executed: it is passed on as a failed one.
func (n *Node) applyRemote(result replication.Result) {
	record := *result.Record
	record.ExpiresAt = n.loop.Unix().Add(result.Remaining)
	if result.InDoubt {
		record.Kind, record.Status = store.RunEnded, uint8(lifecycle.Failed)
	}
	key := persistence.FromRecord(&record)
	if record.Kind == store.KeyReleased {
		n.keys.ReleaseRemote(key)
		return
	}
	n.keys.ApplyRemote(key)
}

// Ended implements lifecycle.Reservations. It does nothing, as the key store replicates the end of a
// run before the caller gets the answer.
func (n *Node) Ended(lifecycle.KeyRecord) {}

// Released implements lifecycle.Reservations. It replicates the release of the key and does not wait
// for it.
func (n *Node) Released(k lifecycle.KeyRecord) {
	n.put(store.KeyReleased, k, func(replication.Result) {})
}

// KeyStore returns a store that replicates keys to peers and also writes them to the local store,
// unless that is nil.
func (n *Node) KeyStore(local lifecycle.KeyStore) lifecycle.KeyStore {
	n.localStore = local
	return keyStore{n}
}

// keyStore implements lifecycle.ReplicatedKeyStore.
type keyStore struct{ node *Node }

// Unavailable implements lifecycle.KeyStore.
func (s keyStore) Unavailable() (retryAfter time.Duration, reason string) {
	n := s.node
	if retryAfter, reason = n.replica.Unavailable(n.loop.Now()); retryAfter > 0 || n.localStore == nil {
		return retryAfter, reason
	}
	return n.localStore.Unavailable()
}

// MissingReplicas implements lifecycle.ReplicatedKeyStore.
func (s keyStore) MissingReplicas() bool {
	retryAfter, _ := s.node.replica.Unavailable(s.node.loop.Now())
	return retryAfter > 0
}

// Timeout implements lifecycle.KeyStore.
func (s keyStore) Timeout() time.Duration { return s.node.cfg.ReplicationTimeout }

// Started implements lifecycle.KeyStore. Peers already have the record from the reservation.
func (s keyStore) Started(k lifecycle.KeyRecord, done func(error)) {
	if s.node.localStore == nil {
		s.node.loop.Post(func() { done(nil) })
		return
	}
	s.node.localStore.Started(k, done)
}

// Ended implements lifecycle.KeyStore. Done is called once the peers and the local store have the end
// of the run, and other runners have its usage record. The local store's own timeout bounds the wait
// for it if it hangs, as the peers have the result.
func (s keyStore) Ended(k lifecycle.KeyRecord, done func(error)) {
	n := s.node
	var errs error
	outstanding := 1
	finish := func(err error) {
		errs = errors.Join(errs, err)
		if outstanding--; outstanding == 0 {
			done(errs)
		}
	}
	if n.localStore != nil {
		outstanding++
		n.localStore.Ended(k, n.withTimeout(n.localStore.Timeout(), finish))
	}
	if n.cfg.UsageReplicas != nil && k.Result != nil && k.HasWaiter {
		outstanding++
		n.cfg.UsageReplicas.Replicate(k, finish)
	}
	n.put(store.RunEnded, k, func(result replication.Result) { finish(result.Err) })
}

// withTimeout returns a function whose first call passes its error on to done. If there is no call
// before the timeout, done is called with errDiskTimeout and later calls are ignored.
func (n *Node) withTimeout(timeout time.Duration, done func(error)) func(error) {
	var timer *eventloop.Timer
	called := false
	once := func(err error) {
		if called {
			return
		}
		called = true
		timer.Stop()
		done(err)
	}
	timer = n.loop.After(timeout, func() { once(errDiskTimeout) })
	return once
}

// Released implements lifecycle.KeyStore. Peers get the release from Node.Released.
func (s keyStore) Released(k lifecycle.KeyRecord) {
	if s.node.localStore != nil {
		s.node.localStore.Released(k)
	}
}
