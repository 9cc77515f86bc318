package picker

import (
	"time"

	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/slowstart"
)

const (
	// latencyTolerance is the factor of the typical latency up to which latencies count as equal:
	// smaller differences are chance, and would attract all of a light load to one server.
	latencyTolerance = 1.25
	// minLatency is the lower bound of the latency in the cost of a server, in microseconds.
	minLatency = 1.0
	// minSuccessRate is the lower bound of the success rate in the cost of a server.
	minSuccessRate = 0.05
)

// Server is an endpoint with the state that the picker keeps for it.
type Server struct {
	*endpointhealth.Endpoint
	Attachment  any // state that a user of the picker keeps with the server
	picker      *Picker
	zone        *zone // nil: it is no longer listed
	limit       concurrencylimit.Limit
	pacer       slowstart.Pacer // in use while it warms up or is probed
	weightRatio float64         // its weight divided by the mean weight
}

// Limit returns the current concurrency limit of the server, in requests.
func (s *Server) Limit() int { return s.limit.Current() }

// trafficShare returns the share of its weight by which the server gets requests now, 0 to 1.
func (s *Server) trafficShare(now time.Duration) float64 {
	return s.picker.health.TrafficShare(s.Endpoint, now)
}

// isFull reports whether the server has as many requests as its concurrency limit allows.
func (s *Server) isFull() bool { return s.ActiveRequests >= s.limit.Current() }

// isHalfFull reports whether the server has at least half as many requests as its concurrency limit
// allows.
func (s *Server) isHalfFull() bool { return 2*s.ActiveRequests >= s.limit.Current() }

// cost returns the cost of sending a request to the server. It rises with the latency and the failures
// of the server, and with its requests in flight relative to its weight and traffic share. While no
// server has a request in flight weights do not count, as servers are drawn by them already.
func (s *Server) cost(q *Query) float64 {
	latencyMicros := max(latencyTolerance*s.picker.typicalLatency, minLatency)
	successRate := 1.0
	if q.Now-s.LastOutcomeAt <= endpointhealth.MeasurementLifetime {
		// a server that fails fast must not look like the fastest one
		latencyMicros = max(latencyMicros, s.MeanLatency)
		successRate = max(s.SuccessRate, minSuccessRate)
	}
	load := 1 + float64(s.ActiveRequests)/(s.weightRatio*s.trafficShare(q.Now))
	return latencyMicros / (successRate * successRate) * load
}

// isEligible reports whether the server gets traffic by its health and can take the request.
func (s *Server) isEligible(q *Query) bool {
	return s.ActiveRequests < s.picker.cfg.MaxRequests && s.trafficShare(q.Now) > 0 && !q.attempted(s)
}

// canPick reports whether the server may be picked by its cost. A paced server is picked by its permits
// instead; see pace.
func canPick(s *Server, q *Query) bool {
	return s.isEligible(q) && !s.isPaced() && s.hasClockPermit(q.Now)
}

// canPickBelowLimit reports whether the server may be picked and is below its concurrency limit.
func canPickBelowLimit(s *Server, q *Query) bool { return canPick(s, q) && !s.isFull() }
