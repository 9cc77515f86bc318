package endpointhealth

import "fmt"

// State is the health state of an endpoint.
type State uint8

// The states, in the order in which an endpoint passes through them.
const (
	Listed    State = iota + 1 // known, and nothing else decided yet
	Checking                   // gets no requests until health checks pass
	WarmingUp                  // new or recovered: gets a growing share
	InService                  // gets its whole share
	Suspected                  // failed lately, and gets a reduced share
	Ejected                    // gets no requests
	Probing                    // the ejection is over: gets a single request
	Draining                   // no longer listed: gets no new requests, those in flight go on
	Gone                       // drained; nothing is kept of it
)

// States lists all states.
var States = []State{
	Listed, Checking, WarmingUp, InService, Suspected, Ejected, Probing, Draining, Gone,
}

// String returns the name that metrics, status and log use.
func (s State) String() string {
	switch s {
	case Listed:
		return "listed"
	case Checking:
		return "checking"
	case WarmingUp:
		return "warming"
	case InService:
		return "in service"
	case Suspected:
		return "suspected"
	case Ejected:
		return "ejected"
	case Probing:
		return "probing"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// countsAsEjected reports whether the endpoint counts as ejected for MaxEjectedShare.
func (s State) countsAsEjected() bool { return s == Ejected || s == Probing }

// takesRequests reports whether the endpoint gets requests by its traffic share.
func (s State) takesRequests() bool { return s == InService || s == Suspected || s == WarmingUp }

// Outcome is how a request ended, with regard to the health of its endpoint.
type Outcome uint8

// The outcomes.
const (
	Success       Outcome = iota + 1
	ErrorResponse         // it answered with an error, which may be the fault of the request
	Aborted               // it broke the connection off
	TimedOut              // no answer in time; counts only where the answers of its peers are in time
	Unreachable           // the connection was not established
	Inconclusive          // says nothing about the endpoint
)
