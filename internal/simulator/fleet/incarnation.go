package fleet

import (
	"cmp"
	"slices"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
)

// The reasons with which the simulation itself ends an incarnation. An end for any other reason is a violation.
const (
	reasonKilled  = "killed"
	reasonStopped = "stopped"
)

// Incarnation is one life of a runner, from the start to the end of its process on a machine of its own.
type Incarnation struct {
	runner      *runner
	process     Process
	machine     *dependencies.Machine
	dead        bool
	closed      bool                     // it refuses new connections
	advertised  float64                  // credit that every answer carries; negative: none
	drainAt     time.Duration            // start of the drain, since the day began; 0: it is not draining
	stopAt      time.Duration            // end of the drain's timeout, since the day began
	attempts    map[string]*Attempt      // attempts that were read, until they are closed and their runs have ended
	connections map[*Attempt]struct{}    // accepted attempts, until they are closed and their runs have ended
	ranUntil    map[uint64]time.Duration // end of the window of each non-safe request that ran, by request ID
	frozenTotal time.Duration            // total length of the earlier freezes
	frozenSince time.Duration            // start of the current freeze, by the clock; 0: the machine is not frozen
	heldAnswers []heldAnswer
}

// heldAnswer is an answer that is held back while its machine is frozen.
type heldAnswer struct {
	attempt *Attempt
	answer  balance.Answer
}

// after calls fn after a delay unless the process has ended by then.
func (in *Incarnation) after(d time.Duration, fn func()) virtualclock.Timer {
	return in.runner.simulation.clock.After(d, func() {
		if !in.dead {
			fn()
		}
	})
}

func (in *Incarnation) reportPeriodically() {
	in.Report()
	in.after(reportInterval, in.reportPeriodically)
}

// Report reports the runner to the registry, unless it is draining or its zone is cut off.
func (in *Incarnation) Report() {
	s := in.runner.simulation
	if !in.dead && in.drainAt == 0 && s.cutZone != in.runner.spec.Zone {
		s.registry.Report(in.Name())
	}
}

// Name returns the name of the runner, which all its incarnations share.
func (in *Incarnation) Name() string { return in.runner.spec.Name }

// Machine returns the machine on which the process runs.
func (in *Incarnation) Machine() *dependencies.Machine { return in.machine }

// Attempt returns the attempt with the given name, or nil if it was not read here or is already
// forgotten.
func (in *Incarnation) Attempt(name string) *Attempt { return in.attempts[name] }

// Advertise sets the credit that every answer carries from now on.
func (in *Incarnation) Advertise(credit float64) { in.advertised = credit }

// Lost reports that the process ended by itself, which is a crash unless it is draining.
func (in *Incarnation) Lost(why string) {
	if !in.dead && in.drainAt == 0 {
		in.machine.Kill(why)
	}
}

// frozenTime returns how long the machine has been frozen so far.
func (in *Incarnation) frozenTime() time.Duration {
	if in.frozenSince != 0 {
		return in.frozenTotal + in.runner.simulation.clock.Now() - in.frozenSince
	}
	return in.frozenTotal
}

// sendAnswer sends an answer to its balancer, or holds it back while the machine is frozen.
func (in *Incarnation) sendAnswer(a *Attempt, answer balance.Answer) {
	if in.frozenSince != 0 {
		in.heldAnswers = append(in.heldAnswers, heldAnswer{a, answer})
		return
	}
	a.answerBalancer(answer)
}

// unansweredCount returns the number of attempts that wait for an answer.
func (in *Incarnation) unansweredCount() (count int) {
	for _, a := range in.attempts {
		if !a.isClosed() {
			count++
		}
	}
	return count
}

// recordUnanswered records the attempts that wait for an answer as violations: all of them during a
// drain, otherwise those that are past their deadlines.
func (in *Incarnation) recordUnanswered(when string) {
	s := in.runner.simulation
	for _, a := range sortedAttempts(in.attempts, func(_ string, a *Attempt) *Attempt { return a }) {
		if a.isClosed() {
			continue
		}
		if in.drainAt != 0 {
			s.account.AddViolation(ledger.Drain, s.now(), "%s left a request unanswered %s", in.Name(), when)
		} else {
			a.checkDeadline("open")
		}
	}
}

// Died implements dependencies.MachineObserver. It ends the incarnation and breaks its connections. A
// crash is recorded as a violation, and the runner restarts after a drawn delay.
func (in *Incarnation) Died(why string) {
	r := in.runner
	s := in.runner.simulation
	in.dead = true
	r.incarnation = nil
	r.workDone += in.machine.WorkDone()
	s.registry.Deregister(in.Name())
	s.log(r, "ended: "+why)
	if why != reasonKilled && why != reasonStopped {
		s.account.AddViolation(ledger.RunnerCrash, s.now(), "%s: %s", in.Name(), why)
		restart, u := s.day.Spec.Fleet.RestartS, day.Unit(s.day.Seed, "restart"+in.Name(), r.incarnations)
		r.restartAfter(virtualclock.FromSeconds(restart.Lo + (restart.Hi-restart.Lo)*u))
	}
	for _, held := range in.heldAnswers {
		held.attempt.answerBalancer(balance.Answer{Kind: balance.Failed, AdvertisedCredit: balance.NoCredit})
	}
	in.heldAnswers = nil
	for _, a := range sortedAttempts(in.connections, func(a *Attempt, _ struct{}) *Attempt { return a }) {
		a.ConnectionBroke()
	}
	in.process.Kill()
}

// forgetIfDone removes an attempt that is answered or abandoned and does not run.
func (in *Incarnation) forgetIfDone(a *Attempt) {
	if a.isClosed() && !a.running {
		delete(in.attempts, a.Name)
		delete(in.connections, a)
		in.process.Forget(a)
	}
}

// Run starts the run of an attempt on the engine, unless the attempt is already running. It returns false if
// the attempt is unknown or closed, or if the incarnation has ended. It checks the rules on runs independently
// of the runner's own checks.
func (in *Incarnation) Run(name string) bool {
	a := in.attempts[name]
	if a == nil || in.dead || !a.running && a.isClosed() {
		return false
	}
	if a.running {
		return true
	}
	in.checkRun(a)
	a.running = true
	in.machine.Run(dependencies.Work{ID: name, SizeKB: a.arrival.SizeKB, Parts: in.workParts(a)})
	return true
}

// checkRun records two kinds of violation: a second run of a request that is not idempotent by itself,
// and a run of a request that arrived after the grace period of a drain.
func (in *Incarnation) checkRun(a *Attempt) {
	s := in.runner.simulation
	class := a.class()
	if class.Effect != day.EffectSafe {
		until, ran := in.ranUntil[a.arrival.ID]
		if ran && (class.Effect == day.EffectUnsafe || a.arrivedAt <= until) {
			s.account.AddViolation(ledger.Duplicate, s.now(), "%s ran a request of class %s twice",
				in.Name(), class.Name)
		}
		in.ranUntil[a.arrival.ID] = a.arrivedAt + virtualclock.FromMillis(class.WindowMs)
	}
	late := a.arrivedAt - in.drainAt - virtualclock.FromMillis(s.day.Spec.Fleet.DrainMs) - measuringTolerance
	if in.drainAt != 0 && late > 0 {
		s.account.AddViolation(ledger.Drain, s.now(), "%s ran a request that arrived %d ms too late in a drain",
			in.Name(), late.Milliseconds())
	}
}

// workParts divides the work of a run evenly into the parts before, between and after its calls. A
// runner that warms up makes more calls.
func (in *Incarnation) workParts(a *Attempt) []float64 {
	d := in.runner.simulation.day
	a.calls = append([]float64(nil), a.arrival.Calls...)
	if extra := in.runner.spec.Spec.WarmUpCallFactor; extra > 0 && in.machine.IsWarmingUp() {
		for k := range a.arrival.Calls {
			if chance, work := d.CallExtra(a.arrival.ID, in.runner.index, k); chance < extra {
				a.calls = append(a.calls, work)
			}
		}
	}
	parts := make([]float64, len(a.calls)+1)
	for i := range parts {
		parts[i] = a.arrival.Work / float64(len(parts))
	}
	return parts
}

// Resume continues the run of an attempt whose call has ended. It reports whether the attempt exists.
func (in *Incarnation) Resume(name string) bool {
	a := in.attempts[name]
	if a == nil || in.dead {
		return false
	}
	a.callsDone++
	in.machine.Resume(name)
	return true
}

// Needs implements dependencies.MachineObserver.
func (in *Incarnation) Needs(id string) {
	if a := in.attempts[id]; a != nil {
		in.process.Needs(a)
	}
}

// Ended implements dependencies.MachineObserver.
func (in *Incarnation) Ended(id string, outcome dependencies.RunOutcome) {
	if a := in.attempts[id]; a != nil {
		a.running = false
		in.process.Ended(a, outcome)
		in.forgetIfDone(a)
	}
}

// sortedAttempts returns the attempts of a map in an order that does not depend on the iteration order.
func sortedAttempts[K comparable, V any](table map[K]V, attempt func(K, V) *Attempt) []*Attempt {
	attempts := make([]*Attempt, 0, len(table))
	for k, v := range table {
		attempts = append(attempts, attempt(k, v))
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int {
		return cmp.Or(
			cmp.Compare(a.arrivedAt, b.arrivedAt),
			cmp.Compare(a.arrival.ID, b.arrival.ID),
			cmp.Compare(a.sent.Number, b.sent.Number),
		)
	})
	return attempts
}
