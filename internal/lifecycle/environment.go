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

	// Measure measures the machine and then calls back once, now or later.
	Measure func(func(Gauges))
	// SetHealth sets how health checks are answered. With static the setting alone decides.
	SetHealth func(static, healthy bool)
	// Advertise sets the value that is sent with every answer from now on.
	Advertise func(value float64)
	// CloseIdle closes connections that are idle for so long.
	CloseIdle func(idle time.Duration)

	// Route returns the runner of a class.
	Route func(class int) Runner
	// ShouldRetry decides whether a failed attempt is retried. nil: never.
	ShouldRetry func(RetryCandidate) bool
	// RetryAfter returns how long callers stay away from a class whose request no server took. nil:
	// for the shortest time.
	RetryAfter func(class int) time.Duration
	// Dependency places the calls of runs. nil: runs make no calls.
	Dependency Dependency

	// KeyLimits bounds the table of idempotency keys.
	KeyLimits KeyLimits
	// KeyStore makes keys durable. nil: keys are lost with the process.
	KeyStore KeyStore
	// Reservations decides which process runs a key. nil: no other process serves as this runner.
	Reservations Reservations
	// Incarnation identifies this process of the program among others to the key store and the
	// reservations. Its lower 32 bits count.
	Incarnation uint64

	// OnAccepted is called with each accepted request; may be nil.
	OnAccepted func(*Request)
	// OnAnswered is called with the trace of each request once it is answered; may be nil.
	OnAnswered func(*Trace)
	// Log writes an event. nil: to the log of the process.
	Log func(e *logging.Event, values ...any)
}

// KeyLimits bounds the table of idempotency keys. A zero field stands for its default.
type KeyLimits struct {
	Keys        int // 20,000
	ResultBytes int // of cached results; 24 MiB
}
