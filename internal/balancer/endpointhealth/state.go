package endpointhealth

import "fmt"

// State is the health state of an endpoint.
type State uint8

// The states, in the order in which an endpoint passes through them.
const (
	Listed    State = iota + 1 // new in the endpoint list, before its first state is decided
	Checking                   // gets no requests until its health checks pass
	WarmingUp                  // new or recovered: gets a growing traffic share
	InService                  // gets its whole traffic share
	Suspected                  // failed lately: gets a reduced traffic share
	Ejected                    // gets no requests
	Probing                    // the ejection is over: gets a single request
	Draining                   // no longer listed: gets no new requests, those in flight continue
	Gone                       // drained, and forgotten by the monitor
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
	ErrorResponse         // an error response, which may be due to the request
	Aborted               // the endpoint broke the connection off
	TimedOut              // no answer in time; timeouts in a row eject only while few requests to all endpoints fail
	Unreachable           // the connection was not established
	Inconclusive          // the end of the request says nothing about the endpoint
)
