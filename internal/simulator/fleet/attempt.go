package fleet

import (
	"fmt"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/wallclock"
)

// Attempt is an attempt of a request at a runner, from its sending by the balancer to the answer.
type Attempt struct {
	Name         string // 16 hexadecimal digits; empty until the runner has read the request
	simulation   *Simulation
	balancer     *balancer
	sent         *balance.Attempt // the attempt as package balance knows it
	arrival      *day.Arrival
	runner       *runner
	incarnation  *Incarnation  // the incarnation that reads it; nil: it has not arrived, or was refused
	arrivedAt    time.Duration // time of its arrival at the machine, since the day began
	readAt       time.Duration // time at which the machine had read it, since the day began
	frozenBefore time.Duration // how long the machine had been frozen in all by readAt
	calls        []float64     // work of each call of its run
	callsDone    int
	running      bool
	answered     bool
	abandoned    bool // its balancer aborted it, and the runner has learned of that
}

// class returns the class of the request.
func (a *Attempt) class() *day.Class { return &a.simulation.day.Spec.Classes[a.arrival.Class] }

// isClosed reports whether the runner owes no answer: the attempt is answered or abandoned.
func (a *Attempt) isClosed() bool { return a.answered || a.abandoned }

// Class returns the index of the request's class.
func (a *Attempt) Class() int { return a.arrival.Class }

// ClassName returns the name of the request's class.
func (a *Attempt) ClassName() string { return a.class().Name }

// TenantName returns the name of the request's tenant.
func (a *Attempt) TenantName() string { return a.simulation.day.Spec.Tenants[a.arrival.Tenant].Name }

// Caller returns the number of the balancer that sent the attempt, counted from 1.
func (a *Attempt) Caller() uint32 { return uint32(a.balancer.index + 1) }

// Arrived returns the time at which the attempt arrived at the machine.
func (a *Attempt) Arrived() wallclock.UnixMicro { return a.simulation.unixOrigin.Add(a.arrivedAt) }

// SizeKB returns the memory that the request takes while it is queued.
func (a *Attempt) SizeKB() float64 { return a.arrival.SizeKB }

// Rank returns the rank of the request by priority weight, in [0, 1).
func (a *Attempt) Rank() float64 { return a.arrival.Rank }

// Body returns the body of the request, which is the same for all its attempts.
func (a *Attempt) Body() []byte { return requestBody(a.arrival.ID) }

// Key returns the idempotency key, or "" if requests of the class carry none.
func (a *Attempt) Key() string {
	if a.class().Effect != day.EffectKeyed {
		return ""
	}
	return fmt.Sprintf("%032x", a.arrival.ID)
}

// CallWork returns the work of the back-end call for which the run waits, or the mean work of a call if
// the run has none left.
func (a *Attempt) CallWork() float64 {
	if a.callsDone < len(a.calls) {
		return a.calls[a.callsDone]
	}
	return a.simulation.day.CallWork
}

// IsRunning reports whether a run of the attempt has started and not ended.
func (a *Attempt) IsRunning() bool { return a.running }

// arrive handles the arrival of the attempt at the runner's machine.
func (a *Attempt) arrive() {
	incarnation := a.runner.incarnation
	if incarnation == nil || incarnation.closed || !incarnation.process.IsReady() {
		a.answerBalancer(balance.Answer{Kind: balance.Unreachable, AdvertisedCredit: balance.NoCredit})
		return
	}
	a.incarnation = incarnation
	a.arrivedAt = a.simulation.now()
	if !incarnation.machine.Read(a.read) {
		a.incarnation = nil
		a.answerBalancer(balance.Answer{Kind: balance.Unreachable, AdvertisedCredit: balance.NoCredit})
		return
	}
	incarnation.connections[a] = struct{}{}
}

// read passes the request, which the machine has read, to the process of the runner.
func (a *Attempt) read() {
	incarnation, s := a.incarnation, a.simulation
	if incarnation.dead || a.abandoned {
		delete(incarnation.connections, a)
		return
	}
	s.attemptsRead++
	a.readAt = s.now()
	a.frozenBefore = incarnation.frozenTime()
	s.attemptsNamed++
	a.Name = attemptName(s.attemptsNamed)
	incarnation.attempts[a.Name] = a
	incarnation.machine.ReserveMemory(a.Name, a.arrival.SizeKB)
	incarnation.process.Submit(a)
}

// abandon tells the runner that the balancer no longer waits for the answer.
func (a *Attempt) abandon() {
	a.abandoned = true
	if a.incarnation == nil || a.incarnation.dead || a.Name == "" || a.answered {
		return
	}
	a.incarnation.machine.ReleaseMemory(a.Name)
	a.incarnation.process.Abandon(a)
	a.incarnation.machine.Stop(a.Name)
	a.incarnation.forgetIfDone(a)
}

// Answer sends the runner's answer to the balancer. A second answer to the same attempt is a violation.
func (a *Attempt) Answer(answer Answer) {
	incarnation := a.incarnation
	if a.answered {
		a.addViolation(ledger.Duplicate, "%s answered a request twice", incarnation.Name())
		return
	}
	a.answered = true
	incarnation.machine.ReleaseMemory(a.Name)
	incarnation.machine.Stop(a.Name)
	a.checkDeadline("answered")
	incarnation.forgetIfDone(a)
	out := balance.Answer{AdvertisedCredit: incarnation.advertised}
	switch answer.Status {
	case Served:
		out.Kind = balance.Served
	case Rejected:
		out.Kind = balance.Rejected
		out.RetryAfter = answer.RetryAfter
		out.DoNotRetry = answer.DoNotRetry
		a.simulation.account.CountRejection()
	default:
		out.Kind = balance.Failed
	}
	incarnation.sendAnswer(a, out)
}

// checkDeadline records a violation if the time limit for the answer has passed. The limit is the
// deadline, extended by the time that the machine was frozen since it read the request, plus a slack. A
// request that was read after its deadline must be answered at once.
func (a *Attempt) checkDeadline(state string) {
	class, s := a.class(), a.simulation
	deadline := max(a.arrivedAt+virtualclock.FromMillis(class.DeadlineMs), a.readAt)
	deadline += a.incarnation.frozenTime() - a.frozenBefore
	late := s.now() - deadline - virtualclock.FromMillis(s.day.Spec.Fleet.SlackMs) - measuringTolerance
	if late > 0 && !a.abandoned {
		a.addViolation(ledger.Lost, "%s: a request of class %s was %s %d ms past the time limit",
			a.runner.spec.Name, class.Name, state, late.Milliseconds())
	}
}

func (a *Attempt) addViolation(rule ledger.Rule, format string, v ...any) {
	a.simulation.account.AddViolation(rule, a.simulation.now(), format, v...)
}

// answerBalancer sends an answer to the balancer over the network. If a zone cut separates the two, the
// balancer sees a failed attempt after connectTimeout instead.
func (a *Attempt) answerBalancer(answer balance.Answer) {
	delay, arrives := a.simulation.networkDelay(a.runner.spec.Zone, a.balancer.zone)
	if !arrives {
		delay = connectTimeout
		answer = balance.Answer{Kind: balance.Failed, AdvertisedCredit: balance.NoCredit}
	}
	a.simulation.clock.After(delay, func() { a.deliver(answer) })
}

// deliver passes an answer to the balancer if it still waits for one.
func (a *Attempt) deliver(answer balance.Answer) {
	if a.balancer.attempts[a.sent] == a {
		delete(a.balancer.attempts, a.sent)
		a.balancer.policy.Answered(a.sent, answer)
	}
}

// ConnectionBroke reports that the connection broke. The balancer sees a failed attempt, unless the
// runner has answered.
func (a *Attempt) ConnectionBroke() {
	if !a.answered {
		a.answered = true
		a.answerBalancer(balance.Answer{Kind: balance.Failed, AdvertisedCredit: balance.NoCredit})
	}
}

// Unreachable reports that the runner refused the connection, which proves that the request did not run.
func (a *Attempt) Unreachable() {
	if !a.answered {
		a.answered = true
		a.incarnation.machine.ReleaseMemory(a.Name)
		a.incarnation.forgetIfDone(a)
		a.answerBalancer(balance.Answer{Kind: balance.Unreachable, AdvertisedCredit: balance.NoCredit})
	}
}

// Lost records as a violation that the connection ended without a complete answer or with a wrong one.
func (a *Attempt) Lost(why string) {
	if !a.answered {
		a.addViolation(ledger.Lost, "%s: a request of class %s: %s", a.runner.spec.Name, a.ClassName(), why)
		a.ConnectionBroke()
		a.incarnation.forgetIfDone(a)
	}
}
