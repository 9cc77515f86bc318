package variant

import (
	"encoding/json"
	"strconv"

	"github.com/invopop/jsonschema"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/day"
)

// Schema returns the JSON schema of a variant file. It contains the names, bounds and defaults of the
// admission module's parameters.
func Schema() *jsonschema.Schema {
	reflector := jsonschema.Reflector{RequiredFromJSONSchemaTags: true, ExpandedStruct: true}
	schema := reflector.Reflect(&Variant{})
	schema.Title = "Differences to try out on a day of the lab"
	schema.Required = []string{"name"}
	schema.Properties.Set("figures", parametersSchema())
	kind := reflector.Reflect(&day.BalancerKind{})
	kind.Version = ""
	schema.Properties.Set("balancers", &jsonschema.Schema{Type: "array", Items: kind})
	return schema
}

func parametersSchema() *jsonschema.Schema {
	schema := &jsonschema.Schema{
		Type:                 "object",
		Properties:           jsonschema.NewProperties(),
		AdditionalProperties: jsonschema.FalseSchema,
	}
	defaults := admission.DefaultParameters()
	for _, parameter := range defaults.All() {
		schema.Properties.Set(parameter.Name, &jsonschema.Schema{
			Type:    "number",
			Minimum: number(parameter.Min),
			Maximum: number(parameter.Max),
			Default: *parameter.Value,
		})
	}
	return schema
}

func number(v float64) json.Number { return json.Number(strconv.FormatFloat(v, 'g', -1, 64)) }
