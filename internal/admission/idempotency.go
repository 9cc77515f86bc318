package admission

import "time"

// rememberKey remembers the idempotency key of a queued request for its whole window, or rejects
// the request if there is no memory for the key. The subject key of a shareable read is remembered too
// if there is memory for it; the read runs in any case.
func (c *Controller) rememberKey(r *request) {
	keyed := c.settings.Classes[r.class].Idempotency == IdempotentWithKey
	scarce := c.lacksMemoryForKey(r)
	if keyed && scarce {
		c.reject(r, retryHint{}, reason{CauseKeyMemory, c.memoryKB, c.runMemoryLimitKB()})
		return
	}
	if !keyed && (!r.shareable || scarce) {
		return
	}
	r.keyRemembered = true
	c.memoryKB += c.settings.KeyMemoryKB
	c.keysKB += c.settings.KeyMemoryKB
	lifetime := r.deadline - c.now + c.settings.ResultMaxAge
	if keyed {
		lifetime = c.settings.Classes[r.class].IdempotencyWindow
		c.scheduleKeyExpiry(r, c.now+lifetime)
	}
	c.emit(Action{Kind: ActionRememberKey, Request: r.id, Duration: lifetime})
}

// scheduleKeyExpiry sets the time at which r's key expires. It must not be earlier than the expiry of
// the class's keys that were scheduled before.
func (c *Controller) scheduleKeyExpiry(r *request, at time.Duration) {
	r.keyExpiresAt = at
	queue := &c.queues[r.class]
	queue.keyExpiry = append(queue.keyExpiry, r)
}

// expireKeys frees the memory of keys whose window is over. The window of a request that is still
// queued starts again.
func (c *Controller) expireKeys() {
	for i := range c.queues {
		queue := &c.queues[i]
		window := c.settings.Classes[i].IdempotencyWindow
		for len(queue.keyExpiry) > 0 && queue.keyExpiry[0].keyExpiresAt < c.now-tickInterval {
			r := queue.keyExpiry[0]
			queue.keyExpiry = queue.keyExpiry[1:]
			if !r.keyRemembered || r.state != queued {
				c.forgetKey(r)
				continue
			}
			c.scheduleKeyExpiry(r, c.now+window)
			c.emit(Action{Kind: ActionRememberKey, Request: r.id, Duration: window})
		}
	}
}

// forgetKey drops r's key and frees its memory. The host is told only if it may still remember the
// key: for a shareable read, and for a request that did not start.
func (c *Controller) forgetKey(r *request) {
	if !r.keyRemembered {
		return
	}
	r.keyRemembered = false
	c.memoryKB -= c.settings.KeyMemoryKB
	c.keysKB -= c.settings.KeyMemoryKB
	delete(c.reusable, r.id)
	if r.shareable || r.state == queued {
		c.emit(Action{Kind: ActionForgetKey, Request: r.id})
	}
	c.requeueWaiters(r)
}
