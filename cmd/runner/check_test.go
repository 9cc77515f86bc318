package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An error in a configuration file is reported with kind, location and remedy, as text and as JSON.
func TestCheckReportsRemedy(t *testing.T) {
	cfg := example(t)
	cfg["settings"].(map[string]any)["Specifics"].(map[string]any)["Cores"] = 0
	text, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := run(&streams{&out, &errs}, []string{"check", "--json", "--config", path}); code != 2 {
		t.Errorf("exit status = %d, want 2", code)
	}
	var got checkFailure
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got.Kind != "config.settings" ||
		got.File != path ||
		got.Line < 2 ||
		got.Field != "settings" ||
		got.Remedy == "" {
		t.Errorf("JSON output: error %v, got %+v; want config.settings with place and remedy", err, got)
	}
	if !strings.Contains(errs.String(), "setting Specifics.Cores is 0") ||
		!strings.Contains(errs.String(), "config.settings: Correct the named setting where the platform's") {
		t.Errorf("stderr = %s\nwant the setting Specifics.Cores and the remedy of config.settings", errs.String())
	}
}
