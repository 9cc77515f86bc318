package config

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/invopop/jsonschema"
)

// OperatorSchema returns the JSON schema of the operator's file. It is derived from the type that
// the file is decoded into, with the defaults of the fields.
func OperatorSchema() *jsonschema.Schema {
	r := jsonschema.Reflector{
		FieldNameTag:               "yaml",
		ExpandedStruct:             true,
		DoNotReference:             true,
		RequiredFromJSONSchemaTags: true,
	}
	s := r.Reflect(&Operator{})
	s.Title = "The operator's file of ryepaddle"
	addDefaults(s, reflect.ValueOf(*defaultOperator()))
	for _, b := range bounds {
		p := property(s, b.field)
		p.Minimum, p.Maximum = number(b.min), number(b.max)
	}
	property(s, "store.mode").Enum = []any{"always", "group", "none"}
	return s
}

// number returns v as a JSON number.
func number(v float64) json.Number { return json.Number(strconv.FormatFloat(v, 'f', -1, 64)) }

// property returns the schema of a field, such as limits.tries.
func property(s *jsonschema.Schema, field string) *jsonschema.Schema {
	for _, part := range strings.Split(field, ".") {
		s, _ = s.Properties.Get(part)
	}
	return s
}

// addDefaults sets the values of a struct as the defaults in its schema. Zero values and lists are
// left out.
func addDefaults(s *jsonschema.Schema, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" || s.Properties == nil {
			continue
		}
		p, ok := s.Properties.Get(name)
		switch f := v.Field(i); {
		case !ok:
		case f.Kind() == reflect.Struct:
			addDefaults(p, f)
		case !f.IsZero() && f.Kind() != reflect.Slice:
			if text, err := json.Marshal(f.Interface()); err == nil {
				p.Default = json.RawMessage(text)
			}
		}
	}
}
