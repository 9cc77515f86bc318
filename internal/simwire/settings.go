package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/admission"
)

// maxCount is the largest count that a setting may have.
const maxCount = 1 << 20

// MalformedSettingError reports a setting whose text is not a value of the setting's type.
type MalformedSettingError struct {
	Path  string // path of the setting on the wire
	Value string
}

func (e *MalformedSettingError) Error() string {
	return fmt.Sprintf("admission: setting %s: malformed value %q", e.Path, e.Value)
}

// Enumerated settings: their values by their names on the wire.
var (
	idempotencies = map[string]admission.Idempotency{
		"read_like":       admission.Idempotent,
		"idempotency_key": admission.IdempotentWithKey,
		"non_idempotent":  admission.NonIdempotent,
	}
	creditModes = map[string]admission.CreditMode{
		"":          admission.CreditNone,
		"silent":    admission.CreditNone,
		"floor":     admission.CreditRankThreshold,
		"allowance": admission.CreditPerCaller,
		"weight":    admission.CreditWeight,
	}
	cancelModes = map[string]admission.CancelMode{
		"":        admission.CancelNone,
		"silent":  admission.CancelNone,
		"discard": admission.CancelDiscard,
		"freeze":  admission.CancelSuspend,
	}
	dependencies = map[string]admission.Dependency{
		"":            admission.DependencyNone,
		"silent":      admission.DependencyNone,
		"one_for_all": admission.DependencyShared,
		"tier":        admission.DependencyTier,
	}
	weighsPerWork = map[string]bool{"": false, "request": false, "work": true}
)

// ParseSettings parses start-up settings of lines path=value, and decodes them with DecodeSettings.
func ParseSettings(text string) (admission.Settings, []Gauge, error) {
	values := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(line, "="); ok {
			values[path] = value
		}
	}
	return DecodeSettings(values)
}

// DecodeSettings decodes start-up settings, given by their paths on the wire, and returns them with the
// order in which timer events carry the gauges. Unknown paths are ignored. The error is a
// MalformedSettingError for the first value that cannot be decoded, or an admission.SettingError with
// the path on the wire for a setting that is missing or out of range.
func DecodeSettings(values map[string]string) (admission.Settings, []Gauge, error) {
	r := &settingsReader{values: values}
	s := r.server()
	s.Classes = r.classes()
	s.Tenants = r.tenants()
	var gauges []Gauge
	for _, name := range r.list("Specifics.Meters") {
		gauges = append(gauges, gaugeNames[name])
	}
	if r.err == nil {
		r.err = r.withWirePath(s.Validate())
	}
	return s, gauges, r.err
}

// settingsReader decodes settings by path. It keeps the error for the first malformed value.
type settingsReader struct {
	values map[string]string
	err    error
}

// server reads the settings that do not belong to a class or tenant.
func (r *settingsReader) server() admission.Settings {
	return admission.Settings{
		Servers:                   r.count("Servers"),
		Callers:                   r.count("Specifics.Upstreams"),
		WarmingUp:                 r.flag("Specifics.JustStarted"),
		Cores:                     r.count("Specifics.Cores"),
		MemoryKB:                  r.float("Specifics.MemoryKb"),
		RunningMemoryFactor:       r.float("Specifics.RunMemFactor"),
		KeyMemoryKB:               r.float("Specifics.KeyKb"),
		ResultMaxAge:              r.duration("Specifics.FreshUs"),
		Cancel:                    word(r, "Specifics.Halt", cancelModes),
		CreditMode:                word(r, "Specifics.Say", creditModes),
		CreditLifetime:            r.duration("Specifics.HeededUs"),
		Dependency:                word(r, "Specifics.Below", dependencies),
		CallQuota:                 r.float("Specifics.CallsOut"),
		CallQuotaWindow:           r.duration("Specifics.CallsOverUs"),
		AbandonedCallTime:         r.duration("Specifics.LingerUs"),
		DeepHealthChecks:          r.flag("Specifics.DeepChecks"),
		ReportsAbandoned:          r.flag("Specifics.TellsGone"),
		MarksRetries:              r.flag("Callers.MarksRetry"),
		EndpointListFollowsHealth: r.flag("Specifics.RegistryFollows"),
		IdleConnectionTimeout:     r.duration("Specifics.IdleUs"),
		HandshakeCost:             r.float("Prices.Handshake"),
		MaxRetryAfter:             r.duration("Caps.MaxRetryAfterUs"),
		NoRetryAfter:              r.values["Caps.RetryAfter"] != "" && !r.flag("Caps.RetryAfter"),
		WeightPerWork:             word(r, "ValueBy", weighsPerWork),
		OverQuotaWeight:           r.float("OverShareWorth"),
		DeadlineGrace:             r.duration("Rules.AnswerSlackUs"),
		DrainGrace:                r.duration("Rules.StopSendingWithinUs"),
		MaxRunningPerCore:         r.float("Rules.FallMultiple"),
		MaxRunningWindow:          r.duration("Rules.FallUs"),
		WarmUpInitialShare:        r.float("Rules.ColdShare"),
		WarmUpTime:                r.duration("Rules.ColdUs"),
	}
}

// classes reads the classes. Whether they call the dependency, and the weight of an answer without
// that call, are in separate lists with one value per class.
func (r *settingsReader) classes() (classes []admission.Class) {
	const callsPath, degradedPath = "Specifics.CallsByClass", "Specifics.ClassSkipWorth"
	calls, degraded := r.list(callsPath), r.list(degradedPath)
	for i := range r.listLength("RequestClasses.count") {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		class := admission.Class{
			Name:                r.values[at+"Name"],
			LatencyObjective:    r.duration(at + "TargetUs"),
			ObjectiveWorkFactor: r.float(at + "AimStretch"),
			Timeout:             r.duration(at + "DeadlineUs"),
			IdempotencyWindow:   r.duration(at + "WindowUs"),
			Idempotency:         word(r, at+"Idempotency", idempotencies),
			PriorityWeight:      r.float(at + "Worth"),
			LateWeightFraction:  r.float(at + "LateWorth"),
		}
		if i < len(calls) {
			class.CallsDependency = r.flagText(callsPath, calls[i])
		}
		if i < len(degraded) {
			fraction, err := strconv.ParseFloat(degraded[i], 64)
			if err != nil {
				r.malformed(degradedPath, degraded[i])
			}
			class.DegradedWeightFraction = fraction
		}
		classes = append(classes, class)
	}
	return classes
}

func (r *settingsReader) tenants() (tenants []admission.Tenant) {
	for i := range r.listLength("Accounts.count") {
		at := fmt.Sprintf("Accounts.%d.", i)
		tenant := admission.Tenant{Name: r.values[at+"Name"], QuotaRate: r.float(at + "QuotaRps")}
		tenants = append(tenants, tenant)
	}
	return tenants
}

// malformed records the error for a malformed value, unless there was one before.
func (r *settingsReader) malformed(path, value string) {
	if r.err == nil {
		r.err = &MalformedSettingError{Path: path, Value: value}
	}
}

// float reads a finite number. A missing number is 0; a missing count, duration or flag is zero as well.
func (r *settingsReader) float(path string) float64 {
	value := r.values[path]
	if value == "" {
		return 0
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.malformed(path, value)
		return 0
	}
	return f
}

// count reads an integer from 0 to maxCount.
func (r *settingsReader) count(path string) int {
	f := r.float(path)
	if f < 0 || f > maxCount || f != math.Trunc(f) {
		r.malformed(path, r.values[path])
		return 0
	}
	return int(f)
}

// duration reads a duration in microseconds, up to maxMicros.
func (r *settingsReader) duration(path string) time.Duration {
	f := r.float(path)
	if f < 0 || f > float64(maxMicros) {
		r.malformed(path, r.values[path])
		return 0
	}
	return time.Duration(f) * time.Microsecond
}

// flag reads true or false.
func (r *settingsReader) flag(path string) bool { return r.flagText(path, r.values[path]) }

func (r *settingsReader) flagText(path, value string) bool {
	switch value {
	case "true":
		return true
	case "", "false":
		return false
	}
	r.malformed(path, value)
	return false
}

// listLength reads the number of objects in a list. Each object has at least one path of its own, so a
// length above the number of all paths is malformed.
func (r *settingsReader) listLength(path string) int {
	n := r.count(path)
	if n > len(r.values) {
		r.malformed(path, r.values[path])
		return 0
	}
	return n
}

// list reads a list of values that are separated by commas.
func (r *settingsReader) list(path string) []string {
	if r.values[path] == "" {
		return nil
	}
	return strings.Split(r.values[path], ",")
}

// word reads an enumerated setting, whose values are given by their names on the wire.
func word[T any](r *settingsReader, path string, words map[string]T) T {
	v, ok := words[r.values[path]]
	if !ok {
		r.malformed(path, r.values[path])
	}
	return v
}

// Paths on the wire of the settings that admission.Settings.Validate may report, by the names of their
// fields.
var (
	settingPaths = map[string]string{
		"Classes":             "RequestClasses",
		"Cores":               "Specifics.Cores",
		"MemoryKB":            "Specifics.MemoryKb",
		"RunningMemoryFactor": "Specifics.RunMemFactor",
		"KeyMemoryKB":         "Specifics.KeyKb",
		"CallQuota":           "Specifics.CallsOut",
		"MaxRunningPerCore":   "Rules.FallMultiple",
		"WarmUpInitialShare":  "Rules.ColdShare",
	}
	classPaths = map[string]string{
		"Name":                   "Name",
		"LatencyObjective":       "TargetUs",
		"ObjectiveWorkFactor":    "AimStretch",
		"Timeout":                "DeadlineUs",
		"IdempotencyWindow":      "WindowUs",
		"Idempotency":            "Idempotency",
		"PriorityWeight":         "Worth",
		"LateWeightFraction":     "LateWorth",
		"DegradedWeightFraction": "ClassSkipWorth",
	}
	tenantPaths = map[string]string{"Name": "Name", "QuotaRate": "QuotaRps"}
)

// wirePath translates the name of a setting, such as "Classes[2].IdempotencyWindow", to its path on
// the wire, such as "RequestClasses.2.WindowUs".
func wirePath(setting string) string {
	list, rest, indexed := strings.Cut(setting, "[")
	if !indexed {
		return settingPaths[setting]
	}
	index, field, _ := strings.Cut(rest, "].")
	if list == "Tenants" {
		return "Accounts." + index + "." + tenantPaths[field]
	}
	return "RequestClasses." + index + "." + classPaths[field]
}

// withWirePath replaces the name of the setting in a SettingError by its path on the wire. A setting
// that is not given at all is reported as missing and not as 0.
func (r *settingsReader) withWirePath(err error) error {
	var invalid *admission.SettingError
	if !errors.As(err, &invalid) {
		return err
	}
	named := &admission.SettingError{
		Setting: wirePath(invalid.Setting),
		Value:   invalid.Value,
		Want:    invalid.Want,
	}
	if r.values[named.Setting] == "" && r.values[named.Setting+".count"] == "" {
		named.Value = "missing"
	}
	return named
}
