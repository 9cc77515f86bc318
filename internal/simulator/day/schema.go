package day

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// JSONSchema describes a range: a number, or the least and the most.
func (Range) JSONSchema() *jsonschema.Schema {
	two := uint64(2)
	return &jsonschema.Schema{OneOf: []*jsonschema.Schema{{Type: "number"},
		{Type: "array", Items: &jsonschema.Schema{Type: "number"}, MinItems: &two, MaxItems: &two}}}
}

// MarshalJSON gives a range as it stands in a scenario.
func (r Range) MarshalJSON() ([]byte, error) {
	v, err := r.MarshalYAML()
	if err != nil {
		return nil, err
	}
	return json.Marshal(v)
}

// Schema describes a scenario. All of it may be left out but the name and the balancers.
func Schema() *jsonschema.Schema {
	r := jsonschema.Reflector{RequiredFromJSONSchemaTags: true, ExpandedStruct: true}
	s := r.Reflect(&Spec{})
	s.Title, s.Required = "A day of the lab", []string{"name", "balancers"}
	return s
}
