package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ryepaddle/internal/simulator/fleet"
)

// Validation compares a metric of a real fleet with its values in simulations of the same day. Lo and Hi
// bound the prediction interval; Inside says whether Real lies in it.
type Validation struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit,omitempty"`
	Real   float64 `json:"real"`
	Mean   float64 `json:"mean"`
	Lo     float64 `json:"lo"`
	Hi     float64 `json:"hi"`
	Inside bool    `json:"inside"`
}

// Validate reports for each metric of a day whether a run on a real fleet lies in the prediction interval
// of the model, in which a further simulation would lie with a probability of 1 - alpha. The interval is
// Student's for a new observation, computed from simulations of the same day that differ only in their
// random choices.
func Validate(measured *fleet.Run, model []*fleet.Run, alpha float64) []Validation {
	var out []Validation
	n := float64(len(model))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - alpha/2)
	for _, m := range Metrics(measured) {
		values := make([]float64, len(model))
		for i, r := range model {
			values[i] = m.Value(r)
		}
		mean, sd := stat.MeanStdDev(values, nil)
		half := t * sd * math.Sqrt(1+1/n)
		v := Validation{
			Name: m.Name,
			Unit: m.Unit,
			Real: m.Value(measured),
			Mean: mean,
			Lo:   mean - half,
			Hi:   mean + half,
		}
		v.Inside = v.Real >= v.Lo && v.Real <= v.Hi
		out = append(out, v)
	}
	return out
}
