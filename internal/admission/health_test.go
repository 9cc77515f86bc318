package admission

import (
	"testing"
	"time"
)

// A server that alone reads too late turns unhealthy and recovers. Where retries show that others
// are no better off, it stays healthy.
func TestServerReadingTooLateTurnsUnhealthy(t *testing.T) {
	for _, manyRetries := range []bool{false, true} {
		h := newHarness(t, nil)
		out := h.runTimers(200*ms, 1, 4)
		for id := uint64(1); id <= 150; id++ {
			e := h.arrival(id, 0)
			if e.Retry = manyRetries && id%4 == 0; id > 50 {
				e.QueueingDelay = 2500 * ms
			}
			out = append(out, h.advance(tickInterval, e, timerEvent(1, 4))...)
		}
		unhealthy := false
		for _, a := range out {
			unhealthy = unhealthy || a.Kind == ActionSetHealth && !a.Healthy
		}
		if unhealthy == manyRetries {
			t.Fatalf("many retries %v: unhealthy %v", manyRetries, unhealthy)
		}
		if !manyRetries && !h.requireAction(h.runTimers(time.Minute, 0.1, 0), ActionSetHealth, 0).Healthy {
			t.Fatal("did not recover")
		}
	}
}

// A server that reads late because it gets more requests than usual, as when others are unhealthy,
// stays healthy.
func TestServerStaysHealthyUnderUnusualLoad(t *testing.T) {
	h := newHarness(t, nil)
	var out []Action
	for id := uint64(1); id <= 1200; id++ {
		after, e := 5*tickInterval, h.arrival(id, 0)
		if id > 200 { // five times the usual
			after, e.QueueingDelay = tickInterval, 2500*ms
		}
		out = append(out, h.advance(after, e, timerEvent(1, 4), completed(id))...)
		if h.now > time.Hour+28*time.Second {
			break
		}
	}
	for _, a := range out {
		if a.Kind == ActionSetHealth && !a.Healthy {
			t.Fatal("turned unhealthy")
		}
	}
}
