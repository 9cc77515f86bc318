package cluster

import (
	"strings"
	"time"

	"ryepaddle/internal/balancer/bulkhead"
)

// reserveClass is the class of the requests with the least work, which have a reserved bulkhead.
const reserveClass = quickCheckClass

// reportedCoresFactor is the ratio of the cores in the settings of the admission to the workers of the
// servers, in modes with bulkheads and in modeWide. With as many cores as workers, the admission itself would
// queue all further requests, and none would reach the bulkheads.
const reportedCoresFactor = 32

const (
	// bulkheadPrefix is the prefix of the routing modes with bulkheads. The rest of their names is the limit
	// algorithm or objectiveMode.
	bulkheadPrefix = "pools-"
	// objectiveMode is the rest of the name of the mode with the gradient algorithm and with clients that
	// send the time of their first submission.
	objectiveMode = "aims"
)

// reportsMoreCores reports whether a mode multiplies the cores by reportedCoresFactor.
func reportsMoreCores(mode string) bool {
	return mode == modeWide || strings.HasPrefix(mode, bulkheadPrefix)
}

// bulkheadConfig returns the configuration of the bulkheads of a routing mode, or nil if it has none.
func bulkheadConfig(mode string, spec *Spec) *bulkhead.Config {
	name, ok := strings.CutPrefix(mode, bulkheadPrefix)
	if !ok {
		return nil
	}
	algorithm := bulkhead.LimitAlgorithm(name)
	if name == objectiveMode {
		algorithm = bulkhead.GradientLimit
	}
	config := &bulkhead.Config{
		LimitAlgorithm: algorithm,
		InitialLimit:   float64(spec.workers()),
		MinLimit:       4,
		MaxLimit:       float64(spec.workers() * 16),
		ReclaimTime:    500 * time.Millisecond,
		MaxQueueLength: 200,
		DeadlineMargin: 30 * time.Millisecond,
		Tenants:        []float64{1},
		Pools: []bulkhead.Pool{
			{Name: "hand-ins", Floor: 0.3, Ceiling: 1, Weight: 3, Classes: []int{handInClass}},
			{Name: "checks", Floor: 0.15, Ceiling: 1, Weight: 2, Reserve: true, Classes: []int{reserveClass}},
			{Name: "rest", Floor: 0.1, Ceiling: 0.85, Weight: 1},
		},
	}
	for _, c := range classes {
		config.Classes = append(config.Classes, bulkhead.Class{
			PriorityWeight:     c.PriorityWeight,
			LatePriorityWeight: c.PriorityWeight * c.LateWeightFraction,
		})
	}
	return config
}
