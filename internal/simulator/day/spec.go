// Package day holds the days that the simulator plays: a YAML scenario that is checked, and the
// draw of one day from it. A scenario gives ranges; a draw settles each of them, the traffic and
// the troubles from one seed.
package day

import (
	"errors"
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/yamldoc"
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
	doc       *yamldoc.Document
	replay    *Replay
}

// Load says how much is asked for: as a share of what the cores can do, or as a rate.
type Load struct {
	OfCapacity Range   `yaml:"of_capacity" json:"of_capacity"`
	RateS      float64 `yaml:"rate_s" json:"rate_s"` // first tries a second; in place of a share
	// times the load, in straight lines between points
	Curve      []Point `yaml:"curve" json:"curve"`
	Burstiness Range   `yaml:"burstiness" json:"burstiness"`
}

// Point is a point of the rate curve.
type Point struct {
	AtS   float64 `yaml:"at_s" json:"at_s"`
	Times float64 `yaml:"times" json:"times"`
}

// Fleet is what the runners' machines are like.
type Fleet struct {
	Runners  Range    `yaml:"runners" json:"runners"`
	Halls    []string `yaml:"halls" json:"halls"`
	CrossMs  Range    `yaml:"cross_ms" json:"cross_ms"` // between halls, one way
	NearMs   float64  `yaml:"near_ms" json:"near_ms"`   // within one
	Cores    int      `yaml:"cores" json:"cores"`
	Speed    Range    `yaml:"speed" json:"speed"`
	Thrash   Range    `yaml:"thrash" json:"thrash"`
	ThrashAt Range    `yaml:"thrash_at" json:"thrash_at"`
	// reading, as a share of the mean work
	ReadShare Range `yaml:"read_share" json:"read_share"`
	Backlog   int   `yaml:"backlog_per_core" json:"backlog_per_core"`
	// running requests a core that fill the memory
	MemoryRuns Range   `yaml:"memory_runs" json:"memory_runs"`
	RunFactor  float64 `yaml:"run_factor" json:"run_factor"`
	HoldKB     Range   `yaml:"hold_kb" json:"hold_kb"`
	// of the memory, for all keys at full load
	KeyRoom     Range   `yaml:"key_room" json:"key_room"`
	ColdFrom    Range   `yaml:"cold_from" json:"cold_from"`
	ColdS       Range   `yaml:"cold_s" json:"cold_s"`
	ColdCalls   Range   `yaml:"cold_calls" json:"cold_calls"`
	RestartS    Range   `yaml:"restart_s" json:"restart_s"` // after it fell over
	CrowdLimit  float64 `yaml:"crowd_limit" json:"crowd_limit"`
	CrowdMs     float64 `yaml:"crowd_ms" json:"crowd_ms"`
	SlackMs     float64 `yaml:"slack_ms" json:"slack_ms"`
	DrainMs     float64 `yaml:"drain_grace_ms" json:"drain_grace_ms"`
	StopMs      float64 `yaml:"stop_ms" json:"stop_ms"`
	TellsGoneMs Range   `yaml:"tells_gone_ms" json:"tells_gone_ms"`
	// share of give-ups that a runner never hears of
	GoneLost float64 `yaml:"gone_lost" json:"gone_lost"`
}

// Backend is what the shared back end is like.
type BackEnd struct {
	Slots Range `yaml:"slots" json:"slots"`
	// its capacity over the calls of a full fleet
	Headroom Range   `yaml:"headroom" json:"headroom"`
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
	Count       int     `yaml:"count" json:"count"`
	Choose      string  `yaml:"choose" json:"choose"`
	Retry       string  `yaml:"retry" json:"retry"`
	Tries       int     `yaml:"tries" json:"tries"`
	Budget      float64 `yaml:"retry_budget" json:"retry_budget"`
	PauseMs     float64 `yaml:"pause_ms" json:"pause_ms"`
	Patience    float64 `yaml:"patience" json:"patience"`
	CopyAfterMs float64 `yaml:"copy_after_ms" json:"copy_after_ms"`
	// the share of them that heed what they are told
	Heeds        float64 `yaml:"heeds" json:"heeds"`
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

// The values of Class.Effect.
const (
	EffectSafe   = "safe"   // idempotent
	EffectKeyed  = "keyed"  // idempotent by an idempotency key
	EffectUnsafe = "unsafe" // not idempotent
)

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
	// what all shares come to
	QuotaOf  Range   `yaml:"quota_of_capacity" json:"quota_of_capacity"`
	Waste    float64 `yaml:"waste_price" json:"waste_price"`
	LateFail float64 `yaml:"late_fail_price" json:"late_fail_price"`
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

// defaultSpec is what a scenario need not say: the operators' figures for their fleet.
func defaultSpec() *Spec {
	return &Spec{LengthS: 60, WindowS: 10,
		Load: Load{OfCapacity: Range{0.65, 0.65}},
		Fleet: Fleet{
			Runners:    Range{12, 12},
			Halls:      []string{"kista", "solna", "haninge"},
			CrossMs:    Range{1.4, 2.6},
			NearMs:     0.2,
			Cores:      6,
			Speed:      Range{0.85, 1.1},
			Thrash:     Range{0.2, 0.48},
			ThrashAt:   Range{2, 4.8},
			ReadShare:  Range{0.22, 0.28},
			Backlog:    128,
			MemoryRuns: Range{12, 20},
			RunFactor:  8,
			HoldKB:     Range{28, 56},
			KeyRoom:    Range{0.16, 0.32},
			ColdFrom: Range{
				0.2,
				0.49,
			},
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

// defaultClasses and defaultTenants stand for a scenario that names none.
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
			Effect:     "safe",
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
			Effect:     "safe",
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
			Effect:     "keyed",
			Calls:      Range{1, 2},
		},
	}
}

func defaultTenants() []Tenant {
	return []Tenant{{Name: "malarskolan", Share: 0.3}, {Name: "ostra-gymnasiet", Share: 0.28},
		{Name: "bergvik-kommun", Share: 0.24}, {Name: "lindby-skola", Share: 0.19}}
}

// Parse checks a scenario that was read from a file.
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
	for _, check := range []func() error{s.checkNumbers, s.checkBalancers, s.checkClasses, s.checkTroubles} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Behavior is how balancers of the kind behave; one that heeds or one that does not.
func (k *BalancerKind) Behavior(heeds bool) balance.Behavior {
	return balance.Behavior{
		Policy:      balance.Policy(k.Choose),
		Retry:       balance.Retry(k.Retry),
		MaxAttempts: k.Tries,
		RetryBudget: k.Budget,
		RetryPause: millis(
			k.PauseMs,
		),
		AttemptTimeout: k.Patience,
		HedgeDelay:     millis(k.CopyAfterMs),
		FollowsAdvice:  heeds,
		CreditTTL:      creditTTL,
		HealthCheckInterval: millis(
			k.CheckEveryMs,
		),
		EjectAfterFailures: k.EjectAfter,
		EjectionTime:       millis(k.EjectMs),
		ThrottleFactor:     k.Throttle,
		SubsetSize:         k.Subset,
		Sticky:             k.Stick,
	}
}

func (t *Tenant) trafficShare() float64 {
	if t.Asks > 0 {
		return t.Asks
	}
	return t.Share
}

// OverrideError is what is wrong with a change of a kind of balancer.
type OverrideError struct {
	Place       int
	Field, What string
}

func (e *OverrideError) Error() string {
	return fmt.Sprintf("balancers.%d.%s: %s", e.Place, e.Field, e.What)
}

// Override gives the scenario's kinds of balancers with some of their fields changed. How many
// there are of each and what part of the traffic they get belongs to the day and stays.
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
			return nil, &OverrideError{i, at.Field, at.Reason}
		} else if err != nil {
			return nil, &OverrideError{i, "", err.Error()}
		}
		if k.Count != before.Count || k.Share != before.Share {
			return nil, &OverrideError{i, "count", "how many there are, and their share, belong to the day"}
		}
	}
	return kinds, nil
}
