package lifecycle

import (
	"time"

	"ryepaddle/internal/wallclock"
)

// maxTracedAttempts is the maximum number of attempts that a trace describes.
const maxTracedAttempts = 4

// AttemptTrace describes an attempt.
type AttemptTrace struct {
	Server    string // empty: no server took it
	StartedAt wallclock.UnixMicro
	Duration  time.Duration
	Outcome   Outcome // 0: it has not ended
}

// Trace describes what became of a request, and why.
type Trace struct {
	ID, Key       string
	TraceParent   string // the caller's trace context, as received
	Class, Tenant int
	Caller        uint32
	ArrivedAt     wallclock.UnixMicro // at the machine
	ReadAt        wallclock.UnixMicro // when it was read completely
	StartedAt     wallclock.UnixMicro // when its first attempt began; 0: there was none
	AnsweredAt    wallclock.UnixMicro
	OriginalID    string // of a duplicate: the ID of the request that ran
	Status        Status // 0: the caller was gone
	Cause         Cause
	// Value and Limit are the quantities that were compared, if the cause has them.
	Value, Limit float64
	RetryAfter   time.Duration
	Attempts     [maxTracedAttempts]AttemptTrace // the first ones
	AttemptCount int                             // all of them
	// KeyWait is how long the request waited for its key to be reserved or durable.
	KeyWait time.Duration
}

// newTrace returns the trace of a request; nil if no traces are collected. The methods of a nil trace
// do nothing.
func (m *Manager) newTrace(q *Request) *Trace {
	if m.env.OnAnswered == nil {
		return nil
	}
	return &Trace{
		ID:          q.ID,
		Key:         q.Key,
		TraceParent: q.TraceParent,
		Class:       q.Class,
		Tenant:      q.Tenant,
		Caller:      q.Caller,
		ArrivedAt:   q.ArrivedAt,
		ReadAt:      m.env.Unix(),
	}
}

// setCause sets the cause of the answer that is about to be given, for a cause without Value and Limit.
func (t *Trace) setCause(cause Cause) { t.setComparison(cause, 0, 0) }

// setComparison is setCause with the value and the limit that were compared. The first cause that is
// set is kept, as it is the closest to the reason.
func (t *Trace) setComparison(cause Cause, value, limit float64) {
	if t != nil && t.Cause == CauseNone {
		t.Cause = cause
		t.Value = value
		t.Limit = limit
	}
}

// reportTrace completes a trace and reports it, once.
func (m *Manager) reportTrace(t *Trace, status Status, retryAfter time.Duration) {
	if t == nil || t.AnsweredAt != 0 {
		return
	}
	t.Status = status
	t.RetryAfter = retryAfter
	t.AnsweredAt = m.env.Unix()
	m.env.OnAnswered(t)
}

// reportRequest is reportTrace for a request of which an attempt may still run.
func (m *Manager) reportRequest(r *request, status Status, retryAfter time.Duration) {
	if attempt := r.trace.lastAttempt(); attempt != nil && r.running != nil {
		attempt.Server = r.running.Server
		attempt.Duration = m.env.Unix().Sub(attempt.StartedAt)
		if status == Expired {
			attempt.Outcome = TimedOut
		}
	}
	m.reportTrace(r.trace, status, retryAfter)
}

// lastAttempt returns the last attempt, if the trace describes it; else nil.
func (t *Trace) lastAttempt() *AttemptTrace {
	if t == nil || t.AttemptCount == 0 || t.AttemptCount > maxTracedAttempts {
		return nil
	}
	return &t.Attempts[t.AttemptCount-1]
}

// attemptStarted records the start of an attempt.
func (t *Trace) attemptStarted(now wallclock.UnixMicro) {
	if t == nil {
		return
	}
	if t.AttemptCount < maxTracedAttempts {
		t.Attempts[t.AttemptCount] = AttemptTrace{StartedAt: now}
	}
	t.AttemptCount++
	if t.StartedAt == 0 {
		t.StartedAt = now
	}
}

// attemptEnded records the end of the last attempt.
func (t *Trace) attemptEnded(a *Attempt, outcome Outcome, now wallclock.UnixMicro) {
	if attempt := t.lastAttempt(); attempt != nil {
		attempt.Server = a.Server
		attempt.Outcome = outcome
		attempt.Duration = now.Sub(attempt.StartedAt)
	}
}

// addKeyWait adds time for which the request waited for its key to be reserved or durable.
func (t *Trace) addKeyWait(d time.Duration) {
	if t != nil {
		t.KeyWait += d
	}
}

// serverTime returns the time that servers spent on the attempts that the trace describes.
func (t *Trace) serverTime() (sum time.Duration) {
	if t == nil {
		return 0
	}
	for _, attempt := range t.Attempts[:min(t.AttemptCount, maxTracedAttempts)] {
		sum += attempt.Duration
	}
	return sum
}
