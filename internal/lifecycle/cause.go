package lifecycle

import "ryepaddle/internal/admission"

// Cause is the reason for the answer to a request. Values below firstLifecycleCause are causes of the
// admission controller.
type Cause uint8

// CauseNone is the cause of an answer that needs no explanation.
const CauseNone Cause = 0

// firstLifecycleCause is the first cause that does not come from the admission controller.
const firstLifecycleCause Cause = 65

// The causes that do not come from the admission controller. Where a comment names two quantities
// after a semicolon, these are Value and Limit of the trace.
const (
	CauseKeyTableFull = firstLifecycleCause + iota // the table of keys is full; number of keys, limit
	CauseKeyStore                                  // its key cannot be made durable at present
	CauseDuplicateID                               // another request with its ID is open
	CauseKeyReused                                 // its key was used with another body
	// it duplicates a request that had begun before a restart
	CauseInDoubt
	// it got the answer of the request that it duplicates
	CauseDuplicate
	CauseOriginalNotRun // the request that it duplicates never ran
	CauseNoServer       // no server took it
	CauseServerFault    // its run failed on the server
	// its run was interrupted, and may not be retried
	CauseInterrupted
	CauseRunTimeout     // its run did not end by its deadline
	CauseUnknownRequest // the runner does not know such a request
	// the deadline that its frontend set has passed
	CauseDeadline
	CauseCallerGone  // its caller was gone
	CauseRunRejected // its run was rejected, and nothing ran
	// no slot of its bulkhead in time; seconds of waiting, seconds left
	CauseBulkheadWait
	// the queue of its bulkhead was full; queued requests, limit
	CauseBulkheadFull
	CauseReplicas // its key could not be replicated
	// the requests that are held take too much memory; bytes, limit
	CauseRequestMemory
	CauseRepeatedID // a request without a key, of its ID, has run
	firstUnusedCause
)

// String returns the text by which operators know the cause; empty for an unknown cause.
func (c Cause) String() string {
	if c < firstLifecycleCause {
		return admissionCauseText(admission.Cause(c))
	}
	return c.lifecycleText()
}

// admissionCauseText returns the text of a cause of the admission controller.
func admissionCauseText(c admission.Cause) string {
	switch c {
	case admission.CauseNone:
		return "none"
	case admission.CauseDraining:
		return "drain"
	case admission.CauseMemory:
		return "no memory to hold it"
	case admission.CauseDeadlineTooNear:
		return "too little time left"
	case admission.CauseCallQueue:
		return "no room for its call"
	case admission.CauseQueueingDelay:
		return "queueing delay"
	case admission.CauseObjectiveUnreachable:
		return "held until its aim was out of reach"
	case admission.CauseQuota:
		return "beyond its tenant's share"
	case admission.CauseKeyMemory:
		return "no memory for its key"
	case admission.CauseDeadlinePassed:
		return "due time came"
	case admission.CauseCallFailed:
		return "its call failed"
	case admission.CauseCancelled:
		return "its run was stopped"
	}
	return ""
}

// lifecycleText returns the text of a cause that does not come from the admission controller.
func (c Cause) lifecycleText() string {
	switch c {
	case CauseKeyTableFull:
		return "table of keys full"
	case CauseKeyStore:
		return "key cannot be kept"
	case CauseDuplicateID:
		return "its name is open"
	case CauseKeyReused:
		return "its key stands for another body"
	case CauseInDoubt:
		return "in doubt after a restart"
	case CauseDuplicate:
		return "repeats another try"
	case CauseOriginalNotRun:
		return "what it repeats never ran"
	case CauseNoServer:
		return "no server took it"
	case CauseServerFault:
		return "its server failed it"
	case CauseInterrupted:
		return "its run was cut off"
	case CauseRunTimeout:
		return "its run took too long"
	case CauseUnknownRequest:
		return "nobody knows it"
	case CauseDeadline:
		return "its deadline came"
	case CauseCallerGone:
		return "its caller went"
	case CauseRunRejected:
		return "its run was refused"
	case CauseBulkheadWait:
		return "no slot of its pool in time"
	case CauseBulkheadFull:
		return "line of its pool full"
	case CauseReplicas:
		return "its copies were not to be had"
	case CauseRequestMemory:
		return "no memory of the process to hold it"
	case CauseRepeatedID:
		return "its name has run"
	}
	return ""
}

// AllCauses returns all causes, in ascending order.
func AllCauses() (all []Cause) {
	for c := CauseNone; c < firstUnusedCause; c++ {
		if c.String() != "" {
			all = append(all, c)
		}
	}
	return all
}

// outcomeCause returns the cause of an answer without a result, by the outcome of the run.
func outcomeCause(o Outcome) Cause {
	switch o {
	case Succeeded:
		return CauseNone
	case NotStarted:
		return CauseRunRejected
	case Unreachable:
		return CauseNoServer
	case TimedOut:
		return CauseRunTimeout
	case UnknownRequest:
		return CauseUnknownRequest
	case Interrupted:
		return CauseInterrupted
	case Cancelled:
		return CauseCallerGone
	}
	return CauseServerFault
}
