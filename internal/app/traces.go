package app

import (
	"time"

	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/tracing"
)

// tracesCloseTimeout is how long Close waits for the last spans to be written.
const tracesCloseTimeout = 100 * time.Millisecond

// startTraces starts to write traces if the operator's file says so.
func (p *Program) startTraces() error {
	if p.operator == nil || p.operator.Traces.File == "" {
		return nil
	}
	settings := &p.operator.Traces
	var err error
	p.telemetry.traces, err = tracing.Start(tracing.Options{
		Path:         settings.File,
		MaxBytes:     settings.MaxMB << 20,
		QueueSize:    settings.Queue,
		SampleRatio:  settings.SampleRatio,
		MaxPerSecond: settings.MaxPerSecond,
		Instance:     p.config.Name,
		Version:      buildinfo.Version(),
		StatusNames:  statusNames,
		OutcomeNames: outcomeNames,
		ClassName:    p.className,
		Tenants:      tenantNames(p.config.Settings),
	})
	return err
}

// traceParent returns the traceparent header for the server of an attempt.
func (p *Program) traceParent(attempt *lifecycle.Attempt) string {
	index := 0
	for previous := attempt.Previous; previous != nil; previous = previous.Previous {
		index++
	}
	request := attempt.Request
	context := p.telemetry.traces.SpanContext(request.ID, request.ArrivedAt, request.TraceParent)
	return context.Attempt(index).String()
}

// reportTracesLost logs the counts of lost spans if they have changed since the last call.
func (p *Program) reportTracesLost() {
	if p.telemetry.traces == nil {
		return
	}
	if lost, err := p.telemetry.traces.Lost(); lost != p.telemetry.tracesLost {
		eventTracesLost.Log(lost.Queue, lost.Errors, err)
		p.telemetry.tracesLost = lost
	}
}

// closeTraces writes the queued spans and closes the recorder of traces.
func (p *Program) closeTraces() {
	if p.telemetry.traces == nil {
		return
	}
	p.telemetry.traces.Close(tracesCloseTimeout)
	p.reportTracesLost()
}
