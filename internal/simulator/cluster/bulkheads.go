package cluster

import (
	"strings"
	"time"

	"ryepaddle/internal/balancer/bulkhead"
)

// reserveClass is that of the cheapest calls.
const reserveClass = 0

// reportedCoresFactor is how many times the workers that there are the module is told of where something
// behind it says how many run. Told of the workers alone it holds what is more, by worth, and pools
// have nothing to share. The way "wide" is that without pools.
const reportedCoresFactor = 32

func reportsMoreCores(way string) bool { return way == "wide" || strings.HasPrefix(way, "pools-") }

// sendsFirstSentAt is the way in which callers say when they asked first.
const objectiveMode = "aims"

// bulkheadConfig are the pools of a way of routing that has some, over those of the routed way.
func bulkheadConfig(way string, spec *Spec) *bulkhead.Config {
	name, ok := strings.CutPrefix(way, "pools-")
	if !ok {
		return nil
	}
	if name == objectiveMode {
		name = bulkhead.GradientLimit
	}
	cfg := &bulkhead.Config{
		LimitAlgorithm: name,
		InitialLimit:   float64(spec.Servers * spec.Workers),
		MinLimit:       4,
		MaxLimit:       float64(spec.Servers * spec.Workers * 16),
		ReclaimTime:    500 * time.Millisecond,
		MaxQueueLength: 200,
		DeadlineMargin: 30 * time.Millisecond,
		Tenants:        []float64{1},
		Pools: []bulkhead.Pool{{Name: "hand-ins", Floor: 0.3, Ceiling: 1, Weight: 3, Classes: []int{2}},
			{Name: "checks", Floor: 0.15, Ceiling: 1, Weight: 2, Reserve: true, Classes: []int{reserveClass}},
			{Name: "rest", Floor: 0.1, Ceiling: 0.85, Weight: 1}},
	}
	for _, c := range classes {
		cfg.Classes = append(
			cfg.Classes,
			bulkhead.Class{PriorityWeight: c.PriorityWeight, LatePriorityWeight: c.PriorityWeight * c.LateWeightFraction},
		)
	}
	return cfg
}
