//go:build !faults

package wallclock

import "time"

// offset is the offset of the clock. Only programs that are built with the tag faults can change it.
const offset time.Duration = 0
