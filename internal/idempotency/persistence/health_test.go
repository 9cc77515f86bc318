package persistence

import (
	"testing"
	"time"
)

// New keys are rejected while keys are restored, for a window after a repair, and while the disk has
// failed or does not confirm records in time.
func TestHealthRejectsKeysWhileDiskIsUnusable(t *testing.T) {
	const ms = time.Millisecond
	h := health{stallTimeout: 100 * ms, restoring: true}
	for _, c := range []struct {
		name       string
		do         func()
		now        time.Duration
		retryAfter time.Duration
	}{
		{"restoring", func() {}, 1 * ms, restoringRetryAfter},
		{"restored", func() { h.restoring = false }, 2 * ms, 0},
		{"repaired", func() { h.closedUntil = 50 * ms }, 10 * ms, 40 * ms},
		{"the window after the repair is over", func() {}, 50 * ms, 0},
		{"a record is sent", func() { h.recordSent(100 * ms); h.recordSent(150 * ms) }, 199 * ms, 0},
		{"the first record waits for the stall timeout", func() {}, 200 * ms, 100 * ms},
		{"the first is confirmed", func() { h.recordConfirmed() }, 201 * ms, 0},
		{"the second record waits for the stall timeout", func() {}, 251 * ms, 100 * ms},
		{"all are confirmed", func() { h.recordConfirmed() }, 900 * ms, 0},
		{"down", func() { h.failure = "no room" }, 901 * ms, downRetryAfter},
		{"recovered", func() { h.failure = "" }, 902 * ms, 0},
	} {
		c.do()
		if got, why := h.unavailable(c.now); got != c.retryAfter || (got > 0) != (why != "") {
			t.Errorf("%s: unavailable() = %v, %q, want %v, and a reason unless 0", c.name, got, why, c.retryAfter)
		}
	}
}
