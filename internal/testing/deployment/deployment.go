// Package deployment draws deployments: what a runner may be told, each field over all values that
// the settings allow, and a short day of a small fleet on which runners that are told so are
// played. Nothing in it is of one deployment.
package deployment

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
)

// Deployment is one that was drawn.
type Deployment struct {
	Spec *day.Spec
	Seed uint64
	// ChangeSettings changes what runners are told into what this deployment tells.
	ChangeSettings func(*admission.Settings)
}

// Limits bound what is drawn: a fleet on processes plays in real time.
type Limits struct {
	Classes, Tenants, Cores, Runners int
	WorkMs                           [2]float64
	DeadlineMs                       [2]int
	LengthS                          float64
	Rate                             float64 // first tries a second at the most
	Faults                           []string
}

// Wide is what a day in virtual time bears.
var Wide = Limits{
	Classes:    12,
	Tenants:    40,
	Cores:      64,
	Runners:    4,
	WorkMs:     [2]float64{0.2, 3000},
	DeadlineMs: [2]int{30, 20_000},
	LengthS:    3,
	Rate:       300,
	Faults:     day.Kinds,
}

// Real is what a day on processes bears, whose figures must not go by how fast the machine is.
var Real = Limits{
	Classes:    5,
	Tenants:    5,
	Cores:      8,
	Runners:    2,
	WorkMs:     [2]float64{1, 20},
	DeadlineMs: [2]int{4000, 60_000},
	LengthS:    1.5,
	Rate:       60,
	Faults:     []string{day.Crash, day.Drain, day.Crawl},
}

type doc = map[string]any

func between(t *rapid.T, what string, low, high float64) float64 {
	if odd := rapid.IntRange(0, 9).Draw(t, what+" end"); odd == 0 {
		return low
	} else if odd == 1 {
		return high
	}
	return rapid.Float64Range(low, high).Draw(t, what)
}

func yes(t *rapid.T, what string) bool { return rapid.Bool().Draw(t, what) }

// Draw draws a deployment.
func Draw(t *rapid.T, l Limits) *Deployment {
	d := &Deployment{Seed: rapid.Uint64Range(1, 1<<40).Draw(t, "seed")}
	classes := rapid.SliceOfN(
		rapid.Custom(func(t *rapid.T) doc { return drawClass(t, l) }),
		1,
		l.Classes,
	).Draw(
		t,
		"classes",
	)
	for i := range classes {
		classes[i]["name"] = fmt.Sprintf("class/%d", i)
	}
	// a day has one; what is told of tenants is another matter
	tenants := []doc{{"name": "nobody", "share": 1}}
	none := rapid.IntRange(0, 3).Draw(t, "no tenants") == 0
	if n := rapid.IntRange(1, l.Tenants).Draw(t, "tenants"); !none {
		tenants = nil
		for i := range n {
			tenants = append(
				tenants,
				doc{"name": fmt.Sprintf("tenant %d", i), "share": between(t, "tenant's share", 0.001, 1)},
			)
		}
	}
	fall, tier := between(t, "fall", 1.5, 20), rapid.IntRange(0, 3).Draw(t, "tier") == 0
	if tier { // a further tier looks after itself
		fall = 1e6
	}
	text, err := yaml.Marshal(doc{
		"name": "drawn", "length_s": l.LengthS, "window_s": 1, "classes": classes, "tenants": tenants,
		"load":  doc{"rate_s": between(t, "rate", 1, l.Rate), "burstiness": between(t, "burstiness", 0, 2)},
		"fleet": drawFleet(t, l),
		"backend": doc{
			"slots":    between(t, "slots", 0.5, 200),
			"headroom": between(t, "headroom", 1, 5),
			"sheds":    yes(t, "sheds"),
			"fall":     fall,
			"fall_ms": rapid.IntRange(
				200,
				20_000,
			).Draw(
				t,
				"fall over",
			),
			"linger_ms": between(t, "linger", 0, 2000),
		},
		"balancers": rapid.SliceOfN(rapid.Custom(drawBalancers), 1, 3).Draw(t, "balancers"),
		"troubles": rapid.SliceOfN(
			rapid.Custom(func(t *rapid.T) doc { return drawTrouble(t, l) }),
			0,
			3,
		).Draw(
			t,
			"troubles",
		),
		"goal": doc{
			"over_share_worth":  between(t, "over share", 0, 1),
			"quota_of_capacity": between(t, "quota", 0, 2),
		},
	})
	if err == nil {
		d.Spec, err = day.Parse("drawn", text)
	}
	if err != nil {
		t.Fatalf("the generator draws what is no day: %v\n%s", err, text)
	}
	d.bear()
	d.ChangeSettings = drawTold(t, none, tier)
	return d
}

// bear lets the back end bear what no runner can know beforehand: that each of them has one call
// out which takes long and is then given up. A share in which there is no room for that would be
// kept by not calling at all.
func (d *Deployment) bear() {
	drawn := day.Draw(d.Spec, d.Seed)
	b := &d.Spec.BackEnd
	if most := drawn.Settings.CallQuota * b.FallMs; most > 0 {
		b.Fall *= max(1, 4*(drawn.CallWork/1000+b.LingerMs)/most)
	}
}

func drawClass(t *rapid.T, l Limits) doc {
	deadline := rapid.IntRange(l.DeadlineMs[0], l.DeadlineMs[1]).Draw(t, "deadline")
	if yes(t, "impatient") {
		deadline = min(deadline, 2*l.DeadlineMs[0])
	}
	c := doc{
		"share":       between(t, "share", 0.01, 1),
		"work_ms":     between(t, "work", l.WorkMs[0], l.WorkMs[1]),
		"cv":          between(t, "cv", 0, 1.5),
		"deadline_ms": deadline,
		"aim_ms":      max(1, int(float64(deadline)*between(t, "aim", 0.05, 1))),
		"worth":       between(t, "worth", 0.01, 100),
		"late_worth": between(
			t,
			"late worth",
			0,
			1,
		),
		"effect":    rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "effect"),
		"window_ms": rapid.IntRange(20, 180_000).Draw(t, "window"),
		"calls":     0,
	}
	if yes(t, "calls") {
		c["calls"] = between(t, "calls", 0.1, 3)
	}
	return c
}

func drawFleet(t *rapid.T, l Limits) doc {
	grace := rapid.IntRange(20, 5000).Draw(t, "drain grace")
	return doc{
		"runners": rapid.IntRange(1, l.Runners).Draw(t, "runners"),
		"halls":   []string{"one", "two"},
		"cores":   rapid.IntRange(1, l.Cores).Draw(t, "cores"),
		"speed": between(
			t,
			"speed",
			0.3,
			3,
		),
		"read_share":  between(t, "read share", 0.01, 0.3),
		"memory_runs": between(t, "memory", 1, 60),
		"run_factor": between(
			t,
			"run factor",
			1,
			30,
		),
		"hold_kb":  between(t, "hold", 0.5, 1500),
		"key_room": between(t, "key room", 0.005, 0.9),
		"cold_from": between(
			t,
			"cold from",
			0.1,
			1,
		),
		"cold_s":      between(t, "cold for", 0, 60),
		"cold_calls":  between(t, "cold calls", 0, 2),
		"restart_s":   0.3,
		"crowd_limit": between(t, "crowd", 2, 20),
		"crowd_ms":    rapid.IntRange(200, 10_000).Draw(t, "crowd over"),
		"slack_ms": rapid.IntRange(
			30,
			2000,
		).Draw(
			t,
			"slack",
		),
		"drain_grace_ms": grace,
		"stop_ms":        2*grace + 2000,
		"tells_gone_ms":  between(t, "tells gone", 1, 500),
		"gone_lost":      between(t, "gone lost", 0, 1),
	}
}

func drawBalancers(t *rapid.T) doc {
	return doc{
		"count":  rapid.IntRange(1, 4).Draw(t, "count"),
		"choose": rapid.SampledFrom(balance.Policies).Draw(t, "choose"),
		"retry": rapid.SampledFrom(
			[]balance.Retry{balance.RetryNever, balance.RetryBounded, balance.RetryUnlimited},
		).Draw(
			t,
			"retry",
		),
		"pause_ms": rapid.IntRange(5, 200).Draw(t, "pause"),
		"heeds": between(
			t,
			"heeds",
			0,
			1,
		),
		"patience":       between(t, "patience", 0.2, 1),
		"check_every_ms": rapid.SampledFrom([]int{0, 300, 2000}).Draw(t, "checks"),
	}
}

func drawTrouble(t *rapid.T, l Limits) doc {
	k := doc{
		"kind":  rapid.SampledFrom(l.Faults).Draw(t, "kind"),
		"at_s":  between(t, "at", 0, l.LengthS),
		"for_s": between(t, "for", 0.05, l.LengthS),
		"part":  between(t, "part", 0.1, 1),
		"times": between(t, "times", 1, 10),
	}
	if k["kind"] == day.CutHall {
		k["hall"] = "two"
	}
	return k
}

// drawTold draws what the model of a day does not act on, and a runner is told all the same.
func drawTold(t *rapid.T, none, tier bool) func(*admission.Settings) {
	us := func(what string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, what)) * time.Microsecond
	}
	var told admission.Settings
	told.Cancel = rapid.SampledFrom(
		[]admission.CancelMode{admission.CancelNone, admission.CancelDiscard, admission.CancelSuspend},
	).Draw(
		t,
		"halt",
	)
	told.CreditMode = rapid.SampledFrom(
		[]admission.CreditMode{
			admission.CreditNone,
			admission.CreditRankThreshold,
			admission.CreditPerCaller,
			admission.CreditWeight,
		},
	).Draw(
		t,
		"say",
	)
	told.ResultMaxAge, told.CreditLifetime = us("fresh", 0, 5_000_000), us("heeded", 0, 60_000_000)
	told.IdleConnectionTimeout = us("idle", 10_000, 300_000_000)
	told.NoRetryAfter = yes(t, "no advice to stay away")
	told.MaxRetryAfter = us("stay away", 0, 60_000_000)
	told.DeepHealthChecks, told.ReportsAbandoned, told.MarksRetries, told.EndpointListFollowsHealth = yes(
		t,
		"deep checks",
	), yes(
		t,
		"tells gone",
	), yes(
		t,
		"marks retries",
	), yes(
		t,
		"list follows",
	)
	told.WeightPerWork, told.HandshakeCost = yes(t, "worth by work"), between(t, "handshake", 0, 1)
	omit, stretch, upstreams := between(
		t,
		"skip worth",
		0,
		1,
	), between(
		t,
		"stretch",
		0,
		3,
	), rapid.IntRange(
		0,
		1000,
	).Draw(
		t,
		"upstreams",
	)
	return func(s *admission.Settings) {
		s.Cancel, s.CreditMode, s.ResultMaxAge, s.CreditLifetime, s.IdleConnectionTimeout = told.Cancel, told.CreditMode, told.ResultMaxAge, told.CreditLifetime, told.IdleConnectionTimeout
		s.MaxRetryAfter, s.NoRetryAfter, s.DeepHealthChecks, s.ReportsAbandoned, s.MarksRetries = told.MaxRetryAfter, told.NoRetryAfter, told.DeepHealthChecks, told.ReportsAbandoned, told.MarksRetries
		s.EndpointListFollowsHealth, s.WeightPerWork, s.HandshakeCost, s.Callers = told.EndpointListFollowsHealth, told.WeightPerWork, told.HandshakeCost, upstreams
		if none {
			s.Tenants = nil
		}
		for i := range s.Classes {
			s.Classes[i].ObjectiveWorkFactor = stretch
			if s.Classes[i].CallsDependency {
				s.Classes[i].DegradedWeightFraction = omit
			}
		}
		if tier && s.Dependency == admission.DependencyShared {
			s.Dependency = admission.DependencyTier
		}
	}
}
