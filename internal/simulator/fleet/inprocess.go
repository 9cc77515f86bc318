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

// inProcessRunner is a runner in this process: the real core with the real module, on the stage's clock.
type inProcessRunner struct {
	incarnation *Incarnation
	simulation  *Simulation
	manager     *lifecycle.Manager
	requests    map[string]*hostedRequest
	healthy     bool
}

// hostedRequest is what inside keeps of one job.
type hostedRequest struct {
	attempt *Attempt
	ticket  lifecycle.Ticket
	run     *lifecycle.Attempt
	call    *dependencyCall
}

type dependencyCall struct {
	backendCall *dependencies.Call
	timer       virtualclock.Timer
	startedAt   time.Duration
	ended       bool
}

// launchInProcess starts a runner in this process.
func launchInProcess(l *Incarnation, set admission.Settings) (Process, error) {
	s := l.runner.simulation
	p := &inProcessRunner{incarnation: l, simulation: s, requests: map[string]*hostedRequest{}, healthy: true}
	var err error
	p.manager, err = lifecycle.New(set, day.Mix(s.day.Seed, l.runner.spec.Name, l.runner.incarnations), lifecycle.Environment{
		Now:        s.clock.Now,
		Unix:       func() wallclock.UnixMicro { return s.unixOrigin.Add(s.now()) },
		After:      func(d time.Duration, fn func()) func() { return l.after(d, fn) },
		Measure:    func(fn func(lifecycle.Gauges)) { l.after(2*linkDelay, func() { fn(p.gauges()) }) },
		SetHealth:  func(_, good bool) { p.healthy = good },
		Advertise:  l.Advertise,
		CloseIdle:  func(time.Duration) {}, // connections are not modelled
		Route:      func(int) lifecycle.Runner { return engineLink{p} },
		Dependency: p,
		Log: func(e *logging.Event, values ...any) {
			s.options.Log(
				s.now(),
				l.runner.spec.Name,
				e.FormatLine(values...),
			)
		},
		KeyLimits: s.options.Limits,
	})
	if err != nil {
		return nil, err
	}
	p.manager.Start()
	return p, nil
}

// gauges are what the module is told of the machine.
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
func (p *inProcessRunner) Submit(j *Attempt) {
	h := &hostedRequest{attempt: j}
	p.requests[j.Name] = h
	tenant, _ := p.manager.Tenant(j.TenantName())
	q := &lifecycle.Request{
		ID:        j.Name,
		Class:     j.Class(),
		Tenant:    tenant,
		Caller:    j.Caller(),
		ArrivedAt: j.Arrived(),
		SizeKB:    j.SizeKB(),
		Rank:      j.Rank(),
		Key:       j.Key(),
		Body:      j.Body(),
		Responder: h,
	}
	h.ticket = p.manager.Submit(q)
}

// Answer implements lifecycle.Responder.
func (h *hostedRequest) Answer(a lifecycle.Answer) {
	switch a.Status {
	case lifecycle.Served:
		h.attempt.Answer(Answer{Status: Served})
	case lifecycle.Rejected:
		h.attempt.Answer(Answer{Status: Rejected, RetryAfter: a.RetryAfter.Truncate(time.Microsecond), DoNotRetry: a.DoNotRetry})
	default:
		h.attempt.Answer(Answer{Status: Failed})
	}
}

// Abandon implements Process.
func (p *inProcessRunner) Abandon(j *Attempt) { p.manager.Abandon(p.requests[j.Name].ticket) }

// Forget implements Process.
func (p *inProcessRunner) Forget(j *Attempt) { delete(p.requests, j.Name) }

// Check implements Process.
func (p *inProcessRunner) Check(_ int, done func(good bool)) { done(p.healthy) }

// Drain implements Process.
func (p *inProcessRunner) Drain(stop time.Duration) { p.manager.Drain(stop) }

// Kill implements Process. The back end hears the connections close.
func (p *inProcessRunner) Kill() {
	for _, j := range sortedAttempts(p.requests, func(_ string, h *hostedRequest) *Attempt { return h.attempt }) {
		if c := p.requests[j.Name].call; c != nil {
			c.cancel(p.simulation.backend)
		}
	}
}

// Needs implements Process.
func (p *inProcessRunner) Needs(j *Attempt) {
	p.incarnation.after(linkDelay, func() {
		if h := p.requests[j.Name]; h != nil && h.run != nil {
			p.manager.NeedsCall(h.run, []byte(j.Name))
		}
	})
}

// Ended implements Process.
func (p *inProcessRunner) Ended(j *Attempt, e dependencies.RunOutcome) {
	h := p.requests[j.Name] // it may be forgotten by then, and the core is still to hear of the end
	p.incarnation.after(linkDelay, func() {
		a := h.run
		h.run = nil
		if e == dependencies.RunSucceeded {
			p.manager.AttemptEnded(a, lifecycle.Succeeded, &lifecycle.Result{Status: 200})
		} else {
			p.manager.AttemptEnded(a, lifecycle.Canceled, nil)
		}
	})
}

// engineLink is the link to the machine's engine, as the core knows it.
type engineLink struct{ *inProcessRunner }

// Run implements lifecycle.Runner.
func (p engineLink) Run(a *lifecycle.Attempt) {
	h := p.requests[a.Request.ID]
	h.run = a
	p.incarnation.after(linkDelay, func() {
		if !p.incarnation.Run(h.attempt.Name) {
			h.run = nil
			p.manager.AttemptEnded(a, lifecycle.NotStarted, nil)
		}
	})
}

// Abandon implements lifecycle.Runner: the engine knows by itself that the request is over.
func (p engineLink) Abandon(*lifecycle.Attempt) {}

// Resume implements lifecycle.Resumer.
func (p engineLink) Resume(a *lifecycle.Attempt, _ []byte) {
	p.incarnation.after(linkDelay, func() { p.incarnation.Resume(a.Request.ID) })
}

var callOutcomes = map[dependencies.CallOutcome]lifecycle.Outcome{
	dependencies.CallSucceeded:   lifecycle.Succeeded,
	dependencies.CallRejected:    lifecycle.CallRejected,
	dependencies.CallUnreachable: lifecycle.Unreachable,
	dependencies.CallInterrupted: lifecycle.Interrupted,
}

// Call implements lifecycle.Dependency.
func (p *inProcessRunner) Call(a *lifecycle.Attempt, _ []byte, patience time.Duration) {
	s, h := p.simulation, p.requests[a.Request.ID]
	c := &dependencyCall{startedAt: s.clock.Now()}
	h.call = c
	finish := func(o lifecycle.Outcome) {
		if c.ended || p.incarnation.dead {
			return
		}
		c.ended, h.call = true, nil
		c.timer.Stop()
		p.manager.CallEnded(a, o, nil, s.clock.Now()-c.startedAt)
	}
	c.timer = s.clock.After(patience, func() {
		if !c.ended && c.backendCall != nil {
			s.backend.Cancel(c.backendCall)
		}
		finish(lifecycle.TimedOut)
	})
	work := h.attempt.CallWork()
	s.clock.After(backendDelay, func() {
		if !c.ended {
			c.backendCall = s.backend.Call(
				work,
				func(r dependencies.CallOutcome) { s.clock.After(backendDelay, func() { finish(callOutcomes[r]) }) },
			)
		}
	})
}

// CancelCall implements lifecycle.Dependency.
func (p *inProcessRunner) CancelCall(a *lifecycle.Attempt) {
	if h := p.requests[a.Request.ID]; h != nil && h.call != nil {
		h.call.cancel(p.simulation.backend)
		h.call = nil
	}
}

// cancel ends a call of which nothing is to be heard any more.
func (c *dependencyCall) cancel(b *dependencies.Backend) {
	c.ended = true
	c.timer.Stop()
	if c.backendCall != nil {
		b.Cancel(c.backendCall)
	}
}

// requestBody is the body of all tries of a request, which tells it from others.
func requestBody(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// attemptName is the id of a try: 16 hex digits.
func attemptName(n uint64) string { return strconv.FormatUint(1<<60|n, 16) }
