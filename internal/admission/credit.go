package admission

import "math"

// notAdvertised is the value of creditPool.advertised before the first advertisement.
const notAdvertised = -1

// maxCreditPerUse is the ratio of the credit pool to the capacity in use above which the pool does
// not grow.
const maxCreditPerUse = 2

// creditPool is Breakwater's pool of credits, C_total: the number of requests that may run. Each
// caller is advertised its share.
type creditPool struct {
	size       float64 // credits
	advertised float64 // the last value of ActionAdvertise
	overloaded bool    // queueing delay passed its target and capacity is still short
}

// delayReading compares the classes' queueing delays with their targets at the end of a control
// period.
type delayReading struct {
	// excess is the largest relative excess of a saturated class over its target, (d_m - d_t) /
	// d_t; negative: no saturated class is over its target.
	excess        float64
	saturated     bool    // capacity is short for some class
	longestTarget float64 // nanoseconds
}

// readDelays compares the queueing delay of each class with its target.
func (c *Controller) readDelays() delayReading {
	reading := delayReading{excess: -1}
	for i := range c.queues {
		target := float64(c.delayTarget(i))
		reading.longestTarget = max(reading.longestTarget, target)
		if c.saturated(i) {
			reading.saturated = true
			reading.excess = max(reading.excess, (float64(c.queueingDelay(i))-target)/target)
		}
	}
	return reading
}

// updateCredit adjusts the pool at the end of a control period: it grows while queueing delay is
// under its target and is cut in proportion to the excess otherwise (Breakwater, section 3.2.1).
func (c *Controller) updateCredit(delay delayReading) {
	if delay.excess >= 0 {
		c.credit.size = c.decreasedCredit(delay.excess)
	} else {
		c.credit.size = c.increasedCredit()
	}
	c.setLogged(&c.credit.overloaded, delay.saturated && (delay.excess >= 0 || c.credit.overloaded),
		"overload entered: queueing delay over target, credit cut",
		"overload left: the server is no longer saturated")
}

// increasedCredit is the pool after an increase by equation (1) of Breakwater, with A = max(alpha n_c,
// 1) by equation (3), section 3.2.2. The pool stays within the number of requests that the server can
// run and does not grow beyond maxCreditPerUse times the capacity in use, since accumulated unused
// credit would be spent all at once when load rises.
func (c *Controller) increasedCredit() float64 {
	increase := max(c.parameters.AdditiveIncrease*float64(max(c.callers.active, 1)), 1)
	use := float64(c.occupancy.onCores + c.occupancy.atCalls + c.settings.Cores)
	return min(c.credit.size+increase, c.runningLimit(), max(c.credit.size, maxCreditPerUse*use))
}

// decreasedCredit is the pool after a decrease by equation (2) of Breakwater, section 3.2.1. A minimum
// of credit remains, so that requests still arrive and show when the server has recovered. While the
// cores are not busy the minimum is higher, for requests that do not call the congested dependency.
func (c *Controller) decreasedCredit(excess float64) float64 {
	least := c.parameters.MinCredit
	if !c.coresBusy() {
		least = c.parameters.IdleCreditPerCore * float64(c.settings.Cores)
	}
	factor := max(1-c.parameters.MultiplicativeDecrease*excess, c.parameters.MinCutFactor)
	return max(c.credit.size*factor, least)
}

// advertise tells callers their share of the pool, in the form of Settings.CreditMode, if it has
// changed by a larger fraction than AdvertiseStep.
func (c *Controller) advertise() {
	if c.settings.CreditMode == CreditNone {
		return
	}
	value := c.advertisedCredit()
	change := math.Abs(value - c.credit.advertised)
	if change > c.parameters.AdvertiseStep*c.credit.advertised || c.credit.advertised == notAdvertised {
		c.credit.advertised = value
		c.emit(Action{Kind: ActionAdvertise, Value: value})
	}
}

// advertisedCredit is the pool in the form of Settings.CreditMode. A draining server offers none.
func (c *Controller) advertisedCredit() float64 {
	pool := c.credit.size
	if c.drain.active {
		pool = 0
	}
	share := min(pool/c.runningLimit(), 1)
	switch c.settings.CreditMode {
	case CreditPerCaller:
		return pool / float64(c.creditedCallers())
	case CreditWeight:
		return share
	case CreditRankThreshold:
		return 1 - share
	}
	return 0
}

// creditedCallers is the number of callers that share the pool, Breakwater's n_c. For
// callerActiveTime after a start it is at least Settings.Callers, as some were not seen yet.
func (c *Controller) creditedCallers() int {
	callers := max(c.callers.active, 1)
	if c.settings.WarmingUp && c.now < c.startedAt+callerActiveTime {
		callers = max(callers, c.settings.Callers)
	}
	return callers
}
