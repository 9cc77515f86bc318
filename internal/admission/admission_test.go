package admission

import (
	"testing"
	"time"
)

// A rejection has a Retry-After of at least tickInterval; otherwise the client would retry at once.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MaxRetryAfter = time.Second })
	late := h.arrival(1, 0)
	late.Deadline = h.now + ms
	if a := h.requireAction(h.advance(0, late), ActionReject, 1); a.Duration < tickInterval {
		t.Fatalf("Retry-After = %v, want at least tickInterval", a.Duration)
	}
}

// Many retries among the arrivals show that other servers reject requests too. A rejected first
// attempt must then not be retried elsewhere.
func TestRejectionForbidsRetryAmongManyRetries(t *testing.T) {
	noRetry := func(retryPercent int) bool {
		h := newHarness(t, nil)
		h.runTimers(100*ms, 1, 4)
		for id := uint64(1); id <= 200; id++ {
			e := h.arrival(id, 2)
			e.Retry = int(id%100) < retryPercent
			h.advance(ms, e, completed(id))
		}
		e := h.arrival(500, 0)
		e.QueueingDelay = 1500 * ms // far past the accepted delay
		return h.requireAction(h.advance(0, e), ActionReject, 500).NoRetry
	}
	if noRetry(2) || !noRetry(60) {
		t.Fatalf("NoRetry of a rejected first attempt: %v with few retries, %v with many, want false and true",
			noRetry(2), noRetry(60))
	}
}

// A request that would miss its objective because of the queue is rejected when it arrives, while
// a server with capacity can still answer it.
func TestUnreachableObjectiveIsRejectedOnArrival(t *testing.T) {
	for waiting, want := range map[int]ActionKind{0: ActionRememberKey, 12: ActionReject} {
		h := newHarness(t, func(s *Settings) {
			s.Cores = 1
			s.Classes[2].Idempotency, s.Classes[2].IdempotencyWindow = IdempotentWithKey, time.Second
		})
		h.advance(0, h.arrival(1, 2))
		h.advance(300*ms, completed(1))
		h.runTimers(100*ms, 1, 1)
		for id := 2; id < 3+waiting; id++ { // the first of them runs
			h.advance(0, h.arrival(uint64(id), 2))
		}
		if a := h.requireAction(h.advance(0, h.arrival(100, 2)), want, 100); want == ActionReject &&
			(a.Cause != CauseObjectiveUnreachable || a.NoRetry) {
			t.Errorf("rejection = %+v, want CauseObjectiveUnreachable without NoRetry", a)
		}
	}
}

// A request that misses its objective at a slow server may be retried elsewhere, unless other
// servers reject requests too or the time left is too short for a run.
func TestUnreachableObjectiveAllowsRetryWhereOthersHaveRoom(t *testing.T) {
	for name, c := range map[string]struct {
		rejectedShare float64
		after         time.Duration // of an objective of 2 s, at a server that takes 1 s
		noRetry       bool
	}{
		"time for a usual run elsewhere": {0, 700 * ms, false},
		"too little time left":           {0, 1600 * ms, true},
		"other servers reject too":       {0.3, 700 * ms, true},
	} {
		h := newHarness(t, func(s *Settings) {
			s.Cores, s.Cancel = 1, CancelNone
			class := &s.Classes[2]
			class.LatencyObjective, class.Timeout, class.LateWeightFraction = 2*time.Second, 5*time.Second, 0
		})
		h.advance(0, h.arrival(1, 2))
		h.advance(time.Second, completed(1))
		h.advance(0, h.arrival(2, 2), h.arrival(3, 2)) // the first of them runs
		h.ctl.arrivals.rejectedShare = c.rejectedShare
		a := h.requireAction(h.advance(c.after, timerEvent(1, 1)), ActionReject, 3)
		if a.Cause != CauseObjectiveUnreachable || a.NoRetry != c.noRetry {
			t.Errorf("%s: rejection = %+v, want CauseObjectiveUnreachable with the NoRetry of the case", name, a)
		}
	}
}

// Marked retries are rejected in a retry storm, so that they do not displace first attempts. A few
// retries are still accepted.
func TestRetryStormRejectsRetriesFirst(t *testing.T) {
	rejected := func(retryPercent int) (n int) {
		h := newHarness(t, nil)
		h.runTimers(100*ms, 1, 4)
		for id := uint64(1); id <= 200; id++ {
			e := h.arrival(id, 2)
			e.Retry, e.QueueingDelay = int(id%100) < retryPercent || id == 200, 30*ms
			if a := findAction(h.advance(ms, e), ActionReject, id); a != nil && id == 200 {
				n++
			}
			h.advance(ms, completed(id))
		}
		return n
	}
	if rejected(5) != 0 || rejected(70) != 1 {
		t.Fatalf("rejections of a retry: %d with few retries, %d in a storm, want 0 and 1", rejected(5), rejected(70))
	}
}

// A retry of a rejected request costs each server that reads it. If half of the arrivals are
// rejected, other servers have no capacity, and callers are asked not to retry. A few rejections
// among many accepted requests do not show that.
func TestRejectionForbidsRetryWhenMostAreRejected(t *testing.T) {
	for _, rejected := range []struct {
		share   float64
		noRetry bool
	}{{0.2, false}, {0.6, true}} {
		h := newHarness(t, nil)
		h.ctl.arrivals.rejectedShare = rejected.share
		h.advance(tickInterval, timerEvent(1, 4))
		e := h.arrival(3, 0)
		e.QueueingDelay = 1500 * ms // far past the accepted delay
		a := h.requireAction(h.advance(0, e), ActionReject, 3)
		if (a.Cause != CauseQueueingDelay && a.Cause != CauseObjectiveUnreachable) || a.NoRetry != rejected.noRetry {
			t.Errorf("rejected share %v: rejection = %+v, want an overload cause, NoRetry as in the case",
				rejected.share, a)
		}
	}
}
