// Package latency holds what the load balancing policies share to measure latencies: the conversion
// between time.Duration and floating-point microseconds, and moving means.
//
// Means are kept as float64 microseconds and not as time.Duration, so that small steps of a mean are
// not cut off.
package latency

import "time"

// Micros returns d in microseconds.
func Micros(d time.Duration) float64 { return float64(d / time.Microsecond) }

// FromMicros returns a span of so many microseconds, cut to whole microseconds.
func FromMicros(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// AtLeastOne returns d, but at least one microsecond: a latency of zero stands for "not measured".
func AtLeastOne(d time.Duration) time.Duration { return max(d, time.Microsecond) }

// Smooth returns an exponentially weighted moving mean after one more value, which counts 1/n.
func Smooth(mean, value, n float64) float64 { return mean + (value-mean)/n }

// Mean is a moving mean. Until it has seen as many values as its window holds it is their plain
// mean; from then on it is exponentially weighted. The zero value has seen nothing.
type Mean struct {
	Value float64
	Count int // values seen, at most the window
}

// Add takes a value into the mean, with a window of so many values.
func (m *Mean) Add(value float64, window int) {
	m.Count = min(m.Count+1, window)
	m.Value = Smooth(m.Value, value, float64(m.Count))
}
