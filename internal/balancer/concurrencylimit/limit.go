// Package limit finds how many requests at once a server is good for. It is free of I/O: it is told
// how long requests took and how they ended, and goes by how that compares with the best that was
// seen.
//
// The limit follows the gradient between the best latency and that of the last window. A server
// that slows with what it is given gets less, one that does not gets more by the root of the limit,
// as long as it makes use of what it has. Time that cannot be told from noise is tolerated.
//
// What is best ages: under steady load a queue would come to look like the server's own latency. So
// now and then half of the limit has to do for two windows, and the latency of the second, when the
// queue is gone, is the best one from then on.
package concurrencylimit

import "math"

// Config is how a limit moves. Times are microseconds.
type Config struct {
	Initial          int     // the limit of a server that nothing is known of
	Min              int     // a limit never falls below it
	Max              int     // or rises above it
	MinWindow        int64   // a window lasts at least so long
	MinSamples       int     // and has at least so many answers
	LatencyTolerance float64 // how many times the best latency is still as good as the best
	BackoffRatio     float64 // what is left of the limit after a window in which requests broke
	Smoothing        float64 // how much of the way to what was found is gone in one window
	ProbeInterval    int     // windows after which the best latency is measured anew
}

// DefaultConfig is what is usual, up to so many.
func DefaultConfig(most int) Config {
	return Config{
		Initial:          min(8, most),
		Min:              min(2, most),
		Max:              most,
		MinWindow:        500_000,
		MinSamples:       30,
		LatencyTolerance: 1.5,
		BackoffRatio:     0.8,
		Smoothing:        0.3,
		ProbeInterval:    40,
	}
}

// Limit is that of one server.
type Limit struct {
	limit  float64
	best   float64
	since  int64 // the beginning of the window
	sum    float64
	n      int
	broken int
	peak   int // most that were open in the window
	half   bool
	least  int
	turns  int // windows since the best latency was measured
}

// New is the limit of a server that nothing is known of.
func New(cfg *Config) Limit { return Limit{limit: float64(cfg.Initial), least: cfg.Min} }

// Current is how many requests it may have at once.
func (l *Limit) Current() int {
	if l.half {
		return max(int(l.limit/2), l.least)
	}
	return int(l.limit)
}

// Sent notes that so many are open.
func (l *Limit) Sent(open int) { l.peak = max(l.peak, open) }

// Done notes the end of a request that took so long. broken ones tell that it may be too much, not
// how long work takes.
func (l *Limit) Done(cfg *Config, took int64, broken bool, now int64) {
	if l.since == 0 {
		l.since = now
	}
	if broken {
		l.broken++
	} else {
		l.sum += float64(max(took, 1))
		l.n++
	}
	if now-l.since >= cfg.MinWindow && l.n+l.broken >= cfg.MinSamples {
		l.turn(cfg)
		l.since, l.sum, l.n, l.broken, l.peak = now, 0, 0, 0, 0
	}
}

// turn ends a window.
func (l *Limit) turn(cfg *Config) {
	mean := 0.0
	if l.n > 0 {
		mean = l.sum / float64(l.n)
	}
	l.turns++
	switch {
	case l.half: // the first window of it still sees the queue from before
		if mean > 0 && l.turns >= cfg.ProbeInterval+2 {
			l.best, l.half, l.turns = mean, false, 0
		} else if l.turns >= 2*cfg.ProbeInterval { // nothing came back whole all that time
			l.half, l.turns = false, 0
		}
		return
	case l.turns >= cfg.ProbeInterval && float64(l.peak) >= l.limit/2:
		l.half = true
		return
	}
	to := l.limit
	if mean > 0 {
		switch {
		case l.best == 0:
			l.best = mean
		case mean < l.best: // one window may be a lucky one
			l.best += (mean - l.best) / 4
		case float64(l.peak) < l.limit/2: // there is no queue, by what it is good for
			l.best += (mean - l.best) / 16
		}
		slope := min(max(cfg.LatencyTolerance*l.best/mean, 0.5), 1)
		if to = l.limit * slope; slope == 1 {
			to += math.Sqrt(l.limit)
		}
	}
	if l.broken*10 > l.n { // over a tenth
		to = min(to, l.limit*cfg.BackoffRatio)
	}
	// A limit that nothing comes near to is no worse for it, and says nothing of what more would
	// do.
	if to > l.limit && float64(l.peak) < l.limit/2 {
		to = l.limit
	}
	l.limit += (to - l.limit) * cfg.Smoothing
	l.limit = min(max(l.limit, float64(cfg.Min)), float64(cfg.Max))
}

// ApplyBounds holds a limit within bounds that have changed.
func (l *Limit) ApplyBounds(cfg *Config) {
	l.least = cfg.Min
	l.limit = min(max(l.limit, float64(cfg.Min)), float64(cfg.Max))
}
