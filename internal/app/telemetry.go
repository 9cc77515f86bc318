package app

import (
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/explain"
	"ryepaddle/internal/telemetry/metrics"
	"ryepaddle/internal/telemetry/tracing"
	"ryepaddle/internal/telemetry/traffic"
)

// telemetry holds the control socket and the recorders of requests for operators.
type telemetry struct {
	control    *control.Server     // nil without a control socket
	metrics    *metrics.Metrics    // by class and outcome; nil without a control socket
	requestLog *explain.RequestLog // recent requests; nil without a control socket
	traffic    *traffic.Recorder   // nil if traffic is not recorded
	traces     *tracing.Recorder   // nil if no traces are written

	// The values logged last, so that only changes are logged.

	reportedStats lifecycle.Stats
	trafficLost   traffic.Lost
	tracesLost    tracing.Lost
}

// answerObserver returns the function that is called with the trace of each answered request. It
// counts, logs and traces the request as the operator's file configures; nil if it configures none of
// that.
func (p *Program) answerObserver() func(*lifecycle.Trace) {
	var observers []func(*lifecycle.Trace)
	if p.usage.meter != nil {
		observers = append(observers, p.recordUsage)
	}
	if p.operator != nil && p.operator.Control.Socket != "" {
		p.startRequestLog()
		observers = append(observers, p.logRequest, p.telemetry.metrics.Observe, p.logAnswered)
	}
	if p.telemetry.traces != nil {
		observers = append(observers, p.recordSpans)
	}
	if len(observers) == 0 {
		return nil
	}
	return func(trace *lifecycle.Trace) {
		for _, observe := range observers {
			observe(trace)
		}
	}
}

// startRequestLog creates the request log and the metrics, which the control socket reports.
func (p *Program) startRequestLog() {
	isKeyed := func(class int) bool { return p.requests.RequiresKey(class) }
	p.telemetry.requestLog = explain.New(p.operator.Control.ExplainKB<<10, isKeyed, p.config.Seed)
	p.telemetry.metrics = metrics.New(p.className, statusNames, p.gauges)
}

func (p *Program) logRequest(trace *lifecycle.Trace) {
	p.telemetry.requestLog.Add(trace, p.loop.Unix())
}

func (p *Program) recordSpans(trace *lifecycle.Trace) {
	p.telemetry.traces.Record(trace, p.loop.Unix())
}

// logAnswered logs an answered request, with the server of its last recorded attempt, if the event's
// level is enabled.
func (p *Program) logAnswered(trace *lifecycle.Trace) {
	if !eventAnswered.Enabled() {
		return
	}
	server := ""
	if n := min(trace.AttemptCount, len(trace.Attempts)); n > 0 {
		server = trace.Attempts[n-1].Server
	}
	eventAnswered.Log(
		trace.ID,
		p.config.Settings.Classes[trace.Class].Name,
		statusNames[trace.Status],
		trace.Cause,
		milliseconds(trace.AnsweredAt.Sub(trace.ArrivedAt)),
		trace.AttemptCount,
		server,
	)
}
