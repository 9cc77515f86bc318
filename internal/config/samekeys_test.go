package config

import (
	"os"
	"strings"
	"testing"

	"ryepaddle/internal/admission"
)

// sameKeysCases replace old by new in the text of the example; want is a part of the error, empty for none.
func sameKeysCases(text string) []struct{ name, old, new, want string } {
	return []struct{ name, old, new, want string }{
		{"same text", "", "", ""},
		{"another value", `"stop_ms": 3200`, `"stop_ms": 3000`, ""},
		{"additional key", `"name": "n0",`, `"name": "n0", "more": 1,`, ""},
		{"another class", `"Name": "full-check"`, `"Name": "half-check"`, ""},
		{"empty", text, "", "unexpected end"},
		{"truncated file", text[len(text)/2:], "", "unexpected end"},
		{"no engine", `"engine": "",`, ``, "field engine: missing"},
		{"no stop", `"stop_ms": 3200,`, ``, "field stop_ms: not above 0"},
		{"no limit", `"cores": 1.0, `, ``, "field limits.cores: missing"},
		{"no setting", `"Servers": 10,`, ``, "field settings.Servers: missing"},
		{"no setting of a class", `"TargetUs": 1000000, "DeadlineUs": 3000000, "WindowUs": 5000000},
      {"Name": "hand-in"`, `"TargetUs": 1000000, "DeadlineUs": 3000000},
      {"Name": "hand-in"`, "field settings.RequestClasses.1.WindowUs: missing"},
		{
			"no deadline",
			`"DeadlineUs": 2500000, `,
			``,
			"setting RequestClasses.2.DeadlineUs is missing, want above 0",
		},
		{
			"deadline as a string",
			`"DeadlineUs": 2500000`,
			`"DeadlineUs": "2500000"`,
			"field settings.RequestClasses.2.DeadlineUs: a string, previously a number",
		},
		{
			"deadline of null",
			`"DeadlineUs": 2500000`,
			`"DeadlineUs": null`,
			"setting RequestClasses.2.DeadlineUs is missing",
		},
		{"negative deadline", `"DeadlineUs": 2500000`, `"DeadlineUs": -5`, `malformed value "-5"`},
		{
			"deadline of 0",
			`"DeadlineUs": 2500000`,
			`"DeadlineUs": 0`,
			"setting RequestClasses.2.DeadlineUs is 0s, want above 0",
		},
		{
			"no classes",
			`"RequestClasses": [`,
			`"RequestClasses": [], "Were": [`,
			"setting RequestClasses is missing, want at least one",
		},
	}
}

// A file that was truncated, lacks a key or has a value of another type is rejected before any of it
// takes effect.
func TestFilesThatLackAKeyAreRejected(t *testing.T) {
	content, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	previous, err := ParsePlatform(content)
	if err != nil {
		t.Fatal(err)
	}
	text := string(content)
	for _, c := range sameKeysCases(text) {
		t.Run(c.name, func(t *testing.T) {
			modified := strings.Replace(text, c.old, c.new, 1)
			if c.old != "" && modified == text {
				t.Fatalf("%q is not in the file", c.old)
			}
			p, err := ParsePlatform([]byte(modified))
			if err == nil {
				err = p.CheckSameKeys(previous)
			}
			if err == nil {
				_, err = admission.New(p.Settings, 0) // as the application does before it applies the file
			}
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error = %v, want %q", err, c.want)
			}
		})
	}
}
