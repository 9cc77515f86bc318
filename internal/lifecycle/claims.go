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
	claimWithin = 200 * time.Millisecond // a claim that takes longer is given up
	claimBack   = time.Second            // and its caller stays away for so long
)

// claim has a run claimed, and then begins it.
func (c *Manager) claim(r *request) {
	a, e := c.newAttempt(r, nil), r.entry
	a.pending, r.running = true, a
	asked := c.host.Now()
	c.host.Reservations.Reserve(
		c.kept(r),
		claimWithin,
		func() bool { return e.elsewhere == 0 },
		func(mine bool, err error) {
			a.pending = false
			r.trail.kept(c.host.Now() - asked)
			switch {
			case e.elsewhere != 0:
				a.over, r.running = true, nil
				c.yield(r)
			case err != nil || !mine:
				c.host.Log(evRunUnkept, a.Class, r.ID, err)
				cause, back := unkeptBy(err)
				c.unbegun(r, a, cause, cmp.Or(back, claimBack))
			case r.answered || c.late(r) || c.host.Now() >= r.due-lateBy:
				c.unbegun(r, a, CauseNone, 0)
			case c.host.KeyStore != nil:
				c.begin(r)
			default:
				c.run(r)
			}
			c.settle()
		},
	)
}

// unbegun ends an attempt that was to begin and did not.
func (c *Manager) unbegun(r *request, a *Attempt, cause Cause, back time.Duration) {
	r.trail.because(cause, 0, 0)
	if c.host.Reservations != nil {
		c.host.Reservations.Released(c.kept(r))
	}
	r.running, a.over = nil, true
	c.forgetEntry(r.entry)
	c.answer(r, Answer{Status: Rejected, RetryAfter: back})
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeNeverStarted})
	c.settle()
	c.drop(r)
}

// yield has a request that was to run here wait for the run of another process. To the module it is
// over.
func (c *Manager) yield(r *request) {
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: admission.OutcomeNeverStarted})
	if !r.answered {
		c.await(r)
	}
	c.settle()
	c.drop(r)
}

// await answers a request once the run of another process is known to have ended, or in time.
func (c *Manager) await(r *request) {
	e := r.entry
	if e.ended {
		c.finishReuse(r, e)
		return
	}
	r.waits = true
	e.waiters = append(e.waiters, r)
	c.host.After(max(r.due-lateBy-c.host.Now(), 0), func() {
		if !r.answered {
			r.trail.because(Cause(admission.CauseDeadlinePassed), 0, 0)
			c.answer(r, Answer{Status: Expired})
			c.drop(r)
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
		if len(c.strange) < c.keys.most.Keys {
			c.strange = append(c.strange, strangeKey{k, forgotten})
		}
		return
	}
	name := keyName{class, tenant, k.Key}
	e := c.keys.byName[name]
	switch {
	case e != nil && e.elsewhere == 0 && e.ran && !c.toBegin(e) && !(e.ended && k.ExpiresAt > e.until):
		// it is ours, and by the lock not another's before its window is over; or it was kept in an
		// earlier life
		return
	case e != nil && e.elsewhere != 0 && e.owner != k.Owner && k.ExpiresAt < e.until:
		return // it is older than what is known
	case forgotten && (e == nil || e.owner != k.Owner || e.elsewhere == 0 || e.ended):
		return
	case forgotten:
		c.forgetEntry(e)
		c.settle()
		return
	case e == nil:
		e = &entry{name: name}
		c.keys.byName[name] = e
	case e.elsewhere != 0 && e.owner == k.Owner && e.ended:
		return // it is told again
	}
	if e.owner != k.Owner && e.result != nil { // an older run, whose window is over
		c.keys.bytes -= e.result.size()
		e.result = nil
	}
	e.elsewhere, e.owner, e.restored, e.ran, e.ended = uint32(k.Owner>>32), k.Owner, true, true, false
	e.body, e.until = k.BodyHash, max(k.ExpiresAt, e.until)
	if k.Ended {
		c.endElsewhere(e, k.Status, k.Result, false)
	}
}

// strangeKey is what was heard of a key of a class that there was not.
type strangeKey struct {
	KeyRecord
	forgotten bool
}

// hearAgain takes what was heard before the settings had its class.
func (c *Manager) hearAgain() {
	heard := c.strange
	c.strange = nil
	for _, k := range heard {
		if c.host.Unix() <= k.ExpiresAt.Add(lateRead) {
			c.ApplyRemote(k.KeyRecord, k.forgotten)
		}
	}
}

// toBegin tells whether the run of a key waits for its claim.
func (c *Manager) toBegin(e *entry) bool {
	r := c.requests[e.owner]
	return r != nil && r.entry == e && r.running != nil && r.running.pending
}

// endElsewhere notes how a run in another process ended, and answers those who wait for it.
func (c *Manager) endElsewhere(e *entry, how Status, res *Result, doubt bool) {
	e.ended, e.failed, e.doubt = true, how, doubt
	if res != nil && c.keys.bytes+res.size() <= c.keys.most.ResultBytes {
		e.result = res
		c.keys.bytes += res.size()
	} else if res != nil {
		e.failed = ResultLost
	}
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		c.finishReuse(w, e)
	}
	c.settle()
}

// OwnerDied tells that a process is dead. What it has not told the end of may have run.
func (c *Manager) OwnerDied(life uint32) {
	for _, e := range c.keys.byName {
		if e.elsewhere == life && !e.ended {
			c.endElsewhere(e, Failed, nil, true)
		}
	}
}

// EachOwned gives what is known of keys whose runs were begun here, and whose window is not over.
func (c *Manager) EachOwned(fn func(KeyRecord)) {
	now := c.host.Unix()
	for _, e := range c.keys.byName {
		if e.elsewhere == 0 && e.ran && !c.toBegin(e) && now <= e.until.Add(lateRead) {
			fn(c.keptOf(e))
		}
	}
}
