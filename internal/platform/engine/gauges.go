package engine

import (
	"strconv"

	"ryepaddle/internal/lifecycle"
)

// Gauges measures the machine and calls fn once: with the gauges of the engine's response or, if that
// takes longer than gaugesTimeout, with the last gauges, or with unknown gauges if those are older
// than maxGaugesAge.
func (link *Link) Gauges(fn func(lifecycle.Gauges)) {
	if link.state != stateLive {
		fn(lifecycle.UnknownGauges())
		return
	}
	link.onGauges = func() {
		if link.loop.Now()-link.gaugesAt > maxGaugesAge {
			fn(lifecycle.UnknownGauges())
			return
		}
		fn(link.gauges)
	}
	link.sendProbe()
	link.gaugesTimer = link.loop.After(gaugesTimeout, link.deliverGauges)
}

// deliverGauges completes the measurement that waits for gauges, if there is one.
func (link *Link) deliverGauges() {
	if fn := link.onGauges; fn != nil {
		link.onGauges = nil
		link.gaugesTimer.Stop()
		fn()
	}
}

// takeGauges handles the response to a probe: it stores the gauges, and drops the pending commands
// that the response proves to have been read.
func (link *Link) takeGauges(m *notice) {
	link.probeSentAt = 0
	link.gauges = link.decodeGauges(m.Gauges)
	link.gaugesAt = link.loop.Now()
	if sequence, err := strconv.ParseInt(m.Mark, 10, 64); err == nil {
		for len(link.pending) > 0 && link.pending[0].sequence <= sequence && link.state == stateLive {
			link.pending = link.pending[1:]
		}
	}
	if link.state == stateCatchingUp {
		link.state = stateLive
		link.resendPending()
		for mark := range link.checks { // their TEST messages may be lost as well
			link.write(probe{Type: typeTest, Mark: mark})
		}
	}
	link.deliverGauges()
}

// Check performs a deep health check and calls done once with its result.
func (link *Link) Check(done func(healthy bool)) {
	if link.state != stateLive {
		done(false)
		return
	}
	link.lastCheck++
	mark := "check" + strconv.FormatInt(link.lastCheck, 10)
	link.checks[mark] = done
	link.write(probe{Type: typeTest, Mark: mark})
	link.loop.After(checkTimeout, func() {
		if done := link.checks[mark]; done != nil {
			delete(link.checks, mark)
			done(false)
		}
	})
}
