package admission

import (
	"testing"
	"time"
)

// During a drain health checks fail, arrivals after the grace period are rejected, and all requests
// are answered before the stop.
func TestDrainAnswersAllBeforeStop(t *testing.T) {
	h := newHarness(t, nil)
	for id := uint64(1); id < 20; id++ {
		h.advance(0, h.arrival(id, 0))
	}
	h.requireAction(h.advance(ms, Event{Kind: EventDrain, Deadline: h.now + 2*time.Second}), ActionSetHealth, 0)
	h.runTimers(1100*ms, 1, 4)
	h.requireAction(h.advance(0, h.arrival(90, 0)), ActionReject, 90)
	// A repeat of a request that ran is answered, since it starts no run.
	repeat := h.arrival(91, 1)
	repeat.PriorRequest = 1
	h.requireAction(h.advance(0, repeat), ActionReuseResult, 91)
	h.runTimers(900*ms, 1, 4)
	for id, r := range h.ctl.requests {
		if !r.answered {
			t.Fatalf("request %d is unanswered at the stop", id)
		}
	}
}
