package admission

import "time"

// EventKind says what happened.
type EventKind uint8

// The events that the host reports.
const (
	EventNone          EventKind = iota
	EventRequest                 // a request was read; it gets exactly one answer
	EventCompleted               // a run, or an answer from the result of another request, ended
	EventBlocked                 // a running request waits for its call
	EventCallCompleted           // a call ended
	EventAbandoned               // the caller no longer waits for the request
	EventDrain                   // graceful shutdown begins; the process is stopped at Event.Deadline
	EventTimer                   // a timer is due; carries the gauges
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. OutcomeRejected, OutcomeUnreachable and OutcomeNeverStarted prove that nothing ran.
const (
	OutcomeUnknown Outcome = iota
	OutcomeOK
	OutcomeFailed
	OutcomeRejected
	OutcomeTimedOut
	OutcomeUnreachable
	OutcomeConnectionLost
	OutcomeCancelled
	OutcomeNeverStarted // the request was over before it could start
)

// neverRan reports whether the outcome proves that nothing ran.
func (o Outcome) neverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNeverStarted
}

// Gauges are the server's own measurements. A gauge that the host does not have is NaN.
type Gauges struct {
	CPU         float64 // busy fraction of the cores over the last half second
	Runnable    float64 // requests and other tasks that want a core now
	Memory      float64 // fraction in use
	Connections float64
}

// Event is something that happened at the host. Only the fields of its kind are read.
type Event struct {
	Kind    EventKind
	Request uint64

	// Fields of EventRequest; Deadline also of EventDrain.

	Class  int    // index in Settings.Classes
	Tenant int    // index in Settings.Tenants; any other value: no quota applies
	Caller uint32 // number that identifies the caller
	// Deadline is when the caller stops waiting, or when the draining process is stopped, by the
	// clock of Controller.Handle; 0: unknown.
	Deadline      time.Duration
	ExpectedWork  time.Duration // on a standard core; 0: unknown
	SizeKB        float64       // memory of the request while it is queued
	Rank          float64       // rank by priority weight, from 0 to below 1
	SubjectKey    uint64        // identifies the subject of the request; 0: none
	Write         bool          // the request changes its subject, so that its result is not shared
	Retry         bool          // a retry or a hedged request
	QueueingDelay time.Duration // before the request was read
	PriorRequest  uint64        // the remembered request that this one repeats; 0: none

	// Fields of EventCompleted and EventCallCompleted.

	Outcome Outcome
	Elapsed time.Duration

	// Fields of EventTimer.

	Token  uint64 // Action.Token of the ActionTimer
	Gauges Gauges
}
