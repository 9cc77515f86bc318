package admission

import (
	"testing"
	"time"
)

// An idle server does not reject a long request because of its estimated run time, however long runs
// have been so far.
func TestLongRequestStartsOnIdleServer(t *testing.T) {
	h := newHarness(t, nil)
	small := h.arrival(1, 0)
	small.ExpectedWork = 10 * ms
	h.advance(0, small)
	h.advance(900*ms, completed(1))
	h.runTimers(20*ms, 0.3, 0)
	large := h.arrival(2, 0)
	large.ExpectedWork = 500 * ms
	h.requireAction(h.advance(0, large), ActionStart, 2)
}

// A request with less time left than StartMarginFactor times its expected run is started only if runs
// can be cancelled.
func TestShortTimeLeftStartsOnlyCancellableWork(t *testing.T) {
	for cancel, want := range map[CancelMode]ActionKind{CancelNone: ActionReject, CancelDiscard: ActionStart} {
		h := newHarness(t, func(s *Settings) { s.Cancel = cancel })
		h.advance(0, h.arrival(1, 0))
		h.advance(500*ms, completed(1))
		h.runTimers(100*ms, 1, 1)
		e := h.arrival(2, 0)
		e.Deadline = h.now + 625*ms
		h.requireAction(h.advance(0, e), want, 2)
	}
}

// Queued requests start in order of age times priority weight: one of a large weight before one of a
// small weight that arrived a little earlier, but not before one that is older by more than the ratio
// of the weights.
func TestQueueOrderByAgeAndWeight(t *testing.T) {
	for lightFirst, want := range map[time.Duration]uint64{20 * ms: 11, 400 * ms: 10} {
		h := newHarness(t, nil)
		for id := uint64(1); id <= 4; id++ {
			h.advance(0, h.arrival(id, 0))
		}
		h.runTimers(40*ms, 0.5, 4) // no core is free
		light, heavy := h.arrival(10, 0), h.arrival(11, 2)
		light.QueueingDelay, heavy.QueueingDelay = lightFirst+50*ms, 50*ms
		h.advance(0, light, heavy)
		h.requireAction(h.advance(ms, completed(1)), ActionStart, want)
	}
}

// Cancelled runs count in the mean run time. Long runs are the ones that are cancelled, so that
// otherwise the mean would fall and still more runs would be cancelled.
func TestCancelledRunsCountInMeanRunTime(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cancel = CancelDiscard })
	h.advance(0, h.arrival(1, 0))
	h.advance(50*ms, completed(1))
	before := h.ctl.queues[0].meanRunSeconds
	h.advance(0, h.arrival(2, 0))
	h.advance(500*ms, abandoned(2))
	if h.ctl.queues[0].meanRunSeconds <= before {
		t.Fatalf("mean run time = %v s, want more than %v s", h.ctl.queues[0].meanRunSeconds, before)
	}
}

// If runs can be cancelled, a run that takes far longer than the mean is cancelled under overload.
func TestOverrunningWorkIsCancelled(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cancel = CancelDiscard; s.Cores = 1 })
	h.advance(0, h.arrival(1, 0))
	h.advance(50*ms, completed(1))
	h.advance(0, h.arrival(2, 0))
	for id := uint64(3); id < 9; id++ {
		h.advance(0, h.arrival(id, 0))
	}
	out := h.runTimers(900*ms, 1, 2)
	h.requireAction(out, ActionFail, 2)
	h.requireAction(out, ActionCancel, 2)
}

// A run that was expected to take long is not cancelled for exceeding the mean run time of its class.
func TestOverrunIsMeasuredAgainstExpectedWork(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cancel = CancelDiscard; s.Cores = 1 })
	arrival := func(id uint64, work time.Duration) Event {
		e := h.arrival(id, 2)
		e.ExpectedWork = work
		return e
	}
	h.advance(0, arrival(1, 50*ms))
	h.advance(50*ms, completed(1))
	h.advance(0, arrival(2, 500*ms))
	h.advance(0, arrival(3, 50*ms), arrival(4, 50*ms), arrival(5, 50*ms))
	if out := h.runTimers(750*ms, 1, 2); findAction(out, ActionCancel, 2) != nil {
		t.Fatal("request 2 was cancelled within its expected run time")
	}
}
