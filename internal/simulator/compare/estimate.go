// Package compare sets two settings, or two versions of the program, side by side on the same days,
// and says how much better one is, with an interval, and whether that is more than chance. Days are
// drawn until the interval is narrow enough or a limit is reached.
package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ryepaddle/internal/simulator/fleet"
)

// Metric is a figure of a day.
type Metric struct {
	Name string
	Unit string // "" for shares
	More int    // 1: more is better, -1: less is
	Of   func(*fleet.Run) float64
}

// Metrics are the figures that are compared, of days like this one.
func Metrics(like *fleet.Run) []Metric {
	m := []Metric{
		{"score", "", 1, func(r *fleet.Run) float64 { return r.Score }},
		{"worth", "", 1, func(r *fleet.Run) float64 { return r.Worth }},
		{"whole", "", 1, func(r *fleet.Run) float64 { return r.Whole }},
		{"worst window", "", 1, func(r *fleet.Run) float64 { return r.WorstWindow }},
		{"worst class", "", 1, func(r *fleet.Run) float64 { return r.WorstClass }},
		{"worst school", "", 1, func(r *fleet.Run) float64 { return r.WorstTenant }},
	}
	for i, c := range like.Classes {
		m = append(
			m,
			Metric{"class " + c.Name, "", 1, func(r *fleet.Run) float64 { return r.Classes[i].Served }},
		)
	}
	for i, t := range like.Tenants {
		m = append(
			m,
			Metric{"school " + t.Name, "", 1, func(r *fleet.Run) float64 { return r.Tenants[i].Served }},
		)
	}
	return append(m,
		Metric{"p50", "ms", -1, func(r *fleet.Run) float64 { return r.All.P50Ms }},
		Metric{"p99", "ms", -1, func(r *fleet.Run) float64 { return r.All.P99Ms }},
		Metric{"refusals", "a request", -1, func(r *fleet.Run) float64 { return r.Refusals }},
		Metric{"retries", "a request", -1, func(r *fleet.Run) float64 { return r.Retries }},
		Metric{"waste", "", -1, func(r *fleet.Run) float64 { return r.Waste }},
		Metric{"broken rules", "a day", -1, func(r *fleet.Run) float64 { return float64(r.Broken) }},
	)
}

// Estimate is what a figure came to on both sides, and the difference B - A with its interval.
type Estimate struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit,omitempty"`
	A     float64 `json:"a"`
	B     float64 `json:"b"`
	Diff  float64 `json:"diff"`
	Lo    float64 `json:"lo"`
	Hi    float64 `json:"hi"`
	Shown string  `json:"shown"` // better, worse or "no difference shown"
}

// The words of a verdict.
const (
	Better = "B is better"
	Worse  = "B is worse"
	None   = "no difference shown"
)

// estimate pairs the days.
func estimate(m Metric, pairs []Pair, alpha float64) Estimate {
	a, b := make([]float64, len(pairs)), make([]float64, len(pairs))
	for i, p := range pairs {
		a[i], b[i] = m.Of(p.A), m.Of(p.B)
	}
	return Paired(m.Name, m.Unit, m.More, a, b, alpha)
}

// Paired estimates the difference of a figure between the sides of pairs: what they have in common
// drops out. The interval is Student's, at a level of 1 - alpha. more is 1 if more is better, and
// -1 if less is.
func Paired(name, unit string, more int, a, b []float64, alpha float64) Estimate {
	d := make([]float64, len(a))
	for i := range a {
		d[i] = b[i] - a[i]
	}
	e := Estimate{Name: name, Unit: unit, A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	var half float64
	if e.Diff, half = interval(d, alpha); math.IsInf(half, 1) {
		half = math.MaxFloat64 // JSON has no infinity
	}
	e.Lo, e.Hi = e.Diff-half, e.Diff+half
	e.Shown = verdict(e, more)
	return e
}

// interval gives the mean and half the width of its interval.
func interval(d []float64, alpha float64) (mean, half float64) {
	mean, sd := stat.MeanStdDev(d, nil)
	if len(d) < 2 {
		return mean, math.Inf(1)
	}
	if sd == 0 {
		return mean, 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(1 - alpha/2)
	return mean, t * sd / math.Sqrt(float64(len(d)))
}

func verdict(e Estimate, more int) string {
	switch {
	case e.Lo <= 0 && e.Hi >= 0:
		return None
	case (e.Diff > 0) == (more > 0):
		return Better
	}
	return Worse
}

// looks are the numbers of days at which the interval is looked at, up to a limit, and how much of
// alpha each look may spend. Whoever looks again and again and stops when the interval pleases is
// wrong more often than alpha, so that the looks share it: half for the first, half of the rest for
// the next, and what is left for the last.
func looks(most int, alpha float64) (at []int, spend []float64) {
	for n := min(8, most); ; n = min(2*n, most) {
		at = append(at, n)
		if n == most {
			break
		}
	}
	left := alpha
	for i := range at {
		s := left / 2
		if i == len(at)-1 {
			s = left
		}
		spend = append(spend, s)
		left -= s
	}
	return at, spend
}
