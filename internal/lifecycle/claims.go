package lifecycle

import (
	"cmp"
	"time"

	"ryepaddle/internal/admission"
)

// Reservations settle between the processes of one runner which of them runs a key.
type Reservations interface {
	// Reserve has it written that a run begins, unless the key is another's: free is asked once all
	// that others have written was heard. Done is called once, now or later; an error: nothing may
	// run.
	Reserve(k KeyRecord, within time.Duration, free func() bool, done func(mine bool, err error))
	Ended(k KeyRecord)
	Released(k KeyRecord)
}

const (
	reservationTimeout    = 200 * time.Millisecond // a claim that takes longer is given up
	reservationRetryAfter = time.Second            // and its caller stays away for so long
)

// reserve has a run claimed, and then begins it.
func (c *Manager) reserve(r *request) {
	a, e := c.newAttempt(r, nil), r.keyEntry
	a.pending, r.running = true, a
	asked := c.env.Now()
	c.env.Reservations.Reserve(
		c.requestRecord(r),
		reservationTimeout,
		func() bool { return e.remoteOwner == 0 },
		func(mine bool, err error) {
			a.pending = false
			r.trace.addKeyWait(c.env.Now() - asked)
			switch {
			case e.remoteOwner != 0:
				a.over, r.running = true, nil
				c.yieldToRemote(r)
			case err != nil || !mine:
				c.env.Log(evStartNotDurable, a.Class, r.ID, err)
				cause, back := storeErrorCause(err)
				c.cancelStart(r, a, cause, cmp.Or(back, reservationRetryAfter))
			case r.answered || c.isTooLate(r) || c.env.Now() >= r.deadline-deadlineMargin:
				c.cancelStart(r, a, CauseNone, 0)
			case c.env.KeyStore != nil:
				c.storeStart(r)
			default:
				c.dispatch(r)
			}
			c.runActions()
		},
	)
}

// cancelStart ends an attempt that was to begin and did not.
func (c *Manager) cancelStart(r *request, a *Attempt, cause Cause, back time.Duration) {
	r.trace.setCause(cause, 0, 0)
	if c.env.Reservations != nil {
		c.env.Reservations.Released(c.requestRecord(r))
	}
	r.running, a.over = nil, true
	c.releaseEntry(r.keyEntry)
	c.answer(r, Answer{Status: Rejected, RetryAfter: back})
	c.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeNeverStarted})
	c.runActions()
	c.removeIfDone(r)
}

// yieldToRemote has a request that was to run here wait for the run of another process. To the module it is
// over.
func (c *Manager) yieldToRemote(r *request) {
	c.admission.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeNeverStarted})
	if !r.answered {
		c.awaitRemote(r)
	}
	c.runActions()
	c.removeIfDone(r)
}

// awaitRemote answers a request once the run of another process is known to have ended, or in time.
func (c *Manager) awaitRemote(r *request) {
	e := r.keyEntry
	if e.ended {
		c.answerFromEntry(r, e)
		return
	}
	r.awaitsOriginal = true
	e.waiters = append(e.waiters, r)
	c.env.After(max(r.deadline-deadlineMargin-c.env.Now(), 0), func() {
		if !r.answered {
			r.trace.setCause(Cause(admission.CauseDeadlinePassed), 0, 0)
			c.answer(r, Answer{Status: Expired})
			c.removeIfDone(r)
		}
	})
}

// ApplyRemote takes what another process has written of a key. Forgotten: its run never began.
func (c *Manager) ApplyRemote(k KeyRecord, forgotten bool) {
	class, ok := c.Class(k.Class)
	tenant := NoTenant
	if k.Tenant != "" && ok {
		tenant, ok = c.Tenant(k.Tenant)
	}
	if !ok { // the other may have read settings that this one is about to read
		if len(c.unknownClassKeys) < c.keys.limits.Keys {
			c.unknownClassKeys = append(c.unknownClassKeys, unknownClassKey{k, forgotten})
		}
		return
	}
	name := keyName{class, tenant, k.Key}
	e := c.keys.entries[name]
	switch {
	case e != nil && e.remoteOwner == 0 && e.started && !c.isReserving(e) && !(e.ended && k.ExpiresAt > e.expiresAt):
		// it is ours, and by the lock not another's before its window is over; or it was kept in an
		// earlier life
		return
	case e != nil && e.remoteOwner != 0 && e.owner != k.Owner && k.ExpiresAt < e.expiresAt:
		return // it is older than what is known
	case forgotten && (e == nil || e.owner != k.Owner || e.remoteOwner == 0 || e.ended):
		return
	case forgotten:
		c.releaseEntry(e)
		c.runActions()
		return
	case e == nil:
		e = &keyEntry{name: name}
		c.keys.entries[name] = e
	case e.remoteOwner != 0 && e.owner == k.Owner && e.ended:
		return // it is told again
	}
	if e.owner != k.Owner && e.result != nil { // an older run, whose window is over
		c.keys.resultBytes -= e.result.size()
		e.result = nil
	}
	e.remoteOwner, e.owner, e.restored, e.started, e.ended = uint32(k.Owner>>32), k.Owner, true, true, false
	e.bodyHash, e.expiresAt = k.BodyHash, max(k.ExpiresAt, e.expiresAt)
	if k.Ended {
		c.endRemote(e, k.Status, k.Result, false)
	}
}

// unknownClassKey is what was heard of a key of a class that there was not.
type unknownClassKey struct {
	KeyRecord
	released bool
}

// applyUnknownClassKeys takes what was heard before the settings had its class.
func (c *Manager) applyUnknownClassKeys() {
	heard := c.unknownClassKeys
	c.unknownClassKeys = nil
	for _, k := range heard {
		if c.env.Unix() <= k.ExpiresAt.Add(maxReadDelay) {
			c.ApplyRemote(k.KeyRecord, k.released)
		}
	}
}

// isReserving tells whether the run of a key waits for its claim.
func (c *Manager) isReserving(e *keyEntry) bool {
	r := c.requests[e.owner]
	return r != nil && r.keyEntry == e && r.running != nil && r.running.pending
}

// endRemote notes how a run in another process ended, and answers those who wait for it.
func (c *Manager) endRemote(e *keyEntry, how Status, res *Result, doubt bool) {
	e.ended, e.status, e.inDoubt = true, how, doubt
	if res != nil && c.keys.resultBytes+res.size() <= c.keys.limits.ResultBytes {
		e.result = res
		c.keys.resultBytes += res.size()
	} else if res != nil {
		e.status = ResultLost
	}
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		c.answerFromEntry(w, e)
	}
	c.runActions()
}

// OwnerDied tells that a process is dead. What it has not told the end of may have run.
func (c *Manager) OwnerDied(life uint32) {
	for _, e := range c.keys.entries {
		if e.remoteOwner == life && !e.ended {
			c.endRemote(e, Failed, nil, true)
		}
	}
}

// EachOwned gives what is known of keys whose runs were begun here, and whose window is not over.
func (c *Manager) EachOwned(fn func(KeyRecord)) {
	now := c.env.Unix()
	for _, e := range c.keys.entries {
		if e.remoteOwner == 0 && e.started && !c.isReserving(e) && now <= e.expiresAt.Add(maxReadDelay) {
			fn(c.entryRecord(e))
		}
	}
}
