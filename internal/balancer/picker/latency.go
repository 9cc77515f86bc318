package picker

import (
	"time"

	"ryepaddle/internal/balancer/latency"
)

const (
	// smoothing is the window of the moving means of a group, in requests.
	smoothing = 64
	// classBaselineWindow is the window of the baseline latency of a class, in requests.
	classBaselineWindow = 2048
)

// classLatency holds the measured latencies of a class, in microseconds.
type classLatency struct {
	recent   float64      // moving mean; 0: not measured
	baseline latency.Mean // moving mean over classBaselineWindow requests
}

// learnLatency adds a latency to the means, and returns it normalized to the reference class: a server
// that got requests of a slow class is not slow. A latency is compared with the mean of its class over
// many requests; compared with the mean of all classes, a server would look slow as soon as the share
// of a slow class grows.
func (p *Picker) learnLatency(class int, took time.Duration) time.Duration {
	value := latency.Micros(latency.AtLeastOneMicrosecond(took))
	if p.meanLatency == 0 {
		p.meanLatency = value
		p.referenceLatency = value
		p.typicalLatency = value
	}
	c := &p.classes[class]
	if c.recent == 0 {
		c.recent = value
	}
	c.recent = latency.Smooth(c.recent, value, smoothing)
	p.meanLatency = latency.Smooth(p.meanLatency, value, smoothing)
	c.baseline.Add(value, classBaselineWindow)
	normalized := value / c.baseline.Value * p.referenceLatency
	p.typicalLatency = latency.Smooth(p.typicalLatency, normalized, smoothing)
	return latency.AtLeastOneMicrosecond(latency.FromMicros(normalized))
}

// MinAttemptTime returns an estimate of the shortest time that an attempt of a class takes: half of the
// mean latency, as many requests take less than the mean.
func (p *Picker) MinAttemptTime(class int) time.Duration {
	return latency.FromMicros(p.classes[class].recent / 2)
}
