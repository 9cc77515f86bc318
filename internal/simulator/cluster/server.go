package cluster

import (
	"fmt"
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	networkDelay   = 200 * time.Microsecond // of a message between the program and a server, one way
	connectTimeout = time.Second            // from the sending of a request
	backlog        = 128                    // queued requests of a server beyond which connections time out
	failureTime    = time.Millisecond       // time until a failing server answers with an error
)

// serverRequest is an attempt as the server sees it.
type serverRequest struct {
	work   float64 // in microseconds of a warm worker
	key    string
	onEnd  func(lifecycle.Outcome)
	closed bool               // the attempt has ended, so that the request is not started any more
	timer  virtualclock.Timer // of the next network message
}

// end ends the request with an outcome. It does nothing if the request is closed.
func (r *serverRequest) end(outcome lifecycle.Outcome) {
	if !r.closed {
		r.closed = true
		r.timer.Stop()
		r.onEnd(outcome)
	}
}

// server is a simulated uwsgi server with a queue and a number of workers.
type server struct {
	endpointhealth.EndpointSpec
	clock     virtualclock.Clock
	spec      *Spec
	startedAt time.Duration // time of the last restart, from which it warms up; 0: it is warm
	slowdown  float64       // factor of the work
	dead      bool          // it refuses connections
	cut       bool          // it does not answer
	failing   bool          // it answers every request with an error
	busy      int           // busy workers
	queue     []*serverRequest
	running   []*serverRequest // in the order in which they were started
	onStart   func(key string) // called with the key of each request that is started
}

func newServer(clock virtualclock.Clock, spec *Spec, n int, onStart func(key string)) *server {
	name := fmt.Sprintf("runner-%03d", n+1)
	return &server{
		EndpointSpec: endpointhealth.EndpointSpec{
			ID:     endpointhealth.ID{Name: name, Addr: name},
			Zone:   spec.Zones[n%len(spec.Zones)],
			Weight: 1,
		},
		clock:    clock,
		spec:     spec,
		slowdown: 1,
		onStart:  onStart,
	}
}

// workFactor returns the factor by which work takes longer now than on a warm server without slowdown.
func (s *server) workFactor() float64 {
	factor := s.slowdown
	if s.startedAt > 0 {
		warm := virtualclock.Micros(s.clock.Now()-s.startedAt) / (s.spec.WarmUpTime * 1e6)
		factor *= max(1, s.spec.WarmUpSlowdown-(s.spec.WarmUpSlowdown-1)*warm)
	}
	return factor
}

// accept handles a connection with a request.
func (s *server) accept(r *serverRequest) {
	r.timer = s.clock.After(networkDelay, func() {
		switch {
		case s.cut || !s.dead && len(s.queue) >= backlog:
			r.timer = s.clock.After(connectTimeout-networkDelay, func() { r.end(lifecycle.Interrupted) })
		case s.dead:
			r.timer = s.clock.After(networkDelay, func() { r.end(lifecycle.Unreachable) })
		case s.failing:
			r.timer = s.clock.After(failureTime+networkDelay, func() { r.end(lifecycle.Faulted) })
		default:
			s.queue = append(s.queue, r)
			s.startRequests()
		}
	})
}

// startRequests starts queued requests on idle workers.
func (s *server) startRequests() {
	for s.busy < s.spec.Workers && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		if r.closed {
			continue
		}
		s.busy++
		s.running = append(s.running, r)
		s.onStart(r.key)
		s.clock.After(virtualclock.FromMicros(r.work*s.workFactor()), func() { s.finish(r) })
	}
}

// finish answers a request whose work is done. A started request occupies its worker until the work is done,
// even if nobody waits for the answer any more.
func (s *server) finish(r *serverRequest) {
	i := slices.Index(s.running, r)
	if i < 0 { // the server was killed in the meantime
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	s.busy--
	if !r.closed {
		r.timer = s.clock.After(networkDelay, func() { r.end(lifecycle.Succeeded) })
	}
	s.startRequests()
}

// kill crashes the server: its requests are interrupted and it refuses connections.
func (s *server) kill() {
	s.dead = true
	for _, r := range s.queue {
		r.end(lifecycle.Interrupted)
	}
	for _, r := range s.running {
		s.clock.After(networkDelay, func() { r.end(lifecycle.Interrupted) })
	}
	s.queue = nil
	s.running = nil
	s.busy = 0
}

// stop makes the server refuse new requests. It still finishes the requests that it has accepted.
func (s *server) stop() { s.dead = true }

// start starts the server cold.
func (s *server) start() {
	s.dead = false
	s.startedAt = s.clock.Now()
	s.startRequests()
}
