package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/wallclock"
)

// Cause is why a request was answered as it was. Those of the module are followed by those of the
// table of requests.
type Cause uint8

// The causes that are not the module's. Value and Limit of the trail are what was compared, where
// that is said.
const (
	CauseNone           Cause = 0
	CauseKeyTableFull   Cause = 64 + iota // the table of keys is full; keys, and what it holds
	CauseKeyStore                         // the key cannot be kept now
	CauseDuplicateID                      // a request by its name is open
	CauseKeyReused                        // its key stands for another body
	CauseInDoubt                          // it repeats one that had begun before a restart
	CauseDuplicate                        // it got what the try got that it repeats
	CauseOriginalNotRun                   // what it repeats was dropped without having run
	CauseNoServer                         // no server took it
	CauseServerFault                      // its server failed it, by a status of its own
	CauseInterrupted                      // its run was cut off, and may not be tried again
	CauseRunTimeout                       // its run had no end by its due time
	CauseUnknownRequest                   // whoever runs requests knows of none like it
	CauseDeadline                         // the deadline of its front came
	CauseCallerGone                       // its caller went before there was an answer
	CauseRunRejected                      // the run was refused, and nothing ran
	// it would have come too late for the slots of its pool; seconds it would take, and that are
	// left
	CauseBulkheadWait
	// the line of its pool was full; requests in it, and that it holds
	CauseBulkheadFull
	CauseReplicas // its copies on other runners were not to be had
)

var causeNames = map[Cause]string{
	CauseNone: "none", Cause(admission.CauseDraining): "drain", Cause(admission.CauseMemory): "no memory to hold it",
	Cause(admission.CauseDeadlineTooNear): "too little time left", Cause(admission.CauseCallQueue): "no room for its call",
	Cause(admission.CauseQueueingDelay): "queueing delay", Cause(admission.CauseObjectiveUnreachable): "held until its aim was out of reach",
	Cause(admission.CauseQuota): "beyond its tenant's share", Cause(admission.CauseKeyMemory): "no memory for its key",
	Cause(admission.CauseDeadlinePassed): "due time came", Cause(admission.CauseCallFailed): "its call failed", Cause(admission.CauseCancelled): "its run was stopped",
	CauseKeyTableFull: "table of keys full", CauseKeyStore: "key cannot be kept", CauseDuplicateID: "its name is open", CauseKeyReused: "its key stands for another body",
	CauseInDoubt: "in doubt after a restart", CauseDuplicate: "repeats another try", CauseOriginalNotRun: "what it repeats never ran",
	CauseNoServer: "no server took it", CauseServerFault: "its server failed it", CauseInterrupted: "its run was cut off", CauseRunTimeout: "its run took too long",
	CauseUnknownRequest: "nobody knows it", CauseDeadline: "its deadline came", CauseCallerGone: "its caller went", CauseRunRejected: "its run was refused",
	CauseBulkheadWait: "no slot of its pool in time", CauseBulkheadFull: "line of its pool full", CauseReplicas: "its copies were not to be had"}

func (c Cause) String() string { return causeNames[c] }

// AllCauses are all of them.
func AllCauses() (out []Cause) {
	for c := range causeNames {
		out = append(out, c)
	}
	return out
}

// AttemptTrace is one try on a server.
type AttemptTrace struct {
	Server    string              // empty: none took it
	StartedAt wallclock.UnixMicro // Unix time
	Duration  time.Duration
	Outcome   Outcome // nought: it is not over
}

// maxTracedAttempts is how many tries a trail tells of.
const maxTracedAttempts = 4

// Trace is what became of a request, and why.
type Trace struct {
	ID, Key       string
	TraceParent   string // as the request has it
	Class, Tenant int
	Caller        uint32
	ArrivedAt     wallclock.UnixMicro // Unix times: at the machine,
	ReadAt        wallclock.UnixMicro // when it was read whole,
	StartedAt     wallclock.UnixMicro // when its run began; 0: never
	AnsweredAt    wallclock.UnixMicro // and when it was answered
	OriginalID    string              // of a repeat: the name of the try that it repeats
	Status        Status              // nought: its caller went
	Cause         Cause
	Value, Limit  float64
	RetryAfter    time.Duration
	Attempts      [maxTracedAttempts]AttemptTrace
	AttemptCount  int // those beyond the hops are counted alone
	// time that it waited until its key was kept, on the disk or on other runners
	KeyWait time.Duration
}

// trace begins one, where anybody takes them.
func (c *Manager) newTrace(q *Request) *Trace {
	if c.env.OnAnswered == nil {
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
		ReadAt:      c.env.Unix(),
	}
}

// setCause notes why an answer is about to be given. What was said first stands: a cause that is
// nearer to it.
func (t *Trace) setCause(cause Cause, value, limit float64) {
	if t != nil && t.Cause == CauseNone {
		t.Cause, t.Value, t.Limit = cause, value, limit
	}
}

// report hands a trail over, once.
func (c *Manager) report(t *Trace, kind Status, comeBack time.Duration) {
	if t == nil || t.AnsweredAt != 0 {
		return
	}
	t.Status, t.RetryAfter, t.AnsweredAt = kind, comeBack, c.env.Unix()
	c.env.OnAnswered(t)
}

// reportRequest is tell for a request that may still run.
func (c *Manager) reportRequest(r *request, kind Status, comeBack time.Duration) {
	if t, a := r.trace, r.running; t != nil && a != nil && t.AttemptCount > 0 && t.AttemptCount <= maxTracedAttempts {
		h := &t.Attempts[t.AttemptCount-1]
		h.Server, h.Duration = a.Server, c.env.Unix().Sub(h.StartedAt)
		if kind == Expired {
			h.Outcome = TimedOut
		}
	}
	c.report(r.trace, kind, comeBack)
}

// attemptStarted notes a try that begins, and ended one that is over.
func (t *Trace) attemptStarted(now wallclock.UnixMicro) {
	if t == nil {
		return
	}
	if t.AttemptCount < maxTracedAttempts {
		t.Attempts[t.AttemptCount] = AttemptTrace{StartedAt: now}
	}
	if t.AttemptCount++; t.StartedAt == 0 {
		t.StartedAt = now
	}
}

func (t *Trace) attemptEnded(a *Attempt, o Outcome, now wallclock.UnixMicro) {
	if t == nil || t.AttemptCount == 0 || t.AttemptCount > maxTracedAttempts {
		return
	}
	h := &t.Attempts[t.AttemptCount-1]
	h.Server, h.Outcome, h.Duration = a.Server, o, now.Sub(h.StartedAt)
}

// requestRecord notes a wait for its key to be kept.
func (t *Trace) addKeyWait(d time.Duration) {
	if t != nil {
		t.KeyWait += d
	}
}

// serverTime is the time that servers spent, of the tries that it tells of.
func (t *Trace) serverTime() (sum time.Duration) {
	if t == nil {
		return 0
	}
	for _, h := range t.Attempts[:min(t.AttemptCount, len(t.Attempts))] {
		sum += h.Duration
	}
	return sum
}

// outcomeCause is why a run that ended like that has no result.
func outcomeCause(o Outcome) Cause {
	switch o {
	case Succeeded:
		return CauseNone
	case NotStarted:
		return CauseRunRejected
	case Unreachable:
		return CauseNoServer
	case TimedOut:
		return CauseRunTimeout
	case UnknownRequest:
		return CauseUnknownRequest
	case Interrupted:
		return CauseInterrupted
	case Canceled:
		return CauseCallerGone
	}
	return CauseServerFault
}
