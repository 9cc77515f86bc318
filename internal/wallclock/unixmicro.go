package wallclock

import "time"

// UnixMicro is a point on the Unix clock in whole microseconds. It is stored and sent as a plain
// integer; spans between two of them are time.Duration. Zero stands for "not known".
type UnixMicro int64

// FromTime returns the point of t, cut to whole microseconds.
func FromTime(t time.Time) UnixMicro { return UnixMicro(t.UnixMicro()) }

// Time returns the point as a time.Time.
func (u UnixMicro) Time() time.Time { return time.UnixMicro(int64(u)) }

// Add returns the point d after u, cut to whole microseconds.
func (u UnixMicro) Add(d time.Duration) UnixMicro { return u + UnixMicro(d/time.Microsecond) }

// Sub returns the time from v to u.
func (u UnixMicro) Sub(v UnixMicro) time.Duration { return time.Duration(u-v) * time.Microsecond }
