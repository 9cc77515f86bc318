package wallclock

import "time"

// Micros is a duration in whole microseconds, for values that are stored or sent as plain integers. Other
// code uses time.Duration.
type Micros int64

// maxMicros is half of the range of a time.Duration, so that the sum of a decoded duration and the reading
// of a clock does not overflow.
const maxMicros = Micros((1 << 62) / time.Microsecond)

// MicrosOf returns d, truncated to whole microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Duration returns m as a time.Duration. A duration of more than 146 years is clamped to that.
func (m Micros) Duration() time.Duration {
	return time.Duration(min(max(m, -maxMicros), maxMicros)) * time.Microsecond
}

// After returns the time that is m after u.
func (m Micros) After(u UnixMicro) UnixMicro { return u + UnixMicro(m) }
