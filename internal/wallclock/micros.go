package wallclock

import "time"

// Micros is a span of time in whole microseconds, for values that are stored or sent as plain
// integers. Code that does not store them uses time.Duration.
type Micros int64

// maxMicros keeps the sum of a decoded span and any instant of a clock within a time.Duration.
const maxMicros = Micros((1 << 62) / time.Microsecond)

// MicrosOf returns d, cut to whole microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Duration returns the span as a time.Duration. One of more than 146 years is cut to that.
func (m Micros) Duration() time.Duration {
	return time.Duration(min(max(m, -maxMicros), maxMicros)) * time.Microsecond
}

// After returns the point that lies the span m after u.
func (m Micros) After(u UnixMicro) UnixMicro { return u + UnixMicro(m) }
