// Package wiretime holds the form in which times travel between runners and lie on disk: whole
// microseconds as a plain integer.
package wiretime

import "time"

// Microseconds is a span of time, or an instant of a monotonic clock as the span since that clock
// began. It is encoded as a plain integer.
type Microseconds int64

// maxMicroseconds keeps the sum of a decoded span and any instant of a clock within a
// time.Duration.
const maxMicroseconds = Microseconds((1 << 62) / time.Microsecond)

// FromDuration returns d, cut to whole microseconds.
func FromDuration(d time.Duration) Microseconds { return Microseconds(d / time.Microsecond) }

// Duration returns the span as a time.Duration. A span of more than 146 years is cut to that.
func (m Microseconds) Duration() time.Duration {
	return time.Duration(min(max(m, -maxMicroseconds), maxMicroseconds)) * time.Microsecond
}
