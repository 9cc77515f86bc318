package lifecycle

import (
	"time"

	"ryepaddle/internal/wallclock"
)

// Request is a request as a frontend submits it.
type Request struct {
	ID string // unique among the open requests
	// IDFromCaller says that the caller has chosen the ID, and that a request with the same ID is a copy of this one.
	IDFromCaller bool
	Class        int    // index in the settings
	Tenant       int    // index in the settings, or NoTenant
	Caller       uint32 // number of the caller, as the request states it
	// ArrivedAt is when the request reached the machine.
	ArrivedAt wallclock.UnixMicro
	// Timeout is how long after its arrival the caller waits; 0: the timeout of the class.
	Timeout time.Duration
	// FirstSentAt is when the caller first sent the request; 0: not known.
	FirstSentAt wallclock.UnixMicro
	SizeKB      float64 // memory of the request while it is queued
	Rank        float64 // position by priority weight, from 0 to under 1
	Key         string  // idempotency key; required in classes that are idempotent with a key
	Entity      uint64  // identifies what is read: reads of one entity may share a result
	TraceParent string  // the caller's trace context, as received
	Body        []byte
	Metadata    []Field // received with the body, for runners that forward it
	// AcceptsStream says that the frontend accepts a result whose body is still being received.
	AcceptsStream bool
	// Upload is the rest of a body that is still being received; nil: Body is complete.
	Upload Upload
	// ContentLength is the size of the complete body if Upload is not nil.
	ContentLength int64
	// BodyConsumed says that a server has begun to receive the upload, which cannot be sent again.
	BodyConsumed bool
	Responder    Responder
}

// Field is a named value of a request or a result.
type Field struct{ Name, Value string }

// Upload is the rest of a request's body that is still being received.
type Upload interface {
	// Attach sets who consumes the rest. From then on BodyConsumed is set.
	Attach(UploadConsumer)
	// SetBacklog reports how many bytes the consumer has not passed on yet.
	SetBacklog(n int)
	// Detach ends the consumption; the rest is discarded.
	Detach()
}

// UploadConsumer consumes the rest of a request's body.
type UploadConsumer interface{ ConsumeBody(part []byte) }

// Responder receives the answer to a request. Answer is called once, unless the request is
// abandoned before.
type Responder interface{ Answer(Answer) }

// Answer is the final answer to a request.
type Answer struct {
	Status Status
	Result *Result // with Served
	// RetryAfter is how long the caller should wait before it retries, with Rejected; 0: the answer
	// does not say.
	RetryAfter time.Duration
	DoNotRetry bool   // with Rejected: the caller should not retry elsewhere
	Reason     Reason // with Conflict, and with a Failed that is in doubt
}

// RetryAfterMs returns RetryAfter in milliseconds, rounded up; 0: the answer does not say.
func (a *Answer) RetryAfterMs() int64 {
	const microsPerMilli = 1000
	return (max(a.RetryAfter.Microseconds(), 0) + microsPerMilli - 1) / microsPerMilli
}

// Status is how a request was answered. Its values are stored in the records of keys.
type Status uint8

// The ways in which a request is answered.
const (
	Served   Status = iota + 1 // with the result of a run
	Rejected                   // it never ran
	Failed                     // without a result; it may have run
	Expired                    // failed because its deadline passed
	Conflict                   // failed because it uses the ID or key of another request; see Reason
	NotFound                   // failed because the runner does not know such a request
	// it duplicates a request that ran, and the result of that run is not available
	ResultLost
)

// Reason is why a request is answered with Conflict, or why a failure is in doubt.
type Reason uint8

// The reasons.
const (
	DuplicateID Reason = iota + 1 // another request with its ID is open
	KeyReused                     // its key was used with another body
	// it duplicates a request that had begun before a restart, and may have run
	InDoubt
)

func (r Reason) String() string {
	switch r {
	case DuplicateID:
		return "a request by this id is open"
	case KeyReused:
		return "the dedupe key stands for another body"
	case InDoubt:
		return "it had begun before a restart, and may have run"
	}
	return ""
}

// cause returns the cause that the trace of a request shows for the reason.
func (r Reason) cause() Cause {
	switch r {
	case DuplicateID:
		return CauseDuplicateID
	case KeyReused:
		return CauseKeyReused
	}
	return CauseInDoubt
}
