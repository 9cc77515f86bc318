// Package slowstart limits the requests that one of several independent processes sends to a server
// that is warming up, so that the sum over all processes stays within what the server is to get. It
// does no I/O: package picker reports the requests sent, passes the time, and asks whether one more
// request may be sent.
//
// Two token buckets hold the permits. One bucket earns a fraction of a permit with each request to a
// warm server, the other earns permits with time. A server that is warming up beside warm servers of its
// zone gets a request by its cost only with a permit from both. Any other request to a server that is not
// warm, such as a probe or one that follows its idempotency key, needs only a permit from the second.
// Requests take whole permits; the fraction of a permit stays in the bucket. The caller draws the initial
// fractions at random: otherwise processes that each earn a third of a permit would all round it up or
// down alike. Permits expire soon: otherwise many processes could save permits up and use them all at
// once.
package slowstart

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// Config bounds what all processes together may send to a server that is warming up.
type Config struct {
	// InitialRequests is how many requests per Window the server gets at first; 0: its requests are
	// bounded only in proportion to those of warm servers.
	InitialRequests float64
	Window          time.Duration // default 1 s
	Processes       int           // number of processes that share InitialRequests; default 30
}

const (
	defaultWindow    = time.Second
	defaultProcesses = 30

	// expiryDivisor: a whole permit earned with time expires after Window/expiryDivisor.
	expiryDivisor = 20

	// utilization is the part of InitialRequests for which permits are earned. Processes that do not
	// coordinate send at random times: the remaining part keeps their sum, plus two standard
	// deviations, below InitialRequests.
	utilization = 0.85
)

// DefaultConfig returns a configuration that bounds a server's requests only in proportion to those
// of warm servers.
func DefaultConfig() Config { return Config{Window: defaultWindow, Processes: defaultProcesses} }

// permitRate returns how many permits per microsecond one process earns with time, once the traffic
// share of the server has grown by the factor growth since the start of its warm-up.
func (c *Config) permitRate(growth float64) float64 {
	window := latency.Micros(latency.AtLeastOneMicrosecond(c.Window))
	return utilization * c.InitialRequests * growth / float64(max(c.Processes, 1)) / window
}

// Pacer holds the permits of one process for one server. It is used by one goroutine.
type Pacer struct {
	peerPermits    float64       // earned with requests to warm servers
	clockPermits   float64       // earned with time
	clockAt        time.Duration // monotonic; time up to which clockPermits has been earned
	newestPermitAt time.Duration // monotonic; when clockPermits got its newest whole permit
}

// Reset begins a new slow start at the monotonic time now. The buckets begin with fractions of a
// permit, 0 to 1, which the caller draws at random.
func (p *Pacer) Reset(peerFraction, clockFraction float64, now time.Duration) {
	*p = Pacer{peerPermits: peerFraction, clockPermits: clockFraction, clockAt: now, newestPermitAt: now}
}

// PeerSent reports a request to a warm server, which earns the given share of a permit: the weight of
// this server times its traffic share, divided by the sum of the weights of the warm servers of its zone.
func (p *Pacer) PeerSent(share float64) { p.peerPermits = min(p.peerPermits+share, 1) }

// HasPeerPermit reports whether the requests to warm servers have earned a permit.
func (p *Pacer) HasPeerPermit() bool { return p.peerPermits >= 1 }

// ForfeitPeerPermits drops the permits earned with requests to warm servers. The caller uses it when a
// request that could have been sent to this server goes to a better one.
func (p *Pacer) ForfeitPeerPermits() { p.peerPermits = 0 }

// HasClockPermit reports whether a permit has been earned with time by the monotonic time now. growth
// is the factor by which the traffic share of the server has grown since the start of its warm-up.
func (p *Pacer) HasClockPermit(cfg *Config, growth float64, now time.Duration) bool {
	if cfg.InitialRequests == 0 {
		return true
	}
	p.earn(cfg, cfg.permitRate(growth), now)
	return p.clockPermits >= 1
}

// earn adds the permits earned since the last call, at a rate per microsecond, and drops those that
// have expired.
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
