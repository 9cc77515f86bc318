package admission

import (
	"math"
	"time"
)

const (
	// commonWaitSlots is the number of different waits that are remembered.
	commonWaitSlots = 8
	// commonWaitMinWeight is the weight from which a wait counts as common: roughly the number of
	// the last 50 arrivals that had this wait.
	commonWaitMinWeight = 3.0
	// waitTolerance is the difference below which two waits count as the same.
	waitTolerance = 30 * time.Millisecond
)

// commonWait is a wait, which is the time from arrival to deadline, as a fraction of the class's
// timeout, and a weight for how often it was seen recently. The weight decays with each arrival.
type commonWait struct{ fraction, weight float64 }

// retryDetector distinguishes retries from first attempts by their waits, for callers that do not
// mark retries. All callers with one configuration wait the same fraction of the timeout for first
// attempts, so that few fractions are common. A retry waits a little less than a common fraction or,
// if callers limit single attempts, for the rest of the client's timeout. If waits vary at random,
// none is common and no request is taken for a retry.
type retryDetector struct {
	waits [commonWaitSlots]commonWait
}

// age estimates how long ago the first attempt of a request with this wait was made; 0: it is the
// first attempt. It also records the wait.
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

// fade decays the weights of all waits for one more arrival.
func (d *retryDetector) fade() {
	for i := range d.waits {
		d.waits[i].weight *= 1 - arrivalWeight
	}
}

// nextCommon returns the smallest common fraction above the given one (infinity: there is none), and
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

// record adds one arrival with this wait. A new wait replaces the one with the least weight.
func (d *retryDetector) record(fraction, tolerance float64) *commonWait {
	wait := d.find(fraction, tolerance)
	if wait == nil {
		wait = d.rarest()
		*wait = commonWait{fraction: fraction}
	}
	wait.weight++
	return wait
}

// find returns, of the recorded waits within tolerance of fraction, the one with the largest weight,
// or nil.
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

// rarest returns the wait with the least weight.
func (d *retryDetector) rarest() *commonWait {
	rarest := &d.waits[0]
	for i := range d.waits {
		if d.waits[i].weight < rarest.weight {
			rarest = &d.waits[i]
		}
	}
	return rarest
}
