package flowcontrol

// ResponseStep is what is done with the next part of a response.
type ResponseStep uint8

// The steps.
const (
	Buffer         ResponseStep = iota // hold it back with what came before
	StartStreaming                     // send what was held back, and all that follows as it comes
	Forward                            // send it
	Reject                             // fail: it is too large for a caller that takes no stream
)

// Response decides about one response, part by part.
type Response struct {
	limits     Limits
	keyed      bool
	streamable bool
	streaming  bool
	size       int // bytes so far
}

// NewResponse begins a response. keyed says that its request has an idempotency key, streamable that
// the caller can take a response that is still coming.
func NewResponse(limits Limits, keyed, streamable bool) *Response {
	return &Response{limits: limits, keyed: keyed, streamable: streamable}
}

// Add decides about the next n bytes.
func (r *Response) Add(n int) ResponseStep {
	r.size += n
	switch {
	case r.streaming:
		return Forward
	case r.size <= r.limits.MaxBuffered:
		return Buffer
	case !r.streamable:
		return Reject
	}
	r.streaming = true
	return StartStreaming
}

// Caches reports whether what has come is to be cached under the idempotency key. Nothing is cached
// of a response over MaxCached; only that the request ran is remembered.
func (r *Response) Caches() bool { return r.keyed && r.size <= r.limits.MaxCached }
