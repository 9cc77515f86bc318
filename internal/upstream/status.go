package upstream

import (
	"fmt"
	"strings"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
)

// Summary is the group in one line. changed tells whether servers have other states than when it
// was asked for last.
func (g *Group) Summary() (line string, changed bool) {
	t := g.router.Health()
	var b strings.Builder
	n := t.StateCounts()
	for _, s := range endpointhealth.States {
		if n[s] > 0 {
			fmt.Fprintf(&b, ", %d %v", n[s], s)
		}
	}
	counts := fmt.Sprintf("%s: list %d%s", g.name, t.EndpointList().Version, b.String())
	changed, g.told = counts != g.told, counts
	b.Reset()
	for _, w := range picker.PickReasons {
		if c := g.router.PickCounts[w]; c > 0 {
			fmt.Fprintf(&b, " %v %d,", w, c)
		}
	}
	budget := g.router.RetryBudget()
	fmt.Fprintf(&b, " first tries %d, budget for %.0f retries,", budget.FirstAttempts, budget.TokensLeft())
	for _, r := range retry.Decisions {
		if c := budget.DecisionCounts[r]; c > 0 {
			fmt.Fprintf(&b, " retry: %v %d,", r, c)
		}
	}
	for _, s := range endpointhealth.States {
		if c := t.TransitionCounts[s]; c > 0 && s != endpointhealth.Listed {
			fmt.Fprintf(&b, " became %v %d,", s, c)
		}
	}
	return counts + ";" + strings.TrimSuffix(b.String(), ","), changed
}

// Metric is a figure of the group: how many servers are in a state, how often they came to be, how
// servers were chosen, and what was said of retries.
type Metric struct {
	Kind, Name string
	Value      float64
}

// The kinds of counts.
const (
	ServersInState   = "state"
	StateTransitions = "became"
	Picks            = "chosen"
	RetryDecisions   = "retry"
)

// Metrics are all of them.
func (g *Group) Metrics() (out []Metric) {
	t := g.router.Health()
	n := t.StateCounts()
	for _, s := range endpointhealth.States {
		out = append(
			out,
			Metric{ServersInState, s.String(), float64(n[s])},
			Metric{StateTransitions, s.String(), float64(t.TransitionCounts[s])},
		)
	}
	for _, w := range picker.PickReasons {
		out = append(out, Metric{Picks, w.String(), float64(g.router.PickCounts[w])})
	}
	for _, r := range retry.Decisions {
		out = append(out, Metric{RetryDecisions, r.String(), float64(g.router.RetryBudget().DecisionCounts[r])})
	}
	return out
}

// ServerStatus is one server.
type ServerStatus struct {
	Group          string  `json:"group"`
	Name           string  `json:"name"`
	Address        string  `json:"address"`
	Zone           string  `json:"hall,omitempty"`
	Weight         int     `json:"weight"`
	State          string  `json:"state"`
	StateSeconds   int64   `json:"for_s"`
	Cause          string  `json:"cause"`
	TrafficShare   float64 `json:"part"`
	ActiveRequests int     `json:"open"`
	Limit          int     `json:"limit"`
	LatencyMs      float64 `json:"latency_ms"`
	Requests       uint64  `json:"requests"`
	Failures       uint64  `json:"failed"`
	StateChanges   int     `json:"changes"`
}

// ServerStatuses are the servers of the group, those that are leaving last.
func (g *Group) ServerStatuses() (out []ServerStatus) {
	now := micros(g.loop.Now())
	row := func(m *endpointhealth.Endpoint) {
		out = append(
			out,
			ServerStatus{
				g.name,
				m.Name,
				m.Addr,
				m.Zone,
				m.Weight,
				m.State.String(),
				int64((now - m.StateSince) / time.Second),
				m.StateCause,
				g.router.Health().TrafficShare(
					m,
					now,
				),
				m.ActiveRequests,
				m.Attachment.(*picker.Server).Limit(),
				m.MeanLatency / 1000,
				m.Requests,
				m.Failures,
				m.StateChanges,
			},
		)
	}
	for _, m := range g.router.Health().EndpointList().Endpoints {
		row(m)
	}
	for _, m := range g.router.Health().DrainingEndpoints() {
		row(m)
	}
	return out
}

// Capacity is how many requests the servers of the group may have together.
func (g *Group) Capacity() int { return g.router.Capacity(micros(g.loop.Now())) }
