package balance

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// Policy is the rule by which a balancer chooses among the eligible servers.
type Policy string

// The policies. Their values are the names in scenario files.
const (
	RoundRobin        Policy = "round"    // one server after the other
	LeastRequests     Policy = "least"    // the fewest outstanding requests of this balancer
	PowerOfTwoChoices Policy = "two"      // the one of two random servers with fewer outstanding requests
	WeightedRandom    Policy = "weighted" // random by fixed weights
	LeastReportedLoad Policy = "told"     // the lowest reported load
	ConsistentHash    Policy = "hash"     // by the request's key, with little change as the list changes
	LeastLatency      Policy = "fastest"  // the lowest mean latency
)

// Policies lists all policies.
var Policies = []Policy{
	RoundRobin,
	LeastRequests,
	PowerOfTwoChoices,
	WeightedRandom,
	LeastReportedLoad,
	ConsistentHash,
	LeastLatency,
}

// Retry says how a balancer retries.
type Retry string

// The ways of retrying. Their values are the names in scenario files.
const (
	RetryNever     Retry = "never"
	RetryBounded   Retry = "bounded"   // up to Behavior.MaxAttempts, within a retry budget
	RetryUnlimited Retry = "limitless" // through the list again and again until the deadline
)

// Behavior configures a balancer.
type Behavior struct {
	Policy      Policy
	Retry       Retry
	MaxAttempts int     // of a request, with RetryBounded
	RetryBudget float64 // retries for each request, with RetryBounded; 0: no budget
	// RetryPause is the pause before the next round of the list, and between bounded attempts.
	RetryPause time.Duration
	// AttemptTimeout limits each attempt, as a fraction of the request's deadline; 1: no limit of its own.
	AttemptTimeout float64
	HedgeDelay     time.Duration // after which a slow idempotent request is hedged; 0: never
	// FollowsAdvice makes the balancer observe the advertised credit, Retry-After and DoNotRetry.
	FollowsAdvice       bool
	CreditTTL           time.Duration // how long an advertised credit holds
	HealthCheckInterval time.Duration // 0: no health checks
	EjectAfterFailures  int           // consecutive failures after which a server is ejected; 0: never
	EjectionTime        time.Duration
	// ThrottleFactor makes the balancer drop requests itself once fewer than one in ThrottleFactor
	// is served; 0: never.
	ThrottleFactor float64
	SubsetSize     int  // number of servers that it uses; 0: all
	Sticky         bool // a keyed request whose attempt may have run is retried at the same server
}

// Request is a request of a client.
type Request struct {
	ID         uint64
	Key        uint64 // for ConsistentHash
	Idempotent bool
	Keyed      bool          // idempotent by its idempotency key
	Deadline   time.Duration // from Submit on
}

// Kind is the kind of a server's answer.
type Kind uint8

// The kinds of answer.
const (
	Served Kind = iota + 1
	Rejected
	Failed      // the request may have run
	Unreachable // there was no connection: the request never ran
)

// NoCredit is the AdvertisedValue of an answer that carries none. Any negative value means the same.
const NoCredit = -1

// Answer is the answer to an attempt.
type Answer struct {
	Kind            Kind
	RetryAfter      time.Duration // of Rejected: until this server is to be tried again; 0: not given
	DoNotRetry      bool          // of Rejected: no other server is to be tried
	AdvertisedValue float64       // credit for this balancer, in requests; negative: none
}

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	EndServed Outcome = iota + 1
	EndRejected
	EndFailed
	EndTimedOut // the deadline passed
	EndUnsent   // no server was eligible, and none was tried
)

// Attempt is one attempt of a request at a server.
type Attempt struct {
	Request *Request
	Server  int           // index
	Number  int           // of the attempt, from 0
	SentAt  time.Duration // by the balancer's clock
	Hedged  bool          // it is the second, hedged one
	pending *pendingRequest
	timer   virtualclock.Timer // of the attempt's timeout; nil: it has none
	closed  bool
}

// Transport carries out what a balancer decides. It reports results through Balancer.Answered and
// Balancer.Checked, never from within one of its methods.
type Transport interface {
	// Send sends an attempt to its server.
	Send(attempt *Attempt)
	// Abort cancels an attempt whose answer nobody waits for. No answer is needed any more.
	Abort(attempt *Attempt)
	// Check starts a health check of a server.
	Check(server int)
	// Finish ends a request for its client. by is the attempt that served it, or nil.
	Finish(r *Request, e Outcome, by *Attempt)
}

// Draw returns a number in [0, 1) that depends on its arguments alone, so that two simulations of a day
// make the same draws, whatever else differs between them.
type Draw func(request uint64, number, purpose int) float64

// The purposes of draws. That of a fractional credit is drawCredit plus the server's index.
const (
	drawFirst = iota
	drawSecond
	drawWeight
	drawCredit
	drawThrottle = 1 << 20
)
