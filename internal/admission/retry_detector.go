package admission

import (
	"math"
	"time"
)

const (
	// commonWaitSlots is the number of different waits that are remembered.
	commonWaitSlots = 8
	// commonWaitMinWeight is the weight, in arrivals of about the last 50, from which a wait counts
	// as common.
	commonWaitMinWeight = 3.0
	// waitTolerance is how far a wait may be off a common one and still be the same.
	waitTolerance = 30 * time.Millisecond
)

// commonWait is a wait that callers use for first attempts, as a fraction of the class's timeout,
// and how often it was seen lately. The weight fades with arrivals.
type commonWait struct{ fraction, weight float64 }

// retryDetector distinguishes retries from first attempts where callers do not mark them, by the
// time for which they wait. First attempts wait the same fraction of the timeout at all callers of
// one configuration, so that few fractions are common. A retry waits a little less than one of these
// or, where callers limit single attempts, what is left of the client's timeout. Where waits vary at
// random none is common, and no request is taken for a retry.
type retryDetector struct {
	waits [commonWaitSlots]commonWait
}

// age estimates how long ago a request with this wait was first attempted; 0: now. It also counts
// the wait.
func (d *retryDetector) age(wait, timeout time.Duration) time.Duration {
	limit := float64(timeout)
	tolerance := float64(waitTolerance) / limit
	fraction := float64(wait) / limit
	d.fade()
	nextCommon, hasCommon := d.nextCommon(fraction)
	recorded := d.record(fraction, tolerance)
	if !hasCommon || recorded.weight >= commonWaitMinWeight {
		return 0
	}
	firstFraction := min(nextCommon, max(fraction, 1)) // of the first attempt
	return time.Duration((firstFraction - fraction) * limit)
}

// fade lowers the weights of all waits for one more arrival.
func (d *retryDetector) fade() {
	for i := range d.waits {
		d.waits[i].weight *= 1 - arrivalWeight
	}
}

// nextCommon returns the least common fraction above the given one (infinity: there is none), and
// whether any fraction is common.
func (d *retryDetector) nextCommon(fraction float64) (next float64, hasCommon bool) {
	next = math.Inf(1)
	for _, wait := range d.waits {
		if wait.weight < commonWaitMinWeight {
			continue
		}
		hasCommon = true
		if wait.fraction > fraction {
			next = min(next, wait.fraction)
		}
	}
	return next, hasCommon
}

// record counts a wait. A new one takes the place of the rarest.
func (d *retryDetector) record(fraction, tolerance float64) *commonWait {
	wait := d.find(fraction, tolerance)
	if wait == nil {
		wait = d.rarest()
		*wait = commonWait{fraction: fraction}
	}
	wait.weight++
	return wait
}

// find returns the wait of the largest weight that is the given one within the tolerance, or nil.
func (d *retryDetector) find(fraction, tolerance float64) (found *commonWait) {
	for i := range d.waits {
		wait := &d.waits[i]
		isSame := math.Abs(wait.fraction-fraction) < tolerance
		if isSame && (found == nil || wait.weight > found.weight) {
			found = wait
		}
	}
	return found
}

// rarest returns the wait of the least weight.
func (d *retryDetector) rarest() *commonWait {
	rarest := &d.waits[0]
	for i := range d.waits {
		if d.waits[i].weight < rarest.weight {
			rarest = &d.waits[i]
		}
	}
	return rarest
}
