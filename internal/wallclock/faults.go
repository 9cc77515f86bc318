//go:build faults

package wallclock

import (
	"os"
	"time"
)

// OffsetVariable is the environment variable that sets the offset of the clock, such as 7m or -1h.
const OffsetVariable = "RYEPADDLE_CLOCK"

var offset = parseOffset(os.Getenv(OffsetVariable))

// parseOffset parses a duration. It panics on an invalid one; an empty text is 0.
func parseOffset(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(OffsetVariable + ": " + err.Error())
	}
	return d
}
