package admission

import (
	"errors"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// The default parameters are within their bounds, and a value out of bounds is reported with the name
// of its parameter.
func TestParametersAreCheckedAgainstBounds(t *testing.T) {
	p := DefaultParameters()
	if _, err := p.orDefault(defaultParameters); err != nil {
		t.Fatal(err)
	}
	for _, parameter := range p.All() {
		if *parameter.Value == 0 {
			t.Errorf("default of %s is 0, want a value", parameter.Name)
		}
	}
	if err := p.Set("target_share", 0.3); err != nil || p.DelayTargetShare != 0.3 ||
		DefaultParameters().DelayTargetShare == 0.3 {
		t.Fatalf("Set(target_share, 0.3) = %v, DelayTargetShare = %v, want nil, 0.3 and unchanged defaults",
			err, p.DelayTargetShare)
	}
	var outOfBounds *ParameterError
	if err := p.Set("target_share", 2); !errors.As(err, &outOfBounds) || outOfBounds.Max != 1 {
		t.Errorf("Set(target_share, 2) = %v, want a ParameterError with Max = 1", err)
	}
	if err := p.Set("targets", 0.3); !errors.Is(err, ErrUnknownParameter) {
		t.Errorf("Set(targets, 0.3) = %v, want ErrUnknownParameter", err)
	}
	s := testSettings()
	s.Parameters = p
	s.Parameters.CallLimitDecrease = -1
	_, err := New(s, 0)
	var invalid *ParameterError
	if !errors.As(err, &invalid) || !strings.Contains(err.Error(), "call_cut: -1 is not from 0.01 to 1") {
		t.Errorf("New() with CallLimitDecrease = -1: error = %v, want a ParameterError for call_cut", err)
	}
}

// The capacity page lists each parameter with its default value.
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
			t.Errorf("docs/capacity.md lists %q for parameter %s, want %v",
				listed[parameter.Name], parameter.Name, *parameter.Value)
		}
	}
}
