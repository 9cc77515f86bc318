package fleet

import (
	"strconv"
	"time"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
)

// scheduleArrival schedules the arrival of request i of the day, which schedules the next one.
func (s *Simulation) scheduleArrival(i int) {
	if i == len(s.day.Arrivals) {
		return
	}
	arrival := &s.day.Arrivals[i]
	s.clock.After(arrival.At-s.now(), func() {
		s.account.AddRequest(arrival.ID, ledger.Request{
			At:      arrival.At,
			Class:   arrival.Class,
			Tenant:  arrival.Tenant,
			InShare: arrival.InShare,
			Work:    arrival.Work + s.readWork(),
		})
		s.balancers[arrival.Balancer].submit(arrival)
		s.scheduleArrival(i + 1)
	})
}

// readWork returns the work of reading a request, in microseconds of a core of speed 1.
func (s *Simulation) readWork() float64 { return s.day.Runners[0].Spec.ReadWork }

// networkDelay draws the one-way delay of a message between two zones. It reports false if the message
// does not arrive because one of the zones is cut off.
func (s *Simulation) networkDelay(from, to int) (time.Duration, bool) {
	if from != to && (from == s.cutZone || to == s.cutZone) {
		return 0, false
	}
	s.messages++
	mean := s.day.Spec.Fleet.NearMs * 1000
	if from != to {
		mean = s.day.CrossZoneMicros
	}
	u := day.Unit(s.day.Seed^s.options.BalancerSeed, "net", s.messages)
	return virtualclock.FromMicros(mean * (0.9 + 0.2*u)), true
}

// reportLoads sends noisy reports of the loads of all runners to the balancers that use them, and
// schedules the next reports.
func (s *Simulation) reportLoads() {
	s.clock.After(loadReportInterval, s.reportLoads)
	for _, b := range s.balancers {
		if !b.usesLoadReports {
			continue
		}
		for _, r := range s.runners {
			if r.incarnation == nil {
				continue
			}
			purpose := "load" + strconv.Itoa(r.index)
			u := day.Unit(s.day.Seed^s.options.BalancerSeed, purpose, uint64(s.now().Microseconds()))
			g := r.incarnation.machine.Gauges()
			load := g.CPU + g.Runnable/float64(r.spec.Spec.Cores)
			b.policy.Report(r.index, load*(1+loadNoise*(2*u-1)))
		}
	}
}

// startFault starts a fault of the day and schedules its end.
func (s *Simulation) startFault(e day.Event) {
	each := func(do func(r *runner)) {
		for _, i := range e.Runners {
			do(s.runners[i])
		}
	}
	atEnd := func(do func()) { s.clock.After(e.Duration, do) }
	switch e.Kind {
	case day.Crash:
		each(func(r *runner) {
			r.kill()
			r.restartAfter(e.Duration)
		})
	case day.Slow:
		each(func(r *runner) { r.setSlowdown(e.Factor) })
		atEnd(func() { each(func(r *runner) { r.setSlowdown(1) }) })
	case day.Crawl:
		s.backend.SetSlowdown(e.Factor)
		atEnd(func() { s.backend.SetSlowdown(1) })
	case day.Pause:
		each(func(r *runner) { r.setFrozen(true) })
		atEnd(func() { each(func(r *runner) { r.setFrozen(false) }) })
	case day.Drain:
		step := (e.Duration / time.Duration(max(len(e.Runners), 1))).Truncate(virtualclock.Resolution)
		for k, i := range e.Runners {
			s.clock.After(time.Duration(k)*step, s.runners[i].drain)
		}
	case day.CutZone:
		s.cutZone = e.Zone
		atEnd(func() { s.cutZone = noZone })
	}
}
