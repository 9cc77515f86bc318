package fleet

import (
	"fmt"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
)

// Status is how a runner answered.
type Status uint8

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

// late enters a request that is past its due time without an answer. One that was read past it is
// owed one at once.
func (j *Job) late(what string) {
	class := &j.s.day.Spec.Classes[j.a.Class]
	due := max(j.came+int64(class.DeadlineMs*1000), j.readAt) + j.l.standing() - j.stood
	over := j.s.now() - due - int64(j.s.day.Spec.Fleet.SlackMs*1000) - spareTime
	if over > 0 && !j.told {
		j.s.book.Break(
			ledger.Lost,
			j.s.now(),
			"%s: a %s was %s %d ms past its due time",
			j.r.spec.Name,
			class.Name,
			what,
			over/1000,
		)
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

// Lose tells that the request is lost by the rules: its connection ended without a whole answer, or
// with a wrong one.
func (j *Job) Lose(why string) {
	if !j.answered {
		j.s.book.Break(ledger.Lost, j.s.now(), "%s: a %s: %s", j.r.spec.Name, j.ClassName(), why)
		j.Broke()
		j.l.settle(j)
	}
}
