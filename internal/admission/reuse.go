package admission

import (
	"cmp"
	"slices"
)

// reuseResult answers r, which repeats a request with the same idempotency key, from the result of
// that request.
func (c *Controller) reuseResult(r *request) {
	c.dequeue(r)
	r.state = reusingResult
	c.executing = append(c.executing, r)
	c.emit(Action{Kind: ActionReuseResult, Request: r.id})
}

// joinRun makes a read wait for the result of the prior read of the same subject, and reports whether
// there is such a read. The waiting read needs no run of its own, so it is not rejected for queueing
// delay.
func (c *Controller) joinRun(r *request, prior uint64) bool {
	source := cmp.Or(c.requests[prior], c.reusable[prior])
	if source == nil || !source.keyRemembered || source.class != r.class {
		return false
	}
	c.dequeue(r)
	r.state = awaitingResult
	r.resultSource = source
	source.waiters++
	c.executing = append(c.executing, r)
	return true
}

// requeueWaiters puts the reads that wait for the result of source, which failed or was dropped, back
// into their queue, to run themselves.
func (c *Controller) requeueWaiters(source *request) {
	for i := len(c.executing) - 1; source.waiters > 0 && i >= 0; i-- {
		r := c.executing[i]
		if r.resultSource != source || r.state != awaitingResult {
			continue
		}
		removeFrom(&c.executing, r)
		r.state = queued
		r.resultSource = nil
		queue := &c.queues[r.class]
		queue.requests = slices.Insert(queue.requests, 0, r)
		c.rememberKey(r)
	}
}

// keepResult keeps the result of a shareable read for reuse if its run succeeded, and drops its key
// otherwise.
func (c *Controller) keepResult(r *request, succeeded bool) {
	if !succeeded || !r.keyRemembered {
		c.forgetKey(r)
		return
	}
	c.reusable[r.id] = r
	c.scheduleKeyExpiry(r, c.now+c.settings.ResultMaxAge)
}

// reuseResults answers waiting reads whose result is available, as far as the running limit allows:
// each answer uses a core for a moment.
func (c *Controller) reuseResults() {
	if len(c.reusable) == 0 {
		return
	}
	for _, r := range c.executing {
		if c.occupancy.onCoresWithOneMore() > c.runningLimit() {
			return
		}
		if r.state != awaitingResult || c.reusable[r.resultSource.id] == nil ||
			c.now > r.resultSource.keyExpiresAt {
			continue
		}
		r.state = reusingResult
		c.occupancy.reusing++
		c.emit(Action{Kind: ActionReuseResult, Request: r.id})
	}
}
