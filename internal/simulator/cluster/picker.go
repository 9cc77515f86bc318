package cluster

import (
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// Picker chooses servers for attempts. Times are those of the virtual clock.
type Picker interface {
	// SetEndpoints replaces the list of servers.
	SetEndpoints(list []endpointhealth.EndpointSpec, now time.Duration)
	// Pick returns the name of the server for an attempt. ok is false if no server is eligible.
	Pick(a *lifecycle.Attempt, now time.Duration) (name string, ok bool)
	// Done records the end of an attempt at the server with the given name.
	Done(name string, class int, o lifecycle.Outcome, latency, now time.Duration)
	// ShouldRetry reports whether a failed attempt is retried.
	ShouldRetry(c lifecycle.RetryCandidate, now time.Duration) bool
	// RetryAfter returns the Retry-After for a request for which no server is eligible.
	RetryAfter(now time.Duration) time.Duration
	// Capacity returns how many more requests all servers together can take.
	Capacity(now time.Duration) int
	// StateChanges returns how often servers have changed their health state so far.
	StateChanges() int
	// Tick is called every endpointhealth.TickInterval.
	Tick(now time.Duration)
}

// The routing modes that the code refers to by name.
const (
	modeBefore    = "before"     // leastBusyPicker, the baseline
	modeRouted    = "routed"     // the routing of the program
	modeNoLimits  = "no-limits"  // modeRouted without adaptive concurrency limits
	modeNoBudget  = "no-budget"  // modeRouted with a retry budget that never runs out
	modeNoLatency = "no-latency" // modeRouted without latency in the health of servers
	modeWide      = "wide"       // modeRouted with the cores of modes with bulkheads, see reportedCoresFactor
)

// RoutingModes lists the names of the routing modes. The first one is the baseline.
var RoutingModes = []string{
	modeBefore,
	modeRouted,
	modeNoLimits,
	modeNoBudget,
	modeNoLatency,
	modeWide,
	"pools-fixed",
	"pools-additive",
	"pools-gradient",
	"pools-queue",
	"pools-rate",
	bulkheadPrefix + objectiveMode,
	replacedMode,
}

const (
	maxRequestsPerServer = 64 // in flight
	maxAttempts          = 2  // of a request
)

// NewPicker returns the picker of a routing mode. Modes with the prefix "no-" disable a part of the routing.
func NewPicker(mode string, spec *Spec, seed uint64) Picker {
	config := picker.DefaultConfig(maxRequestsPerServer)
	config.Zones = spec.Zones
	switch mode {
	case modeBefore:
		return &leastBusyPicker{}
	case modeNoLimits:
		config.ConcurrencyLimit.Initial = maxRequestsPerServer
		config.ConcurrencyLimit.Min = maxRequestsPerServer
	case modeNoBudget:
		config.Retry.Ratio = 1
		config.Retry.MinTokens = 1e9
	case modeNoLatency:
		config.Health.LatencyFactor = 0
	case replacedMode:
		return newReplacedPicker(config, spec, seed)
	}
	return newProductionPicker(config, seed)
}

// productionPicker adapts the picker of the program to Picker.
type productionPicker struct {
	picker  *picker.Picker
	servers map[string]*picker.Server // by name, including servers that left the list and still have requests
	query   picker.Query              // reused between calls of Pick
	changes int                       // of servers' states
}

func newProductionPicker(config picker.Config, seed uint64) *productionPicker {
	p := &productionPicker{servers: map[string]*picker.Server{}}
	onChange := func(s *picker.Server, change endpointhealth.StateChange) {
		p.changes++
		p.servers[s.Name] = s
		if change.To == endpointhealth.Gone {
			delete(p.servers, s.Name)
		}
	}
	p.picker = picker.New(config, "hop", len(classes), seed, onChange)
	return p
}

// SetEndpoints implements Picker.
func (p *productionPicker) SetEndpoints(list []endpointhealth.EndpointSpec, now time.Duration) {
	p.picker.UpdateEndpoints(list, now)
}

// Pick implements Picker.
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

// endpointOutcomes maps the outcomes of the request lifecycle to those of package endpointhealth.
var endpointOutcomes = map[lifecycle.Outcome]endpointhealth.Outcome{
	lifecycle.Succeeded:   endpointhealth.Success,
	lifecycle.Faulted:     endpointhealth.ErrorResponse,
	lifecycle.Interrupted: endpointhealth.Aborted,
	lifecycle.TimedOut:    endpointhealth.TimedOut,
	lifecycle.Unreachable: endpointhealth.Unreachable,
	lifecycle.Cancelled:   endpointhealth.Inconclusive,
}

// Done implements Picker.
func (p *productionPicker) Done(
	name string,
	class int,
	o lifecycle.Outcome,
	latency, now time.Duration,
) {
	p.picker.Done(p.servers[name], class, endpointOutcomes[o], latency, now)
}

// ShouldRetry implements Picker.
func (p *productionPicker) ShouldRetry(c lifecycle.RetryCandidate, now time.Duration) bool {
	failed := retry.FailedAttempt{
		Class:          c.Class,
		HasSideEffects: c.HasSideEffect,
		NeverRan:       c.NeverRan,
		Attempts:       c.Attempts,
		MaxAttempts:    maxAttempts,
		TimeLeft:       c.Remaining,
		TimeNeeded:     p.picker.MinAttemptTime(c.Class),
	}
	return p.picker.RetryBudget().Allow(failed, now) == retry.Allowed
}

// RetryAfter implements Picker.
func (p *productionPicker) RetryAfter(now time.Duration) time.Duration {
	return p.picker.RetryAfter(now).Truncate(virtualclock.Resolution)
}

// Capacity implements Picker.
func (p *productionPicker) Capacity(now time.Duration) int { return p.picker.Capacity(now) }

// StateChanges implements Picker.
func (p *productionPicker) StateChanges() int { return p.changes }

// Tick implements Picker.
func (p *productionPicker) Tick(now time.Duration) { p.picker.Tick(now) }
