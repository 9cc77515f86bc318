package admission

// queueMemoryLimitKB is the memory use up to which arrivals are queued. The rest is for requests
// that have to be read before they can be rejected.
func (c *Controller) queueMemoryLimitKB() float64 {
	return c.parameters.QueueMemoryShare * c.settings.MemoryKB
}

// runMemoryLimitKB is the memory use up to which runs start and keys are remembered. It is lower than
// queueMemoryLimitKB, so that runs leave memory for the queue.
func (c *Controller) runMemoryLimitKB() float64 {
	return c.parameters.RunMemoryShare * c.settings.MemoryKB
}

// runGrowthKB is the memory that r uses in addition to its memory in the queue once it runs.
func (c *Controller) runGrowthKB(r *request) float64 {
	return r.sizeKB * (c.settings.RunningMemoryFactor - 1)
}

// lacksMemoryToRun reports whether there is no memory to start r now.
func (c *Controller) lacksMemoryToRun(r *request) bool {
	return c.memoryKB+c.runGrowthKB(r) > c.runMemoryLimitKB()
}

// crowdsOutRuns reports whether queued requests and remembered keys, which may hold their memory for long, would leave
// too little memory for runs, for that of r or others, if they used moreKB in addition.
func (c *Controller) crowdsOutRuns(r *request, moreKB float64) bool {
	waitingKB := c.memoryKB - c.runsKB + moreKB
	return waitingKB > c.parameters.WaitingMemoryShare*c.settings.MemoryKB ||
		waitingKB+c.runGrowthKB(r) > c.runMemoryLimitKB()
}

// lacksMemoryForKey reports whether there is no memory to remember the key of r. Keys leave memory for queued requests
// and for runs: if they could take all of it, nothing could be started until one of them expires.
func (c *Controller) lacksMemoryForKey(r *request) bool {
	keyKB := c.settings.KeyMemoryKB
	return c.memoryKB+keyKB > c.runMemoryLimitKB() ||
		c.keysKB+keyKB > c.parameters.KeyMemoryShare*c.settings.MemoryKB ||
		c.crowdsOutRuns(r, keyKB)
}

// MemoryUse is the memory that the controller accounts for, in KB, from the sizes that requests state.
type MemoryUse struct {
	RequestsKB float64 // queued and running requests
	KeysKB     float64 // remembered keys
	LimitKB    float64 // up to which runs start
	Queued     int     // requests that wait to be started
	Executing  int     // requests that are running or at a call
}

// MemoryUse returns the memory in use.
func (c *Controller) MemoryUse() MemoryUse {
	use := MemoryUse{
		RequestsKB: c.memoryKB - c.keysKB,
		KeysKB:     c.keysKB,
		LimitKB:    c.runMemoryLimitKB(),
		Executing:  len(c.executing),
	}
	for i := range c.queues {
		use.Queued += len(c.queues[i].requests)
	}
	return use
}
