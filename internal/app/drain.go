package app

import "time"

const (
	drainPollInterval = 20 * time.Millisecond // between looks whether the process can end
	// from the end of the process to the time at which it is killed
	exitMargin = 150 * time.Millisecond
	// listenGrace is from the end of the time in which a drain answers what arrives late to the
	// time when the listeners are closed.
	listenGrace = 100 * time.Millisecond
)

// drain shuts down gracefully: late requests are rejected, all requests that were read are
// answered, then the program ends.
func (p *Program) drain() {
	if p.state.draining {
		return
	}
	if p.isReplaced() {
		p.retire()
		return
	}
	p.state.draining = true
	// a HUP during the drain does not move the time at which the process is killed
	began, stopTimeout := p.loop.Now(), p.config.StopTimeout
	eventDrainStarted.Log(p.requests.OpenRequests())
	p.requests.Drain(stopTimeout)
	if p.peers != nil {
		p.peers.Leases().ReleaseAll()
	}
	if p.platform.registry != nil {
		p.platform.registry.SetAvailable(false)
	}
	grace := min(p.config.Settings.DrainGrace+listenGrace, stopTimeout/2)
	p.loop.After(grace, p.drainFrontends)
	p.exitWhen(began, func(elapsed time.Duration) bool {
		idle := p.connections() == 0 && elapsed > grace && !p.platform.frontend.IsListening()
		return idle || elapsed > stopTimeout-exitMargin
	})
}

// drainFrontends closes the listeners, and each connection once it has no open request.
func (p *Program) drainFrontends() {
	if p.state.listening {
		p.platform.frontend.Drain()
	}
	if p.uwsgi.frontend != nil {
		p.uwsgi.frontend.Drain()
	}
}

// exitWhen ends the program once done reports true for the time since it began to leave.
func (p *Program) exitWhen(began time.Duration, done func(elapsed time.Duration) bool) {
	elapsed := p.loop.Now() - began
	if done(elapsed) {
		p.exit(elapsed)
		return
	}
	p.loop.After(drainPollInterval, func() { p.exitWhen(began, done) })
}

// exit ends the program, elapsed after the notice: open connections are shut down in order, and
// requests without an answer are logged.
func (p *Program) exit(elapsed time.Duration) {
	p.platform.frontend.Close()
	eventDrained.Log(elapsed.Milliseconds(), p.requests.OpenRequests(), p.requests.Stats())
	p.loop.Stop()
}
