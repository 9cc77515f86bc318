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

// inside is a runner in this process: the real core with the real module, on the stage's clock.
type inside struct {
	l    *Incarnation
	s    *Simulation
	core *lifecycle.Manager
	runs map[string]*hosted
	good bool
}

// hosted is what inside keeps of one job.
type hosted struct {
	j       *Attempt
	ticket  lifecycle.Ticket
	attempt *lifecycle.Attempt
	call    *call
}

type call struct {
	out   *dependencies.Call
	timer virtualclock.Timer
	began time.Duration
	over  bool
}

// launchInside starts a runner in this process.
func launchInside(l *Incarnation, set admission.Settings) (Process, error) {
	s := l.r.s
	p := &inside{l: l, s: s, runs: map[string]*hosted{}, good: true}
	var err error
	p.core, err = lifecycle.New(set, day.Mix(s.day.Seed, l.r.spec.Name, l.r.lives), lifecycle.Environment{
		Now:        s.clock.Now,
		Unix:       func() wallclock.UnixMicro { return s.unixOrigin.Add(s.now()) },
		After:      func(d time.Duration, fn func()) func() { return l.after(d, fn) },
		Measure:    func(fn func(lifecycle.Gauges)) { l.after(2*linkDelay, func() { fn(p.gauges()) }) },
		SetHealth:  func(_, good bool) { p.good = good },
		Advertise:  l.Advertise,
		CloseIdle:  func(time.Duration) {}, // connections are not modelled
		Route:      func(int) lifecycle.Runner { return engine{p} },
		Dependency: p,
		Log: func(e *logging.Event, values ...any) {
			s.opt.Log(
				s.now(),
				l.r.spec.Name,
				e.FormatLine(values...),
			)
		},
		KeyLimits: s.opt.Limits,
	})
	if err != nil {
		return nil, err
	}
	p.core.Start()
	return p, nil
}

// gauges are what the module is told of the machine.
func (p *inside) gauges() lifecycle.Gauges {
	g := p.l.machine.Gauges()
	if math.IsNaN(g.CPU) {
		return lifecycle.UnknownGauges()
	}
	return lifecycle.Gauges{
		CPU:         g.CPU,
		Runnable:    g.Runnable,
		Memory:      g.Memory,
		Connections: float64(len(p.l.conns)),
	}
}

// IsReady implements Process.
func (p *inside) IsReady() bool { return true }

// Submit implements Process.
func (p *inside) Submit(j *Attempt) {
	h := &hosted{j: j}
	p.runs[j.Name] = h
	tenant, _ := p.core.Tenant(j.TenantName())
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
	h.ticket = p.core.Submit(q)
}

// Answer implements lifecycle.Responder.
func (h *hosted) Answer(a lifecycle.Answer) {
	switch a.Status {
	case lifecycle.Served:
		h.j.Answer(Answer{Status: Served})
	case lifecycle.Rejected:
		h.j.Answer(Answer{Status: Rejected, RetryAfter: a.RetryAfter.Truncate(time.Microsecond), DoNotRetry: a.DoNotRetry})
	default:
		h.j.Answer(Answer{Status: Failed})
	}
}

// Abandon implements Process.
func (p *inside) Abandon(j *Attempt) { p.core.Abandon(p.runs[j.Name].ticket) }

// Forget implements Process.
func (p *inside) Forget(j *Attempt) { delete(p.runs, j.Name) }

// Check implements Process.
func (p *inside) Check(_ int, done func(good bool)) { done(p.good) }

// Drain implements Process.
func (p *inside) Drain(stop time.Duration) { p.core.Drain(stop) }

// Kill implements Process. The back end hears the connections close.
func (p *inside) Kill() {
	for _, j := range inOrder(p.runs, func(_ string, h *hosted) *Attempt { return h.j }) {
		if c := p.runs[j.Name].call; c != nil {
			c.drop(p.s.back)
		}
	}
}

// Needs implements Process.
func (p *inside) Needs(j *Attempt) {
	p.l.after(linkDelay, func() {
		if h := p.runs[j.Name]; h != nil && h.attempt != nil {
			p.core.NeedsCall(h.attempt, []byte(j.Name))
		}
	})
}

// Ended implements Process.
func (p *inside) Ended(j *Attempt, e dependencies.RunOutcome) {
	h := p.runs[j.Name] // it may be forgotten by then, and the core is still to hear of the end
	p.l.after(linkDelay, func() {
		a := h.attempt
		h.attempt = nil
		if e == dependencies.RunSucceeded {
			p.core.AttemptEnded(a, lifecycle.Succeeded, &lifecycle.Result{Status: 200})
		} else {
			p.core.AttemptEnded(a, lifecycle.Canceled, nil)
		}
	})
}

// engine is the link to the machine's engine, as the core knows it.
type engine struct{ *inside }

// Run implements lifecycle.Runner.
func (p engine) Run(a *lifecycle.Attempt) {
	h := p.runs[a.Request.ID]
	h.attempt = a
	p.l.after(linkDelay, func() {
		if !p.l.Run(h.j.Name) {
			h.attempt = nil
			p.core.AttemptEnded(a, lifecycle.NotStarted, nil)
		}
	})
}

// Abandon implements lifecycle.Runner: the engine knows by itself that the request is over.
func (p engine) Abandon(*lifecycle.Attempt) {}

// Resume implements lifecycle.Resumer.
func (p engine) Resume(a *lifecycle.Attempt, _ []byte) {
	p.l.after(linkDelay, func() { p.l.Resume(a.Request.ID) })
}

var replies = map[dependencies.CallOutcome]lifecycle.Outcome{
	dependencies.CallSucceeded:   lifecycle.Succeeded,
	dependencies.CallRejected:    lifecycle.CallRejected,
	dependencies.CallUnreachable: lifecycle.Unreachable,
	dependencies.CallInterrupted: lifecycle.Interrupted,
}

// Call implements lifecycle.Dependency.
func (p *inside) Call(a *lifecycle.Attempt, _ []byte, patience time.Duration) {
	s, h := p.s, p.runs[a.Request.ID]
	c := &call{began: s.clock.Now()}
	h.call = c
	finish := func(o lifecycle.Outcome) {
		if c.over || p.l.dead {
			return
		}
		c.over, h.call = true, nil
		c.timer.Stop()
		p.core.CallEnded(a, o, nil, s.clock.Now()-c.began)
	}
	c.timer = s.clock.After(patience, func() {
		if !c.over && c.out != nil {
			s.back.Cancel(c.out)
		}
		finish(lifecycle.TimedOut)
	})
	work := h.j.CallWork()
	s.clock.After(backendDelay, func() {
		if !c.over {
			c.out = s.back.Call(
				work,
				func(r dependencies.CallOutcome) { s.clock.After(backendDelay, func() { finish(replies[r]) }) },
			)
		}
	})
}

// CancelCall implements lifecycle.Dependency.
func (p *inside) CancelCall(a *lifecycle.Attempt) {
	if h := p.runs[a.Request.ID]; h != nil && h.call != nil {
		h.call.drop(p.s.back)
		h.call = nil
	}
}

// drop ends a call of which nothing is to be heard any more.
func (c *call) drop(b *dependencies.Backend) {
	c.over = true
	c.timer.Stop()
	if c.out != nil {
		b.Cancel(c.out)
	}
}

// bodyOf is the body of all tries of a request, which tells it from others.
func bodyOf(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// jobName is the id of a try: 16 hex digits.
func jobName(n uint64) string { return strconv.FormatUint(1<<60|n, 16) }
