// Package day reads the scenarios of the simulator and draws days from them. A scenario is a YAML file that
// gives ranges of values. A draw determines every value, the requests and the faults of a day from one seed.
// The fields of a scenario are named after the keys in its file.
package day

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/yamldoc"
)

// Range is the range of a number that is drawn for each day: uniform from Lo to Hi, or fixed if both are
// equal.
type Range struct{ Lo, Hi float64 }

// UnmarshalYAML implements yaml.Unmarshaler. A range is a number or a list of both ends.
func (r *Range) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind == yaml.SequenceNode {
		var two []float64
		if err := n.Decode(&two); err != nil {
			return err
		}
		if len(two) != 2 || two[0] > two[1] {
			return fmt.Errorf("line %d: a range is [least, most]", n.Line)
		}
		r.Lo = two[0]
		r.Hi = two[1]
		return nil
	}
	var v float64
	if err := n.Decode(&v); err != nil {
		return err
	}
	r.Lo = v
	r.Hi = v
	return nil
}

// MarshalYAML implements yaml.Marshaler. It is the inverse of UnmarshalYAML.
func (r Range) MarshalYAML() (any, error) {
	if r.Lo == r.Hi {
		return r.Lo, nil
	}
	return []float64{r.Lo, r.Hi}, nil
}

// Spec is a scenario. The names of times end with their units. Work is measured on a core of speed 1.
type Spec struct {
	Name      string         `yaml:"name" json:"name"`
	LengthS   float64        `yaml:"length_s" json:"length_s"` // length of the day
	WindowS   float64        `yaml:"window_s" json:"window_s"` // length of the windows of Goal.WorstWindow
	Load      Load           `yaml:"load" json:"load"`
	Fleet     Fleet          `yaml:"fleet" json:"fleet"`
	BackEnd   BackEnd        `yaml:"backend" json:"backend"`
	Roster    Roster         `yaml:"roster" json:"roster"`
	Balancers []BalancerKind `yaml:"balancers" json:"balancers"`
	Classes   []Class        `yaml:"classes" json:"classes"`
	Tenants   []Tenant       `yaml:"tenants" json:"tenants"`
	Goal      Goal           `yaml:"goal" json:"goal"`
	Troubles  []Trouble      `yaml:"troubles" json:"troubles"`
	doc       *yamldoc.Document
	replay    *Replay
}

// Load describes the request rate, either as a share of the capacity of the cores or as a number.
type Load struct {
	OfCapacity Range   `yaml:"of_capacity" json:"of_capacity"`
	RateS      float64 `yaml:"rate_s" json:"rate_s"` // requests per second, in place of OfCapacity; 0: not given
	// factor of the request rate over the day, linear between points
	Curve []Point `yaml:"curve" json:"curve"`
	// coefficient of variation of the rate between periods of 250 ms; 0: a steady rate
	Burstiness Range `yaml:"burstiness" json:"burstiness"`
}

// Point is a point of the load curve.
type Point struct {
	AtS   float64 `yaml:"at_s" json:"at_s"`   // time of the day
	Times float64 `yaml:"times" json:"times"` // factor of the request rate
}

// Fleet describes the runners and their machines. Fields without a comment are explained at the fields of
// dependencies.MachineSpec that are drawn from them.
type Fleet struct {
	Runners  Range    `yaml:"runners" json:"runners"`
	Zones    []string `yaml:"halls" json:"halls"`
	CrossMs  Range    `yaml:"cross_ms" json:"cross_ms"` // delay between zones, one way
	NearMs   float64  `yaml:"near_ms" json:"near_ms"`   // delay within a zone, one way
	Cores    int      `yaml:"cores" json:"cores"`       // of each machine
	Speed    Range    `yaml:"speed" json:"speed"`       // of a core
	Thrash   Range    `yaml:"thrash" json:"thrash"`
	ThrashAt Range    `yaml:"thrash_at" json:"thrash_at"`
	// work of reading a request, as a share of the mean work
	ReadShare Range `yaml:"read_share" json:"read_share"`
	Backlog   int   `yaml:"backlog_per_core" json:"backlog_per_core"` // most unread requests per core
	// running requests per core that fill the memory
	MemoryRuns Range   `yaml:"memory_runs" json:"memory_runs"`
	RunFactor  float64 `yaml:"run_factor" json:"run_factor"` // see MachineSpec.RunFactor
	HoldKB     Range   `yaml:"hold_kb" json:"hold_kb"`       // mean memory of a queued request
	// share of the memory for idempotency keys at full load
	KeyRoom   Range `yaml:"key_room" json:"key_room"`
	ColdFrom  Range `yaml:"cold_from" json:"cold_from"` // share of the speed at the start of a warm-up
	ColdS     Range `yaml:"cold_s" json:"cold_s"`       // length of the warm-up
	ColdCalls Range `yaml:"cold_calls" json:"cold_calls"`
	// time until a runner restarts after a crash; after a drain it is Lo
	RestartS    Range   `yaml:"restart_s" json:"restart_s"`
	CrowdLimit  float64 `yaml:"crowd_limit" json:"crowd_limit"`       // mean running requests per core that crash it
	CrowdMs     float64 `yaml:"crowd_ms" json:"crowd_ms"`             // window of that mean
	SlackMs     float64 `yaml:"slack_ms" json:"slack_ms"`             // time by which an answer may be late
	DrainMs     float64 `yaml:"drain_grace_ms" json:"drain_grace_ms"` // time for which a draining runner takes requests
	StopMs      float64 `yaml:"stop_ms" json:"stop_ms"`               // time until a draining runner is stopped
	TellsGoneMs Range   `yaml:"tells_gone_ms" json:"tells_gone_ms"`   // time until a runner learns of an abort
	// share of aborted attempts of which the runner never learns
	GoneLost float64 `yaml:"gone_lost" json:"gone_lost"`
}

// BackEnd describes the back end that all runners share. Fields without a comment are explained at the fields
// of dependencies.BackendSpec that are drawn from them.
type BackEnd struct {
	Slots Range `yaml:"slots" json:"slots"`
	// capacity of the back end, in multiples of the calls that the fleet makes at its own capacity
	Headroom Range   `yaml:"headroom" json:"headroom"`
	Thrash   Range   `yaml:"thrash" json:"thrash"`
	Sheds    bool    `yaml:"sheds" json:"sheds"`         // it rejects calls under overload
	Fall     float64 `yaml:"fall" json:"fall"`           // mean calls in flight that crash it, in multiples of Slots
	FallMs   float64 `yaml:"fall_ms" json:"fall_ms"`     // window of that mean
	DownS    Range   `yaml:"down_s" json:"down_s"`       // time until it is up again after a crash
	LingerMs float64 `yaml:"linger_ms" json:"linger_ms"` // time for which a canceled call stays in flight
	CV       float64 `yaml:"cv" json:"cv"`               // coefficient of variation of the work of a call
}

// Roster describes how late balancers learn of changes of the endpoint list.
type Roster struct {
	NoticeS Range `yaml:"notice_s" json:"notice_s"` // delay of each notice of a change
}

// BalancerKind describes Count balancers with the same behavior. Fields without a comment are explained at the
// fields of balance.Behavior that BalancerKind.Behavior sets from them.
type BalancerKind struct {
	Count       int     `yaml:"count" json:"count"`
	Choose      string  `yaml:"choose" json:"choose"`
	Retry       string  `yaml:"retry" json:"retry"`
	Tries       int     `yaml:"tries" json:"tries"`
	Budget      float64 `yaml:"retry_budget" json:"retry_budget"`
	PauseMs     float64 `yaml:"pause_ms" json:"pause_ms"`
	Patience    float64 `yaml:"patience" json:"patience"`
	CopyAfterMs float64 `yaml:"copy_after_ms" json:"copy_after_ms"`
	// probability with which a balancer of this kind follows advice
	Heeds        float64 `yaml:"heeds" json:"heeds"`
	CheckEveryMs float64 `yaml:"check_every_ms" json:"check_every_ms"`
	EjectAfter   int     `yaml:"eject_after" json:"eject_after"`
	EjectMs      float64 `yaml:"eject_ms" json:"eject_ms"`
	Throttle     float64 `yaml:"throttle" json:"throttle"`
	Subset       int     `yaml:"subset" json:"subset"`
	Stick        bool    `yaml:"stick" json:"stick"`
	Share        float64 `yaml:"share" json:"share"` // weight of the traffic of each balancer
}

// Class is a class of requests.
type Class struct {
	Name       string  `yaml:"name" json:"name"`
	Share      float64 `yaml:"share" json:"share"`     // weight of its requests in the traffic
	WorkMs     Range   `yaml:"work_ms" json:"work_ms"` // mean work of a request
	CV         Range   `yaml:"cv" json:"cv"`           // coefficient of variation of the work
	AimMs      float64 `yaml:"aim_ms" json:"aim_ms"`   // latency objective
	DeadlineMs float64 `yaml:"deadline_ms" json:"deadline_ms"`
	WindowMs   float64 `yaml:"window_ms" json:"window_ms"`   // idempotency window
	Worth      float64 `yaml:"worth" json:"worth"`           // priority weight
	LateWorth  float64 `yaml:"late_worth" json:"late_worth"` // fraction of the weight that a late answer earns
	Effect     string  `yaml:"effect" json:"effect"`         // EffectSafe, EffectKeyed or EffectUnsafe
	Calls      Range   `yaml:"calls" json:"calls"`           // mean number of calls of a request
}

// The values of Class.Effect.
const (
	EffectSafe   = "safe"   // idempotent
	EffectKeyed  = "keyed"  // idempotent by its idempotency key
	EffectUnsafe = "unsafe" // not idempotent
)

// Tenant is a customer.
type Tenant struct {
	Name  string  `yaml:"name" json:"name"`
	Share float64 `yaml:"share" json:"share"` // weight of its quota
	Asks  float64 `yaml:"asks" json:"asks"`   // weight of its traffic; 0: Share
}

// Goal holds the factors of the score, which ledger.Goal explains.
type Goal struct {
	Whole       float64 `yaml:"whole" json:"whole"`
	WorstWindow float64 `yaml:"worst_window" json:"worst_window"`
	WorstClass  float64 `yaml:"worst_class" json:"worst_class"`
	WorstTenant float64 `yaml:"worst_tenant" json:"worst_tenant"`
	OverWorth   float64 `yaml:"over_share_worth" json:"over_share_worth"`
	// sum of the quotas of all tenants, in multiples of the capacity
	QuotaOf  Range   `yaml:"quota_of_capacity" json:"quota_of_capacity"`
	Waste    float64 `yaml:"waste_price" json:"waste_price"`
	LateFail float64 `yaml:"late_fail_price" json:"late_fail_price"`
}

// The kinds of fault.
const (
	Crash   = "crash" // runners crash and restart cold
	Slow    = "slow"  // the machines of runners are slower
	Burst   = "burst" // the request rate is higher
	Crawl   = "crawl" // the back end is slower
	Pause   = "pause" // the machines of runners are frozen
	Drain   = "drain" // runners drain, one after the other, and restart cold
	CutZone = "cut"   // a zone is cut off from the other zones
)

// Kinds lists the kinds of fault.
var Kinds = []string{Crash, Slow, Burst, Crawl, Pause, Drain, CutZone}

// Trouble describes a fault that is drawn for the day. Faults may overlap.
type Trouble struct {
	Kind  string  `yaml:"kind" json:"kind"`
	AtS   Range   `yaml:"at_s" json:"at_s"`   // begin
	ForS  Range   `yaml:"for_s" json:"for_s"` // duration
	Part  Range   `yaml:"part" json:"part"`   // share of all runners that are hit; 0: all
	Times Range   `yaml:"times" json:"times"` // factor of the slowdown or of the request rate; 0: 1
	Zone  string  `yaml:"hall" json:"hall"`   // only its runners are hit; with CutZone: the zone that is cut off
	Odds  float64 `yaml:"odds" json:"odds"`   // probability that it happens; 0: it always does
}

// Parse parses the text of a scenario file, fills in the defaults and checks the scenario. Its errors are
// those of package yamldoc.
func Parse(path string, text []byte) (*Spec, error) {
	s := defaultSpec()
	var err error
	if s.doc, err = yamldoc.Decode("day", path, text, s); err != nil {
		return nil, err
	}
	if len(s.Classes) == 0 {
		s.Classes = defaultClasses()
	}
	if len(s.Tenants) == 0 {
		s.Tenants = defaultTenants()
	}
	for _, check := range []func() error{s.checkNumbers, s.checkBalancers, s.checkClasses, s.checkFaults} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// trafficShare returns the weight of the tenant's requests in the traffic.
func (t *Tenant) trafficShare() float64 {
	if t.Asks > 0 {
		return t.Asks
	}
	return t.Share
}
