// Package traces writes what became of requests as OpenTelemetry spans to a file: one span for a
// request, one for its wait, one for each try. Spans are made and written beside the loop; a slow
// disk or a full one costs spans, which are counted.
package tracing

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/traceparent"
)

// Options are what is written, and where.
type Options struct {
	Path         string
	MaxBytes     int64   // of the file; one that was full before stays beside it
	QueueSize    int     // requests in memory whose spans are not yet written
	SampleRatio  float64 // of the requests that no caller decided about
	MaxPerSecond int     // requests of a class and an end
	Instance     string
	Version      string
	ClassName    func(class int) string // its name; it is asked beside the loop
	Tenants      []string
	StatusNames  map[lifecycle.Status]string
	OutcomeNames map[lifecycle.Outcome]string
}

// Lost counts requests whose spans were not written, and why.
type Lost struct{ Queue, Errors int64 }

// Recorder writes spans.
type Recorder struct {
	opt     Options
	sampler *Sampler
	queue   chan entry
	done    chan struct{}

	provider *sdk.TracerProvider
	tracer   trace.Tracer
	out      *file
	buf      bytes.Buffer

	lostQueue, lostErrors atomic.Int64
	failed                atomic.Pointer[error] // the last error
}

type entry struct {
	lifecycle.Trace
	at, parent traceparent.Context
	remote     bool // parent is there
}

// Start begins to write.
func Start(opt Options) (*Recorder, error) {
	r := &Recorder{
		opt:     opt,
		sampler: NewSampler(opt.MaxPerSecond),
		queue:   make(chan entry, opt.QueueSize),
		done:    make(chan struct{}),
	}
	var err error
	if r.out, err = openFile(opt.Path, opt.MaxBytes); err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(&r.buf))
	if err != nil {
		return nil, err
	}
	r.provider = sdk.NewTracerProvider(
		sdk.WithSyncer(exporter),
		sdk.WithSampler(sdk.AlwaysSample()),
		sdk.WithIDGenerator(ids{}),
		sdk.WithResource(
			resource.NewSchemaless(
				attribute.String("service.name", "ryepaddle"),
				attribute.String("service.version", opt.Version),
				attribute.String("service.instance.id", opt.Instance),
			),
		),
	)
	r.tracer = r.provider.Tracer("ryepaddle")
	go r.run()
	return r, nil
}

// Record has the spans of a request written, if it is one of those that are chosen. It never waits.
func (r *Recorder) Record(t *lifecycle.Trace, now int64) {
	at := r.SpanContext(t.ID, int64(t.ArrivedAt), t.TraceParent)
	if !r.sampler.Sample(t, at.Sampled, now) {
		return
	}
	e := entry{Trace: *t, at: at}
	e.parent, e.remote = traceparent.Parse(t.TraceParent)
	select {
	case r.queue <- e:
	default:
		r.lostQueue.Add(1)
	}
}

// SpanContext is where a request stands, by its name, its arrival and what its caller said of its trace.
func (r *Recorder) SpanContext(name string, arrived int64, parent string) traceparent.Context {
	return traceparent.New(r.opt.Instance, name, arrived, parent, r.opt.SampleRatio)
}

// Lost tells what was lost so far, and the last error of the file.
func (r *Recorder) Lost() (Lost, error) {
	var err error
	if p := r.failed.Load(); p != nil {
		err = *p
	}
	return Lost{r.lostQueue.Load(), r.lostErrors.Load()}, err
}

// Close writes what waits, unless that takes too long. Nothing is added any more.
func (r *Recorder) Close(within time.Duration) {
	close(r.queue)
	select {
	case <-r.done:
	case <-time.After(within):
	}
}

func (r *Recorder) run() {
	defer close(r.done)
	for e := range r.queue {
		r.buf.Reset()
		r.spans(&e)
		if err := r.out.write(r.buf.Bytes()); err != nil {
			r.lostErrors.Add(1)
			r.failed.Store(&err)
		}
	}
	_ = r.provider.Shutdown(context.Background()) // each span is with the exporter already
	if r.out.f != nil {
		r.out.f.Close()
	}
}

// spans are those of one request.
func (r *Recorder) spans(e *entry) {
	ctx := context.Background()
	if e.remote {
		ctx = trace.ContextWithRemoteSpanContext(
			ctx,
			trace.NewSpanContext(
				trace.SpanContextConfig{TraceID: e.parent.Trace, SpanID: e.parent.Span, Remote: true},
			),
		)
	}
	attrs := []attribute.KeyValue{
		attribute.String("ryepaddle.request", e.ID),
		attribute.String("ryepaddle.class", r.opt.ClassName(e.Class)),
		attribute.String(
			"ryepaddle.end",
			r.opt.StatusNames[e.Status],
		),
		attribute.Int64("ryepaddle.caller", int64(e.Caller)),
	}
	if e.Tenant >= 0 && e.Tenant < len(r.opt.Tenants) {
		attrs = append(attrs, attribute.String("ryepaddle.tenant", r.opt.Tenants[e.Tenant]))
	}
	if e.OriginalID != "" {
		attrs = append(attrs, attribute.String("ryepaddle.repeats", e.OriginalID))
	}
	if e.Cause != lifecycle.CauseNone {
		attrs = append(attrs, attribute.String("ryepaddle.cause", e.Cause.String()))
		if e.Value != 0 || e.Limit != 0 {
			attrs = append(
				attrs,
				attribute.Float64("ryepaddle.value", e.Value),
				attribute.Float64("ryepaddle.limit", e.Limit),
			)
		}
	}
	ctx, whole := r.span(ctx, e.at, r.opt.ClassName(e.Class), trace.SpanKindServer, int64(e.ArrivedAt), attrs)
	if e.Status != lifecycle.Served && e.Status != lifecycle.ResultLost {
		whole.SetStatus(codes.Error, e.Cause.String())
	}
	if int64(e.StartedAt) > 0 {
		_, wait := r.span(ctx, e.at.Attempt(1<<15), "wait", trace.SpanKindInternal, int64(e.ArrivedAt), nil)
		end(wait, int64(e.ArrivedAt), int64(e.StartedAt))
	}
	for n, h := range e.Attempts[:min(e.AttemptCount, len(e.Attempts))] {
		_, try := r.span(
			ctx,
			e.at.Attempt(n),
			"try",
			trace.SpanKindClient,
			int64(h.StartedAt),
			[]attribute.KeyValue{attribute.Int("ryepaddle.try", n+1),
				attribute.String(
					"ryepaddle.server",
					h.Server,
				), attribute.String("ryepaddle.outcome", r.opt.OutcomeNames[h.Outcome])},
		)
		if h.Outcome != lifecycle.Succeeded && h.Outcome != 0 {
			try.SetStatus(codes.Error, r.opt.OutcomeNames[h.Outcome])
		}
		end(try, int64(h.StartedAt), int64(h.StartedAt)+h.Duration.Microseconds())
	}
	end(whole, int64(e.ArrivedAt), int64(e.AnsweredAt))
}

func (r *Recorder) span(
	ctx context.Context,
	at traceparent.Context,
	name string,
	kind trace.SpanKind,
	began int64,
	attrs []attribute.KeyValue,
) (context.Context, trace.Span) {
	return r.tracer.Start(
		context.WithValue(ctx, idsKey{}, at),
		name,
		trace.WithSpanKind(kind),
		trace.WithTimestamp(time.UnixMicro(began)),
		trace.WithAttributes(attrs...),
	)
}

// end ends a span. The clock may have been set back meanwhile; a span has no negative length.
func end(s trace.Span, began, ended int64) {
	s.End(trace.WithTimestamp(time.UnixMicro(max(began, ended))))
}

type idsKey struct{}

// ids gives spans the ids that are known beforehand: a server was told its own with the request.
type ids struct{}

// NewIDs implements sdk.IDGenerator.
func (ids) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	c, _ := ctx.Value(idsKey{}).(traceparent.Context)
	return c.Trace, c.Span
}

// NewSpanID implements sdk.IDGenerator.
func (ids) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	c, _ := ctx.Value(idsKey{}).(traceparent.Context)
	return c.Span
}
