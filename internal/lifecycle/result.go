package lifecycle

// Result is the response that a run produced.
type Result struct {
	Status int // of the server; 200 for a run of the engine
	Fields []Field
	Body   []byte // the first part, if Stream is not nil
	// ContentLength is the size of a body that streams; negative: not known.
	ContentLength int64
	Stream        Stream // the rest of the body; nil: Body is complete
}

// size returns the bytes that the result occupies in the cache, about.
func (r *Result) size() int {
	n := len(r.Body)
	for _, f := range r.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Stream is the rest of a result's body that is still coming.
type Stream interface {
	// Attach sets who consumes the rest. It is called from within Responder.Answer or never.
	Attach(StreamConsumer)
	// SetPaused pauses or resumes the stream.
	SetPaused(paused bool)
	// Cancel ends the stream, as its consumer is gone.
	Cancel()
}

// StreamConsumer consumes the rest of a result's body. Completed or Truncated is called once, last,
// unless the stream was cancelled.
type StreamConsumer interface {
	Consume(part []byte)
	Completed()
	// Truncated says that the rest will not come. The response must not look complete.
	Truncated()
}
