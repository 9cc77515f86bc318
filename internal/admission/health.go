package admission

// readDelayDecay is the part of the mean delay before reading that a control period leaves. A
// server that the endpoint list no longer names reads nothing, and returns as the delay fades.
const readDelayDecay = 0.98

// recoveryDivisor: an unhealthy server is healthy again once the mean delay before reading is down
// to this part of the longest delay target.
const recoveryDivisor = 2

// updateHealth makes health checks fail while this server alone reads requests too late to answer
// them; a low share of retries shows that it is alone. Callers that no longer know its credit then
// drop it with the endpoint list. While it reads more than usual all servers may be overloaded, and
// it stays healthy. The target is the longest delay target, in nanoseconds.
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
		"health bad: reads too late to serve, others serve", "health good again")
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: !c.unhealthy})
}

// readsTooLate reports whether this server, unlike others, reads requests past the delay at which
// they are rejected.
func (c *Controller) readsTooLate(target float64) bool {
	arrivals := &c.arrivals
	usualPerPeriod := arrivals.total * float64(controlPeriod) / float64(c.now-c.startedAt)
	return arrivals.readDelay > c.parameters.RejectDelayFactor*target &&
		arrivals.retryShare < c.parameters.FewRetriesShare &&
		runTimeWeight*arrivals.recent <= usualPerPeriod
}
