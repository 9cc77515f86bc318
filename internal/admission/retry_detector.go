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
	match, least := -1, 0
	anyCommon := false
	nextCommon := math.Inf(1) // the least common fraction above this one
	for i := range d.waits {
		w := &d.waits[i]
		w.weight *= 1 - arrivalWeight
		if w.weight < d.waits[least].weight {
			least = i
		}
		if math.Abs(w.fraction-fraction) < tolerance && (match < 0 || w.weight > d.waits[match].weight) {
			match = i
		}
		if w.weight >= commonWaitMinWeight {
			anyCommon = true
			if w.fraction > fraction {
				nextCommon = min(nextCommon, w.fraction)
			}
		}
	}
	if match < 0 { // a new wait takes the place of the rarest
		match = least
		d.waits[least] = commonWait{fraction: fraction}
	}
	d.waits[match].weight++
	if !anyCommon || d.waits[match].weight >= commonWaitMinWeight {
		return 0
	}
	firstFraction := min(nextCommon, max(fraction, 1)) // of the first attempt
	return time.Duration((firstFraction - fraction) * limit)
}
