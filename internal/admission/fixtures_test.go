package admission

import "time"

// testSettings returns settings typical of deployments.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:                   "read",
				LatencyObjective:       time.Second,
				Timeout:                3 * time.Second,
				PriorityWeight:         1,
				CallsDependency:        true,
				DegradedWeightFraction: 0.5,
			},
			{
				Name:              "keyed",
				LatencyObjective:  time.Second,
				Timeout:           3 * time.Second,
				PriorityWeight:    3,
				Idempotency:       IdempotentWithKey,
				IdempotencyWindow: 5 * time.Second,
				CallsDependency:   true,
			},
			{
				Name:               "unsafe",
				LatencyObjective:   time.Second,
				Timeout:            2 * time.Second,
				PriorityWeight:     4,
				Idempotency:        NonIdempotent,
				CallsDependency:    true,
				LateWeightFraction: 0.2,
			},
		},
		Tenants:                   []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 5}},
		Servers:                   2,
		Callers:                   3,
		Cores:                     4,
		MemoryKB:                  20000,
		RunningMemoryFactor:       8,
		KeyMemoryKB:               20,
		CreditMode:                CreditPerCaller,
		CreditLifetime:            time.Second,
		Dependency:                DependencyShared,
		CallQuota:                 5,
		CallQuotaWindow:           5 * time.Second,
		AbandonedCallTime:         200 * time.Millisecond,
		MaxRetryAfter:             time.Second,
		EndpointListFollowsHealth: true,
		IdleConnectionTimeout:     30 * time.Second,
		DeadlineGrace:             60 * time.Millisecond,
		DrainGrace:                time.Second,
		MaxRunningPerCore:         5,
		MaxRunningWindow:          2 * time.Second,
		WarmUpInitialShare:        0.2,
		WarmUpTime:                10 * time.Second,
		ReportsAbandoned:          true,
		MarksRetries:              true,
	}
}

// settingsVariants returns changes to testSettings that cover the kinds of deployments.
func settingsVariants() map[string]func(*Settings) {
	return map[string]func(*Settings){
		"plain":        func(*Settings) {},
		"cold":         func(s *Settings) { s.WarmingUp = true },
		"discard":      func(s *Settings) { s.Cancel = CancelDiscard },
		"freeze":       func(s *Settings) { s.Cancel = CancelSuspend },
		"silent":       func(s *Settings) { s.CreditMode = CreditNone },
		"level":        func(s *Settings) { s.CreditMode = CreditRankThreshold },
		"weight":       func(s *Settings) { s.CreditMode = CreditWeight },
		"no tenants":   func(s *Settings) { s.Tenants = nil },
		"no calls":     func(s *Settings) { s.Dependency = DependencyNone },
		"tier":         func(s *Settings) { s.Dependency = DependencyTier; s.CallQuota = 0 },
		"shared reads": func(s *Settings) { s.ResultMaxAge = time.Second },
		"shared reads, little memory": func(s *Settings) {
			s.ResultMaxAge, s.MemoryKB, s.KeyMemoryKB = time.Second, 6000, 100
			s.WarmingUp, s.Cancel = true, CancelSuspend
		},
		"no deadlines": func(s *Settings) { s.ReportsAbandoned = false; s.Cancel = CancelNone },
		"small":        func(s *Settings) { s.MemoryKB = 3000; s.Cores = 1 },
		"many callers": func(s *Settings) {
			s.Cores, s.Callers, s.Servers, s.CallQuota = 2, 1000, 300, 0.4
		},
		"no retry hints": func(s *Settings) { s.MaxRetryAfter = 0; s.MarksRetries = false },
	}
}
