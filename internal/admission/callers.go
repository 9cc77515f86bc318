package admission

import "time"

const (
	// callerActiveTime is how long after a request a caller counts as active and shares the credit
	// pool.
	callerActiveTime = time.Second
	// callerTableSize is the number of callers that are distinguished; callers whose numbers are
	// equal modulo it count as one.
	callerTableSize = 2048
	// callerSlots is the number of control periods in which an active caller may have been last
	// seen.
	callerSlots = int(callerActiveTime/controlPeriod) + 1
)

// callerTracker counts the callers that sent a request within callerActiveTime, to the resolution
// of a control period.
type callerTracker struct {
	lastSeen    [callerTableSize]time.Duration
	seenInSlot  [callerSlots]int // number of callers by the control period in which they were last seen
	currentSlot int              // the number of the current control period
	active      int              // the sum of seenInSlot
	// returningShare is the share of arrivals whose caller was seen within defaultIdleTimeout
	// before, as a moving average.
	returningShare float64
}

// recordRequest marks a caller as active because of a request.
func (t *callerTracker) recordRequest(caller uint32, now time.Duration) {
	last := t.lastSeen[caller%callerTableSize]
	t.lastSeen[caller%callerTableSize] = now
	t.expire(now)
	if slot := int(last / controlPeriod); last > 0 && slot > t.currentSlot-callerSlots {
		t.seenInSlot[slot%callerSlots]--
		t.active--
	}
	t.seenInSlot[t.currentSlot%callerSlots]++
	t.active++
	t.returningShare *= 1 - arrivalWeight
	if last > 0 && now-last < defaultIdleTimeout {
		t.returningShare += arrivalWeight
	}
}

// expire drops callers that have not been seen for callerActiveTime.
func (t *callerTracker) expire(now time.Duration) {
	slot := int(now / controlPeriod)
	t.currentSlot = max(t.currentSlot, slot-callerSlots)
	for t.currentSlot < slot {
		t.currentSlot++
		t.active -= t.seenInSlot[t.currentSlot%callerSlots]
		t.seenInSlot[t.currentSlot%callerSlots] = 0
	}
}
