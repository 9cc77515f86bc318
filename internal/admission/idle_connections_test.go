package admission

import (
	"testing"
	"time"
)

// Idle connections of many callers that rarely return are closed early; those of a few callers are
// kept.
func TestIdleTimeoutIsShortForSeldomCallers(t *testing.T) {
	for _, c := range []struct {
		callers uint32
		want    time.Duration
	}{{3, defaultIdleTimeout}, {1000, shortIdleTimeout}} {
		h := newHarness(t, func(s *Settings) { s.IdleConnectionTimeout = 30 * time.Second })
		if last := h.idleTimeoutAfter(1, 100, c.callers, 0, 0); last != c.want {
			t.Fatalf("%d callers: idle timeout = %v, want %v", c.callers, last, c.want)
		}
	}
}

// If handshakes have a cost, idle connections are kept while the cores are free, even if callers
// rarely return.
func TestIdleConnectionsStayWhereHandshakesCost(t *testing.T) {
	for cost, want := range map[float64]time.Duration{0: shortIdleTimeout, 0.03: 30 * time.Second} {
		h := newHarness(t, func(s *Settings) { s.HandshakeCost = cost })
		if last := h.idleTimeoutAfter(1, 100, 1000, 0, 0.3); last != want {
			t.Fatalf("handshake cost %v: idle timeout = %v, want %v", cost, last, want)
		}
		if cost == 0 {
			continue
		}
		a := h.requireAction(h.runTimers(2*controlPeriod, 1, 4), ActionCloseIdle, 0)
		if a.Duration != shortIdleTimeout {
			t.Fatalf("idle timeout with busy cores = %v, want shortIdleTimeout", a.Duration)
		}
	}
}

// While requests wait long to be read, a full connection table is better than more handshakes.
func TestIdleTimeoutIsLongWhileReadsAreLate(t *testing.T) {
	h := newHarness(t, nil)
	// requests are read at once, then late
	for i, want := range []time.Duration{shortIdleTimeout, defaultIdleTimeout} {
		if last := h.idleTimeoutAfter(1+uint64(i)*150, 150, 1000, time.Duration(i)*900*ms, 0); last != want {
			t.Fatalf("part %d: idle timeout = %v, want %v", i, last, want)
		}
	}
}
