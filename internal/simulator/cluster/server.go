package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	networkDelay   = 200 * time.Microsecond // one way
	connectTimeout = time.Second            // after which the hop gives up a connection
	backlog        = 128                    // requests that wait for a worker; with more there is no connection
	failureTime    = time.Millisecond       // a server that fails at once takes so long
)

// request is one try on a server.
type serverRequest struct {
	work   float64 // microseconds of a warm worker
	key    string
	onEnd  func(lifecycle.Outcome)
	closed bool // whoever asked has gone: it is not begun
	timer  virtualclock.Timer
}

func (j *serverRequest) end(o lifecycle.Outcome) {
	if !j.closed {
		j.closed = true
		j.timer.Stop()
		j.onEnd(o)
	}
}

// server is one of the simulated cluster: workers, and a queue before them.
type server struct {
	endpointhealth.EndpointSpec
	clock     virtualclock.Clock
	spec      *Spec
	rand      *rand.Rand
	startedAt time.Duration // since when it warms up; 0: it is warm
	slowdown  float64
	dead      bool
	cut       bool
	failing   bool
	busy      int
	queue     []*serverRequest
	running   []*serverRequest // in the order in which they were begun
	onStart   func(key string) // hears of each that is begun
}

func newServer(clock virtualclock.Clock, spec *Spec, seed uint64, n int, ran func(string)) *server {
	name := fmt.Sprintf("runner-%03d", n+1)
	return &server{
		EndpointSpec: endpointhealth.EndpointSpec{
			ID:     endpointhealth.ID{Name: name, Addr: name},
			Zone:   spec.Zones[n%len(spec.Zones)],
			Weight: 1,
		},
		clock:    clock,
		spec:     spec,
		rand:     day.Stream(seed, "server", uint64(n)),
		slowdown: 1,
		onStart:  ran,
	}
}

// workFactor is how many times longer than usual work takes now.
func (s *server) workFactor() float64 {
	t := s.slowdown
	if s.startedAt > 0 {
		past := virtualclock.Micros(s.clock.Now()-s.startedAt) / (s.spec.WarmUpTime * 1e6)
		t *= max(1, s.spec.WarmUpSlowdown-(s.spec.WarmUpSlowdown-1)*past)
	}
	return t
}

// accept is a connection with a request on it.
func (s *server) accept(j *serverRequest) {
	j.timer = s.clock.After(networkDelay, func() {
		switch {
		case s.cut || !s.dead && len(s.queue) >= backlog:
			j.timer = s.clock.After(connectTimeout-networkDelay, func() { j.end(lifecycle.Interrupted) })
		case s.dead:
			j.timer = s.clock.After(networkDelay, func() { j.end(lifecycle.Unreachable) })
		case s.failing:
			j.timer = s.clock.After(failureTime+networkDelay, func() { j.end(lifecycle.Faulted) })
		default:
			s.queue = append(s.queue, j)
			s.startRequests()
		}
	})
}

// startRequests gives work to workers that have none. What was begun is done to its end, whether anybody
// waits for it or not.
func (s *server) startRequests() {
	for s.busy < s.spec.Workers && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.closed {
			continue
		}
		s.busy++
		s.running = append(s.running, j)
		s.onStart(j.key)
		s.clock.After(virtualclock.FromMicros(j.work*s.workFactor()), func() {
			i := slices.Index(s.running, j)
			if i < 0 { // it was killed meanwhile
				return
			}
			s.running = slices.Delete(s.running, i, i+1)
			s.busy--
			if !j.closed {
				j.timer = s.clock.After(networkDelay, func() { j.end(lifecycle.Succeeded) })
			}
			s.startRequests()
		})
	}
}

// kill ends it as a crash does.
func (s *server) kill() {
	s.dead = true
	for _, j := range s.queue {
		j.end(lifecycle.Interrupted)
	}
	for _, j := range s.running {
		s.clock.After(networkDelay, func() { j.end(lifecycle.Interrupted) })
	}
	s.queue, s.running, s.busy = nil, nil, 0
}

// stop lets it finish what it has, and take nothing more.
func (s *server) stop() { s.dead = true }

// start has it back, cold.
func (s *server) start() {
	s.dead, s.startedAt = false, s.clock.Now()
	s.startRequests()
}
