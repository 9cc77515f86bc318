package admission

import (
	"math"
	"testing"
	"time"
)

// The pool grows by equation (1) of Breakwater, and it is cut by equation (2) only while the cores are
// busy.
func TestCreditPoolFollowsBreakwaterEquations(t *testing.T) {
	h := newHarness(t, nil)
	before := h.ctl.credit.size
	h.runTimers(controlPeriod, 0.1, 0)
	if got := h.ctl.credit.size; got != before+1 { // equation (1) with A = max(alpha n_c, 1)
		t.Fatalf("credit pool = %v after a control period without load, want %v", got, before+1)
	}
	for id := uint64(1); id <= 40; id++ {
		h.advance(0, h.arrival(id, 2))
	}
	h.runTimers(600*ms, 0.5, 8)
	grown := h.ctl.credit.size
	h.runTimers(300*ms, 1, 8)
	if h.ctl.credit.size >= grown { // equation (2), only while the CPU gauge is over 0.9
		t.Fatalf("credit pool = %v while the cores are busy, want less than %v", h.ctl.credit.size, grown)
	}
	h.requireAction(h.advance(0, h.arrival(99, 2)), ActionReject, 99)
}

// Unused credit does not accumulate: callers would spend it all at once, and cutting it takes several
// control periods.
func TestCreditPoolStaysNearItsUse(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MaxRunningPerCore = 20 })
	most := 2 * float64(h.ctl.settings.Cores)
	h.runTimers(10*time.Second, 0.1, 0)
	if h.ctl.credit.size > most {
		t.Errorf("credit pool = %v without any load, want at most 2 per core", h.ctl.credit.size)
	}
	for id := uint64(1); id <= 8; id++ {
		h.advance(0, h.arrival(id, 0))
		h.advance(0, blocked(id))
	}
	if h.runTimers(time.Second, 0.1, 0); !(h.ctl.credit.size > most) {
		t.Errorf("credit pool = %v with eight requests at calls, want more than 2 per core", h.ctl.credit.size)
	}
}

// A server that warms up advertises to all its callers together no more than its pool, even before it
// has seen them all. Once warm it advertises the whole pool.
func TestWarmingUpCreditCountsUnseenCallers(t *testing.T) {
	const callers = 30
	h := newHarness(t, func(s *Settings) { s.WarmingUp, s.Callers = true, callers })
	sum, advertised := 0.0, h.ctl.credit.advertised
	for id := uint64(1); id <= callers; id++ {
		e := h.arrival(id, 0)
		e.Caller = uint32(id)
		out := h.advance(20*ms, e, timerEvent(0.1, 1), completed(id))
		if a := findAction(out, ActionAdvertise, 0); a != nil {
			advertised = a.Value
		}
		sum += advertised
	}
	if most := float64(h.ctl.settings.Cores) * 2; sum > most {
		t.Errorf("thirty callers got a credit of %v together, want at most twice the initial pool of %d",
			sum, h.ctl.settings.Cores)
	}
	h.runTimers(2*callerActiveTime, 0.1, 1)
	want := h.ctl.credit.size / float64(max(h.ctl.callers.active, 1))
	if math.Abs(h.ctl.credit.advertised-want) > 2*h.ctl.parameters.AdvertiseStep*want {
		t.Errorf("advertised credit once warm = %v, want %v", h.ctl.credit.advertised, want)
	}
}

// A low delay target sends requests to servers with capacity. If all servers reject requests, it only
// makes them read more requests, so the target rises with the rejected share.
func TestDelayTargetRisesWithRejectedShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[2].LatencyObjective = 2 * time.Second })
	target := func(rejectedShare, cpu float64) time.Duration {
		h.ctl.arrivals.rejectedShare = rejectedShare
		h.advance(0, timerEvent(cpu, 1))
		return h.ctl.delayTarget(2)
	}
	least, half, idleCores := target(0, 1), target(fullRejectedShare/2, 1), target(0, 0.1)
	if most := target(1, 1); most != 800*ms || idleCores != most || least != 600*ms ||
		!(least < half && half < most) {
		t.Errorf("delay targets for rising rejected shares = %v, %v, %v, want 600ms, a value between, 800ms",
			least, half, most)
	}
}
