// Package ramp paces what one of several processes sends to a server that is warming up, so that
// the sum over all processes keeps to what the server is to get. It is free of I/O: it is told of
// time and of what was sent, and says whether one more request may go.
//
// A request takes a permit of each kind. Whole permits are spent and the fraction stays; what a
// process begins with is drawn by its owner, so that processes that each have a third of a request
// do not all round it up. What is not taken soon is void: permits that many processes had saved up
// would go out at once.
//
// Times are microseconds, monotonic. A pacer is used by one goroutine.
package slowstart

import "math"

// Config is what a server that warms up may be sent by all processes.
type Config struct {
	InitialRequests float64 // as it begins, within Over; 0: it goes by what its peers get alone
	Window          int64
	Processes       int // that share in Calls
}

const (
	standardOver      = 1_000_000
	standardProcesses = 30 // where nobody tells how many there are
	holdShare         = 20 // a permit of the clock's is void after this part of Over

	// utilization is the part of Calls that is spent. Processes that do not talk send by chance
	// what they send: the rest keeps the sum under Calls and two deviations.
	utilization = 0.85
)

// DefaultConfig goes by what peers get alone.
func DefaultConfig() Config { return Config{Window: standardOver, Processes: standardProcesses} }

// rate is how many permits a microsecond one process earns by the clock, where calls have grown so
// many times.
func (c *Config) rate(grown float64) float64 {
	return utilization * c.InitialRequests * grown / float64(max(c.Processes, 1)) / float64(max(c.Window, 1))
}

// Pacer is what one process may send one server that warms up.
type Pacer struct {
	byPeers float64 // permits, with a fraction
	byClock float64
	earned  int64 // up to when byClock has earned
	whole   int64 // since when byClock has its newest whole permit
}

// Reset begins anew, with fractions of a permit that were drawn between 0 and 1.
func (p *Pacer) Reset(byPeers, byClock float64, now int64) {
	*p = Pacer{byPeers: byPeers, byClock: byClock, earned: now, whole: now}
}

// PeerSent earns what a request to a warm peer is worth for the server: its part, by its weight
// over that of all warm peers.
func (p *Pacer) PeerSent(part float64) { p.byPeers = min(p.byPeers+part, 1) }

// HasPeerPermit tells whether the server may be sent a request by what its peers get.
func (p *Pacer) HasPeerPermit() bool { return p.byPeers >= 1 }

// ForfeitPeerPermits tells that a request which might have gone to the server went to a better one.
func (p *Pacer) ForfeitPeerPermits() { p.byPeers = 0 }

// HasClockPermit tells whether the server may be sent a request by the calls of all processes, which
// have grown so many times by now.
func (p *Pacer) HasClockPermit(cfg *Config, grown float64, now int64) bool {
	if cfg.InitialRequests == 0 {
		return true
	}
	p.earn(cfg, cfg.rate(grown), now)
	return p.byClock >= 1
}

// earn counts the time that went by, and voids what was not taken in time.
func (p *Pacer) earn(cfg *Config, rate float64, now int64) {
	hold := max(float64(cfg.Window)/holdShare, 1)
	p.byClock += rate * float64(max(now-p.earned, 0))
	p.earned = max(p.earned, now)
	whole, fraction := math.Modf(p.byClock)
	if whole < 1 {
		return
	}
	p.whole = max(p.whole, now-int64(fraction/rate)) // when the newest of them became one
	if float64(now-p.whole) > hold {
		whole = 0
	}
	p.byClock = min(whole, max(math.Floor(rate*hold), 1)) + fraction
}

// Spend spends what a request to the server takes.
func (p *Pacer) Spend() {
	p.byPeers = max(p.byPeers-1, 0)
	p.byClock = max(p.byClock-1, 0)
}
