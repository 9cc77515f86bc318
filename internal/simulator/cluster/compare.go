package cluster

import (
	"context"

	"ryepaddle/internal/simulator/compare"
)

// Comparison is one kind of day routed in two ways, over many seeds.
type Comparison struct {
	Day       string             `json:"day"`
	About     string             `json:"about"`
	A         string             `json:"a"`
	B         string             `json:"b"`
	Estimates []compare.Estimate `json:"estimates"`
	DaysA     []*Result          `json:"days_a"`
	DaysB     []*Result          `json:"days_b"`
}

var metrics = []struct {
	name, unit string
	more       int
	of         func(*Result) float64
}{
	{"worth", "", 1, func(r *Result) float64 { return r.Worth }},
	{"worst 10 s", "", 1, func(r *Result) float64 { return r.Worst }},
	{"10 s from the middle", "", 1, func(r *Result) float64 { return r.Middle }},
	{"cheapest in time", "", 1, func(r *Result) float64 { return r.Cheap }},
	{"hand-ins", "", 1, func(r *Result) float64 { return r.HandIns }},
	{"failed", "", -1, func(r *Result) float64 { return r.Failed }},
	{"p50", "ms", -1, func(r *Result) float64 { return r.P50Ms }},
	{"p99", "ms", -1, func(r *Result) float64 { return r.P99Ms }},
	{"tries", "a request", -1, func(r *Result) float64 { return r.Tries }},
	{"refusals", "a request", -1, func(r *Result) float64 { return r.Refusals }},
	{"broken rules", "a day", -1, func(r *Result) float64 { return float64(r.Twice + r.Unasked) }},
}

// Compare plays the days from a seed on in both ways, on so many workers, and estimates the
// differences B - A at 95%. What comes out does not depend on the workers.
func Compare(
	ctx context.Context,
	spec *Spec,
	a, b string,
	seed uint64,
	days, workers int,
	tell func(),
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
		way, into := a, c.DaysA
		if i%2 == 1 {
			way, into = b, c.DaysB
		}
		into[i/2], err = Play(spec, seed+uint64(i/2), way)
		tell()
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, f := range metrics {
		var va, vb []float64
		for i := range days {
			va, vb = append(va, f.of(c.DaysA[i])), append(vb, f.of(c.DaysB[i]))
		}
		c.Estimates = append(c.Estimates, compare.Paired(f.name, f.unit, f.more, va, vb, 0.05))
	}
	return c, nil
}
