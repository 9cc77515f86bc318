//go:build !faults

package wallclock

import "time"

// offset is zero, as only programs that are built with the tag faults have another.
const offset time.Duration = 0
