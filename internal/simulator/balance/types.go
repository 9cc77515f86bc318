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
	PowerOfTwoChoices Policy = "two"      // of two random servers, the one with fewer outstanding requests
	WeightedRandom    Policy = "weighted" // random, in proportion to fixed weights
	LeastReportedLoad Policy = "told"     // the lowest reported load
	ConsistentHash    Policy = "hash"     // rendezvous hashing by the request's key: few keys move as the list changes
	LeastLatency      Policy = "fastest"  // the lowest moving average of the latency
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

// Retry is the way in which a balancer retries.
type Retry string

// The ways of retrying. Their values are the names in scenario files.
const (
	RetryNever     Retry = "never"
	RetryBounded   Retry = "bounded"   // up to Behavior.MaxAttempts and within a retry budget
	RetryUnlimited Retry = "limitless" // round after round of the list, until the deadline
)

// Behavior configures a balancer.
type Behavior struct {
	Policy      Policy
	Retry       Retry
	MaxAttempts int     // attempts for each request, with RetryBounded
	RetryBudget float64 // retries that each request adds to the budget, with RetryBounded; 0: no budget
	// RetryPause is the pause before each retry with RetryBounded. With RetryUnlimited it is the pause, of at
	// least 1 ms, before the next round of the list and before a retry at the same server (see Sticky).
	RetryPause time.Duration
	// AttemptTimeout is the timeout of each attempt, as a fraction of the request's deadline; 1: none but
	// the deadline.
	AttemptTimeout float64
	HedgeDelay     time.Duration // delay after which an idempotent request is hedged; 0: never
	// FollowsAdvice makes the balancer observe the advertised credit, Retry-After and DoNotRetry.
	FollowsAdvice       bool
	CreditTTL           time.Duration // how long an advertised credit is valid
	HealthCheckInterval time.Duration // 0: no health checks
	EjectAfterFailures  int           // consecutive failures after which a server is ejected; 0: never
	EjectionTime        time.Duration // how long a server stays ejected
	// ThrottleFactor makes the balancer drop part of the requests itself once fewer than one in
	// ThrottleFactor recent requests is served; 0: never.
	ThrottleFactor float64
	SubsetSize     int  // number of servers that the balancer uses; 0: all
	Sticky         bool // retry a keyed request that may have run at the same server
}

// Request is a request of a client.
type Request struct {
	ID         uint64
	Key        uint64 // for ConsistentHash
	Idempotent bool
	Keyed      bool          // idempotent by its idempotency key
	Deadline   time.Duration // counted from Submit
}

// Kind is the kind of a server's answer.
type Kind uint8

// The kinds of answer.
const (
	Served Kind = iota + 1
	Rejected
	Failed      // the request may have run
	Unreachable // no connection was made, so that the request did not run
)

// NoCredit is the AdvertisedCredit of an answer that carries no credit. Any negative value means the same.
const NoCredit = -1

// Answer is the answer to an attempt.
type Answer struct {
	Kind             Kind
	RetryAfter       time.Duration // with Rejected: how long to avoid this server; 0: not given
	DoNotRetry       bool          // with Rejected: the balancer is to try no other server
	AdvertisedCredit float64       // credit of this balancer at the server, in requests; negative: none
}

// Outcome is the outcome of a request for its client.
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
	Server  int           // index of the server
	Number  int           // of the attempt within its request, from 0
	SentAt  time.Duration // by the balancer's clock
	Hedged  bool          // it was sent beside a slow earlier attempt
	pending *pendingRequest
	timer   virtualclock.Timer // of the attempt's timeout; nil: it has no timeout of its own
	closed  bool               // it is answered or aborted
}

// Transport carries out the decisions of a balancer. It reports results through Balancer.Answered and
// Balancer.Checked, which it must not call from within one of its methods.
type Transport interface {
	// Send sends an attempt to its server.
	Send(attempt *Attempt)
	// Abort cancels an attempt. Its answer is no longer needed.
	Abort(attempt *Attempt)
	// Check starts a health check of a server.
	Check(server int)
	// Finish ends a request for its client. by is the attempt that served it, or nil.
	Finish(r *Request, outcome Outcome, by *Attempt)
}

// Draw returns a pseudo-random number in [0, 1) that depends only on its arguments, so that two simulations
// of a day make the same draws whatever else differs between them.
type Draw func(request uint64, number, purpose int) float64

// The purposes of draws, by which draws of the same request and number differ. A draw for the fractional part
// of the credit at server i has the purpose drawCredit + i, which stays below drawThrottle.
const (
	drawFirst  = iota // start of pickLeast, first server of pickOfTwo, delay of the first health check
	drawSecond        // second server of pickOfTwo
	drawWeight        // position in the sum of weights of pickWeighted
	drawCredit
	drawThrottle = 1 << 20
)
