package bulkhead

import (
	"fmt"
	"time"
)

// Request is a request for a slot. The caller sets the exported fields, and keeps the request unchanged
// until it is done, dropped or cancelled.
type Request struct {
	Class    int
	Tenant   int // number of the tenant, or NoTenant
	Caller   uint32
	Deadline time.Duration // monotonic; a result after it is worth nothing
	// Objective is the monotonic time of the latency objective, after which a result is worth less;
	// 0: not known.
	Objective     time.Duration
	Attachment    any  // state that the caller keeps with the request
	MayUseReserve bool // it may use a slot of a reserve if it would be too late otherwise

	pool            *pool
	state           requestState
	missesObjective bool          // the latency objective cannot be kept any more
	overuse         int           // see waitingQueue.overuseOf
	startedAt       time.Duration // monotonic; when it was granted a slot
	chargedMicros   float64       // slot time that was charged to its pool when it was granted a slot

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

// DropReason is the reason why a request was dropped.
type DropReason uint8

// The reasons.
const (
	TooLate   DropReason = iota + 1 // it would miss its deadline, given the requests ahead of it
	QueueFull                       // the queue was full, and this request was the first to be dropped from it
	Displaced                       // a more valuable request behind it could be in time only without it
)

// String returns a description of the reason.
func (r DropReason) String() string {
	switch r {
	case TooLate:
		return "too late, given the requests ahead of it"
	case QueueFull:
		return "the queue is full"
	case Displaced:
		return "displaced by a more valuable request"
	}
	return fmt.Sprintf("bulkhead.DropReason(%d)", uint8(r))
}

// Dropped is a request that was dropped without having had a slot. Wanted and Available are the
// numbers that were compared: the time to the end of the request and the time left, in microseconds,
// or for QueueFull the length of the queue and its limit.
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
	Success      Outcome = iota // its run time is a measurement of its class
	Failure                     // the servers may be overloaded
	Inconclusive                // it says nothing about the servers
)
