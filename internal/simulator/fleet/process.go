package fleet

import (
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/dependencies"
)

// Process is the process of a runner, in this process or behind sockets. It reports back through its
// Incarnation and its Attempts; from within one of these methods only Submit may.
type Process interface {
	// IsReady reports whether it takes requests.
	IsReady() bool
	// Submit gives it a request that was read completely. It owes exactly one answer.
	Submit(a *Attempt)
	// Abandon says that the balancer does not wait for the answer any more.
	Abandon(a *Attempt)
	// Forget says that an attempt is answered or abandoned, and that its run has ended.
	Forget(a *Attempt)
	// Check starts a health check of a caller, numbered from 1. done may never be called.
	Check(caller int, done func(healthy bool))
	// Needs says that a run waits for its call.
	Needs(a *Attempt)
	// Ended says that a run has ended.
	Ended(a *Attempt, outcome dependencies.RunOutcome)
	// Drain starts a graceful shutdown. The process is killed after the timeout.
	Drain(timeout time.Duration)
	// Kill ends it at once.
	Kill()
}

// Launch starts the process of an incarnation with its settings.
type Launch func(incarnation *Incarnation, settings admission.Settings) (Process, error)

// Status says how a runner answered.
type Status uint8

// The statuses.
const (
	Served Status = iota + 1
	Rejected
	Failed
)

// Answer is the answer of a runner to an attempt.
type Answer struct {
	Status     Status
	RetryAfter time.Duration // of Rejected: until this runner is to be tried again; 0: not given
	DoNotRetry bool          // of Rejected: no other runner is to be tried
}
