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
	wire      = 200 * time.Microsecond // one way
	connectIn = time.Second            // after which the hop gives up a connection
	backlog   = 128                    // requests that wait for a worker; with more there is no connection
	faultIn   = time.Millisecond       // a server that fails at once takes so long
)

// job is one try on a server.
type job struct {
	work  float64 // microseconds of a warm worker
	key   string
	ended func(lifecycle.Outcome)
	over  bool // whoever asked has gone: it is not begun
	timer virtualclock.Timer
}

func (j *job) end(o lifecycle.Outcome) {
	if !j.over {
		j.over = true
		j.timer.Stop()
		j.ended(o)
	}
}

// server is one of the simulated cluster: workers, and a queue before them.
type server struct {
	endpointhealth.EndpointSpec
	clock   virtualclock.Clock
	spec    *Spec
	rand    *rand.Rand
	born    time.Duration // since when it warms up; 0: it is warm
	slow    float64
	dead    bool
	cut     bool
	faults  bool
	busy    int
	queue   []*job
	running []*job           // in the order in which they were begun
	ran     func(key string) // hears of each that is begun
}

func newServer(clock virtualclock.Clock, spec *Spec, seed uint64, n int, ran func(string)) *server {
	name := fmt.Sprintf("runner-%03d", n+1)
	return &server{
		EndpointSpec: endpointhealth.EndpointSpec{
			ID:     endpointhealth.ID{Name: name, Addr: name},
			Zone:   spec.Zones[n%len(spec.Zones)],
			Weight: 1,
		},
		clock: clock,
		spec:  spec,
		rand:  day.Stream(seed, "server", uint64(n)),
		slow:  1,
		ran:   ran,
	}
}

// times is how many times longer than usual work takes now.
func (s *server) times() float64 {
	t := s.slow
	if s.born > 0 {
		past := virtualclock.Micros(s.clock.Now()-s.born) / (s.spec.WarmUpTime * 1e6)
		t *= max(1, s.spec.WarmUpSlowdown-(s.spec.WarmUpSlowdown-1)*past)
	}
	return t
}

// take is a connection with a request on it.
func (s *server) take(j *job) {
	j.timer = s.clock.After(wire, func() {
		switch {
		case s.cut || !s.dead && len(s.queue) >= backlog:
			j.timer = s.clock.After(connectIn-wire, func() { j.end(lifecycle.Interrupted) })
		case s.dead:
			j.timer = s.clock.After(wire, func() { j.end(lifecycle.Unreachable) })
		case s.faults:
			j.timer = s.clock.After(faultIn+wire, func() { j.end(lifecycle.Faulted) })
		default:
			s.queue = append(s.queue, j)
			s.next()
		}
	})
}

// next gives work to workers that have none. What was begun is done to its end, whether anybody
// waits for it or not.
func (s *server) next() {
	for s.busy < s.spec.Workers && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.over {
			continue
		}
		s.busy++
		s.running = append(s.running, j)
		s.ran(j.key)
		s.clock.After(virtualclock.FromMicros(j.work*s.times()), func() {
			i := slices.Index(s.running, j)
			if i < 0 { // it was killed meanwhile
				return
			}
			s.running = slices.Delete(s.running, i, i+1)
			s.busy--
			if !j.over {
				j.timer = s.clock.After(wire, func() { j.end(lifecycle.Succeeded) })
			}
			s.next()
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
		s.clock.After(wire, func() { j.end(lifecycle.Interrupted) })
	}
	s.queue, s.running, s.busy = nil, nil, 0
}

// stop lets it finish what it has, and take nothing more.
func (s *server) stop() { s.dead = true }

// start has it back, cold.
func (s *server) start() {
	s.dead, s.born = false, s.clock.Now()
	s.next()
}
