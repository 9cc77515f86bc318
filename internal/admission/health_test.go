package admission

import (
	"testing"
	"time"
)

// A server that reads requests too late while others do not becomes unhealthy and recovers. If many
// retries show that others are overloaded too, it stays healthy.
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
			t.Fatalf("many retries = %v: unhealthy = %v, want the opposite", manyRetries, unhealthy)
		}
		if !manyRetries && !h.requireAction(h.runTimers(time.Minute, 0.1, 0), ActionSetHealth, 0).Healthy {
			t.Fatal("the server did not become healthy again within a minute")
		}
	}
}

// A server that reads requests late because it gets more of them than usual, for example while others
// are unhealthy, stays healthy.
func TestServerStaysHealthyUnderUnusualLoad(t *testing.T) {
	h := newHarness(t, nil)
	var out []Action
	for id := uint64(1); id <= 1200; id++ {
		after, e := 5*tickInterval, h.arrival(id, 0)
		if id > 200 { // five times the usual rate
			after, e.QueueingDelay = tickInterval, 2500*ms
		}
		out = append(out, h.advance(after, e, timerEvent(1, 4), completed(id))...)
		if h.now > time.Hour+28*time.Second {
			break
		}
	}
	for _, a := range out {
		if a.Kind == ActionSetHealth && !a.Healthy {
			t.Fatal("the server became unhealthy")
		}
	}
}
