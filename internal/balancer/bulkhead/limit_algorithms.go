package bulkhead

import (
	"math"

	"ryepaddle/internal/balancer/concurrencylimit"
)

// LimitAlgorithm is an algorithm by which the limit follows the latency, by its name in the
// operator's file.
type LimitAlgorithm string

// The algorithms. All of them use the same windows.
const (
	// FixedLimit stays at InitialLimit.
	FixedLimit LimitAlgorithm = "fixed"
	// AIMDLimit increases additively and decreases multiplicatively, as the congestion control of
	// TCP does.
	AIMDLimit LimitAlgorithm = "additive"
	// GradientLimit multiplies the limit by the ratio of the best latency to the current one, and
	// adds its square root (Netflix concurrency-limits).
	GradientLimit LimitAlgorithm = "gradient"
	// VegasLimit estimates how many requests wait at the servers, as TCP Vegas does for packets.
	VegasLimit LimitAlgorithm = "queue"
	// ThroughputLimit is what the best recent throughput needs at the best latency, and a part
	// more (Little's law).
	ThroughputLimit LimitAlgorithm = "rate"
)

// LimitAlgorithms lists all algorithms.
var LimitAlgorithms = []LimitAlgorithm{FixedLimit, AIMDLimit, GradientLimit, VegasLimit, ThroughputLimit}

const (
	// latencyTolerance is how many times the best latency is still as good as the best.
	latencyTolerance = 1.5
	// errorBounds is how many standard errors the latency ratio must be above a threshold.
	errorBounds = 2
	// smoothing is the part of the way to its target that the limit goes in one window.
	smoothing = 0.3

	aimdIncrease = 1.0 // slots
	aimdBackoff  = 0.9

	minLatencyRatio = 0.01 // bounds the ratio by which the gradient is divided

	// The Vegas step is the decimal logarithm of the limit (at least vegasMinLimit) times
	// vegasStepFactor. The limit grows while fewer than vegasLow steps of requests wait, and falls
	// while more than vegasHigh do.
	vegasMinLimit   = 10
	vegasStepFactor = 2
	vegasLow        = 3
	vegasHigh       = 6

	demandWindows    = 20  // windows of which the highest demand counts
	throughputMargin = 1.3 // times what that demand needs
)

// targetByAlgorithm returns where an algorithm moves the limit after a window with a known latency
// ratio. Latency counts as higher only beyond its uncertainty.
func (l *adaptiveLimit) targetByAlgorithm(algorithm LimitAlgorithm, w *limitWindow) float64 {
	ratio := w.ratio - errorBounds*w.ratioError
	switch algorithm {
	case AIMDLimit:
		return l.aimdTarget(ratio)
	case GradientLimit:
		return l.gradientTarget(ratio)
	case VegasLimit:
		return l.vegasTarget(ratio)
	case ThroughputLimit:
		return l.throughputTarget(ratio)
	}
	return l.limit
}

func (l *adaptiveLimit) aimdTarget(ratio float64) float64 {
	if ratio > latencyTolerance {
		return l.limit * aimdBackoff
	}
	return l.limit + aimdIncrease
}

func (l *adaptiveLimit) gradientTarget(ratio float64) float64 {
	gradient := latencyTolerance / max(ratio, minLatencyRatio)
	target := concurrencylimit.GradientTarget(l.limit, gradient)
	return l.limit + (target-l.limit)*smoothing
}

func (l *adaptiveLimit) vegasTarget(ratio float64) float64 {
	step := math.Log10(max(l.limit, vegasMinLimit)) * vegasStepFactor
	waiting := l.limit * (1 - 1/max(ratio, 1))
	switch {
	case waiting < vegasLow*step:
		return l.limit + step
	case waiting > vegasHigh*step:
		return l.limit - step
	}
	return l.limit
}

func (l *adaptiveLimit) throughputTarget(ratio float64) float64 {
	highest := 0.0
	for _, demand := range l.demand {
		highest = max(highest, demand)
	}
	target := highest*throughputMargin + math.Sqrt(l.limit)
	if ratio <= latencyTolerance { // without a queue there is no reason for fewer slots
		target = max(target, l.limit)
	}
	return l.limit + (target-l.limit)*smoothing
}
