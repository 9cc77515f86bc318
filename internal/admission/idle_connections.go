package admission

import "time"

const (
	// defaultIdleTimeout is the time after which an idle connection has cost the cores as much as a
	// new one.
	defaultIdleTimeout = 5 * time.Second
	// shortIdleTimeout applies where callers seldom return within defaultIdleTimeout.
	shortIdleTimeout = 200 * time.Millisecond
	// minReturningShare is the share of arrivals below which callers seldom return.
	minReturningShare = 0.5
)

// updateIdleTimeout sets how long idle connections are kept. They are closed soon where callers
// return too late to use them, since many callers would fill the connection table. Where requests
// wait long to be read a full table is better: it prevents handshakes. The target is the longest
// delay target, in nanoseconds.
func (c *Controller) updateIdleTimeout(target float64) {
	timeout := defaultIdleTimeout
	switch {
	case c.settings.HandshakeCost > 0 && c.load.cpu < c.parameters.BusyCPU:
		timeout = c.settings.IdleConnectionTimeout // idle connections only take cores that are free
	case c.callers.returningShare < minReturningShare && c.arrivals.readDelay < target:
		timeout = shortIdleTimeout
	}
	if timeout = min(timeout, c.settings.IdleConnectionTimeout); timeout != c.idleTimeout {
		c.idleTimeout = timeout
		c.emit(Action{Kind: ActionCloseIdle, Duration: timeout})
	}
}
