package fleet

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// inProcessRunner implements Process without sockets: it runs the program's own request lifecycle and
// admission on the clock of the simulation.
type inProcessRunner struct {
	incarnation *Incarnation
	simulation  *Simulation
	manager     *lifecycle.Manager
	requests    map[string]*hostedRequest // by Attempt.Name
	healthy     bool
}

// hostedRequest is the state of an attempt in an inProcessRunner.
type hostedRequest struct {
	attempt *Attempt
	ticket  lifecycle.Ticket
	run     *lifecycle.Attempt // nil: the request does not run
	call    *dependencyCall    // nil: no call is in progress
}

// dependencyCall is a call of a run to the back end.
type dependencyCall struct {
	backendCall *dependencies.Call // nil: the call has not arrived at the back end
	timer       virtualclock.Timer // of the call's timeout
	startedAt   time.Duration
	ended       bool
}

// launchInProcess implements Launch.
func launchInProcess(incarnation *Incarnation, settings admission.Settings) (Process, error) {
	s := incarnation.runner.simulation
	p := &inProcessRunner{incarnation: incarnation, simulation: s, requests: map[string]*hostedRequest{}, healthy: true}
	seed := day.Mix(s.day.Seed, incarnation.Name(), incarnation.runner.incarnations)
	var err error
	p.manager, err = lifecycle.New(settings, seed, lifecycle.Environment{
		Now:        s.clock.Now,
		Unix:       func() wallclock.UnixMicro { return s.unixOrigin.Add(s.now()) },
		After:      func(d time.Duration, fn func()) func() { return incarnation.after(d, fn).Stop },
		Measure:    func(fn func(lifecycle.Gauges)) { incarnation.after(2*linkDelay, func() { fn(p.gauges()) }) },
		SetHealth:  func(_, healthy bool) { p.healthy = healthy },
		Advertise:  incarnation.Advertise,
		CloseIdle:  func(time.Duration) {}, // connections are not modelled
		Route:      func(int) lifecycle.Runner { return engineLink{p} },
		Dependency: p,
		Log:        func(e *logging.Event, values ...any) { s.log(incarnation.runner, e.FormatLine(values...)) },
		KeyLimits:  s.options.Limits,
	})
	if err != nil {
		return nil, err
	}
	p.manager.Start()
	return p, nil
}

// gauges returns the measurements of the machine for the admission. All are unknown if the CPU use is NaN.
func (p *inProcessRunner) gauges() lifecycle.Gauges {
	g := p.incarnation.machine.Gauges()
	if math.IsNaN(g.CPU) {
		return lifecycle.UnknownGauges()
	}
	return lifecycle.Gauges{
		CPU:         g.CPU,
		Runnable:    g.Runnable,
		Memory:      g.Memory,
		Connections: float64(len(p.incarnation.connections)),
	}
}

// IsReady implements Process.
func (p *inProcessRunner) IsReady() bool { return true }

// Submit implements Process.
func (p *inProcessRunner) Submit(a *Attempt) {
	h := &hostedRequest{attempt: a}
	p.requests[a.Name] = h
	tenant, _ := p.manager.Tenant(a.TenantName())
	h.ticket = p.manager.Submit(&lifecycle.Request{
		ID:        a.Name,
		Class:     a.Class(),
		Tenant:    tenant,
		Caller:    a.Caller(),
		ArrivedAt: a.Arrived(),
		SizeKB:    a.SizeKB(),
		Rank:      a.Rank(),
		Key:       a.Key(),
		Body:      a.Body(),
		Responder: h,
	})
}

// Answer implements lifecycle.Responder.
func (h *hostedRequest) Answer(a lifecycle.Answer) {
	switch a.Status {
	case lifecycle.Served:
		h.attempt.Answer(Answer{Status: Served})
	case lifecycle.Rejected:
		retryAfter := a.RetryAfter.Truncate(virtualclock.Resolution)
		h.attempt.Answer(Answer{Status: Rejected, RetryAfter: retryAfter, DoNotRetry: a.DoNotRetry})
	default:
		h.attempt.Answer(Answer{Status: Failed})
	}
}

// Abandon implements Process.
func (p *inProcessRunner) Abandon(a *Attempt) { p.manager.Abandon(p.requests[a.Name].ticket) }

// Forget implements Process.
func (p *inProcessRunner) Forget(a *Attempt) { delete(p.requests, a.Name) }

// Check implements Process.
func (p *inProcessRunner) Check(_ int, done func(healthy bool)) { done(p.healthy) }

// Drain implements Process.
func (p *inProcessRunner) Drain(timeout time.Duration) { p.manager.Drain(timeout) }

// Kill implements Process. It cancels the runner's calls at the back end, as their connections break.
func (p *inProcessRunner) Kill() {
	for _, a := range sortedAttempts(p.requests, func(_ string, h *hostedRequest) *Attempt { return h.attempt }) {
		if c := p.requests[a.Name].call; c != nil {
			c.cancel(p.simulation.backend)
		}
	}
}

// Needs implements Process.
func (p *inProcessRunner) Needs(a *Attempt) {
	p.incarnation.after(linkDelay, func() {
		if h := p.requests[a.Name]; h != nil && h.run != nil {
			p.manager.NeedsCall(h.run, []byte(a.Name))
		}
	})
}

// Ended implements Process.
func (p *inProcessRunner) Ended(a *Attempt, outcome dependencies.RunOutcome) {
	h := p.requests[a.Name] // looked up now, as the attempt may be forgotten before the manager learns of the end
	p.incarnation.after(linkDelay, func() {
		run := h.run
		h.run = nil
		if outcome == dependencies.RunSucceeded {
			p.manager.AttemptEnded(run, lifecycle.Succeeded, &lifecycle.Result{Status: 200})
		} else {
			p.manager.AttemptEnded(run, lifecycle.Cancelled, nil)
		}
	})
}

// engineLink connects an inProcessRunner to the engine of its machine, with a delay of linkDelay.
type engineLink struct{ *inProcessRunner }

// Run implements lifecycle.Runner.
func (p engineLink) Run(run *lifecycle.Attempt) {
	h := p.requests[run.Request.ID]
	h.run = run
	p.incarnation.after(linkDelay, func() {
		if !p.incarnation.Run(h.attempt.Name) {
			h.run = nil
			p.manager.AttemptEnded(run, lifecycle.NotStarted, nil)
		}
	})
}

// Abandon implements lifecycle.Runner. It does nothing, as Attempt.abandon and Attempt.Answer stop the
// run on the engine.
func (p engineLink) Abandon(*lifecycle.Attempt) {}

// Resume implements lifecycle.Resumer.
func (p engineLink) Resume(run *lifecycle.Attempt, _ []byte) {
	p.incarnation.after(linkDelay, func() { p.incarnation.Resume(run.Request.ID) })
}

// callOutcomes maps the outcomes of calls at the back end to those of the request lifecycle.
var callOutcomes = map[dependencies.CallOutcome]lifecycle.Outcome{
	dependencies.CallSucceeded:   lifecycle.Succeeded,
	dependencies.CallRejected:    lifecycle.CallRejected,
	dependencies.CallUnreachable: lifecycle.Unreachable,
	dependencies.CallInterrupted: lifecycle.Interrupted,
}

// Call implements lifecycle.Dependency.
func (p *inProcessRunner) Call(run *lifecycle.Attempt, _ []byte, timeout time.Duration) {
	s := p.simulation
	h := p.requests[run.Request.ID]
	c := &dependencyCall{startedAt: s.clock.Now()}
	h.call = c
	end := func(outcome lifecycle.Outcome) {
		if c.ended || p.incarnation.dead {
			return
		}
		c.ended = true
		h.call = nil
		c.timer.Stop()
		p.manager.CallEnded(run, outcome, nil, s.clock.Now()-c.startedAt)
	}
	c.timer = s.clock.After(timeout, func() {
		if !c.ended && c.backendCall != nil {
			s.backend.Cancel(c.backendCall)
		}
		end(lifecycle.TimedOut)
	})
	work := h.attempt.CallWork()
	s.clock.After(backendDelay, func() {
		if c.ended {
			return
		}
		c.backendCall = s.backend.Call(work, func(outcome dependencies.CallOutcome) {
			s.clock.After(backendDelay, func() { end(callOutcomes[outcome]) })
		})
	})
}

// CancelCall implements lifecycle.Dependency.
func (p *inProcessRunner) CancelCall(run *lifecycle.Attempt) {
	if h := p.requests[run.Request.ID]; h != nil && h.call != nil {
		h.call.cancel(p.simulation.backend)
		h.call = nil
	}
}

// cancel cancels a call. Its outcome is not reported.
func (c *dependencyCall) cancel(b *dependencies.Backend) {
	c.ended = true
	c.timer.Stop()
	if c.backendCall != nil {
		b.Cancel(c.backendCall)
	}
}

// requestBody returns the body that all attempts of a request share. It is unique to the request.
func requestBody(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// attemptName returns the name of the n-th attempt: 16 hexadecimal digits.
func attemptName(n uint64) string { return strconv.FormatUint(1<<60|n, 16) }
