package app

import (
	"time"

	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/tracing"
)

// tracesClose is how long the end of the program waits for the last spans.
const tracesClose = 100 * time.Millisecond

// startTraces begins to write spans if the operator's file says so.
func (r *Program) startTraces() (err error) {
	if r.op == nil || r.op.Traces.File == "" {
		return nil
	}
	t := &r.op.Traces
	opt := tracing.Options{
		Path:         t.File,
		MaxBytes:     t.MaxMB << 20,
		QueueSize:    t.Queue,
		SampleRatio:  t.SampleRatio,
		MaxPerSecond: t.MaxPerSecond,
		Instance:     r.cfg.Name,
		Version:      buildinfo.Version(),
		StatusNames:  kindNames,
		OutcomeNames: outcomeNames,
		ClassName:    r.className,
	}
	for _, c := range r.cfg.Settings.Tenants {
		opt.Tenants = append(opt.Tenants, c.Name)
	}
	r.spans, err = tracing.Start(opt)
	return err
}

// traceOf is where a try stands in the trace of its request, for its server.
func (r *Program) traceOf(a *lifecycle.Attempt) string {
	n := 0
	for b := a.Previous; b != nil; b = b.Previous {
		n++
	}
	q := a.Request
	return r.spans.SpanContext(q.ID, q.ArrivedAt, q.TraceParent).Attempt(n).String()
}

// tellSpans tells of spans that were lost since it was told last.
func (r *Program) tellSpans() {
	if r.spans == nil {
		return
	}
	if lost, err := r.spans.Lost(); lost != r.untold {
		evTracesLost.Log(lost.Queue, lost.Errors, err)
		r.untold = lost
	}
}

// endTraces writes what waits.
func (r *Program) endTraces() {
	if r.spans != nil {
		r.spans.Close(tracesClose)
		r.tellSpans()
	}
}
