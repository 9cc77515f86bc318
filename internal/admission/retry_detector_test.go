package admission

import (
	"testing"
	"time"
)

// First attempts of callers that limit single attempts must not look like retries, and a retry is
// recognized even if no caller is seen twice. The waits of all classes count together.
func TestRetryDetectorEstimatesAgeFromTimeLeft(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MarksRetries = false })
	if got := h.retryAge(0, 700*ms); got != 0 {
		t.Fatalf("age of the first request = %v, want 0", got)
	}
	age := func(class int, fraction float64) time.Duration {
		return h.retryAge(class, time.Duration(fraction*float64(h.ctl.settings.Classes[class].Timeout)))
	}
	for i := range 12 {
		if got := age(i%2, 0.5); got != 0 {
			t.Fatalf("age of a first attempt = %v, want 0", got)
		}
		if got := age(0, 0.8); got != 0 { // callers of another configuration
			t.Fatalf("age of a first attempt with the other configuration = %v, want 0", got)
		}
	}
	timeout := float64(h.ctl.settings.Classes[0].Timeout)
	for _, c := range []struct{ fraction, age float64 }{{0.3, 0.2}, {0.6, 0.2}, {0.9, 0.1}} {
		want := time.Duration(c.age * timeout)
		if got := age(0, c.fraction); got < want-ms || got > want+ms {
			t.Fatalf("with a fraction %v of the timeout left: age = %v, want %v", c.fraction, got, want)
		}
	}
}
