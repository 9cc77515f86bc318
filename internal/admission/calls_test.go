package admission

import (
	"testing"
	"time"
)

// Slow calls leave the cores idle, but the wait for a call still counts as queueing delay, so that
// requests are rejected.
func TestSlowDependencyCountsAsOverload(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 2 })
	for id := uint64(1); id <= 8; id++ {
		h.advance(ms, h.arrival(id, 2))
		h.advance(ms, blocked(id))
	}
	out := h.runTimers(900*ms, 0.1, 0)
	for id := uint64(50); id < 60; id++ {
		out = append(out, h.advance(ms, h.arrival(id, 2))...)
	}
	h.requireAction(out, ActionReject, 0)
}

// While calls queue, requests of classes that make no calls are still accepted, and enough credit for
// them remains.
func TestCallCongestionRejectsOnlyClassesThatCall(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota, s.Classes[2].CallsDependency = 1, false })
	h.completeCalls(1, 20, 100*ms)
	for id := uint64(100); id < 104; id++ {
		h.advance(0, h.arrival(id, 0))
		h.advance(0, blocked(id))
	}
	out := h.advance(ms, h.arrival(200, 0), h.arrival(201, 2))
	h.requireAction(out, ActionStart, 201)
	if a := h.requireAction(out, ActionReject, 200); !a.NoRetry || a.Duration > tickInterval {
		t.Errorf("rejection = %+v, want NoRetry and a Retry-After of at most tickInterval", a)
	}
	h.runTimers(900*ms, 0.1, 0)
	if h.ctl.credit.size < defaultParameters.IdleCreditPerCore*float64(h.ctl.settings.Cores) {
		t.Errorf("credit pool = %v while the cores are idle, want at least IdleCreditPerCore per core",
			h.ctl.credit.size)
	}
}

// Waiting calls are placed by the weight that the answers of their requests can still earn, not in
// order of arrival.
func TestCallsArePlacedByRemainingWeight(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota, s.Classes[0].DegradedWeightFraction = 2, 0 })
	for id := uint64(1); id <= 4; id++ { // request 1 takes the only call
		h.advance(ms, h.arrival(id, 0))
		h.advance(0, blocked(id))
	}
	h.runTimers(1020*ms, 0.1, 0) // requests 2 to 4 are past their objective
	for id, class := range []int{5: 0, 6: 1} {
		if id > 4 {
			h.advance(0, h.arrival(uint64(id), class))
			h.advance(0, blocked(uint64(id)))
		}
	}
	last := uint64(1)
	for _, id := range []uint64{6, 5, 4} {
		out := h.advance(ms, Event{Kind: EventCallCompleted, Request: last, Outcome: OutcomeOK, Elapsed: ms})
		h.requireAction(out, ActionPlaceCall, id)
		last = id
	}
}

// The call of an answered or abandoned request counts as in flight until the host reports its end.
// Otherwise a slow dependency would get more calls than its quota.
func TestCallsOfFinishedRequestsStayInFlight(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 20 })
	for id := uint64(1); id <= 3; id++ {
		h.advance(0, h.arrival(id, 0))
		h.requireAction(h.advance(0, blocked(id)), ActionPlaceCall, id)
	}
	h.advance(ms, abandoned(1), abandoned(2), abandoned(3))
	h.runTimers(time.Second, 0.1, 0) // five times AbandonedCallTime
	if h.ctl.calls.inFlight != 3 {
		t.Errorf("calls in flight = %d, want 3", h.ctl.calls.inFlight)
	}
	h.advance(
		0,
		Event{Kind: EventCallCompleted, Request: 1, Outcome: OutcomeOK, Elapsed: time.Second},
		Event{Kind: EventCallCompleted, Request: 2, Outcome: OutcomeTimedOut, Elapsed: time.Second},
		cancelled(3),
	)
	if h.ctl.calls.inFlight != 0 || len(h.ctl.calls.abandonedUntil) != 2 {
		t.Errorf("calls in flight = %d, abandoned calls = %d, want 0 and 2",
			h.ctl.calls.inFlight, len(h.ctl.calls.abandonedUntil))
	}
	h.advance(0, cancelled(1), cancelled(2))
	if used := h.ctl.occupancy; used.onCores != 0 || used.atCalls != 0 || len(h.ctl.requests) != 0 {
		t.Errorf("requests on the cores = %d, at calls = %d, in all = %d, want 0 of each",
			used.onCores, used.atCalls, len(h.ctl.requests))
	}
}

// A slow dependency delays only the classes that call it.
func TestCallCongestionDelaysOnlyClassesThatCall(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 1; s.Classes[0].CallsDependency = false })
	for id := uint64(1); id <= 4; id++ {
		h.advance(ms, h.arrival(id, 2))
		h.advance(ms, blocked(id))
	}
	h.runTimers(900*ms, 0.1, 0)
	h.requireAction(h.advance(0, h.arrival(20, 2)), ActionReject, 20)
	h.requireAction(h.advance(0, h.arrival(21, 0)), ActionStart, 21)

	h = newHarness(t, func(s *Settings) { s.CallQuota = 1; s.Classes[0].CallsDependency = false })
	for id := uint64(1); id <= 4; id++ {
		h.advance(0, h.arrival(id, 2))
		h.advance(0, blocked(id))
	}
	// these requests take all cores
	h.advance(0, h.arrival(11, 0), h.arrival(12, 0), h.arrival(13, 0), h.arrival(14, 0))
	h.advance(0, h.arrival(25, 2), h.arrival(26, 0))
	h.runTimers(2*callCongestionDelay, 0.5, 4)
	h.requireAction(h.advance(ms, completed(11)), ActionStart, 26)
}

// A call of a non-idempotent request is repeated only if its outcome proves that it never ran.
func TestCallIsRepeatedOnlyIfItNeverRan(t *testing.T) {
	for outcome, again := range map[Outcome]bool{
		OutcomeRejected:       true,
		OutcomeUnreachable:    true,
		OutcomeNeverStarted:   true,
		OutcomeFailed:         false,
		OutcomeTimedOut:       false,
		OutcomeConnectionLost: false,
		OutcomeUnknown:        false,
	} {
		h := newHarness(t, nil)
		h.advance(0, h.arrival(1, 2))
		h.requireAction(h.advance(ms, blocked(1)), ActionPlaceCall, 1)
		out := h.advance(ms, Event{Kind: EventCallCompleted, Request: 1, Outcome: outcome})
		out = append(out, h.runTimers(200*ms, 0.1, 0)...)
		if got := findAction(out, ActionPlaceCall, 1) != nil; got != again {
			t.Errorf("outcome %d: call repeated = %v, want %v", outcome, got, again)
		}
		if !again {
			h.requireAction(out, ActionFail, 1)
		}
	}
}
