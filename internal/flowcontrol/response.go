package flowcontrol

// ResponseStep is what is done with the next part of a response.
type ResponseStep uint8

// The steps.
const (
	Buffer         ResponseStep = iota // buffer it with what came before
	StartStreaming                     // send what was buffered, and all that follows as it comes
	Forward                            // send it
	Reject                             // fail: it is too large for a caller that takes no stream
)

// ResponseOptions says how a response may be handled.
type ResponseOptions struct {
	Keyed      bool // its request has an idempotency key
	Streamable bool // the caller accepts a response that is still coming
}

// Response decides about one response, part by part.
type Response struct {
	limits      Limits
	options     ResponseOptions
	isStreaming bool
	size        int // bytes so far
}

// NewResponse begins a response.
func NewResponse(limits Limits, options ResponseOptions) *Response {
	return &Response{limits: limits, options: options}
}

// Add decides about the next n bytes.
func (r *Response) Add(n int) ResponseStep {
	r.size += n
	switch {
	case r.isStreaming:
		return Forward
	case r.size <= r.limits.MaxBuffered:
		return Buffer
	case !r.options.Streamable:
		return Reject
	}
	r.isStreaming = true
	return StartStreaming
}

// Caches reports whether what has come is to be cached under the idempotency key. Nothing is cached
// of a response over MaxCached; only that the request ran is remembered.
func (r *Response) Caches() bool { return r.options.Keyed && r.size <= r.limits.MaxCached }
