package lifecycle

import (
	"time"

	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// Environment is what the manager needs from the program around it. All functions are called on the
// manager's goroutine. Fields that may be nil say so.
type Environment struct {
	// Now is the monotonic clock, which is always above zero.
	Now func() time.Duration
	// Unix is the wall clock.
	Unix func() wallclock.UnixMicro
	// After calls fn after d, unless stop is called before.
	After func(d time.Duration, fn func()) (stop func())

	// Measure measures the machine and then calls its argument once, now or later.
	Measure func(func(Gauges))
	// SetHealth sets how health checks are answered. If static is set, healthy alone decides.
	SetHealth func(static, healthy bool)
	// Advertise sets the value that is sent with every answer from now on.
	Advertise func(value float64)
	// CloseIdle closes the connections that have been idle for the given time.
	CloseIdle func(idle time.Duration)

	// Route returns the runner of a class.
	Route func(class int) Runner
	// ShouldRetry decides whether a failed attempt is retried. nil: never.
	ShouldRetry func(RetryCandidate) bool
	// RetryAfter returns the Retry-After of a class after no server took one of its requests. nil:
	// the shortest one.
	RetryAfter func(class int) time.Duration
	// Dependency places the calls of runs to the back end. nil: runs make no calls.
	Dependency Dependency

	// KeyLimits bounds the table of idempotency keys.
	KeyLimits KeyLimits
	// KeyStore makes keys durable. nil: keys are lost with the process.
	KeyStore KeyStore
	// Reservations decides which process of the runner runs a key. nil: this is the only process.
	Reservations Reservations
	// SharesIDs reports whether other processes of the runner are alive, with which Reservations shares the IDs of
	// requests without keys. nil: never.
	SharesIDs func() bool
	// Incarnation identifies this process among all processes of the runner, to the key store and to
	// the reservations. Only its lower 32 bits are used.
	Incarnation uint64

	// OnAccepted is called with each accepted request; may be nil.
	OnAccepted func(*Request)
	// OnAnswered is called with the trace of each request once it is answered; may be nil.
	OnAnswered func(*Trace)
	// Log writes an event. nil: events go to the log of the process.
	Log func(e *logging.Event, values ...any)
}

// KeyLimits bounds the table of idempotency keys. A field that is zero has its default value.
type KeyLimits struct {
	Keys        int // default: 20,000
	ResultBytes int // of all cached results; default: 24 MiB
}
