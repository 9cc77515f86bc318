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

// unkeptBy is why a key is not kept, and when to come back; nought: not known.
func unkeptBy(err error) (Cause, time.Duration) {
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
		e := &entry{
			name:     keyName{class, tenant, k.Key},
			body:     k.BodyHash,
			until:    k.ExpiresAt,
			ran:      true,
			ended:    true,
			restored: true,
			failed:   k.Status,
			result:   k.Result,
		}
		if !k.Ended {
			e.failed, e.doubt = Failed, true
		}
		if c.keys.byName[e.name] != nil { // one that is known now is of this life
			continue
		}
		c.keys.byName[e.name] = e
		if e.result != nil {
			c.keys.bytes += e.result.size()
		}
	}
	return strange
}

// recall answers a repeat of a request that ran in an earlier life. Nothing runs, so that the
// module need not hear of it.
func (c *Manager) recall(q *Request, e *entry) {
	a := Answer{Status: e.failed}
	switch {
	case e.result != nil:
		a = Answer{Status: Served, Result: e.result}
	case e.doubt:
		a.Reason = InDoubt
	}
	n := &c.counts[q.Class]
	n.Read++
	n.Repeats++
	n.ended(a.Status)
	if t := c.trail(q); t != nil {
		if t.OriginalID = e.first; e.doubt {
			t.because(CauseInDoubt, 0, 0)
		}
		t.because(CauseDuplicate, 0, 0)
		c.tell(t, a.Status, 0)
	}
	q.Responder.Answer(a)
}

// kept is what is to be kept of a request's key.
func (c *Manager) kept(r *request) KeyRecord {
	k := c.keptOf(r.entry)
	k.Owner = c.host.Incarnation<<32 | r.id&(1<<32-1)
	return k
}

// keptOf is what there is to be kept of a key.
func (c *Manager) keptOf(e *entry) KeyRecord {
	k := KeyRecord{
		Class:     c.set.Classes[e.name.class].Name,
		Key:       e.name.key,
		Owner:     c.host.Incarnation<<32 | e.owner&(1<<32-1),
		ExpiresAt: e.until,
		BodyHash:  e.body,
		Ended:     e.ended,
		Status:    e.failed,
		Result:    e.result,
	}
	if e.name.tenant >= 0 {
		k.Tenant = c.set.Tenants[e.name.tenant].Name
	}
	return k
}

// begin has it kept that a run begins, and then begins it. A disk that does not answer in time is
// not waited for: the request is refused, and that it never ran is kept behind its beginning.
func (c *Manager) begin(r *request) {
	a := c.newAttempt(r, nil)
	r.running = a
	k := c.kept(r)
	// it has waited in the hold since that was not so
	if back, why := c.host.KeyStore.Unavailable(); back > 0 {
		c.begun(r, a, k, errors.New(why))
		return
	}
	a.pending = true
	var stop func()
	asked := c.host.Now()
	settle := func(err error) {
		if !a.pending {
			return
		}
		r.trail.kept(c.host.Now() - asked)
		a.pending = false
		stop()
		c.begun(r, a, k, err)
	}
	stop = c.host.After(
		min(c.host.KeyStore.Timeout(), max(r.due-lateBy-c.host.Now(), 0)),
		func() { settle(errSlow) },
	)
	c.host.KeyStore.Started(k, settle)
}

// begun goes on with a run of which it is kept that it begins, unless that failed or the run has
// become needless.
func (c *Manager) begun(r *request, a *Attempt, k KeyRecord, err error) {
	switch {
	case err != nil:
		c.host.Log(evRunUnkept, a.Class, r.ID, err)
	case r.answered || c.late(r) || c.host.Now() >= r.due-lateBy:
	default:
		c.run(r)
		return
	}
	c.host.KeyStore.Released(k)
	back, _ := c.host.KeyStore.Unavailable()
	c.unbegun(r, a, c.shutBy(), back)
}

// shutBy is why the keeper takes no new keys.
func (c *Manager) shutBy() Cause {
	if s, ok := c.host.KeyStore.(ReplicatedKeyStore); ok && s.MissingReplicas() {
		return CauseReplicas
	}
	return CauseKeyStore
}

// hold has the end of a run kept, and then answers it and its repeats. The module hears at once
// that the run is over; the answer waits, but not for a disk that does not answer, and not beyond
// its due time.
func (c *Manager) hold(r *request, o Outcome, res *Result) {
	done, answer := verdict(o, res)
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: done})
	r.held = true
	if o != Succeeded {
		r.trail.because(causeOf(o), 0, 0)
	}
	k := c.kept(r)
	k.Ended, k.Result, k.ServerTime, k.HasWaiter = true, res, r.trail.work(), !r.answered
	if o != Succeeded || res == nil {
		k.Result, k.Status = nil, howOf(o)
	}
	var stop func()
	over, asked := false, c.host.Now()
	finish := func(err error) {
		if over {
			return
		}
		over = true
		r.trail.kept(c.host.Now() - asked)
		stop()
		if err != nil {
			c.host.Log(evResultUnkept, k.Class, r.ID, err)
		}
		c.settleKey(r, o, res)
		c.answer(r, answer)
		c.settle()
		c.drop(r)
	}
	if _, shared := c.host.KeyStore.(ReplicatedKeyStore); shared && o == Succeeded {
		// no repeat can come any more
		stop = c.host.After(max(k.ExpiresAt.Sub(c.host.Unix()), 0), func() { finish(errSlow) })
		c.host.KeyStore.Ended(k, finish)
		c.boundReplication(r)
		c.settle()
		return
	}
	wait := min(c.host.KeyStore.Timeout(), r.due-lateBy-c.host.Now())
	if r.answered { // only repeats wait
		wait = c.host.KeyStore.Timeout()
	}
	stop = c.host.After(max(wait, 0), func() { finish(errSlow) })
	c.host.KeyStore.Ended(k, finish)
	if wait <= 0 && !r.answered { // it is late already, which is no fault of the disk
		finish(nil)
	}
	c.settle()
}

// boundReplication answers a request whose result other runners have not confirmed while there was
// time for it. It must not be given out without their word: should this process be taken for lost,
// they tell repeats that the run is in doubt. The key stays open until they confirm.
func (c *Manager) boundReplication(r *request) {
	wait := r.due - lateBy - c.host.Now()
	if c.drainAt != 0 {
		wait = min(wait, c.stopAt-replicationSpare-c.host.Now())
	}
	c.host.After(max(wait, 0), func() {
		if r.answered {
			return
		}
		r.trail.because(CauseReplicas, 0, 0)
		c.answer(r, Answer{Status: Expired})
		c.drop(r)
	})
}

// replicationSpare is how long before the process is stopped a result that is not confirmed is
// given up.
const replicationSpare = 300 * time.Millisecond
