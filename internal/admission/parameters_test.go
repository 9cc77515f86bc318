package admission

import (
	"errors"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// The default parameters lie within their bounds, and a value out of bounds is reported by name.
func TestParametersAreCheckedAgainstBounds(t *testing.T) {
	p := DefaultParameters()
	if _, err := p.orDefault(defaultParameters); err != nil {
		t.Fatal(err)
	}
	for _, parameter := range p.All() {
		if *parameter.Value == 0 {
			t.Errorf("%s is 0: it was left out", parameter.Name)
		}
	}
	if err := p.Set("target_share", 0.3); err != nil || p.DelayTargetShare != 0.3 ||
		DefaultParameters().DelayTargetShare == 0.3 {
		t.Fatalf("set: %v, %v", err, p.DelayTargetShare)
	}
	var outOfBounds *ParameterError
	if err := p.Set("target_share", 2); !errors.As(err, &outOfBounds) || outOfBounds.Max != 1 {
		t.Errorf("target_share was set to 2: %v", err)
	}
	if err := p.Set("targets", 0.3); !errors.Is(err, ErrUnknownParameter) {
		t.Errorf("targets was set: %v", err)
	}
	s := testSettings()
	s.Parameters = p
	s.Parameters.CallLimitDecrease = -1
	_, err := New(s, 0)
	var invalid *ParameterError
	if !errors.As(err, &invalid) || !strings.Contains(err.Error(), "call_cut: -1 is not from 0.01 to 1") {
		t.Errorf("New: %v", err)
	}
}

// The capacity page names each parameter with its value.
func TestCapacityPageListsParameters(t *testing.T) {
	page, err := os.ReadFile("../../docs/capacity.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]string{}
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)` \\| `\\w+` \\| ([0-9.]+) \\|")
	for _, row := range rows.FindAllStringSubmatch(string(page), -1) {
		listed[row[1]] = row[2]
	}
	p := DefaultParameters()
	for _, parameter := range p.All() {
		value, err := strconv.ParseFloat(listed[parameter.Name], 64)
		if err != nil || value != *parameter.Value {
			t.Errorf("docs/capacity.md has %q for %s, which is %v",
				listed[parameter.Name], parameter.Name, *parameter.Value)
		}
	}
}
