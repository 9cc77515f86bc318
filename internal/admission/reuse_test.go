package admission

import (
	"testing"
	"time"
)

// A request with a remembered idempotency key does not run. It is answered with the result of the
// first request with the key, or fails before its deadline.
func TestRepeatedKeyReusesResult(t *testing.T) {
	h := newHarness(t, nil)
	keep := h.requireAction(h.advance(0, h.arrival(1, 1)), ActionRememberKey, 1)
	if keep.Duration < h.ctl.settings.Classes[1].IdempotencyWindow {
		t.Fatalf("key remembered for %v, want at least the window of the class", keep.Duration)
	}
	again := h.arrival(2, 1)
	again.PriorRequest = 1
	out := h.advance(ms, again)
	h.requireAction(out, ActionReuseResult, 2)
	if findAction(out, ActionStart, 2) != nil {
		t.Fatal("a request with a remembered key was started")
	}
	// a repeat that gets no result is answered before its deadline too
	h.requireAction(h.runTimers(3*time.Second, 0.1, 0), ActionFail, 2)
}

// Reads of one subject share a run: they wait for its result, even beyond the delay at which other
// requests are rejected, and reuse it for ResultMaxAge.
func TestReadsOfOneSubjectShareRun(t *testing.T) {
	h, read := newReadHarness(t, nil)
	h.requireAction(h.advance(0, read(1, 0)), ActionRememberKey, 1)
	for id := uint64(2); id < 5; id++ {
		if out := h.advance(ms, read(id, 1)); findAction(out, ActionStart, id) != nil ||
			findAction(out, ActionReuseResult, id) != nil {
			t.Fatal("a read did not wait for the running read of the same subject")
		}
	}
	out := h.advance(200*ms, completed(1))
	for id := uint64(2); id < 5; id++ {
		h.requireAction(out, ActionReuseResult, id)
	}
	h.advance(ms, completed(2))
	h.requireAction(h.advance(500*ms, read(9, 1)), ActionReuseResult, 9)
	h.requireAction(h.runTimers(1200*ms, 0.1, 0), ActionForgetKey, 1)
	h.requireAction(h.advance(0, read(10, 1)), ActionStart, 10) // the result has expired
	write := read(11, 0)
	write.Write = true
	if findAction(h.advance(ms, write), ActionRememberKey, 11) != nil {
		t.Fatal("the key of a write was remembered to share its result")
	}
}

// A read that waits for the result of another read runs itself when the other fails, is cancelled or
// is abandoned.
func TestWaitingReadRunsWhenSourceFails(t *testing.T) {
	for name, end := range map[string][]Event{
		"failed":    {{Kind: EventCompleted, Request: 1, Outcome: OutcomeFailed}},
		"cancelled": {cancelled(1)},
		"abandoned": {abandoned(1), cancelled(1)},
	} {
		h, read := newReadHarness(t, nil)
		h.requireAction(h.advance(0, read(1, 0)), ActionStart, 1)
		h.advance(ms, read(2, 1), read(3, 1))
		out := h.advance(ms, end...)
		h.requireAction(out, ActionForgetKey, 1)
		h.requireAction(out, ActionRememberKey, 2)
		h.requireAction(out, ActionStart, 2)
		if findAction(out, ActionReuseResult, 0) != nil {
			t.Fatalf("%s: a read reused a result that does not exist", name)
		}
	}
	h, read := newReadHarness(t, nil)
	h.advance(0, h.arrival(50, 2)) // takes the core
	h.advance(ms, read(1, 0))
	h.advance(ms, read(2, 1))
	out := h.advance(ms, abandoned(1))
	h.requireAction(out, ActionRememberKey, 2)
	h.requireAction(h.advance(ms, completed(50)), ActionStart, 2)
}

// Reads that wait for the same result are not all answered at once: each uses a core, and the running
// limit holds.
func TestReusedResultsRespectRunningLimit(t *testing.T) {
	h, read := newReadHarness(t, func(s *Settings) { s.WarmingUp = true })
	h.advance(0, read(1, 0))
	for id := uint64(2); id < 60; id++ {
		h.advance(0, read(id, 1))
	}
	n := 0
	for _, a := range h.advance(ms, completed(1)) {
		if a.Kind == ActionReuseResult {
			n++
		}
	}
	s := &h.ctl.settings
	limit := float64(s.Cores) * (1 + (s.MaxRunningPerCore-1)*s.WarmUpInitialShare)
	if n < 1 || float64(n) > limit {
		t.Fatalf("reads answered from the result at once = %d, want 1 to %.1f while warming up", n, limit)
	}
}
