package upstream

import (
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/inventory"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/netaddr"
)

// tickInterval is the time between two searches for health checks that are due.
const tickInterval = 250 * time.Millisecond

// Group is a group of servers that run the requests of some classes. It owns the connections to
// them. It implements lifecycle.Runner.
type Group struct {
	name        string
	loop        *eventloop.Loop
	sink        Sink
	options     Options
	picker      *picker.Picker
	query       picker.Query // reused, so that a pick allocates nothing
	exchanges   map[*lifecycle.Attempt]*exchange
	dueChecks   []*endpointhealth.Endpoint
	tickedAt    time.Duration // monotonic; 0: never
	lastSummary string        // stateSummary at the last call of Summary
}

// server holds a server's address and the connections that the group has opened to it in advance.
type server struct {
	*picker.Server
	addr         netaddr.Addr
	preconnected []*connection // opened in advance, the oldest first
}

// New returns a group without servers. instance, the name of this runner, determines which subset of the
// servers it uses; the sink receives the results of attempts.
func New(loop *eventloop.Loop, name, instance string, seed uint64, sink Sink, options Options) *Group {
	g := &Group{
		name:      name,
		loop:      loop,
		sink:      sink,
		options:   options,
		exchanges: map[*lifecycle.Attempt]*exchange{},
	}
	g.picker = picker.New(options.Picker, instance, options.ClassCount, seed, g.stateChanged)
	loop.Every(tickInterval, g.tick)
	return g
}

func (g *Group) stateChanged(s *picker.Server, change endpointhealth.StateChange) {
	// At the start the servers of the first list are not logged: there may be thousands.
	if g.tickedAt > 0 || change.Cause != endpointhealth.CauseFirstList {
		evEndpointState.Log(
			g.name,
			change.Endpoint.Name,
			change.Endpoint.Addr,
			change.To,
			change.From,
			change.Cause,
		)
	}
	own, ok := s.Attachment.(*server)
	if ok && g.picker.Health().TrafficShare(s.Endpoint, change.At) == 0 {
		own.closePreconnected(0)
	}
}

// tick applies the state changes of servers that depend on time, and starts the health checks that
// are due.
func (g *Group) tick() {
	now := g.loop.Now()
	if now-g.tickedAt >= endpointhealth.TickInterval {
		g.tickedAt = now
		g.picker.Tick(now)
	}
	g.dueChecks = g.picker.Health().DueHealthChecks(now, g.dueChecks[:0])
	for _, e := range g.dueChecks {
		g.checkOrSkip(e, now)
	}
}

// checkOrSkip checks a server. If another runner has found it healthy within the interval, that
// counts as a passed check instead.
func (g *Group) checkOrSkip(e *endpointhealth.Endpoint, now time.Duration) {
	lease := CheckLease{}
	shouldCheck := true
	if coordinator := g.options.HealthCheckCoordinator; coordinator != nil {
		lease, shouldCheck = coordinator.ShouldCheck(g.name, e, g.options.Picker.Health.HealthChecks.Interval)
	}
	if shouldCheck {
		g.startCheck(e.Attachment.(*picker.Server), lease)
		return
	}
	g.picker.Health().HealthCheckDone(e, true, now)
}

// Update replaces the options, and replaces the servers by those of an inventory that belong to the
// group. A server that is still listed keeps its state and statistics; requests in flight to a server
// that is no longer listed run to their end there.
func (g *Group) Update(all []inventory.Server, options Options) {
	g.options = options
	g.picker.Configure(options.Picker, options.ClassCount)
	var specs []endpointhealth.EndpointSpec
	addrs := map[endpointhealth.ID]netaddr.Addr{}
	for _, s := range all {
		if s.Weight == 0 || !slices.Contains(s.Groups, g.name) {
			continue
		}
		id := endpointhealth.ID{Name: s.Name, Addr: s.Addr.String()}
		addrs[id] = s.Addr
		specs = append(specs, endpointhealth.EndpointSpec{ID: id, Zone: s.Zone, Weight: s.Weight})
	}
	version := g.picker.Health().EndpointList().Version + 1
	g.picker.UpdateEndpoints(specs, g.loop.Now())
	for _, s := range g.picker.Servers() {
		own, _ := s.Attachment.(*server)
		if own == nil {
			own = &server{Server: s, addr: addrs[s.ID]}
			s.Attachment = own
		}
		own.closePreconnected(options.Preconnect)
		g.preconnect(own)
	}
	g.reportEmptyZones(specs)
	evEndpointList.Log(g.name, version, g.picker.Size(), g.picker.Health().DrainingCount())
}

// reportEmptyZones logs the configured zones that have no server: the zone may be switched off, or
// its name misspelt.
func (g *Group) reportEmptyZones(specs []endpointhealth.EndpointSpec) {
	for _, zone := range g.options.Picker.Zones {
		isInZone := func(spec endpointhealth.EndpointSpec) bool { return spec.Zone == zone }
		if !slices.ContainsFunc(specs, isInZone) {
			evZoneEmpty.Log(g.name, zone)
		}
	}
}

// Size returns how many servers are in use.
func (g *Group) Size() int { return g.picker.Size() }

// Picker returns the group's picker.
func (g *Group) Picker() *picker.Picker { return g.picker }

// Capacity returns how many requests all servers together may have in flight.
func (g *Group) Capacity() int { return g.picker.Capacity(g.loop.Now()) }

// AllowRetry decides whether a request whose attempt failed is retried on another server.
func (g *Group) AllowRetry(c lifecycle.RetryCandidate) bool {
	attempt := retry.FailedAttempt{
		Class:          c.Class,
		HasSideEffects: c.HasSideEffect,
		NeverRan:       c.NeverRan,
		Attempts:       c.Attempts,
		MaxAttempts:    min(g.options.MaxAttempts, g.Size()),
		TimeLeft:       c.Remaining,
		TimeNeeded:     g.picker.MinAttemptTime(c.Class),
	}
	return g.picker.RetryBudget().Allow(attempt, g.loop.Now()) == retry.Allowed
}

// RetryAfter returns how long a caller whose request was rejected should wait before it retries.
func (g *Group) RetryAfter() time.Duration { return g.picker.RetryAfter(g.loop.Now()) }
