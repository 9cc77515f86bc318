package variant

import (
	"encoding/json"
	"strconv"

	"github.com/invopop/jsonschema"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/day"
)

// Schema describes a file of differences.
func Schema() *jsonschema.Schema {
	r := jsonschema.Reflector{RequiredFromJSONSchemaTags: true, ExpandedStruct: true}
	s := r.Reflect(&Variant{})
	s.Title, s.Required = "Differences to try out on a day of the lab", []string{"name"}
	figures := &jsonschema.Schema{
		Type:                 "object",
		Properties:           jsonschema.NewProperties(),
		AdditionalProperties: jsonschema.FalseSchema,
	}
	f := admission.DefaultParameters()
	for _, g := range f.All() {
		figures.Properties.Set(
			g.Name,
			&jsonschema.Schema{Type: "number", Minimum: number(g.Min), Maximum: number(g.Max),
				Default: *g.Value},
		)
	}
	s.Properties.Set("figures", figures)
	kind := r.Reflect(&day.BalancerKind{})
	kind.Version = ""
	s.Properties.Set("balancers", &jsonschema.Schema{Type: "array", Items: kind})
	return s
}
func number(v float64) json.Number { return json.Number(strconv.FormatFloat(v, 'g', -1, 64)) }
