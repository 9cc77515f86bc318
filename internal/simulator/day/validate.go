package day

import (
	"fmt"
	"slices"
	"strconv"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/yamldoc"
)

// maxLengthS is the longest day and the longest fault, in seconds.
const maxLengthS = 86_400

// boundedField is a field of a scenario with its value and the bounds of the value.
type boundedField struct {
	field    string
	value    Range
	min, max float64
}

// number returns the boundedField of a field that is a single number.
func number(field string, value, lowest, highest float64) boundedField {
	return boundedField{field, Range{value, value}, lowest, highest}
}

// checkBounds returns an error for the first field that is out of its bounds. NaN is out of all bounds.
func checkBounds(doc *yamldoc.Document, prefix string, fields ...boundedField) error {
	for _, f := range fields {
		if !(f.value.Lo >= f.min && f.value.Hi <= f.max) {
			return doc.Errorf(prefix+f.field, "%v is not from %v to %v", f.value, f.min, f.max)
		}
	}
	return nil
}

// String formats the range for error messages, as one number or as both ends.
func (r Range) String() string {
	if r.Lo == r.Hi {
		return strconv.FormatFloat(r.Lo, 'g', -1, 64)
	}
	return fmt.Sprintf("%g to %g", r.Lo, r.Hi)
}

// checkNumbers checks the name, the zones, the load curve and all numbers that are not in lists.
func (s *Spec) checkNumbers() error {
	if s.Name == "" {
		return s.doc.Errorf("name", "missing")
	}
	if err := s.checkZones(); err != nil {
		return err
	}
	err := checkBounds(s.doc, "",
		number("length_s", s.LengthS, 1, maxLengthS),
		number("window_s", s.WindowS, 1, s.LengthS),
	)
	if err != nil {
		return err
	}
	if err := s.checkCurve(); err != nil {
		return err
	}
	return checkBounds(s.doc, "", slices.Concat(
		s.loadBounds(), s.fleetBounds(), s.backendBounds(), s.goalBounds(),
	)...)
}

func (s *Spec) checkZones() error {
	zones := s.Fleet.Zones
	if len(zones) == 0 {
		return s.doc.Errorf("fleet.halls", "missing")
	}
	for i, zone := range zones {
		if zone == "" || slices.Contains(zones[:i], zone) {
			return s.doc.Errorf("fleet.halls", "%q is empty or a duplicate", zone)
		}
	}
	return nil
}

func (s *Spec) checkCurve() error {
	lastS := -1.0
	for i, point := range s.Load.Curve {
		prefix := "load.curve." + strconv.Itoa(i) + "."
		if point.AtS < lastS {
			return s.doc.Errorf(prefix+"at_s", "%v is before the previous point", point.AtS)
		}
		err := checkBounds(s.doc, prefix,
			number("at_s", point.AtS, 0, s.LengthS),
			number("times", point.Times, 0, 100),
		)
		if err != nil {
			return err
		}
		lastS = point.AtS
	}
	return nil
}

func (s *Spec) loadBounds() []boundedField {
	return []boundedField{
		{"load.of_capacity", s.Load.OfCapacity, 0, 20},
		number("load.rate_s", s.Load.RateS, 0, 1e6),
		{"load.burstiness", s.Load.Burstiness, 0, 5},
	}
}

func (s *Spec) fleetBounds() []boundedField {
	f := &s.Fleet
	return []boundedField{
		{"fleet.runners", f.Runners, 1, 2000},
		{"fleet.cross_ms", f.CrossMs, 0, 1000},
		number("fleet.near_ms", f.NearMs, 0, 1000),
		number("fleet.cores", float64(f.Cores), 1, 1024),
		{"fleet.speed", f.Speed, 0.01, 100},
		{"fleet.thrash", f.Thrash, 0, 100},
		{"fleet.thrash_at", f.ThrashAt, 0.1, 1e6},
		{"fleet.read_share", f.ReadShare, 0, 10},
		number("fleet.backlog_per_core", float64(f.Backlog), 1, 1e6),
		{"fleet.memory_runs", f.MemoryRuns, 1, 1e6},
		number("fleet.run_factor", f.RunFactor, 1, 1000),
		{"fleet.hold_kb", f.HoldKB, 0.1, maxSizeKB},
		{"fleet.key_room", f.KeyRoom, 0.001, 0.9},
		{"fleet.cold_from", f.ColdFrom, 0.01, 1},
		{"fleet.cold_s", f.ColdS, 0, 3600},
		{"fleet.cold_calls", f.ColdCalls, 0, 100},
		{"fleet.restart_s", f.RestartS, 0.1, 3600},
		number("fleet.crowd_limit", f.CrowdLimit, 1, 1000),
		number("fleet.crowd_ms", f.CrowdMs, 100, 60_000),
		number("fleet.slack_ms", f.SlackMs, 0, 60_000),
		number("fleet.drain_grace_ms", f.DrainMs, 0, 60_000),
		number("fleet.stop_ms", f.StopMs, 100, 600_000),
		{"fleet.tells_gone_ms", f.TellsGoneMs, 0, 60_000},
		number("fleet.gone_lost", f.GoneLost, 0, 1),
	}
}

func (s *Spec) backendBounds() []boundedField {
	b := &s.BackEnd
	return []boundedField{
		{"backend.slots", b.Slots, 0.1, 1e6},
		{"backend.headroom", b.Headroom, 0.01, 1000},
		{"backend.thrash", b.Thrash, 0, 100},
		number("backend.fall", b.Fall, 1, 1e6),
		number("backend.fall_ms", b.FallMs, 100, 600_000),
		{"backend.down_s", b.DownS, 0.1, 3600},
		number("backend.linger_ms", b.LingerMs, 0, 60_000),
		number("backend.cv", b.CV, 0, 10),
		{"roster.notice_s", s.Roster.NoticeS, 0, 600},
	}
}

func (s *Spec) goalBounds() []boundedField {
	g := &s.Goal
	return []boundedField{
		number("goal.over_share_worth", g.OverWorth, 0, 1),
		{"goal.quota_of_capacity", g.QuotaOf, 0, 100},
		number("goal.whole", g.Whole, 0, 1),
		number("goal.worst_window", g.WorstWindow, 0, 1),
		number("goal.worst_class", g.WorstClass, 0, 1),
		number("goal.worst_tenant", g.WorstTenant, 0, 1),
		number("goal.waste_price", g.Waste, 0, 1),
		number("goal.late_fail_price", g.LateFail, 0, 1),
	}
}

func (s *Spec) checkBalancers() error {
	if len(s.Balancers) == 0 {
		return s.doc.Errorf("balancers", "missing")
	}
	for i := range s.Balancers {
		prefix := "balancers." + strconv.Itoa(i) + "."
		if err := s.Balancers[i].check(prefix, s.doc); err != nil {
			return err
		}
	}
	return nil
}

// setDefaults sets the defaults of the fields that are not given.
func (k *BalancerKind) setDefaults() {
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
}

// check sets the defaults of a kind of balancer and checks its fields.
func (k *BalancerKind) check(prefix string, doc *yamldoc.Document) error {
	k.setDefaults()
	if !slices.Contains(balance.Policies, balance.Policy(k.Choose)) {
		return doc.Errorf(prefix+"choose", "%q is none of %v", k.Choose, balance.Policies)
	}
	retries := []balance.Retry{balance.RetryNever, balance.RetryBounded, balance.RetryUnlimited}
	if !slices.Contains(retries, balance.Retry(k.Retry)) {
		return doc.Errorf(prefix+"retry", "%q is none of %v", k.Retry, retries)
	}
	return checkBounds(doc, prefix,
		number("count", float64(k.Count), 1, 1000),
		number("tries", float64(k.Tries), 0, 100),
		number("retry_budget", k.Budget, 0, 100),
		number("pause_ms", k.PauseMs, 0, 60_000),
		number("patience", k.Patience, 0.001, 1),
		number("copy_after_ms", k.CopyAfterMs, 0, 60_000),
		number("heeds", k.Heeds, 0, 1),
		number("check_every_ms", k.CheckEveryMs, 0, 600_000),
		number("eject_after", float64(k.EjectAfter), 0, 1000),
		number("eject_ms", k.EjectMs, 0, 600_000),
		number("throttle", k.Throttle, 0, 100),
		number("subset", float64(k.Subset), 0, 2000),
		number("share", k.Share, 0, 1e6),
	)
}

// checkClasses checks the classes and the tenants.
func (s *Spec) checkClasses() error {
	shares := 0.0
	for i := range s.Classes {
		if err := s.checkClass(i); err != nil {
			return err
		}
		shares += s.Classes[i].Share
	}
	if !(shares > 0) {
		return s.doc.Errorf("classes", "the shares of all classes sum to 0")
	}
	return s.checkTenants()
}

func (s *Spec) checkClass(i int) error {
	c, prefix := &s.Classes[i], "classes."+strconv.Itoa(i)+"."
	sameName := func(other Class) bool { return other.Name == c.Name }
	switch {
	case c.Name == "" || slices.ContainsFunc(s.Classes[:i], sameName):
		return s.doc.Errorf(prefix+"name", "%q is empty or a duplicate", c.Name)
	case !slices.Contains([]string{EffectSafe, EffectKeyed, EffectUnsafe}, c.Effect):
		return s.doc.Errorf(prefix+"effect", "%q is none of safe, keyed, unsafe", c.Effect)
	case c.Effect == EffectKeyed && c.WindowMs <= 0:
		return s.doc.Errorf(prefix+"window_ms", "missing in a keyed class")
	case c.AimMs > c.DeadlineMs:
		return s.doc.Errorf(prefix+"aim_ms", "%v exceeds the deadline", c.AimMs)
	}
	return checkBounds(s.doc, prefix,
		number("share", c.Share, 0, 1e6),
		boundedField{"work_ms", c.WorkMs, 0.01, 1e6},
		boundedField{"cv", c.CV, 0, 10},
		number("aim_ms", c.AimMs, 1, 1e7),
		number("deadline_ms", c.DeadlineMs, 1, 1e7),
		number("worth", c.Worth, 0.001, 1e6),
		number("late_worth", c.LateWorth, 0, 1),
		boundedField{"calls", c.Calls, 0, 100},
	)
}

func (s *Spec) checkTenants() error {
	traffic := 0.0
	for i := range s.Tenants {
		t, prefix := &s.Tenants[i], "tenants."+strconv.Itoa(i)+"."
		sameName := func(other Tenant) bool { return other.Name == t.Name }
		if t.Name == "" || slices.ContainsFunc(s.Tenants[:i], sameName) {
			return s.doc.Errorf(prefix+"name", "%q is empty or a duplicate", t.Name)
		}
		err := checkBounds(s.doc, prefix, number("share", t.Share, 0, 1e6), number("asks", t.Asks, 0, 1e6))
		if err != nil {
			return err
		}
		traffic += t.trafficShare()
	}
	if !(traffic > 0) {
		return s.doc.Errorf("tenants", "the tenants have no traffic: the weights sum to 0")
	}
	return nil
}

// checkFaults sets the defaults of the faults and checks them.
func (s *Spec) checkFaults() error {
	for i := range s.Troubles {
		t, prefix := &s.Troubles[i], "troubles."+strconv.Itoa(i)+"."
		if t.Part.Hi == 0 {
			t.Part = Range{1, 1}
		}
		if t.Times.Hi == 0 {
			t.Times = Range{1, 1}
		}
		switch {
		case !slices.Contains(Kinds, t.Kind):
			return s.doc.Errorf(prefix+"kind", "%q is none of %v", t.Kind, Kinds)
		case t.Zone != "" && !slices.Contains(s.Fleet.Zones, t.Zone):
			return s.doc.Errorf(prefix+"hall", "%q is not a hall of the fleet", t.Zone)
		case t.Kind == CutZone && t.Zone == "":
			return s.doc.Errorf(prefix+"hall", "missing: the hall that is cut off")
		}
		err := checkBounds(s.doc, prefix,
			boundedField{"at_s", t.AtS, 0, s.LengthS},
			boundedField{"for_s", t.ForS, 0, maxLengthS},
			boundedField{"part", t.Part, 0, 1},
			boundedField{"times", t.Times, 1, 1000},
			number("odds", t.Odds, 0, 1),
		)
		if err != nil {
			return err
		}
	}
	return nil
}
