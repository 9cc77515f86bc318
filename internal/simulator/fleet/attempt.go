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
	Name         string // of the try, once it was read: 16 hex digits
	simulation   *Simulation
	balancer     *balancer
	sent         *balance.Attempt
	arrival      *day.Arrival
	runner       *runner
	incarnation  *Incarnation  // the one that read it
	arrivedAt    time.Duration // when it reached the machine
	readAt       time.Duration // when it was read
	frozenBefore time.Duration // pauses of the machine before that
	calls        []float64
	callsDone    int
	running      bool
	answered     bool
	abandoned    bool // its balancer has given it up, and its runner knows
}

// Class is the number of its class.
func (j *Attempt) Class() int { return j.arrival.Class }

// ClassName is the name of its class.
func (j *Attempt) ClassName() string { return j.simulation.day.Spec.Classes[j.arrival.Class].Name }

// TenantName is the name of its tenant.
func (j *Attempt) TenantName() string { return j.simulation.day.Spec.Tenants[j.arrival.Tenant].Name }

// Caller is the number of its balancer, from 1.
func (j *Attempt) Caller() uint32 { return uint32(j.balancer.index + 1) }

// Arrived is the Unix time at which it reached the machine.
func (j *Attempt) Arrived() wallclock.UnixMicro { return j.simulation.unixOrigin.Add(j.arrivedAt) }

// SizeKB is the memory that is booked while it is held.
func (j *Attempt) SizeKB() float64 { return j.arrival.SizeKB }

// Rank is its place by worth.
func (j *Attempt) Rank() float64 { return j.arrival.Rank }

// Body is the same for all tries of a request.
func (j *Attempt) Body() []byte { return requestBody(j.arrival.ID) }

// Key is its dedupe key; empty where its class has none.
func (j *Attempt) Key() string {
	if j.simulation.day.Spec.Classes[j.arrival.Class].Effect != "keyed" {
		return ""
	}
	return fmt.Sprintf("%032x", j.arrival.ID)
}

// CallWork is the work of the call that its run waits for.
func (j *Attempt) CallWork() float64 {
	if j.callsDone < len(j.calls) {
		return j.calls[j.callsDone]
	}
	return j.simulation.day.CallWork
}

// IsRunning tells whether its run is under way.
func (j *Attempt) IsRunning() bool { return j.running }

// arrive brings the try to its runner's machine.
func (j *Attempt) arrive() {
	l := j.runner.incarnation
	if l == nil || l.closed || !l.process.IsReady() {
		j.answerBalancer(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1})
		return
	}
	j.incarnation, j.arrivedAt = l, j.simulation.now()
	if !l.machine.Read(j.read) {
		j.incarnation = nil
		j.answerBalancer(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1})
		return
	}
	l.connections[j] = struct{}{}
}

// attemptsRead hands the request to the runner.
func (j *Attempt) read() {
	l, s := j.incarnation, j.simulation
	if l.dead || j.abandoned {
		delete(l.connections, j)
		return
	}
	s.attemptsRead++
	j.readAt, j.frozenBefore = s.now(), l.frozenTime()
	s.attemptsNamed++
	j.Name = attemptName(s.attemptsNamed)
	l.attempts[j.Name] = j
	l.machine.ReserveMemory(j.Name, j.arrival.SizeKB)
	l.process.Submit(j)
}

// abandon tells the runner that nobody waits.
func (j *Attempt) abandon() {
	if j.abandoned = true; j.incarnation == nil || j.incarnation.dead || j.Name == "" || j.answered {
		return
	}
	j.incarnation.machine.ReleaseMemory(j.Name)
	j.incarnation.process.Abandon(j)
	j.incarnation.machine.Stop(j.Name)
	j.incarnation.forgetIfDone(j)
}

// Answer takes the one final answer of the runner.
func (j *Attempt) Answer(a Answer) {
	l := j.incarnation
	if j.answered {
		j.simulation.account.AddViolation(ledger.Duplicate, j.simulation.now(), "%s answered a request twice", j.runner.spec.Name)
		return
	}
	j.answered = true
	l.machine.ReleaseMemory(j.Name)
	l.machine.Stop(j.Name)
	j.checkDeadline("answered")
	l.forgetIfDone(j)
	out := balance.Answer{AdvertisedValue: l.advertised}
	switch a.Status {
	case Served:
		out.Kind = balance.Served
	case Rejected:
		out.Kind, out.RetryAfter, out.DoNotRetry = balance.Rejected, a.RetryAfter, a.DoNotRetry
		j.simulation.account.CountRejection()
	default:
		out.Kind = balance.Failed
	}
	l.sendAnswer(j, out)
}

// checkDeadline enters a request that is past its due time without an answer. One that was read past it is
// owed one at once.
func (j *Attempt) checkDeadline(what string) {
	class := &j.simulation.day.Spec.Classes[j.arrival.Class]
	due := max(j.arrivedAt+millis(class.DeadlineMs), j.readAt) + j.incarnation.frozenTime() - j.frozenBefore
	over := j.simulation.now() - due - millis(j.simulation.day.Spec.Fleet.SlackMs) - measuringTolerance
	if over > 0 && !j.abandoned {
		j.simulation.account.AddViolation(
			ledger.Lost,
			j.simulation.now(),
			"%s: a %s was %s %d ms past its due time",
			j.runner.spec.Name,
			class.Name,
			what,
			over.Milliseconds(),
		)
	}
}

// answerBalancer sends an answer to the balancer.
func (j *Attempt) answerBalancer(a balance.Answer) {
	if d, arrives := j.simulation.networkDelay(j.runner.spec.Hall, j.balancer.zone); arrives {
		j.simulation.clock.After(d, func() { j.deliver(a) })
		return
	}
	j.simulation.clock.After(connectTimeout, func() { j.deliver(balance.Answer{Kind: balance.Failed, AdvertisedValue: -1}) })
}

// backend hands an answer to the balancer, if it still waits for one.
func (j *Attempt) deliver(a balance.Answer) {
	if j.balancer.attempts[j.sent] == j {
		delete(j.balancer.attempts, j.sent)
		j.balancer.policy.Answered(j.sent, a)
	}
}

// ConnectionBroke tells that the connection broke before there was an answer.
func (j *Attempt) ConnectionBroke() {
	if !j.answered {
		j.answered = true
		j.answerBalancer(balance.Answer{Kind: balance.Failed, AdvertisedValue: -1})
	}
}

// Unreachable tells that the runner took no connection, which proves that nothing ran.
func (j *Attempt) Unreachable() {
	if !j.answered {
		j.answered = true
		j.incarnation.machine.ReleaseMemory(j.Name)
		j.incarnation.forgetIfDone(j)
		j.answerBalancer(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1})
	}
}

// Lost tells that the request is lost by the rules: its connection ended without a whole answer, or
// with a wrong one.
func (j *Attempt) Lost(why string) {
	if !j.answered {
		j.simulation.account.AddViolation(ledger.Lost, j.simulation.now(), "%s: a %s: %s", j.runner.spec.Name, j.ClassName(), why)
		j.ConnectionBroke()
		j.incarnation.forgetIfDone(j)
	}
}
