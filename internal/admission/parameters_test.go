package admission

import (
	"strings"
	"testing"
)

// The figures that are built in lie within their own bounds, and those that do not are refused by
// name.
func TestFigures(t *testing.T) {
	f := DefaultParameters()
	if _, err := f.orDefault(defaultParameters); err != nil {
		t.Fatal(err)
	}
	for _, g := range f.All() {
		if *g.Value == 0 {
			t.Errorf("%s is 0: it was left out", g.Name)
		}
	}
	if err := f.Set("target_share", 0.3); err != nil || f.DelayTargetShare != 0.3 ||
		DefaultParameters().DelayTargetShare == 0.3 {
		t.Fatalf("set: %v, %v", err, f.DelayTargetShare)
	}
	for name, v := range map[string]float64{"target_share": 2, "targets": 0.3} {
		if f.Set(name, v) == nil {
			t.Errorf("%s was set to %v", name, v)
		}
	}
	set := testSettings()
	set.Parameters = f
	set.Parameters.CallLimitDecrease = -1
	if _, err := New(set, 0); err == nil || !strings.Contains(err.Error(), "call_cut: -1 is not from 0.01 to 1") {
		t.Errorf("New: %v", err)
	}
}
