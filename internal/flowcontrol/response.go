package flowcontrol

// ResponseStep is how the next part of a response is handled.
type ResponseStep uint8

// The steps.
const (
	Buffer         ResponseStep = iota // buffer it behind the parts before it
	StartStreaming                     // send the buffered parts and this one; Forward follows
	Forward                            // send it at once
	Reject                             // fail: too large to be buffered, and the caller accepts no stream
)

// ResponseOptions says how a response may be handled.
type ResponseOptions struct {
	Keyed      bool // the request has an idempotency key
	Streamable bool // the caller accepts a response whose end has not arrived yet
}

// Response decides how the parts of one response are handled.
type Response struct {
	limits      Limits
	options     ResponseOptions
	isStreaming bool
	size        int // bytes received so far
}

// NewResponse returns a response of which nothing has been received.
func NewResponse(limits Limits, options ResponseOptions) *Response {
	return &Response{limits: limits, options: options}
}

// Add decides how the next part, of n bytes, is handled.
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

// Caches reports whether the response, as received so far, is to be cached under the idempotency key.
// A response over MaxCached is not cached, not even in part; only that the request ran is remembered.
func (r *Response) Caches() bool { return r.options.Keyed && r.size <= r.limits.MaxCached }
