// Package traceparent implements the traceparent header of W3C Trace Context, level 1. It derives
// span IDs from the properties that identify a request, so that every part of the program that knows
// the request can compute them. Package tracing derives spans with it, and package upstream sends
// the header to servers.
package traceparent

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"ryepaddle/internal/wallclock"
)

// Context is a position in a trace.
type Context struct {
	Trace   [16]byte
	Span    [8]byte
	Sampled bool // the trace is recorded
}

// Variable is the name of the CGI variable that holds the header.
const Variable = "HTTP_TRACEPARENT"

// header is the key under which the propagator reads and writes the header.
const header = "traceparent"

// Parse decodes a header, and reports whether it is valid. A header of a later version is decoded as
// if it were of version 00.
func Parse(s string) (Context, bool) {
	c := trace.SpanContextFromContext(
		propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{header: s}),
	)
	return Context{c.TraceID(), c.SpanID(), c.IsSampled()}, c.IsValid()
}

// String returns the value of the header.
func (c Context) String() string {
	set := trace.SpanContextConfig{TraceID: c.Trace, SpanID: c.Span}
	if c.Sampled {
		set.TraceFlags = trace.FlagsSampled
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(
		trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(set)),
		carrier,
	)
	return carrier[header]
}

// New returns the span of a request: in the trace of its caller if parent is a valid header, and in
// a new trace otherwise. sampleRatio, from 0 to 1, is the ratio of new traces that are sampled. The
// instance, the name and the arrival time together identify a request.
func New(instance, name string, arrivedAt wallclock.UnixMicro, parent string, sampleRatio float64) Context {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(arrivedAt))
	d.WriteString(instance)
	d.WriteString("\n")
	d.WriteString(name)
	span := d.Sum64()
	c, ok := Parse(parent)
	if !ok {
		d.WriteString("\ntrace")
		low := d.Sum64()
		binary.BigEndian.PutUint64(c.Trace[:], span)
		binary.BigEndian.PutUint64(c.Trace[8:], low)
		c.Sampled = unitFraction(low) < sampleRatio
	}
	c.setSpan(span)
	return c
}

// unitFraction maps a uniformly distributed number to [0, 1). It uses the highest bits, as many as a
// float64 holds exactly.
func unitFraction(n uint64) float64 {
	const bits = 53
	return float64(n>>(64-bits)) / (1 << bits)
}

// Attempt returns the span of the n-th attempt of a request, counted from 0. c is the span of the
// request.
func (c Context) Attempt(n int) Context {
	c.setSpan(xxhash.Sum64(append(c.Span[:], byte(n), byte(n>>8))))
	return c
}

// setSpan sets the span ID. Zero is not a valid ID.
func (c *Context) setSpan(span uint64) {
	binary.BigEndian.PutUint64(c.Span[:], max(span, 1))
}
