// Package concurrencylimit implements an adaptive concurrency limit for one server: it estimates how
// many requests the server can process at once. The policy is the gradient algorithm of Netflix's
// concurrency-limits library (GradientLimit) and of Envoy's adaptive concurrency filter. It does no
// I/O; package picker, which keeps a limit for each server, reports the latency and the end of each
// request.
//
// At the end of each window the limit is multiplied by the ratio of the best latency to the mean
// latency of the window. A server whose latency rises with its load gets a lower limit. A server
// whose latency does not rise gets a limit that is higher by the square root of the limit, as long
// as the limit is used. A rise within the tolerance does not count.
//
// The best latency is measured again from time to time: under steady load the time that requests
// spend in a queue would otherwise come to count as the server's own latency. For that the limit is
// halved for two windows, and the mean latency of the second one, when the queue has drained, is the
// new best latency.
package concurrencylimit

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// Config holds the parameters of a limit.
type Config struct {
	Initial    int           // requests; the limit of a server that has not been measured; default 8
	Min        int           // requests; the limit never falls below it; default 2
	Max        int           // requests; the limit never rises above it
	MinWindow  time.Duration // minimum duration of a window; default 500 ms
	MinSamples int           // minimum number of requests that end in a window; default 30
	// LatencyTolerance is the factor by which a latency may exceed the best one without effect;
	// default 1.5.
	LatencyTolerance float64
	BackoffRatio     float64 // factor of the limit after a window with overload; default 0.8
	// Smoothing is the part of the difference to its target by which the limit moves in one window,
	// 0 to 1; default 0.3.
	Smoothing     float64
	ProbeInterval int // windows after which the best latency is measured again; default 40
}

// DefaultConfig returns the default parameters, with maxRequests as the upper bound of the limit.
func DefaultConfig(maxRequests int) Config {
	return Config{
		Initial:          min(8, maxRequests),
		Min:              min(2, maxRequests),
		Max:              maxRequests,
		MinWindow:        500 * time.Millisecond,
		MinSamples:       30,
		LatencyTolerance: 1.5,
		BackoffRatio:     0.8,
		Smoothing:        0.3,
		ProbeInterval:    40,
	}
}

const (
	// measureWindows is for how many windows the limit is halved to measure the best latency. The
	// first of them still sees the queue of the time before.
	measureWindows = 2
	// measureGiveUp is the number of probe intervals since the last measurement after which a
	// measurement in which no request succeeds is given up.
	measureGiveUp = 2
	// minGradient is the lowest factor of the limit in one window.
	minGradient = 0.5
	// overloadDivisor: a window with more than one overloaded request for this number of successes
	// lowers the limit.
	overloadDivisor = 10
)

// Limit is the concurrency limit of one server. It is used by one goroutine.
type Limit struct {
	limit     float64
	minimum   int
	best      latency.Best
	measuring bool // the limit is halved, to measure the best latency
	windows   int  // number of windows since the best latency was measured

	// Of the current window:
	windowStart time.Duration // monotonic; 0: no request has ended yet
	latencySum  float64       // sum over the requests that succeeded, in microseconds
	succeeded   int           // requests
	overloaded  int           // requests
	peak        int           // most requests in flight at once
}

// New returns the limit of a server that has not been measured.
func New(cfg *Config) Limit { return Limit{limit: float64(cfg.Initial), minimum: cfg.Min} }

// Current returns how many requests the server may have in flight now.
func (l *Limit) Current() int {
	if l.measuring {
		return max(int(l.limit/2), l.minimum)
	}
	return int(l.limit)
}

// Sent reports a request that was sent. inFlight is the number of requests in flight, this one
// included.
func (l *Limit) Sent(inFlight int) { l.peak = max(l.peak, inFlight) }

// Succeeded reports a request that succeeded at the monotonic time now, and its latency.
func (l *Limit) Succeeded(cfg *Config, took, now time.Duration) {
	l.latencySum += latency.Micros(latency.AtLeastOneMicrosecond(took))
	l.succeeded++
	l.requestEnded(cfg, now)
}

// Overloaded reports a request that failed at the monotonic time now by a timeout or a broken
// connection, which count as signs of overload.
func (l *Limit) Overloaded(cfg *Config, now time.Duration) {
	l.overloaded++
	l.requestEnded(cfg, now)
}

// requestEnded ends the window if it is long enough and has enough samples.
func (l *Limit) requestEnded(cfg *Config, now time.Duration) {
	if l.windowStart == 0 {
		l.windowStart = now
	}
	if now-l.windowStart >= cfg.MinWindow && l.succeeded+l.overloaded >= cfg.MinSamples {
		l.endWindow(cfg)
		l.startWindow(now)
	}
}

func (l *Limit) startWindow(now time.Duration) {
	l.windowStart = now
	l.latencySum = 0
	l.succeeded = 0
	l.overloaded = 0
	l.peak = 0
}

// endWindow adjusts the limit at the end of a window, or starts or ends the measurement of the best
// latency.
func (l *Limit) endWindow(cfg *Config) {
	mean := 0.0
	if l.succeeded > 0 {
		mean = l.latencySum / float64(l.succeeded)
	}
	l.windows++
	switch {
	case l.measuring:
		l.measure(cfg, mean)
		return
	case l.windows >= cfg.ProbeInterval && l.isHalfUsed():
		l.measuring = true
		return
	}
	target := l.target(cfg, mean)
	l.limit += (target - l.limit) * cfg.Smoothing
	l.clamp(cfg)
}

// measure ends the measurement of the best latency once the queue has drained, or once no request has
// succeeded for too long.
func (l *Limit) measure(cfg *Config, mean float64) {
	if mean > 0 && l.windows >= cfg.ProbeInterval+measureWindows {
		l.best.Micros = mean
		l.stopMeasuring()
	} else if l.windows >= measureGiveUp*cfg.ProbeInterval {
		l.stopMeasuring()
	}
}

func (l *Limit) stopMeasuring() {
	l.measuring = false
	l.windows = 0
}

// target returns the value towards which a window moves the limit. mean is the mean latency of the
// window in microseconds; 0: no request succeeded.
func (l *Limit) target(cfg *Config, mean float64) float64 {
	target := l.limit
	if mean > 0 {
		l.best.Learn(mean, l.isHalfUsed()) // there is no queue while less than half of the limit is used
		target = GradientTarget(l.limit, cfg.LatencyTolerance*l.best.Micros/mean)
	}
	if l.overloaded*overloadDivisor > l.succeeded {
		target = min(target, l.limit*cfg.BackoffRatio)
	}
	// While less than half of the limit is used, nothing shows what a higher limit would do.
	if target > l.limit && !l.isHalfUsed() {
		target = l.limit
	}
	return target
}

// GradientTarget returns the limit of the gradient algorithm after a window. The gradient is the
// ratio of the accepted latency to the mean latency of the window, and is clamped to 0.5 to 1. At 1
// the limit grows by its square root.
func GradientTarget(limit, gradient float64) float64 {
	gradient = min(max(gradient, minGradient), 1)
	target := limit * gradient
	if gradient == 1 {
		target += math.Sqrt(limit)
	}
	return target
}

// isHalfUsed reports whether half of the limit was in use at some time of the current window.
func (l *Limit) isHalfUsed() bool { return float64(l.peak) >= l.limit/2 }

// ApplyBounds moves the limit into the bounds of cfg, which may have changed.
func (l *Limit) ApplyBounds(cfg *Config) {
	l.minimum = cfg.Min
	l.clamp(cfg)
}

func (l *Limit) clamp(cfg *Config) {
	l.limit = min(max(l.limit, float64(cfg.Min)), float64(cfg.Max))
}
