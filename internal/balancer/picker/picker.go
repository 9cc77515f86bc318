// Package picker picks a server for each attempt of a request. It implements locality-aware load
// balancing with the power of several choices: the policies are those of gRPC's weighted round
// robin and least request balancers (weights, outlier ejection, slow start) and of Envoy's priority
// levels (overflow to the next zone). It does no I/O: package upstream passes endpoint lists, the
// ends of requests and the time.
//
// Servers are grouped by zone, the nearest zone first. In a small zone a request goes to the server
// of the least cost, in a large zone to the one of the least cost among a few servers that are drawn
// at random by weight. The cost follows from the server's latency, success rate and load. A zone that
// is full, or that has lost much of its capacity, passes requests on to the next zone. A server is
// full when it has as many requests as its adaptive concurrency limit allows. If all servers are full
// the least loaded one takes the request, as admission is decided elsewhere.
//
// Times are monotonic and above zero, as zero stands for "never". Latencies are measured in whole
// microseconds. A picker is used by one goroutine.
package picker

import (
	"math/rand/v2"
	"time"

	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/latency"
	"ryepaddle/internal/balancer/retry"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a client is told to try again.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// betterZoneFactor: once a server is half full, a server in a zone further away is picked instead
	// if its cost is lower by more than this factor. Concurrency limits adapt slowly: without it the
	// requests of a zone would queue up to the limits while the next zone is idle.
	betterZoneFactor = 1.5
	// randomStream is the second word of the seed of a picker's random number generator.
	randomStream = goldenGamma
)

// Attempts tells to which servers a request was sent before.
type Attempts interface {
	// Tried reports whether the server of that name has had an attempt.
	Tried(server string) bool
}

// Query describes an attempt for which a server is to be picked.
type Query struct {
	Key        string        // idempotency key; empty: none
	Idempotent bool          // the request may be sent again if the attempt fails
	Retry      bool          // the request has been sent before
	Attempts   Attempts      // the request's earlier attempts; nil: none
	Now        time.Duration // monotonic
}

// attempted reports whether the request has been sent to the server before.
func (q *Query) attempted(s *Server) bool { return q.Attempts != nil && q.Attempts.Tried(s.Name) }

// Picker balances the requests over the servers of a group.
type Picker struct {
	cfg         Config
	instance    string // name of this process
	health      *endpointhealth.Monitor
	retryBudget *retry.Budget
	random      *rand.Rand
	zones       []*zone // the nearest first
	servers     []*Server
	ring        *ring
	onChange    func(*Server, endpointhealth.StateChange)
	classes     []classLatency
	// Moving means of the latencies of all successful requests, in microseconds; 0: not measured. For
	// typicalLatency they are normalized to a class whose latency is referenceLatency, which is the
	// latency of the first request.
	meanLatency      float64
	typicalLatency   float64
	referenceLatency float64
	PickCounts       [NoEndpoint + 1]uint64 // picks by reason, since the start
}

// New returns a picker without servers, for the given number of classes. instance is the name of this
// process, which determines its subset of the servers. onChange is called after each change of a
// server's state.
func New(
	cfg Config,
	instance string,
	classes int,
	seed uint64,
	onChange func(*Server, endpointhealth.StateChange),
) *Picker {
	p := &Picker{
		cfg:         cfg,
		instance:    instance,
		retryBudget: retry.New(cfg.Retry, classes),
		classes:     make([]classLatency, classes),
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		ring:        &ring{},
		onChange:    onChange,
	}
	p.health = endpointhealth.New(cfg.Health, p.stateChanged)
	return p
}

// stateChanged updates a server after a change of its health state, and creates it for a new endpoint.
func (p *Picker) stateChanged(e *endpointhealth.Endpoint, change endpointhealth.StateChange) {
	s, _ := e.Attachment.(*Server)
	if s == nil {
		s = &Server{Endpoint: e, limit: concurrencylimit.New(&p.cfg.ConcurrencyLimit), picker: p}
		e.Attachment = s
	}
	startsSlow := change.To == endpointhealth.WarmingUp && change.From != endpointhealth.Probing
	if change.To == endpointhealth.Ejected || startsSlow {
		s.pacer.Reset(p.random.Float64(), p.random.Float64(), change.At)
	}
	if s.zone != nil {
		s.zone.stale = true
	}
	p.onChange(s, change)
}

// Configure changes the parameters. Measurements are kept.
func (p *Picker) Configure(cfg Config, classes int) {
	p.cfg = cfg
	p.health.Configure(cfg.Health)
	p.retryBudget.Configure(cfg.Retry, classes)
	if added := classes - len(p.classes); added > 0 {
		p.classes = append(p.classes, make([]classLatency, added)...)
	}
}

// Servers returns the servers in use, sorted by name.
func (p *Picker) Servers() []*Server { return p.servers }

// Size returns how many servers are in use.
func (p *Picker) Size() int { return len(p.servers) }

// Health returns the health of the servers.
func (p *Picker) Health() *endpointhealth.Monitor { return p.health }

// RetryBudget returns the retry budget of the group.
func (p *Picker) RetryBudget() *retry.Budget { return p.retryBudget }

// Pick returns a server and the reason for which it was picked, or nil and NoEndpoint. The caller
// calls Sent when it sends the request to the server.
func (p *Picker) Pick(q *Query) (*Server, PickReason) {
	s, reason := p.pick(q)
	if reason != Probe && reason != Affinity {
		s, reason = p.pace(s, reason, q)
	}
	if s != nil && !s.isWarm() {
		s.pacer.Spend()
	}
	p.PickCounts[reason]++
	return s, reason
}

// pick picks a server as a probe, by the request's key or by cost. Paced servers are left to pace.
func (p *Picker) pick(q *Query) (*Server, PickReason) {
	if s := p.pickProbe(q); s != nil {
		return s, Probe
	}
	if q.Key != "" && len(p.ring.servers) > 0 {
		if s := p.pickByKey(q); s != nil {
			return s, Affinity
		}
	}
	for i, z := range p.zones {
		if s, reason := p.pickInZone(i, z, q); s != nil {
			return s, reason
		}
	}
	return p.pickOverloaded(q)
}

// pickProbe returns a server that waits for a probe, if the request may be its probe; nil otherwise.
func (p *Picker) pickProbe(q *Query) *Server {
	e := p.health.NextProbe(q.Idempotent && !q.Retry, q.Now)
	if e == nil {
		return nil
	}
	s := e.Attachment.(*Server)
	if s.ActiveRequests < p.cfg.MaxRequests && !q.attempted(s) && s.hasClockPermit(q.Now) {
		return s
	}
	return nil
}

// pickInZone returns a server below its concurrency limit in the zone at the given place of p.zones, or
// a server of much lower cost in a zone further away.
func (p *Picker) pickInZone(place int, z *zone, q *Query) (*Server, PickReason) {
	z.refresh(p.health, q.Now)
	isLast := place == len(p.zones)-1
	if z.isFull() || !isLast && p.overflows(z) {
		return nil, NoEndpoint
	}
	s := z.pickLeastCost(p.random, q, canPickBelowLimit)
	if s == nil {
		return nil, NoEndpoint
	}
	if s.isHalfFull() {
		if better := p.pickBetter(s, p.zones[place+1:], q); better != nil {
			return better, Overflow
		}
	}
	if place == 0 {
		return s, Nearest
	}
	return s, Overflow
}

// pickBetter returns a server of the given zones whose cost is lower by betterZoneFactor, or nil.
func (p *Picker) pickBetter(than *Server, zones []*zone, q *Query) *Server {
	for _, z := range zones {
		z.refresh(p.health, q.Now)
		if z.isFull() {
			continue
		}
		s := z.pickLeastCost(p.random, q, canPickBelowLimit)
		if s != nil && s.cost(q)*betterZoneFactor < than.cost(q) {
			return s
		}
	}
	return nil
}

// overflows decides at random whether a zone that has lost much of its capacity passes a request on to
// the next zone: the healthy servers get only Overprovisioning times their share, and not the whole
// load of the zone.
func (p *Picker) overflows(z *zone) bool {
	share := z.healthyShare * p.cfg.Overprovisioning
	return share < 1 && p.random.Float64() >= share
}

// pickOverloaded returns the server of the least cost of the nearest zone that has one, although all are
// full. If no server gets traffic by its health, it returns the unhealthy one with the fewest requests
// in flight.
func (p *Picker) pickOverloaded(q *Query) (*Server, PickReason) {
	for _, z := range p.zones {
		if s := z.pickLeastCost(p.random, q, canPick); s != nil {
			return s, Overloaded
		}
	}
	var best *Server
	for _, s := range p.servers {
		if s.isLastResort(q) && (best == nil || s.ActiveRequests < best.ActiveRequests) {
			best = s
		}
	}
	if best == nil {
		return nil, NoEndpoint
	}
	return best, LastResort
}

// isLastResort reports whether the server can take the request although it gets no traffic by its
// health. New servers are left out.
func (s *Server) isLastResort(q *Query) bool {
	isNew := s.State == endpointhealth.Checking || s.State == endpointhealth.Listed
	return !isNew && s.ActiveRequests < s.picker.cfg.MaxRequests &&
		!q.attempted(s) && !s.isPaced() && s.hasClockPermit(q.Now)
}

// Sent reports that a request was sent to a server.
func (p *Picker) Sent(s *Server) {
	p.health.Sent(s.Endpoint)
	s.limit.Sent(s.ActiveRequests)
	if s.zone != nil {
		s.zone.activeRequests++
	}
}

// Done reports the end of a request of a class at the monotonic time now. took is its latency.
func (p *Picker) Done(s *Server, class int, outcome endpointhealth.Outcome, took, now time.Duration) {
	if s.zone != nil {
		s.zone.activeRequests--
	}
	before := s.limit.Current()
	switch outcome {
	case endpointhealth.Success:
		took = p.learnLatency(class, took)
		s.limit.Succeeded(&p.cfg.ConcurrencyLimit, took, now)
	case endpointhealth.Aborted, endpointhealth.TimedOut:
		s.limit.Overloaded(&p.cfg.ConcurrencyLimit, now)
	}
	if s.zone != nil && s.trafficShare(now) > 0 {
		s.zone.capacity += s.limit.Current() - before
	}
	p.health.Done(s.Endpoint, outcome, took, now)
}

// Capacity returns how many requests the servers may have in flight together.
func (p *Picker) Capacity(now time.Duration) int {
	capacity := 0.0
	for _, s := range p.servers {
		capacity += float64(s.limit.Current()) * s.trafficShare(now)
	}
	return int(capacity)
}

// Tick makes the state changes that are due by time. The caller has to call it each
// endpointhealth.TickInterval.
func (p *Picker) Tick(now time.Duration) { p.health.Tick(now) }

// RetryAfter returns after how long a client whose request got no server should try again: the time to
// the first probe of an ejected server if no server gets traffic, otherwise the mean latency, after
// which a request in flight will have ended. It is between 20 ms and 10 s.
func (p *Picker) RetryAfter(now time.Duration) time.Duration {
	wait := latency.FromMicros(p.meanLatency)
	withoutTraffic := 0
	for _, s := range p.servers {
		if s.trafficShare(now) == 0 {
			withoutTraffic++
		}
	}
	if at := p.health.EarliestProbe(); withoutTraffic == len(p.servers) && at > 0 {
		wait = at - now
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
