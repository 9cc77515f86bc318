package day

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// JSONSchema returns the schema of a range, which is a number or a list of both ends. Package jsonschema
// calls it.
func (Range) JSONSchema() *jsonschema.Schema {
	two := uint64(2)
	return &jsonschema.Schema{OneOf: []*jsonschema.Schema{{Type: "number"},
		{Type: "array", Items: &jsonschema.Schema{Type: "number"}, MinItems: &two, MaxItems: &two}}}
}

// MarshalJSON implements json.Marshaler. It writes a range as a scenario file does.
func (r Range) MarshalJSON() ([]byte, error) {
	v, err := r.MarshalYAML()
	if err != nil {
		return nil, err
	}
	return json.Marshal(v)
}

// Schema returns the JSON schema of a scenario. Only the name and the balancers are required.
func Schema() *jsonschema.Schema {
	r := jsonschema.Reflector{RequiredFromJSONSchemaTags: true, ExpandedStruct: true}
	s := r.Reflect(&Spec{})
	s.Title = "A day of the lab"
	s.Required = []string{"name", "balancers"}
	return s
}
