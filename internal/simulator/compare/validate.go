package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ryepaddle/internal/simulator/fleet"
)

// Validation compares a figure of a real fleet with simulations of the same day.
type Validation struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit,omitempty"`
	Real   float64 `json:"real"`
	Mean   float64 `json:"mean"`
	Lo     float64 `json:"lo"`
	Hi     float64 `json:"hi"`
	Inside bool    `json:"inside"`
}

// Validate reports for each figure of a day whether a real run lies in the prediction interval of the
// model: where a further simulation would lie with a probability of 1 - alpha, judged by simulations
// of the same day that differ in chance alone. The interval is Student's for a new observation.
func Validate(measured *fleet.Run, model []*fleet.Run, alpha float64) []Validation {
	var out []Validation
	n := float64(len(model))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - alpha/2)
	for _, m := range Metrics(measured) {
		values := make([]float64, len(model))
		for i, r := range model {
			values[i] = m.Of(r)
		}
		mean, sd := stat.MeanStdDev(values, nil)
		half := t * sd * math.Sqrt(1+1/n)
		v := Validation{
			Name: m.Name,
			Unit: m.Unit,
			Real: m.Of(measured),
			Mean: mean,
			Lo:   mean - half,
			Hi:   mean + half,
		}
		v.Inside = v.Real >= v.Lo && v.Real <= v.Hi
		out = append(out, v)
	}
	return out
}
