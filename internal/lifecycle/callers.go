package lifecycle

import "time"

// provenCallers knows the callers of whose requests one has lately run. Credit is shared among those
// that are heard: if any number that a stranger makes up counted as a caller, a flood of them would
// leave the others none.
type provenCallers struct {
	lastRunAt map[uint32]time.Duration
	sweptAt   time.Duration
}

const (
	provenLifetime   = 10 * time.Second
	maxProvenCallers = 4096
	unprovenCaller   = 1<<32 - 1 // what the module is told for all strangers together
)

// markProven notes that a request of the caller has run.
func (t *provenCallers) markProven(number uint32, now time.Duration) {
	if _, known := t.lastRunAt[number]; known || len(t.lastRunAt) < maxProvenCallers {
		t.lastRunAt[number] = now
	}
}

// admissionNumber is what the module is told of a caller.
func (t *provenCallers) admissionNumber(number uint32) uint32 {
	if _, known := t.lastRunAt[number]; known {
		return number
	}
	return unprovenCaller
}

// expire forgets callers that were not heard for long: their numbers are ever new.
func (t *provenCallers) expire(now time.Duration) {
	if now < t.sweptAt+sweepInterval {
		return
	}
	t.sweptAt = now
	for number, last := range t.lastRunAt {
		if now-last > provenLifetime {
			delete(t.lastRunAt, number)
		}
	}
}
