package app

import "time"

const (
	// drainPollInterval is the time between two checks whether the process can end.
	drainPollInterval = 20 * time.Millisecond
	// exitMargin is how long before its time limit a shutdown ends. At the limit of a drain the platform
	// kills the process.
	exitMargin = 150 * time.Millisecond
	// listenGrace is how long the listeners stay open after the time (Settings.DrainGrace) in which
	// requests that arrive during a drain are still run.
	listenGrace = 100 * time.Millisecond
)

// drain shuts down gracefully: requests that arrive late are rejected, all requests that were read are
// answered, then the program ends.
func (p *Program) drain() {
	if p.state.draining {
		return
	}
	if successor, ok := p.successor(); ok {
		p.retire(successor)
		return
	}
	p.state.draining = true
	p.markDraining()
	startedAt := p.loop.Now()
	stopTimeout := p.config.StopTimeout // fixed here: a HUP during the drain must not extend it
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
	p.exitWhen(startedAt, func(elapsed time.Duration) bool {
		idle := p.connections() == 0 && elapsed > grace && !p.platform.frontend.IsListening()
		return idle || elapsed > stopTimeout-exitMargin
	})
}

// drainFrontends closes the listeners, and each connection as soon as it has no open request.
func (p *Program) drainFrontends() {
	if p.state.listening {
		p.platform.frontend.Drain()
	}
	if p.uwsgi.frontend != nil {
		p.uwsgi.frontend.Drain()
	}
}

// exitWhen polls done with the time elapsed since startedAt, and ends the program once it returns true.
func (p *Program) exitWhen(startedAt time.Duration, done func(elapsed time.Duration) bool) {
	elapsed := p.loop.Now() - startedAt
	if done(elapsed) {
		p.exit(elapsed)
		return
	}
	p.loop.After(drainPollInterval, func() { p.exitWhen(startedAt, done) })
}

// exit ends the program: open connections are flushed and shut down, and the number of requests without
// an answer is logged, with how many of them wait for a run in another process. elapsed is the time
// since the shutdown began.
func (p *Program) exit(elapsed time.Duration) {
	p.platform.frontend.Close()
	requests := p.requests
	eventDrained.Log(elapsed.Milliseconds(), requests.OpenRequests(), requests.RemoteWaits(), requests.Stats())
	p.loop.Stop()
}
