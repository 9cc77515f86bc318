package config

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"ryepaddle/internal/admission"
)

// The error for contradictory settings must name their path and their value, so that the platform's file is
// rejected before anything starts.
func TestContradictorySettingsNamePathAndValue(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, path, value string }{
		{`"Cores": 6`, `"Cores": 0`, "Specifics.Cores", "0"},
		{`"MemoryKb": 49836`, `"MemoryKb": 0`, "Specifics.MemoryKb", "0"},
		{`"RunMemFactor": 8`, `"RunMemFactor": 0.5`, "Specifics.RunMemFactor", "0.5"},
		{`"CallsOut": 18`, `"CallsOut": 0`, "Specifics.CallsOut", "0"},
		{`"FallMultiple": 6`, `"FallMultiple": 0.2`, "Rules.FallMultiple", "0.2"},
		{`"ColdShare": 0.2`, `"ColdShare": 1.5`, "Rules.ColdShare", "1.5"},
		{`"WindowUs": 13020000`, `"WindowUs": 0`, "RequestClasses.2.WindowUs", "0s"},
		{`"TargetUs": 900000`, `"TargetUs": 0`, "RequestClasses.2.TargetUs", "0s"},
		{`"Worth": 3`, `"Worth": -3`, "RequestClasses.2.Worth", "-3"},
		{`"Name": "hand-in"`, `"Name": "quick-check"`, "RequestClasses.2.Name", "quick-check"},
		{`"Name": "south"`, `"Name": "north"`, "Accounts.1.Name", "north"},
		{`"Name": "south"`, `"Name": ""`, "Accounts.1.Name", "missing"},
		{`"QuotaRps": 50}]`, `"QuotaRps": -50}]`, "Accounts.1.QuotaRps", "-50"},
	} {
		modified := strings.Replace(string(text), c.old, c.new, 1)
		_, err := ParsePlatform([]byte(modified))
		var settingError *admission.SettingError
		if modified == string(text) || !errors.As(err, &settingError) || settingError.Setting != c.path ||
			!strings.Contains(err.Error(), "field settings: admission: setting "+c.path+" is "+c.value) {
			t.Errorf("ParsePlatform() with %s: error = %v, want setting %s and value %s", c.new, err, c.path, c.value)
		}
	}
}

// A platform's file must be rejected, or be valid JSON with which the admission module starts and whose keys
// can be compared with those of the next file.
func FuzzPlatformFile(f *testing.F) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	for _, removed := range []string{`"Accounts": [{"Name": "north", "Portion": 0.5, "QuotaRps": 50}, ` +
		`{"Name": "south", "Portion": 0.5, "QuotaRps": 50}],`,
		`"Halt": "silent"`, `"CallsByClass": [true, false, true], `, `"engine": "",`} {
		f.Add([]byte(strings.Replace(string(text), removed, "", 1)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := ParsePlatform(text)
		if err != nil {
			return
		}
		if !json.Valid(text) {
			t.Fatal("ParsePlatform() accepted a text that is not JSON")
		}
		if _, err := admission.New(p.Settings, p.Seed); err != nil {
			t.Fatalf("ParsePlatform() accepted the file, but admission.New() failed: %v", err)
		}
		if err := p.CheckSameKeys(p); err != nil {
			t.Fatalf("CheckSameKeys() of a file with itself: %v", err)
		}
	})
}
