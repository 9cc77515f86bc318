package lifecycle

// Result is the response that a run produced.
type Result struct {
	Status int // HTTP status of the server's response; 200 for a run of the engine
	Fields []Field
	Body   []byte // the first part, if Stream is not nil
	// ContentLength is the size of a body that is streamed; negative: not known.
	ContentLength int64
	Stream        Stream // the rest of the body; nil: Body is complete
}

// size returns approximately how many bytes the result occupies in the cache.
func (r *Result) size() int {
	n := len(r.Body)
	for _, f := range r.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Stream is the rest of a result's body that is still being received.
type Stream interface {
	// Attach sets the consumer of the rest. It is called from within Responder.Answer or not at all.
	Attach(StreamConsumer)
	// SetPaused pauses or resumes the stream.
	SetPaused(paused bool)
	// Cancel ends the stream because its consumer is gone.
	Cancel()
}

// StreamConsumer consumes the rest of a result's body. The last call is either Completed or Truncated,
// unless the stream was cancelled.
type StreamConsumer interface {
	Consume(part []byte)
	Completed()
	// Truncated reports that the rest will not arrive. The answer to the caller must not look complete.
	Truncated()
}
