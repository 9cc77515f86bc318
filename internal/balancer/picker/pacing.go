package picker

import (
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

// minGrowthBase is the lower bound of the initial traffic share, by which the current share is divided to
// get its growth since the start of the warm-up.
const minGrowthBase = 0.01

// isWarm reports whether a server has completed its slow start: it is in service or suspected.
func (s *Server) isWarm() bool {
	return s.State == endpointhealth.InService || s.State == endpointhealth.Suspected
}

// isPaced reports whether a server gets requests by the permits of its pacer: it is warming up, and
// its zone has warm servers.
func (s *Server) isPaced() bool {
	return s.State == endpointhealth.WarmingUp && s.zone != nil && s.zone.warmWeight > 0
}

// hasClockPermit reports whether a server may get a request within the bound on the requests that all
// processes together send to a server that is not warm.
func (s *Server) hasClockPermit(now time.Duration) bool {
	if s.isWarm() {
		return true
	}
	cfg := &s.picker.cfg
	growth := max(s.trafficShare(now)/max(cfg.Health.WarmUpMinShare, minGrowthBase), 1)
	return s.pacer.HasClockPermit(&cfg.SlowStart, growth, now)
}

// hasPermits reports whether a paced server may get the request now.
func (s *Server) hasPermits(q *Query) bool {
	return s.isPaced() && s.pacer.HasPeerPermit() && s.isEligible(q) && s.hasClockPermit(q.Now)
}

// pace returns, in place of the picked server, a server of the same zone that is warming up and has
// permits, unless its cost is higher. A request to a warm server earns permits for the servers of its
// zone that are warming up.
func (p *Picker) pace(picked *Server, reason PickReason, q *Query) (*Server, PickReason) {
	if picked == nil {
		return p.paceOverloaded(q)
	}
	z := picked.zone
	if z == nil || len(z.warmingUp) == 0 {
		return picked, reason
	}
	for _, s := range z.warmingUp {
		if !s.hasPermits(q) || s.isFull() {
			continue
		}
		if s.cost(q) <= picked.cost(q) {
			return s, reason
		}
		s.pacer.ForfeitPeerPermits()
	}
	if picked.isWarm() {
		z.earnPermits(q.Now)
	}
	return picked, reason
}

// paceOverloaded returns a server that is warming up and has permits, for a request that no warm server
// can take. The request earns permits as one to a warm server does: otherwise servers that are warming
// up would get no requests while the warm ones hang.
func (p *Picker) paceOverloaded(q *Query) (*Server, PickReason) {
	for _, z := range p.zones {
		z.earnPermits(q.Now)
		for _, s := range z.warmingUp {
			if s.hasPermits(q) {
				return s, Overloaded
			}
		}
	}
	return nil, NoEndpoint
}

// earnPermits gives the servers that are warming up their share of a permit for a request to a warm one.
func (z *zone) earnPermits(now time.Duration) {
	for _, s := range z.warmingUp {
		if s.isPaced() {
			s.pacer.PeerSent(s.trafficShare(now) * float64(s.Weight) / z.warmWeight)
		}
	}
}
