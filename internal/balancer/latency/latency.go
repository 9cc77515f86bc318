// Package latency measures latencies for the load balancing policies: it converts between
// time.Duration and floating-point microseconds, and keeps moving means and the best latency.
//
// Means are kept as float64 microseconds and not as time.Duration, so that small steps of a mean
// are not lost by rounding.
package latency

import "time"

// Micros returns the number of whole microseconds in d.
func Micros(d time.Duration) float64 { return float64(d / time.Microsecond) }

// FromMicros returns the duration of us microseconds, cut to whole microseconds.
func FromMicros(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// AtLeastOneMicrosecond returns d, but at least one microsecond: a latency of zero stands for "not measured".
func AtLeastOneMicrosecond(d time.Duration) time.Duration { return max(d, time.Microsecond) }

// Smooth returns the exponentially weighted moving mean after one more value, which has the weight 1/n.
func Smooth(mean, value, n float64) float64 { return mean + (value-mean)/n }

// Mean is a moving mean. Until it has as many values as its window holds it is their arithmetic mean;
// from then on it is exponentially weighted. The zero value has no values.
type Mean struct {
	Value float64
	Count int // number of values, at most the window
}

// Add adds a value to the mean. window is the number of values that the mean holds.
func (m *Mean) Add(value float64, window int) {
	m.Count = min(m.Count+1, window)
	m.Value = Smooth(m.Value, value, float64(m.Count))
}

const (
	// lowerBestWeight is the number of windows over which the best latency follows a lower one: a
	// single window may be low by chance.
	lowerBestWeight = 4
	// idleBestWeight is the number of windows over which the best latency follows a higher one that
	// was measured without a queue.
	idleBestWeight = 16
)

// Best is an estimate of the latency of a server without a queue, from the mean latencies of windows.
// The zero value stands for "not measured".
type Best struct {
	Micros float64 // 0: not measured
}

// Learn updates the best latency with the mean latency of a window in microseconds. hasQueue says that
// requests may have waited at the server in the window: then a higher latency does not count.
func (b *Best) Learn(meanMicros float64, hasQueue bool) {
	switch {
	case b.Micros == 0:
		b.Micros = meanMicros
	case meanMicros < b.Micros:
		b.Micros = Smooth(b.Micros, meanMicros, lowerBestWeight)
	case !hasQueue:
		b.Micros = Smooth(b.Micros, meanMicros, idleBestWeight)
	}
}
