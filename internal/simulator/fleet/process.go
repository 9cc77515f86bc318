package fleet

import (
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/dependencies"
)

// Process is the process of a runner, simulated in this process or reached over sockets. It reports back
// by calling methods of its Incarnation and Attempts. Submit may do so before it returns, the other
// methods may not.
type Process interface {
	// IsReady reports whether the process takes requests.
	IsReady() bool
	// Submit passes on a request that was read completely. The process owes it exactly one answer.
	Submit(a *Attempt)
	// Abandon reports that the balancer no longer waits for the answer.
	Abandon(a *Attempt)
	// Forget reports that an attempt is answered or abandoned and does not run: nothing more follows for
	// it.
	Forget(a *Attempt)
	// Check starts a health check by a caller, numbered from 1. The process need not call done.
	Check(caller int, done func(healthy bool))
	// Needs reports that a run waits for its next call to the back end.
	Needs(a *Attempt)
	// Ended reports that a run has ended.
	Ended(a *Attempt, outcome dependencies.RunOutcome)
	// Drain starts a graceful shutdown. The simulation kills the process after the timeout.
	Drain(timeout time.Duration)
	// Kill ends the process at once.
	Kill()
}

// Launch starts the process of an incarnation with the given settings.
type Launch func(incarnation *Incarnation, settings admission.Settings) (Process, error)

// Status tells whether a runner served, rejected or failed a request.
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
	RetryAfter time.Duration // with Rejected: how long to avoid this runner; 0: not given
	DoNotRetry bool          // with Rejected: the balancer is to try no other runner
}
