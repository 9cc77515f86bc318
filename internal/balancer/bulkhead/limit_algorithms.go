package bulkhead

import (
	"math"

	"ryepaddle/internal/balancer/concurrencylimit"
)

// LimitAlgorithm is the name of an algorithm that adapts the limit to the latency. The operator's file
// uses the same names.
type LimitAlgorithm string

// The algorithms. They use the same windows and the same latency ratio.
const (
	// FixedLimit keeps the limit at InitialLimit.
	FixedLimit LimitAlgorithm = "fixed"
	// AIMDLimit increases additively and decreases multiplicatively, as the congestion control of
	// TCP does.
	AIMDLimit LimitAlgorithm = "additive"
	// GradientLimit multiplies the limit by the ratio of the best latency to the current one, and
	// adds the square root of the limit (Netflix concurrency-limits).
	GradientLimit LimitAlgorithm = "gradient"
	// VegasLimit adjusts the limit by an estimate of how many requests wait at the servers, as TCP
	// Vegas does for packets.
	VegasLimit LimitAlgorithm = "queue"
	// ThroughputLimit sets the limit to the slots that the highest recent throughput needs at the
	// best latency (Little's law), plus a margin.
	ThroughputLimit LimitAlgorithm = "rate"
)

// LimitAlgorithms lists all algorithms.
var LimitAlgorithms = []LimitAlgorithm{FixedLimit, AIMDLimit, GradientLimit, VegasLimit, ThroughputLimit}

const (
	// latencyTolerance is the latency ratio up to which a latency counts as good as the best one.
	latencyTolerance = 1.5
	// errorBounds is by how many standard errors the latency ratio must exceed a threshold to count as
	// above it.
	errorBounds = 2
	// smoothing is the part of the difference to its target by which the limit moves in one window.
	smoothing = 0.3

	aimdIncrease = 1.0 // slots
	aimdBackoff  = 0.9 // factor of the limit

	minLatencyRatio = 0.01 // lower bound of the latency ratio, by which latencyTolerance is divided

	// The Vegas step, in slots, is the decimal logarithm of the limit (at least vegasMinLimit) times
	// vegasStepFactor. The limit grows by a step while fewer than vegasLow steps of requests wait, and
	// falls by a step while more than vegasHigh steps wait.
	vegasMinLimit   = 10
	vegasStepFactor = 2
	vegasLow        = 3
	vegasHigh       = 6

	demandWindows    = 20  // number of the last windows whose highest demand counts
	throughputMargin = 1.3 // factor of the highest demand
)

// targetByAlgorithm returns the limit that an algorithm computes after a window with a known latency
// ratio. The ratio is reduced by its uncertainty, so that chance alone does not count as a higher
// latency.
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
	if ratio <= latencyTolerance { // without a queue there is no reason to lower the limit
		target = max(target, l.limit)
	}
	return l.limit + (target-l.limit)*smoothing
}
