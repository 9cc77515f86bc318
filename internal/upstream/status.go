package upstream

import (
	"fmt"
	"strings"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
)

// Summary describes the group in one line. It also returns whether the list or the states of the
// servers have changed since the last call.
func (g *Group) Summary() (line string, changed bool) {
	states := g.stateSummary()
	changed, g.lastSummary = states != g.lastSummary, states
	return states + ";" + strings.TrimSuffix(g.countSummary(), ","), changed
}

func (g *Group) stateSummary() string {
	health := g.picker.Health()
	var b strings.Builder
	fmt.Fprintf(&b, "%s: list %d", g.name, health.EndpointList().Version)
	counts := health.StateCounts()
	for _, state := range endpointhealth.States {
		if n := counts[state]; n > 0 {
			fmt.Fprintf(&b, ", %d %v", n, state)
		}
	}
	return b.String()
}

func (g *Group) countSummary() string {
	var b strings.Builder
	for _, reason := range picker.PickReasons {
		if n := g.picker.PickCounts[reason]; n > 0 {
			fmt.Fprintf(&b, " %v %d,", reason, n)
		}
	}
	budget := g.picker.RetryBudget()
	fmt.Fprintf(&b, " first tries %d, budget for %.0f retries,", budget.FirstAttempts, budget.TokensLeft())
	for _, decision := range retry.Decisions {
		if n := budget.DecisionCounts[decision]; n > 0 {
			fmt.Fprintf(&b, " retry: %v %d,", decision, n)
		}
	}
	transitions := g.picker.Health().TransitionCounts
	for _, state := range endpointhealth.States {
		if n := transitions[state]; n > 0 && state != endpointhealth.Listed {
			fmt.Fprintf(&b, " became %v %d,", state, n)
		}
	}
	return b.String()
}

// Metric is one value that the group counts.
type Metric struct {
	Kind  string // one of the kinds below; also the name of the metric's label
	Name  string // the state, reason or decision that is counted; the value of the label
	Value float64
}

// The kinds of metrics.
const (
	ServersInState   = "state"  // servers that are in a state now
	StateTransitions = "became" // transitions of servers into a state, since the start
	Picks            = "chosen" // picks of a server by reason, since the start
	RetryDecisions   = "retry"  // decisions about retries, since the start
)

// Metrics returns all metrics of the group.
func (g *Group) Metrics() (metrics []Metric) {
	health := g.picker.Health()
	counts := health.StateCounts()
	for _, state := range endpointhealth.States {
		metrics = append(
			metrics,
			Metric{ServersInState, state.String(), float64(counts[state])},
			Metric{StateTransitions, state.String(), float64(health.TransitionCounts[state])},
		)
	}
	for _, reason := range picker.PickReasons {
		metrics = append(metrics, Metric{Picks, reason.String(), float64(g.picker.PickCounts[reason])})
	}
	for _, decision := range retry.Decisions {
		n := g.picker.RetryBudget().DecisionCounts[decision]
		metrics = append(metrics, Metric{RetryDecisions, decision.String(), float64(n)})
	}
	return metrics
}

// ServerStatus is the current state of one server.
type ServerStatus struct {
	Group          string  `json:"group"`
	Name           string  `json:"name"`
	Address        string  `json:"address"`
	Zone           string  `json:"hall,omitempty"`
	Weight         int     `json:"weight"`
	State          string  `json:"state"`
	StateSeconds   int64   `json:"for_s"` // time in State
	Cause          string  `json:"cause"`
	TrafficShare   float64 `json:"part"` // fraction of its weight at which it gets traffic, 0 to 1
	ActiveRequests int     `json:"open"`
	Limit          int     `json:"limit"` // concurrency limit: the most requests in flight
	LatencyMs      float64 `json:"latency_ms"`
	Requests       uint64  `json:"requests"` // since the server was listed
	Failures       uint64  `json:"failed"`   // of these requests
	StateChanges   int     `json:"changes"`
}

// ServerStatuses returns the states of the listed servers by name, followed by those of the draining
// ones by name.
func (g *Group) ServerStatuses() (statuses []ServerStatus) {
	for _, e := range g.picker.Health().EndpointList().Endpoints {
		statuses = append(statuses, g.statusOf(e))
	}
	for _, e := range g.picker.Health().DrainingEndpoints() {
		statuses = append(statuses, g.statusOf(e))
	}
	return statuses
}

func (g *Group) statusOf(e *endpointhealth.Endpoint) ServerStatus {
	const microsPerMs = 1000
	now := g.loop.Now()
	return ServerStatus{
		Group:          g.name,
		Name:           e.Name,
		Address:        e.Addr,
		Zone:           e.Zone,
		Weight:         e.Weight,
		State:          e.State.String(),
		StateSeconds:   int64((now - e.StateSince) / time.Second),
		Cause:          e.StateCause,
		TrafficShare:   g.picker.Health().TrafficShare(e, now),
		ActiveRequests: e.ActiveRequests,
		Limit:          e.Attachment.(*picker.Server).Limit(),
		LatencyMs:      e.MeanLatency / microsPerMs,
		Requests:       e.Requests,
		Failures:       e.Failures,
		StateChanges:   e.StateChanges,
	}
}
