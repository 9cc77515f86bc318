package cluster

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// leastBusyPicker is the picker of modeBefore, with which the routing is compared. It picks the server with the
// fewest requests in flight. A server with maxFailures consecutive failures is avoided for avoidTime, as long as
// another one is eligible.
type leastBusyPicker struct{ servers []*leastBusyServer }

// leastBusyServer is the state of a server at a leastBusyPicker.
type leastBusyServer struct {
	name       string
	active     int           // requests in flight
	failures   int           // consecutive
	avoidUntil time.Duration // 0: it is not avoided
}

const (
	maxFailures  = 3 // consecutive failures after which a server is avoided
	avoidTime    = 5 * time.Second
	avoidPenalty = 1e9 // added to the number of requests of an avoided server
)

// find returns the listed server with a name, or nil.
func (p *leastBusyPicker) find(name string) *leastBusyServer {
	for _, s := range p.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// SetEndpoints implements Picker.
func (p *leastBusyPicker) SetEndpoints(list []endpointhealth.EndpointSpec, _ time.Duration) {
	var servers []*leastBusyServer
	for _, listed := range list {
		s := p.find(listed.Name)
		if s == nil {
			s = &leastBusyServer{name: listed.Name}
		}
		servers = append(servers, s)
	}
	p.servers = servers
}

// Pick implements Picker.
func (p *leastBusyPicker) Pick(a *lifecycle.Attempt, now time.Duration) (string, bool) {
	var best *leastBusyServer
	least := math.Inf(1)
	for _, s := range p.servers {
		if s.active >= maxRequestsPerServer || a.Tried(s.name) {
			continue
		}
		load := float64(s.active + 1)
		if s.avoidUntil > now {
			load += avoidPenalty
		}
		if load < least {
			best = s
			least = load
		}
	}
	if best == nil {
		return "", false
	}
	best.active++
	return best.name, true
}

// Done implements Picker.
func (p *leastBusyPicker) Done(name string, _ int, o lifecycle.Outcome, _, now time.Duration) {
	s := p.find(name)
	if s == nil {
		return
	}
	s.active--
	switch o {
	case lifecycle.Succeeded:
		s.failures = 0
	case lifecycle.Interrupted, lifecycle.Unreachable, lifecycle.TimedOut:
		s.failures++
		if s.failures >= maxFailures {
			s.avoidUntil = now + avoidTime
		}
	}
}

// ShouldRetry implements Picker.
func (p *leastBusyPicker) ShouldRetry(c lifecycle.RetryCandidate, _ time.Duration) bool {
	return c.Attempts < min(maxAttempts, len(p.servers)) && c.Remaining >= virtualclock.Resolution
}

// RetryAfter implements Picker.
func (p *leastBusyPicker) RetryAfter(time.Duration) time.Duration { return 0 }

// Capacity implements Picker.
func (p *leastBusyPicker) Capacity(time.Duration) int { return 0 }

// StateChanges implements Picker.
func (p *leastBusyPicker) StateChanges() int { return 0 }

// Tick implements Picker.
func (p *leastBusyPicker) Tick(time.Duration) {}
