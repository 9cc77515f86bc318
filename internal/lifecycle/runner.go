package lifecycle

import (
	"math"
	"time"

	"ryepaddle/internal/admission"
)

// Outcome is how an attempt or a call ended.
type Outcome uint8

// The outcomes. NotStarted, CallRejected, Unreachable and UnknownRequest prove that nothing ran.
const (
	Succeeded      Outcome = iota + 1
	Faulted                // it failed on the server
	Interrupted            // the connection broke; the run may have had its effect
	TimedOut               // there was no response by the deadline; the run may have had its effect
	Cancelled              // the request was answered or abandoned before the end
	NotStarted             // the run was not begun
	CallRejected           // the call was rejected
	Unreachable            // no server took it
	UnknownRequest         // the runner does not know such a request
)

// neverRan reports whether the outcome of an attempt proves that nothing ran.
func (o Outcome) neverRan() bool {
	return o == NotStarted || o == Unreachable || o == UnknownRequest
}

// Attempt is an attempt to run a request.
type Attempt struct {
	Request *Request
	Class   string
	// Deadline is the monotonic time after which the answer is worthless.
	Deadline time.Duration
	// Objective is the monotonic time after which the answer is worth less; 0: not known.
	Objective  time.Duration
	Idempotent bool     // the request may safely run again
	Server     string   // server that took the attempt; set by runners with several servers
	Previous   *Attempt // the failed attempt that this one retries
	// Cause is why the attempt did not run, if the runner knows more than the outcome tells. Value
	// and Limit are the quantities that were compared.
	Cause        Cause
	Value, Limit float64

	id      uint64
	runner  Runner // runner that it was sent to; the route may change while it runs
	ended   bool
	pending bool // it waits for its reservation or for the key store
}

// Tried reports whether an earlier attempt of the request was sent to server.
func (a *Attempt) Tried(server string) bool {
	for previous := a.Previous; previous != nil; previous = previous.Previous {
		if previous.Server == server {
			return true
		}
	}
	return false
}

// count returns how many attempts the request has had, this one included.
func (a *Attempt) count() int {
	n := 1
	for previous := a.Previous; previous != nil; previous = previous.Previous {
		n++
	}
	return n
}

// RetryCandidate is a failed attempt that may be retried.
type RetryCandidate struct {
	Class         int
	HasSideEffect bool          // running it twice would do harm
	NeverRan      bool          // it is proven that the attempt did not run
	Attempts      int           // number of attempts of the request so far
	Remaining     time.Duration // time left for another attempt
}

// Runner runs requests. It reports the end of each attempt once, with Manager.AttemptEnded, never
// from within Run.
type Runner interface {
	Run(a *Attempt)
	// Abandon reports that the result of an attempt is no longer needed. The end of the attempt is
	// still reported.
	Abandon(a *Attempt)
}

// Dependency places the calls of runs and reports their ends with Manager.CallEnded, never from
// within Call.
type Dependency interface {
	Call(a *Attempt, body []byte, timeout time.Duration)
	// CancelCall drops a call in flight; its end is not reported.
	CancelCall(a *Attempt)
}

// Resumer is a Runner whose attempts make calls.
type Resumer interface {
	Runner
	// Resume continues an attempt with the reply to its call.
	Resume(a *Attempt, reply []byte)
}

// Gauges are measurements of the machine; NaN stands for a value that is not available.
type Gauges admission.Gauges

// UnknownGauges returns gauges without values: the admission controller then uses its own counts.
func UnknownGauges() Gauges {
	return Gauges{CPU: math.NaN(), Runnable: math.NaN(), Memory: math.NaN(), Connections: math.NaN()}
}
