package tracing

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/wallclock"
)

// waitSpanNumber is the number from which the ID of the span of the wait is derived. It is higher than the
// numbers of attempts.
const waitSpanNumber = 1 << 15

// makeSpans makes the spans of a request and of its wait and attempts.
func (r *Recorder) makeSpans(s *sampledRequest) {
	ctx := context.Background()
	if s.hasParent {
		remote := trace.SpanContextConfig{TraceID: s.parent.Trace, SpanID: s.parent.Span, Remote: true}
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(remote))
	}
	class := r.opt.ClassName(s.Class)
	ctx, request := r.startSpan(ctx, s.span, class, trace.SpanKindServer, s.ArrivedAt, r.requestAttributes(s))
	if !isSuccess(s.Status) {
		request.SetStatus(codes.Error, s.Cause.String())
	}
	if s.StartedAt > 0 {
		span := s.span.Attempt(waitSpanNumber)
		_, wait := r.startSpan(ctx, span, "wait", trace.SpanKindInternal, s.ArrivedAt, nil)
		endSpan(wait, s.ArrivedAt, s.StartedAt)
	}
	for n, attempt := range s.Attempts[:min(s.AttemptCount, len(s.Attempts))] {
		r.attemptSpan(ctx, s.span.Attempt(n), n+1, &attempt)
	}
	endSpan(request, s.ArrivedAt, s.AnsweredAt)
}

func (r *Recorder) requestAttributes(s *sampledRequest) []attribute.KeyValue {
	attrs := []attribute.KeyValue{
		attribute.String("ryepaddle.request", s.ID),
		attribute.String("ryepaddle.class", r.opt.ClassName(s.Class)),
		attribute.String("ryepaddle.end", r.opt.StatusNames[s.Status]),
		attribute.Int64("ryepaddle.caller", int64(s.Caller)),
	}
	if s.Tenant >= 0 && s.Tenant < len(r.opt.Tenants) {
		attrs = append(attrs, attribute.String("ryepaddle.tenant", r.opt.Tenants[s.Tenant]))
	}
	if s.OriginalID != "" {
		attrs = append(attrs, attribute.String("ryepaddle.repeats", s.OriginalID))
	}
	if s.Cause == lifecycle.CauseNone {
		return attrs
	}
	attrs = append(attrs, attribute.String("ryepaddle.cause", s.Cause.String()))
	if s.Value != 0 || s.Limit != 0 {
		attrs = append(
			attrs,
			attribute.Float64("ryepaddle.value", s.Value),
			attribute.Float64("ryepaddle.limit", s.Limit),
		)
	}
	return attrs
}

// attemptSpan makes the span of an attempt. number counts attempts from 1.
func (r *Recorder) attemptSpan(
	ctx context.Context,
	at traceparent.Context,
	number int,
	attempt *lifecycle.AttemptTrace,
) {
	outcome := r.opt.OutcomeNames[attempt.Outcome]
	attrs := []attribute.KeyValue{
		attribute.Int("ryepaddle.try", number),
		attribute.String("ryepaddle.server", attempt.Server),
		attribute.String("ryepaddle.outcome", outcome),
	}
	_, span := r.startSpan(ctx, at, "try", trace.SpanKindClient, attempt.StartedAt, attrs)
	if attempt.Outcome != lifecycle.Succeeded && attempt.Outcome != 0 {
		span.SetStatus(codes.Error, outcome)
	}
	endSpan(span, attempt.StartedAt, attempt.StartedAt.Add(attempt.Duration))
}

// startSpan starts a span with the IDs of at.
func (r *Recorder) startSpan(
	ctx context.Context,
	at traceparent.Context,
	name string,
	kind trace.SpanKind,
	startedAt wallclock.UnixMicro,
	attrs []attribute.KeyValue,
) (context.Context, trace.Span) {
	return r.tracer.Start(
		context.WithValue(ctx, spanIDKey{}, at),
		name,
		trace.WithSpanKind(kind),
		trace.WithTimestamp(startedAt.Time()),
		trace.WithAttributes(attrs...),
	)
}

// endSpan ends a span. If the clock was set back since its start, its duration is zero.
func endSpan(s trace.Span, startedAt, endedAt wallclock.UnixMicro) {
	s.End(trace.WithTimestamp(max(startedAt, endedAt).Time()))
}

// spanIDKey is the context key of the IDs of the span to start.
type spanIDKey struct{}

// contextIDs generates the IDs of spans: it returns those in the context, because the servers have already
// received them with the request.
type contextIDs struct{}

// NewIDs implements sdk.IDGenerator.
func (contextIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	c, _ := ctx.Value(spanIDKey{}).(traceparent.Context)
	return c.Trace, c.Span
}

// NewSpanID implements sdk.IDGenerator.
func (contextIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	c, _ := ctx.Value(spanIDKey{}).(traceparent.Context)
	return c.Span
}
