package endpointhealth

import "fmt"

// Outcome is how a request ended, as far as it is about its server.
type Outcome uint8

// The outcomes.
const (
	Success       Outcome = iota + 1
	ErrorResponse         // it answered that it failed, which may be the request's fault
	Aborted               // it broke off
	TimedOut              // it did not come back in time; that tells of it where its peers do
	Unreachable           // it took nothing
	Inconclusive          // it tells nothing of the server
)

// MeasurementLifetime is after how long what was measured of a server that nothing was sent to says nothing any
// more.
const MeasurementLifetime = 5_000_000

const smooth = 16 // requests over which the mean latency goes

// Done notes the end of a request at a server, which took so long.
func (t *Monitor) Done(m *Endpoint, o Outcome, took, now int64) {
	m.ActiveRequests--
	if o != Inconclusive {
		if m.Requests++; now-m.LastOutcomeAt > MeasurementLifetime {
			m.MeanLatency, m.SuccessRate = 0, 1
		}
		m.LastOutcomeAt = now
	}
	switch o {
	case Success:
		m.SuccessRate += (1 - m.SuccessRate) / smooth
		if m.MeanLatency == 0 {
			m.MeanLatency = float64(max(took, 1))
		}
		m.MeanLatency += (float64(max(took, 1)) - m.MeanLatency) / smooth
		m.window.add(now, false)
	case ErrorResponse, Aborted, TimedOut, Unreachable:
		m.Failures++
		m.SuccessRate -= m.SuccessRate / smooth
		m.window.add(now, true)
	}
	if m.left {
		t.drop(m, now)
		return
	}
	if m.State == Probing {
		t.probeEnded(m, o, now)
		return
	}
	switch o {
	case Success:
		m.fails = 0
	case TimedOut: // once is chance or a crowd; again and again where others are in time is not
		if m.fails++; m.fails >= t.cfg.ConsecutiveFailures && t.late <= t.cfg.FailureRateThreshold/t.cfg.FailureRateFactor {
			t.failed(m, now)
		}
	case Aborted, Unreachable:
		m.fails++
		t.failed(m, now)
	}
}

func (t *Monitor) probeEnded(m *Endpoint, o Outcome, now int64) {
	switch o {
	case Success:
		t.comeBack(m, now, "its probe went well")
	case Inconclusive:
		m.probed = false // another may probe it
	default:
		m.misses++
		t.eject(m, now, "its probe failed")
	}
}

// comeBack has a server that was out warm up.
func (t *Monitor) comeBack(m *Endpoint, now int64, cause string) {
	m.fails, m.misses, m.back = 0, 0, true
	t.set(m, WarmingUp, now, "%s", cause)
}

// failed judges a server by its failures in a row.
func (t *Monitor) failed(m *Endpoint, now int64) {
	switch {
	case m.State != InService && m.State != Suspected && m.State != WarmingUp:
	case m.fails >= t.cfg.ConsecutiveFailures && t.mayEject():
		t.eject(m, now, fmt.Sprintf("%d failures in a row", m.fails))
	case m.State == InService:
		t.set(m, Suspected, now, "it failed")
	}
}

func (t *Monitor) eject(m *Endpoint, now int64, cause string) {
	// One that stays away is asked for now and then, which costs one request. One that comes back
	// and fails again costs many.
	if m.back {
		m.times++
	}
	m.until = now + min(t.cfg.BaseEjectionTime<<min(m.times+m.misses/4, 20), t.cfg.MaxEjectionTime)
	m.fails, m.probed, m.back = 0, false, false
	t.set(m, Ejected, now, "%s, for %d ms", cause, (m.until-now)/1000)
}

// mayEject tells whether one more may be out: with too many out the rest would fall in turn.
func (t *Monitor) mayEject() bool {
	return float64(t.out+1) <= t.cfg.MaxEjectedShare*float64(len(t.roster.Endpoints))
}

// judgeLatency ejects a server that has been much slower than its peers for a while. One that warms
// up may be.
func (t *Monitor) judgeLatency(m *Endpoint, now int64) {
	if t.cfg.LatencyFactor == 0 || len(t.sorted) < 3 || m.State == WarmingUp {
		return
	}
	median := t.sorted[len(t.sorted)/2]
	if m.MeanLatency <= t.cfg.LatencyFactor*median || m.MeanLatency-median < float64(t.cfg.MinLatencyExcess) {
		m.slow = 0
		return
	}
	if m.slow++; m.slow >= t.cfg.SlowIntervals && t.mayEject() {
		slow := m.MeanLatency
		m.MeanLatency = 0 // it is measured anew when it is back
		t.eject(m, now, fmt.Sprintf("%.0f ms are too slow beside %.0f of its peers", slow/1000, median/1000))
	}
}
