// Package endpointhealth keeps the health state of the endpoints of a group. It implements outlier
// ejection as in gRPC (gRFC A50) and Envoy, active health checks, and slow start of endpoints that
// are new or have recovered. It does no I/O: the caller passes endpoint lists, the outcomes of
// requests and checks, and the time, and asks which share of the traffic an endpoint gets. Package
// picker is that caller; package upstream makes the health checks.
//
// An endpoint that fails is suspected, and then ejected for some time. Never more than a share of
// the endpoints (Config.MaxEjectedShare) is ejected at once. When its ejection time is over, a
// request or a health check probes the endpoint. If the probe succeeds, the endpoint warms up until
// it has its whole traffic share.
//
// Endpoints are judged by consecutive failures, and by their failure rate and latency in comparison
// with their peers, as a fault that affects all endpoints is not the fault of one. An ejection soon
// after the previous one lasts twice as long, and an endpoint stays suspected for a minimum time, so
// that the number of state changes of a flapping endpoint is bounded.
//
// Times are monotonic and above zero, as zero stands for "none". Latencies are measured in whole
// microseconds. A monitor is used by one goroutine.
package endpointhealth

import (
	"fmt"
	"slices"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// TickInterval is the interval at which the caller has to call Tick.
const TickInterval = time.Second

// CauseFirstList is the StateChange.Cause with which the endpoints of the first list get in service.
const CauseFirstList = "it is in the first list"

// minWarmUpShare is the lower bound of the traffic share of an endpoint that is warming up.
const minWarmUpShare = 0.01

// Monitor keeps the health of the endpoints of a group.
type Monitor struct {
	cfg              Config
	list             *EndpointList
	byID             map[ID]*Endpoint // listed and draining endpoints
	onChange         func(*Endpoint, StateChange)
	ejected          int              // number of listed endpoints that are ejected or probing
	probing          []*Endpoint      // in the order in which their ejections ended
	peerLatencies    []float64        // microseconds, ascending; at the last tick
	failureRate      float64          // of all endpoints together, at the last tick
	TransitionCounts [Gone + 1]uint64 // state changes by new state, since the start
}

// New returns a monitor without endpoints. onChange is called after each state change.
func New(cfg Config, onChange func(*Endpoint, StateChange)) *Monitor {
	return &Monitor{cfg: cfg, list: &EndpointList{}, byID: map[ID]*Endpoint{}, onChange: onChange}
}

// EndpointList returns the current list.
func (m *Monitor) EndpointList() *EndpointList { return m.list }

// Configure changes the parameters from now on.
func (m *Monitor) Configure(cfg Config) { m.cfg = cfg }

func (m *Monitor) setState(e *Endpoint, to State, now time.Duration, cause string) {
	change := StateChange{Endpoint: e.ID, From: e.State, To: to, At: now, Cause: cause}
	if e.State.countsAsEjected() && !e.unlisted {
		m.ejected--
	}
	if e.State == Probing {
		m.probing = slices.DeleteFunc(m.probing, func(other *Endpoint) bool { return other == e })
	}
	e.State = to
	e.StateSince = now
	e.StateCause = cause
	e.slowIntervals = 0
	e.checkStreak = 0
	if to.countsAsEjected() {
		m.ejected++
	}
	if to == Probing {
		m.probing = append(m.probing, e)
	}
	e.StateChanges++
	m.TransitionCounts[to]++
	m.onChange(e, change)
}

// Update replaces the endpoint list and returns the new one. Each ID may occur once. The endpoints
// of the first list, or of a list that comes when no endpoint is left, are in service at once, as there
// are no others to carry the traffic while they warm up. An endpoint that stays listed keeps its state
// and measurements.
func (m *Monitor) Update(specs []EndpointSpec, now time.Duration) *EndpointList {
	isFirst := len(m.byID) == 0
	listed := make(map[ID]bool, len(specs))
	for _, spec := range specs {
		listed[spec.ID] = true
	}
	for _, e := range m.list.Endpoints {
		if !listed[e.ID] {
			m.unlist(e, now)
		}
	}
	next := &EndpointList{
		Version:   m.list.Version + 1,
		At:        now,
		Endpoints: make([]*Endpoint, 0, len(specs)),
	}
	for _, spec := range specs {
		next.Endpoints = append(next.Endpoints, m.endpointFor(spec, isFirst, now))
	}
	sortByID(next.Endpoints)
	m.list = next
	return next
}

// endpointFor returns the endpoint of a spec, and creates it if it is not known.
func (m *Monitor) endpointFor(spec EndpointSpec, isFirst bool, now time.Duration) *Endpoint {
	e := m.byID[spec.ID]
	switch {
	case e == nil:
		e = &Endpoint{
			EndpointSpec: spec,
			State:        Listed,
			StateSince:   now,
			StateCause:   "listed",
			SuccessRate:  1,
		}
		m.byID[spec.ID] = e
		if isFirst {
			m.setState(e, InService, now, CauseFirstList)
		} else {
			m.setState(e, m.initialState(), now, "it is new in the list")
		}
	case e.unlisted:
		e.unlisted = false
		e.consecutiveFailures = 0
		e.failedProbes = 0
		m.setState(e, m.initialState(), now, "it is listed again")
	}
	e.EndpointSpec = spec
	return e
}

func (m *Monitor) initialState() State {
	if m.cfg.HealthChecks.Interval > 0 {
		return Checking
	}
	return WarmingUp
}

// unlist drains an endpoint that left the list. Its requests in flight continue.
func (m *Monitor) unlist(e *Endpoint, now time.Duration) {
	m.setState(e, Draining, now, fmt.Sprintf("it left the list with %d requests in flight", e.ActiveRequests))
	e.unlisted = true
	m.forgetDrained(e, now)
}

// forgetDrained drops an endpoint that has left the list once it has no request in flight.
func (m *Monitor) forgetDrained(e *Endpoint, now time.Duration) {
	if e.unlisted && e.ActiveRequests == 0 && e.State != Gone {
		m.setState(e, Gone, now, "its last request ended")
		delete(m.byID, e.ID)
	}
}

// DrainingCount returns how many endpoints have left the list and still have requests in flight.
func (m *Monitor) DrainingCount() int { return len(m.byID) - len(m.list.Endpoints) }

// DrainingEndpoints returns the endpoints that have left the list and still have requests in
// flight, sorted by name.
func (m *Monitor) DrainingEndpoints() []*Endpoint {
	var draining []*Endpoint
	for _, e := range m.byID {
		if e.unlisted {
			draining = append(draining, e)
		}
	}
	sortByID(draining)
	return draining
}

// StateCounts returns how many endpoints are in each state.
func (m *Monitor) StateCounts() (counts [Gone + 1]int) {
	for _, e := range m.byID {
		counts[e.State]++
	}
	return counts
}

// TrafficShare returns the share of its weight, 0 to 1, by which an endpoint gets requests now. It is
// 0 for an endpoint in state Probing, which gets its request by NextProbe.
func (m *Monitor) TrafficShare(e *Endpoint, now time.Duration) float64 {
	switch e.State {
	case InService:
		return 1
	case Suspected:
		return m.cfg.SuspectShare
	case WarmingUp:
		window := latency.Micros(latency.AtLeastOneMicrosecond(m.cfg.WarmUpWindow))
		elapsed := latency.Micros(now-e.StateSince) / window
		share := m.cfg.WarmUpMinShare + (1-m.cfg.WarmUpMinShare)*elapsed
		return max(min(share, 1), minWarmUpShare)
	}
	return 0
}

// Tick makes the state changes that are due by time, and ejects outliers. The caller has to call it
// each TickInterval.
func (m *Monitor) Tick(now time.Duration) {
	for _, e := range m.list.Endpoints {
		m.expireState(e, now)
	}
	m.ejectOutliers(now)
}

// expireState moves an endpoint to its next state if its time in the current one is over.
func (m *Monitor) expireState(e *Endpoint, now time.Duration) {
	inState := now - e.StateSince
	switch {
	case e.State == Ejected && now >= e.ejectedUntil:
		e.probeSent = false
		m.setState(e, Probing, now, "its ejection time is over")
	case e.State == WarmingUp && inState >= m.cfg.WarmUpWindow:
		m.setState(e, InService, now, "its warm-up is complete")
	case e.State == Suspected && e.consecutiveFailures == 0 && inState >= m.cfg.MinSuspectTime:
		m.setState(e, InService, now, "its requests succeed again")
	case e.State == Checking && m.cfg.HealthChecks.Interval == 0:
		m.setState(e, WarmingUp, now, "health checks are disabled")
	}
	if e.State == InService && e.recovered && now-e.StateSince >= m.cfg.EjectionResetAfter {
		e.repeatedEjections = 0
		e.recovered = false
	}
}
