// Package flowcontrol decides how bodies pass through a proxy: which responses are buffered and
// which are streamed, which responses are cached under their idempotency keys, which servers wait for
// their readers (backpressure, with a low and a high watermark as in Envoy), and which reader is
// dropped when too many bytes are queued for all readers together. It does no I/O: packages upstream
// and frontend/uwsgi report the queued bytes, and carry the decisions out.
package flowcontrol

// Limits holds the limits of bodies and queues, in bytes.
type Limits struct {
	// MaxBuffered is the size up to which a response is buffered, so that a failure before its end
	// can still be reported and the request retried.
	MaxBuffered    int
	MaxCached      int // size up to which a response is cached under its idempotency key
	MaxQueued      int // bytes that may wait for one reader
	MaxQueuedTotal int // bytes that may wait for all readers together
	// MaxBufferedBody is the size up to which a request body is read whole before the request is
	// handed over to a server or the engine.
	MaxBufferedBody int
	MaxStreamedBody int // size up to which a request body may be streamed
}

// BodyPlan is how a request body is read.
type BodyPlan uint8

// The plans.
const (
	BufferBody     BodyPlan = iota // the body is read whole before the request is handed over
	StreamBody                     // the request is handed over, and its body follows
	RejectTooLarge                 // the request is rejected
	RequireLength                  // the request is rejected, as a body of unknown length cannot be streamed
)

// RequestBody describes the body of a request before it is read.
type RequestBody struct {
	Idempotent bool  // the request is idempotent
	Remote     bool  // the request goes to a server, not to the engine on this machine
	Length     int64 // in bytes; below 0: not known
	Chunked    bool  // the body comes in chunks, without a length
}

// mayStream reports whether the request can be handed over before its body is complete. A request
// that is not idempotent is identified by its body, and the engine takes only complete bodies.
func (b *RequestBody) mayStream() bool { return b.Idempotent && b.Remote }

// PlanBody decides how a request body is read.
func (l *Limits) PlanBody(body RequestBody) BodyPlan {
	switch {
	case body.Chunked:
		return BufferBody
	case body.Length <= int64(l.MaxBufferedBody):
		return BufferBody
	case !body.mayStream() || body.Length > int64(l.MaxStreamedBody):
		return RejectTooLarge
	}
	return StreamBody
}

// PlanOversizedChunked decides about a chunked body that has turned out longer than MaxBufferedBody.
func (l *Limits) PlanOversizedChunked(body RequestBody) BodyPlan {
	if body.mayStream() && l.MaxStreamedBody > l.MaxBufferedBody {
		return RequireLength
	}
	return RejectTooLarge
}
