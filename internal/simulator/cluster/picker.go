package cluster

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/lifecycle"
)

// Picker chooses servers, in one way or another.
type Picker interface {
	List(list []endpointhealth.EndpointSpec, now int64)
	Pick(a *lifecycle.Attempt, now int64) (name string, ok bool)
	Done(name string, class int, o lifecycle.Outcome, took, now int64)
	Again(t lifecycle.RetryCandidate, now int64) bool
	Back(now int64) int64
	Tick(now int64)
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

// micros is a time or a span of so many microseconds.
func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

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

func (p *routed) List(list []endpointhealth.EndpointSpec, now int64) {
	p.r.UpdateEndpoints(list, micros(now))
}

func (p *routed) Pick(a *lifecycle.Attempt, now int64) (string, bool) {
	if a.Previous == nil {
		p.r.RetryBudget().RecordFirstAttempt(a.Request.Class, micros(now))
	}
	p.query = picker.Query{Idempotent: a.Idempotent, Retry: a.Previous != nil, Attempts: a, Now: micros(now)}
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

func (p *routed) Done(name string, class int, o lifecycle.Outcome, took, now int64) {
	p.r.Done(p.servers[name], class, outcomes[o], micros(took), micros(now))
}

func (p *routed) Again(t lifecycle.RetryCandidate, now int64) bool {
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
		micros(now),
	) == retry.Allowed
}

func (p *routed) room(now int64) int { return p.r.Capacity(micros(now)) }

func (p *routed) Back(now int64) int64 { return p.r.RetryAfter(micros(now)).Microseconds() }
func (p *routed) Tick(now int64)       { p.r.Tick(micros(now)) }

// before is the picker that stood before there was routing: the least busy server gets the request,
// one that failed three times in a row rests for 5 s, and each request is tried twice.
type before struct{ servers []*resting }

type resting struct {
	name  string
	open  int
	fails int
	until int64
}

const (
	failsInARow = 3
	restFor     = 5_000_000
)

func (p *before) find(name string) *resting {
	for _, s := range p.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (p *before) List(list []endpointhealth.EndpointSpec, _ int64) {
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

func (p *before) Pick(a *lifecycle.Attempt, now int64) (string, bool) {
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

func (p *before) Done(name string, _ int, o lifecycle.Outcome, _, now int64) {
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

func (p *before) Again(t lifecycle.RetryCandidate, _ int64) bool {
	return t.Attempts < min(mostTry, len(p.servers)) && t.Remaining.Microseconds() > 0
}
func (p *before) Back(int64) int64 { return 0 }
func (p *before) Tick(int64)       {}
