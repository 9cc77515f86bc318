// Package traceparent reads and writes the header by which a request's trace goes from hop to hop
// (W3C Trace Context, level 1). It makes ids from what names a request, so that whoever knows the
// request knows them, with nothing to keep or hand on.
package traceparent

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Context is the place of a request in a trace.
type Context struct {
	Trace   [16]byte
	Span    [8]byte
	Sampled bool // whoever made it records it
}

// Variable is the variable that carries it in CGI form.
const Variable = "HTTP_TRACEPARENT"

const header = "traceparent"

// Parse reads a header. One of a later version is read as far as this one goes; what is malformed
// or all noughts is none.
func Parse(s string) (Context, bool) {
	c := trace.SpanContextFromContext(
		propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{header: s}),
	)
	return Context{c.TraceID(), c.SpanID(), c.IsSampled()}, c.IsValid()
}

// String is the header.
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

// New is the span of a request: in its caller's trace if it came in one, or in one of its own, of
// which a share is sampled. The name alone may come again in another life of the program, or on
// another instance, so its arrival and the instance go with it.
func New(instance, name string, arrived int64, parent string, share float64) Context {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(arrived))
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
		c.Sampled = float64(low>>11)/(1<<53) < share
	}
	c.put(span)
	return c
}

// Attempt is the span of the n-th try of a request, from 0 on.
func (c Context) Attempt(n int) Context {
	c.put(xxhash.Sum64(append(c.Span[:], byte(n), byte(n>>8))))
	return c
}

func (c *Context) put(span uint64) {
	binary.BigEndian.PutUint64(c.Span[:], max(span, 1)) // nought is no id
}
