package picker

import (
	"time"

	"ryepaddle/internal/balancer/latency"
)

const (
	// smoothing is the number of requests over which the moving means of a group go.
	smoothing = 64
	// classBaselineWindow is over how many requests of a class its baseline latency is taken.
	classBaselineWindow = 2048
)

// classLatency holds what is measured of a class, in microseconds.
type classLatency struct {
	recent   float64      // moving mean; 0: not measured
	baseline latency.Mean // over many requests
}

// learnLatency takes a latency into the means, and returns what it would have been for a request of
// a typical class: a server that got requests of a slow class is not slow. What is typical of a
// class is its mean over many requests; by the mean of all classes a server would look slow as soon
// as the share of a slow class grows.
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

// MinAttemptTime returns how long an attempt of a class takes at least, by what is known: half of
// the mean latency, as many requests take less than the mean.
func (p *Picker) MinAttemptTime(class int) time.Duration {
	return latency.FromMicros(p.classes[class].recent / 2)
}
