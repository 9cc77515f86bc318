package day

import (
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	creditTTL             = time.Second // how long balancers observe an advertised credit
	maxRetryAfter         = time.Second // longest Retry-After that balancers observe
	idleConnectionTimeout = 30 * time.Second
)

// idempotencyOf maps the values of Class.Effect to those of the admission.
var idempotencyOf = map[string]admission.Idempotency{
	EffectSafe:   admission.Idempotent,
	EffectKeyed:  admission.IdempotentWithKey,
	EffectUnsafe: admission.NonIdempotent,
}

// drawSettings derives the settings of the runners from the drawn day, and draws the quotas of the tenants.
func (d *Day) drawSettings() {
	fleet := &d.Spec.Fleet
	machine := d.Runners[0].Spec
	d.Settings = admission.Settings{
		Servers:               len(d.Runners),
		Callers:               len(d.Balancers),
		Cores:                 fleet.Cores,
		MemoryKB:              machine.MemoryKB,
		RunningMemoryFactor:   fleet.RunFactor,
		KeyMemoryKB:           d.KeyKB,
		CreditMode:            admission.CreditPerCaller,
		CreditLifetime:        creditTTL,
		DeepHealthChecks:      true,
		ReportsAbandoned:      true,
		IdleConnectionTimeout: idleConnectionTimeout,
		MaxRetryAfter:         maxRetryAfter,
		OverQuotaWeight:       d.Spec.Goal.OverWorth,
		DeadlineGrace:         virtualclock.FromMillis(fleet.SlackMs),
		DrainGrace:            virtualclock.FromMillis(fleet.DrainMs),
		MaxRunningPerCore:     fleet.CrowdLimit,
		MaxRunningWindow:      virtualclock.FromMillis(fleet.CrowdMs),
		WarmUpInitialShare:    fleet.ColdFrom.Lo,
		WarmUpTime:            virtualclock.FromMillis(fleet.ColdS.Hi * millisPerSecond),
	}
	d.addClasses(&d.Settings)
	d.addTenants(&d.Settings)
}

// addClasses adds the classes to the settings and, if one of them makes calls, the limits on calls.
func (d *Day) addClasses(settings *admission.Settings) {
	for i, c := range d.Spec.Classes {
		settings.Classes = append(settings.Classes, admission.Class{
			Name:               c.Name,
			LatencyObjective:   virtualclock.FromMillis(c.AimMs),
			Timeout:            virtualclock.FromMillis(c.DeadlineMs),
			IdempotencyWindow:  virtualclock.FromMillis(c.WindowMs),
			Idempotency:        idempotencyOf[c.Effect],
			PriorityWeight:     c.Worth,
			LateWeightFraction: c.LateWorth,
			CallsDependency:    d.MeanCalls[i] > 0,
		})
		if d.MeanCalls[i] > 0 {
			settings.Dependency = admission.DependencyShared
		}
	}
	if settings.Dependency == admission.DependencyShared {
		settings.CallQuota = d.Backend.CrashFactor * d.Backend.Slots / float64(len(d.Runners))
		settings.CallQuotaWindow = d.Backend.CrashWindow
		settings.AbandonedCallTime = d.Backend.CancelLinger
	}
}

// addTenants draws the quotas of the tenants and adds the tenants to the settings.
func (d *Day) addTenants(settings *admission.Settings) {
	total := drawFrom(Stream(d.Seed, "quota", 0), d.Spec.Goal.QuotaOf) * d.Capacity
	shares := 0.0
	for _, t := range d.Spec.Tenants {
		shares += t.Share
	}
	for _, t := range d.Spec.Tenants {
		quota := 0.0
		if shares > 0 {
			quota = total * t.Share / shares
		}
		d.Quotas = append(d.Quotas, quota)
		settings.Tenants = append(settings.Tenants, admission.Tenant{Name: t.Name, QuotaRate: quota})
	}
}
