// Package fleet is the simulator's model: it plays one day of a fleet in virtual time. Each runner is the real core with the
// real decision module, on a machine of package world; balancers are those of package balance. There is no second copy
// of any decision. A day depends on its draw and on nothing else.
package fleet

import (
	"fmt"
	"strconv"

	"shalesail"
	"shalesail/internal/core"
	"shalesail/internal/simulator/balance"
	"shalesail/internal/simulator/day"
	"shalesail/internal/simulator/ledger"
	"shalesail/internal/simulator/vtime"
	"shalesail/internal/simulator/world"
)

// Version names what the model does. Results of different versions are not compared.
const Version = 1

// Options are what may differ between two runs of one day.
type Options struct {
	Settings func(*shalesail.Settings) // changes what runners are told; nil: nothing
	Kinds    []day.BalancerKind        // of the balancers, in place of the scenario's, by place; nil: as they are
	Limits   core.Limits               // of the cores' tables
	Noise    uint64                    // another one draws balancers' choices anew, with the day as it was
	Log      func(at int64, runner, text string)
}

// Run is a day that was played.
type Run struct {
	*ledger.Result
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`     // first tries a second asked for
	Capacity float64 `json:"capacity"` // that the cores can do
	Events   uint64  `json:"events"`
	Read     int     `json:"read"` // tries that a runner read
}

// unixOrigin is the Unix time at which a day in virtual time begins; any will do.
const unixOrigin = 1_764_576_000_000_000

const (
	reportEvery  = 1_000_000 // of a runner to the roster
	loadEvery    = 500_000   // of measured loads to balancers
	loadNoise    = 0.1
	connectTime  = 1_000_000 // after which a connection that nobody takes is given up
	linkDelay    = 50        // between a runner and its engine
	backendDelay = 300       // between a runner and the back end, one way
	checkTime    = 1_000_000 // a health check that takes longer is bad
	spareTime    = 100_000   // of the rules' time limits, as on sockets (PROTOCOL grants 50 ms and the reading of answers)
)

// Stage is a day on which the parts of a fleet meet: machines, back end, roster, balancers, and runners behind Process.
type Stage struct {
	day        *day.Day
	opt        Options
	clock      vtime.Clock
	launch     Launch
	listens    bool // runners report to the roster by themselves
	origin     int64
	unixOrigin int64
	book       *ledger.Ledger
	back       *world.BackEnd
	roster     *world.Roster
	runners    []*runner
	balancers  []*balancer
	cut        int // hall that is cut off; -1: none
	read       int
	messages   uint64
	names      uint64
	closed     bool
}

// Play plays a day to its end, in virtual time, with runners in this process.
func Play(d *day.Day, opt Options) (*Run, error) {
	clock := vtime.New()
	s := NewStage(d, opt, clock, launchInside, false)
	if err := s.Start(); err != nil {
		return nil, err
	}
	s.Begin(unixOrigin)
	clock.RunUntil(clock.Now() + s.Lasts())
	r, err := s.Close()
	if err != nil {
		return nil, err
	}
	r.Events = clock.Played
	return r, nil
}

// NewStage sets up a day on a clock. Where runners listen, they report to the roster by themselves.
func NewStage(d *day.Day, opt Options, clock vtime.Clock, launch Launch, listens bool) *Stage {
	s := &Stage{day: d, opt: opt, clock: clock, launch: launch, listens: listens, cut: -1, origin: clock.Now()}
	if opt.Log == nil {
		s.opt.Log = func(int64, string, string) {}
	}
	s.openBook()
	s.back = world.NewBackEnd(s.clock, d.BackEnd)
	s.roster = world.NewRoster(s.clock)
	for i := range d.Runners {
		s.runners = append(s.runners, &runner{s: s, no: i, spec: &d.Runners[i]})
	}
	for i := range d.Balancers {
		s.balancers = append(s.balancers, s.newBalancer(i))
	}
	return s
}

// Start starts the runners.
func (s *Stage) Start() error {
	for _, r := range s.runners {
		if err := r.start(false); err != nil {
			return err
		}
	}
	return nil
}

// Ready tells whether all of them take requests.
func (s *Stage) Ready() bool {
	for _, r := range s.runners {
		if r.life == nil || !r.life.proc.Ready() {
			return false
		}
	}
	return true
}

// Begin begins the day at a Unix time.
func (s *Stage) Begin(unix int64) {
	s.origin, s.unixOrigin = s.clock.Now(), unix
	for _, r := range s.runners {
		for _, b := range s.balancers { // all know the fleet as the day begins
			b.b.Listed(r.no, true)
		}
	}
	s.askNext(0)
	s.reportLoads()
	for _, e := range s.day.Events {
		s.clock.After(e.At, func() { s.strike(e) })
	}
}

// Lasts is how long after its beginning the last request of the day is over.
func (s *Stage) Lasts() int64 {
	last := 0.0
	for _, c := range s.day.Spec.Classes {
		last = max(last, c.DeadlineMs)
	}
	return s.day.Length + int64((last+s.day.Spec.Fleet.SlackMs)*1000) + 2*connectTime
}

// Back is the back end that all share.
func (s *Stage) Back() *world.BackEnd { return s.back }

// Find finds a try that a runner has read, and the runner.
func (s *Stage) Find(name string) *Job {
	for _, r := range s.runners {
		if r.life != nil {
			if j := r.life.jobs[name]; j != nil {
				return j
			}
		}
	}
	return nil
}

// Life finds the runner of a name that is up.
func (s *Stage) Life(name string) *Life {
	for _, r := range s.runners {
		if r.spec.Name == name {
			return r.life
		}
	}
	return nil
}

func (s *Stage) openBook() {
	spec, d := s.day.Spec, s.day
	var classes []ledger.Class
	var tenants []string
	for _, c := range spec.Classes {
		classes = append(classes, ledger.Class{Name: c.Name, Aim: int64(c.AimMs * 1000), Deadline: int64(c.DeadlineMs * 1000),
			Worth: c.Worth, LateWorth: c.LateWorth})
	}
	for _, t := range spec.Tenants {
		tenants = append(tenants, t.Name)
	}
	g := spec.Goal
	s.book = ledger.New(classes, tenants, ledger.Goal{Whole: g.Whole, WorstWindow: g.WorstWindow, WorstClass: g.WorstClass,
		WorstTenant: g.WorstTenant, OverWorth: g.OverWorth, Waste: g.Waste, LateFail: g.LateFail,
		Window: int64(spec.WindowS * 1e6)}, d.Length)
}

// Close ends the day and closes the account.
func (s *Stage) Close() (*Run, error) {
	s.closed = true
	worked := 0.0
	for _, r := range s.runners {
		if worked += r.worked; r.life != nil {
			worked += r.life.machine.Worked()
			r.life.unanswered("at the end of the day")
		}
	}
	for range s.back.Falls {
		s.book.Break(ledger.BackEnd, s.now(), "the back end fell over")
	}
	res, err := s.book.Close(worked)
	if err != nil {
		return nil, fmt.Errorf("fleet: day %d: %w", s.day.Seed, err)
	}
	return &Run{Result: res, Seed: s.day.Seed, Rate: s.day.Rate, Capacity: s.day.Capacity, Read: s.read}, nil
}

// now is the time since the day began.
func (s *Stage) now() int64 { return s.clock.Now() - s.origin }

// askNext lets the client of the next first try ask.
func (s *Stage) askNext(i int) {
	if i == len(s.day.Arrivals) {
		return
	}
	a := &s.day.Arrivals[i]
	s.clock.After(a.At-s.now(), func() {
		s.book.Asked(a.ID, ledger.Ask{At: a.At, Class: a.Class, Tenant: a.Tenant, InShare: a.InShare, Work: a.Work + s.readWork()})
		s.balancers[a.Balancer].ask(a)
		s.askNext(i + 1)
	})
}

func (s *Stage) readWork() float64 { return s.day.Runners[0].Spec.ReadWork }

// delay is how long a message takes between halls, and whether it arrives at all.
func (s *Stage) delay(from, to int) (int64, bool) {
	if from != to && (from == s.cut || to == s.cut) {
		return 0, false
	}
	s.messages++
	d := s.day.Spec.Fleet.NearMs * 1000
	if from != to {
		d = s.day.CrossUs
	}
	return int64(d * (0.9 + 0.2*day.Unit(s.day.Seed^s.opt.Noise, "net", s.messages))), true
}

// strike begins a trouble and sees to its end.
func (s *Stage) strike(e day.Event) {
	each := func(do func(r *runner)) {
		for _, i := range e.Runners {
			do(s.runners[i])
		}
	}
	after := func(do func()) { s.clock.After(e.For, do) }
	switch e.Kind {
	case day.Crash:
		each(func(r *runner) {
			r.end("killed")
			r.restart(e.For)
		})
	case day.Slow:
		each(func(r *runner) { r.slow(e.Times) })
		after(func() { each(func(r *runner) { r.slow(1) }) })
	case day.Crawl:
		s.back.Slow(e.Times)
		after(func() { s.back.Slow(1) })
	case day.Pause:
		each(func(r *runner) { r.pause(true) })
		after(func() { each(func(r *runner) { r.pause(false) }) })
	case day.Drain:
		step := e.For / int64(max(len(e.Runners), 1))
		for k, i := range e.Runners {
			s.clock.After(int64(k)*step, s.runners[i].drain)
		}
	case day.CutHall:
		s.cut = e.Hall
		after(func() { s.cut = -1 })
	}
}

// reportLoads gives balancers that go by measured load what was measured, a little noisy.
func (s *Stage) reportLoads() {
	s.clock.After(loadEvery, s.reportLoads)
	for _, b := range s.balancers {
		if !b.told {
			continue
		}
		for _, r := range s.runners {
			if r.life != nil {
				n := day.Unit(s.day.Seed^s.opt.Noise, "load"+strconv.Itoa(r.no), uint64(s.now()))
				g := r.life.machine.Gauges()
				b.b.Report(r.no, (g.CPU+g.Runnable/float64(r.spec.Spec.Cores))*(1+loadNoise*(2*n-1)))
			}
		}
	}
}

// balancer puts one of package balance into the model.
type balancer struct {
	s     *Stage
	no    int
	hall  int
	told  bool
	b     *balance.Balancer
	open  map[uint64]*day.Arrival
	tries map[*balance.Try]*Job // what is out
	late  uint64
}

func (s *Stage) newBalancer(i int) *balancer {
	at := s.day.Balancers[i]
	kind := s.day.Spec.Balancers[at.Kind]
	if s.opt.Kinds != nil {
		kind = s.opt.Kinds[at.Kind]
	}
	b := &balancer{s: s, no: i, hall: at.Hall, told: kind.Choose == string(balance.Told), open: map[uint64]*day.Arrival{},
		tries: map[*balance.Try]*Job{}}
	seed := s.day.Seed ^ s.opt.Noise
	heeds := at.Heeds
	if s.opt.Kinds != nil { // the draw is the day's, the share may be another
		heeds = day.Unit(s.day.Seed, "heeds", uint64(i)) < kind.Heeds
	}
	draw := func(request uint64, no, what int) float64 {
		return day.Unit(seed, "choice", request<<24^uint64(no)<<14^uint64(what))
	}
	b.b = balance.New(uint64(i)+1, len(s.runners), kind.Habit(heeds), s.clock, b, draw)
	notice := s.day.Spec.Roster.NoticeS
	s.roster.Watch(func() int64 {
		b.late++
		u := day.Unit(s.day.Seed, "notice"+strconv.Itoa(i), b.late)
		return int64((notice.Lo + (notice.Hi-notice.Lo)*u) * 1e6)
	}, func(name string, listed bool) {
		for _, r := range s.runners {
			if r.spec.Name == name {
				b.b.Listed(r.no, listed)
			}
		}
	})
	return b
}

func (b *balancer) ask(a *day.Arrival) {
	class := &b.s.day.Spec.Classes[a.Class]
	b.open[a.ID] = a
	b.b.Submit(&balance.Request{ID: a.ID, Key: a.ID, Safe: class.Effect == "safe", Keyed: class.Effect == "keyed",
		Deadline: int64(class.DeadlineMs * 1000)})
}

// Send puts a try on the network.
func (b *balancer) Send(t *balance.Try) {
	s := b.s
	s.book.Try()
	r := s.runners[t.Server]
	j := &Job{s: s, b: b, t: t, a: b.open[t.Request.ID], r: r}
	b.tries[t] = j
	d, arrives := s.delay(b.hall, r.spec.Hall)
	if !arrives {
		s.clock.After(connectTime, func() { j.back(balance.Answer{Kind: balance.Unreachable, Pressure: -1}) })
		return
	}
	s.clock.After(d, j.arrive)
}

// Abort takes a try back. The runner hears of it late, or never.
func (b *balancer) Abort(t *balance.Try) {
	j := b.tries[t]
	delete(b.tries, t)
	if j == nil {
		return
	}
	f, u := &b.s.day.Spec.Fleet, day.Unit(b.s.day.Seed^b.s.opt.Noise, "gone", t.Request.ID<<8^uint64(t.No))
	if u < f.GoneLost {
		return
	}
	late := f.TellsGoneMs.Lo + (f.TellsGoneMs.Hi-f.TellsGoneMs.Lo)*u
	b.s.clock.After(int64(late*1000), j.gone)
}

// Check asks a runner how it is.
func (b *balancer) Check(i int) {
	r := b.s.runners[i]
	done := false
	tell := func(good bool) {
		if !done {
			done = true
			b.b.Checked(i, good)
		}
	}
	b.s.clock.After(checkTime, func() { tell(false) })
	d, arrives := b.s.delay(b.hall, r.spec.Hall)
	if !arrives {
		return
	}
	b.s.clock.After(d, func() {
		l := r.life
		if l == nil || l.left || !l.proc.Ready() {
			b.s.clock.After(d, func() { tell(false) })
			return
		}
		l.machine.Read(func() { // a check is read like a request
			l.proc.Check(b.no+1, func(good bool) { b.s.clock.After(d, func() { tell(good && !l.dead) }) })
		})
	})
}

var ends = map[balance.End]ledger.Cause{balance.EndServed: ledger.InAim, balance.EndRefused: ledger.Refused,
	balance.EndFailed: ledger.Failed, balance.EndTimedOut: ledger.TimedOut, balance.EndUnsent: ledger.Unsent}

// Finish ends a first try.
func (b *balancer) Finish(r *balance.Request, e balance.End, by *balance.Try) {
	a := b.open[r.ID]
	delete(b.open, r.ID)
	b.s.book.Ended(r.ID, ends[e], b.s.now()-a.At)
	if e == balance.EndServed {
		b.s.book.Useful(a.Work + b.s.readWork())
	}
}

// Status is how a runner answered.
type Status uint8

// The answers.
const (
	Served Status = iota + 1
	Refused
	Failed
)

// Answer is a runner's answer to a try.
type Answer struct {
	Status   Status
	ComeBack int64 // of Refused
	Last     bool  // of Refused
}

// Job is one try from its sending to its answer.
type Job struct {
	Name     string // of the try, once it was read: 16 hex digits
	s        *Stage
	b        *balancer
	t        *balance.Try
	a        *day.Arrival
	r        *runner
	l        *Life // the one that read it
	came     int64 // when it reached the machine
	readAt   int64 // when it was read
	stood    int64 // pauses of the machine before that
	calls    []float64
	call     int
	runs     bool
	answered bool
	told     bool // its balancer has given it up, and its runner knows
}

// Class is the number of its class.
func (j *Job) Class() int { return j.a.Class }

// ClassName is the name of its class.
func (j *Job) ClassName() string { return j.s.day.Spec.Classes[j.a.Class].Name }

// TenantName is the name of its tenant.
func (j *Job) TenantName() string { return j.s.day.Spec.Tenants[j.a.Tenant].Name }

// Caller is the number of its balancer, from 1.
func (j *Job) Caller() uint32 { return uint32(j.b.no + 1) }

// Arrived is the Unix time at which it reached the machine.
func (j *Job) Arrived() int64 { return j.s.unixOrigin + j.came }

// SizeKB is the memory that is booked while it is held.
func (j *Job) SizeKB() float64 { return j.a.SizeKB }

// Rank is its place by worth.
func (j *Job) Rank() float64 { return j.a.Rank }

// Body is the same for all tries of a request.
func (j *Job) Body() []byte { return bodyOf(j.a.ID) }

// Key is its dedupe key; empty where its class has none.
func (j *Job) Key() string {
	if j.s.day.Spec.Classes[j.a.Class].Effect != "keyed" {
		return ""
	}
	return fmt.Sprintf("%032x", j.a.ID)
}

// CallWork is the work of the call that its run waits for.
func (j *Job) CallWork() float64 {
	if j.call < len(j.calls) {
		return j.calls[j.call]
	}
	return j.s.day.CallWork
}

// Runs tells whether its run is under way.
func (j *Job) Runs() bool { return j.runs }

// arrive brings the try to its runner's machine.
func (j *Job) arrive() {
	l := j.r.life
	if l == nil || l.left || !l.proc.Ready() {
		j.reply(balance.Answer{Kind: balance.Unreachable, Pressure: -1})
		return
	}
	j.l, j.came = l, j.s.now()
	if !l.machine.Read(j.read) {
		j.l = nil
		j.reply(balance.Answer{Kind: balance.Unreachable, Pressure: -1})
		return
	}
	l.conns[j] = struct{}{}
}

// read hands the request to the runner.
func (j *Job) read() {
	l, s := j.l, j.s
	if l.dead || j.told {
		delete(l.conns, j)
		return
	}
	s.read++
	j.readAt, j.stood = s.now(), l.standing()
	s.names++
	j.Name = jobName(s.names)
	l.jobs[j.Name] = j
	l.machine.Hold(j.Name, j.a.SizeKB)
	l.proc.Submit(j)
}

// gone tells the runner that nobody waits.
func (j *Job) gone() {
	if j.told = true; j.l == nil || j.l.dead || j.Name == "" || j.answered {
		return
	}
	j.l.machine.Free(j.Name)
	j.l.proc.Abandon(j)
	j.l.machine.Stop(j.Name)
	j.l.settle(j)
}

// Answer takes the one final answer of the runner.
func (j *Job) Answer(a Answer) {
	l := j.l
	if j.answered {
		j.s.book.Break(ledger.Duplicate, j.s.now(), "%s answered a request twice", j.r.spec.Name)
		return
	}
	j.answered = true
	l.machine.Free(j.Name)
	l.machine.Stop(j.Name)
	j.late("answered")
	l.settle(j)
	out := balance.Answer{Pressure: l.pressure}
	switch a.Status {
	case Served:
		out.Kind = balance.Served
	case Refused:
		out.Kind, out.ComeBack, out.Last = balance.Refused, a.ComeBack, a.Last
		j.s.book.Refuse()
	default:
		out.Kind = balance.Failed
	}
	l.send(j, out)
}

// late enters a request that is past its due time without an answer. One that was read past it is owed one at once.
func (j *Job) late(what string) {
	class := &j.s.day.Spec.Classes[j.a.Class]
	due := max(j.came+int64(class.DeadlineMs*1000), j.readAt) + j.l.standing() - j.stood
	over := j.s.now() - due - int64(j.s.day.Spec.Fleet.SlackMs*1000) - spareTime
	if over > 0 && !j.told {
		j.s.book.Break(ledger.Lost, j.s.now(), "%s: a %s was %s %d ms past its due time", j.r.spec.Name, class.Name, what, over/1000)
	}
}

// reply sends an answer to the balancer.
func (j *Job) reply(a balance.Answer) {
	if d, arrives := j.s.delay(j.r.spec.Hall, j.b.hall); arrives {
		j.s.clock.After(d, func() { j.back(a) })
		return
	}
	j.s.clock.After(connectTime, func() { j.back(balance.Answer{Kind: balance.Failed, Pressure: -1}) })
}

// back hands an answer to the balancer, if it still waits for one.
func (j *Job) back(a balance.Answer) {
	if j.b.tries[j.t] == j {
		delete(j.b.tries, j.t)
		j.b.b.Answered(j.t, a)
	}
}

// Broke tells that the connection broke before there was an answer.
func (j *Job) Broke() {
	if !j.answered {
		j.answered = true
		j.reply(balance.Answer{Kind: balance.Failed, Pressure: -1})
	}
}

// Unreachable tells that the runner took no connection, which proves that nothing ran.
func (j *Job) Unreachable() {
	if !j.answered {
		j.answered = true
		j.l.machine.Free(j.Name)
		j.l.settle(j)
		j.reply(balance.Answer{Kind: balance.Unreachable, Pressure: -1})
	}
}

// Lose tells that the request is lost by the rules: its connection ended without a whole answer, or with a wrong one.
func (j *Job) Lose(why string) {
	if !j.answered {
		j.s.book.Break(ledger.Lost, j.s.now(), "%s: a %s: %s", j.r.spec.Name, j.ClassName(), why)
		j.Broke()
		j.l.settle(j)
	}
}

// StopMs is how long after the notice to leave a runner is stopped.
func (s *Stage) StopMs() float64 { return s.day.Spec.Fleet.StopMs }

// Over tells whether the day's traffic has come and each first try has ended.
func (s *Stage) Over() bool {
	if s.now() <= s.day.Length {
		return false
	}
	for _, b := range s.balancers {
		if len(b.open) > 0 {
			return false
		}
	}
	return true
}
