package wallclock

import "time"

// UnixMicro is a Unix time in whole microseconds. It is stored and sent as a plain integer; the difference
// of two is a time.Duration. Zero stands for an unknown time.
type UnixMicro int64

// FromTime returns t as a UnixMicro, truncated to whole microseconds.
func FromTime(t time.Time) UnixMicro { return UnixMicro(t.UnixMicro()) }

// Time returns u as a time.Time.
func (u UnixMicro) Time() time.Time { return time.UnixMicro(int64(u)) }

// Add returns the time that is d after u. d is truncated to whole microseconds.
func (u UnixMicro) Add(d time.Duration) UnixMicro { return u + UnixMicro(d/time.Microsecond) }

// Sub returns the duration from v to u.
func (u UnixMicro) Sub(v UnixMicro) time.Duration { return time.Duration(u-v) * time.Microsecond }
