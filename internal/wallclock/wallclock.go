// Package wallclock returns the time of the system's clock to all parts that depend on the time of day.
// In a program that is built with the tag faults an offset can be set, for tests of machines whose clocks
// differ.
package wallclock

import "time"

// Now returns the current time, with the offset of the clock added.
func Now() time.Time { return time.Now().Add(offset) }
