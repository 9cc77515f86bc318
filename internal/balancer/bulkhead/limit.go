package bulkhead

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

const (
	minWindow         = 500 * time.Millisecond // that a window lasts at least
	minWindowRequests = 40                     // that end in a window at least
	// measureInterval is the number of windows after which the best latency is measured again, and
	// measureWindows for how many the limit is reduced for that: the first one still sees the queue
	// from before.
	measureInterval = 60
	measureWindows  = 2
	measureRatio    = 0.5 // by which the limit is multiplied meanwhile
	// minClassRequests is how many requests of a class a window must have for a mean.
	minClassRequests = 5
	// usedRatio of the limit must have been in use for the window to say something about it.
	usedRatio = 0.8
	// overloadRatio of failures to successes in a window is a sign of overload, by which the limit
	// is multiplied with overloadBackoff.
	overloadRatio   = 0.1
	overloadBackoff = 0.8
	// Once a falling limit is down to declineCheck of where it began, the latency ratio must be
	// down to declineGain: otherwise the latency was not that of a queue.
	declineCheck = 0.7
	declineGain  = 0.85
	// capacityBackoff is by how much one window may lower the limit towards the capacity.
	capacityBackoff = 0.9
)

// adaptiveLimit finds how many requests at once a group of servers can work on: as many as get the
// most done without a rise of latency. The latency of a class is compared with the best latency of
// the same class, so that another mix of classes is not taken for another speed.
//
// Latency alone cannot tell a queue from servers that have become slower. A lower limit helps
// against the first; against the second it only gets less done. So where a limit that has fallen by
// a third has not lowered the latency, the current latency becomes the best one.
type adaptiveLimit struct {
	limit    float64
	capacity float64        // of the servers together; 0: not known
	best     []latency.Best // by class
	recent   []sampleMean   // latencies in this window, by class, in microseconds

	windowStart time.Duration // monotonic; 0: no request has ended yet
	succeeded   int           // in this window
	failed      int
	peak        int // most requests running at once in this window

	windows      int     // since the best latencies were measured
	reducedFrom  float64 // the limit before it was reduced to measure; 0: it is not reduced
	declineFrom  float64 // the limit from which it has been falling; 0: it is not falling
	declineRatio float64 // the latency ratio at that time
	demand       [demandWindows]float64
	nextDemand   int
}

// limitWindow is what a window shows.
type limitWindow struct {
	ratio        float64 // mean latency over the best one; 0: not known
	ratioError   float64 // its standard error
	demand       float64 // slots that the completed work needs at the best latency
	isUsed       bool    // the limit was nearly reached
	isOverloaded bool
}

func (l *adaptiveLimit) configure(cfg *Config) {
	for len(l.best) < len(cfg.Classes) {
		l.best = append(l.best, latency.Best{})
		l.recent = append(l.recent, sampleMean{})
	}
	if cfg.LimitAlgorithm == FixedLimit {
		l.limit = cfg.InitialLimit
	}
	l.limit = min(max(l.limit, cfg.MinLimit), cfg.MaxLimit)
}

// current returns the limit within the capacity of the servers.
func (l *adaptiveLimit) current() float64 {
	if l.capacity > 0 {
		return max(min(l.limit, l.capacity), 1)
	}
	return max(l.limit, 1)
}

func (l *adaptiveLimit) sent(running int) { l.peak = max(l.peak, running) }

func (l *adaptiveLimit) done(cfg *Config, class int, took time.Duration, succeeded bool, now time.Duration) {
	if l.windowStart == 0 {
		l.windowStart = now
	}
	if succeeded {
		l.recent[class].add(latency.Micros(took))
		l.succeeded++
	} else {
		l.failed++
	}
	l.endWindow(cfg, now)
}

// endWindow ends the window if it is long enough and has seen enough requests.
func (l *adaptiveLimit) endWindow(cfg *Config, now time.Duration) {
	isLong := l.windowStart != 0 && now-l.windowStart >= minWindow
	if !isLong || l.succeeded+l.failed < minWindowRequests {
		return
	}
	l.update(cfg, l.summarize(now))
	clear(l.recent)
	l.windowStart = now
	l.succeeded = 0
	l.failed = 0
	l.peak = 0
}

func (l *adaptiveLimit) summarize(now time.Duration) *limitWindow {
	w := &limitWindow{
		isUsed:       float64(l.peak) >= usedRatio*math.Floor(l.current()),
		isOverloaded: float64(l.failed) > overloadRatio*float64(l.succeeded),
	}
	sum := 0.0
	best := 0.0
	variance := 0.0
	for i := range l.recent {
		mean, standardError := l.recent[i].mean()
		if n := float64(l.recent[i].count); n > 0 && l.best[i].Micros > 0 {
			sum += n * mean
			best += n * l.best[i].Micros
			variance += n * n * standardError * standardError
		}
	}
	if best > 0 {
		w.ratio = sum / best
		w.ratioError = math.Sqrt(variance) / best
		w.demand = best / latency.Micros(now-l.windowStart)
	}
	return w
}

// update moves the limit by what a window shows.
func (l *adaptiveLimit) update(cfg *Config, w *limitWindow) {
	l.windows++
	l.demand[l.nextDemand%demandWindows] = w.demand
	l.nextDemand++
	if l.reducedFrom > 0 {
		if l.windows >= measureWindows {
			l.resetBest()
			l.limit, l.reducedFrom = l.reducedFrom, 0
		}
		return
	}
	l.learnBest(w)
	if cfg.LimitAlgorithm == FixedLimit {
		return
	}
	if l.windows >= measureInterval && w.isUsed {
		l.reducedFrom = l.limit
		l.windows = 0
		l.limit = max(l.limit*measureRatio, cfg.MinLimit)
		return
	}
	target := l.target(cfg, w)
	if l.declineWasInVain(target, w) {
		l.resetBest()
		return
	}
	if l.capacity > 0 { // otherwise it would grow while only the servers' own limits apply
		target = min(target, max(l.capacity, l.limit*capacityBackoff))
	}
	l.limit = min(max(target, cfg.MinLimit), cfg.MaxLimit)
}

// target returns the limit that follows from a window.
func (l *adaptiveLimit) target(cfg *Config, w *limitWindow) float64 {
	target := l.limit
	if w.ratio > 0 {
		target = l.targetByAlgorithm(cfg.LimitAlgorithm, w)
	}
	if w.isOverloaded {
		target = min(target, l.limit*overloadBackoff)
	}
	// A limit that is not nearly reached shows nothing of what a higher one would do.
	if target > l.limit && !w.isUsed {
		target = l.limit
	}
	return target
}

// declineWasInVain keeps track of a falling limit, and reports whether its fall has not lowered the
// latency.
func (l *adaptiveLimit) declineWasInVain(target float64, w *limitWindow) bool {
	isChecked := l.limit <= l.declineFrom*declineCheck
	switch {
	case target >= l.limit:
		l.declineFrom = 0
	case l.declineFrom == 0:
		l.declineFrom = l.limit
		l.declineRatio = w.ratio
	case isChecked && w.ratio > l.declineRatio*declineGain:
		return true
	case isChecked:
		l.declineFrom = l.limit
		l.declineRatio = w.ratio
	}
	return false
}

// learnBest takes the latencies of a window into the best ones.
func (l *adaptiveLimit) learnBest(w *limitWindow) {
	for i := range l.recent {
		if mean, _ := l.recent[i].mean(); l.recent[i].count >= minClassRequests {
			l.best[i].Learn(mean, w.isUsed)
		}
	}
}

// resetBest makes the latencies of this window the best ones.
func (l *adaptiveLimit) resetBest() {
	for i := range l.recent {
		if mean, _ := l.recent[i].mean(); l.recent[i].count >= minClassRequests {
			l.best[i].Micros = mean
		}
	}
	l.windows = 0
	l.declineFrom = 0
	l.demand = [demandWindows]float64{}
}

// sampleMean holds the sums of samples for their mean and its uncertainty.
type sampleMean struct {
	count     int
	sum       float64
	squareSum float64
}

func (m *sampleMean) add(value float64) {
	m.count++
	m.sum += value
	m.squareSum += value * value
}

// mean returns the mean and its standard error.
func (m *sampleMean) mean() (mean, standardError float64) {
	if m.count == 0 {
		return 0, 0
	}
	n := float64(m.count)
	mean = m.sum / n
	return mean, math.Sqrt(max(m.squareSum/n-mean*mean, 0) / n)
}
