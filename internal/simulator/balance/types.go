package balance

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// Policy is how a server is chosen among those that are willing.
type Policy string

// Policies are all ways of choosing.
var Policies = []Policy{RoundRobin, LeastRequests, PowerOfTwoChoices, WeightedRandom, LeastReportedLoad, ConsistentHash, LeastLatency}

// Retry is what follows a try that brought no result.
type Retry string

// Behavior is how a balancer behaves.
type Behavior struct {
	Policy      Policy
	Retry       Retry
	MaxAttempts int           // of Bounded, in all
	RetryBudget float64       // of Bounded: retries for each first try; 0: no such bound
	RetryPause  time.Duration // before the list is gone through once more, and between bounded tries
	// the share of the class's deadline that one try waits; 1: as long as the client
	AttemptTimeout      float64
	HedgeDelay          time.Duration // a safe request that is slow gets a second copy then; 0: none
	FollowsAdvice       bool          // the free value, advice to stay away and the wish not to try elsewhere
	CreditTTL           time.Duration // how long the free value is remembered
	HealthCheckInterval time.Duration // 0: no health checks
	EjectAfterFailures  int           // failures in a row after which a server is avoided; 0: never
	EjectionTime        time.Duration
	ThrottleFactor      float64 // keeps requests back when fewer than one in so many is taken; 0: never
	SubsetSize          int     // how many servers it keeps to; 0: all
	Sticky              bool    // a keyed request whose try may have run goes to the same server again
}

// Request is one first try.
type Request struct {
	ID         uint64
	Key        uint64 // of Hash
	Idempotent bool
	Keyed      bool
	Deadline   time.Duration // how long its client waits in all
}

// Kind is how a try was answered.
type Kind uint8

// Answer is what came back of a try.
type Answer struct {
	Kind            Kind
	RetryAfter      time.Duration // of Refused: advice to stay away
	DoNotRetry      bool          // of Refused: the wish that nobody else is tried
	AdvertisedValue float64       // the free value; negative: none came
}

// Outcome is how a first try ended for its client.
type Outcome uint8

// Attempt is one try of a request at a server.
type Attempt struct {
	Request *Request
	Server  int
	Number  int // from 0
	SentAt  time.Duration
	Hedged  bool
	pending *pendingRequest
	timer   virtualclock.Timer
	closed  bool
}

// Transport carries out what a balancer decides. It reports back through Answered and Checked, never
// from within a call.
type Transport interface {
	Send(t *Attempt)
	Abort(t *Attempt) // nobody waits for this try any more; nothing need be reported of it
	Check(server int)
	Finish(r *Request, e Outcome, by *Attempt) // by: the try that served it
}

// Draw gives a number from 0 to under 1 that depends on nothing but what it is asked for, so that
// two runs of a day draw alike whatever else differs between them.
type Draw func(request uint64, no, what int) float64
