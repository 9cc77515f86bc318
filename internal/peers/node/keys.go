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

// put replicates a record of a key. Done is called in a turn of the loop of its own: it may ask for
// more at once.
func (n *Node) put(kind store.RecordKind, k lifecycle.KeyRecord, done func(replication.Result)) {
	now := n.loop.Unix()
	remaining := k.ExpiresAt.Sub(now)
	timeout := n.cfg.ReplicationTimeout
	if kind == store.RunEnded { // the lifecycle bounds how long an answer waits for this
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

// Reserve implements lifecycle.Reservations: a run begins once its beginning is replicated, unless
// another attempt owns the key.
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

// reservationError returns the error of a result as the lifecycle has it, or nil.
func reservationError(result replication.Result) error {
	if result.Err == nil {
		return nil
	}
	return &lifecycle.ReplicationError{RetryAfter: result.RetryAfter, Err: result.Err}
}

// applyRemote tells the lifecycle of another attempt's run. One whose process is lost may have run.
func (n *Node) applyRemote(result replication.Result) {
	record := *result.Record
	record.ExpiresAt = n.loop.Unix().Add(result.Remaining)
	if result.InDoubt {
		record.Kind, record.Status = store.RunEnded, uint8(lifecycle.Failed)
	}
	n.keys.ApplyRemote(persistence.FromRecord(&record), record.Kind == store.KeyReleased)
}

// Ended implements lifecycle.Reservations. The end of a run is replicated by the key store, before
// it is answered.
func (n *Node) Ended(lifecycle.KeyRecord) {}

// Released implements lifecycle.Reservations.
func (n *Node) Released(k lifecycle.KeyRecord) {
	n.put(store.KeyReleased, k, func(replication.Result) {})
}

// KeyStore returns a store that replicates keys to peers and keeps them in the local store too, if
// that is not nil.
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

// Started implements lifecycle.KeyStore. Peers have the record by the reservation.
func (s keyStore) Started(k lifecycle.KeyRecord, done func(error)) {
	if s.node.localStore == nil {
		s.node.loop.Post(func() { done(nil) })
		return
	}
	s.node.localStore.Started(k, done)
}

// Ended implements lifecycle.KeyStore: done is called once peers and the local store have the end of
// the run, and other runners its use. A local store that hangs is given its own timeout, as peers
// have the result.
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

// withTimeout returns a function that passes its first error on, unless the timeout came before it.
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

// Released implements lifecycle.KeyStore. Peers hear it by the reservation.
func (s keyStore) Released(k lifecycle.KeyRecord) {
	if s.node.localStore != nil {
		s.node.localStore.Released(k)
	}
}
