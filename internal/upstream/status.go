package upstream

import (
	"fmt"
	"strings"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
)

// Summary is the group in one line. changed tells whether servers have other states than when it
// was asked for last.
func (g *Group) Summary() (line string, changed bool) {
	t := g.router.Table()
	var b strings.Builder
	n := t.Counts()
	for _, s := range endpointhealth.States {
		if n[s] > 0 {
			fmt.Fprintf(&b, ", %d %v", n[s], s)
		}
	}
	counts := fmt.Sprintf("%s: list %d%s", g.name, t.Roster().Version, b.String())
	changed, g.told = counts != g.told, counts
	b.Reset()
	for _, w := range picker.Whys {
		if c := g.router.Chosen[w]; c > 0 {
			fmt.Fprintf(&b, " %v %d,", w, c)
		}
	}
	budget := g.router.Budget()
	fmt.Fprintf(&b, " first tries %d, budget for %.0f retries,", budget.Firsts, budget.Left())
	for _, r := range retry.Reasons {
		if c := budget.Told[r]; c > 0 {
			fmt.Fprintf(&b, " retry: %v %d,", r, c)
		}
	}
	for _, s := range endpointhealth.States {
		if c := t.Changes[s]; c > 0 && s != endpointhealth.Listed {
			fmt.Fprintf(&b, " became %v %d,", s, c)
		}
	}
	return counts + ";" + strings.TrimSuffix(b.String(), ","), changed
}

// Count is a figure of the group: how many servers are in a state, how often they came to be, how
// servers were chosen, and what was said of retries.
type Count struct {
	Of, What string
	N        float64
}

// The kinds of counts.
const (
	InState = "state"
	Became  = "became"
	Chosen  = "chosen"
	Retry   = "retry"
)

// Counts are all of them.
func (g *Group) Counts() (out []Count) {
	t := g.router.Table()
	n := t.Counts()
	for _, s := range endpointhealth.States {
		out = append(
			out,
			Count{InState, s.String(), float64(n[s])},
			Count{Became, s.String(), float64(t.Changes[s])},
		)
	}
	for _, w := range picker.Whys {
		out = append(out, Count{Chosen, w.String(), float64(g.router.Chosen[w])})
	}
	for _, r := range retry.Reasons {
		out = append(out, Count{Retry, r.String(), float64(g.router.Budget().Told[r])})
	}
	return out
}

// Row is one server.
type Row struct {
	Group   string  `json:"group"`
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Hall    string  `json:"hall,omitempty"`
	Weight  int     `json:"weight"`
	State   string  `json:"state"`
	ForS    int64   `json:"for_s"`
	Cause   string  `json:"cause"`
	Part    float64 `json:"part"`
	Open    int     `json:"open"`
	Limit   int     `json:"limit"`
	Ms      float64 `json:"latency_ms"`
	Ended   uint64  `json:"requests"`
	Failed  uint64  `json:"failed"`
	Changes int     `json:"changes"`
}

// Rows are the servers of the group, those that are leaving last.
func (g *Group) Rows() (out []Row) {
	now := g.loop.Now()
	row := func(m *endpointhealth.Member) {
		out = append(
			out,
			Row{
				g.name,
				m.Name,
				m.Addr,
				m.Hall,
				m.Weight,
				m.State.String(),
				(now - m.Since) / 1_000_000,
				m.Cause,
				g.router.Table().Part(
					m,
					now,
				),
				m.Open,
				m.Owner.(*picker.Server).Limit(),
				m.Latency / 1000,
				m.Ended,
				m.Failed,
				m.Changes,
			},
		)
	}
	for _, m := range g.router.Table().Roster().Members {
		row(m)
	}
	for _, m := range g.router.Table().Leavers() {
		row(m)
	}
	return out
}

// Room is how many requests the servers of the group may have together.
func (g *Group) Room() int { return g.router.Room(g.loop.Now()) }
