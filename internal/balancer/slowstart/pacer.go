// Package slowstart limits what one of several independent processes sends to a server that is
// warming up, so that the sum over all processes stays within what the server is to get. It does no
// I/O: package picker reports what was sent, passes the time, and asks whether one more request may
// go.
//
// A request needs one permit from each of two token buckets: one earns by what warm servers are
// sent, the other by the clock. Whole permits are spent and the fraction stays. The caller draws the
// initial fractions at random, so that processes that each have a third of a permit do not all
// round it up. Permits expire soon: what many processes had saved up would go out at once.
package slowstart

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// Config holds what all processes together may send a server that is warming up.
type Config struct {
	// InitialRequests is how many requests per Window the server gets at first; 0: no bound by the
	// clock, only by what warm servers are sent.
	InitialRequests float64
	Window          time.Duration // default 1 s
	Processes       int           // that share InitialRequests; default 30
}

const (
	defaultWindow    = time.Second
	defaultProcesses = 30

	// expiryDivisor: a whole permit of the clock's bucket expires after Window/expiryDivisor.
	expiryDivisor = 20

	// utilization is the part of InitialRequests that is given out. Processes that do not
	// coordinate send at random times: the rest keeps the sum, plus two standard deviations, below
	// InitialRequests.
	utilization = 0.85
)

// DefaultConfig returns a configuration that bounds a server only by what warm servers are sent.
func DefaultConfig() Config { return Config{Window: defaultWindow, Processes: defaultProcesses} }

// permitRate returns how many permits per microsecond the clock earns one process, once the share
// of the server has grown by the factor growth since its start.
func (c *Config) permitRate(growth float64) float64 {
	window := latency.Micros(latency.AtLeastOneMicrosecond(c.Window))
	return utilization * c.InitialRequests * growth / float64(max(c.Processes, 1)) / window
}

// Pacer holds the permits of one process for one server. It is used by one goroutine.
type Pacer struct {
	peerPermits    float64
	clockPermits   float64
	clockAt        time.Duration // monotonic; up to when clockPermits has earned
	newestPermitAt time.Duration // monotonic; when clockPermits got its newest whole permit
}

// Reset begins a new slow start at the monotonic time now, with fractions of a permit between 0 and
// 1 that the caller has drawn.
func (p *Pacer) Reset(peerFraction, clockFraction float64, now time.Duration) {
	*p = Pacer{peerPermits: peerFraction, clockPermits: clockFraction, clockAt: now, newestPermitAt: now}
}

// PeerSent earns the share of a permit that a request to a warm server is worth: the weight of this
// server by the sum of the weights of all warm servers.
func (p *Pacer) PeerSent(share float64) { p.peerPermits = min(p.peerPermits+share, 1) }

// HasPeerPermit reports whether the requests to warm servers have earned a permit.
func (p *Pacer) HasPeerPermit() bool { return p.peerPermits >= 1 }

// ForfeitPeerPermits drops the permits earned by requests to warm servers. It is called when a
// request that could have gone to the server went to a better one.
func (p *Pacer) ForfeitPeerPermits() { p.peerPermits = 0 }

// HasClockPermit reports whether the clock has earned a permit by the monotonic time now, with a
// share that has grown by the factor growth since the start.
func (p *Pacer) HasClockPermit(cfg *Config, growth float64, now time.Duration) bool {
	if cfg.InitialRequests == 0 {
		return true
	}
	p.earn(cfg, cfg.permitRate(growth), now)
	return p.clockPermits >= 1
}

// earn adds the permits of the time that has passed, at a rate per microsecond, and drops those
// that have expired.
func (p *Pacer) earn(cfg *Config, rate float64, now time.Duration) {
	expiry := max(latency.Micros(cfg.Window)/expiryDivisor, 1)
	p.clockPermits += rate * latency.Micros(max(now-p.clockAt, 0))
	p.clockAt = max(p.clockAt, now)
	whole, fraction := math.Modf(p.clockPermits)
	if whole < 1 {
		return
	}
	sinceWhole := latency.FromMicros(min(fraction/rate, latency.Micros(now)))
	p.newestPermitAt = max(p.newestPermitAt, now-sinceWhole)
	if latency.Micros(now-p.newestPermitAt) > expiry {
		whole = 0
	}
	p.clockPermits = min(whole, max(math.Floor(rate*expiry), 1)) + fraction
}

// Spend takes one permit from each bucket, for a request that was sent.
func (p *Pacer) Spend() {
	p.peerPermits = max(p.peerPermits-1, 0)
	p.clockPermits = max(p.clockPermits-1, 0)
}
