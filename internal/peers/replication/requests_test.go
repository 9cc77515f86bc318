package replication

import (
	"fmt"
	"strings"
	"time"

	"ryepaddle/internal/idempotency/store"
)

// Ends of attempts that have no result of a run.
const (
	endRefused = "refused"
	endFailed  = "failed"
)

// keyState is the state of a key in a runner's lifecycle.
type keyState struct {
	owner   uint64
	running bool
	result  string // the committed result; "": none yet
	waiters []func(end string, committed bool)
}

// keyHistory is the checker's record of a key.
type keyHistory struct {
	runs        int
	result      string
	committedAt time.Duration // when the committed result was first served; 0: not yet
}

func (c *cluster) history(key string) *keyHistory {
	if c.keys[key] == nil {
		c.keys[key] = &keyHistory{}
	}
	return c.keys[key]
}

// attempt makes one attempt of a client with a key and reports its end to the checker. An attempt
// is not reported if its process ends first.
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

// finishAttempts ends the attempts of a key at this runner. A key that did not run may run again.
func (r *runner) finishAttempts(key string, k *keyState, end string, committed bool) {
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

// handleReservation handles the result of the Put of a run's beginning.
func (r *runner) handleReservation(
	key string,
	k *keyState,
	record *store.Record,
	requestedAt, expiresAt time.Duration,
	result Result,
) {
	c := r.cluster
	switch {
	case result.Err != nil:
		r.finishAttempts(key, k, endRefused, false)
	case result.Outcome == OutcomeGranted && c.now() > requestedAt+requestTimeout:
		c.violations = append(c.violations, key+" began to run after the request timeout")
	case result.Outcome == OutcomeGranted:
		r.beginRun(key, k, record, expiresAt)
	case result.Outcome == OutcomeOwnedByOther && result.Record.Kind == store.RunEnded:
		r.finishAttempts(key, k, string(result.Record.Result.Body), true)
	case result.Outcome == OutcomeOwnedByOther && result.InDoubt:
		r.finishAttempts(key, k, endFailed, true)
	case result.Outcome == OutcomeOwnedByOther && result.Record.Kind == store.KeyReleased:
		r.finishAttempts(key, k, endRefused, false)
	}
}

// beginRun runs a key and stores the end of the run, unless the process has ended by then.
func (r *runner) beginRun(key string, k *keyState, record *store.Record, expiresAt time.Duration) {
	c := r.cluster
	k.running = true
	history := c.history(key)
	history.runs++
	result := fmt.Sprintf("run %d of %s at %s", history.runs, key, r.name)
	process := r.process
	c.after(c.randomDuration(ms, 300*ms), func() {
		r.execute(func() {
			if r.process == process {
				r.endRun(key, k, record, expiresAt, result)
			}
		})
	})
}

// endRun stores the end of a run. It ends the attempts once the end is committed or the request timeout
// is over.
func (r *runner) endRun(key string, k *keyState, record *store.Record, expiresAt time.Duration, result string) {
	c := r.cluster
	ended := *record
	ended.Kind, ended.Result = store.RunEnded, &store.Result{Status: 200, Body: []byte(result)}
	timedOut := false
	c.after(requestTimeout, func() {
		r.execute(func() {
			timedOut = true
			r.finishAttempts(key, k, result, false)
		})
	})
	r.replica.Put(&ended, expiresAt-c.now(), requestTimeout, c.now(), func(stored Result) {
		if !timedOut {
			r.finishAttempts(key, k, result, stored.Err == nil)
		}
	})
}

// check compares the end of an attempt with earlier ends of the key. A failure is a violation only if
// the attempt began after the committed result was served: concurrent attempts have no order.
func (c *cluster) check(key, end string, committed bool, began time.Duration) {
	h := c.history(key)
	switch {
	case end == endRefused:
		c.refused++
	case end == endFailed:
		if c.failed++; h.committedAt > 0 && began > h.committedAt {
			c.violations = append(c.violations, fmt.Sprintf("%s failed after its committed result was served", key))
		}
	default:
		c.served++
		if h.result != "" && h.result != end {
			c.violations = append(c.violations, fmt.Sprintf("%s was served with results %q and %q", key, h.result, end))
		}
		if h.result = end; committed && h.committedAt == 0 {
			h.committedAt = c.now()
		}
	}
}

// verdict returns all violations, or "" if there are none.
func (c *cluster) verdict() string {
	for key, h := range c.keys {
		if h.runs > 1 {
			c.violations = append(c.violations, fmt.Sprintf("%s ran %d times", key, h.runs))
		}
	}
	return strings.Join(c.violations, "; ")
}
