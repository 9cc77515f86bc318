// Package wallclock is the system's clock, as all parts read it that go by the time of day. A
// program that is built with the tag faults can be told another one, for tests of machines whose
// clocks differ.
package wallclock

import "time"

// Now is the time of day.
func Now() time.Time { return time.Now().Add(ahead) }
