package endpointhealth

import (
	"fmt"
	"slices"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// MeasurementLifetime is how long the measurements of an endpoint hold after its last outcome.
const MeasurementLifetime = 5 * time.Second

const (
	// smoothing is the window of the moving means of an endpoint, in requests.
	smoothing = 16
	// minLatencyPeers is how many endpoints must have a mean latency for their median to be used.
	minLatencyPeers = 3
	// probesPerBackoff is how many probes in a row must fail for the ejection time to double. It is
	// above 1 as a failed probe of an endpoint that stays down costs one request, while an endpoint
	// that recovers and fails again costs many.
	probesPerBackoff = 4
	microsPerMs      = 1000
	// maxBackoffDoublings bounds how often the ejection time doubles.
	maxBackoffDoublings = 20
)

// Sent reports a request that was sent to an endpoint.
func (m *Monitor) Sent(e *Endpoint) {
	e.ActiveRequests++
	e.probeSent = e.probeSent || e.State == Probing
}

// Done reports the end of a request at an endpoint, which took the given time.
func (m *Monitor) Done(e *Endpoint, outcome Outcome, took, now time.Duration) {
	e.ActiveRequests--
	e.record(outcome, took, now)
	if e.unlisted {
		m.forgetDrained(e, now)
		return
	}
	if e.State == Probing {
		m.probeDone(e, outcome, now)
		return
	}
	switch outcome {
	case Success:
		e.consecutiveFailures = 0
	case TimedOut: // a single timeout may be chance, or due to overload of all endpoints
		e.consecutiveFailures++
		if e.consecutiveFailures >= m.cfg.ConsecutiveFailures && m.overallFailureRateIsLow() {
			m.evaluateFailures(e, now)
		}
	case Aborted, Unreachable:
		e.consecutiveFailures++
		m.evaluateFailures(e, now)
	}
}

// record adds an outcome to the measurements of the endpoint.
func (e *Endpoint) record(outcome Outcome, took, now time.Duration) {
	if outcome != Inconclusive {
		e.Requests++
		if now-e.LastOutcomeAt > MeasurementLifetime {
			e.MeanLatency = 0
			e.SuccessRate = 1
		}
		e.LastOutcomeAt = now
	}
	switch outcome {
	case Success:
		micros := latency.Micros(latency.AtLeastOneMicrosecond(took))
		if e.MeanLatency == 0 {
			e.MeanLatency = micros
		}
		e.MeanLatency = latency.Smooth(e.MeanLatency, micros, smoothing)
		e.SuccessRate = latency.Smooth(e.SuccessRate, 1, smoothing)
		e.window.addSuccess(now)
	case ErrorResponse, Aborted, TimedOut, Unreachable:
		e.Failures++
		e.SuccessRate = latency.Smooth(e.SuccessRate, 0, smoothing)
		e.window.addFailure(now)
	}
}

// overallFailureRateIsLow reports whether so few requests to all endpoints fail that timeouts in a row
// are due to the endpoint itself.
func (m *Monitor) overallFailureRateIsLow() bool {
	return m.failureRate <= m.cfg.FailureRateThreshold/m.cfg.FailureRateFactor
}

// evaluateFailures ejects an endpoint that has failed too often in a row, or marks it as suspected.
func (m *Monitor) evaluateFailures(e *Endpoint, now time.Duration) {
	switch {
	case !e.State.takesRequests():
	case e.consecutiveFailures >= m.cfg.ConsecutiveFailures && m.mayEject():
		m.eject(e, now, fmt.Sprintf("%d failures in a row", e.consecutiveFailures))
	case e.State == InService:
		m.setState(e, Suspected, now, "a request failed")
	}
}

// mayEject reports whether MaxEjectedShare allows one more ejection. With too many endpoints ejected
// the others would be overloaded and fail in turn.
func (m *Monitor) mayEject() bool {
	return float64(m.ejected+1) <= m.cfg.MaxEjectedShare*float64(len(m.list.Endpoints))
}

func (m *Monitor) eject(e *Endpoint, now time.Duration, cause string) {
	if e.recovered {
		e.repeatedEjections++
	}
	doublings := min(e.repeatedEjections+e.failedProbes/probesPerBackoff, maxBackoffDoublings)
	ejectionTime := min(m.cfg.BaseEjectionTime<<doublings, m.cfg.MaxEjectionTime)
	e.ejectedUntil = now + ejectionTime
	e.consecutiveFailures = 0
	e.probeSent = false
	e.recovered = false
	m.setState(e, Ejected, now, fmt.Sprintf("%s; ejected for %d ms", cause, ejectionTime.Milliseconds()))
}

// NextProbe returns an endpoint that waits for a request to probe it, or nil. retryable says whether
// the request may be retried if the probe fails. A request that may not be retried probes only an
// endpoint that has waited for MaxProbeWait.
func (m *Monitor) NextProbe(retryable bool, now time.Duration) *Endpoint {
	for _, e := range m.probing {
		if !e.probeSent && (retryable || now-e.StateSince >= m.cfg.MaxProbeWait) {
			return e
		}
	}
	return nil
}

// EarliestProbe returns the earliest monotonic time at which an ejected endpoint may be probed; 0: no
// endpoint is ejected.
func (m *Monitor) EarliestProbe() (at time.Duration) {
	for _, e := range m.list.Endpoints {
		if e.State == Ejected && (at == 0 || e.ejectedUntil < at) {
			at = e.ejectedUntil
		}
	}
	return at
}

func (m *Monitor) probeDone(e *Endpoint, outcome Outcome, now time.Duration) {
	switch outcome {
	case Success:
		m.startRecovery(e, now, "its probe succeeded")
	case Inconclusive:
		e.probeSent = false // another request may probe it
	default:
		e.failedProbes++
		m.eject(e, now, "its probe failed")
	}
}

// startRecovery moves an endpoint that was ejected to WarmingUp.
func (m *Monitor) startRecovery(e *Endpoint, now time.Duration, cause string) {
	e.consecutiveFailures = 0
	e.failedProbes = 0
	e.recovered = true
	m.setState(e, WarmingUp, now, cause)
}

// ejectOutliers compares each endpoint with its peers by the outcomes in the outlier window, and
// ejects outliers.
func (m *Monitor) ejectOutliers(now time.Duration) {
	all := m.measurePeers(now)
	for _, e := range m.list.Endpoints {
		if e.State.takesRequests() {
			m.evaluateOutlier(e, all, now)
		}
	}
}

// measurePeers updates failureRate and peerLatencies, and returns the outcomes of all endpoints in the
// outlier window.
func (m *Monitor) measurePeers(now time.Duration) (all outcomeCounts) {
	m.peerLatencies = m.peerLatencies[:0]
	for _, e := range m.list.Endpoints {
		own := e.window.sum(now)
		all.successes += own.successes
		all.failures += own.failures
		if e.State == InService && own.total() >= m.cfg.MinRequests && e.MeanLatency > 0 {
			m.peerLatencies = append(m.peerLatencies, e.MeanLatency)
		}
	}
	slices.Sort(m.peerLatencies)
	m.failureRate = all.failureRate()
	return all
}

// evaluateOutlier ejects an endpoint that is an outlier by failures or by latency. all holds the
// outcomes of all endpoints, including this one.
func (m *Monitor) evaluateOutlier(e *Endpoint, all outcomeCounts, now time.Duration) {
	own := e.window.sum(now)
	if own.total() < m.cfg.MinRequests {
		e.slowIntervals = 0
		return
	}
	peers := outcomeCounts{all.successes - own.successes, all.failures - own.failures}
	if m.isFailureOutlier(own, peers) && m.mayEject() {
		m.eject(e, now, fmt.Sprintf("%d of its %d requests failed, and %.0f%% of those of its peers",
			own.failures, own.total(), 100*peers.failureRate()))
		return
	}
	m.evaluateLatency(e, now)
}

func (m *Monitor) isFailureOutlier(own, peers outcomeCounts) bool {
	rate := own.failureRate()
	return rate >= m.cfg.FailureRateThreshold && rate >= m.cfg.FailureRateFactor*peers.failureRate()
}

// evaluateLatency ejects an endpoint that has been a latency outlier for SlowIntervals ticks in a row. An
// endpoint that is warming up may be slow, and is not ejected for that.
func (m *Monitor) evaluateLatency(e *Endpoint, now time.Duration) {
	if m.cfg.LatencyFactor == 0 || len(m.peerLatencies) < minLatencyPeers || e.State == WarmingUp {
		return
	}
	median := m.peerLatencies[len(m.peerLatencies)/2]
	mean := e.MeanLatency
	if mean <= m.cfg.LatencyFactor*median || mean-median < latency.Micros(m.cfg.MinLatencyExcess) {
		e.slowIntervals = 0
		return
	}
	e.slowIntervals++
	if e.slowIntervals >= m.cfg.SlowIntervals && m.mayEject() {
		e.MeanLatency = 0 // to be measured again once it has recovered
		m.eject(e, now, fmt.Sprintf("its mean latency of %.0f ms is too high beside %.0f ms, the median of its peers",
			mean/microsPerMs, median/microsPerMs))
	}
}
