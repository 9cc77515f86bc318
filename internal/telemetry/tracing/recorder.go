// Package tracing writes answered requests as OpenTelemetry spans to a file: one span for the request,
// one for its wait until the first attempt, and one for each attempt. A goroutine makes and writes them;
// if the disk is slow or full, spans are dropped and counted. Package app records the requests of the program.
package tracing

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/wallclock"
)

// Options configures a Recorder.
type Options struct {
	Path         string  // of the file of spans
	MaxBytes     int64   // maximum size of the file; one older file of this size is kept
	QueueSize    int     // maximum number of requests whose spans are not written yet
	SampleRatio  float64 // ratio, from 0 to 1, of sampled requests among those without a valid traceparent header
	MaxPerSecond int     // maximum number of recorded requests per second of a class and status
	Instance     string
	Version      string
	ClassName    func(class int) string // called on the recorder's goroutine
	Tenants      []string
	StatusNames  map[lifecycle.Status]string
	OutcomeNames map[lifecycle.Outcome]string
}

// Lost counts requests whose spans were not written: the queue was full, or the file failed.
type Lost struct{ Queue, Errors int64 }

// Recorder writes spans. Record and SpanContext must be called from one goroutine.
type Recorder struct {
	opt     Options
	sampler *Sampler
	queue   chan sampledRequest
	done    chan struct{} // closed at the end of the recorder's goroutine

	provider *sdk.TracerProvider
	tracer   trace.Tracer
	out      *rotatingFile
	buf      bytes.Buffer // spans of the request that is being written

	lostQueue, lostErrors atomic.Int64
	lastError             atomic.Pointer[error]
}

// sampledRequest is a request whose spans are written.
type sampledRequest struct {
	lifecycle.Trace
	span      traceparent.Context
	parent    traceparent.Context
	hasParent bool
}

// Start creates the file and starts the goroutine that writes spans. It fails if the file cannot be created.
func Start(opt Options) (*Recorder, error) {
	r := &Recorder{
		opt:     opt,
		sampler: NewSampler(opt.MaxPerSecond),
		queue:   make(chan sampledRequest, opt.QueueSize),
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
		sdk.WithIDGenerator(contextIDs{}),
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

// Record queues a request that was answered at now, so that its spans are written, if the sampler selects it.
// It never waits.
func (r *Recorder) Record(t *lifecycle.Trace, now wallclock.UnixMicro) {
	span := r.SpanContext(t.ID, t.ArrivedAt, t.TraceParent)
	if !r.sampler.Sample(t, span.Sampled, now) {
		return
	}
	s := sampledRequest{Trace: *t, span: span}
	s.parent, s.hasParent = traceparent.Parse(t.TraceParent)
	select {
	case r.queue <- s:
	default:
		r.lostQueue.Add(1)
	}
}

// SpanContext returns the span of a request, which is derived from its ID, its arrival and the traceparent
// header of its caller.
func (r *Recorder) SpanContext(id string, arrivedAt wallclock.UnixMicro, parent string) traceparent.Context {
	return traceparent.New(r.opt.Instance, id, arrivedAt, parent, r.opt.SampleRatio)
}

// Lost returns how many requests were lost so far, and the last error of the file.
func (r *Recorder) Lost() (Lost, error) {
	var err error
	if p := r.lastError.Load(); p != nil {
		err = *p
	}
	return Lost{r.lostQueue.Load(), r.lostErrors.Load()}, err
}

// Close writes the queued spans, but gives up after the timeout. Record must not be called after it.
func (r *Recorder) Close(timeout time.Duration) {
	close(r.queue)
	select {
	case <-r.done:
	case <-time.After(timeout):
	}
}

// run writes spans until the recorder is closed.
func (r *Recorder) run() {
	defer close(r.done)
	for s := range r.queue {
		r.buf.Reset()
		r.makeSpans(&s)
		if err := r.out.write(r.buf.Bytes()); err != nil {
			r.lostErrors.Add(1)
			r.lastError.Store(&err)
		}
	}
	_ = r.provider.Shutdown(context.Background()) // the exporter has all spans already
	r.out.close()
}
