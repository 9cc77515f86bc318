package bulkhead

import (
	"fmt"
	"time"
)

// Request is a request that wants a slot. The caller fills in the exported fields, and keeps the
// request until it is granted and done, or dropped.
type Request struct {
	Class    int
	Tenant   int // or NoTenant
	Caller   uint32
	Deadline time.Duration // monotonic; its result is worth nothing after that
	// Objective is the monotonic time after which its result is worth less; 0: not known.
	Objective     time.Duration
	Attachment    any  // state that the caller keeps with the request
	MayUseReserve bool // it may have a slot of the reserve if it would come too late otherwise

	pool            *pool
	state           requestState
	missesObjective bool          // its latency objective cannot be kept any more
	overuse         int           // how many times over their parts of the queue its tenant or caller is
	startedAt       time.Duration // monotonic; when it was granted
	chargedMicros   float64       // that its pool was charged when it was granted

	previous, next *Request // in the list of the running requests of its pool
}

type requestState uint8

const (
	stateIdle requestState = iota
	stateWaiting
	stateGranted
)

// IsGranted reports whether the request has a slot.
func (r *Request) IsGranted() bool { return r.state == stateGranted }

// target returns the monotonic time by which the result is wanted: the latency objective where it
// is known and can be kept, otherwise the deadline.
func (r *Request) target() time.Duration {
	if r.Objective == 0 || r.missesObjective {
		return r.Deadline
	}
	return min(r.Objective, r.Deadline)
}

// DropReason is why a request was dropped.
type DropReason uint8

// The reasons.
const (
	TooLate   DropReason = iota + 1 // it would miss its deadline, by the requests ahead of it
	QueueFull                       // the queue was full, and it was the least valuable
	Displaced                       // a more valuable request could be in time only without it
)

// String returns the reason as operators read it.
func (r DropReason) String() string {
	switch r {
	case TooLate:
		return "too late by what stands before it"
	case QueueFull:
		return "the line is full"
	case Displaced:
		return "gave way"
	}
	return fmt.Sprintf("bulkhead.DropReason(%d)", uint8(r))
}

// Dropped is a request that was dropped without having had a slot. Wanted and Available say what was
// compared: microseconds, or for QueueFull the length of the queue and its limit.
type Dropped struct {
	*Request
	Reason    DropReason
	Wanted    float64
	Available float64
}

// Outcome is what the end of a request says about the servers.
type Outcome uint8

// The outcomes.
const (
	Success      Outcome = iota // its time tells how long work takes
	Failure                     // the servers may be overloaded
	Inconclusive                // nothing
)
