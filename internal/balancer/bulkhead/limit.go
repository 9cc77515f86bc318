package bulkhead

import (
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

const (
	minWindow         = 500 * time.Millisecond // minimum duration of a window
	minWindowRequests = 40                     // minimum number of requests that end in a window
	// measureInterval is the number of windows after which the best latency is measured again. For
	// that the limit is reduced for measureWindows windows: the first of them still sees the queue
	// of the time before.
	measureInterval = 60
	measureWindows  = 2
	measureRatio    = 0.5 // factor of the limit while the best latency is measured
	// minClassRequests is how many requests of a class a window must have for their mean to count.
	minClassRequests = 5
	// usedRatio is the part of the limit that must have been in use for a window to tell anything
	// about the limit.
	usedRatio = 0.8
	// A window with more than overloadRatio failures per success shows overload: the limit is then
	// multiplied by overloadBackoff.
	overloadRatio   = 0.1
	overloadBackoff = 0.8
	// Once a falling limit is down to declineCheck times the value from which it fell, the latency
	// ratio must be down to declineGain times its former value: otherwise the latency was not due to
	// a queue.
	declineCheck = 0.7
	declineGain  = 0.85
	// capacityBackoff is the lowest factor by which one window lowers the limit towards the capacity.
	capacityBackoff = 0.9
)

// adaptiveLimit finds the number of concurrent requests at which a group of servers has its highest
// throughput without a rise of latency. The latency of a class is compared with the best latency of
// the same class, so that a change in the mix of classes is not taken for a change in speed.
//
// Latency alone cannot tell a queue from servers that have become slower. A lower limit shortens a
// queue; with slower servers it only reduces the throughput. So if a limit that has fallen by about
// a third (declineCheck) has not lowered the latency, the current latency becomes the best one.
type adaptiveLimit struct {
	limit    float64
	capacity float64        // requests that the servers can take together; 0: not known
	best     []latency.Best // by class
	recent   []sampleMean   // latencies in the current window, by class, in microseconds

	windowStart time.Duration // monotonic; 0: no request has ended yet
	succeeded   int           // requests in the current window
	failed      int
	peak        int // most requests running at once in the current window

	windows      int                    // since the best latencies were measured; during a measurement, since it began
	reducedFrom  float64                // the limit before it was reduced for a measurement; 0: it is not reduced
	declineFrom  float64                // the limit from which it has been falling; 0: it is not falling
	declineRatio float64                // the latency ratio when the limit began to fall
	demand       [demandWindows]float64 // limitWindow.demand of the last windows, as a ring buffer
	nextDemand   int                    // windows written to demand so far
}

// limitWindow is the summary of a window.
type limitWindow struct {
	ratio        float64 // mean latency divided by the best latency; 0: not known
	ratioError   float64 // standard error of ratio
	demand       float64 // slots that the completed requests need at the best latency
	isUsed       bool    // usedRatio of the limit was in use at some time
	isOverloaded bool    // too many requests failed; see overloadRatio
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

// current returns the limit, cut to the capacity of the servers, and at least 1.
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

// endWindow ends the current window if it is long enough and enough requests have ended in it.
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

// update adjusts the limit after a window, or starts or ends the measurement of the best latency.
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
	if l.declineHadNoEffect(target, w) {
		l.resetBest()
		return
	}
	if l.capacity > 0 { // unbounded, the limit would grow while only the servers' own limits have effect
		target = min(target, max(l.capacity, l.limit*capacityBackoff))
	}
	l.limit = min(max(target, cfg.MinLimit), cfg.MaxLimit)
}

// target returns the value towards which a window moves the limit.
func (l *adaptiveLimit) target(cfg *Config, w *limitWindow) float64 {
	target := l.limit
	if w.ratio > 0 {
		target = l.targetByAlgorithm(cfg.LimitAlgorithm, w)
	}
	if w.isOverloaded {
		target = min(target, l.limit*overloadBackoff)
	}
	// While the limit is not nearly reached, nothing shows what a higher one would do.
	if target > l.limit && !w.isUsed {
		target = l.limit
	}
	return target
}

// declineHadNoEffect tracks a falling limit, and reports whether its fall has failed to lower the
// latency.
func (l *adaptiveLimit) declineHadNoEffect(target float64, w *limitWindow) bool {
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

// learnBest updates the best latencies with the mean latencies of the current window.
func (l *adaptiveLimit) learnBest(w *limitWindow) {
	for i := range l.recent {
		if mean, _ := l.recent[i].mean(); l.recent[i].count >= minClassRequests {
			l.best[i].Learn(mean, w.isUsed)
		}
	}
}

// resetBest sets the best latencies to the mean latencies of the current window, and forgets the
// decline and the demand, which were measured against the former best latencies.
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

// sampleMean accumulates samples for their mean and its standard error.
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
