package lifecycle

import (
	"errors"

	"ryepaddle/internal/admission"
)

// Kept is what is remembered of a key where a crash does not reach it. Classes and tenants go by
// their names.
type Kept struct {
	Class, Tenant, Key string
	// the try that it is about, told from all others, also of other lives of the program
	Owner  uint64
	Until  int64 // Unix time up to which a repeat may arrive
	Body   [32]byte
	Ended  bool // else its run had begun
	How    Kind // of an end without a result: how repeats are answered
	Result *Result
	Work   int64 // of an end: microseconds that servers spent on it
	Waits  bool  // of an end: somebody waits for the answer
}

// Keeper keeps keys where a crash does not reach them. A run begins once it is kept that it does,
// and the answer to it goes out once its result is kept. What is kept of a key is kept in the order
// in which it was handed over.
type Keeper interface {
	// Closed tells for how long no new key can be taken, in microseconds, and why; 0: they can.
	Closed() (back int64, why string)
	// Begun and Ended call done on the loop, later.
	Begun(k Kept, done func(error))
	Ended(k Kept, done func(error))
	Forgot(k Kept)
	// Patience is how long a run or an answer waits for that, in microseconds; a result waits for
	// other runners while there is time.
	Patience() int64
}

// Sharer is a Keeper that keeps keys on other runners too. The result of a run is given out only
// once it is kept there.
type Sharer interface {
	Keeper
	// Apart tells whether it is for want of them that no new key can be taken.
	Apart() bool
}

// CopiesError is that of a key that could not be kept on other runners.
type CopiesError struct {
	Back int64 // microseconds after which it may be; 0: not known
	Err  error
}

func (e *CopiesError) Error() string { return e.Err.Error() }

// Unwrap gives what went wrong.
func (e *CopiesError) Unwrap() error { return e.Err }

// unkeptBy is why a key is not kept, and when to come back; nought: not known.
func unkeptBy(err error) (Cause, int64) {
	if copies := (*CopiesError)(nil); errors.As(err, &copies) {
		return CauseCopies, copies.Back
	}
	return CauseDisk, 0
}

// Restore takes what was kept in earlier lives of the program. A run that had begun and did not end
// is in doubt: it may have run, and is never run again. It reports how many keys are of classes or
// tenants that there are not any more.
func (c *Core) Restore(keys []Kept) (strange int) {
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
			body:     k.Body,
			until:    k.Until,
			ran:      true,
			ended:    true,
			restored: true,
			failed:   k.How,
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
func (c *Core) recall(q *Request, e *entry) {
	a := Answer{Kind: e.failed}
	switch {
	case e.result != nil:
		a = Answer{Kind: Served, Result: e.result}
	case e.doubt:
		a.Reason = InDoubt
	}
	n := &c.counts[q.Class]
	n.Read++
	n.Repeats++
	n.ended(a.Kind)
	if t := c.trail(q); t != nil {
		if t.First = e.first; e.doubt {
			t.because(CauseInDoubt, 0, 0)
		}
		t.because(CauseRepeat, 0, 0)
		c.tell(t, a.Kind, 0)
	}
	q.Asker.Answer(a)
}

// kept is what is to be kept of a request's key.
func (c *Core) kept(r *request) Kept {
	k := c.keptOf(r.entry)
	k.Owner = c.host.Life<<32 | r.id&(1<<32-1)
	return k
}

// keptOf is what there is to be kept of a key.
func (c *Core) keptOf(e *entry) Kept {
	k := Kept{
		Class:  c.set.Classes[e.name.class].Name,
		Key:    e.name.key,
		Owner:  c.host.Life<<32 | e.owner&(1<<32-1),
		Until:  e.until,
		Body:   e.body,
		Ended:  e.ended,
		How:    e.failed,
		Result: e.result,
	}
	if e.name.tenant >= 0 {
		k.Tenant = c.set.Tenants[e.name.tenant].Name
	}
	return k
}

// begin has it kept that a run begins, and then begins it. A disk that does not answer in time is
// not waited for: the request is refused, and that it never ran is kept behind its beginning.
func (c *Core) begin(r *request) {
	a := c.newAttempt(r, nil)
	r.running = a
	k := c.kept(r)
	// it has waited in the hold since that was not so
	if back, why := c.host.Keeper.Closed(); back > 0 {
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
		min(c.host.Keeper.Patience(), max(r.due-lateBy-c.host.Now(), 0)),
		func() { settle(errSlow) },
	)
	c.host.Keeper.Begun(k, settle)
}

// begun goes on with a run of which it is kept that it begins, unless that failed or the run has
// become needless.
func (c *Core) begun(r *request, a *Attempt, k Kept, err error) {
	switch {
	case err != nil:
		c.host.Log(evRunUnkept, a.Class, r.Name, err)
	case r.answered || c.late(r) || c.host.Now() >= r.due-lateBy:
	default:
		c.run(r)
		return
	}
	c.host.Keeper.Forgot(k)
	back, _ := c.host.Keeper.Closed()
	c.unbegun(r, a, c.shutBy(), back)
}

// shutBy is why the keeper takes no new keys.
func (c *Core) shutBy() Cause {
	if s, ok := c.host.Keeper.(Sharer); ok && s.Apart() {
		return CauseCopies
	}
	return CauseDisk
}

// hold has the end of a run kept, and then answers it and its repeats. The module hears at once
// that the run is over; the answer waits, but not for a disk that does not answer, and not beyond
// its due time.
func (c *Core) hold(r *request, o Outcome, res *Result) {
	done, answer := verdict(o, res)
	c.gate.report(admission.Event{Kind: admission.EventCompleted, Request: r.id, Outcome: done})
	r.held = true
	if o != Fine {
		r.trail.because(causeOf(o), 0, 0)
	}
	k := c.kept(r)
	k.Ended, k.Result, k.Work, k.Waits = true, res, r.trail.work(), !r.answered
	if o != Fine || res == nil {
		k.Result, k.How = nil, howOf(o)
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
			c.host.Log(evResultUnkept, k.Class, r.Name, err)
		}
		c.settleKey(r, o, res)
		c.answer(r, answer)
		c.settle()
		c.drop(r)
	}
	if _, shared := c.host.Keeper.(Sharer); shared && o == Fine {
		// no repeat can come any more
		stop = c.host.After(max(k.Until-c.host.Unix(), 0), func() { finish(errSlow) })
		c.host.Keeper.Ended(k, finish)
		c.boundReplication(r)
		c.settle()
		return
	}
	wait := min(c.host.Keeper.Patience(), r.due-lateBy-c.host.Now())
	if r.answered { // only repeats wait
		wait = c.host.Keeper.Patience()
	}
	stop = c.host.After(max(wait, 0), func() { finish(errSlow) })
	c.host.Keeper.Ended(k, finish)
	if wait <= 0 && !r.answered { // it is late already, which is no fault of the disk
		finish(nil)
	}
	c.settle()
}

// boundReplication answers a request whose result other runners have not confirmed while there was
// time for it. It must not be given out without their word: should this process be taken for lost,
// they tell repeats that the run is in doubt. The key stays open until they confirm.
func (c *Core) boundReplication(r *request) {
	wait := r.due - lateBy - c.host.Now()
	if c.drainAt != 0 {
		wait = min(wait, c.stopAt-replicationSpare-c.host.Now())
	}
	c.host.After(max(wait, 0), func() {
		if r.answered {
			return
		}
		r.trail.because(CauseCopies, 0, 0)
		c.answer(r, Answer{Kind: Late})
		c.drop(r)
	})
}

// replicationSpare is how long before the process is stopped a result that is not confirmed is
// given up.
const replicationSpare = 300_000
