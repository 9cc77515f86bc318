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

// retryDetector tells retries from first attempts where callers do not mark them, by the time that
// they are willing to wait. First attempts wait the same fraction of the timeout at all callers of
// one configuration, so that few fractions come again and again. A retry has a little less than one
// of these or, where callers limit single attempts, what is left of the client's patience. Where
// waits vary by themselves none is common, and no request is taken for a retry.
type retryDetector struct {
	waits [commonWaitSlots]commonWait
}

// age estimates how long ago a request with this wait was first attempted; 0: now. It also counts
// the wait.
func (d *retryDetector) age(wait, timeout time.Duration) time.Duration {
	limit := float64(timeout)
	tolerance, fraction := float64(waitTolerance)/limit, float64(wait)/limit
	match, least := -1, 0
	anyCommon, above := false, math.Inf(1) // above: the common fraction next above this one
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
				above = min(above, w.fraction)
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
	return time.Duration((min(above, max(fraction, 1)) - fraction) * limit)
}
