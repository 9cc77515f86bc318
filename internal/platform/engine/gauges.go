package engine

import (
	"strconv"

	"ryepaddle/internal/lifecycle"
)

// Gauges measures the machine and calls fn once: with the engine's answer, with gauges of at most
// maxGaugesAge if it is late, or with unknown gauges.
func (k *Link) Gauges(fn func(lifecycle.Gauges)) {
	if k.state != stateLive {
		fn(lifecycle.UnknownGauges())
		return
	}
	k.onGauges = func() {
		if k.loop.Now()-k.gaugesAt > maxGaugesAge {
			fn(lifecycle.UnknownGauges())
			return
		}
		fn(k.gauges)
	}
	k.sendProbe()
	k.gaugesTimer = k.loop.After(gaugesTimeout, k.deliverGauges)
}

// deliverGauges completes the measurement that waits, if there is one.
func (k *Link) deliverGauges() {
	if fn := k.onGauges; fn != nil {
		k.onGauges = nil
		k.gaugesTimer.Stop()
		fn()
	}
}

// takeGauges handles the answer to a probe: the gauges, and the proof that the engine has read the
// commands before it.
func (k *Link) takeGauges(m *notice) {
	k.probeSentAt = 0
	k.gauges, k.gaugesAt = k.decodeGauges(m.Gauges), k.loop.Now()
	if sequence, err := strconv.ParseInt(m.Mark, 10, 64); err == nil {
		for len(k.pending) > 0 && k.pending[0].sequence <= sequence && k.state == stateLive {
			k.pending = k.pending[1:]
		}
	}
	if k.state == stateCatchingUp {
		k.state = stateLive
		k.resendPending()
		for mark := range k.checks { // these may be lost as well
			k.write(probe{Type: typeTest, Mark: mark})
		}
	}
	k.deliverGauges()
}

// Check performs a deep health check and calls done once with its result.
func (k *Link) Check(done func(good bool)) {
	if k.state != stateLive {
		done(false)
		return
	}
	k.lastCheck++
	mark := "check" + strconv.FormatInt(k.lastCheck, 10)
	k.checks[mark] = done
	k.write(probe{Type: typeTest, Mark: mark})
	k.loop.After(checkTimeout, func() {
		if done := k.checks[mark]; done != nil {
			delete(k.checks, mark)
			done(false)
		}
	})
}
