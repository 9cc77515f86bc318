package picker

import (
	"math/rand/v2"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

const (
	// zoneRefreshInterval is how long the drawing of servers may lag behind their states. Each
	// server that is drawn is checked before it is picked, so a stale zone costs another draw and
	// not a failed request.
	zoneRefreshInterval = 20 * time.Millisecond
	// fullScanSize is up to how many servers of a zone are all compared.
	fullScanSize = 32
	// drawnCandidates is how many servers of a larger zone are compared.
	drawnCandidates = 3
	// maxDraws bounds the draws for them.
	maxDraws = 12
)

// zone is the servers of one locality.
type zone struct {
	name           string
	servers        []*Server
	activeRequests int // at its servers

	// Of the last refresh:
	refreshedAt  time.Duration // 0: never
	stale        bool          // the state of a server has changed since
	weights      []float64     // by server: weight times traffic share
	drawer       aliasTable
	drawable     bool      // the drawer has a server to draw
	warmingUp    []*Server // their traffic shares change with time
	warmWeight   float64   // sum of the weights of the servers that are warm
	capacity     int       // sum of the limits of the servers that get traffic
	healthyShare float64   // of its weight
}

// refresh brings the zone up to date where that is due.
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
	z.drawable = z.drawer.build(z.weights)
}

// isFull reports whether the servers of the zone have as many requests as their limits allow.
func (z *zone) isFull() bool { return !z.drawable || z.activeRequests >= z.capacity }

// candidate is the server of the least cost of those that were compared.
type candidate struct {
	query   *Query
	canPick func(*Server, *Query) bool
	best    *Server
	cost    float64
	found   int // servers that may be picked
}

// compare takes a server into account. Of servers of the same cost the first one stays, so that a
// light load too is spread by weight.
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

// pickLeastCost returns the server of the least cost of all, or in a large zone of some that are
// drawn by weight and traffic share; nil: none may be picked.
func (z *zone) pickLeastCost(random *rand.Rand, q *Query, canPick func(*Server, *Query) bool) *Server {
	if !z.drawable {
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

// compareAll compares all servers: first one that is drawn, then all from a random place on.
// Otherwise the first server would get all requests that the drawn one does not get.
func (z *zone) compareAll(random *rand.Rand, c *candidate) {
	c.compare(z.servers[z.drawer.draw(random)])
	start := random.IntN(len(z.servers))
	for _, s := range z.servers[start:] {
		c.compare(s)
	}
	for _, s := range z.servers[:start] {
		c.compare(s)
	}
}

// compareDrawn compares drawnCandidates servers that are drawn. Where no draw finds one that may be
// picked, it takes the first one that may be from a random place on.
func (z *zone) compareDrawn(random *rand.Rand, c *candidate) {
	for range maxDraws {
		c.compare(z.servers[z.drawer.draw(random)])
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
