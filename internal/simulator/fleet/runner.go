package fleet

import (
	"slices"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/virtualclock"
)

// runner is one place of the fleet, with one incarnation after the other.
type runner struct {
	simulation   *Simulation
	index        int
	spec         *day.Runner
	incarnation  *Incarnation // nil while it is down
	incarnations uint64       // so far
	slowdown     float64
	workDone     float64 // by incarnations that have ended, in microseconds at speed 1
}

// start begins an incarnation.
func (r *runner) start(cold bool) error {
	s := r.simulation
	r.incarnations++
	l := &Incarnation{
		runner:      r,
		advertised:  balance.NoCredit,
		attempts:    map[string]*Attempt{},
		connections: map[*Attempt]struct{}{},
		ranUntil:    map[uint64]time.Duration{},
	}
	l.machine = dependencies.NewMachine(s.clock, r.spec.Spec, cold, l)
	if r.slowdown > 1 {
		l.machine.SetSlowdown(r.slowdown)
	}
	settings := s.day.Settings
	settings.Classes = slices.Clone(settings.Classes)
	settings.WarmingUp = cold
	if s.options.Settings != nil {
		s.options.Settings(&settings)
	}
	var err error
	if l.process, err = s.launch(l, settings); err != nil {
		return err
	}
	r.incarnation = l
	if !s.reportsItself {
		l.reportPeriodically()
	}
	return nil
}

// kill ends the present incarnation and its machine at once.
func (r *runner) kill() {
	if r.incarnation != nil {
		r.incarnation.machine.Kill(reasonKilled) // which calls Died
	}
}

// restartAfter begins a cold incarnation after a delay.
func (r *runner) restartAfter(delay time.Duration) {
	r.simulation.clock.After(delay, func() {
		if r.incarnation != nil || r.simulation.closed {
			return
		}
		if err := r.start(true); err != nil {
			r.simulation.log(r, err.Error())
		}
	})
}

// setSlowdown makes the machine slower by a factor, in this incarnation and the next ones.
func (r *runner) setSlowdown(factor float64) {
	r.slowdown = factor
	if r.incarnation != nil {
		r.incarnation.machine.SetSlowdown(factor)
	}
}

// setFrozen freezes the machine, or lets it go on: meanwhile nothing is written to the runner, and
// nothing that it writes is read.
func (r *runner) setFrozen(frozen bool) {
	l := r.incarnation
	if l == nil || frozen == (l.frozenSince != 0) {
		return
	}
	l.machine.SetFrozen(frozen)
	if frozen {
		l.frozenSince = r.simulation.clock.Now()
		return
	}
	l.frozenTotal += r.simulation.clock.Now() - l.frozenSince
	l.frozenSince = 0
	held := l.heldAnswers
	l.heldAnswers = nil
	for _, h := range held {
		h.attempt.answerBalancer(h.answer)
	}
}

// drain starts a graceful shutdown. The runner is stopped once it owes no answer or its time is over,
// and restarts cold.
func (r *runner) drain() {
	l, spec, s := r.incarnation, &r.simulation.day.Spec.Fleet, r.simulation
	if l == nil || l.drainAt != 0 {
		return
	}
	timeout := s.StopTimeout()
	l.drainAt = s.now()
	l.stopAt = l.drainAt + timeout
	s.registry.Deregister(r.spec.Name)
	l.process.Drain(timeout)
	grace := min(virtualclock.FromMillis(spec.DrainMs)+measuringTolerance, timeout/2)
	l.after(grace, func() { l.closed = true })
	var stopWhenDone func()
	stopWhenDone = func() {
		if l.unansweredCount() > 0 && s.now() < l.stopAt || !l.closed {
			l.after(measuringTolerance, stopWhenDone)
			return
		}
		l.recordUnanswered("when it was stopped")
		l.machine.Kill(reasonStopped)
		r.restartAfter(virtualclock.FromSeconds(spec.RestartS.Lo))
	}
	stopWhenDone()
}
