// Package retry decides whether a request whose attempt failed is retried on another server. The
// policy is a retry budget, as in Finagle and in the retry throttling of gRPC (gRFC A6): each first
// attempt adds a fraction of a retry to the budget of its class and to the total budget. When so
// many attempts fail that a budget is exhausted, further retries would add to an overload. The
// package does no I/O. Package picker keeps a budget for each group of servers, and package upstream
// asks it.
//
// A request that may have run and has side effects is never retried, and neither is one with too
// little time left before its deadline.
package retry

import (
	"fmt"
	"math"
	"time"

	"ryepaddle/internal/balancer/latency"
)

// Decision says whether a request is retried, and if not, why.
type Decision uint8

// The decisions.
const (
	Allowed              Decision = iota + 1
	MayHaveRun                    // the request has side effects and may have run
	AttemptsExhausted             // the request has had MaxAttempts attempts
	TooLittleTime                 // less time is left than an attempt takes
	ClassBudgetExhausted          // the budget of the request's class is used up
	TotalBudgetExhausted          // the budget of all classes together is used up
)

// String returns the name that metrics and the status line use.
func (d Decision) String() string {
	switch d {
	case Allowed:
		return "granted"
	case MayHaveRun:
		return "may have run"
	case AttemptsExhausted:
		return "no more tries"
	case TooLittleTime:
		return "no time"
	case ClassBudgetExhausted:
		return "the budget of the class is spent"
	case TotalBudgetExhausted:
		return "the budget is spent"
	}
	return fmt.Sprintf("retry.Decision(%d)", uint8(d))
}

// Decisions lists all decisions.
var Decisions = []Decision{
	Allowed, MayHaveRun, AttemptsExhausted, TooLittleTime, ClassBudgetExhausted, TotalBudgetExhausted,
}

// Config holds the parameters of a budget.
type Config struct {
	Ratio     float64 // retries that each first attempt earns, for its class and for the total
	MinTokens float64 // retries available at the start; they do not decay
	// DecayTime is the time constant of the exponential decay of the tokens above MinTokens: after
	// this time about two thirds of them are gone.
	DecayTime time.Duration
}

// DefaultConfig returns the default budget: one retry for five first attempts, 20 retries that do
// not decay, and a decay time of 10 s, so that the tokens earned in the last 10 s are available when
// many servers fail at once.
func DefaultConfig() Config {
	return Config{Ratio: 0.2, MinTokens: 20, DecayTime: 10 * time.Second}
}

// FailedAttempt describes a request whose attempt failed.
type FailedAttempt struct {
	Class          int
	HasSideEffects bool          // the request must not run twice
	NeverRan       bool          // it is certain that the attempt did not run
	Attempts       int           // made so far
	MaxAttempts    int           // allowed, with the first one
	TimeLeft       time.Duration // until the deadline of the request
	TimeNeeded     time.Duration // minimum time of an attempt of the class
}

// Budget is the retry budget of a group of servers. It is used by one goroutine.
type Budget struct {
	cfg            Config
	total          tokenBucket
	classes        []tokenBucket
	DecisionCounts [TotalBudgetExhausted + 1]uint64 // indexed by decision, since the start
	FirstAttempts  uint64                           // since the start
}

// tokenBucket holds retries that have been earned and not used.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration // monotonic
}

// decay lets the tokens above MinTokens decay by the time since the last update.
func (b *tokenBucket) decay(cfg *Config, now time.Duration) {
	if excess := b.tokens - cfg.MinTokens; excess > 0 && now > b.updatedAt {
		age := latency.Micros(now - b.updatedAt)
		b.tokens = cfg.MinTokens + excess*math.Exp(-age/latency.Micros(latency.AtLeastOneMicrosecond(cfg.DecayTime)))
	}
	b.updatedAt = now
}

// New returns a budget for a number of classes.
func New(cfg Config, classes int) *Budget {
	b := &Budget{cfg: cfg, total: tokenBucket{tokens: cfg.MinTokens}}
	b.Configure(cfg, classes)
	return b
}

// Configure changes the parameters and adds budgets for new classes. Tokens that were earned before
// are kept, and decay by the new parameters.
func (b *Budget) Configure(cfg Config, classes int) {
	b.cfg = cfg
	for len(b.classes) < classes {
		b.classes = append(b.classes, tokenBucket{tokens: cfg.MinTokens})
	}
}

// RecordFirstAttempt reports the first attempt of a request at the monotonic time now.
func (b *Budget) RecordFirstAttempt(class int, now time.Duration) {
	b.FirstAttempts++
	for _, bucket := range []*tokenBucket{&b.total, &b.classes[class]} {
		bucket.decay(&b.cfg, now)
		bucket.tokens += b.cfg.Ratio
	}
}

// Allow decides whether a request is retried at the monotonic time now. A retry that is allowed
// takes one token from the budget of its class and one from the total budget.
func (b *Budget) Allow(attempt FailedAttempt, now time.Duration) Decision {
	total, class := &b.total, &b.classes[attempt.Class]
	total.decay(&b.cfg, now)
	class.decay(&b.cfg, now)
	decision := b.decide(attempt)
	if decision == Allowed {
		total.tokens--
		class.tokens--
	}
	b.DecisionCounts[decision]++
	return decision
}

func (b *Budget) decide(attempt FailedAttempt) Decision {
	switch {
	case attempt.HasSideEffects && !attempt.NeverRan:
		return MayHaveRun
	case attempt.Attempts >= attempt.MaxAttempts:
		return AttemptsExhausted
	case attempt.TimeLeft <= 0 || attempt.TimeLeft < attempt.TimeNeeded:
		return TooLittleTime
	case b.classes[attempt.Class].tokens < 1:
		return ClassBudgetExhausted
	case b.total.tokens < 1:
		return TotalBudgetExhausted
	}
	return Allowed
}

// TokensLeft returns the number of tokens in the total budget, as of the last update.
func (b *Budget) TokensLeft() float64 { return b.total.tokens }
