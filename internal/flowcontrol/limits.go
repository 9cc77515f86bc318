// Package flowcontrol decides how bodies pass through a proxy: which responses are buffered and
// which stream, what of a response is cached under its idempotency key, which servers wait for their
// readers (backpressure, with a low and a high watermark as in Envoy), and which reader is dropped
// when all together hold too much memory. It does no I/O: callers report what is queued, and do what
// it decides.
package flowcontrol

// Limits bound what passes, in bytes.
type Limits struct {
	// MaxBuffered is the size up to which a response is buffered, so that a failure in it can
	// still be reported and the request retried.
	MaxBuffered    int
	MaxCached      int // up to which a response is cached under its idempotency key
	MaxQueued      int // that may wait for one reader
	MaxQueuedTotal int // that may wait for all readers together
	// MaxBufferedBody is the size up to which a request body is read whole before the request is
	// handed over.
	MaxBufferedBody int
	MaxStreamedBody int // up to which a request body may stream
}

// BodyPlan is how a request body is read.
type BodyPlan uint8

// The plans.
const (
	BufferBody     BodyPlan = iota // it is read whole before the request is handed over
	StreamBody                     // the request is handed over, and its body follows
	RejectTooLarge                 // the request is rejected
	RequireLength                  // the request is rejected: to stream, its length must be known
)

// PlanBody decides how a request body is read whose length (bytes) is known, or that comes in
// chunks. A request that is not idempotent is identified by its body, which must be complete before
// the request may run; and only servers, not the engine on this machine (remote is false), take a
// body that streams.
func (l *Limits) PlanBody(idempotent, remote bool, length int64, chunked bool) BodyPlan {
	switch {
	case chunked: // its length shows as it comes
		return BufferBody
	case length <= int64(l.MaxBufferedBody):
		return BufferBody
	case !idempotent || !remote || length > int64(l.MaxStreamedBody):
		return RejectTooLarge
	}
	return StreamBody
}

// PlanOversizedChunked decides about a body in chunks that is longer than MaxBufferedBody.
func (l *Limits) PlanOversizedChunked(idempotent, remote bool) BodyPlan {
	if idempotent && remote && l.MaxStreamedBody > l.MaxBufferedBody {
		return RequireLength
	}
	return RejectTooLarge
}
