package cluster

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// Picker chooses servers, in one way or another.
type Picker interface {
	List(list []endpointhealth.EndpointSpec, now time.Duration)
	Pick(a *lifecycle.Attempt, now time.Duration) (name string, ok bool)
	Done(name string, class int, o lifecycle.Outcome, took, now time.Duration)
	Again(t lifecycle.RetryCandidate, now time.Duration) bool
	Back(now time.Duration) time.Duration
	Tick(now time.Duration)
}

// RoutingModes are the ways of routing by name; the first is the baseline.
var RoutingModes = []string{
	"before",
	"routed",
	"no-limits",
	"no-budget",
	"no-latency",
	"wide",
	"pools-fixed",
	"pools-additive",
	"pools-gradient",
	"pools-queue",
	"pools-rate",
	"pools-aims",
	blind,
}

// NewPicker makes one. A way that leaves something out tells what that is good for.
func NewPicker(way string, spec *Spec, seed uint64) Picker {
	cfg := picker.DefaultConfig(mostOpen)
	cfg.Zones = spec.Zones
	switch way {
	case "before":
		return &before{}
	case "no-limits":
		cfg.ConcurrencyLimit.Initial, cfg.ConcurrencyLimit.Min = mostOpen, mostOpen
	case "no-budget":
		cfg.Retry.Ratio, cfg.Retry.MinTokens = 1, 1e9
	case "no-latency":
		cfg.Health.LatencyFactor = 0
	}
	if way == blind {
		return newRenewed(cfg, spec, seed)
	}
	return newRouted(cfg, seed)
}

const (
	mostOpen = 64 // requests at one server
	mostTry  = 2  // servers that one request may be sent to
)

// routed is the routing of the program.
type routed struct {
	r       *picker.Picker
	servers map[string]*picker.Server // by name, also of those that left and have something open
	query   picker.Query
	changes int
}

func newRouted(cfg picker.Config, seed uint64) *routed {
	p := &routed{servers: map[string]*picker.Server{}}
	p.r = picker.New(cfg, "hop", len(classes), seed, func(s *picker.Server, c endpointhealth.StateChange) {
		p.changes++
		if p.servers[s.Name] = s; c.To == endpointhealth.Gone {
			delete(p.servers, s.Name)
		}
	})
	return p
}

func (p *routed) List(list []endpointhealth.EndpointSpec, now time.Duration) {
	p.r.UpdateEndpoints(list, now)
}

func (p *routed) Pick(a *lifecycle.Attempt, now time.Duration) (string, bool) {
	if a.Previous == nil {
		p.r.RetryBudget().RecordFirstAttempt(a.Request.Class, now)
	}
	p.query = picker.Query{Idempotent: a.Idempotent, Retry: a.Previous != nil, Attempts: a, Now: now}
	s, _ := p.r.Pick(&p.query)
	if s == nil {
		return "", false
	}
	p.r.Sent(s)
	return s.Name, true
}

var outcomes = map[lifecycle.Outcome]endpointhealth.Outcome{
	lifecycle.Succeeded:   endpointhealth.Success,
	lifecycle.Faulted:     endpointhealth.ErrorResponse,
	lifecycle.Interrupted: endpointhealth.Aborted,
	lifecycle.TimedOut:    endpointhealth.TimedOut,
	lifecycle.Unreachable: endpointhealth.Unreachable,
	lifecycle.Canceled:    endpointhealth.Inconclusive,
}

func (p *routed) Done(name string, class int, o lifecycle.Outcome, took, now time.Duration) {
	p.r.Done(p.servers[name], class, outcomes[o], took, now)
}

func (p *routed) Again(t lifecycle.RetryCandidate, now time.Duration) bool {
	return p.r.RetryBudget().Allow(
		retry.FailedAttempt{
			Class:          t.Class,
			HasSideEffects: t.HasSideEffect,
			NeverRan:       t.NeverRan,
			Attempts:       t.Attempts,
			MaxAttempts:    mostTry,
			TimeLeft:       t.Remaining,
			TimeNeeded:     p.r.MinAttemptTime(t.Class),
		},
		now,
	) == retry.Allowed
}

func (p *routed) room(now time.Duration) int { return p.r.Capacity(now) }

func (p *routed) Back(now time.Duration) time.Duration {
	return p.r.RetryAfter(now).Truncate(virtualclock.Resolution)
}
func (p *routed) Tick(now time.Duration) { p.r.Tick(now) }

// before is the picker that stood before there was routing: the least busy server gets the request,
// one that failed three times in a row rests for 5 s, and each request is tried twice.
type before struct{ servers []*resting }

type resting struct {
	name  string
	open  int
	fails int
	until time.Duration
}

const (
	failsInARow = 3
	restFor     = 5 * time.Second
)

func (p *before) find(name string) *resting {
	for _, s := range p.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (p *before) List(list []endpointhealth.EndpointSpec, _ time.Duration) {
	var next []*resting
	for _, l := range list {
		s := p.find(l.Name)
		if s == nil {
			s = &resting{name: l.Name}
		}
		next = append(next, s)
	}
	p.servers = next
}

func (p *before) Pick(a *lifecycle.Attempt, now time.Duration) (string, bool) {
	var best *resting
	least := math.Inf(1)
	for _, s := range p.servers {
		if s.open >= mostOpen || a.Tried(s.name) {
			continue
		}
		load := float64(s.open + 1)
		if s.until > now {
			load += 1e9
		}
		if load < least {
			best, least = s, load
		}
	}
	if best == nil {
		return "", false
	}
	best.open++
	return best.name, true
}

func (p *before) Done(name string, _ int, o lifecycle.Outcome, _, now time.Duration) {
	s := p.find(name)
	if s == nil {
		return
	}
	s.open--
	switch o {
	case lifecycle.Succeeded:
		s.fails = 0
	case lifecycle.Interrupted, lifecycle.Unreachable, lifecycle.TimedOut:
		if s.fails++; s.fails >= failsInARow {
			s.until = now + restFor
		}
	}
}

func (p *before) Again(t lifecycle.RetryCandidate, _ time.Duration) bool {
	return t.Attempts < min(mostTry, len(p.servers)) && t.Remaining >= virtualclock.Resolution
}
func (p *before) Back(time.Duration) time.Duration { return 0 }
func (p *before) Tick(time.Duration)               {}
