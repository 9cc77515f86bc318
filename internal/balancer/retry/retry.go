// Package retry decides whether a request whose attempt failed is retried on another server. The
// policy is a retry budget, as in Finagle and in the retry throttling of gRPC (gRFC A6): each first
// attempt earns a part of a retry, for its class and for the total. Where so many attempts fail that
// a budget is exhausted, more of them would add to an overload. The package does no I/O. Package
// picker keeps a budget for each group of servers, and package upstream asks it.
//
// A request that may have run and has side effects is never retried, nor one for which too little
// time is left.
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
	MayHaveRun                    // it has side effects, and may have run
	AttemptsExhausted             // it has had all its attempts, or would fail everywhere alike
	TooLittleTime                 // less time is left than an attempt takes
	ClassBudgetExhausted          // the budget of its class is used up
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
	// DecayTime is after how long two thirds of the tokens above MinTokens are gone.
	DecayTime time.Duration
}

// DefaultConfig returns the default budget: one retry for five first attempts, 20 in reserve, and a
// decay time of 10 s, so that the tokens earned in that time are there when many servers fail at
// once.
func DefaultConfig() Config {
	return Config{Ratio: 0.2, MinTokens: 20, DecayTime: 10 * time.Second}
}

// FailedAttempt describes a request whose attempt failed.
type FailedAttempt struct {
	Class          int
	HasSideEffects bool          // it must not run twice
	NeverRan       bool          // it is certain that the attempt did not run
	Attempts       int           // that it has had
	MaxAttempts    int           // that it may have
	TimeLeft       time.Duration // until its deadline
	TimeNeeded     time.Duration // that an attempt of its class takes at least
}

// Budget is the retry budget of a group of servers. It is used by one goroutine.
type Budget struct {
	cfg            Config
	total          tokenBucket
	classes        []tokenBucket
	DecisionCounts [TotalBudgetExhausted + 1]uint64 // by decision, since the start
	FirstAttempts  uint64                           // since the start
}

// tokenBucket holds retries that have been earned and not used.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration // monotonic
}

// decay drops tokens that were earned long ago.
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

// Configure changes the parameters. Tokens that were earned stay, and decay.
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

// Allow decides whether a request is retried at the monotonic time now. A retry that is allowed is
// taken off the budgets.
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

// TokensLeft returns how many retries the total budget still allows.
func (b *Budget) TokensLeft() float64 { return b.total.tokens }
