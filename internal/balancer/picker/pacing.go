package picker

import (
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

// minGrowthBase bounds the initial traffic share by which the growth of a share is measured.
const minGrowthBase = 0.01

// isWarm reports whether a server has completed its slow start.
func (s *Server) isWarm() bool {
	return s.State == endpointhealth.InService || s.State == endpointhealth.Suspected
}

// isPaced reports whether a server gets requests by the permits of its pacer: it warms up beside
// warm servers of its zone.
func (s *Server) isPaced() bool {
	return s.State == endpointhealth.WarmingUp && s.zone != nil && s.zone.warmWeight > 0
}

// hasClockPermit reports whether a server may get a request by the bound on what all processes
// together send a server that is not warm.
func (s *Server) hasClockPermit(now time.Duration) bool {
	if s.isWarm() {
		return true
	}
	cfg := &s.picker.cfg
	growth := max(s.trafficShare(now)/max(cfg.Health.WarmUpMinShare, minGrowthBase), 1)
	return s.pacer.HasClockPermit(&cfg.SlowStart, growth, now)
}

// hasPermits reports whether a server that is paced may get the request.
func (s *Server) hasPermits(q *Query) bool {
	return s.isPaced() && s.pacer.HasPeerPermit() && s.isEligible(q) && s.hasClockPermit(q.Now)
}

// pace gives the request to a server of the same zone that warms up and has permits, unless that
// has a higher cost. A request to a warm server earns those that warm up beside it their share.
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

// paceOverloaded gives a request that no warm server can take to one that warms up and has permits.
// The request earns permits as one to a warm server does: servers that warm up would otherwise get
// nothing while the warm ones hang.
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

// earnPermits gives the servers that warm up their share of a request to a warm one.
func (z *zone) earnPermits(now time.Duration) {
	for _, s := range z.warmingUp {
		if s.isPaced() {
			s.pacer.PeerSent(s.trafficShare(now) * float64(s.Weight) / z.warmWeight)
		}
	}
}
