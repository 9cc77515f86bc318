// Package variant reads variant files, which the command line calls files of differences. For a simulation, a
// variant file changes the admission module's parameters, the runners' settings, the limits of their tables
// of idempotency keys or the balancers' routing. Everything else of the simulated day stays the same.
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

// Variant is the content of a variant file. Values that the file does not name stay as the day has them.
type Variant struct {
	Name string `yaml:"name" json:"name"`
	// Parameters holds values of the admission module's parameters by admission.Parameter.Name.
	Parameters map[string]float64 `yaml:"figures" json:"figures,omitempty"`
	Settings   Settings           `yaml:"settings" json:"settings"`
	Limits     Limits             `yaml:"limits" json:"limits"`
	// Balancers holds the changed fields of each balancer kind, in the order of the day's kinds.
	Balancers []yaml.Node `yaml:"balancers" json:"-"`
	doc       *yamldoc.Document
}

// Settings holds changes of the settings that the runners get. A field that is 0 changes nothing; a factor
// multiplies the day's value.
type Settings struct {
	Cores                  int     `yaml:"cores" json:"cores,omitempty"`
	Servers                int     `yaml:"servers" json:"servers,omitempty"`
	MemoryFactor           float64 `yaml:"memory_times" json:"memory_times,omitempty"`
	KeyMemoryFactor        float64 `yaml:"key_times" json:"key_times,omitempty"`
	CallQuotaFactor        float64 `yaml:"calls_out_times" json:"calls_out_times,omitempty"`
	TenantQuotaFactor      float64 `yaml:"quota_times" json:"quota_times,omitempty"`
	LatencyObjectiveFactor float64 `yaml:"aim_times" json:"aim_times,omitempty"`
	MaxRunningPerCore      float64 `yaml:"crowd_limit" json:"crowd_limit,omitempty"`
	MaxRetryAfterMs        float64 `yaml:"max_stay_away_ms" json:"max_stay_away_ms,omitempty"`
	NoCredit               bool    `yaml:"no_credit" json:"no_credit,omitempty"` // runners advertise no credit
}

// Limits holds the limits of a runner's table of idempotency keys. 0 leaves a limit unchanged.
type Limits struct {
	Keys     int     `yaml:"keys" json:"keys,omitempty"`
	ResultMB float64 `yaml:"result_mb" json:"result_mb,omitempty"` // size of the remembered results in MiB
}

// bytesPerMB is the unit of Limits.ResultMB.
const bytesPerMB = 1 << 20

// Read reads and checks a variant file, and returns its text too. For an empty path it returns a variant
// that changes nothing.
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

// Parse decodes and checks the text of the variant file at a path. Its errors are those of package yamldoc
// and name the line and the field.
func Parse(path string, text []byte) (*Variant, error) {
	v := &Variant{}
	var err error
	if v.doc, err = yamldoc.Decode("variant", path, text, v); err != nil {
		return nil, err
	}
	if v.Name == "" {
		return nil, v.doc.Errorf("name", "missing")
	}
	parameters := admission.DefaultParameters()
	for _, name := range slices.Sorted(maps.Keys(v.Parameters)) {
		if err := parameters.Set(name, v.Parameters[name]); err != nil {
			return nil, v.doc.Errorf("figures."+name, "%v", err)
		}
	}
	for _, c := range v.bounds() {
		if c.value != 0 && !(c.value >= c.min && c.value <= c.max) {
			return nil, v.doc.Errorf(c.field, "%v is not from %v to %v", c.value, c.min, c.max)
		}
	}
	return v, nil
}

// bounded is a value of a variant file with its bounds.
type bounded struct {
	field           string
	value, min, max float64
}

// bounds returns the bounded values of the variant, in the order in which they are checked.
func (v *Variant) bounds() []bounded {
	s := &v.Settings
	limits := &v.Limits
	return []bounded{
		{"settings.cores", float64(s.Cores), 1, 1024},
		{"settings.servers", float64(s.Servers), 1, 2000},
		{"settings.memory_times", s.MemoryFactor, 0.01, 1000},
		{"settings.key_times", s.KeyMemoryFactor, 0.01, 1000},
		{"settings.calls_out_times", s.CallQuotaFactor, 0.01, 1000},
		{"settings.quota_times", s.TenantQuotaFactor, 0.01, 1000},
		{"settings.aim_times", s.LatencyObjectiveFactor, 0.01, 100},
		{"settings.crowd_limit", s.MaxRunningPerCore, 1, 1000},
		{"settings.max_stay_away_ms", s.MaxRetryAfterMs, 1, 600_000},
		{"limits.keys", float64(limits.Keys), 1, 1e7},
		{"limits.result_mb", limits.ResultMB, 0.001, 1e5},
	}
}

// Options returns the options of a simulation of the day with the variant. An error names the field of the
// variant that does not fit the day.
func (v *Variant) Options(s *day.Spec) (fleet.Options, error) {
	limits := lifecycle.KeyLimits{Keys: v.Limits.Keys, ResultBytes: int(v.Limits.ResultMB * bytesPerMB)}
	o := fleet.Options{Settings: v.apply, Limits: limits}
	if len(v.Balancers) == 0 {
		return o, nil
	}
	if len(v.Balancers) > len(s.Balancers) {
		return o, v.doc.Errorf("balancers", "%d balancer kinds, but the day has %d", len(v.Balancers), len(s.Balancers))
	}
	kinds, err := s.Override(v.Balancers)
	if err != nil {
		return o, v.doc.Errorf("balancers."+strconv.Itoa(err.Index)+"."+err.Field, "%s", err.Reason)
	}
	o.BalancerKinds = kinds
	return o, nil
}

// apply changes the settings of a runner. It copies the slices whose elements it changes, as they belong to
// the day.
func (v *Variant) apply(settings *admission.Settings) {
	settings.Parameters = admission.DefaultParameters()
	for name, value := range v.Parameters {
		if err := settings.Parameters.Set(name, value); err != nil {
			panic(err) // Parse has checked the name and the value
		}
	}
	s := &v.Settings
	if s.Cores > 0 {
		settings.Cores = s.Cores
	}
	if s.Servers > 0 {
		settings.Servers = s.Servers
	}
	multiply(&settings.MemoryKB, s.MemoryFactor)
	multiply(&settings.KeyMemoryKB, s.KeyMemoryFactor)
	multiply(&settings.CallQuota, s.CallQuotaFactor)
	settings.Tenants = slices.Clone(settings.Tenants)
	for i := range settings.Tenants {
		multiply(&settings.Tenants[i].QuotaRate, s.TenantQuotaFactor)
	}
	if s.LatencyObjectiveFactor > 0 {
		settings.Classes = slices.Clone(settings.Classes)
		for i := range settings.Classes {
			objective := &settings.Classes[i].LatencyObjective
			*objective = time.Duration(float64(*objective) * s.LatencyObjectiveFactor)
		}
	}
	if s.MaxRunningPerCore > 0 {
		settings.MaxRunningPerCore = s.MaxRunningPerCore
	}
	if s.MaxRetryAfterMs > 0 {
		settings.MaxRetryAfter = time.Duration(s.MaxRetryAfterMs * float64(time.Millisecond))
	}
	if s.NoCredit {
		settings.CreditMode = admission.CreditNone
	}
}

// multiply multiplies a value by a factor, unless the factor is 0.
func multiply(value *float64, factor float64) {
	if factor > 0 {
		*value *= factor
	}
}
