package lifecycle

import "time"

const (
	// provenLifetime is how long a caller stays proven after its last run.
	provenLifetime = 10 * time.Second
	// maxProvenCallers bounds the number of proven callers.
	maxProvenCallers = 4096
	// unprovenCaller is the caller number that all callers that are not proven share.
	unprovenCaller = 1<<32 - 1
)

// provenCallers holds the callers of requests that have run recently. The admission controller
// divides its credit among the callers that it knows: if every caller number in a request counted, a
// flood of made-up numbers would leave no credit for the other callers.
type provenCallers struct {
	lastRunAt map[uint32]time.Duration // monotonic, by caller number
	sweptAt   time.Duration
}

// markProven notes that a request of a caller has run.
func (p *provenCallers) markProven(caller uint32, now time.Duration) {
	if _, known := p.lastRunAt[caller]; known || len(p.lastRunAt) < maxProvenCallers {
		p.lastRunAt[caller] = now
	}
}

// admissionNumber returns the caller number for the admission controller.
func (p *provenCallers) admissionNumber(caller uint32) uint32 {
	if _, known := p.lastRunAt[caller]; known {
		return caller
	}
	return unprovenCaller
}

// expire removes callers whose last run is long ago.
func (p *provenCallers) expire(now time.Duration) {
	if now < p.sweptAt+sweepInterval {
		return
	}
	p.sweptAt = now
	for caller, last := range p.lastRunAt {
		if now-last > provenLifetime {
			delete(p.lastRunAt, caller)
		}
	}
}
