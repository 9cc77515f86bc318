package app

import (
	"fmt"
	"time"

	"ryepaddle/internal/config"
)

// A process that is replaced ends the longest deadline after the notice, or maxRetirement if that
// is shorter, and retirementMargin. For the last retirementDrain it rejects what still arrives.
const (
	maxRetirement    = 3 * time.Second
	retirementMargin = 700 * time.Millisecond
	retirementDrain  = time.Second
)

// retirementTime is for how long a process lives once it is replaced.
func retirementTime(c *config.Platform) time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		if !class.Removed {
			longest = max(longest, class.Timeout)
		}
	}
	return min(longest, maxRetirement) + retirementMargin
}

// retire leaves service to another process of the runner. Unlike a drain it does not send callers
// to other runners: requests that were read are answered, requests on open connections are served
// until the time runs out, and each connection is closed once it has no open request.
func (p *Program) retire() {
	p.state.draining = true
	began, limit := p.loop.Now(), retirementTime(p.config)
	if p.platform.registry != nil {
		p.platform.registry.Close()
	}
	if p.state.listening {
		p.platform.frontend.HandOver()
	}
	if p.uwsgi.frontend != nil {
		p.uwsgi.frontend.Drain()
	}
	eventReplaced.Log(p.requests.OpenRequests(), limit.Milliseconds())
	p.loop.After(limit-retirementDrain, p.drainRetired)
	p.exitWhen(began, func(elapsed time.Duration) bool {
		idle := p.connections() == 0 && p.requests.IsIdle() && !p.platform.frontend.IsListening()
		return idle || elapsed > limit-exitMargin
	})
}

// drainRetired rejects, from now on, what arrives at a process that is replaced.
func (p *Program) drainRetired() {
	settings := p.processShare(p.config.Settings)
	settings.DrainGrace = 0
	if _, err := p.requests.Configure(settings); err != nil {
		eventReloadRejected.Log(fmt.Errorf("drain: %w", err))
	}
	p.requests.Drain(retirementDrain)
}
