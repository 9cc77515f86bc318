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
