package picker

import "fmt"

// PickReason is the reason why a server was picked.
type PickReason uint8

// The reasons.
const (
	Nearest    PickReason = iota + 1 // the best server of the nearest zone
	Overflow                         // the best server of another zone, as nearer ones are full, unhealthy or worse
	Probe                            // the request probes a server whose ejection time is over
	Affinity                         // the idempotency key of the request maps to the server
	Overloaded                       // all servers are at their limits, and this one is the least loaded
	LastResort                       // no server gets traffic by its health; this one has the fewest requests in flight
	NoEndpoint                       // no server can take the request
)

// PickReasons lists all reasons.
var PickReasons = []PickReason{
	Nearest, Overflow, Probe, Affinity, Overloaded, LastResort, NoEndpoint,
}

// String returns the name that metrics and the status line use.
func (r PickReason) String() string {
	switch r {
	case Nearest:
		return "near"
	case Overflow:
		return "overflow"
	case Probe:
		return "probe"
	case Affinity:
		return "home of its key"
	case Overloaded:
		return "all full"
	case LastResort:
		return "last resort"
	case NoEndpoint:
		return "nobody"
	}
	return fmt.Sprintf("picker.PickReason(%d)", uint8(r))
}
