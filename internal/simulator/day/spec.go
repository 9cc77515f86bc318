// Package day holds the days that the simulator plays: a YAML scenario that is checked, and the draw of one day from it. A
// scenario gives ranges; a draw settles each of them, the traffic and the troubles from one seed.
package day

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"

	"shalesail/internal/simulator/balance"
	"shalesail/internal/yamldoc"
)

// Range is a figure that is drawn anew for each day: one number, or the least and the most of it.
type Range struct{ Lo, Hi float64 }

// UnmarshalYAML takes a number or a list of two.
func (r *Range) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind == yaml.SequenceNode {
		var two []float64
		if err := n.Decode(&two); err != nil {
			return err
		}
		if len(two) != 2 || two[0] > two[1] {
			return fmt.Errorf("line %d: a range is [least, most]", n.Line)
		}
		r.Lo, r.Hi = two[0], two[1]
		return nil
	}
	var v float64
	if err := n.Decode(&v); err != nil {
		return err
	}
	r.Lo, r.Hi = v, v
	return nil
}

// MarshalYAML is the inverse.
func (r Range) MarshalYAML() (any, error) {
	if r.Lo == r.Hi {
		return r.Lo, nil
	}
	return []float64{r.Lo, r.Hi}, nil
}

// Spec is a scenario. Times are in the units that the names end with; work is on a core of speed 1.
type Spec struct {
	Name      string         `yaml:"name" json:"name"`
	LengthS   float64        `yaml:"length_s" json:"length_s"`
	WindowS   float64        `yaml:"window_s" json:"window_s"`
	Load      Load           `yaml:"load" json:"load"`
	Fleet     Fleet          `yaml:"fleet" json:"fleet"`
	BackEnd   BackEnd        `yaml:"backend" json:"backend"`
	Roster    Roster         `yaml:"roster" json:"roster"`
	Balancers []BalancerKind `yaml:"balancers" json:"balancers"`
	Classes   []Class        `yaml:"classes" json:"classes"`
	Tenants   []Tenant       `yaml:"tenants" json:"tenants"`
	Goal      Goal           `yaml:"goal" json:"goal"`
	Troubles  []Trouble      `yaml:"troubles" json:"troubles"`
	doc       *yamldoc.Doc
	replay    *Replay
}

// Load says how much is asked for: as a share of what the cores can do, or as a rate.
type Load struct {
	OfCapacity Range   `yaml:"of_capacity" json:"of_capacity"`
	RateS      float64 `yaml:"rate_s" json:"rate_s"` // first tries a second; in place of a share
	Curve      []Point `yaml:"curve" json:"curve"`   // times the load, in straight lines between points
	Burstiness Range   `yaml:"burstiness" json:"burstiness"`
}

// Point is a point of the rate curve.
type Point struct {
	AtS   float64 `yaml:"at_s" json:"at_s"`
	Times float64 `yaml:"times" json:"times"`
}

// Fleet is what the runners' machines are like.
type Fleet struct {
	Runners     Range    `yaml:"runners" json:"runners"`
	Halls       []string `yaml:"halls" json:"halls"`
	CrossMs     Range    `yaml:"cross_ms" json:"cross_ms"` // between halls, one way
	NearMs      float64  `yaml:"near_ms" json:"near_ms"`   // within one
	Cores       int      `yaml:"cores" json:"cores"`
	Speed       Range    `yaml:"speed" json:"speed"`
	Thrash      Range    `yaml:"thrash" json:"thrash"`
	ThrashAt    Range    `yaml:"thrash_at" json:"thrash_at"`
	ReadShare   Range    `yaml:"read_share" json:"read_share"` // reading, as a share of the mean work
	Backlog     int      `yaml:"backlog_per_core" json:"backlog_per_core"`
	MemoryRuns  Range    `yaml:"memory_runs" json:"memory_runs"` // running requests a core that fill the memory
	RunFactor   float64  `yaml:"run_factor" json:"run_factor"`
	HoldKB      Range    `yaml:"hold_kb" json:"hold_kb"`
	KeyRoom     Range    `yaml:"key_room" json:"key_room"` // of the memory, for all keys at full load
	ColdFrom    Range    `yaml:"cold_from" json:"cold_from"`
	ColdS       Range    `yaml:"cold_s" json:"cold_s"`
	ColdCalls   Range    `yaml:"cold_calls" json:"cold_calls"`
	RestartS    Range    `yaml:"restart_s" json:"restart_s"` // after it fell over
	CrowdLimit  float64  `yaml:"crowd_limit" json:"crowd_limit"`
	CrowdMs     float64  `yaml:"crowd_ms" json:"crowd_ms"`
	SlackMs     float64  `yaml:"slack_ms" json:"slack_ms"`
	DrainMs     float64  `yaml:"drain_grace_ms" json:"drain_grace_ms"`
	StopMs      float64  `yaml:"stop_ms" json:"stop_ms"`
	TellsGoneMs Range    `yaml:"tells_gone_ms" json:"tells_gone_ms"`
	GoneLost    float64  `yaml:"gone_lost" json:"gone_lost"` // share of give-ups that a runner never hears of
}

// BackEnd is what the shared back end is like.
type BackEnd struct {
	Slots    Range   `yaml:"slots" json:"slots"`
	Headroom Range   `yaml:"headroom" json:"headroom"` // its capacity over the calls of a full fleet
	Thrash   Range   `yaml:"thrash" json:"thrash"`
	Sheds    bool    `yaml:"sheds" json:"sheds"`
	Fall     float64 `yaml:"fall" json:"fall"` // times the slots
	FallMs   float64 `yaml:"fall_ms" json:"fall_ms"`
	DownS    Range   `yaml:"down_s" json:"down_s"`
	LingerMs float64 `yaml:"linger_ms" json:"linger_ms"`
	CV       float64 `yaml:"cv" json:"cv"`
}

// Roster is how late balancers hear of runners.
type Roster struct {
	NoticeS Range `yaml:"notice_s" json:"notice_s"`
}

// BalancerKind is a number of balancers of one habit.
type BalancerKind struct {
	Count        int     `yaml:"count" json:"count"`
	Choose       string  `yaml:"choose" json:"choose"`
	Retry        string  `yaml:"retry" json:"retry"`
	Tries        int     `yaml:"tries" json:"tries"`
	Budget       float64 `yaml:"retry_budget" json:"retry_budget"`
	PauseMs      float64 `yaml:"pause_ms" json:"pause_ms"`
	Patience     float64 `yaml:"patience" json:"patience"`
	CopyAfterMs  float64 `yaml:"copy_after_ms" json:"copy_after_ms"`
	Heeds        float64 `yaml:"heeds" json:"heeds"` // the share of them that heed what they are told
	CheckEveryMs float64 `yaml:"check_every_ms" json:"check_every_ms"`
	EjectAfter   int     `yaml:"eject_after" json:"eject_after"`
	EjectMs      float64 `yaml:"eject_ms" json:"eject_ms"`
	Throttle     float64 `yaml:"throttle" json:"throttle"`
	Subset       int     `yaml:"subset" json:"subset"`
	Stick        bool    `yaml:"stick" json:"stick"`
	Share        float64 `yaml:"share" json:"share"` // of the traffic, against the others
}

// Class is one class of requests.
type Class struct {
	Name       string  `yaml:"name" json:"name"`
	Share      float64 `yaml:"share" json:"share"`
	WorkMs     Range   `yaml:"work_ms" json:"work_ms"`
	CV         Range   `yaml:"cv" json:"cv"`
	AimMs      float64 `yaml:"aim_ms" json:"aim_ms"`
	DeadlineMs float64 `yaml:"deadline_ms" json:"deadline_ms"`
	WindowMs   float64 `yaml:"window_ms" json:"window_ms"`
	Worth      float64 `yaml:"worth" json:"worth"`
	LateWorth  float64 `yaml:"late_worth" json:"late_worth"`
	Effect     string  `yaml:"effect" json:"effect"` // safe, keyed or unsafe
	Calls      Range   `yaml:"calls" json:"calls"`   // mean calls of one request
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `yaml:"name" json:"name"`
	Share float64 `yaml:"share" json:"share"` // of what the fleet can do
	Asks  float64 `yaml:"asks" json:"asks"`   // of the traffic; 0: as its share
}

// Goal weighs worth served, as the operators do.
type Goal struct {
	Whole       float64 `yaml:"whole" json:"whole"`
	WorstWindow float64 `yaml:"worst_window" json:"worst_window"`
	WorstClass  float64 `yaml:"worst_class" json:"worst_class"`
	WorstTenant float64 `yaml:"worst_tenant" json:"worst_tenant"`
	OverWorth   float64 `yaml:"over_share_worth" json:"over_share_worth"`
	QuotaOf     Range   `yaml:"quota_of_capacity" json:"quota_of_capacity"` // what all shares come to
	Waste       float64 `yaml:"waste_price" json:"waste_price"`
	LateFail    float64 `yaml:"late_fail_price" json:"late_fail_price"`
}

// The kinds of trouble.
const (
	Crash   = "crash" // a part of the runners dies at once and comes back cold
	Slow    = "slow"  // a part of them runs so many times slower
	Burst   = "burst" // traffic is so many times the usual
	Crawl   = "crawl" // the back end is so many times slower
	Pause   = "pause" // a part of the runners stands still
	Drain   = "drain" // a part of them is told to leave, one after the other, and comes back cold
	CutHall = "cut"   // nothing passes between a hall and the others
)

// Kinds are all kinds of trouble.
var Kinds = []string{Crash, Slow, Burst, Crawl, Pause, Drain, CutHall}

// Trouble is one of them. They may overlap.
type Trouble struct {
	Kind  string  `yaml:"kind" json:"kind"`
	AtS   Range   `yaml:"at_s" json:"at_s"`
	ForS  Range   `yaml:"for_s" json:"for_s"`
	Part  Range   `yaml:"part" json:"part"`   // of the runners
	Times Range   `yaml:"times" json:"times"` // slower, or more traffic
	Hall  string  `yaml:"hall" json:"hall"`   // only runners there; of cut: the hall
	Odds  float64 `yaml:"odds" json:"odds"`   // on so many days of all; 0: on each
}

// standard is what a scenario need not say: the operators' figures for their fleet.
func standard() *Spec {
	return &Spec{LengthS: 60, WindowS: 10,
		Load: Load{OfCapacity: Range{0.65, 0.65}},
		Fleet: Fleet{Runners: Range{12, 12}, Halls: []string{"kista", "solna", "haninge"}, CrossMs: Range{1.4, 2.6}, NearMs: 0.2,
			Cores: 6, Speed: Range{0.85, 1.1}, Thrash: Range{0.2, 0.48}, ThrashAt: Range{2, 4.8}, ReadShare: Range{0.22, 0.28},
			Backlog: 128, MemoryRuns: Range{12, 20}, RunFactor: 8, HoldKB: Range{28, 56}, KeyRoom: Range{0.16, 0.32},
			ColdFrom: Range{0.2, 0.49}, ColdS: Range{8.6, 18}, ColdCalls: Range{0.33, 2}, RestartS: Range{4, 8}, CrowdLimit: 6,
			CrowdMs: 2000, SlackMs: 60, DrainMs: 1800, StopMs: 6000, TellsGoneMs: Range{5, 200}, GoneLost: 0.1},
		BackEnd: BackEnd{Slots: Range{5, 9}, Headroom: Range{1.3, 1.7}, Thrash: Range{0.4, 0.6}, Fall: 5, FallMs: 5000,
			DownS: Range{3, 6}, LingerMs: 200, CV: 0.5},
		Roster: Roster{NoticeS: Range{1.1, 3.9}},
		Goal: Goal{Whole: 0.45, WorstWindow: 0.15, WorstClass: 0.3, WorstTenant: 0.1, OverWorth: 0.05,
			QuotaOf: Range{0.61, 0.99}, Waste: 0.05, LateFail: 0.044}}
}

// standardClasses and standardTenants stand for a scenario that names none.
func standardClasses() []Class {
	return []Class{
		{Name: "quick-check", Share: 0.42, WorkMs: Range{150, 260}, CV: Range{0.58, 1.2}, AimMs: 2700, DeadlineMs: 9000, Worth: 1,
			LateWorth: 0.2, Effect: "safe", Calls: Range{0.8, 1.2}},
		{Name: "full-check", Share: 0.35, WorkMs: Range{350, 620}, CV: Range{0.65, 1.1}, AimMs: 2700, DeadlineMs: 9000, Worth: 1,
			Effect: "safe"},
		{Name: "hand-in", Share: 0.23, WorkMs: Range{150, 260}, CV: Range{0.41, 1.1}, AimMs: 1800, DeadlineMs: 4300,
			WindowMs: 13020, Worth: 3, LateWorth: 0.2, Effect: "keyed", Calls: Range{1, 2}},
	}
}

func standardTenants() []Tenant {
	return []Tenant{{Name: "malarskolan", Share: 0.3}, {Name: "ostra-gymnasiet", Share: 0.28},
		{Name: "bergvik-kommun", Share: 0.24}, {Name: "lindby-skola", Share: 0.19}}
}

// Parse checks a scenario that was read from a file.
func Parse(path string, text []byte) (*Spec, error) {
	s := standard()
	var err error
	if s.doc, err = yamldoc.Decode("day", path, text, s); err != nil {
		return nil, err
	}
	if len(s.Classes) == 0 {
		s.Classes = standardClasses()
	}
	if len(s.Tenants) == 0 {
		s.Tenants = standardTenants()
	}
	for _, check := range []func() error{s.checkFigures, s.checkBalancers, s.checkClasses, s.checkTroubles} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// figure is a value and its bounds.
type figure struct {
	field       string
	v           Range
	least, most float64
}

func one(field string, v, least, most float64) figure { return figure{field, Range{v, v}, least, most} }

func (s *Spec) check(figures ...figure) error {
	for _, f := range figures {
		if !(f.v.Lo >= f.least && f.v.Hi <= f.most) {
			return s.doc.Bad(f.field, "%v is not from %v to %v", f.v, f.least, f.most)
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

func (s *Spec) checkFigures() error {
	f, b := &s.Fleet, &s.BackEnd
	if s.Name == "" {
		return s.doc.Bad("name", "missing")
	}
	if len(f.Halls) == 0 {
		return s.doc.Bad("fleet.halls", "missing")
	}
	for i, h := range f.Halls {
		if h == "" || slices.Contains(f.Halls[:i], h) {
			return s.doc.Bad("fleet.halls", "%q is empty or stands twice", h)
		}
	}
	if err := s.check(one("length_s", s.LengthS, 1, 86_400), one("window_s", s.WindowS, 1, s.LengthS)); err != nil {
		return err
	}
	last := -1.0
	for i, p := range s.Load.Curve {
		at := "load.curve." + strconv.Itoa(i)
		if p.AtS < last {
			return s.doc.Bad(at+".at_s", "%v comes before the point above", p.AtS)
		}
		if err := s.check(one(at+".at_s", p.AtS, 0, s.LengthS), one(at+".times", p.Times, 0, 100)); err != nil {
			return err
		}
		last = p.AtS
	}
	return s.check(figure{"load.of_capacity", s.Load.OfCapacity, 0, 20}, one("load.rate_s", s.Load.RateS, 0, 1e6),
		figure{"load.burstiness", s.Load.Burstiness, 0, 5},
		figure{"fleet.runners", f.Runners, 1, 2000}, figure{"fleet.cross_ms", f.CrossMs, 0, 1000},
		one("fleet.near_ms", f.NearMs, 0, 1000), one("fleet.cores", float64(f.Cores), 1, 1024),
		figure{"fleet.speed", f.Speed, 0.01, 100}, figure{"fleet.thrash", f.Thrash, 0, 100},
		figure{"fleet.thrash_at", f.ThrashAt, 0.1, 1e6}, figure{"fleet.read_share", f.ReadShare, 0, 10},
		one("fleet.backlog_per_core", float64(f.Backlog), 1, 1e6), figure{"fleet.memory_runs", f.MemoryRuns, 1, 1e6},
		one("fleet.run_factor", f.RunFactor, 1, 1000), figure{"fleet.hold_kb", f.HoldKB, 0.1, 1999},
		figure{"fleet.key_room", f.KeyRoom, 0.001, 0.9}, figure{"fleet.cold_from", f.ColdFrom, 0.01, 1},
		figure{"fleet.cold_s", f.ColdS, 0, 3600}, figure{"fleet.cold_calls", f.ColdCalls, 0, 100},
		figure{"fleet.restart_s", f.RestartS, 0.1, 3600}, one("fleet.crowd_limit", f.CrowdLimit, 1, 1000),
		one("fleet.crowd_ms", f.CrowdMs, 100, 60_000), one("fleet.slack_ms", f.SlackMs, 0, 60_000),
		one("fleet.drain_grace_ms", f.DrainMs, 0, 60_000), one("fleet.stop_ms", f.StopMs, 100, 600_000),
		figure{"fleet.tells_gone_ms", f.TellsGoneMs, 0, 60_000}, one("fleet.gone_lost", f.GoneLost, 0, 1),
		figure{"backend.slots", b.Slots, 0.1, 1e6}, figure{"backend.headroom", b.Headroom, 0.01, 1000},
		figure{"backend.thrash", b.Thrash, 0, 100}, one("backend.fall", b.Fall, 1, 1e6), one("backend.fall_ms", b.FallMs, 100, 600_000),
		figure{"backend.down_s", b.DownS, 0.1, 3600}, one("backend.linger_ms", b.LingerMs, 0, 60_000),
		one("backend.cv", b.CV, 0, 10), figure{"roster.notice_s", s.Roster.NoticeS, 0, 600},
		one("goal.over_share_worth", s.Goal.OverWorth, 0, 1), figure{"goal.quota_of_capacity", s.Goal.QuotaOf, 0, 100},
		one("goal.whole", s.Goal.Whole, 0, 1), one("goal.worst_window", s.Goal.WorstWindow, 0, 1),
		one("goal.worst_class", s.Goal.WorstClass, 0, 1), one("goal.worst_tenant", s.Goal.WorstTenant, 0, 1),
		one("goal.waste_price", s.Goal.Waste, 0, 1), one("goal.late_fail_price", s.Goal.LateFail, 0, 1))
}

func (s *Spec) checkBalancers() error {
	if len(s.Balancers) == 0 {
		return s.doc.Bad("balancers", "missing")
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
func (k *BalancerKind) check(at string, doc *yamldoc.Doc) error {
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
		k.Retry = string(balance.Never)
	}
	if k.Retry == string(balance.Bounded) && k.Tries == 0 {
		k.Tries = 2
	}
	if k.EjectAfter > 0 && k.EjectMs == 0 {
		k.EjectMs = 5000
	}
	if !slices.Contains(balance.Choices, balance.Choice(k.Choose)) {
		return doc.Bad(at+"choose", "%q is none of %v", k.Choose, balance.Choices)
	}
	if ways := []balance.Retry{balance.Never, balance.Bounded, balance.Limitless}; !slices.Contains(ways, balance.Retry(k.Retry)) {
		return doc.Bad(at+"retry", "%q is none of %v", k.Retry, ways)
	}
	for _, f := range []figure{one("count", float64(k.Count), 1, 1000), one("tries", float64(k.Tries), 0, 100),
		one("retry_budget", k.Budget, 0, 100), one("pause_ms", k.PauseMs, 0, 60_000), one("patience", k.Patience, 0.001, 1),
		one("copy_after_ms", k.CopyAfterMs, 0, 60_000), one("heeds", k.Heeds, 0, 1),
		one("check_every_ms", k.CheckEveryMs, 0, 600_000), one("eject_after", float64(k.EjectAfter), 0, 1000),
		one("eject_ms", k.EjectMs, 0, 600_000), one("throttle", k.Throttle, 0, 100), one("subset", float64(k.Subset), 0, 2000),
		one("share", k.Share, 0, 1e6)} {
		if !(f.v.Lo >= f.least && f.v.Hi <= f.most) {
			return doc.Bad(at+f.field, "%v is not from %v to %v", f.v, f.least, f.most)
		}
	}
	return nil
}

// Habit is how balancers of the kind behave; one that heeds or one that does not.
func (k *BalancerKind) Habit(heeds bool) balance.Habit {
	us := func(ms float64) int64 { return int64(ms * 1000) }
	return balance.Habit{Choose: balance.Choice(k.Choose), Retry: balance.Retry(k.Retry), Tries: k.Tries, Budget: k.Budget,
		Pause: us(k.PauseMs), Patience: k.Patience, CopyAfter: us(k.CopyAfterMs), Heeds: heeds, CreditLife: creditLife,
		CheckEvery: us(k.CheckEveryMs), EjectAfter: k.EjectAfter, EjectFor: us(k.EjectMs), Throttle: k.Throttle,
		Subset: k.Subset, Stick: k.Stick}
}

func (s *Spec) checkClasses() error {
	sum := 0.0
	for i, c := range s.Classes {
		at := "classes." + strconv.Itoa(i) + "."
		switch {
		case c.Name == "" || slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }):
			return s.doc.Bad(at+"name", "%q is empty or stands twice", c.Name)
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return s.doc.Bad(at+"effect", "%q is none of safe, keyed, unsafe", c.Effect)
		case c.Effect == "keyed" && c.WindowMs <= 0:
			return s.doc.Bad(at+"window_ms", "missing in a keyed class")
		case c.AimMs > c.DeadlineMs:
			return s.doc.Bad(at+"aim_ms", "%v is over the deadline", c.AimMs)
		}
		if err := s.check(one(at+"share", c.Share, 0, 1e6), figure{at + "work_ms", c.WorkMs, 0.01, 1e6}, figure{at + "cv", c.CV, 0, 10},
			one(at+"aim_ms", c.AimMs, 1, 1e7), one(at+"deadline_ms", c.DeadlineMs, 1, 1e7), one(at+"worth", c.Worth, 0.001, 1e6),
			one(at+"late_worth", c.LateWorth, 0, 1), figure{at + "calls", c.Calls, 0, 100}); err != nil {
			return err
		}
		sum += c.Share
	}
	if !(sum > 0) {
		return s.doc.Bad("classes", "their shares come to 0")
	}
	sum = 0
	for i, t := range s.Tenants {
		at := "tenants." + strconv.Itoa(i) + "."
		if t.Name == "" || slices.ContainsFunc(s.Tenants[:i], func(o Tenant) bool { return o.Name == t.Name }) {
			return s.doc.Bad(at+"name", "%q is empty or stands twice", t.Name)
		}
		if err := s.check(one(at+"share", t.Share, 0, 1e6), one(at+"asks", t.Asks, 0, 1e6)); err != nil {
			return err
		}
		sum += t.asks()
	}
	if !(sum > 0) {
		return s.doc.Bad("tenants", "they ask for nothing")
	}
	return nil
}

func (t *Tenant) asks() float64 {
	if t.Asks > 0 {
		return t.Asks
	}
	return t.Share
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
			return s.doc.Bad(at+"kind", "%q is none of %v", t.Kind, Kinds)
		case t.Hall != "" && !slices.Contains(s.Fleet.Halls, t.Hall):
			return s.doc.Bad(at+"hall", "%q is no hall of the fleet", t.Hall)
		case t.Kind == CutHall && t.Hall == "":
			return s.doc.Bad(at+"hall", "missing: which one is cut off")
		}
		if err := s.check(figure{at + "at_s", t.AtS, 0, s.LengthS}, figure{at + "for_s", t.ForS, 0, 86_400},
			figure{at + "part", t.Part, 0, 1}, figure{at + "times", t.Times, 1, 1000}, one(at+"odds", t.Odds, 0, 1)); err != nil {
			return err
		}
	}
	return nil
}

// OverrideError is what is wrong with a change of a kind of balancer.
type OverrideError struct {
	Place       int
	Field, What string
}

func (e *OverrideError) Error() string {
	return fmt.Sprintf("balancers.%d.%s: %s", e.Place, e.Field, e.What)
}

// Override gives the scenario's kinds of balancers with some of their fields changed. How many there are of each and
// what part of the traffic they get belongs to the day and stays.
func (s *Spec) Override(changes []yaml.Node) ([]BalancerKind, *OverrideError) {
	kinds := slices.Clone(s.Balancers)
	for i := range changes {
		k := &kinds[i]
		text, err := yaml.Marshal(&changes[i])
		if err != nil {
			return nil, &OverrideError{i, "", err.Error()}
		}
		if changes[i].Tag == "!!null" {
			continue
		}
		before := *k
		var at *yamldoc.Error
		doc, err := yamldoc.Decode("variant", "", text, k)
		if err == nil {
			err = k.check("", doc)
		}
		if errors.As(err, &at) {
			return nil, &OverrideError{i, at.Field, at.What}
		} else if err != nil {
			return nil, &OverrideError{i, "", err.Error()}
		}
		if k.Count != before.Count || k.Share != before.Share {
			return nil, &OverrideError{i, "count", "how many there are, and their share, belong to the day"}
		}
	}
	return kinds, nil
}
