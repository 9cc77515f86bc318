package day

import (
	"fmt"
	"slices"
	"strconv"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/yamldoc"
)

// boundedField is a value and its bounds.
type boundedField struct {
	field    string
	value    Range
	min, max float64
}

func number(field string, v, least, most float64) boundedField {
	return boundedField{field, Range{v, v}, least, most}
}

func (s *Spec) check(figures ...boundedField) error {
	for _, f := range figures {
		if !(f.value.Lo >= f.min && f.value.Hi <= f.max) {
			return s.doc.Errorf(f.field, "%v is not from %v to %v", f.value, f.min, f.max)
		}
	}
	return nil
}

// String gives one number, or both ends.
func (r Range) String() string {
	if r.Lo == r.Hi {
		return strconv.FormatFloat(r.Lo, 'g', -1, 64)
	}
	return fmt.Sprintf("%g to %g", r.Lo, r.Hi)
}

func (s *Spec) checkNumbers() error {
	f, b := &s.Fleet, &s.BackEnd
	if s.Name == "" {
		return s.doc.Errorf("name", "missing")
	}
	if len(f.Halls) == 0 {
		return s.doc.Errorf("fleet.halls", "missing")
	}
	for i, h := range f.Halls {
		if h == "" || slices.Contains(f.Halls[:i], h) {
			return s.doc.Errorf("fleet.halls", "%q is empty or stands twice", h)
		}
	}
	if err := s.check(
		number("length_s", s.LengthS, 1, 86_400),
		number("window_s", s.WindowS, 1, s.LengthS),
	); err != nil {
		return err
	}
	last := -1.0
	for i, p := range s.Load.Curve {
		at := "load.curve." + strconv.Itoa(i)
		if p.AtS < last {
			return s.doc.Errorf(at+".at_s", "%v comes before the point above", p.AtS)
		}
		if err := s.check(
			number(at+".at_s", p.AtS, 0, s.LengthS),
			number(at+".times", p.Times, 0, 100),
		); err != nil {
			return err
		}
		last = p.AtS
	}
	return s.check(
		boundedField{"load.of_capacity", s.Load.OfCapacity, 0, 20},
		number("load.rate_s", s.Load.RateS, 0, 1e6),
		boundedField{"load.burstiness", s.Load.Burstiness, 0, 5},
		boundedField{"fleet.runners", f.Runners, 1, 2000},
		boundedField{"fleet.cross_ms", f.CrossMs, 0, 1000},
		number("fleet.near_ms", f.NearMs, 0, 1000),
		number("fleet.cores", float64(f.Cores), 1, 1024),
		boundedField{"fleet.speed", f.Speed, 0.01, 100},
		boundedField{"fleet.thrash", f.Thrash, 0, 100},
		boundedField{"fleet.thrash_at", f.ThrashAt, 0.1, 1e6},
		boundedField{"fleet.read_share", f.ReadShare, 0, 10},
		number(
			"fleet.backlog_per_core",
			float64(f.Backlog),
			1,
			1e6,
		),
		boundedField{"fleet.memory_runs", f.MemoryRuns, 1, 1e6},
		number("fleet.run_factor", f.RunFactor, 1, 1000),
		boundedField{"fleet.hold_kb", f.HoldKB, 0.1, 1999},
		boundedField{"fleet.key_room", f.KeyRoom, 0.001, 0.9},
		boundedField{"fleet.cold_from", f.ColdFrom, 0.01, 1},
		boundedField{"fleet.cold_s", f.ColdS, 0, 3600},
		boundedField{"fleet.cold_calls", f.ColdCalls, 0, 100},
		boundedField{"fleet.restart_s", f.RestartS, 0.1, 3600},
		number("fleet.crowd_limit", f.CrowdLimit, 1, 1000),
		number("fleet.crowd_ms", f.CrowdMs, 100, 60_000),
		number("fleet.slack_ms", f.SlackMs, 0, 60_000),
		number("fleet.drain_grace_ms", f.DrainMs, 0, 60_000),
		number("fleet.stop_ms", f.StopMs, 100, 600_000),
		boundedField{"fleet.tells_gone_ms", f.TellsGoneMs, 0, 60_000},
		number("fleet.gone_lost", f.GoneLost, 0, 1),
		boundedField{"backend.slots", b.Slots, 0.1, 1e6},
		boundedField{"backend.headroom", b.Headroom, 0.01, 1000},
		boundedField{
			"backend.thrash",
			b.Thrash,
			0,
			100,
		},
		number("backend.fall", b.Fall, 1, 1e6),
		number("backend.fall_ms", b.FallMs, 100, 600_000),
		boundedField{"backend.down_s", b.DownS, 0.1, 3600},
		number("backend.linger_ms", b.LingerMs, 0, 60_000),
		number("backend.cv", b.CV, 0, 10),
		boundedField{"roster.notice_s", s.Roster.NoticeS, 0, 600},
		number(
			"goal.over_share_worth",
			s.Goal.OverWorth,
			0,
			1,
		),
		boundedField{"goal.quota_of_capacity", s.Goal.QuotaOf, 0, 100},
		number("goal.whole", s.Goal.Whole, 0, 1),
		number("goal.worst_window", s.Goal.WorstWindow, 0, 1),
		number("goal.worst_class", s.Goal.WorstClass, 0, 1),
		number("goal.worst_tenant", s.Goal.WorstTenant, 0, 1),
		number("goal.waste_price", s.Goal.Waste, 0, 1),
		number("goal.late_fail_price", s.Goal.LateFail, 0, 1),
	)
}

func (s *Spec) checkBalancers() error {
	if len(s.Balancers) == 0 {
		return s.doc.Errorf("balancers", "missing")
	}
	for i := range s.Balancers {
		k, at := &s.Balancers[i], "balancers."+strconv.Itoa(i)+"."
		if err := k.check(at, s.doc); err != nil {
			return err
		}
	}
	return nil
}

// check fills in what a kind of balancer leaves out and reports what is wrong with it.
func (k *BalancerKind) check(at string, doc *yamldoc.Document) error {
	if k.Count == 0 {
		k.Count = 1
	}
	if k.Patience == 0 {
		k.Patience = 1
	}
	if k.Share == 0 {
		k.Share = 1
	}
	if k.Retry == "" {
		k.Retry = string(balance.RetryNever)
	}
	if k.Retry == string(balance.RetryBounded) && k.Tries == 0 {
		k.Tries = 2
	}
	if k.EjectAfter > 0 && k.EjectMs == 0 {
		k.EjectMs = 5000
	}
	if !slices.Contains(balance.Policies, balance.Policy(k.Choose)) {
		return doc.Errorf(at+"choose", "%q is none of %v", k.Choose, balance.Policies)
	}
	if ways := []balance.Retry{balance.RetryNever, balance.RetryBounded, balance.RetryUnlimited}; !slices.Contains(
		ways,
		balance.Retry(k.Retry),
	) {
		return doc.Errorf(at+"retry", "%q is none of %v", k.Retry, ways)
	}
	for _, f := range []boundedField{number(
		"count",
		float64(k.Count),
		1,
		1000,
	), number("tries", float64(k.Tries), 0, 100),
		number("retry_budget", k.Budget, 0, 100),
		number("pause_ms", k.PauseMs, 0, 60_000),
		number("patience", k.Patience, 0.001, 1),
		number("copy_after_ms", k.CopyAfterMs, 0, 60_000), number("heeds", k.Heeds, 0, 1),
		number("check_every_ms", k.CheckEveryMs, 0, 600_000), number("eject_after", float64(k.EjectAfter), 0, 1000),
		number("eject_ms", k.EjectMs, 0, 600_000),
		number("throttle", k.Throttle, 0, 100),
		number("subset", float64(k.Subset), 0, 2000),
		number("share", k.Share, 0, 1e6)} {
		if !(f.value.Lo >= f.min && f.value.Hi <= f.max) {
			return doc.Errorf(at+f.field, "%v is not from %v to %v", f.value, f.min, f.max)
		}
	}
	return nil
}

func (s *Spec) checkClasses() error {
	sum := 0.0
	for i, c := range s.Classes {
		at := "classes." + strconv.Itoa(i) + "."
		switch {
		case c.Name == "" || slices.ContainsFunc(
			s.Classes[:i],
			func(o Class) bool { return o.Name == c.Name },
		):
			return s.doc.Errorf(at+"name", "%q is empty or stands twice", c.Name)
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return s.doc.Errorf(at+"effect", "%q is none of safe, keyed, unsafe", c.Effect)
		case c.Effect == "keyed" && c.WindowMs <= 0:
			return s.doc.Errorf(at+"window_ms", "missing in a keyed class")
		case c.AimMs > c.DeadlineMs:
			return s.doc.Errorf(at+"aim_ms", "%v is over the deadline", c.AimMs)
		}
		if err := s.check(number(
			at+"share",
			c.Share,
			0,
			1e6,
		), boundedField{at + "work_ms", c.WorkMs, 0.01, 1e6}, boundedField{at + "cv", c.CV, 0, 10},
			number(at+"aim_ms", c.AimMs, 1, 1e7),
			number(at+"deadline_ms", c.DeadlineMs, 1, 1e7),
			number(at+"worth", c.Worth, 0.001, 1e6),
			number(at+"late_worth", c.LateWorth, 0, 1), boundedField{at + "calls", c.Calls, 0, 100}); err != nil {
			return err
		}
		sum += c.Share
	}
	if !(sum > 0) {
		return s.doc.Errorf("classes", "their shares come to 0")
	}
	sum = 0
	for i, t := range s.Tenants {
		at := "tenants." + strconv.Itoa(i) + "."
		if t.Name == "" ||
			slices.ContainsFunc(s.Tenants[:i], func(o Tenant) bool { return o.Name == t.Name }) {
			return s.doc.Errorf(at+"name", "%q is empty or stands twice", t.Name)
		}
		if err := s.check(number(at+"share", t.Share, 0, 1e6), number(at+"asks", t.Asks, 0, 1e6)); err != nil {
			return err
		}
		sum += t.trafficShare()
	}
	if !(sum > 0) {
		return s.doc.Errorf("tenants", "they ask for nothing")
	}
	return nil
}

func (s *Spec) checkTroubles() error {
	for i := range s.Troubles {
		t, at := &s.Troubles[i], "troubles."+strconv.Itoa(i)+"."
		if t.Part.Hi == 0 {
			t.Part = Range{1, 1}
		}
		if t.Times.Hi == 0 {
			t.Times = Range{1, 1}
		}
		switch {
		case !slices.Contains(Kinds, t.Kind):
			return s.doc.Errorf(at+"kind", "%q is none of %v", t.Kind, Kinds)
		case t.Hall != "" && !slices.Contains(s.Fleet.Halls, t.Hall):
			return s.doc.Errorf(at+"hall", "%q is no hall of the fleet", t.Hall)
		case t.Kind == CutHall && t.Hall == "":
			return s.doc.Errorf(at+"hall", "missing: which one is cut off")
		}
		if err := s.check(boundedField{at + "at_s", t.AtS, 0, s.LengthS}, boundedField{at + "for_s", t.ForS, 0, 86_400},
			boundedField{at + "part", t.Part, 0, 1},
			boundedField{at + "times", t.Times, 1, 1000},
			number(at+"odds", t.Odds, 0, 1)); err != nil {
			return err
		}
	}
	return nil
}
