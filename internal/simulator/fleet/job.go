package fleet

import (
	"fmt"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/wallclock"
)

// Status is how a runner answered.
type Status uint8

// Answer is a runner's answer to a try.
type Answer struct {
	Status     Status
	RetryAfter time.Duration // of Refused
	DoNotRetry bool          // of Refused
}

// Attempt is one try from its sending to its answer.
type Attempt struct {
	Name     string // of the try, once it was read: 16 hex digits
	s        *Simulation
	b        *balancer
	t        *balance.Attempt
	a        *day.Arrival
	r        *runner
	l        *Incarnation  // the one that read it
	came     time.Duration // when it reached the machine
	readAt   time.Duration // when it was read
	stood    time.Duration // pauses of the machine before that
	calls    []float64
	call     int
	runs     bool
	answered bool
	told     bool // its balancer has given it up, and its runner knows
}

// Class is the number of its class.
func (j *Attempt) Class() int { return j.a.Class }

// ClassName is the name of its class.
func (j *Attempt) ClassName() string { return j.s.day.Spec.Classes[j.a.Class].Name }

// TenantName is the name of its tenant.
func (j *Attempt) TenantName() string { return j.s.day.Spec.Tenants[j.a.Tenant].Name }

// Caller is the number of its balancer, from 1.
func (j *Attempt) Caller() uint32 { return uint32(j.b.no + 1) }

// Arrived is the Unix time at which it reached the machine.
func (j *Attempt) Arrived() wallclock.UnixMicro { return j.s.unixOrigin.Add(j.came) }

// SizeKB is the memory that is booked while it is held.
func (j *Attempt) SizeKB() float64 { return j.a.SizeKB }

// Rank is its place by worth.
func (j *Attempt) Rank() float64 { return j.a.Rank }

// Body is the same for all tries of a request.
func (j *Attempt) Body() []byte { return bodyOf(j.a.ID) }

// Key is its dedupe key; empty where its class has none.
func (j *Attempt) Key() string {
	if j.s.day.Spec.Classes[j.a.Class].Effect != "keyed" {
		return ""
	}
	return fmt.Sprintf("%032x", j.a.ID)
}

// CallWork is the work of the call that its run waits for.
func (j *Attempt) CallWork() float64 {
	if j.call < len(j.calls) {
		return j.calls[j.call]
	}
	return j.s.day.CallWork
}

// IsRunning tells whether its run is under way.
func (j *Attempt) IsRunning() bool { return j.runs }

// arrive brings the try to its runner's machine.
func (j *Attempt) arrive() {
	l := j.r.life
	if l == nil || l.left || !l.proc.IsReady() {
		j.reply(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1})
		return
	}
	j.l, j.came = l, j.s.now()
	if !l.machine.Read(j.read) {
		j.l = nil
		j.reply(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1})
		return
	}
	l.conns[j] = struct{}{}
}

// read hands the request to the runner.
func (j *Attempt) read() {
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
	l.machine.ReserveMemory(j.Name, j.a.SizeKB)
	l.proc.Submit(j)
}

// gone tells the runner that nobody waits.
func (j *Attempt) gone() {
	if j.told = true; j.l == nil || j.l.dead || j.Name == "" || j.answered {
		return
	}
	j.l.machine.ReleaseMemory(j.Name)
	j.l.proc.Abandon(j)
	j.l.machine.Stop(j.Name)
	j.l.settle(j)
}

// Answer takes the one final answer of the runner.
func (j *Attempt) Answer(a Answer) {
	l := j.l
	if j.answered {
		j.s.book.AddViolation(ledger.Duplicate, j.s.now(), "%s answered a request twice", j.r.spec.Name)
		return
	}
	j.answered = true
	l.machine.ReleaseMemory(j.Name)
	l.machine.Stop(j.Name)
	j.late("answered")
	l.settle(j)
	out := balance.Answer{AdvertisedValue: l.pressure}
	switch a.Status {
	case Served:
		out.Kind = balance.Served
	case Rejected:
		out.Kind, out.RetryAfter, out.DoNotRetry = balance.Rejected, a.RetryAfter, a.DoNotRetry
		j.s.book.CountRejection()
	default:
		out.Kind = balance.Failed
	}
	l.send(j, out)
}

// late enters a request that is past its due time without an answer. One that was read past it is
// owed one at once.
func (j *Attempt) late(what string) {
	class := &j.s.day.Spec.Classes[j.a.Class]
	due := max(j.came+millis(class.DeadlineMs), j.readAt) + j.l.standing() - j.stood
	over := j.s.now() - due - millis(j.s.day.Spec.Fleet.SlackMs) - spareTime
	if over > 0 && !j.told {
		j.s.book.AddViolation(
			ledger.Lost,
			j.s.now(),
			"%s: a %s was %s %d ms past its due time",
			j.r.spec.Name,
			class.Name,
			what,
			over.Milliseconds(),
		)
	}
}

// reply sends an answer to the balancer.
func (j *Attempt) reply(a balance.Answer) {
	if d, arrives := j.s.delay(j.r.spec.Hall, j.b.hall); arrives {
		j.s.clock.After(d, func() { j.back(a) })
		return
	}
	j.s.clock.After(connectTime, func() { j.back(balance.Answer{Kind: balance.Failed, AdvertisedValue: -1}) })
}

// back hands an answer to the balancer, if it still waits for one.
func (j *Attempt) back(a balance.Answer) {
	if j.b.tries[j.t] == j {
		delete(j.b.tries, j.t)
		j.b.b.Answered(j.t, a)
	}
}

// ConnectionBroke tells that the connection broke before there was an answer.
func (j *Attempt) ConnectionBroke() {
	if !j.answered {
		j.answered = true
		j.reply(balance.Answer{Kind: balance.Failed, AdvertisedValue: -1})
	}
}

// Unreachable tells that the runner took no connection, which proves that nothing ran.
func (j *Attempt) Unreachable() {
	if !j.answered {
		j.answered = true
		j.l.machine.ReleaseMemory(j.Name)
		j.l.settle(j)
		j.reply(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1})
	}
}

// Lost tells that the request is lost by the rules: its connection ended without a whole answer, or
// with a wrong one.
func (j *Attempt) Lost(why string) {
	if !j.answered {
		j.s.book.AddViolation(ledger.Lost, j.s.now(), "%s: a %s: %s", j.r.spec.Name, j.ClassName(), why)
		j.ConnectionBroke()
		j.l.settle(j)
	}
}
