package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The best call time of a few short calls expires as other calls follow. Otherwise calls of the usual
// length would be taken for congestion.
func TestBestCallTimeRisesWithLaterCalls(t *testing.T) {
	h := newHarness(t, nil)
	h.completeCalls(1, 20, 8*ms) // shorter than usual by chance
	most := h.ctl.calls.limit
	for id := uint64(100); id < 900; id++ { // 20 per control period
		h.advance(0, h.arrival(id, 0))
		h.advance(0, blocked(id))
		h.advance(0, Event{Kind: EventCallCompleted, Request: id, Outcome: OutcomeOK, Elapsed: 20 * ms})
		h.advance(controlPeriod/20, completed(id), timerEvent(0.5, 1))
	}
	if h.ctl.calls.limit < most {
		t.Errorf("call limit = %v, want at least %v as before the usual calls", h.ctl.calls.limit, most)
	}
}

// A call whose connection broke after a long silence does not count as a slow call.
func TestBrokenCallIsNotTakenForCongestion(t *testing.T) {
	h := newHarness(t, nil)
	h.completeCalls(1, 20, 30*ms)
	mean, limit := h.ctl.calls.times.meanSeconds, h.ctl.calls.limit
	h.advance(0, h.arrival(100, 0))
	h.requireAction(h.advance(0, blocked(100)), ActionPlaceCall, 100)
	lost := Event{Kind: EventCallCompleted, Request: 100, Outcome: OutcomeConnectionLost, Elapsed: 800 * ms}
	h.advance(800*ms, lost)
	h.requireAction(h.runTimers(callBackoff+controlPeriod, 0.5, 1), ActionPlaceCall, 100)
	if h.ctl.calls.times.meanSeconds != mean || h.ctl.calls.limit < limit {
		t.Errorf("mean call time = %v s, call limit = %v, want %v s and at least %v",
			h.ctl.calls.times.meanSeconds, h.ctl.calls.limit, mean, limit)
	}
}

// The best call time is not taken from a mean of a few calls that is low by chance. Compared with it
// calls of the usual length would look slow, and a server with few calls per second would limit its
// calls for good.
func TestBestCallTimeIgnoresRandomLows(t *testing.T) {
	limited := 0
	for seed := range uint64(40) {
		h, r := newHarness(t, func(s *Settings) { s.CallQuota = 20 }), rand.New(rand.NewPCG(seed, 1))
		most := h.ctl.calls.limit
		for id := uint64(1); id <= 200; id++ {
			h.completeCalls(id, 1, time.Duration(190*r.ExpFloat64())*ms)
		}
		if h.ctl.calls.limit < 0.9*most {
			limited++
		}
	}
	if limited > 1 {
		t.Errorf("with %d of 40 seeds the call limit fell at the usual call times, want at most 1", limited)
	}
}

// The call limit falls while calls take far longer than the best call time.
func TestCongestedDependencyGetsFewerCalls(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 20 })
	most := h.ctl.calls.limit
	h.completeCalls(1, 10, 50*ms)
	h.completeCalls(11, 50, 800*ms)
	if h.ctl.calls.limit > most/2 {
		t.Fatalf("call limit = %v, want at most half of the initial %v", h.ctl.calls.limit, most)
	}
}

// One short first call is not taken for the usual call time; otherwise every later call would look
// like congestion.
func TestShortFirstCallDoesNotLowerCallLimit(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 20 })
	most := h.ctl.calls.limit
	h.completeCalls(1, 1, ms)
	h.completeCalls(2, 80, 30*ms)
	if h.ctl.calls.limit < most {
		t.Fatalf("call limit = %v, want at least the initial %v", h.ctl.calls.limit, most)
	}
}

// A dependency that is slow for another reason than congestion still gets as many calls as it works
// on at once.
func TestCallLimitKeepsMinimumForSlowDependency(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 20 })
	h.completeCalls(1, 10, 50*ms)
	h.completeCalls(11, 90, 800*ms)
	if want := defaultParameters.MinCallLimitShare * 20; h.ctl.calls.limit != want {
		t.Fatalf("call limit = %v, want %v", h.ctl.calls.limit, want)
	}
}

// Calls that are rejected at once do not show how long calls take.
func TestRejectedCallDoesNotCountAsFast(t *testing.T) {
	h := newHarness(t, nil)
	for id := uint64(1); id <= 20; id++ {
		h.advance(0, h.arrival(id, 0))
		h.advance(0, blocked(id))
		outcome, took := OutcomeOK, 400*ms
		if id > 2 {
			outcome, took = OutcomeRejected, ms
		}
		h.advance(0, Event{Kind: EventCallCompleted, Request: id, Outcome: outcome, Elapsed: took})
		h.advance(0, abandoned(id), cancelled(id))
	}
	if h.ctl.calls.times.meanSeconds < 0.39 {
		t.Fatalf("mean call time = %v s, want 0.4 s, without the rejected calls", h.ctl.calls.times.meanSeconds)
	}
}

// hangingDependency is a dependency whose calls all hang until they time out. It goes on working on
// them for AbandonedCallTime after that.
type hangingDependency struct {
	*harness
	placedAt, endsAt map[uint64]time.Duration // calls in flight
	placed           int
}

// carryOut carries out actions: every run calls the dependency and ends when its request fails.
func (d *hangingDependency) carryOut(out []Action) {
	for _, a := range out {
		switch a.Kind {
		case ActionPlaceCall:
			d.placedAt[a.Request], d.endsAt[a.Request] = d.now, d.now+a.Duration
			d.placed++
		case ActionStart:
			d.carryOut(d.advance(0, blocked(a.Request)))
		case ActionFail: // the run ends while it waits for its call
			d.carryOut(d.advance(0, cancelled(a.Request)))
		}
	}
}

// step times out the calls whose timeout ended since the step before, which was length ago, and
// returns the number of calls that the dependency works on.
func (d *hangingDependency) step(length time.Duration) (busy float64) {
	for id, end := range d.endsAt {
		busy++
		if d.now >= end && d.now < end+length {
			elapsed := d.now - d.placedAt[id]
			timedOut := Event{Kind: EventCallCompleted, Request: id, Outcome: OutcomeTimedOut, Elapsed: elapsed}
			d.carryOut(d.advance(0, timedOut))
		}
		if d.now >= end+d.ctl.settings.AbandonedCallTime {
			delete(d.endsAt, id)
		}
	}
	return busy
}

// maxMean is the largest mean of window consecutive values.
func maxMean(values []float64, window int) (most float64) {
	for i := range len(values) - window {
		sum := 0.0
		for _, v := range values[i : i+window] {
			sum += v
		}
		most = max(most, sum/float64(window))
	}
	return most
}

// A quota of less than one call is kept as a mean over time, even while every call hangs until it
// times out, and calls are placed nevertheless.
func TestFractionalCallQuotaIsShareOfTime(t *testing.T) {
	const length = 20 * ms // of a step
	for quota, abandonedTime := range map[float64]time.Duration{0.05: 10 * ms, 0.3: 100 * ms, 0.9: 200 * ms} {
		d := &hangingDependency{
			harness: newHarness(t, func(s *Settings) {
				s.CallQuota, s.AbandonedCallTime = quota, abandonedTime
				s.Classes[0].DegradedWeightFraction = 0
			}),
			placedAt: map[uint64]time.Duration{},
			endsAt:   map[uint64]time.Duration{},
		}
		busy := make([]float64, 6000) // calls that the dependency works on, by step
		for i := range busy {
			d.carryOut(d.advance(length, d.arrival(uint64(i+1), 0), timerEvent(0.3, 1)))
			busy[i] = d.step(length)
		}
		most := maxMean(busy, int(d.ctl.settings.CallQuotaWindow/length))
		if most > quota || d.placed < 3 {
			t.Errorf("quota %v: mean calls in flight = %v, calls placed = %d, want at most the quota, and at least 3",
				quota, most, d.placed)
		}
	}
}

// With a quota of less than one call, a call still gets the time that a slow dependency takes. A call
// that times out just before its end loads the dependency for nothing.
func TestSmallCallQuotaAllowsSlowCall(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota, s.Classes[0].LatencyObjective = 0.6, 2400*ms })
	h.advance(0, h.arrival(1, 1)) // of the keyed class, which has no answer without the call
	if got := h.requireAction(h.advance(ms, blocked(1)), ActionPlaceCall, 1).Duration; got < time.Second {
		t.Fatalf("timeout of the call = %v, want at least 1s", got)
	}
}

// An abandoned call is charged to the budget while the dependency may work on it, and no longer.
func TestAbandonedCallIsChargedOnce(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.CallQuota = 0.4 })
	call := func(id uint64) []Action {
		h.advance(0, h.arrival(id, 2))
		return h.advance(0, blocked(id))
	}
	a := h.requireAction(call(1), ActionPlaceCall, 1)
	timedOut := Event{Kind: EventCallCompleted, Request: 1, Outcome: OutcomeTimedOut, Elapsed: a.Duration}
	h.advance(a.Duration, timedOut)
	h.runTimers(30*time.Second, 0.1, 0)
	h.requireAction(call(2), ActionPlaceCall, 2)
}
