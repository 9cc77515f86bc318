// Package deployment draws random deployments: settings whose fields cover all allowed values, and a short day
// of a small fleet to play under them. It is independent of any real deployment.
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

// Deployment is a randomly drawn deployment.
type Deployment struct {
	Spec *day.Spec
	Seed uint64
	// ChangeSettings sets those settings of a runner that the deployment draws although the model of a day
	// ignores them.
	ChangeSettings func(*admission.Settings)
}

// Limits bound the deployments that are drawn.
type Limits struct {
	Classes, Tenants, Cores, Runners int        // maximum numbers
	WorkMs                           [2]float64 // minimum and maximum
	DeadlineMs                       [2]int     // minimum and maximum
	LengthS                          float64
	Rate                             float64  // maximum number of requests per second
	Faults                           []string // kinds of faults
}

// Wide are the limits for a day in virtual time.
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

// Real are the limits for a day with real processes. Its results must not depend on the speed of the machine.
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

// object is a mapping of a day's file.
type object = map[string]any

// drawNumber draws a number of an interval. The bounds are drawn more often than other numbers.
func drawNumber(t *rapid.T, what string, low, high float64) float64 {
	if odd := rapid.IntRange(0, 9).Draw(t, what+" end"); odd == 0 {
		return low
	} else if odd == 1 {
		return high
	}
	return rapid.Float64Range(low, high).Draw(t, what)
}

// drawBool draws a boolean.
func drawBool(t *rapid.T, what string) bool { return rapid.Bool().Draw(t, what) }

// Draw draws a deployment.
func Draw(t *rapid.T, l Limits) *Deployment {
	d := &Deployment{Seed: rapid.Uint64Range(1, 1<<40).Draw(t, "seed")}
	classes := drawClasses(t, l)
	tenants, none := drawTenants(t, l)
	crashFactor := drawNumber(t, "fall", 1.5, 20)
	tier := rapid.IntRange(0, 3).Draw(t, "tier") == 0
	if tier { // the dependency is a tier of servers that protects itself, and does not crash
		crashFactor = 1e6
	}
	load := object{"rate_s": drawNumber(t, "rate", 1, l.Rate), "burstiness": drawNumber(t, "burstiness", 0, 2)}
	text, err := yaml.Marshal(object{
		"name":      "drawn",
		"length_s":  l.LengthS,
		"window_s":  1,
		"classes":   classes,
		"tenants":   tenants,
		"load":      load,
		"fleet":     drawFleet(t, l),
		"backend":   drawBackend(t, crashFactor),
		"balancers": rapid.SliceOfN(rapid.Custom(drawBalancers), 1, 3).Draw(t, "balancers"),
		"troubles":  drawFaults(t, l),
		"goal": object{
			"over_share_worth":  drawNumber(t, "over share", 0, 1),
			"quota_of_capacity": drawNumber(t, "quota", 0, 2),
		},
	})
	if err == nil {
		d.Spec, err = day.Parse("drawn", text)
	}
	if err != nil {
		t.Fatalf("the generator draws an invalid day: %v\n%s", err, text)
	}
	d.relaxBackend()
	d.ChangeSettings = drawSettings(t, none, tier)
	return d
}

// drawClasses draws the classes.
func drawClasses(t *rapid.T, l Limits) []object {
	draw := rapid.Custom(func(t *rapid.T) object { return drawClass(t, l) })
	classes := rapid.SliceOfN(draw, 1, l.Classes).Draw(t, "classes")
	for i := range classes {
		classes[i]["name"] = fmt.Sprintf("class/%d", i)
	}
	return classes
}

// drawTenants draws the tenants. none reports that the settings have no tenants; a day has at least one.
func drawTenants(t *rapid.T, l Limits) (tenants []object, none bool) {
	none = rapid.IntRange(0, 3).Draw(t, "no tenants") == 0
	n := rapid.IntRange(1, l.Tenants).Draw(t, "tenants")
	if none {
		return []object{{"name": "nobody", "share": 1}}, true
	}
	for i := range n {
		share := drawNumber(t, "tenant's share", 0.001, 1)
		tenants = append(tenants, object{"name": fmt.Sprintf("tenant %d", i), "share": share})
	}
	return tenants, false
}

// drawBackend draws the back end.
func drawBackend(t *rapid.T, crashFactor float64) object {
	return object{
		"slots":     drawNumber(t, "slots", 0.5, 200),
		"headroom":  drawNumber(t, "headroom", 1, 5),
		"sheds":     drawBool(t, "sheds"),
		"fall":      crashFactor,
		"fall_ms":   rapid.IntRange(200, 20_000).Draw(t, "fall over"),
		"linger_ms": drawNumber(t, "linger", 0, 2000),
	}
}

// drawFaults draws the faults of the day.
func drawFaults(t *rapid.T, l Limits) []object {
	draw := rapid.Custom(func(t *rapid.T) object { return drawFault(t, l) })
	return rapid.SliceOfN(draw, 0, 3).Draw(t, "troubles")
}

// relaxBackend lets the back end survive one long, cancelled call of each runner, which a runner cannot
// foresee: a runner could keep to a smaller quota only by making no calls.
func (d *Deployment) relaxBackend() {
	drawn := day.Draw(d.Spec, d.Seed)
	b := &d.Spec.BackEnd
	if most := drawn.Settings.CallQuota * b.FallMs; most > 0 {
		b.Fall *= max(1, 4*(drawn.CallWork/1000+b.LingerMs)/most)
	}
}

// drawClass draws a class.
func drawClass(t *rapid.T, l Limits) object {
	deadline := rapid.IntRange(l.DeadlineMs[0], l.DeadlineMs[1]).Draw(t, "deadline")
	if drawBool(t, "impatient") {
		deadline = min(deadline, 2*l.DeadlineMs[0])
	}
	c := object{
		"share":       drawNumber(t, "share", 0.01, 1),
		"work_ms":     drawNumber(t, "work", l.WorkMs[0], l.WorkMs[1]),
		"cv":          drawNumber(t, "cv", 0, 1.5),
		"deadline_ms": deadline,
		"aim_ms":      max(1, int(float64(deadline)*drawNumber(t, "aim", 0.05, 1))),
		"worth":       drawNumber(t, "worth", 0.01, 100),
		"late_worth":  drawNumber(t, "late worth", 0, 1),
		"effect":      rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "effect"),
		"window_ms":   rapid.IntRange(20, 180_000).Draw(t, "window"),
		"calls":       0,
	}
	if drawBool(t, "calls") {
		c["calls"] = drawNumber(t, "calls", 0.1, 3)
	}
	return c
}

// drawFleet draws the fleet.
func drawFleet(t *rapid.T, l Limits) object {
	grace := rapid.IntRange(20, 5000).Draw(t, "drain grace")
	return object{
		"runners":        rapid.IntRange(1, l.Runners).Draw(t, "runners"),
		"halls":          []string{"one", "two"},
		"cores":          rapid.IntRange(1, l.Cores).Draw(t, "cores"),
		"speed":          drawNumber(t, "speed", 0.3, 3),
		"read_share":     drawNumber(t, "read share", 0.01, 0.3),
		"memory_runs":    drawNumber(t, "memory", 1, 60),
		"run_factor":     drawNumber(t, "run factor", 1, 30),
		"hold_kb":        drawNumber(t, "hold", 0.5, 1500),
		"key_room":       drawNumber(t, "key room", 0.005, 0.9),
		"cold_from":      drawNumber(t, "cold from", 0.1, 1),
		"cold_s":         drawNumber(t, "cold for", 0, 60),
		"cold_calls":     drawNumber(t, "cold calls", 0, 2),
		"restart_s":      0.3,
		"crowd_limit":    drawNumber(t, "crowd", 2, 20),
		"crowd_ms":       rapid.IntRange(200, 10_000).Draw(t, "crowd over"),
		"slack_ms":       rapid.IntRange(30, 2000).Draw(t, "slack"),
		"drain_grace_ms": grace,
		"stop_ms":        2*grace + 2000,
		"tells_gone_ms":  drawNumber(t, "tells gone", 1, 500),
		"gone_lost":      drawNumber(t, "gone lost", 0, 1),
	}
}

// drawBalancers draws a group of balancers of one kind.
func drawBalancers(t *rapid.T) object {
	return object{
		"count":  rapid.IntRange(1, 4).Draw(t, "count"),
		"choose": rapid.SampledFrom(balance.Policies).Draw(t, "choose"),
		"retry": rapid.SampledFrom(
			[]balance.Retry{balance.RetryNever, balance.RetryBounded, balance.RetryUnlimited},
		).Draw(
			t,
			"retry",
		),
		"pause_ms":       rapid.IntRange(5, 200).Draw(t, "pause"),
		"heeds":          drawNumber(t, "heeds", 0, 1),
		"patience":       drawNumber(t, "patience", 0.2, 1),
		"check_every_ms": rapid.SampledFrom([]int{0, 300, 2000}).Draw(t, "checks"),
	}
}

// drawFault draws a fault of the day.
func drawFault(t *rapid.T, l Limits) object {
	k := object{
		"kind":  rapid.SampledFrom(l.Faults).Draw(t, "kind"),
		"at_s":  drawNumber(t, "at", 0, l.LengthS),
		"for_s": drawNumber(t, "for", 0.05, l.LengthS),
		"part":  drawNumber(t, "part", 0.1, 1),
		"times": drawNumber(t, "times", 1, 10),
	}
	if k["kind"] == day.CutZone {
		k["hall"] = "two"
	}
	return k
}

// drawSettings draws the settings that a runner is given although the model of a day ignores them.
func drawSettings(t *rapid.T, noTenants, tier bool) func(*admission.Settings) {
	drawn := drawRunnerSettings(t)
	degraded := drawNumber(t, "skip worth", 0, 1)
	workFactor := drawNumber(t, "stretch", 0, 3)
	callers := rapid.IntRange(0, 1000).Draw(t, "upstreams")
	return func(s *admission.Settings) {
		s.Cancel = drawn.Cancel
		s.CreditMode = drawn.CreditMode
		s.ResultMaxAge = drawn.ResultMaxAge
		s.CreditLifetime = drawn.CreditLifetime
		s.IdleConnectionTimeout = drawn.IdleConnectionTimeout
		s.MaxRetryAfter = drawn.MaxRetryAfter
		s.NoRetryAfter = drawn.NoRetryAfter
		s.DeepHealthChecks = drawn.DeepHealthChecks
		s.ReportsAbandoned = drawn.ReportsAbandoned
		s.MarksRetries = drawn.MarksRetries
		s.EndpointListFollowsHealth = drawn.EndpointListFollowsHealth
		s.WeightPerWork = drawn.WeightPerWork
		s.HandshakeCost = drawn.HandshakeCost
		s.Callers = callers
		if noTenants {
			s.Tenants = nil
		}
		for i := range s.Classes {
			s.Classes[i].ObjectiveWorkFactor = workFactor
			if s.Classes[i].CallsDependency {
				s.Classes[i].DegradedWeightFraction = degraded
			}
		}
		if tier && s.Dependency == admission.DependencyShared {
			s.Dependency = admission.DependencyTier
		}
	}
}

// drawRunnerSettings draws the settings that do not depend on classes, tenants or callers.
func drawRunnerSettings(t *rapid.T) (s admission.Settings) {
	microseconds := func(what string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, what)) * time.Microsecond
	}
	s.Cancel = rapid.SampledFrom([]admission.CancelMode{
		admission.CancelNone,
		admission.CancelDiscard,
		admission.CancelSuspend,
	}).Draw(t, "halt")
	s.CreditMode = rapid.SampledFrom([]admission.CreditMode{
		admission.CreditNone,
		admission.CreditRankThreshold,
		admission.CreditPerCaller,
		admission.CreditWeight,
	}).Draw(t, "say")
	s.ResultMaxAge = microseconds("fresh", 0, 5_000_000)
	s.CreditLifetime = microseconds("heeded", 0, 60_000_000)
	s.IdleConnectionTimeout = microseconds("idle", 10_000, 300_000_000)
	s.NoRetryAfter = drawBool(t, "no advice to stay away")
	s.MaxRetryAfter = microseconds("stay away", 0, 60_000_000)
	s.DeepHealthChecks = drawBool(t, "deep checks")
	s.ReportsAbandoned = drawBool(t, "tells gone")
	s.MarksRetries = drawBool(t, "marks retries")
	s.EndpointListFollowsHealth = drawBool(t, "list follows")
	s.WeightPerWork = drawBool(t, "worth by work")
	s.HandshakeCost = drawNumber(t, "handshake", 0, 1)
	return s
}
