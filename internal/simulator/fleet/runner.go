package fleet

import (
	"slices"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/virtualclock"
)

// runner is a member of the fleet. Each restart gives it another incarnation.
type runner struct {
	simulation   *Simulation
	index        int
	spec         *day.Runner
	incarnation  *Incarnation // nil while it is down
	incarnations uint64       // number of incarnations so far
	slowdown     float64      // factor by which its machine is slower; 0: no slowdown was set
	workDone     float64      // by incarnations that have ended, in microseconds at speed 1
}

// startWarm starts an incarnation that has already warmed up.
func (r *runner) startWarm() error { return r.start(false) }

// startCold starts an incarnation that has yet to warm up.
func (r *runner) startCold() error { return r.start(true) }

func (r *runner) start(cold bool) error {
	s := r.simulation
	r.incarnations++
	incarnation := &Incarnation{
		runner:      r,
		advertised:  balance.NoCredit,
		attempts:    map[string]*Attempt{},
		connections: map[*Attempt]struct{}{},
		ranUntil:    map[uint64]time.Duration{},
	}
	incarnation.machine = dependencies.NewMachine(s.clock, r.spec.Spec, cold, incarnation)
	if r.slowdown > 1 {
		incarnation.machine.SetSlowdown(r.slowdown)
	}
	settings := s.day.Settings
	settings.Classes = slices.Clone(settings.Classes)
	settings.WarmingUp = cold
	if s.options.Settings != nil {
		s.options.Settings(&settings)
	}
	var err error
	if incarnation.process, err = s.launch(incarnation, settings); err != nil {
		return err
	}
	r.incarnation = incarnation
	if s.registration == RegisteredBySimulation {
		incarnation.reportPeriodically()
	}
	return nil
}

// kill ends the current incarnation and its machine at once.
func (r *runner) kill() {
	if r.incarnation != nil {
		r.incarnation.machine.Kill(reasonKilled) // calls Incarnation.Died
	}
}

// restartAfter starts a cold incarnation after a delay, unless the runner is up by then or the day has
// ended.
func (r *runner) restartAfter(delay time.Duration) {
	r.simulation.clock.After(delay, func() {
		if r.incarnation != nil || r.simulation.closed {
			return
		}
		if err := r.startCold(); err != nil {
			r.simulation.log(r, err.Error())
		}
	})
}

// setSlowdown makes the machine slower by a factor, in this incarnation and in later ones.
func (r *runner) setSlowdown(factor float64) {
	r.slowdown = factor
	if r.incarnation != nil {
		r.incarnation.machine.SetSlowdown(factor)
	}
}

// setFrozen freezes the machine or resumes it. A frozen machine does no work, so that the runner reads no
// requests, and the runner's answers are held back until the machine is resumed.
func (r *runner) setFrozen(frozen bool) {
	incarnation := r.incarnation
	if incarnation == nil || frozen == (incarnation.frozenSince != 0) {
		return
	}
	incarnation.machine.SetFrozen(frozen)
	if frozen {
		incarnation.frozenSince = r.simulation.clock.Now()
		return
	}
	incarnation.frozenTotal += r.simulation.clock.Now() - incarnation.frozenSince
	incarnation.frozenSince = 0
	held := incarnation.heldAnswers
	incarnation.heldAnswers = nil
	for _, h := range held {
		h.attempt.answerBalancer(h.answer)
	}
}

// drain starts a graceful shutdown. The runner is stopped once all requests are answered and the grace
// period is over, or once the timeout has passed. It then restarts cold.
func (r *runner) drain() {
	s := r.simulation
	spec := &s.day.Spec.Fleet
	incarnation := r.incarnation
	if incarnation == nil || incarnation.drainAt != 0 {
		return
	}
	timeout := s.StopTimeout()
	incarnation.drainAt = s.now()
	incarnation.stopAt = incarnation.drainAt + timeout
	s.registry.Deregister(r.spec.Name)
	incarnation.process.Drain(timeout)
	grace := min(virtualclock.FromMillis(spec.DrainMs)+measuringTolerance, timeout/2)
	incarnation.after(grace, func() { incarnation.closed = true })
	var stopWhenDone func()
	stopWhenDone = func() {
		if incarnation.unansweredCount() > 0 && s.now() < incarnation.stopAt || !incarnation.closed {
			incarnation.after(measuringTolerance, stopWhenDone)
			return
		}
		incarnation.recordUnanswered("when it was stopped")
		incarnation.machine.Kill(reasonStopped)
		r.restartAfter(virtualclock.FromSeconds(spec.RestartS.Lo))
	}
	stopWhenDone()
}
