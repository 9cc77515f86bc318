package admission

import (
	"fmt"
	"math"
	"strconv"
)

// SettingError is a setting that is missing or out of range, or that another contradicts.
type SettingError struct {
	Setting string // as Settings names it, for example Classes[2].IdempotencyWindow
	Value   any
	Want    string // what it would have to be
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("admission: setting %s: %v, and it has to be %s", e.Setting, e.Value, e.Want)
}

// Validate reports a setting that a controller cannot do without. What the settings allow beyond what
// it makes use of is no fault.
func (s *Settings) Validate() error {
	finite := func(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
	shared := s.Dependency == DependencyShared
	for _, f := range []struct {
		name  string
		value any
		want  string
		good  bool
	}{
		{"Classes", len(s.Classes), "at least one", len(s.Classes) > 0},
		{"Classes", len(s.Classes), "at most " + strconv.Itoa(MaxClasses), len(s.Classes) <= MaxClasses},
		{"Cores", s.Cores, "1 or more", s.Cores >= 1},
		{"MemoryKB", s.MemoryKB, "above 0", s.MemoryKB > 0 && finite(s.MemoryKB)},
		{"RunningMemoryFactor", s.RunningMemoryFactor, "1 or more", s.RunningMemoryFactor >= 1 && finite(s.RunningMemoryFactor)},
		{"KeyMemoryKB", s.KeyMemoryKB, "0 or more", s.KeyMemoryKB >= 0 && finite(s.KeyMemoryKB)},
		{"MaxRunningPerCore", s.MaxRunningPerCore, "1 or more", s.MaxRunningPerCore >= 1 && finite(s.MaxRunningPerCore)},
		{"WarmUpInitialShare", s.WarmUpInitialShare, "from 0 to 1", s.WarmUpInitialShare >= 0 && s.WarmUpInitialShare <= 1},
		{"CallQuota", s.CallQuota, "above 0, and calls are shared", !shared || s.CallQuota > 0 && finite(s.CallQuota)},
	} {
		if !f.good {
			return &SettingError{f.name, f.value, f.want}
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(s.Classes[:i]); err != nil {
			err.Setting = fmt.Sprintf("Classes[%d].%s", i, err.Setting)
			return err
		}
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("Tenants[%d].", i)
		if t.Name == "" {
			return &SettingError{at + "Name", `""`, "a name"}
		}
		for _, o := range s.Tenants[:i] {
			if o.Name == t.Name {
				return &SettingError{at + "Name", t.Name, "a name that no other tenant has"}
			}
		}
		if !(t.QuotaRate >= 0) || !finite(t.QuotaRate) {
			return &SettingError{at + "QuotaRate", t.QuotaRate, "0 or more"}
		}
	}
	return nil
}

// validate reports what is wrong with a class beside those before it.
func (c *Class) validate(others []Class) *SettingError {
	fraction := func(v float64) bool { return v >= 0 && v <= 1 }
	for _, f := range []struct {
		name  string
		value any
		want  string
		good  bool
	}{
		{"Name", `""`, "a name", c.Name != ""},
		{"LatencyObjective", c.LatencyObjective, "above 0", c.LatencyObjective > 0},
		{"Timeout", c.Timeout, "above 0", c.Timeout > 0},
		{"ObjectiveWorkFactor", c.ObjectiveWorkFactor, "0 or more", c.ObjectiveWorkFactor >= 0 && !math.IsInf(c.ObjectiveWorkFactor, 0)},
		{"Idempotency", c.Idempotency, "one of the effects", c.Idempotency <= NonIdempotent},
		{"IdempotencyWindow", c.IdempotencyWindow, "above 0, and the class is keyed", c.Idempotency != IdempotentWithKey || c.IdempotencyWindow > 0},
		{"PriorityWeight", c.PriorityWeight, "0 or more", c.PriorityWeight >= 0 && !math.IsInf(c.PriorityWeight, 0)},
		{"LateWeightFraction", c.LateWeightFraction, "from 0 to 1", fraction(c.LateWeightFraction)},
		{"DegradedWeightFraction", c.DegradedWeightFraction, "from 0 to 1", fraction(c.DegradedWeightFraction)},
	} {
		if !f.good {
			return &SettingError{f.name, f.value, f.want}
		}
	}
	for i := range others {
		if o := &others[i]; o.Name == c.Name && !o.Removed && !c.Removed {
			return &SettingError{"Name", c.Name, "a name that no other class has"}
		}
	}
	return nil
}
