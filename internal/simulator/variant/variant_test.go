package variant

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
)

// variantText is a variant file that sets values in each section.
const variantText = `name: tight
figures:
  target_share: 0.3
settings:
  cores: 2
  calls_out_times: 0.5
  quota_times: 2
  max_stay_away_ms: 500
limits: {keys: 100}
balancers:
  - {retry: bounded, tries: 3}
  -
`

// dayText is a day with two kinds of balancers.
const dayText = `name: d
balancers:
  - {count: 2, choose: round, retry: limitless, heeds: 1}
  - {choose: two, tries: 5}
`

// scenario returns the day of dayText.
func scenario(t *testing.T) *day.Spec {
	t.Helper()
	s, err := day.Parse("day.yaml", []byte(dayText))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Options change only what the variant names. The settings and the balancer kinds of the day stay as they are.
func TestOptionsApplyDifferences(t *testing.T) {
	v, err := Parse("v.yaml", []byte(variantText))
	if err != nil {
		t.Fatal(err)
	}
	s := scenario(t)
	o, err := v.Options(s)
	if err != nil {
		t.Fatal(err)
	}
	original := admission.Settings{Cores: 6, CallQuota: 4, Tenants: []admission.Tenant{{Name: "a", QuotaRate: 10}}}
	changed := original
	o.Settings(&changed)
	if changed.Cores != 2 || changed.CallQuota != 2 || changed.Tenants[0].QuotaRate != 20 ||
		changed.MaxRetryAfter != 500*time.Millisecond ||
		changed.Parameters.DelayTargetShare != 0.3 ||
		changed.Parameters.RejectDelayFactor != admission.DefaultParameters().RejectDelayFactor {
		t.Errorf("changed settings = %+v, want the values of the variant file", changed)
	}
	if original.Tenants[0].QuotaRate != 10 {
		t.Error("the day's own settings were changed")
	}
	if o.Limits.Keys != 100 || o.Limits.ResultBytes != 0 {
		t.Errorf("limits = %+v, want 100 keys and no limit of the results", o.Limits)
	}
	if k := o.BalancerKinds[0]; k.Retry != string(balance.RetryBounded) || k.Tries != 3 || k.Choose != "round" ||
		k.Count != 2 || k.Heeds != 1 {
		t.Errorf("first balancer kind = %+v, want two changed fields", k)
	}
	if o.BalancerKinds[1].Tries != 5 || s.Balancers[0].Retry != "limitless" {
		t.Errorf("second kind = %+v, want 5 tries; the day's first kind = %+v, want it unchanged",
			o.BalancerKinds[1], s.Balancers[0])
	}
}

// The error of an invalid variant names the file, the line and the field.
func TestInvalidVariantsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name: tight", "", "variant: v.yaml:1: field name: missing"},
		{
			"target_share: 0.3",
			"target: 0.3",
			"variant: v.yaml:3: field figures.target: the admission controller has no parameter of this name",
		},
		{
			"target_share: 0.3",
			"target_share: 3",
			"variant: v.yaml:3: field figures.target_share: 3 is not from 0.01 to 1",
		},
		{"cores: 2", "cores: -2", "variant: v.yaml:5: field settings.cores: -2 is not from 1 to 1024"},
		{"cores: 2", "cpus: 2", "variant: v.yaml:5: field cpus: unknown"},
		{"keys: 100", "keys: -1", "variant: v.yaml:9: field limits.keys: -1 is not"},
		{"retry: bounded", "retry: often", `variant: v.yaml:11: field balancers.0.retry: "often" is none of`},
		{"tries: 3", "trials: 3", "variant: v.yaml:11: field balancers.0.trials: unknown"},
		{"tries: 3", "count: 3", "variant: v.yaml:11: field balancers.0.count: how many there are"},
		{"  -\n", "  -\n  - {tries: 2}\n", "variant: v.yaml:10: field balancers: 3 balancer kinds, but the day has 2"},
	} {
		v, err := Parse("v.yaml", []byte(strings.Replace(variantText, c.old, c.new, 1)))
		if err == nil {
			_, err = v.Options(scenario(t))
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %q: error = %v, want %s", c.new, err, c.want)
		}
	}
}

// Without a variant file nothing changes.
func TestEmptyPathChangesNothing(t *testing.T) {
	v, _, err := Read("")
	if err != nil {
		t.Fatal(err)
	}
	o, err := v.Options(scenario(t))
	settings := admission.Settings{Cores: 6}
	o.Settings(&settings)
	if err != nil || o.BalancerKinds != nil || settings.Cores != 6 ||
		settings.Parameters != admission.DefaultParameters() {
		t.Errorf("settings = %+v, error = %v; want unchanged settings", settings, err)
	}
}

// The schemas contain the fields of scenario files and of variant files.
func TestSchemasNameEachField(t *testing.T) {
	fields := map[string][]string{
		"day":     {"of_capacity", "thrash_at", "retry_budget", "window_ms", "quota_of_capacity"},
		"variant": {"call_ahead", "calls_out_times", "result_mb", "copy_after_ms"},
	}
	for name, schema := range map[string]any{"day": day.Schema(), "variant": Schema()} {
		text, err := json.Marshal(schema)
		if err != nil {
			t.Fatal(err)
		}
		for _, field := range fields[name] {
			if !strings.Contains(string(text), `"`+field+`"`) {
				t.Errorf("the schema of a %s has no %s", name, field)
			}
		}
	}
}
