// Package retry decides whether a request that came to nothing on one server is tried on another.
// It is free of I/O.
//
// A retry is paid for: each first try earns a part of one, for its class and for the whole, and
// where either has none left the trouble is one that more tries would feed. What may have run and
// has an effect is never tried again, and nothing is for which no time is left.
package retry

import "math"

// Decision is why a request is tried again or not.
type Decision uint8

// The reasons.
const (
	Allowed              Decision = iota + 1
	MayHaveRun                    // it has an effect, and no proof that it never ran
	AttemptsExhausted             // it has had all its tries, or its failure would be the same elsewhere
	TooLittleTime                 // too little is left for a try
	ClassBudgetExhausted          // its class has used up its retries
	TotalBudgetExhausted          // all of them together have
)

var names = [...]string{
	Allowed:              "granted",
	MayHaveRun:           "may have run",
	AttemptsExhausted:    "no more tries",
	TooLittleTime:        "no time",
	ClassBudgetExhausted: "the budget of the class is spent",
	TotalBudgetExhausted: "the budget is spent",
}

func (r Decision) String() string { return names[r] }

// Decisions are all of them.
var Decisions = []Decision{Allowed, MayHaveRun, AttemptsExhausted, TooLittleTime, ClassBudgetExhausted, TotalBudgetExhausted}

// Config is the budget.
type Config struct {
	Ratio     float64 // retries for each first try, for a class and for the whole
	MinTokens float64 // retries that are there at the start, and stay: a quiet class has a few
	// microseconds after which two thirds of what was saved up beyond that is forgotten
	DecayTime int64
}

// DefaultConfig is what is usual. At size many servers may die in one second, and what was earned in ten
// has to be there for it.
func DefaultConfig() Config { return Config{Ratio: 0.2, MinTokens: 20, DecayTime: 10_000_000} }

// FailedAttempt is what is known of a request that came to nothing.
type FailedAttempt struct {
	Class          int
	HasSideEffects bool  // running it twice would do harm
	NeverRan       bool  // that it never ran
	Attempts       int   // that it has had
	MaxAttempts    int   // that it may have
	TimeLeft       int64 // microseconds until its answer is worth nothing
	TimeNeeded     int64 // that a try takes by what is known
}

// Budget is what is left to spend.
type Budget struct {
	cfg            Config
	whole          tokenBucket
	classes        []tokenBucket
	DecisionCounts [TotalBudgetExhausted + 1]uint64 // how often each was the answer
	FirstAttempts  uint64
}

// tokenBucket is what is left to spend of one kind.
type tokenBucket struct {
	left float64
	at   int64 // when it was looked at last
}

// age forgets what was saved up long ago.
func (p *tokenBucket) age(cfg *Config, now int64) {
	if over := p.left - cfg.MinTokens; over > 0 && now > p.at {
		p.left = cfg.MinTokens + over*math.Exp(-float64(now-p.at)/float64(max(cfg.DecayTime, 1)))
	}
	p.at = now
}

// New is the budget for so many classes.
func New(cfg Config, classes int) *Budget {
	b := &Budget{cfg: cfg, whole: tokenBucket{left: cfg.MinTokens}}
	b.Configure(cfg, classes)
	return b
}

// Configure takes another budget. What was saved up stays, and is forgotten in time.
func (b *Budget) Configure(cfg Config, classes int) {
	b.cfg = cfg
	for len(b.classes) < classes {
		b.classes = append(b.classes, tokenBucket{left: cfg.MinTokens})
	}
}

// RecordFirstAttempt notes the first try of a request.
func (b *Budget) RecordFirstAttempt(class int, now int64) {
	b.FirstAttempts++
	for _, p := range []*tokenBucket{&b.whole, &b.classes[class]} {
		p.age(&b.cfg, now)
		p.left += b.cfg.Ratio
	}
}

// Allow decides, and takes what is granted off the budget.
func (b *Budget) Allow(q FailedAttempt, now int64) Decision {
	b.whole.age(&b.cfg, now)
	b.classes[q.Class].age(&b.cfg, now)
	r := b.decide(q)
	if r == Allowed {
		b.whole.left--
		b.classes[q.Class].left--
	}
	b.DecisionCounts[r]++
	return r
}

func (b *Budget) decide(q FailedAttempt) Decision {
	switch {
	case q.HasSideEffects && !q.NeverRan:
		return MayHaveRun
	case q.Attempts >= q.MaxAttempts:
		return AttemptsExhausted
	case q.TimeLeft <= 0 || q.TimeLeft < q.TimeNeeded:
		return TooLittleTime
	case b.classes[q.Class].left < 1:
		return ClassBudgetExhausted
	case b.whole.left < 1:
		return TotalBudgetExhausted
	}
	return Allowed
}

// TimeLeft is what the budget of the whole is good for.
func (b *Budget) TokensLeft() float64 { return b.whole.left }
