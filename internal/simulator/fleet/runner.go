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
	s      *Simulation
	no     int
	spec   *day.Runner
	life   *Incarnation // nil while it is down
	lives  uint64
	slowed float64
	worked float64 // by lives that have ended
}

// Incarnation is a runner from its start to its end: a process on a machine of its own.
type Incarnation struct {
	r        *runner
	proc     Process
	machine  *dependencies.Machine
	dead     bool
	left     bool // takes no more connections
	pressure float64
	drainAt  time.Duration // 0: not told to leave
	stopAt   time.Duration
	jobs     map[string]*Attempt // read, and not yet answered with their runs over
	conns    map[*Attempt]struct{}
	ran      map[uint64]time.Duration // first try to the end of its window
	stopped  time.Duration            // how long the machine has stood still in all
	stoodAt  time.Duration            // since when it stands still; 0: it does not
	queue    []heldBack
}

// heldBack is an answer that waits for its machine to move.
type heldBack struct {
	j *Attempt
	a balance.Answer
}

// start begins a life.
func (r *runner) start(cold bool) error {
	s := r.s
	r.lives++
	l := &Incarnation{
		r:        r,
		pressure: -1,
		jobs:     map[string]*Attempt{},
		conns:    map[*Attempt]struct{}{},
		ran:      map[uint64]time.Duration{},
	}
	l.machine = dependencies.NewMachine(s.clock, r.spec.Spec, cold, l)
	if r.slowed > 1 {
		l.machine.SetSlowdown(r.slowed)
	}
	set := s.day.Settings
	set.Classes = slices.Clone(set.Classes)
	set.WarmingUp = cold
	if s.opt.Settings != nil {
		s.opt.Settings(&set)
	}
	var err error
	if l.proc, err = s.launch(l, set); err != nil {
		return err
	}
	r.life = l
	if s.listens { // processes report by themselves
		return nil
	}
	l.report()
	return nil
}

// after calls back unless the process has ended by then.
func (l *Incarnation) after(d time.Duration, fn func()) (stop func()) {
	return l.r.s.clock.After(d, func() {
		if !l.dead {
			fn()
		}
	}).Stop
}

// report tells the roster that the runner is there.
func (l *Incarnation) report() {
	l.Report()
	l.after(reportEvery, l.report)
}

// Report takes a report to the roster.
func (l *Incarnation) Report() {
	if !l.dead && l.drainAt == 0 && l.r.s.cut != l.r.spec.Hall {
		l.r.s.roster.Report(l.r.spec.Name)
	}
}

// Name is the runner's, the same in each of its lives.
func (l *Incarnation) Name() string { return l.r.spec.Name }

// Machine is what it runs on.
func (l *Incarnation) Machine() *dependencies.Machine { return l.machine }

// Attempt finds a try that was read here, and is not over.
func (l *Incarnation) Attempt(name string) *Attempt { return l.jobs[name] }

// Advertise takes the free value that goes with every answer from now on.
func (l *Incarnation) Advertise(v float64) { l.pressure = v }

// Lost takes word that the process ended though nobody ended it.
func (l *Incarnation) Lost(why string) {
	if !l.dead && l.drainAt == 0 {
		l.machine.Kill(why)
	}
}

// end ends the process and its machine at once. What was out breaks.
func (r *runner) end(why string) {
	if r.life != nil {
		r.life.machine.Kill(why) // it calls Died
	}
}

// restart begins a cold life after a while.
func (r *runner) restart(after time.Duration) {
	r.s.clock.After(after, func() {
		if r.life == nil && !r.s.closed {
			if err := r.start(true); err != nil {
				r.s.opt.Log(r.s.now(), r.spec.Name, err.Error())
			}
		}
	})
}

func (r *runner) slow(times float64) {
	if r.slowed = times; r.life != nil {
		r.life.machine.SetSlowdown(times)
	}
}

// pause lets the machine stand still, or go on: nothing is written to the runner, and nothing it
// writes is read.
func (r *runner) pause(on bool) {
	l := r.life
	if l == nil || on == (l.stoodAt != 0) {
		return
	}
	l.machine.SetFrozen(on)
	if on {
		l.stoodAt = r.s.clock.Now()
		return
	}
	l.stopped += r.s.clock.Now() - l.stoodAt
	l.stoodAt = 0
	queue := l.queue
	l.queue = nil
	for _, h := range queue {
		h.j.reply(h.a)
	}
}

// standing is how long the machine has stood still so far.
func (l *Incarnation) standing() time.Duration {
	if l.stoodAt != 0 {
		return l.stopped + l.r.s.clock.Now() - l.stoodAt
	}
	return l.stopped
}

// send sends an answer once the machine moves.
func (l *Incarnation) send(j *Attempt, a balance.Answer) {
	if l.stoodAt != 0 {
		l.queue = append(l.queue, heldBack{j, a})
		return
	}
	j.reply(a)
}

// drain tells the runner to leave. It is stopped later, and comes back cold.
func (r *runner) drain() {
	l, f, s := r.life, &r.s.day.Spec.Fleet, r.s
	if l == nil || l.drainAt != 0 {
		return
	}
	stop := millis(f.StopMs)
	l.drainAt = s.now()
	l.stopAt = l.drainAt + stop
	s.roster.Deregister(r.spec.Name)
	l.proc.Drain(stop)
	grace := min(millis(f.DrainMs)+spareTime, stop/2)
	l.after(grace, func() { l.left = true })
	var look func()
	look = func() {
		if l.owed() > 0 && s.now() < l.stopAt || !l.left {
			l.after(spareTime, look)
			return
		}
		l.unanswered("when it was stopped")
		l.machine.Kill("stopped")
		r.restart(seconds(f.RestartS.Lo))
	}
	look()
}

// owed is how many answers are.
func (l *Incarnation) owed() (n int) {
	for _, j := range l.jobs {
		if !j.answered && !j.told {
			n++
		}
	}
	return n
}

// unanswered enters what a process leaves unanswered.
func (l *Incarnation) unanswered(when string) {
	s := l.r.s
	for _, j := range inOrder(l.jobs, func(_ string, j *Attempt) *Attempt { return j }) {
		if j.answered || j.told {
			continue
		}
		if l.drainAt != 0 {
			s.book.AddViolation(ledger.Drain, s.now(), "%s left a request unanswered %s", l.r.spec.Name, when)
		} else {
			j.late("open")
		}
	}
}

// Died takes the end of the machine, whatever it was.
func (l *Incarnation) Died(why string) {
	r, s := l.r, l.r.s
	l.dead = true
	r.life = nil
	r.worked += l.machine.WorkDone()
	s.roster.Deregister(r.spec.Name)
	s.opt.Log(s.now(), r.spec.Name, "ended: "+why)
	if why != "killed" && why != "stopped" {
		s.book.AddViolation(ledger.RunnerCrash, s.now(), "%s: %s", r.spec.Name, why)
		f := s.day.Spec.Fleet.RestartS
		r.restart(seconds(f.Lo + (f.Hi-f.Lo)*day.Unit(s.day.Seed, "restart"+r.spec.Name, r.lives)))
	}
	for _, h := range l.queue { // what stood in the machine goes with it
		h.j.reply(balance.Answer{Kind: balance.Failed, AdvertisedValue: -1})
	}
	l.queue = nil
	for _, j := range inOrder(l.conns, func(j *Attempt, _ struct{}) *Attempt { return j }) {
		j.ConnectionBroke()
	}
	l.proc.Kill()
}

// settle forgets a job that is answered and of which nothing runs.
func (l *Incarnation) settle(j *Attempt) {
	if (j.answered || j.told) && !j.runs {
		delete(l.jobs, j.Name)
		delete(l.conns, j)
		l.proc.Forget(j)
	}
}

// Run starts a run on the engine. It is where the rules about running are checked, by other means
// than the runner's. It reports whether there is such a request, which is not over.
func (l *Incarnation) Run(name string) bool {
	s, j := l.r.s, l.jobs[name]
	if j == nil || l.dead || !j.runs && (j.answered || j.told) {
		return false
	}
	if j.runs {
		return true
	}
	class := &s.day.Spec.Classes[j.a.Class]
	if class.Effect != "safe" {
		if until, ran := l.ran[j.a.ID]; ran && (class.Effect == "unsafe" || j.came <= until) {
			s.book.AddViolation(ledger.Duplicate, s.now(), "%s ran a %s twice", l.r.spec.Name, class.Name)
		}
		l.ran[j.a.ID] = j.came + millis(class.WindowMs)
	}
	if over := j.came - l.drainAt - millis(s.day.Spec.Fleet.DrainMs) - spareTime; l.drainAt != 0 &&
		over > 0 {
		s.book.AddViolation(ledger.Drain, s.now(), "%s ran what came %d ms too late", l.r.spec.Name, over.Milliseconds())
	}
	j.runs = true
	l.machine.Run(dependencies.Work{ID: name, SizeKB: j.a.SizeKB, Parts: l.parts(j)})
	return true
}

// parts divides the work of a run by its calls. A cold runner calls more.
func (l *Incarnation) parts(j *Attempt) []float64 {
	d := l.r.s.day
	j.calls = append([]float64(nil), j.a.Calls...)
	if extra := l.r.spec.Spec.WarmUpCallFactor; extra > 0 && l.machine.IsWarmingUp() {
		for k := range j.a.Calls {
			if chance, work := d.CallExtra(j.a.ID, l.r.no, k); chance < extra {
				j.calls = append(j.calls, work)
			}
		}
	}
	parts := make([]float64, len(j.calls)+1)
	for i := range parts {
		parts[i] = j.a.Work / float64(len(parts))
	}
	return parts
}

// Resume lets a run go on behind its call, and reports whether there is such a request.
func (l *Incarnation) Resume(name string) bool {
	j := l.jobs[name]
	if j == nil || l.dead {
		return false
	}
	j.call++
	l.machine.Resume(name)
	return true
}

// Needs takes word from the machine that a run waits for a call.
func (l *Incarnation) Needs(id string) {
	if j := l.jobs[id]; j != nil {
		l.proc.Needs(j)
	}
}

// Ended takes word from the machine that a run is over.
func (l *Incarnation) Ended(id string, e dependencies.RunOutcome) {
	if j := l.jobs[id]; j != nil {
		j.runs = false
		l.proc.Ended(j, e)
		l.settle(j)
	}
}

// inOrder gives the jobs of a table in an order that is the same each time.
func inOrder[K comparable, V any](table map[K]V, of func(K, V) *Attempt) []*Attempt {
	out := make([]*Attempt, 0, len(table))
	for k, v := range table {
		out = append(out, of(k, v))
	}
	slices.SortFunc(out, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.came, b.came), cmp.Compare(a.a.ID, b.a.ID), cmp.Compare(a.t.Number, b.t.Number))
	})
	return out
}
