package admission

// readDelayDecay is the factor of the mean delay before reading in each control period. A server that
// was dropped from the endpoint list reads no requests and recovers by this decay alone.
const readDelayDecay = 0.98

// recoveryDivisor divides the longest delay target to give the mean delay before reading at which an
// unhealthy server is healthy again.
const recoveryDivisor = 2

// updateHealth makes health checks fail while this server, unlike the others, reads requests too late
// to answer them; a low share of retries shows that the others do not. Callers then drop the
// server by the endpoint list, even if they no longer know its credit. A server that reads more
// requests than usual stays healthy, since all servers may be overloaded. The target is the longest
// delay target, in nanoseconds.
func (c *Controller) updateHealth(target float64) {
	arrivals := &c.arrivals
	arrivals.readDelay *= readDelayDecay
	arrivals.recent *= 1 - runTimeWeight
	if !c.settings.EndpointListFollowsHealth || c.drain.active {
		return
	}
	if c.unhealthy {
		if arrivals.readDelay > target/recoveryDivisor {
			return
		}
	} else if !c.readsTooLate(target) {
		return
	}
	c.setLogged(&c.unhealthy, !c.unhealthy,
		"health checks fail: requests are read too late to be answered, and other servers have capacity",
		"health checks pass again: requests are read in time")
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: !c.unhealthy})
}

// readsTooLate reports whether this server, unlike others, reads requests past the delay at which
// they are rejected, although it reads no more of them than usual.
func (c *Controller) readsTooLate(target float64) bool {
	arrivals := &c.arrivals
	usualPerPeriod := arrivals.total * float64(controlPeriod) / float64(c.now-c.startedAt)
	return arrivals.readDelay > c.parameters.RejectDelayFactor*target &&
		arrivals.retryShare < c.parameters.FewRetriesShare &&
		runTimeWeight*arrivals.recent <= usualPerPeriod
}
