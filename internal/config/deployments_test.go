package config

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"ryepaddle/internal/admission"
)

// Settings that contradict themselves are told with their path and their value, before anything
// starts.
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
		now := strings.Replace(string(text), c.old, c.new, 1)
		_, err := ParsePlatform([]byte(now))
		var at *admission.SettingError
		if now == string(text) || !errors.As(err, &at) || at.Setting != c.path ||
			!strings.Contains(err.Error(), "field settings: admission: setting "+c.path+": "+c.value) {
			t.Errorf("%s: %v, want %s and %s", c.new, err, c.path, c.value)
		}
	}
}

// Whatever a file says: it is turned down, or the module begins with it and the shape of the next
// one can be compared.
func FuzzPlatformFile(f *testing.F) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	for _, cut := range []string{`"Accounts": [{"Name": "north", "Portion": 0.5, "QuotaRps": 50}, ` +
		`{"Name": "south", "Portion": 0.5, "QuotaRps": 50}],`,
		`"Halt": "silent"`, `"CallsByClass": [true, false, true], `, `"engine": "",`} {
		f.Add([]byte(strings.Replace(string(text), cut, "", 1)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := ParsePlatform(text)
		if err != nil {
			return
		}
		if !json.Valid(text) {
			t.Fatal("it is no JSON, and was taken")
		}
		if _, err := admission.New(p.Settings, p.Seed); err != nil {
			t.Fatalf("it was taken, and the module does not begin with it: %v", err)
		}
		if err := p.CheckSameKeys(p); err != nil {
			t.Fatalf("it has not what it has: %v", err)
		}
	})
}
