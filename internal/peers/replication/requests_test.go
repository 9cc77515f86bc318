package replication

import (
	"fmt"
	"strings"
	"time"

	"ryepaddle/internal/idempotency/store"
)

// How an attempt ended, beside the result of its run.
const (
	endRefused = "refused"
	endFailed  = "failed"
)

// keyState is what a runner's lifecycle knows of a key.
type keyState struct {
	owner   uint64
	running bool
	result  string // that is committed; "": none yet
	waiters []func(end string, committed bool)
}

// keyHistory is what the checker knows of a key.
type keyHistory struct {
	runs        int
	result      string
	committedAt time.Duration // when its result was first served after it was committed; 0: not yet
}

func (c *cluster) history(key string) *keyHistory {
	if c.keys[key] == nil {
		c.keys[key] = &keyHistory{}
	}
	return c.keys[key]
}

// attempt is one attempt of a client with a key. The checker is told how it ends; of one at a
// process that is gone it is told nothing.
func (r *runner) attempt(key string, remaining time.Duration) {
	c := r.cluster
	began := c.now()
	done := func(end string, committed bool) { c.check(key, end, committed, began) }
	switch k := r.keys[key]; {
	case k != nil && k.result != "":
		done(k.result, true)
		return
	case k != nil:
		k.waiters = append(k.waiters, done)
		return
	}
	if retryAfter, _ := r.replica.Unavailable(c.now()); retryAfter > 0 {
		done(endRefused, false)
		return
	}
	sequence := c.newIncarnation() & (1<<32 - 1)
	k := &keyState{owner: uint64(r.process)<<32 | sequence, waiters: []func(string, bool){done}}
	r.keys[key] = k
	record := store.Record{
		Kind:  store.RunStarted,
		Name:  store.KeyName{Class: "hand-in", Key: key},
		Owner: k.owner,
	}
	r.replica.Put(&record, remaining, requestTimeout, c.now(), func(result Result) {
		r.handleReservation(key, k, &record, began, began+remaining, result)
	})
	r.flush()
}

// end ends the attempts of a key at this runner. One that did not run may run again.
func (r *runner) end(key string, k *keyState, end string, committed bool) {
	waiters := k.waiters
	k.waiters = nil
	if end == endRefused || end == endFailed {
		delete(r.keys, key)
	} else if committed {
		k.result = end
	}
	for _, fn := range waiters {
		fn(end, committed)
	}
}

// handleReservation handles the result of the request that a run begins.
func (r *runner) handleReservation(
	key string,
	k *keyState,
	record *store.Record,
	asked, expiresAt time.Duration,
	result Result,
) {
	c := r.cluster
	switch {
	case result.Err != nil:
		r.end(key, k, endRefused, false)
	case result.Outcome == OutcomeGranted && c.now() > asked+requestTimeout:
		c.violations = append(c.violations, key+" was begun after its time")
	case result.Outcome == OutcomeGranted:
		r.beginRun(key, k, record, expiresAt)
	case result.Outcome == OutcomeOwnedByOther && result.Record.Kind == store.RunEnded:
		r.end(key, k, string(result.Record.Result.Body), true)
	case result.Outcome == OutcomeOwnedByOther && result.InDoubt:
		r.end(key, k, endFailed, true)
	case result.Outcome == OutcomeOwnedByOther && result.Record.Kind == store.KeyReleased:
		r.end(key, k, endRefused, false)
	}
}

// beginRun runs a key, and stores the end of the run unless the process is gone by then.
func (r *runner) beginRun(key string, k *keyState, record *store.Record, expiresAt time.Duration) {
	c := r.cluster
	k.running = true
	history := c.history(key)
	history.runs++
	result := fmt.Sprintf("run %d of %s at %s", history.runs, key, r.name)
	process := r.process
	c.after(c.between(ms, 300*ms), func() {
		r.do(func() {
			if r.process == process {
				r.endRun(key, k, record, expiresAt, result)
			}
		})
	})
}

// endRun stores the end of a run, and answers once that is committed or took too long.
func (r *runner) endRun(key string, k *keyState, record *store.Record, expiresAt time.Duration, result string) {
	c := r.cluster
	ended := *record
	ended.Kind, ended.Result = store.RunEnded, &store.Result{Status: 200, Body: []byte(result)}
	timedOut := false
	c.after(requestTimeout, func() {
		r.do(func() {
			timedOut = true
			r.end(key, k, result, false)
		})
	})
	r.replica.Put(&ended, expiresAt-c.now(), requestTimeout, c.now(), func(stored Result) {
		if !timedOut {
			r.end(key, k, result, stored.Err == nil)
		}
	})
}

// check holds how an attempt ended against those that ended before it began: of two attempts at the
// same time, either may have been first.
func (c *cluster) check(key, end string, committed bool, began time.Duration) {
	h := c.history(key)
	switch {
	case end == endRefused:
		c.refused++
	case end == endFailed:
		if c.failed++; h.committedAt > 0 && began > h.committedAt {
			c.violations = append(c.violations, fmt.Sprintf("%s was served and then failed", key))
		}
	default:
		c.served++
		if h.result != "" && h.result != end {
			c.violations = append(c.violations, fmt.Sprintf("%s is served with %q and %q", key, h.result, end))
		}
		if h.result = end; committed && h.committedAt == 0 {
			h.committedAt = c.now()
		}
	}
}

// verdict returns all violations.
func (c *cluster) verdict() string {
	for key, h := range c.keys {
		if h.runs > 1 {
			c.violations = append(c.violations, fmt.Sprintf("%s ran %d times", key, h.runs))
		}
	}
	return strings.Join(c.violations, "; ")
}
