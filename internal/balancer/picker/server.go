package picker

import (
	"time"

	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/slowstart"
)

const (
	// latencyTolerance is how many times the typical latency still counts as typical: smaller
	// differences are chance, and would draw all of a light load to one server.
	latencyTolerance = 1.25
	// minLatency bounds the latency in the cost of a server, in microseconds.
	minLatency = 1.0
	// minSuccessRate bounds the success rate in the cost of a server.
	minSuccessRate = 0.05
)

// Server is an endpoint with what the picker keeps of it.
type Server struct {
	*endpointhealth.Endpoint
	Attachment  any // state that a user of the picker keeps with the server
	picker      *Picker
	zone        *zone // nil: it is no longer listed
	limit       concurrencylimit.Limit
	pacer       slowstart.Pacer // in use while it warms up or is probed
	weightRatio float64         // its weight by the mean weight
}

// Limit returns how many requests the server may have in flight by its concurrency limit.
func (s *Server) Limit() int { return s.limit.Current() }

func (s *Server) trafficShare(now time.Duration) float64 {
	return s.picker.health.TrafficShare(s.Endpoint, now)
}

// isFull reports whether the server has as many requests as its concurrency limit allows.
func (s *Server) isFull() bool { return s.ActiveRequests >= s.limit.Current() }

// isHalfFull reports whether half of the concurrency limit of the server is used.
func (s *Server) isHalfFull() bool { return 2*s.ActiveRequests >= s.limit.Current() }

// cost returns how unfavourable it is to send a request to the server: it rises with the latency
// and the failures of the server, and with its requests in flight for its weight and traffic share.
// Where no server has a request in flight, weights do not count: servers are drawn by them already.
func (s *Server) cost(q *Query) float64 {
	latencyMicros := max(latencyTolerance*s.picker.typicalLatency, minLatency)
	successRate := 1.0
	if q.Now-s.LastOutcomeAt <= endpointhealth.MeasurementLifetime {
		// A server that fails fast must not look like the fastest.
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

// canPick reports whether the server may be picked by its cost. One that is paced is picked by its
// permits instead.
func canPick(s *Server, q *Query) bool {
	return s.isEligible(q) && !s.isPaced() && s.hasClockPermit(q.Now)
}

// canPickBelowLimit reports whether the server may be picked and is below its concurrency limit.
func canPickBelowLimit(s *Server, q *Query) bool { return canPick(s, q) && !s.isFull() }
