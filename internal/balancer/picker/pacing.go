package picker

import "ryepaddle/internal/balancer/endpointhealth"

// warm tells whether a server has been at its work for a while.
func (s *Server) warm() bool {
	return s.State == endpointhealth.InService || s.State == endpointhealth.Suspected
}

// paced tells whether a server gets what its pacer says: it warms up beside others of its hall that
// carry the work.
func (s *Server) paced() bool {
	return s.State == endpointhealth.WarmingUp && s.hall != nil && s.hall.warm > 0
}

// withinCalls tells whether the calls of all processes leave one for a server that is not warm.
func (s *Server) withinCalls(now int64) bool {
	if s.warm() {
		return true
	}
	warmFrom, part := s.r.cfg.Health.WarmUpMinShare, s.r.table.TrafficShare(s.Endpoint, now)
	return s.pacer.HasClockPermit(&s.r.cfg.SlowStart, max(part/max(warmFrom, 0.01), 1), now)
}

// pace gives a request to a server of the same hall that warms up and has a permit, unless that is
// a worse one. What goes to a warm server earns those that warm up beside it their part.
func (r *Picker) pace(chosen *Server, why PickReason, q *Query) (*Server, PickReason) {
	if chosen == nil {
		return r.paceOverflow(q)
	}
	hall := chosen.hall
	if hall == nil || len(hall.warming) == 0 {
		return chosen, why
	}
	for _, s := range hall.warming {
		if !s.permitted(q) || s.ActiveRequests >= s.limit.Current() {
			continue
		}
		if s.cost(q) <= chosen.cost(q) {
			return s, why
		}
		s.pacer.ForfeitPeerPermits()
	}
	if chosen.warm() {
		hall.earn(q.Now)
	}
	return chosen, why
}

// paceOverflow gives a request that all warm servers are too full for to one that warms up and has
// a permit. It counts as one that was sent to a warm server: else those that warm up would get
// nothing while the others hang.
func (r *Picker) paceOverflow(q *Query) (*Server, PickReason) {
	for _, hall := range r.halls {
		hall.earn(q.Now)
		for _, s := range hall.warming {
			if s.permitted(q) {
				return s, Overloaded
			}
		}
	}
	return nil, NoEndpoint
}

// permitted tells whether a server that is paced may have the request now.
func (s *Server) permitted(q *Query) bool {
	return s.paced() && s.pacer.HasPeerPermit() && able(s, q) && s.withinCalls(q.Now)
}

// earn has the servers that warm up earn their part of a request to a warm one.
func (h *hall) earn(now int64) {
	for _, s := range h.warming {
		if s.paced() {
			s.pacer.PeerSent(s.r.table.TrafficShare(s.Endpoint, now) * float64(s.Weight) / h.warm)
		}
	}
}
