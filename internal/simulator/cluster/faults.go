package cluster

import (
	"math"

	"ryepaddle/internal/balancer/endpointhealth"
)

// The kinds of fault.
const (
	FaultDead    = "dead"    // servers crash; they start again if Fault.To is set
	FaultCut     = "cut"     // servers do not answer
	FaultFailing = "faults"  // servers answer every request with an error after failureTime
	FaultSlow    = "slow"    // servers are slower by the factor Fault.Times
	FaultFlap    = "flap"    // servers crash every flapPeriodS and start again flapDownS later
	FaultRelease = "release" // all servers are restarted one after the other
	FaultJoin    = "join"    // servers join that were not listed before
	FaultFlood   = "flood"   // additional requests of one class
)

const (
	flapDownS    = 3 // seconds that a server is down in FaultFlap
	flapPeriodS  = 6 // seconds between two crashes of a flapping server
	releaseDownS = 2 // seconds that a server is down in FaultRelease
)

// affected returns the servers that a fault hits: those of its zone or, if it names none, its share of the
// servers, from the first one on.
func (s *simulation) affected(fault Fault) (affected []*server) {
	count := int(math.Round(fault.Share * float64(len(s.servers))))
	for i, server := range s.servers {
		if fault.Zone != "" && server.Zone == fault.Zone || fault.Zone == "" && i < count {
			affected = append(affected, server)
		}
	}
	return affected
}

// scheduleFault schedules the begin of a fault and its end, if it has one.
func (s *simulation) scheduleFault(fault Fault) {
	each := func(second float64, do func(*server)) {
		s.at(second, func() {
			for _, server := range s.affected(fault) {
				do(server)
			}
		})
	}
	toggle := func(begin, end func(*server)) {
		each(fault.From, begin)
		if fault.To > 0 {
			each(fault.To, end)
		}
	}
	switch fault.Kind {
	case FaultFlood:
		s.startFlood(fault)
	case FaultDead:
		toggle((*server).kill, (*server).start)
	case FaultCut:
		toggle(func(v *server) { v.cut = true }, func(v *server) { v.cut = false })
	case FaultFailing:
		toggle(func(v *server) { v.failing = true }, func(v *server) { v.failing = false })
	case FaultSlow:
		toggle(func(v *server) { v.slowdown = fault.Times }, func(v *server) { v.slowdown = 1 })
	case FaultFlap:
		for second := fault.From; second < s.spec.Seconds; second += flapPeriodS {
			each(second, (*server).kill)
			each(second+flapDownS, (*server).start)
		}
	case FaultRelease:
		for i, server := range s.servers {
			second := fault.From + (fault.To-fault.From)*float64(i)/float64(len(s.servers))
			s.at(second, server.stop)
			s.at(second+releaseDownS, server.start)
		}
	case FaultJoin:
		s.at(fault.From, s.join)
	}
}

// join starts the servers that are not listed yet, and lists all servers.
func (s *simulation) join() {
	for _, server := range s.servers[:len(s.servers)-len(s.listed)] {
		server.start()
	}
	var all []endpointhealth.EndpointSpec
	for _, server := range s.servers {
		all = append(all, server.EndpointSpec)
	}
	s.listed = all
	s.picker.SetEndpoints(all, s.scheduler.Now())
}
