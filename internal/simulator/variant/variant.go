// Package variant reads what is to be tried out: a file of differences to the module's figures, to
// what runners are told, to the limits of the core and to how balancers route. A day with a variant
// is the same day.
package variant

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/yamldoc"
)

// Variant is a file of differences. What it does not name stays as the day has it.
type Variant struct {
	Name     string             `yaml:"name" json:"name"`
	Figures  map[string]float64 `yaml:"figures" json:"figures,omitempty"`
	Settings Settings           `yaml:"settings" json:"settings"`
	Limits   Limits             `yaml:"limits" json:"limits"`
	// fields of each kind of the day, by place
	Balancers []yaml.Node `yaml:"balancers" json:"-"`
	doc       *yamldoc.Document
}

// Settings are changes of what runners are told. Zero leaves a field alone; "times" multiplies what
// the day has.
type Settings struct {
	Cores         int     `yaml:"cores" json:"cores,omitempty"`
	Servers       int     `yaml:"servers" json:"servers,omitempty"`
	MemoryTimes   float64 `yaml:"memory_times" json:"memory_times,omitempty"`
	KeyTimes      float64 `yaml:"key_times" json:"key_times,omitempty"`
	CallsOutTimes float64 `yaml:"calls_out_times" json:"calls_out_times,omitempty"`
	QuotaTimes    float64 `yaml:"quota_times" json:"quota_times,omitempty"`
	AimTimes      float64 `yaml:"aim_times" json:"aim_times,omitempty"`
	CrowdLimit    float64 `yaml:"crowd_limit" json:"crowd_limit,omitempty"`
	MaxStayAwayMs float64 `yaml:"max_stay_away_ms" json:"max_stay_away_ms,omitempty"`
	NoCredit      bool    `yaml:"no_credit" json:"no_credit,omitempty"` // runners advertise nothing
}

// Limits are those of the core's own tables.
type Limits struct {
	Keys     int     `yaml:"keys" json:"keys,omitempty"`
	ResultMB float64 `yaml:"result_mb" json:"result_mb,omitempty"`
}

// Read reads and checks a file. The empty path stands for no differences.
func Read(path string) (*Variant, []byte, error) {
	if path == "" {
		return &Variant{Name: "as it is"}, nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("variant: %w", err)
	}
	v, err := Parse(path, text)
	return v, text, err
}

// Parse checks what was read from a file.
func Parse(path string, text []byte) (*Variant, error) {
	v := &Variant{}
	var err error
	if v.doc, err = yamldoc.Decode("variant", path, text, v); err != nil {
		return nil, err
	}
	if v.Name == "" {
		return nil, v.doc.Errorf("name", "missing")
	}
	f := admission.DefaultParameters()
	for _, name := range slices.Sorted(maps.Keys(v.Figures)) {
		if err := f.Set(name, v.Figures[name]); err != nil {
			return nil, v.doc.Errorf("figures."+name, "%v", err)
		}
	}
	s := &v.Settings
	for _, c := range []struct {
		field       string
		v           float64
		least, most float64
	}{
		{"settings.cores", float64(s.Cores), 1, 1024}, {"settings.servers", float64(s.Servers), 1, 2000},
		{"settings.memory_times", s.MemoryTimes, 0.01, 1000}, {"settings.key_times", s.KeyTimes, 0.01, 1000},
		{"settings.calls_out_times", s.CallsOutTimes, 0.01, 1000},
		{"settings.quota_times", s.QuotaTimes, 0.01, 1000},
		{"settings.aim_times", s.AimTimes, 0.01, 100}, {"settings.crowd_limit", s.CrowdLimit, 1, 1000},
		{"settings.max_stay_away_ms", s.MaxStayAwayMs, 1, 600_000},
		{"limits.keys", float64(v.Limits.Keys), 1, 1e7}, {"limits.result_mb", v.Limits.ResultMB, 0.001, 1e5},
	} {
		if c.v != 0 && !(c.v >= c.least && c.v <= c.most) {
			return nil, v.doc.Errorf(c.field, "%v is not from %v to %v", c.v, c.least, c.most)
		}
	}
	return v, nil
}

// Options are the variant on a scenario. An error is of the variant: it names what the scenario has
// no place for.
func (v *Variant) Options(s *day.Spec) (fleet.Options, error) {
	o := fleet.Options{
		Settings: v.apply,
		Limits:   lifecycle.KeyLimits{Keys: v.Limits.Keys, ResultBytes: int(v.Limits.ResultMB * (1 << 20))},
	}
	if len(v.Balancers) == 0 {
		return o, nil
	}
	if len(v.Balancers) > len(s.Balancers) {
		return o, v.doc.Errorf("balancers", "%d kinds, and the day has %d", len(v.Balancers), len(s.Balancers))
	}
	kinds, err := s.Override(v.Balancers)
	if err != nil {
		return o, v.doc.Errorf("balancers."+strconv.Itoa(err.Place)+"."+err.Field, "%s", err.What)
	}
	o.Kinds = kinds
	return o, nil
}

func (v *Variant) apply(set *admission.Settings) {
	set.Parameters = admission.DefaultParameters()
	for name, value := range v.Figures {
		if err := set.Parameters.Set(name, value); err != nil {
			panic(err) // Parse has checked it
		}
	}
	s := &v.Settings
	times := func(to *float64, by float64) {
		if by > 0 {
			*to *= by
		}
	}
	if s.Cores > 0 {
		set.Cores = s.Cores
	}
	if s.Servers > 0 {
		set.Servers = s.Servers
	}
	times(&set.MemoryKB, s.MemoryTimes)
	times(&set.KeyMemoryKB, s.KeyTimes)
	times(&set.CallQuota, s.CallsOutTimes)
	set.Tenants = slices.Clone(set.Tenants)
	for i := range set.Tenants {
		times(&set.Tenants[i].QuotaRate, s.QuotaTimes)
	}
	if s.AimTimes > 0 {
		set.Classes = slices.Clone(set.Classes)
		for i := range set.Classes {
			set.Classes[i].LatencyObjective = time.Duration(
				float64(set.Classes[i].LatencyObjective) * s.AimTimes,
			)
		}
	}
	if s.CrowdLimit > 0 {
		set.MaxRunningPerCore = s.CrowdLimit
	}
	if s.MaxStayAwayMs > 0 {
		set.MaxRetryAfter = time.Duration(s.MaxStayAwayMs * float64(time.Millisecond))
	}
	if s.NoCredit {
		set.CreditMode = admission.CreditNone
	}
}
