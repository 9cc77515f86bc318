// Package membership knows which servers take part: each has a state, and each change of it a cause
// and a time. It is free of I/O: it is told of lists, outcomes, checks and time, and says who may
// get a request, and how much of the work.
//
// A server that fails is suspected, then ejected for a while, never more than a share of all at
// once. After that a request or a check probes it; if that goes well it warms up to its full part.
// It is judged by failures in a row, and by its rate of failure and its latency beside those of its
// peers: what befalls all of them says nothing of one. Each ejection soon after the one before is
// twice as long, and a suspicion lasts for a least time, so that a server that flaps changes its
// state a bounded number of times.
//
// Times are microseconds, monotonic and above nought. A table is used by one goroutine.
package endpointhealth

import (
	"cmp"
	"fmt"
	"slices"
)

// TickInterval is how often a table is to be told of the time by Tick.
const TickInterval = 1_000_000

// Monitor is the servers of a group.
type Monitor struct {
	cfg              Config
	roster           *EndpointList
	byID             map[ID]*Endpoint // also of those that drain
	changed          func(*Endpoint, StateChange)
	out              int         // listed ones that are ejected or probed
	probing          []*Endpoint // in the order in which their time was over
	sorted           []float64
	late             float64          // share of all requests that failed, at the last look
	TransitionCounts [Gone + 1]uint64 // into each state
}

// New makes an empty table. changed hears of each change, after it.
func New(cfg Config, changed func(*Endpoint, StateChange)) *Monitor {
	return &Monitor{cfg: cfg, roster: &EndpointList{}, byID: map[ID]*Endpoint{}, changed: changed}
}

// EndpointList is the list as it is now.
func (t *Monitor) EndpointList() *EndpointList { return t.roster }

// Configure takes another way to decide, which holds from now on.
func (t *Monitor) Configure(cfg Config) { t.cfg = cfg }

func isOut(s State) bool { return s == Ejected || s == Probing }

func (t *Monitor) set(m *Endpoint, to State, now int64, format string, v ...any) {
	c := StateChange{m.ID, m.State, to, now, fmt.Sprintf(format, v...)}
	if isOut(m.State) && !m.left {
		t.out--
	}
	if m.State == Probing {
		t.probing = slices.DeleteFunc(t.probing, func(o *Endpoint) bool { return o == m })
	}
	m.State, m.StateSince, m.StateCause = to, now, c.Cause
	m.slow, m.checks = 0, 0
	if isOut(to) {
		t.out++
	}
	if to == Probing {
		t.probing = append(t.probing, m)
	}
	m.StateChanges++
	t.TransitionCounts[to]++
	t.changed(m, c)
}

// Update takes a new list, whose names are told from each other, and makes a roster of it. Those of
// the first list are in service at once: there is nobody else to carry the work while they warm up.
// One that stays keeps what is known of it.
func (t *Monitor) Update(list []EndpointSpec, now int64) *EndpointList {
	first := len(t.byID) == 0
	next := &EndpointList{Version: t.roster.Version + 1, At: now, Endpoints: make([]*Endpoint, 0, len(list))}
	listed := make(map[ID]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
	}
	for _, m := range t.roster.Endpoints {
		if !listed[m.ID] {
			t.leave(m, now)
		}
	}
	for _, l := range list {
		m := t.byID[l.ID]
		switch {
		case m == nil:
			m = &Endpoint{EndpointSpec: l, State: Listed, StateSince: now, StateCause: "listed", SuccessRate: 1}
			t.byID[l.ID] = m
			switch {
			case first:
				t.set(m, InService, now, "it is in the first list")
			case t.cfg.HealthChecks.Interval > 0:
				t.set(m, Checking, now, "it is new in the list")
			default:
				t.set(m, WarmingUp, now, "it is new in the list")
			}
		case m.left:
			m.left, m.fails, m.misses = false, 0, 0
			t.set(m, t.newcomer(), now, "it is listed again")
		}
		m.EndpointSpec = l
		next.Endpoints = append(next.Endpoints, m)
	}
	slices.SortFunc(next.Endpoints, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Addr, b.Addr))
	})
	t.roster = next
	return next
}

func (t *Monitor) newcomer() State {
	if t.cfg.HealthChecks.Interval > 0 {
		return Checking
	}
	return WarmingUp
}

// leave takes a server off the list. What is open on it goes on.
func (t *Monitor) leave(m *Endpoint, now int64) {
	t.set(m, Draining, now, "it left the list with %d open", m.ActiveRequests)
	m.left = true
	t.drop(m, now)
}

// drop forgets a server that has left and on which nothing is open.
func (t *Monitor) drop(m *Endpoint, now int64) {
	if m.left && m.ActiveRequests == 0 && m.State != Gone {
		t.set(m, Gone, now, "its last request ended")
		delete(t.byID, m.ID)
	}
}

// DrainingCount is how many servers have left the list and are not gone.
func (t *Monitor) DrainingCount() int { return len(t.byID) - len(t.roster.Endpoints) }

// TrafficShare is how much of its weight a server gets now: 0 to 1. One that is probed gets none by this:
// see NextProbe.
func (t *Monitor) TrafficShare(m *Endpoint, now int64) float64 {
	switch m.State {
	case InService:
		return 1
	case Suspected:
		return t.cfg.SuspectShare
	case WarmingUp:
		past := float64(now-m.StateSince) / float64(max(t.cfg.WarmUpWindow, 1))
		return max(min(t.cfg.WarmUpMinShare+(1-t.cfg.WarmUpMinShare)*past, 1), 0.01)
	}
	return 0
}

// NextProbe is a server that waits for a request to probe it; nil: none does. risk tells whether the
// request may be sent again if the probe fails; one that may not probes only a server that nobody
// else does.
func (t *Monitor) NextProbe(risk bool, now int64) *Endpoint {
	for _, m := range t.probing {
		if !m.probed && (risk || now-m.StateSince >= t.cfg.MaxProbeWait) {
			return m
		}
	}
	return nil
}

// EarliestProbe is the earliest time at which a server that is ejected may be probed; 0: none is ejected.
func (t *Monitor) EarliestProbe() (at int64) {
	for _, m := range t.roster.Endpoints {
		if m.State == Ejected && (at == 0 || m.until < at) {
			at = m.until
		}
	}
	return at
}

// Sent notes a request that goes to a server.
func (t *Monitor) Sent(m *Endpoint) {
	m.ActiveRequests++
	m.probed = m.probed || m.State == Probing
}

// Tick moves servers by time, and judges them beside their peers. It is to be called each Look.
func (t *Monitor) Tick(now int64) {
	var good, bad int // of all, in the window
	t.sorted = t.sorted[:0]
	for _, m := range t.roster.Endpoints {
		t.age(m, now)
		g, b := m.window.sum(now)
		good, bad = good+g, bad+b
		if m.State == InService && g+b >= t.cfg.MinRequests && m.MeanLatency > 0 {
			t.sorted = append(t.sorted, m.MeanLatency)
		}
	}
	slices.Sort(t.sorted)
	t.late = float64(bad) / float64(max(good+bad, 1))
	for _, m := range t.roster.Endpoints {
		if m.State != InService && m.State != Suspected && m.State != WarmingUp {
			continue
		}
		g, b := m.window.sum(now)
		if g+b < t.cfg.MinRequests {
			m.slow = 0
			continue
		}
		rate := float64(b) / float64(g+b)
		peers := float64(bad-b) / float64(max(good+bad-g-b, 1))
		if rate >= t.cfg.FailureRateThreshold && rate >= t.cfg.FailureRateFactor*peers && t.mayEject() {
			t.eject(
				m,
				now,
				fmt.Sprintf("%d of its %d requests failed, %.0f%% of its peers'", b, g+b, 100*peers),
			)
			continue
		}
		t.judgeLatency(m, now)
	}
}

// age moves a server by time alone.
func (t *Monitor) age(m *Endpoint, now int64) {
	switch {
	case m.State == Ejected && now >= m.until:
		m.probed = false
		t.set(m, Probing, now, "its time is over")
	case m.State == WarmingUp && now-m.StateSince >= t.cfg.WarmUpWindow:
		t.set(m, InService, now, "it is warm")
	case m.State == Suspected && m.fails == 0 && now-m.StateSince >= t.cfg.MinSuspectTime:
		t.set(m, InService, now, "it serves again")
	case m.State == Checking && t.cfg.HealthChecks.Interval == 0:
		t.set(m, WarmingUp, now, "there are no checks any more")
	}
	if m.State == InService && m.back && now-m.StateSince >= t.cfg.EjectionResetAfter {
		m.times, m.back = 0, false
	}
}

// DueHealthChecks appends the servers that are to be checked now. Each of them is owed one call of
// Checked. Those of one list are spread over the time between two checks.
func (t *Monitor) DueHealthChecks(now int64, to []*Endpoint) []*Endpoint {
	every := t.cfg.HealthChecks.Interval
	if every == 0 {
		return to
	}
	n := int64(len(t.roster.Endpoints))
	for i, m := range t.roster.Endpoints {
		switch {
		case m.checked || m.State == Ejected:
		case m.nextRun == 0 && m.State == InService: // of the first list: there is time
			m.nextRun = now + every*int64(i)/n
		case now >= m.nextRun:
			m.nextRun, m.checked = now+every, true
			to = append(to, m)
		}
	}
	return to
}

// HealthCheckDone notes the end of a check.
func (t *Monitor) HealthCheckDone(m *Endpoint, good bool, now int64) {
	m.checked = false
	if m.left {
		return
	}
	if good {
		m.checks = max(m.checks, 0) + 1
	} else {
		m.checks = min(m.checks, 0) - 1
	}
	switch {
	case m.State == Checking && m.checks >= t.cfg.HealthChecks.HealthyThreshold:
		t.set(m, WarmingUp, now, "%d checks passed", m.checks)
	case m.State == Probing && !m.probed && m.checks >= t.cfg.HealthChecks.HealthyThreshold:
		t.comeBack(m, now, fmt.Sprintf("%d checks passed", m.checks))
	case m.State == Probing && !m.probed && !good:
		m.misses++
		t.eject(m, now, "a check failed")
	case (m.State == InService || m.State == Suspected || m.State == WarmingUp) && -m.checks >= t.cfg.HealthChecks.UnhealthyThreshold && t.mayEject():
		t.eject(m, now, fmt.Sprintf("%d checks failed", -m.checks))
	}
}

// StateCounts are how many servers are in each state.
func (t *Monitor) StateCounts() (n [Gone + 1]int) {
	for _, m := range t.byID {
		n[m.State]++
	}
	return n
}

// DrainingEndpoints are the servers that have left the list and are not gone, by name.
func (t *Monitor) DrainingEndpoints() []*Endpoint {
	var out []*Endpoint
	for _, m := range t.byID {
		if m.left {
			out = append(out, m)
		}
	}
	slices.SortFunc(
		out,
		func(a, b *Endpoint) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Addr, b.Addr)) },
	)
	return out
}
