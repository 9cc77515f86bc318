package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
)

// schemaValidator returns a function that validates the text of an operator's file against the schema.
func schemaValidator(t *testing.T) func(text string) error {
	t.Helper()
	text, err := json.Marshal(OperatorSchema())
	if err != nil {
		t.Fatal(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("operator.json", doc); err != nil {
		t.Fatal(err)
	}
	schema, err := compiler.Compile("operator.json")
	if err != nil {
		t.Fatal(err)
	}
	return func(text string) error {
		var v any
		if err := yaml.Unmarshal([]byte(text), &v); err != nil {
			t.Fatal(err)
		}
		return schema.Validate(v)
	}
}

// The example files must be valid as they are, and with the fields that they have in comments.
func TestSchemaAcceptsTheExampleFiles(t *testing.T) {
	validate := schemaValidator(t)
	for _, file := range []string{"../../deploy/operator.yaml", "../../example/operator.yaml"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		// Fields that are not set are commented out.
		uncommented := regexp.MustCompile(
			`(?m)^# ( *(?:[a-z_]+:(?: |$)|- \{))`,
		).ReplaceAllString(
			string(text),
			"$1",
		)
		for _, text := range []string{string(text), uncommented} {
			if err := validate(text); err != nil {
				t.Errorf("validating %s: %v", file, err)
			}
		}
	}
}

// Values out of their bounds and unknown fields are rejected by the schema and by the program.
func TestSchemaRejectsWhatTheProgramRejects(t *testing.T) {
	validate := schemaValidator(t)
	p := &Platform{MemoryMB: 64, MaxDescriptors: 1024}
	for _, b := range bounds {
		for _, v := range []float64{b.min - 1, b.max + 1} {
			file := fmt.Sprintf("%v\n", v)
			parts := strings.Split(b.field, ".")
			for i := len(parts) - 1; i >= 0; i-- {
				file = parts[i] + ": " + file
				if i > 0 {
					file = "{" + strings.TrimSuffix(file, "\n") + "}\n"
				}
			}
			if validate(file) == nil {
				t.Errorf("the schema accepts %s, want an error", file)
			}
			if _, err := parseOperator(filepath.Join(t.TempDir(), "o.yaml"), []byte(file), p); err == nil ||
				!strings.Contains(err.Error(), b.field+": ") {
				t.Errorf("parseOperator() of %s: error = %v, want one that names the field", file, err)
			}
		}
	}
	for _, file := range []string{
		"nonsense: 1",
		"routing: {eject: {nonsense: 1}}",
		"store: {mode: sometimes}",
		"limits: {tries: two}",
	} {
		if validate(file) == nil {
			t.Errorf("the schema accepts %s, want an error", file)
		}
	}
}
