package fleet

import (
	"cmp"
	"slices"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/ledger"
)

// Process is a runner as the stage meets it: one in this process, or one of its own behind sockets.
// What it says to the stage it says through its Life and through Jobs, never from within one of
// these calls but for Submit.
type Process interface {
	IsReady() bool                               // it takes requests
	Submit(j *Attempt)                           // a request was read whole; it is owed one answer
	Abandon(j *Attempt)                          // its balancer gave it up
	Forget(j *Attempt)                           // it is answered or given up, and its run is over
	Check(caller int, done func(bool))           // a health check; done may never be called
	Needs(j *Attempt)                            // a run waits for its call
	Ended(j *Attempt, e dependencies.RunOutcome) // a run is over
	Drain(stop time.Duration)                    // it is to leave, and is stopped after so long
	Kill()                                       // it ends at once
}

// Launch starts a process with what it is told.
type Launch func(l *Incarnation, set admission.Settings) (Process, error)

// runner is one place of the fleet, with one life after the other.
type runner struct {
	simulation   *Simulation
	index        int
	spec         *day.Runner
	incarnation  *Incarnation // nil while it is down
	incarnations uint64
	slowdown     float64
	workDone     float64 // by lives that have ended
}

// Incarnation is a runner from its start to its end: a process on a machine of its own.
type Incarnation struct {
	runner      *runner
	process     Process
	machine     *dependencies.Machine
	dead        bool
	closed      bool // takes no more connections
	advertised  float64
	drainAt     time.Duration // 0: not told to leave
	stopAt      time.Duration
	attempts    map[string]*Attempt // read, and not yet answered with their runs over
	connections map[*Attempt]struct{}
	ranUntil    map[uint64]time.Duration // first try to the end of its window
	frozenTotal time.Duration            // how long the machine has stood still in all
	frozenSince time.Duration            // since when it stands still; 0: it does not
	heldAnswers []heldAnswer
}

// heldAnswer is an answer that waits for its machine to move.
type heldAnswer struct {
	attempt *Attempt
	answer  balance.Answer
}

// start begins a life.
func (r *runner) start(cold bool) error {
	s := r.simulation
	r.incarnations++
	l := &Incarnation{
		runner:      r,
		advertised:  -1,
		attempts:    map[string]*Attempt{},
		connections: map[*Attempt]struct{}{},
		ranUntil:    map[uint64]time.Duration{},
	}
	l.machine = dependencies.NewMachine(s.clock, r.spec.Spec, cold, l)
	if r.slowdown > 1 {
		l.machine.SetSlowdown(r.slowdown)
	}
	set := s.day.Settings
	set.Classes = slices.Clone(set.Classes)
	set.WarmingUp = cold
	if s.options.Settings != nil {
		s.options.Settings(&set)
	}
	var err error
	if l.process, err = s.launch(l, set); err != nil {
		return err
	}
	r.incarnation = l
	if s.reportsItself { // processes report by themselves
		return nil
	}
	l.reportPeriodically()
	return nil
}

// after calls back unless the process has ended by then.
func (l *Incarnation) after(d time.Duration, fn func()) (stop func()) {
	return l.runner.simulation.clock.After(d, func() {
		if !l.dead {
			fn()
		}
	}).Stop
}

// reportPeriodically tells the roster that the runner is there.
func (l *Incarnation) reportPeriodically() {
	l.Report()
	l.after(reportInterval, l.reportPeriodically)
}

// Report takes a report to the roster.
func (l *Incarnation) Report() {
	if !l.dead && l.drainAt == 0 && l.runner.simulation.cutZone != l.runner.spec.Hall {
		l.runner.simulation.registry.Report(l.runner.spec.Name)
	}
}

// Name is the runner's, the same in each of its lives.
func (l *Incarnation) Name() string { return l.runner.spec.Name }

// Machine is what it runs on.
func (l *Incarnation) Machine() *dependencies.Machine { return l.machine }

// Attempt finds a try that was read here, and is not over.
func (l *Incarnation) Attempt(name string) *Attempt { return l.attempts[name] }

// Advertise takes the free value that goes with every answer from now on.
func (l *Incarnation) Advertise(v float64) { l.advertised = v }

// Lost takes word that the process ended though nobody ended it.
func (l *Incarnation) Lost(why string) {
	if !l.dead && l.drainAt == 0 {
		l.machine.Kill(why)
	}
}

// kill ends the process and its machine at once. What was out breaks.
func (r *runner) kill(why string) {
	if r.incarnation != nil {
		r.incarnation.machine.Kill(why) // it calls Died
	}
}

// restart begins a cold life after a while.
func (r *runner) restart(after time.Duration) {
	r.simulation.clock.After(after, func() {
		if r.incarnation == nil && !r.simulation.closed {
			if err := r.start(true); err != nil {
				r.simulation.options.Log(r.simulation.now(), r.spec.Name, err.Error())
			}
		}
	})
}

func (r *runner) setSlowdown(times float64) {
	if r.slowdown = times; r.incarnation != nil {
		r.incarnation.machine.SetSlowdown(times)
	}
}

// setFrozen lets the machine stand still, or go on: nothing is written to the runner, and nothing it
// writes is read.
func (r *runner) setFrozen(on bool) {
	l := r.incarnation
	if l == nil || on == (l.frozenSince != 0) {
		return
	}
	l.machine.SetFrozen(on)
	if on {
		l.frozenSince = r.simulation.clock.Now()
		return
	}
	l.frozenTotal += r.simulation.clock.Now() - l.frozenSince
	l.frozenSince = 0
	queue := l.heldAnswers
	l.heldAnswers = nil
	for _, h := range queue {
		h.attempt.answerBalancer(h.answer)
	}
}

// frozenTime is how long the machine has stood still so far.
func (l *Incarnation) frozenTime() time.Duration {
	if l.frozenSince != 0 {
		return l.frozenTotal + l.runner.simulation.clock.Now() - l.frozenSince
	}
	return l.frozenTotal
}

// sendAnswer sends an answer once the machine moves.
func (l *Incarnation) sendAnswer(j *Attempt, a balance.Answer) {
	if l.frozenSince != 0 {
		l.heldAnswers = append(l.heldAnswers, heldAnswer{j, a})
		return
	}
	j.answerBalancer(a)
}

// drain tells the runner to leave. It is stopped later, and comes back cold.
func (r *runner) drain() {
	l, f, s := r.incarnation, &r.simulation.day.Spec.Fleet, r.simulation
	if l == nil || l.drainAt != 0 {
		return
	}
	stop := millis(f.StopMs)
	l.drainAt = s.now()
	l.stopAt = l.drainAt + stop
	s.registry.Deregister(r.spec.Name)
	l.process.Drain(stop)
	grace := min(millis(f.DrainMs)+measuringTolerance, stop/2)
	l.after(grace, func() { l.closed = true })
	var look func()
	look = func() {
		if l.unansweredCount() > 0 && s.now() < l.stopAt || !l.closed {
			l.after(measuringTolerance, look)
			return
		}
		l.recordUnanswered("when it was stopped")
		l.machine.Kill("stopped")
		r.restart(seconds(f.RestartS.Lo))
	}
	look()
}

// unansweredCount is how many answers are.
func (l *Incarnation) unansweredCount() (n int) {
	for _, j := range l.attempts {
		if !j.answered && !j.abandoned {
			n++
		}
	}
	return n
}

// recordUnanswered enters what a process leaves unanswered.
func (l *Incarnation) recordUnanswered(when string) {
	s := l.runner.simulation
	for _, j := range sortedAttempts(l.attempts, func(_ string, j *Attempt) *Attempt { return j }) {
		if j.answered || j.abandoned {
			continue
		}
		if l.drainAt != 0 {
			s.account.AddViolation(ledger.Drain, s.now(), "%s left a request unanswered %s", l.runner.spec.Name, when)
		} else {
			j.checkDeadline("open")
		}
	}
}

// Died takes the end of the machine, whatever it was.
func (l *Incarnation) Died(why string) {
	r, s := l.runner, l.runner.simulation
	l.dead = true
	r.incarnation = nil
	r.workDone += l.machine.WorkDone()
	s.registry.Deregister(r.spec.Name)
	s.options.Log(s.now(), r.spec.Name, "ended: "+why)
	if why != "killed" && why != "stopped" {
		s.account.AddViolation(ledger.RunnerCrash, s.now(), "%s: %s", r.spec.Name, why)
		f := s.day.Spec.Fleet.RestartS
		r.restart(seconds(f.Lo + (f.Hi-f.Lo)*day.Unit(s.day.Seed, "restart"+r.spec.Name, r.incarnations)))
	}
	for _, h := range l.heldAnswers { // what stood in the machine goes with it
		h.attempt.answerBalancer(balance.Answer{Kind: balance.Failed, AdvertisedValue: -1})
	}
	l.heldAnswers = nil
	for _, j := range sortedAttempts(l.connections, func(j *Attempt, _ struct{}) *Attempt { return j }) {
		j.ConnectionBroke()
	}
	l.process.Kill()
}

// forgetIfDone forgets a job that is answered and of which nothing runs.
func (l *Incarnation) forgetIfDone(j *Attempt) {
	if (j.answered || j.abandoned) && !j.running {
		delete(l.attempts, j.Name)
		delete(l.connections, j)
		l.process.Forget(j)
	}
}

// Run starts a run on the engine. It is where the rules about running are checked, by other means
// than the runner's. It reports whether there is such a request, which is not over.
func (l *Incarnation) Run(name string) bool {
	s, j := l.runner.simulation, l.attempts[name]
	if j == nil || l.dead || !j.running && (j.answered || j.abandoned) {
		return false
	}
	if j.running {
		return true
	}
	class := &s.day.Spec.Classes[j.arrival.Class]
	if class.Effect != "safe" {
		if until, ran := l.ranUntil[j.arrival.ID]; ran && (class.Effect == "unsafe" || j.arrivedAt <= until) {
			s.account.AddViolation(ledger.Duplicate, s.now(), "%s ran a %s twice", l.runner.spec.Name, class.Name)
		}
		l.ranUntil[j.arrival.ID] = j.arrivedAt + millis(class.WindowMs)
	}
	if over := j.arrivedAt - l.drainAt - millis(s.day.Spec.Fleet.DrainMs) - measuringTolerance; l.drainAt != 0 &&
		over > 0 {
		s.account.AddViolation(ledger.Drain, s.now(), "%s ran what came %d ms too late", l.runner.spec.Name, over.Milliseconds())
	}
	j.running = true
	l.machine.Run(dependencies.Work{ID: name, SizeKB: j.arrival.SizeKB, Parts: l.workParts(j)})
	return true
}

// workParts divides the work of a run by its calls. A cold runner calls more.
func (l *Incarnation) workParts(j *Attempt) []float64 {
	d := l.runner.simulation.day
	j.calls = append([]float64(nil), j.arrival.Calls...)
	if extra := l.runner.spec.Spec.WarmUpCallFactor; extra > 0 && l.machine.IsWarmingUp() {
		for k := range j.arrival.Calls {
			if chance, work := d.CallExtra(j.arrival.ID, l.runner.index, k); chance < extra {
				j.calls = append(j.calls, work)
			}
		}
	}
	parts := make([]float64, len(j.calls)+1)
	for i := range parts {
		parts[i] = j.arrival.Work / float64(len(parts))
	}
	return parts
}

// Resume lets a run go on behind its call, and reports whether there is such a request.
func (l *Incarnation) Resume(name string) bool {
	j := l.attempts[name]
	if j == nil || l.dead {
		return false
	}
	j.callsDone++
	l.machine.Resume(name)
	return true
}

// Needs takes word from the machine that a run waits for a call.
func (l *Incarnation) Needs(id string) {
	if j := l.attempts[id]; j != nil {
		l.process.Needs(j)
	}
}

// Ended takes word from the machine that a run is over.
func (l *Incarnation) Ended(id string, e dependencies.RunOutcome) {
	if j := l.attempts[id]; j != nil {
		j.running = false
		l.process.Ended(j, e)
		l.forgetIfDone(j)
	}
}

// sortedAttempts gives the jobs of a table in an order that is the same each time.
func sortedAttempts[K comparable, V any](table map[K]V, of func(K, V) *Attempt) []*Attempt {
	out := make([]*Attempt, 0, len(table))
	for k, v := range table {
		out = append(out, of(k, v))
	}
	slices.SortFunc(out, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.arrival.ID, b.arrival.ID), cmp.Compare(a.sent.Number, b.sent.Number))
	})
	return out
}
