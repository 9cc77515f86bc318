package app

import (
	"fmt"
	"time"

	"ryepaddle/internal/config"
	"ryepaddle/internal/idempotency/reservation"
	"ryepaddle/internal/wallclock"
)

// Times of the shutdown of a process that another one replaces.
const (
	// maxRetirement is the longest time for which requests that were read may still run.
	maxRetirement = 3 * time.Second
	// retirementMargin is the additional time in which the last answers are sent.
	retirementMargin = 700 * time.Millisecond
	// retirementDrain is how long before the end the process begins to reject arriving requests.
	retirementDrain = time.Second
)

// retirementTime returns how long a process runs after it is replaced: the longest timeout of a class,
// but at most maxRetirement, plus retirementMargin.
func retirementTime(c *config.Platform) time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		if !class.Removed {
			longest = max(longest, class.Timeout)
		}
	}
	return min(longest, maxRetirement) + retirementMargin
}

// retire shuts down in favour of another process of this runner, the successor. Unlike a drain it does not send
// callers to other runners: requests that were read are answered, requests on open connections are
// served until retirementDrain before the end, and each connection is closed once it has no open
// request.
func (p *Program) retire(successor uint32) {
	p.state.draining = true
	p.markRetiring()
	startedAt := p.loop.Now()
	limit := retirementTime(p.config)
	p.state.retireBy = startedAt + limit
	if p.platform.registry != nil {
		p.platform.registry.Close()
	}
	if p.state.listening {
		p.platform.frontend.HandOver()
	}
	if p.uwsgi.frontend != nil {
		p.uwsgi.frontend.Drain()
	}
	eventReplaced.Log(p.requests.OpenRequests(), limit.Milliseconds(), reservation.FormatIncarnation(successor))
	p.loop.After(limit-retirementDrain, p.rejectArrivals)
	p.exitWhen(startedAt, func(elapsed time.Duration) bool {
		idle := p.connections() == 0 && p.requests.IsIdle() && !p.platform.frontend.IsListening()
		return idle || elapsed > limit-exitMargin
	})
}

// rejectArrivals makes a process that is replaced reject all requests that arrive from now on.
func (p *Program) rejectArrivals() {
	settings := p.processShare(p.config.Settings)
	settings.DrainGrace = 0
	if _, err := p.requests.Configure(settings); err != nil {
		eventReloadRejected.Log(fmt.Errorf("drain: %w", err))
	}
	p.requests.Drain(p.state.retireBy - p.loop.Now())
}

// onSuccessorDrains is called when this process is replaced and its successor is told to leave. The two
// count as one runner: what arrives later than the grace after that notice is not run here either.
func (p *Program) onSuccessorDrains(since wallclock.UnixMicro) {
	wait := max(since.Add(p.config.Settings.DrainGrace).Sub(p.loop.Unix()), 0)
	eventSuccessorDrains.Log(wait.Milliseconds())
	p.loop.After(wait, p.rejectArrivals)
}
