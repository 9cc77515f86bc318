package day

// defaultSpec returns the defaults of a scenario, which are the operators' figures for their fleet.
func defaultSpec() *Spec {
	return &Spec{LengthS: 60, WindowS: 10,
		Load: Load{OfCapacity: Range{0.65, 0.65}},
		Fleet: Fleet{
			Runners:     Range{12, 12},
			Zones:       []string{"kista", "solna", "haninge"},
			CrossMs:     Range{1.4, 2.6},
			NearMs:      0.2,
			Cores:       6,
			Speed:       Range{0.85, 1.1},
			Thrash:      Range{0.2, 0.48},
			ThrashAt:    Range{2, 4.8},
			ReadShare:   Range{0.22, 0.28},
			Backlog:     128,
			MemoryRuns:  Range{12, 20},
			RunFactor:   8,
			HoldKB:      Range{28, 56},
			KeyRoom:     Range{0.16, 0.32},
			ColdFrom:    Range{0.2, 0.49},
			ColdS:       Range{8.6, 18},
			ColdCalls:   Range{0.33, 2},
			RestartS:    Range{4, 8},
			CrowdLimit:  6,
			CrowdMs:     2000,
			SlackMs:     60,
			DrainMs:     1800,
			StopMs:      6000,
			TellsGoneMs: Range{5, 200},
			GoneLost:    0.1,
		},
		BackEnd: BackEnd{
			Slots:    Range{5, 9},
			Headroom: Range{1.3, 1.7},
			Thrash:   Range{0.4, 0.6},
			Fall:     5,
			FallMs:   5000,
			DownS:    Range{3, 6},
			LingerMs: 200,
			CV:       0.5,
		},
		Roster: Roster{NoticeS: Range{1.1, 3.9}},
		Goal: Goal{Whole: 0.45, WorstWindow: 0.15, WorstClass: 0.3, WorstTenant: 0.1, OverWorth: 0.05,
			QuotaOf: Range{0.61, 0.99}, Waste: 0.05, LateFail: 0.044}}
}

// defaultClasses returns the classes of a scenario that defines none.
func defaultClasses() []Class {
	return []Class{
		{
			Name:       "quick-check",
			Share:      0.42,
			WorkMs:     Range{150, 260},
			CV:         Range{0.58, 1.2},
			AimMs:      2700,
			DeadlineMs: 9000,
			Worth:      1,
			LateWorth:  0.2,
			Effect:     EffectSafe,
			Calls:      Range{0.8, 1.2},
		},
		{
			Name:       "full-check",
			Share:      0.35,
			WorkMs:     Range{350, 620},
			CV:         Range{0.65, 1.1},
			AimMs:      2700,
			DeadlineMs: 9000,
			Worth:      1,
			Effect:     EffectSafe,
		},
		{
			Name:       "hand-in",
			Share:      0.23,
			WorkMs:     Range{150, 260},
			CV:         Range{0.41, 1.1},
			AimMs:      1800,
			DeadlineMs: 4300,
			WindowMs:   13020,
			Worth:      3,
			LateWorth:  0.2,
			Effect:     EffectKeyed,
			Calls:      Range{1, 2},
		},
	}
}

// defaultTenants returns the tenants of a scenario that defines none.
func defaultTenants() []Tenant {
	return []Tenant{{Name: "malarskolan", Share: 0.3}, {Name: "ostra-gymnasiet", Share: 0.28},
		{Name: "bergvik-kommun", Share: 0.24}, {Name: "lindby-skola", Share: 0.19}}
}
