// Package compare compares two settings, or two versions of the program, on the same simulated days. It
// estimates how much better one is, with a confidence interval, and reports whether the difference is
// statistically significant. Days are added until the interval is narrow enough or a limit is reached.
package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ryepaddle/internal/simulator/fleet"
)

// Direction says which values of a metric are better.
type Direction int

// The directions.
const (
	HigherIsBetter Direction = 1
	LowerIsBetter  Direction = -1
)

// Metric is a measure of a simulated day.
type Metric struct {
	Name      string
	Unit      string // "" for shares
	Direction Direction
	Value     func(*fleet.Run) float64
}

// Metrics returns the metrics that are compared, for days with the same classes and tenants as a run.
func Metrics(sample *fleet.Run) []Metric {
	metrics := []Metric{
		{"score", "", HigherIsBetter, func(r *fleet.Run) float64 { return r.Score }},
		{"worth", "", HigherIsBetter, func(r *fleet.Run) float64 { return r.Worth }},
		{"whole", "", HigherIsBetter, func(r *fleet.Run) float64 { return r.Whole }},
		{"worst window", "", HigherIsBetter, func(r *fleet.Run) float64 { return r.WorstWindow }},
		{"worst class", "", HigherIsBetter, func(r *fleet.Run) float64 { return r.WorstClass }},
		{"worst school", "", HigherIsBetter, func(r *fleet.Run) float64 { return r.WorstTenant }},
	}
	for i, c := range sample.Classes {
		served := func(r *fleet.Run) float64 { return r.Classes[i].Served }
		metrics = append(metrics, Metric{"class " + c.Name, "", HigherIsBetter, served})
	}
	for i, t := range sample.Tenants {
		served := func(r *fleet.Run) float64 { return r.Tenants[i].Served }
		metrics = append(metrics, Metric{"school " + t.Name, "", HigherIsBetter, served})
	}
	return append(metrics,
		Metric{"p50", "ms", LowerIsBetter, func(r *fleet.Run) float64 { return r.All.P50Ms }},
		Metric{"p99", "ms", LowerIsBetter, func(r *fleet.Run) float64 { return r.All.P99Ms }},
		Metric{"refusals", "a request", LowerIsBetter, func(r *fleet.Run) float64 { return r.Refusals }},
		Metric{"retries", "a request", LowerIsBetter, func(r *fleet.Run) float64 { return r.Retries }},
		Metric{"waste", "", LowerIsBetter, func(r *fleet.Run) float64 { return r.Waste }},
		Metric{"broken rules", "a day", LowerIsBetter, func(r *fleet.Run) float64 { return float64(r.Broken) }},
	)
}

// Estimate holds the means of a metric on both sides and the difference B - A with its confidence interval
// from Lo to Hi.
type Estimate struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit,omitempty"`
	A     float64 `json:"a"`
	B     float64 `json:"b"`
	Diff  float64 `json:"diff"`
	Lo    float64 `json:"lo"`
	Hi    float64 `json:"hi"`
	Shown string  `json:"shown"` // Better, Worse or None
}

// The verdicts: None if the confidence interval contains 0.
const (
	Better = "B is better"
	Worse  = "B is worse"
	None   = "no difference shown"
)

// estimate estimates the difference of a metric from the days of both sides.
func estimate(m Metric, pairs []Pair, alpha float64) Estimate {
	a := make([]float64, len(pairs))
	b := make([]float64, len(pairs))
	for i, p := range pairs {
		a[i], b[i] = m.Value(p.A), m.Value(p.B)
	}
	return Paired(m.Name, m.Unit, m.Direction, a, b, alpha)
}

// Paired estimates the difference of a metric from pairs of values. Effects that the values of a pair have
// in common cancel out. The interval is Student's, at a confidence level of 1 - alpha.
func Paired(name, unit string, direction Direction, a, b []float64, alpha float64) Estimate {
	differences := make([]float64, len(a))
	for i := range a {
		differences[i] = b[i] - a[i]
	}
	e := Estimate{Name: name, Unit: unit, A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	var half float64
	e.Diff, half = interval(differences, alpha)
	if math.IsInf(half, 1) {
		half = math.MaxFloat64 // JSON has no infinity
	}
	e.Lo = e.Diff - half
	e.Hi = e.Diff + half
	e.Shown = verdict(e, direction)
	return e
}

// interval returns the mean of samples and half the width of its confidence interval, which is infinite for
// fewer than two samples.
func interval(samples []float64, alpha float64) (mean, half float64) {
	mean, sd := stat.MeanStdDev(samples, nil)
	if len(samples) < 2 {
		return mean, math.Inf(1)
	}
	if sd == 0 {
		return mean, 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(samples) - 1)}.Quantile(1 - alpha/2)
	return mean, t * sd / math.Sqrt(float64(len(samples)))
}

func verdict(e Estimate, direction Direction) string {
	switch {
	case e.Lo <= 0 && e.Hi >= 0:
		return None
	case (e.Diff > 0) == (direction == HigherIsBetter):
		return Better
	}
	return Worse
}

// firstAnalysisDays is the number of days before the first interim analysis.
const firstAnalysisDays = 8

// interimAnalyses returns the numbers of days after which the interval is computed, the last of which is
// the limit, and the alpha of each of these analyses. A comparison that may stop at any of several analyses
// would err with a higher probability than alpha if each of them used it whole. They therefore share it
// (alpha spending): the first one takes half, each further one half of the rest, and the last one the rest.
func interimAnalyses(limit int, alpha float64) (days []int, alphas []float64) {
	for n := min(firstAnalysisDays, limit); n < limit; n = min(2*n, limit) {
		days = append(days, n)
	}
	days = append(days, limit)
	rest := alpha
	for i := range days {
		own := rest / 2
		if i == len(days)-1 {
			own = rest
		}
		alphas = append(alphas, own)
		rest -= own
	}
	return days, alphas
}
