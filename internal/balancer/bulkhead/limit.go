package bulkhead

import "math"

// LimitAlgorithms of finding the limit, by name. All go by the same windows.
const (
	FixedLimit = "fixed" // it stays as it is set
	// a step up while it is made use of, a part down when servers slow or break
	AIMDLimit = "additive"
	// the part of the best speed that is left, and the root of the limit for growth
	GradientLimit = "gradient"
	VegasLimit    = "queue" // by how many requests wait at the servers, as Vegas goes by packets
	// what the best throughput of late needs at the best latency, and a part more
	ThroughputLimit = "rate"
)

// LimitAlgorithms are all of them.
var LimitAlgorithms = []string{FixedLimit, AIMDLimit, GradientLimit, VegasLimit, ThroughputLimit}

const (
	windowLeast  = 500_000 // microseconds of a window,
	windowDone   = 40      // and requests that ended in it
	tolerance    = 1.5     // times the best latency that are still as good as the best
	measureEvery = 60      // windows after which the best latency is measured anew
	// windows that this takes: the first one still sees the queue from before
	measureIn   = 2
	measurePart = 0.5  // of the limit, meanwhile
	classDone   = 5    // requests of a class, and their mean says something
	fellBy      = 0.7  // of the limit is left, and it is looked whether that helped:
	noBetter    = 0.85 // of the ratio should be left, if it was for a queue
	brokenPart  = 0.1  // of the requests, and what breaks tells of too much
	brokenBack  = 0.8  // of the limit is left then
	rateKept    = 20   // windows of which the best throughput counts
	rateMore    = 1.3  // times what that needs
)

// adapt finds how many requests at once a group of servers is good for: as many as get the most
// done without making each take longer than it need. Latencies of classes are compared with the
// best of their own class, so that another mix is not taken for another speed.
//
// Latency alone cannot tell a queue from servers that have become slower: less at once helps
// against the first, and against the second it only gets less done. So where a limit that went down
// by a third has made nothing faster, what is best is what servers do now.
type adapt struct {
	limit float64
	cap   float64 // of the servers together; 0: none is known
	best  []float64
	seen  []spread // latencies of this window, by class

	since  int64
	n      int
	broken int
	peak   int
	turns  int     // windows since the best was measured
	half   float64 // the limit from before it is being measured; 0: it is not
	from   float64 // the limit from which it goes down; 0: it does not
	was    float64 // the ratio at that time
	rates  [rateKept]float64
	rateAt int
}

// window is what the ways go by.
type window struct {
	ratio  float64 // latency over the best; 0: not known
	noise  float64 // its standard error
	rate   float64 // slots that what was done would have needed at the best latency
	used   bool    // the limit was come near to
	broken bool
}

func (a *adapt) configure(cfg *Config) {
	for len(a.best) < len(cfg.Classes) {
		a.best, a.seen = append(a.best, 0), append(a.seen, spread{})
	}
	if cfg.LimitAlgorithm == FixedLimit {
		a.limit = cfg.InitialLimit
	}
	a.limit = min(max(a.limit, cfg.MinLimit), cfg.MaxLimit)
}

func (a *adapt) sent(running int) { a.peak = max(a.peak, running) }

func (a *adapt) done(cfg *Config, class int, took int64, ok bool, now int64) {
	if a.since == 0 {
		a.since = now
	}
	if ok {
		a.seen[class].add(float64(took))
		a.n++
	} else {
		a.broken++
	}
	a.look(cfg, now)
}

// look ends a window that is long enough and has seen enough.
func (a *adapt) look(cfg *Config, now int64) {
	if a.since == 0 || now-a.since < windowLeast || a.n+a.broken < windowDone {
		return
	}
	a.turn(cfg, a.window(now))
	clear(a.seen)
	a.since, a.n, a.broken, a.peak = now, 0, 0, 0
}

func (a *adapt) window(now int64) *window {
	w := &window{
		used:   float64(a.peak) >= 0.8*math.Floor(a.now()),
		broken: float64(a.broken) > brokenPart*float64(a.n),
	}
	sum, best, square := 0.0, 0.0, 0.0
	for i := range a.seen {
		mean, noise := a.seen[i].mean()
		if n := float64(a.seen[i].n); n > 0 && a.best[i] > 0 {
			sum, best, square = sum+n*mean, best+n*a.best[i], square+n*n*noise*noise
		}
	}
	if best > 0 {
		w.ratio, w.noise, w.rate = sum/best, math.Sqrt(square)/best, best/float64(now-a.since)
	}
	return w
}

// measured takes the latencies of this window for the best.
func (a *adapt) measured() {
	for i := range a.seen {
		if mean, _ := a.seen[i].mean(); a.seen[i].n >= classDone {
			a.best[i] = mean
		}
	}
	a.turns, a.from, a.rates = 0, 0, [rateKept]float64{}
}

func (a *adapt) turn(cfg *Config, w *window) {
	a.turns++
	a.rates[a.rateAt%rateKept] = w.rate
	a.rateAt++
	if a.half > 0 { // the best is being measured
		if a.turns >= measureIn {
			a.measured()
			a.limit, a.half = a.half, 0
		}
		return
	}
	for i := range a.seen {
		mean, _ := a.seen[i].mean()
		switch {
		case a.seen[i].n < classDone:
		case a.best[i] == 0:
			a.best[i] = mean
		case mean < a.best[i]: // one window may be a lucky one
			a.best[i] += (mean - a.best[i]) / 4
		case !w.used: // there is no queue, by what it is good for
			a.best[i] += (mean - a.best[i]) / 16
		}
	}
	if cfg.LimitAlgorithm == FixedLimit {
		return
	}
	if a.turns >= measureEvery && w.used {
		a.half, a.turns = a.limit, 0
		a.limit = max(a.limit*measurePart, cfg.MinLimit)
		return
	}
	to := a.limit
	if w.ratio > 0 {
		to = a.way(cfg.LimitAlgorithm, w)
	}
	if w.broken {
		to = min(to, a.limit*brokenBack)
	}
	// a limit that nothing comes near to says nothing of what more would do
	if to > a.limit && !w.used {
		to = a.limit
	}
	switch {
	case to >= a.limit:
		a.from = 0
	case a.from == 0:
		a.from, a.was = a.limit, w.ratio
	case a.limit <= a.from*fellBy && w.ratio > a.was*noBetter:
		a.measured()
		return
	case a.limit <= a.from*fellBy:
		a.from, a.was = a.limit, w.ratio
	}
	if a.cap > 0 { // or it would grow where only the servers' own limits hold it
		to = min(to, max(a.cap, a.limit*0.9))
	}
	a.limit = min(max(to, cfg.MinLimit), cfg.MaxLimit)
}

// now is the limit, within what the servers can take.
func (a *adapt) now() float64 {
	if a.cap > 0 {
		return max(min(a.limit, a.cap), 1)
	}
	return max(a.limit, 1)
}

// way is where the limit is to go. Latency counts as worse only beyond its noise.
func (a *adapt) way(name string, w *window) float64 {
	sure := w.ratio - 2*w.noise
	switch name {
	case AIMDLimit:
		if sure > tolerance {
			return a.limit * 0.9
		}
		return a.limit + 1
	case GradientLimit:
		slope := min(max(tolerance/max(sure, 0.01), 0.5), 1)
		to := a.limit * slope
		if slope == 1 {
			to += math.Sqrt(a.limit)
		}
		return a.limit + (to-a.limit)*0.3
	case VegasLimit:
		step := math.Log10(max(a.limit, 10)) * 2
		switch waiting := a.limit * (1 - 1/max(sure, 1)); {
		case waiting < 3*step:
			return a.limit + step
		case waiting > 6*step:
			return a.limit - step
		}
	case ThroughputLimit:
		most := 0.0
		for _, r := range a.rates {
			most = max(most, r)
		}
		to := most*rateMore + math.Sqrt(a.limit)
		if sure <= tolerance { // what is slow with more is not for want of slots
			to = max(to, a.limit)
		}
		return a.limit + (to-a.limit)*0.3
	}
	return a.limit
}
