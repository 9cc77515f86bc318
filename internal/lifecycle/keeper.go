package lifecycle

import (
	"errors"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/wallclock"
)

// KeyRecord is what is remembered of a key where a crash does not reach it. Classes and tenants go by
// their names.
type KeyRecord struct {
	Class, Tenant, Key string
	// the try that it is about, told from all others, also of other lives of the program
	Owner      uint64
	ExpiresAt  wallclock.UnixMicro // Unix time up to which a repeat may arrive
	BodyHash   [32]byte
	Ended      bool   // else its run had begun
	Status     Status // of an end without a result: how repeats are answered
	Result     *Result
	ServerTime time.Duration // of an end: time that servers spent on it
	HasWaiter  bool          // of an end: somebody waits for the answer
}

// KeyStore keeps keys where a crash does not reach them. A run begins once it is kept that it does,
// and the answer to it goes out once its result is kept. What is kept of a key is kept in the order
// in which it was handed over.
type KeyStore interface {
	// Unavailable tells for how long no new key can be taken, and why; 0: they can.
	Unavailable() (back time.Duration, why string)
	// Started and Ended call done on the loop, later.
	Started(k KeyRecord, done func(error))
	Ended(k KeyRecord, done func(error))
	Released(k KeyRecord)
	// Timeout is how long a run or an answer waits for that; a result waits for
	// other runners while there is time.
	Timeout() time.Duration
}

// ReplicatedKeyStore is a Keeper that keeps keys on other runners too. The result of a run is given out only
// once it is kept there.
type ReplicatedKeyStore interface {
	KeyStore
	// MissingReplicas tells whether it is for want of them that no new key can be taken.
	MissingReplicas() bool
}

// ReplicationError is that of a key that could not be kept on other runners.
type ReplicationError struct {
	RetryAfter time.Duration // after which it may be; 0: not known
	Err        error
}

func (e *ReplicationError) Error() string { return e.Err.Error() }

// Unwrap gives what went wrong.
func (e *ReplicationError) Unwrap() error { return e.Err }

// storeErrorCause is why a key is not kept, and when to come back; nought: not known.
func storeErrorCause(err error) (Cause, time.Duration) {
	if copies := (*ReplicationError)(nil); errors.As(err, &copies) {
		return CauseReplicas, copies.RetryAfter
	}
	return CauseKeyStore, 0
}

// Restore takes what was kept in earlier lives of the program. A run that had begun and did not end
// is in doubt: it may have run, and is never run again. It reports how many keys are of classes or
// tenants that there are not any more.
func (c *Manager) Restore(keys []KeyRecord) (strange int) {
	for _, k := range keys {
		class, ok := c.Class(k.Class)
		tenant := NoTenant
		if k.Tenant != "" && ok {
			tenant, ok = c.Tenant(k.Tenant)
		}
		if !ok {
			strange++
			continue
		}
		e := &keyEntry{
			name:      keyName{class, tenant, k.Key},
			bodyHash:  k.BodyHash,
			expiresAt: k.ExpiresAt,
			started:   true,
			ended:     true,
			restored:  true,
			status:    k.Status,
			result:    k.Result,
		}
		if !k.Ended {
			e.status, e.inDoubt = Failed, true
		}
		if c.keys.entries[e.name] != nil { // one that is known now is of this life
			continue
		}
		c.keys.entries[e.name] = e
		if e.result != nil {
			c.keys.resultBytes += e.result.size()
		}
	}
	return strange
}

// answerRestored answers a repeat of a request that ran in an earlier life. Nothing runs, so that the
// module need not hear of it.
func (c *Manager) answerRestored(q *Request, e *keyEntry) {
	a := Answer{Status: e.status}
	switch {
	case e.result != nil:
		a = Answer{Status: Served, Result: e.result}
	case e.inDoubt:
		a.Reason = InDoubt
	}
	n := &c.stats[q.Class]
	n.Read++
	n.Repeats++
	n.ended(a.Status)
	if t := c.newTrace(q); t != nil {
		if t.OriginalID = e.originalID; e.inDoubt {
			t.setCause(CauseInDoubt, 0, 0)
		}
		t.setCause(CauseDuplicate, 0, 0)
		c.report(t, a.Status, 0)
	}
	q.Responder.Answer(a)
}

// requestRecord is what is to be kept of a request's key.
func (c *Manager) requestRecord(r *request) KeyRecord {
	k := c.entryRecord(r.keyEntry)
	k.Owner = c.env.Incarnation<<32 | r.id&(1<<32-1)
	return k
}

// entryRecord is what there is to be kept of a key.
func (c *Manager) entryRecord(e *keyEntry) KeyRecord {
	k := KeyRecord{
		Class:     c.settings.Classes[e.name.class].Name,
		Key:       e.name.key,
		Owner:     c.env.Incarnation<<32 | e.owner&(1<<32-1),
		ExpiresAt: e.expiresAt,
		BodyHash:  e.bodyHash,
		Ended:     e.ended,
		Status:    e.status,
		Result:    e.result,
	}
	if e.name.tenant >= 0 {
		k.Tenant = c.settings.Tenants[e.name.tenant].Name
	}
	return k
}

// storeStart has it kept that a run begins, and then begins it. A disk that does not answer in time is
// not waited for: the request is refused, and that it never ran is kept behind its beginning.
func (c *Manager) storeStart(r *request) {
	a := c.newAttempt(r, nil)
	r.running = a
	k := c.requestRecord(r)
	// it has waited in the hold since that was not so
	if back, why := c.env.KeyStore.Unavailable(); back > 0 {
		c.startStored(r, a, k, errors.New(why))
		return
	}
	a.pending = true
	var stop func()
	asked := c.env.Now()
	settle := func(err error) {
		if !a.pending {
			return
		}
		r.trace.addKeyWait(c.env.Now() - asked)
		a.pending = false
		stop()
		c.startStored(r, a, k, err)
	}
	stop = c.env.After(
		min(c.env.KeyStore.Timeout(), max(r.deadline-deadlineMargin-c.env.Now(), 0)),
		func() { settle(errStoreTimeout) },
	)
	c.env.KeyStore.Started(k, settle)
}

// startStored goes on with a run of which it is kept that it begins, unless that failed or the run has
// become needless.
func (c *Manager) startStored(r *request, a *Attempt, k KeyRecord, err error) {
	switch {
	case err != nil:
		c.env.Log(evStartNotDurable, a.Class, r.ID, err)
	case r.answered || c.isTooLate(r) || c.env.Now() >= r.deadline-deadlineMargin:
	default:
		c.dispatch(r)
		return
	}
	c.env.KeyStore.Released(k)
	back, _ := c.env.KeyStore.Unavailable()
	c.cancelStart(r, a, c.storeCause(), back)
}

// storeCause is why the keeper takes no new keys.
func (c *Manager) storeCause() Cause {
	if s, ok := c.env.KeyStore.(ReplicatedKeyStore); ok && s.MissingReplicas() {
		return CauseReplicas
	}
	return CauseKeyStore
}

// storeEnd has the end of a run kept, and then answers it and its repeats. The module hears at once
// that the run is over; the answer waits, but not for a disk that does not answer, and not beyond
// its due time.
func (c *Manager) storeEnd(r *request, o Outcome, res *Result) {
	done, answer := answerOf(o, res)
	c.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: done})
	r.awaitsStore = true
	if o != Succeeded {
		r.trace.setCause(outcomeCause(o), 0, 0)
	}
	k := c.requestRecord(r)
	k.Ended, k.Result, k.ServerTime, k.HasWaiter = true, res, r.trace.serverTime(), !r.answered
	if o != Succeeded || res == nil {
		k.Result, k.Status = nil, duplicateStatus(o)
	}
	var stop func()
	over, asked := false, c.env.Now()
	finish := func(err error) {
		if over {
			return
		}
		over = true
		r.trace.addKeyWait(c.env.Now() - asked)
		stop()
		if err != nil {
			c.env.Log(evResultNotDurable, k.Class, r.ID, err)
		}
		c.endKey(r, o, res)
		c.answer(r, answer)
		c.runActions()
		c.removeIfDone(r)
	}
	if _, shared := c.env.KeyStore.(ReplicatedKeyStore); shared && o == Succeeded {
		// no repeat can come any more
		stop = c.env.After(max(k.ExpiresAt.Sub(c.env.Unix()), 0), func() { finish(errStoreTimeout) })
		c.env.KeyStore.Ended(k, finish)
		c.boundReplicationWait(r)
		c.runActions()
		return
	}
	wait := min(c.env.KeyStore.Timeout(), r.deadline-deadlineMargin-c.env.Now())
	if r.answered { // only repeats wait
		wait = c.env.KeyStore.Timeout()
	}
	stop = c.env.After(max(wait, 0), func() { finish(errStoreTimeout) })
	c.env.KeyStore.Ended(k, finish)
	if wait <= 0 && !r.answered { // it is late already, which is no fault of the disk
		finish(nil)
	}
	c.runActions()
}

// boundReplicationWait answers a request whose result other runners have not confirmed while there was
// time for it. It must not be given out without their word: should this process be taken for lost,
// they tell repeats that the run is in doubt. The key stays open until they confirm.
func (c *Manager) boundReplicationWait(r *request) {
	wait := r.deadline - deadlineMargin - c.env.Now()
	if c.drainingSince != 0 {
		wait = min(wait, c.stopAt-replicationDrainMargin-c.env.Now())
	}
	c.env.After(max(wait, 0), func() {
		if r.answered {
			return
		}
		r.trace.setCause(CauseReplicas, 0, 0)
		c.answer(r, Answer{Status: Expired})
		c.removeIfDone(r)
	})
}

// replicationDrainMargin is how long before the process is stopped a result that is not confirmed is
// given up.
const replicationDrainMargin = 300 * time.Millisecond
