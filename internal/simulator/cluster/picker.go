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
	SetEndpoints(list []endpointhealth.EndpointSpec, now time.Duration)
	Pick(a *lifecycle.Attempt, now time.Duration) (name string, ok bool)
	Done(name string, class int, o lifecycle.Outcome, took, now time.Duration)
	ShouldRetry(t lifecycle.RetryCandidate, now time.Duration) bool
	RetryAfter(now time.Duration) time.Duration
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
	replacedMode,
}

// NewPicker makes one. A way that leaves something out tells what that is good for.
func NewPicker(way string, spec *Spec, seed uint64) Picker {
	cfg := picker.DefaultConfig(maxRequestsPerServer)
	cfg.Zones = spec.Zones
	switch way {
	case "before":
		return &leastBusyPicker{}
	case "no-limits":
		cfg.ConcurrencyLimit.Initial, cfg.ConcurrencyLimit.Min = maxRequestsPerServer, maxRequestsPerServer
	case "no-budget":
		cfg.Retry.Ratio, cfg.Retry.MinTokens = 1, 1e9
	case "no-latency":
		cfg.Health.LatencyFactor = 0
	}
	if way == replacedMode {
		return newReplacedPicker(cfg, spec, seed)
	}
	return newProductionPicker(cfg, seed)
}

const (
	maxRequestsPerServer = 64 // requests at one server
	maxAttempts          = 2  // servers that one request may be sent to
)

// productionPicker is the routing of the program.
type productionPicker struct {
	picker  *picker.Picker
	servers map[string]*picker.Server // by name, also of those that left and have something open
	query   picker.Query
	changes int
}

func newProductionPicker(cfg picker.Config, seed uint64) *productionPicker {
	p := &productionPicker{servers: map[string]*picker.Server{}}
	p.picker = picker.New(cfg, "hop", len(classes), seed, func(s *picker.Server, c endpointhealth.StateChange) {
		p.changes++
		if p.servers[s.Name] = s; c.To == endpointhealth.Gone {
			delete(p.servers, s.Name)
		}
	})
	return p
}

func (p *productionPicker) SetEndpoints(list []endpointhealth.EndpointSpec, now time.Duration) {
	p.picker.UpdateEndpoints(list, now)
}

func (p *productionPicker) Pick(a *lifecycle.Attempt, now time.Duration) (string, bool) {
	if a.Previous == nil {
		p.picker.RetryBudget().RecordFirstAttempt(a.Request.Class, now)
	}
	p.query = picker.Query{Idempotent: a.Idempotent, Retry: a.Previous != nil, Attempts: a, Now: now}
	s, _ := p.picker.Pick(&p.query)
	if s == nil {
		return "", false
	}
	p.picker.Sent(s)
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

func (p *productionPicker) Done(name string, class int, o lifecycle.Outcome, took, now time.Duration) {
	p.picker.Done(p.servers[name], class, outcomes[o], took, now)
}

func (p *productionPicker) ShouldRetry(t lifecycle.RetryCandidate, now time.Duration) bool {
	return p.picker.RetryBudget().Allow(
		retry.FailedAttempt{
			Class:          t.Class,
			HasSideEffects: t.HasSideEffect,
			NeverRan:       t.NeverRan,
			Attempts:       t.Attempts,
			MaxAttempts:    maxAttempts,
			TimeLeft:       t.Remaining,
			TimeNeeded:     p.picker.MinAttemptTime(t.Class),
		},
		now,
	) == retry.Allowed
}

func (p *productionPicker) capacity(now time.Duration) int { return p.picker.Capacity(now) }

func (p *productionPicker) RetryAfter(now time.Duration) time.Duration {
	return p.picker.RetryAfter(now).Truncate(virtualclock.Resolution)
}
func (p *productionPicker) Tick(now time.Duration) { p.picker.Tick(now) }

// leastBusyPicker is the picker that stood before there was routing: the least busy server gets the request,
// one that failed three times in a row rests for 5 s, and each request is tried twice.
type leastBusyPicker struct{ servers []*leastBusyServer }

type leastBusyServer struct {
	name       string
	active     int
	failures   int
	avoidUntil time.Duration
}

const (
	maxFailures = 3
	avoidTime   = 5 * time.Second
)

func (p *leastBusyPicker) find(name string) *leastBusyServer {
	for _, s := range p.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (p *leastBusyPicker) SetEndpoints(list []endpointhealth.EndpointSpec, _ time.Duration) {
	var next []*leastBusyServer
	for _, l := range list {
		s := p.find(l.Name)
		if s == nil {
			s = &leastBusyServer{name: l.Name}
		}
		next = append(next, s)
	}
	p.servers = next
}

func (p *leastBusyPicker) Pick(a *lifecycle.Attempt, now time.Duration) (string, bool) {
	var best *leastBusyServer
	least := math.Inf(1)
	for _, s := range p.servers {
		if s.active >= maxRequestsPerServer || a.Tried(s.name) {
			continue
		}
		load := float64(s.active + 1)
		if s.avoidUntil > now {
			load += 1e9
		}
		if load < least {
			best, least = s, load
		}
	}
	if best == nil {
		return "", false
	}
	best.active++
	return best.name, true
}

func (p *leastBusyPicker) Done(name string, _ int, o lifecycle.Outcome, _, now time.Duration) {
	s := p.find(name)
	if s == nil {
		return
	}
	s.active--
	switch o {
	case lifecycle.Succeeded:
		s.failures = 0
	case lifecycle.Interrupted, lifecycle.Unreachable, lifecycle.TimedOut:
		if s.failures++; s.failures >= maxFailures {
			s.avoidUntil = now + avoidTime
		}
	}
}

func (p *leastBusyPicker) ShouldRetry(t lifecycle.RetryCandidate, _ time.Duration) bool {
	return t.Attempts < min(maxAttempts, len(p.servers)) && t.Remaining >= virtualclock.Resolution
}
func (p *leastBusyPicker) RetryAfter(time.Duration) time.Duration { return 0 }
func (p *leastBusyPicker) Tick(time.Duration)                     {}
