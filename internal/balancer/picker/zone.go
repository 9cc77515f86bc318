package picker

import (
	"math/rand/v2"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

const (
	// zoneRefreshInterval is how long the weights of the sampler may lag behind the states of the
	// servers. Each server that is drawn is checked before it is picked, so a stale zone costs another
	// draw and not a failed request.
	zoneRefreshInterval = 20 * time.Millisecond
	// fullScanSize is the size of a zone up to which all its servers are compared.
	fullScanSize = 32
	// drawnCandidates is how many servers of a larger zone are drawn and compared.
	drawnCandidates = 3
	// maxDraws is the maximum number of draws to find these.
	maxDraws = 12
)

// zone holds the servers of one locality.
type zone struct {
	name           string
	servers        []*Server
	activeRequests int // requests in flight at its servers

	// As of the last refresh:
	refreshedAt  time.Duration // monotonic; 0: never
	stale        bool          // the state of a server has changed since then
	weights      []float64     // by server: weight times traffic share
	sampler      aliasTable
	canDraw      bool      // a server has a weight above 0
	warmingUp    []*Server // servers in state WarmingUp, whose traffic shares change with time
	warmWeight   float64   // sum of the weights of the servers that are warm
	capacity     int       // sum of the concurrency limits of the servers that get traffic; Picker.Done updates it too
	healthyShare float64   // healthy part of the weight of all servers, 0 to 1
}

// refresh updates the weights and sums of the zone if the state of a server has changed or servers are
// warming up, but not more often than each zoneRefreshInterval.
func (z *zone) refresh(health *endpointhealth.Monitor, now time.Duration) {
	unchanged := !z.stale && len(z.warmingUp) == 0
	if z.refreshedAt != 0 && (unchanged || now-z.refreshedAt < zoneRefreshInterval) {
		return
	}
	z.refreshedAt = now
	z.stale = false
	z.warmingUp = z.warmingUp[:0]
	z.warmWeight = 0
	z.capacity = 0
	total := 0.0
	healthy := 0.0
	z.weights = z.weights[:0]
	for _, s := range z.servers {
		share := health.TrafficShare(s.Endpoint, now)
		weight := float64(s.Weight)
		z.weights = append(z.weights, weight*share)
		total += weight
		healthy += weight * share
		if s.State == endpointhealth.Suspected { // its whole weight counts as healthy
			healthy += weight * (1 - share)
		}
		if s.State == endpointhealth.WarmingUp {
			z.warmingUp = append(z.warmingUp, s)
		}
		if s.isWarm() {
			z.warmWeight += weight
		}
		if share > 0 {
			z.capacity += s.limit.Current()
		}
	}
	z.healthyShare = healthy / max(total, 1)
	z.canDraw = z.sampler.build(z.weights)
}

// isFull reports whether the servers of the zone together have as many requests as their concurrency
// limits allow, or none of them gets traffic.
func (z *zone) isFull() bool { return !z.canDraw || z.activeRequests >= z.capacity }

// candidate is the server of the least cost among those compared so far.
type candidate struct {
	query   *Query
	canPick func(*Server, *Query) bool
	best    *Server
	cost    float64
	found   int // compared servers that may be picked
}

// compare compares a server with the best one. Of servers of the same cost the first one stays: it was
// drawn by weight, so that a light load too is spread by weight.
func (c *candidate) compare(s *Server) {
	if s == c.best || !c.canPick(s, c.query) {
		return
	}
	c.found++
	if cost := s.cost(c.query); c.best == nil || cost < c.cost {
		c.best = s
		c.cost = cost
	}
}

// pickLeastCost returns the server of the least cost among all servers, or in a large zone among some
// that are drawn by weight and traffic share. It returns nil if none may be picked.
func (z *zone) pickLeastCost(random *rand.Rand, q *Query, canPick func(*Server, *Query) bool) *Server {
	if !z.canDraw {
		return nil
	}
	c := candidate{query: q, canPick: canPick}
	if len(z.servers) <= fullScanSize {
		z.compareAll(random, &c)
	} else {
		z.compareDrawn(random, &c)
	}
	return c.best
}

// compareAll compares all servers: first one that is drawn by weight, then all in the order of the list
// from a random place on. From a fixed place on, the first server would get all requests that the drawn
// one does not get.
func (z *zone) compareAll(random *rand.Rand, c *candidate) {
	c.compare(z.servers[z.sampler.draw(random)])
	start := random.IntN(len(z.servers))
	for _, s := range z.servers[start:] {
		c.compare(s)
	}
	for _, s := range z.servers[:start] {
		c.compare(s)
	}
}

// compareDrawn compares drawnCandidates servers that are drawn by weight. If none of the draws finds a
// server that may be picked, it takes the first such server from a random place in the list on.
func (z *zone) compareDrawn(random *rand.Rand, c *candidate) {
	for range maxDraws {
		c.compare(z.servers[z.sampler.draw(random)])
		if c.found == drawnCandidates {
			return
		}
	}
	if c.best != nil {
		return
	}
	start := random.IntN(len(z.servers))
	for i := range z.servers {
		c.compare(z.servers[(start+i)%len(z.servers)])
		if c.best != nil {
			return
		}
	}
}
