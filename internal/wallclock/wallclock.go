// Package wallclock reads the system's clock for all parts that depend on the time of day, and defines the
// times and durations that are stored or sent as integers. In a program that is built with the tag faults an
// offset of the clock can be set, for tests of machines whose clocks differ.
package wallclock

import "time"

// Now returns the current time, with the offset of the clock added.
func Now() time.Time { return time.Now().Add(offset) }
