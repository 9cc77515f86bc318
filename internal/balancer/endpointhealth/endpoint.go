package endpointhealth

import (
	"cmp"
	"slices"
	"time"
)

// ID identifies an endpoint. A server that comes back at another address is another endpoint.
type ID struct{ Name, Addr string }

// EndpointSpec is the entry of an endpoint in the endpoint list.
type EndpointSpec struct {
	ID
	Zone   string
	Weight int // above 0
}

// StateChange is one change of the state of an endpoint.
type StateChange struct {
	Endpoint ID
	From, To State
	At       time.Duration // monotonic
	Cause    string        // for operators
}

// Endpoint holds the state and the measurements of one endpoint. A monitor owns it; others only read
// it, and may set Attachment.
type Endpoint struct {
	EndpointSpec
	State          State
	StateSince     time.Duration // monotonic
	StateCause     string        // for operators
	ActiveRequests int           // requests in flight
	MeanLatency    float64       // moving mean of its successful requests, in microseconds; 0: not measured
	Requests       uint64        // requests that ended with an outcome other than Inconclusive
	Failures       uint64        // of Requests, those that failed
	SuccessRate    float64       // moving mean over Requests, 0 to 1
	LastOutcomeAt  time.Duration // monotonic; when the last of Requests ended
	StateChanges   int
	Attachment     any // state that a user of the monitor keeps with the endpoint

	window              outcomeWindow
	consecutiveFailures int
	ejectedUntil        time.Duration // monotonic
	repeatedEjections   int           // since the endpoint was last in service for EjectionResetAfter
	failedProbes        int           // failed probes in a row
	recovered           bool          // from an ejection, and not yet in service for EjectionResetAfter
	probeSent           bool          // a request probes it, and has not ended
	slowIntervals       int           // ticks in a row at which it was a latency outlier
	checkStreak         int           // passed checks in a row; negative: failed checks in a row
	nextCheckAt         time.Duration // monotonic; 0: not scheduled
	checkInFlight       bool
	unlisted            bool // it is no longer in the endpoint list
}

// EndpointList is one version of the listed endpoints. It is immutable: an update makes a new one.
type EndpointList struct {
	Version   uint64
	At        time.Duration // monotonic; when the list was made
	Endpoints []*Endpoint   // sorted by name, then by address
}

func sortByID(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Addr, b.Addr))
	})
}
