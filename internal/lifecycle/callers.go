package lifecycle

import "time"

// callerTable knows the callers of whose requests one has lately run. Credit is shared among those
// that are heard: if any number that a stranger makes up counted as a caller, a flood of them would
// leave the others none.
type callerTable struct {
	last  map[uint32]time.Duration
	swept time.Duration
}

const (
	provenFor  = 10 * time.Second
	maxProven  = 4096
	noCallerNo = 1<<32 - 1 // what the module is told for all strangers together
)

// prove notes that a request of the caller has run.
func (t *callerTable) prove(number uint32, now time.Duration) {
	if _, known := t.last[number]; known || len(t.last) < maxProven {
		t.last[number] = now
	}
}

// number is what the module is told of a caller.
func (t *callerTable) number(number uint32) uint32 {
	if _, known := t.last[number]; known {
		return number
	}
	return noCallerNo
}

// expire forgets callers that were not heard for long: their numbers are ever new.
func (t *callerTable) expire(now time.Duration) {
	if now < t.swept+sweepEvery {
		return
	}
	t.swept = now
	for number, last := range t.last {
		if now-last > provenFor {
			delete(t.last, number)
		}
	}
}
