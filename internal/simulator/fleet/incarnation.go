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

// The reasons of an end that is no crash.
const (
	reasonKilled  = "killed"
	reasonStopped = "stopped"
)

// Incarnation is a runner from its start to its end: a process on a machine of its own.
type Incarnation struct {
	runner      *runner
	process     Process
	machine     *dependencies.Machine
	dead        bool
	closed      bool // it takes no more connections
	advertised  float64
	drainAt     time.Duration // 0: it is not draining
	stopAt      time.Duration
	attempts    map[string]*Attempt // read, and not yet answered with their runs ended
	connections map[*Attempt]struct{}
	ranUntil    map[uint64]time.Duration // end of the window of each request that ran
	frozenTotal time.Duration            // in earlier freezes
	frozenSince time.Duration            // 0: the machine is not frozen
	heldAnswers []heldAnswer
}

// heldAnswer is an answer that waits until its machine goes on.
type heldAnswer struct {
	attempt *Attempt
	answer  balance.Answer
}

// after calls fn after a delay unless the process has ended by then.
func (l *Incarnation) after(d time.Duration, fn func()) virtualclock.Timer {
	return l.runner.simulation.clock.After(d, func() {
		if !l.dead {
			fn()
		}
	})
}

func (l *Incarnation) reportPeriodically() {
	l.Report()
	l.after(reportInterval, l.reportPeriodically)
}

// Report registers the runner, unless it is draining or its zone is cut off.
func (l *Incarnation) Report() {
	s := l.runner.simulation
	if !l.dead && l.drainAt == 0 && s.cutZone != l.runner.spec.Zone {
		s.registry.Report(l.Name())
	}
}

// Name returns the name of the runner, which all its incarnations share.
func (l *Incarnation) Name() string { return l.runner.spec.Name }

// Machine returns the machine on which it runs.
func (l *Incarnation) Machine() *dependencies.Machine { return l.machine }

// Attempt returns the attempt with a name that was read here and is not done, or nil.
func (l *Incarnation) Attempt(name string) *Attempt { return l.attempts[name] }

// Advertise sets the credit that goes with every answer from now on.
func (l *Incarnation) Advertise(credit float64) { l.advertised = credit }

// Lost says that the process ended by itself.
func (l *Incarnation) Lost(why string) {
	if !l.dead && l.drainAt == 0 {
		l.machine.Kill(why)
	}
}

// frozenTime returns how long the machine has been frozen so far.
func (l *Incarnation) frozenTime() time.Duration {
	if l.frozenSince != 0 {
		return l.frozenTotal + l.runner.simulation.clock.Now() - l.frozenSince
	}
	return l.frozenTotal
}

// sendAnswer sends an answer once the machine is not frozen.
func (l *Incarnation) sendAnswer(a *Attempt, answer balance.Answer) {
	if l.frozenSince != 0 {
		l.heldAnswers = append(l.heldAnswers, heldAnswer{a, answer})
		return
	}
	a.answerBalancer(answer)
}

// unansweredCount returns the number of answers that are owed.
func (l *Incarnation) unansweredCount() (count int) {
	for _, a := range l.attempts {
		if !a.isClosed() {
			count++
		}
	}
	return count
}

// recordUnanswered records as violations the answers that are owed.
func (l *Incarnation) recordUnanswered(when string) {
	s := l.runner.simulation
	for _, a := range sortedAttempts(l.attempts, func(_ string, a *Attempt) *Attempt { return a }) {
		if a.isClosed() {
			continue
		}
		if l.drainAt != 0 {
			s.account.AddViolation(ledger.Drain, s.now(), "%s left a request unanswered %s", l.Name(), when)
		} else {
			a.checkDeadline("open")
		}
	}
}

// Died implements dependencies.MachineObserver: the incarnation is over, and its connections break.
func (l *Incarnation) Died(why string) {
	r, s := l.runner, l.runner.simulation
	l.dead = true
	r.incarnation = nil
	r.workDone += l.machine.WorkDone()
	s.registry.Deregister(l.Name())
	s.log(r, "ended: "+why)
	if why != reasonKilled && why != reasonStopped {
		s.account.AddViolation(ledger.RunnerCrash, s.now(), "%s: %s", l.Name(), why)
		restart, u := s.day.Spec.Fleet.RestartS, day.Unit(s.day.Seed, "restart"+l.Name(), r.incarnations)
		r.restartAfter(virtualclock.FromSeconds(restart.Lo + (restart.Hi-restart.Lo)*u))
	}
	for _, held := range l.heldAnswers {
		held.attempt.answerBalancer(balance.Answer{Kind: balance.Failed, AdvertisedValue: balance.NoCredit})
	}
	l.heldAnswers = nil
	for _, a := range sortedAttempts(l.connections, func(a *Attempt, _ struct{}) *Attempt { return a }) {
		a.ConnectionBroke()
	}
	l.process.Kill()
}

// forgetIfDone forgets an attempt that is answered or abandoned and does not run.
func (l *Incarnation) forgetIfDone(a *Attempt) {
	if a.isClosed() && !a.running {
		delete(l.attempts, a.Name)
		delete(l.connections, a)
		l.process.Forget(a)
	}
}

// Run starts the run of an attempt on the engine. It reports false if there is no such attempt, or if
// it is closed. It checks the rules on runs, independently of the runner's own checks.
func (l *Incarnation) Run(name string) bool {
	a := l.attempts[name]
	if a == nil || l.dead || !a.running && a.isClosed() {
		return false
	}
	if a.running {
		return true
	}
	l.checkRun(a)
	a.running = true
	l.machine.Run(dependencies.Work{ID: name, SizeKB: a.arrival.SizeKB, Parts: l.workParts(a)})
	return true
}

// checkRun records as violations a second run of a request with an effect, and a run of a request
// that arrived after the grace of a drain.
func (l *Incarnation) checkRun(a *Attempt) {
	s := l.runner.simulation
	class := a.class()
	if class.Effect != day.EffectSafe {
		until, ran := l.ranUntil[a.arrival.ID]
		if ran && (class.Effect == day.EffectUnsafe || a.arrivedAt <= until) {
			s.account.AddViolation(ledger.Duplicate, s.now(), "%s ran a %s twice", l.Name(), class.Name)
		}
		l.ranUntil[a.arrival.ID] = a.arrivedAt + virtualclock.FromMillis(class.WindowMs)
	}
	late := a.arrivedAt - l.drainAt - virtualclock.FromMillis(s.day.Spec.Fleet.DrainMs) - measuringTolerance
	if l.drainAt != 0 && late > 0 {
		s.account.AddViolation(ledger.Drain, s.now(), "%s ran what came %d ms too late",
			l.Name(), late.Milliseconds())
	}
}

// workParts divides the work of a run by its calls. A runner that warms up makes more calls.
func (l *Incarnation) workParts(a *Attempt) []float64 {
	d := l.runner.simulation.day
	a.calls = append([]float64(nil), a.arrival.Calls...)
	if extra := l.runner.spec.Spec.WarmUpCallFactor; extra > 0 && l.machine.IsWarmingUp() {
		for k := range a.arrival.Calls {
			if chance, work := d.CallExtra(a.arrival.ID, l.runner.index, k); chance < extra {
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

// Resume continues the run of an attempt after its call. It reports whether there is such an attempt.
func (l *Incarnation) Resume(name string) bool {
	a := l.attempts[name]
	if a == nil || l.dead {
		return false
	}
	a.callsDone++
	l.machine.Resume(name)
	return true
}

// Needs implements dependencies.MachineObserver.
func (l *Incarnation) Needs(id string) {
	if a := l.attempts[id]; a != nil {
		l.process.Needs(a)
	}
}

// Ended implements dependencies.MachineObserver.
func (l *Incarnation) Ended(id string, outcome dependencies.RunOutcome) {
	if a := l.attempts[id]; a != nil {
		a.running = false
		l.process.Ended(a, outcome)
		l.forgetIfDone(a)
	}
}

// sortedAttempts returns the attempts of a table in an order that does not depend on the map's.
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
