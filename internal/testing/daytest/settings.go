package daytest

import "ryepaddle/internal/admission"

// PlatformSettings is the object "settings" of the platform's file. Its field names are the platform's names.
type PlatformSettings struct {
	Accounts       []accountSettings
	RequestClasses []classSettings
	Servers        int
	OverShareWorth float64
	ValueBy        string
	Prices         priceSettings
	Callers        callerSettings
	Caps           capSettings
	Rules          ruleSettings
	Specifics      specificSettings
}

type accountSettings struct {
	Name     string
	QuotaRps float64
}

type classSettings struct {
	Name        string
	TargetUs    int64
	AimStretch  float64
	DeadlineUs  int64
	WindowUs    int64
	Idempotency string
	Worth       float64
	LateWorth   float64
}

type priceSettings struct {
	Handshake float64
}

type callerSettings struct {
	MarksRetry bool
}

type capSettings struct {
	MaxRetryAfterUs int64
	RetryAfter      bool
}

type ruleSettings struct {
	AnswerSlackUs       int64
	StopSendingWithinUs int64
	FallMultiple        float64
	FallUs              int64
	ColdShare           float64
	ColdUs              int64
}

type specificSettings struct {
	Upstreams       int
	JustStarted     bool
	Cores           int
	MemoryKb        float64
	RunMemFactor    float64
	KeyKb           float64
	FreshUs         int64
	Halt            string
	Say             string
	HeededUs        int64
	Below           string
	CallsOut        float64
	CallsOverUs     int64
	LingerUs        int64
	DeepChecks      bool
	TellsGone       bool
	RegistryFollows bool
	IdleUs          int64
	CallsByClass    []bool
	ClassSkipWorth  []float64
	PassesDeadline  bool
	Meters          []string
}

// The platform's names of the values.
var (
	idempotencyNames = map[admission.Idempotency]string{
		admission.Idempotent:        "read_like",
		admission.IdempotentWithKey: "idempotency_key",
		admission.NonIdempotent:     "non_idempotent",
	}
	creditModeNames = map[admission.CreditMode]string{
		admission.CreditNone:          "silent",
		admission.CreditRankThreshold: "floor",
		admission.CreditPerCaller:     "allowance",
		admission.CreditWeight:        "weight",
	}
	dependencyNames = map[admission.Dependency]string{
		admission.DependencyNone:   "silent",
		admission.DependencyShared: "one_for_all",
		admission.DependencyTier:   "tier",
	}
	cancelModeNames = map[admission.CancelMode]string{
		admission.CancelNone:    "silent",
		admission.CancelDiscard: "discard",
		admission.CancelSuspend: "freeze",
	}
	gaugeNames = []string{"cpu_busy", "runnable", "mem_used", "sockets"}
)

// Settings converts the settings of a runner to the form of the platform's file.
func Settings(s *admission.Settings) PlatformSettings {
	valueBy := "request"
	if s.WeightPerWork {
		valueBy = "work"
	}
	return PlatformSettings{
		Accounts:       accountsOf(s.Tenants),
		RequestClasses: classesOf(s.Classes),
		Servers:        s.Servers,
		OverShareWorth: s.OverQuotaWeight,
		ValueBy:        valueBy,
		Prices:         priceSettings{Handshake: s.HandshakeCost},
		Callers:        callerSettings{MarksRetry: s.MarksRetries},
		Caps: capSettings{
			MaxRetryAfterUs: s.MaxRetryAfter.Microseconds(),
			RetryAfter:      !s.NoRetryAfter,
		},
		Rules:     rulesOf(s),
		Specifics: specificsOf(s),
	}
}

func accountsOf(tenants []admission.Tenant) []accountSettings {
	var out []accountSettings
	for _, t := range tenants {
		out = append(out, accountSettings{Name: t.Name, QuotaRps: t.QuotaRate})
	}
	return out
}

func classesOf(classes []admission.Class) []classSettings {
	var out []classSettings
	for _, c := range classes {
		out = append(out, classSettings{
			Name:        c.Name,
			TargetUs:    c.LatencyObjective.Microseconds(),
			AimStretch:  c.ObjectiveWorkFactor,
			DeadlineUs:  c.Timeout.Microseconds(),
			WindowUs:    c.IdempotencyWindow.Microseconds(),
			Idempotency: idempotencyNames[c.Idempotency],
			Worth:       c.PriorityWeight,
			LateWorth:   c.LateWeightFraction,
		})
	}
	return out
}

func rulesOf(s *admission.Settings) ruleSettings {
	return ruleSettings{
		AnswerSlackUs:       s.DeadlineGrace.Microseconds(),
		StopSendingWithinUs: s.DrainGrace.Microseconds(),
		FallMultiple:        s.MaxRunningPerCore,
		FallUs:              s.MaxRunningWindow.Microseconds(),
		ColdShare:           s.WarmUpInitialShare,
		ColdUs:              s.WarmUpTime.Microseconds(),
	}
}

func specificsOf(s *admission.Settings) specificSettings {
	out := specificSettings{
		Upstreams:       s.Callers,
		JustStarted:     s.WarmingUp,
		Cores:           s.Cores,
		MemoryKb:        s.MemoryKB,
		RunMemFactor:    s.RunningMemoryFactor,
		KeyKb:           s.KeyMemoryKB,
		FreshUs:         s.ResultMaxAge.Microseconds(),
		Halt:            cancelModeNames[s.Cancel],
		Say:             creditModeNames[s.CreditMode],
		HeededUs:        s.CreditLifetime.Microseconds(),
		Below:           dependencyNames[s.Dependency],
		CallsOut:        s.CallQuota,
		CallsOverUs:     s.CallQuotaWindow.Microseconds(),
		LingerUs:        s.AbandonedCallTime.Microseconds(),
		DeepChecks:      s.DeepHealthChecks,
		TellsGone:       s.ReportsAbandoned,
		RegistryFollows: s.EndpointListFollowsHealth,
		IdleUs:          s.IdleConnectionTimeout.Microseconds(),
		Meters:          gaugeNames,
	}
	for _, c := range s.Classes {
		out.CallsByClass = append(out.CallsByClass, c.CallsDependency)
		out.ClassSkipWorth = append(out.ClassSkipWorth, c.DegradedWeightFraction)
	}
	return out
}

// PlatformConfig is the platform's file of one runner.
type PlatformConfig struct {
	Name     string           `json:"name"`
	Listen   string           `json:"listen"`
	Engine   string           `json:"engine"`
	Backend  string           `json:"backend"`
	Roster   string           `json:"roster"`
	Seed     string           `json:"seed"`
	StopMs   float64          `json:"stop_ms"`
	Limits   PlatformLimits   `json:"limits"`
	Settings PlatformSettings `json:"settings"`
}

// PlatformLimits are the resources of one runner's machine.
type PlatformLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// runnerLimits are the limits of each runner of a day.
var runnerLimits = PlatformLimits{Cores: 1, MemoryMB: 192, Sockets: 1024}
