package admission

import (
	"fmt"
	"math"
	"strconv"
)

// SettingError reports a setting that is missing or out of range, or that contradicts another.
type SettingError struct {
	Setting string // as Settings names it, for example Classes[2].IdempotencyWindow
	Value   any
	Want    string // the valid values, for example "1 or more"
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("admission: setting %s is %v, want %s", e.Setting, e.Value, e.Want)
}

// settingCheck is one check of a setting.
type settingCheck struct {
	setting string
	value   any
	want    string
	valid   bool
}

// firstFailed returns the error of the first check that is not valid, or nil.
func firstFailed(checks []settingCheck) *SettingError {
	for _, check := range checks {
		if !check.valid {
			return &SettingError{check.setting, check.value, check.want}
		}
	}
	return nil
}

func finite(v float64) bool   { return !math.IsNaN(v) && !math.IsInf(v, 0) }
func fraction(v float64) bool { return v >= 0 && v <= 1 }

// Validate returns a SettingError for the first setting that a controller cannot work with.
// Settings that the controller does not use are not checked.
func (s *Settings) Validate() error {
	if err := s.validateServer(); err != nil {
		return err
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(s.Classes[:i]); err != nil {
			err.Setting = fmt.Sprintf("Classes[%d].%s", i, err.Setting)
			return err
		}
	}
	for i := range s.Tenants {
		if err := s.Tenants[i].validate(s.Tenants[:i]); err != nil {
			err.Setting = fmt.Sprintf("Tenants[%d].%s", i, err.Setting)
			return err
		}
	}
	return nil
}

// validateServer checks the settings that belong to no class or tenant.
func (s *Settings) validateServer() error {
	atLeast := func(v, least float64) bool { return v >= least && finite(v) }
	callsValid := s.Dependency != DependencyShared || s.CallQuota > 0 && finite(s.CallQuota)
	err := firstFailed([]settingCheck{
		{"Classes", len(s.Classes), "at least one", len(s.Classes) > 0},
		{"Classes", len(s.Classes), "at most " + strconv.Itoa(MaxClasses), len(s.Classes) <= MaxClasses},
		{"Cores", s.Cores, "1 or more", s.Cores >= 1},
		{"MemoryKB", s.MemoryKB, "above 0", s.MemoryKB > 0 && finite(s.MemoryKB)},
		{"RunningMemoryFactor", s.RunningMemoryFactor, "1 or more", atLeast(s.RunningMemoryFactor, 1)},
		{"KeyMemoryKB", s.KeyMemoryKB, "0 or more", atLeast(s.KeyMemoryKB, 0)},
		{"MaxRunningPerCore", s.MaxRunningPerCore, "1 or more", atLeast(s.MaxRunningPerCore, 1)},
		{"WarmUpInitialShare", s.WarmUpInitialShare, "from 0 to 1", fraction(s.WarmUpInitialShare)},
		{"CallQuota", s.CallQuota, "above 0 for a shared dependency", callsValid},
	})
	if err != nil {
		return err
	}
	return nil
}

// validate checks a class, and its name against the classes before it. The error names the setting
// within the class.
func (c *Class) validate(others []Class) *SettingError {
	notNegative := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	windowValid := c.Idempotency != IdempotentWithKey || c.IdempotencyWindow > 0
	err := firstFailed([]settingCheck{
		{"Name", `""`, "a name", c.Name != ""},
		{"LatencyObjective", c.LatencyObjective, "above 0", c.LatencyObjective > 0},
		{"Timeout", c.Timeout, "above 0", c.Timeout > 0},
		{"ObjectiveWorkFactor", c.ObjectiveWorkFactor, "0 or more", notNegative(c.ObjectiveWorkFactor)},
		{"Idempotency", c.Idempotency, "one of the kinds of idempotency", c.Idempotency <= NonIdempotent},
		{"IdempotencyWindow", c.IdempotencyWindow, "above 0 for a class with idempotency keys", windowValid},
		{"PriorityWeight", c.PriorityWeight, "0 or more", notNegative(c.PriorityWeight)},
		{"LateWeightFraction", c.LateWeightFraction, "from 0 to 1", fraction(c.LateWeightFraction)},
		{"DegradedWeightFraction", c.DegradedWeightFraction, "from 0 to 1", fraction(c.DegradedWeightFraction)},
	})
	if err != nil {
		return err
	}
	if c.sharesNameWith(others) {
		return &SettingError{"Name", c.Name, "a name that no other class has"}
	}
	return nil
}

// validate checks a tenant, and its name against the tenants before it. The error names the setting
// within the tenant.
func (t *Tenant) validate(others []Tenant) *SettingError {
	if t.Name == "" {
		return &SettingError{"Name", `""`, "a name"}
	}
	for _, other := range others {
		if other.Name == t.Name {
			return &SettingError{"Name", t.Name, "a name that no other tenant has"}
		}
	}
	if !(t.QuotaRate >= 0) || !finite(t.QuotaRate) {
		return &SettingError{"QuotaRate", t.QuotaRate, "0 or more"}
	}
	return nil
}
