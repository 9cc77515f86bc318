package simwire

import (
	"errors"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/admission"
)

// settingsText holds valid settings in the form that the simulator sends.
const settingsText = `RequestClasses.count=1
RequestClasses.0.Name=one
RequestClasses.0.DeadlineUs=3000
RequestClasses.0.WindowUs=1
Specifics.Cores=1
Specifics.MemoryKb=1
Specifics.RunMemFactor=1
Rules.FallMultiple=1
RequestClasses.0.Idempotency=idempotency_key
RequestClasses.0.TargetUs=2000
Specifics.Halt=freeze
Specifics.Say=floor
Specifics.Below=tier
Specifics.CallsByClass=true
Specifics.ClassSkipWorth=0.3
Specifics.Meters=cpu_busy,other,runnable
Unknown.Key=x
ValueBy=work`

func TestParseSettingsReadsWirePaths(t *testing.T) {
	s, gauges, err := ParseSettings(settingsText)
	if err != nil || s.Cancel != admission.CancelSuspend || s.CreditMode != admission.CreditRankThreshold ||
		!s.WeightPerWork || s.Dependency != admission.DependencyTier || len(gauges) != 3 ||
		gauges[2] != gaugeRunnable {
		t.Fatalf("ParseSettings() = %+v, %v, %v; want the values of settingsText", s, gauges, err)
	}
	if c := s.Classes[0]; c.Idempotency != admission.IdempotentWithKey ||
		c.LatencyObjective != 2*time.Millisecond || !c.CallsDependency || c.DegradedWeightFraction != 0.3 {
		t.Fatalf("class 0 = %+v, want the values of settingsText", c)
	}
}

// The error names the path of the setting. It is a MalformedSettingError for a value that cannot be
// decoded, and an admission.SettingError for one that is missing or out of range.
func TestParseSettingsReportsInvalidValues(t *testing.T) {
	for line, malformed := range map[string]bool{
		"Specifics.Cores=many":         true,
		"Specifics.Halt=maybe":         true,
		"RequestClasses.count=-1":      true,
		"Specifics.MemoryKb=NaN":       true,
		"Specifics.DeepChecks=perhaps": true,
		"Rules.FallUs=-4":              true,
		"RequestClasses.0.WindowUs=0":  false,
		"Specifics.Cores=0":            false,
		"Rules.ColdShare=2":            false,
		"Specifics.MemoryKb=":          false,
	} {
		_, _, err := ParseSettings(settingsText + "\n" + line)
		path, _, _ := strings.Cut(line, "=")
		var malformedErr *MalformedSettingError
		var outOfRange *admission.SettingError
		typed := errors.As(err, &outOfRange)
		if malformed {
			typed = errors.As(err, &malformedErr)
		}
		if !typed || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: error = %v, want one of the expected type that names the path", line, err)
		}
	}
}

// TestSettingErrorsNameTheWirePath checks, for each setting that package admission may report, that the
// error names the path on the wire, which is the name that operators know.
func TestSettingErrorsNameTheWirePath(t *testing.T) {
	for setting, want := range map[string]string{
		"Classes":                           "RequestClasses",
		"Cores":                             "Specifics.Cores",
		"MemoryKB":                          "Specifics.MemoryKb",
		"RunningMemoryFactor":               "Specifics.RunMemFactor",
		"KeyMemoryKB":                       "Specifics.KeyKb",
		"MaxRunningPerCore":                 "Rules.FallMultiple",
		"WarmUpInitialShare":                "Rules.ColdShare",
		"CallQuota":                         "Specifics.CallsOut",
		"Classes[0].Name":                   "RequestClasses.0.Name",
		"Classes[0].LatencyObjective":       "RequestClasses.0.TargetUs",
		"Classes[0].Timeout":                "RequestClasses.0.DeadlineUs",
		"Classes[0].ObjectiveWorkFactor":    "RequestClasses.0.AimStretch",
		"Classes[1].Idempotency":            "RequestClasses.1.Idempotency",
		"Classes[12].IdempotencyWindow":     "RequestClasses.12.WindowUs",
		"Classes[0].PriorityWeight":         "RequestClasses.0.Worth",
		"Classes[0].LateWeightFraction":     "RequestClasses.0.LateWorth",
		"Classes[0].DegradedWeightFraction": "RequestClasses.0.ClassSkipWorth",
		"Tenants[0].Name":                   "Accounts.0.Name",
		"Tenants[3].QuotaRate":              "Accounts.3.QuotaRps",
	} {
		r := &settingsReader{values: map[string]string{want: "7"}}
		err := r.withWirePath(&admission.SettingError{Setting: setting, Value: 7, Want: "less"})
		var named *admission.SettingError
		if !errors.As(err, &named) || named.Setting != want || named.Value != 7 {
			t.Errorf("%s: error = %v, want one with the path %s and the value 7", setting, err, want)
		}
	}
}
