package admission

import "time"

const (
	// defaultIdleTimeout is the idle time after which a connection has cost the cores as much as a
	// new connection does.
	defaultIdleTimeout = 5 * time.Second
	// shortIdleTimeout applies if callers rarely return within defaultIdleTimeout.
	shortIdleTimeout = 200 * time.Millisecond
	// minReturningShare is the share of arrivals from returning callers below which callers count as
	// rarely returning.
	minReturningShare = 0.5
)

// updateIdleTimeout sets how long idle connections are kept. They are closed early if callers return
// too late to reuse them, since many callers would fill the connection table. While requests wait
// long to be read, a full table is better, because it prevents handshakes. The target is the longest
// delay target, in nanoseconds.
func (c *Controller) updateIdleTimeout(target float64) {
	timeout := defaultIdleTimeout
	switch {
	case c.settings.HandshakeCost > 0 && c.load.cpu < c.parameters.BusyCPU:
		timeout = c.settings.IdleConnectionTimeout // idle connections only use cores that are free
	case c.callers.returningShare < minReturningShare && c.arrivals.readDelay < target:
		timeout = shortIdleTimeout
	}
	if timeout = min(timeout, c.settings.IdleConnectionTimeout); timeout != c.idleTimeout {
		c.idleTimeout = timeout
		c.emit(Action{Kind: ActionCloseIdle, Duration: timeout})
	}
}
