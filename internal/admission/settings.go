package admission

import (
	"fmt"
	"math"
	"strconv"
)

// SettingError is a setting that is missing or out of range, or that another contradicts.
type SettingError struct {
	Setting string // as Settings names it, for example Classes[2].Window
	Value   any
	Want    string // what it would have to be
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("admission: setting %s: %v, and it has to be %s", e.Setting, e.Value, e.Want)
}

// Check reports a setting that a controller cannot do without. What the settings allow beyond what
// it makes use of is no fault.
func (s *Settings) Check() error {
	finite := func(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
	shared := s.Dependency == DependencyShared
	for _, f := range []struct {
		name  string
		value any
		want  string
		good  bool
	}{
		{"Classes", len(s.Classes), "at least one", len(s.Classes) > 0},
		{"Classes", len(s.Classes), "at most " + strconv.Itoa(MostClasses), len(s.Classes) <= MostClasses},
		{"Cores", s.Cores, "1 or more", s.Cores >= 1},
		{"MemoryKB", s.MemoryKB, "above 0", s.MemoryKB > 0 && finite(s.MemoryKB)},
		{"RunFactor", s.RunFactor, "1 or more", s.RunFactor >= 1 && finite(s.RunFactor)},
		{"KeyKB", s.KeyKB, "0 or more", s.KeyKB >= 0 && finite(s.KeyKB)},
		{"CrowdLimit", s.CrowdLimit, "1 or more", s.CrowdLimit >= 1 && finite(s.CrowdLimit)},
		{"ColdShare", s.ColdShare, "from 0 to 1", s.ColdShare >= 0 && s.ColdShare <= 1},
		{"CallsOut", s.CallsOut, "above 0, and calls are shared", !shared || s.CallsOut > 0 && finite(s.CallsOut)},
	} {
		if !f.good {
			return &SettingError{f.name, f.value, f.want}
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(s.Classes[:i]); err != nil {
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

// check reports what is wrong with a class beside those before it.
func (c *Class) check(others []Class) *SettingError {
	fraction := func(v float64) bool { return v >= 0 && v <= 1 }
	for _, f := range []struct {
		name  string
		value any
		want  string
		good  bool
	}{
		{"Name", `""`, "a name", c.Name != ""},
		{"Target", c.Target, "above 0", c.Target > 0},
		{"Deadline", c.Deadline, "above 0", c.Deadline > 0},
		{"AimStretch", c.AimStretch, "0 or more", c.AimStretch >= 0 && !math.IsInf(c.AimStretch, 0)},
		{"Effect", c.Effect, "one of the effects", c.Effect <= Unsafe},
		{"Window", c.Window, "above 0, and the class is keyed", c.Effect != Keyed || c.Window > 0},
		{"Worth", c.Worth, "0 or more", c.Worth >= 0 && !math.IsInf(c.Worth, 0)},
		{"LateWorth", c.LateWorth, "from 0 to 1", fraction(c.LateWorth)},
		{"OmitWorth", c.OmitWorth, "from 0 to 1", fraction(c.OmitWorth)},
	} {
		if !f.good {
			return &SettingError{f.name, f.value, f.want}
		}
	}
	for i := range others {
		if o := &others[i]; o.Name == c.Name && !o.Dropped && !c.Dropped {
			return &SettingError{"Name", c.Name, "a name that no other class has"}
		}
	}
	return nil
}
