package cluster

import (
	"context"

	"ryepaddle/internal/simulator/compare"
)

// Comparison is the comparison of two routing modes, A and B, on days of one kind.
type Comparison struct {
	Day       string             `json:"day"`
	About     string             `json:"about"`
	A         string             `json:"a"`
	B         string             `json:"b"`
	Estimates []compare.Estimate `json:"estimates"`
	DaysA     []*Result          `json:"days_a"`
	DaysB     []*Result          `json:"days_b"`
}

// significance is the error probability of the confidence interval of each estimate.
const significance = 0.05

// metric is a figure of a day that Compare estimates.
type metric struct {
	name, unit string
	direction  compare.Direction
	value      func(*Result) float64
}

// metrics lists the metrics in the order of the report.
var metrics = []metric{
	{"worth", "", compare.HigherIsBetter, func(r *Result) float64 { return r.Worth }},
	{"worst 10 s", "", compare.HigherIsBetter, func(r *Result) float64 { return r.Worst }},
	{"10 s from the middle", "", compare.HigherIsBetter, func(r *Result) float64 { return r.Middle }},
	{"cheapest in time", "", compare.HigherIsBetter, func(r *Result) float64 { return r.Cheap }},
	{"hand-ins", "", compare.HigherIsBetter, func(r *Result) float64 { return r.HandIns }},
	{"failed", "", compare.LowerIsBetter, func(r *Result) float64 { return r.Failed }},
	{"p50", "ms", compare.LowerIsBetter, func(r *Result) float64 { return r.P50Ms }},
	{"p99", "ms", compare.LowerIsBetter, func(r *Result) float64 { return r.P99Ms }},
	{"tries", "a request", compare.LowerIsBetter, func(r *Result) float64 { return r.Tries }},
	{"refusals", "a request", compare.LowerIsBetter, func(r *Result) float64 { return r.Refusals }},
	{"broken rules", "a day", compare.LowerIsBetter, func(r *Result) float64 {
		return float64(r.Twice + r.Unanswered)
	}},
}

// Compare simulates days with both modes, up to workers simulations in parallel, and estimates the differences
// B - A. The first day has the given seed, and each further day the next seed. done is called after each
// simulation. The result does not depend on the number of workers.
func Compare(
	ctx context.Context,
	spec *Spec,
	a, b string,
	seed uint64,
	days, workers int,
	done func(),
) (*Comparison, error) {
	c := &Comparison{
		Day:   spec.Name,
		About: spec.About,
		A:     a,
		B:     b,
		DaysA: make([]*Result, days),
		DaysB: make([]*Result, days),
	}
	err := compare.ParallelEach(ctx, workers, 2*days, func(i int) (err error) {
		mode := a
		results := c.DaysA
		if i%2 == 1 {
			mode = b
			results = c.DaysB
		}
		results[i/2], err = Play(spec, seed+uint64(i/2), mode)
		done()
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, m := range metrics {
		var valuesA, valuesB []float64
		for i := range days {
			valuesA, valuesB = append(valuesA, m.value(c.DaysA[i])), append(valuesB, m.value(c.DaysB[i]))
		}
		c.Estimates = append(c.Estimates, compare.Paired(m.name, m.unit, m.direction, valuesA, valuesB, significance))
	}
	return c, nil
}
