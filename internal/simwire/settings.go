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

// pairs holds start-up settings by path and remembers the first malformed value.
type pairs struct {
	m   map[string]string
	err error
}

func (p *pairs) bad(k, v string) {
	if p.err == nil {
		p.err = fmt.Errorf("admission: setting %s: malformed value %q", k, v)
	}
}

func (p *pairs) num(k string) float64 {
	v, ok := p.m[k]
	if !ok || v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		p.bad(k, v)
		return 0
	}
	return f
}

func (p *pairs) count(k string) int {
	f := p.num(k)
	if f < 0 || f > 1<<20 || f != math.Trunc(f) {
		p.bad(k, p.m[k])
		return 0
	}
	return int(f)
}

func (p *pairs) dur(k string) time.Duration {
	f := p.num(k)
	if f < 0 || f > float64(maxMicros) {
		p.bad(k, p.m[k])
		return 0
	}
	return time.Duration(f) * time.Microsecond
}

func (p *pairs) flag(k string) bool {
	return p.flagText(k, p.m[k])
}

func (p *pairs) flagText(k, v string) bool {
	switch v {
	case "true":
		return true
	case "", "false":
		return false
	}
	p.bad(k, v)
	return false
}

// items is how many objects a list has. Each of them has a path, so that a count beyond those is no
// list's.
func (p *pairs) items(k string) int {
	n := p.count(k)
	if n > len(p.m) {
		p.bad(k, p.m[k])
		return 0
	}
	return n
}

// list returns the comma-joined values under k.
func (p *pairs) list(k string) []string {
	if p.m[k] == "" {
		return nil
	}
	return strings.Split(p.m[k], ",")
}

// word looks the value of k up among the words of the wire.
func word[T any](p *pairs, k string, words map[string]T) T {
	v, ok := words[p.m[k]]
	if !ok {
		p.bad(k, p.m[k])
	}
	return v
}

var (
	effects = map[string]admission.Idempotency{"read_like": admission.Idempotent, "idempotency_key": admission.IdempotentWithKey,
		"non_idempotent": admission.NonIdempotent}
	credits = map[string]admission.CreditMode{"": admission.CreditNone, "silent": admission.CreditNone,
		"floor": admission.CreditRankThreshold, "allowance": admission.CreditPerCaller, "weight": admission.CreditWeight}
	halts = map[string]admission.CancelMode{"": admission.CancelNone, "silent": admission.CancelNone,
		"discard": admission.CancelDiscard, "freeze": admission.CancelSuspend}
	belows = map[string]admission.Dependency{"": admission.DependencyNone, "silent": admission.DependencyNone,
		"one_for_all": admission.DependencyShared, "tier": admission.DependencyTier}
	byWork = map[string]bool{"": false, "request": false, "work": true}
)

// Gauge is the place of one Gauge in admission.Gauges.
type Gauge int

const (
	gaugeOther Gauge = iota
	gaugeCPU
	gaugeRunnable
	gaugeMemory
	gaugeConnections
)

var gaugeNames = map[string]Gauge{"cpu_busy": gaugeCPU, "runnable": gaugeRunnable, "mem_used": gaugeMemory,
	"sockets": gaugeConnections}

// ParseSettings reads start-up text of path=value lines. Unknown paths are skipped.
func ParseSettings(text string) (admission.Settings, []Gauge, error) {
	m := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(line, "="); ok {
			m[k] = v
		}
	}
	return DecodeSettings(m)
}

// DecodeSettings reads start-up settings by their paths. Unknown paths are skipped.
func DecodeSettings(m map[string]string) (admission.Settings, []Gauge, error) {
	p := &pairs{m: m}
	s := admission.Settings{
		Servers: p.count(
			"Servers",
		), Callers: p.count("Specifics.Upstreams"), WarmingUp: p.flag("Specifics.JustStarted"),
		Cores: p.count("Specifics.Cores"), MemoryKB: p.num("Specifics.MemoryKb"),
		RunningMemoryFactor: p.num("Specifics.RunMemFactor"), KeyMemoryKB: p.num("Specifics.KeyKb"),
		ResultMaxAge: p.dur("Specifics.FreshUs"), Cancel: word(p, "Specifics.Halt", halts),
		CreditMode: word(p, "Specifics.Say", credits), CreditLifetime: p.dur("Specifics.HeededUs"),
		Dependency: word(p, "Specifics.Below", belows), CallQuota: p.num("Specifics.CallsOut"),
		CallQuotaWindow: p.dur("Specifics.CallsOverUs"), AbandonedCallTime: p.dur("Specifics.LingerUs"),
		DeepHealthChecks: p.flag("Specifics.DeepChecks"), ReportsAbandoned: p.flag("Specifics.TellsGone"),
		MarksRetries: p.flag("Callers.MarksRetry"), EndpointListFollowsHealth: p.flag("Specifics.RegistryFollows"),
		IdleConnectionTimeout: p.dur("Specifics.IdleUs"), HandshakeCost: p.num("Prices.Handshake"),
		MaxRetryAfter: p.dur(
			"Caps.MaxRetryAfterUs",
		), NoRetryAfter: p.m["Caps.RetryAfter"] != "" && !p.flag("Caps.RetryAfter"),
		WeightPerWork: word(p, "ValueBy", byWork), OverQuotaWeight: p.num("OverShareWorth"),
		DeadlineGrace: p.dur("Rules.AnswerSlackUs"), DrainGrace: p.dur("Rules.StopSendingWithinUs"),
		MaxRunningPerCore: p.num("Rules.FallMultiple"), MaxRunningWindow: p.dur("Rules.FallUs"),
		WarmUpInitialShare: p.num("Rules.ColdShare"), WarmUpTime: p.dur("Rules.ColdUs"),
	}
	calls, omits := p.list("Specifics.CallsByClass"), p.list("Specifics.ClassSkipWorth")
	for i := range p.items("RequestClasses.count") {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		c := admission.Class{
			Name: p.m[at+"Name"], LatencyObjective: p.dur(at + "TargetUs"), ObjectiveWorkFactor: p.num(at + "AimStretch"),
			Timeout: p.dur(at + "DeadlineUs"), IdempotencyWindow: p.dur(at + "WindowUs"),
			Idempotency: word(
				p,
				at+"Idempotency",
				effects,
			), PriorityWeight: p.num(at + "Worth"), LateWeightFraction: p.num(at + "LateWorth"),
		}
		if i < len(calls) {
			c.CallsDependency = p.flagText("Specifics.CallsByClass", calls[i])
		}
		if i < len(omits) {
			f, err := strconv.ParseFloat(omits[i], 64)
			if err != nil {
				p.bad("Specifics.ClassSkipWorth", omits[i])
			}
			c.DegradedWeightFraction = f
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.items("Accounts.count") {
		at := fmt.Sprintf("Accounts.%d.", i)
		s.Tenants = append(
			s.Tenants,
			admission.Tenant{Name: p.m[at+"Name"], QuotaRate: p.num(at + "QuotaRps")},
		)
	}
	var gauges []Gauge
	for _, name := range p.list("Specifics.Meters") {
		gauges = append(gauges, gaugeNames[name])
	}
	if p.err == nil {
		p.err = p.inPaths(s.Validate())
	}
	return s, gauges, p.err
}

// Paths on the wire of the settings that Settings.Validate may report, by their names in the module.
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

// inPaths names the setting of an error by its path on the wire. What is not there at all is told
// from what is nought.
func (p *pairs) inPaths(err error) error {
	e := (*admission.SettingError)(nil)
	if !errors.As(err, &e) {
		return err
	}
	named := &admission.SettingError{Setting: wirePath(e.Setting), Value: e.Value, Want: e.Want}
	if p.m[named.Setting] == "" && p.m[named.Setting+".count"] == "" {
		named.Value = "missing"
	}
	return named
}
