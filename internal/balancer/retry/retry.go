// Package retry decides whether a request that came to nothing on one server is tried on another.
// It is free of I/O.
//
// A retry is paid for: each first try earns a part of one, for its class and for the whole, and
// where either has none left the trouble is one that more tries would feed. What may have run and
// has an effect is never tried again, and nothing is for which no time is left.
package retry

import "math"

// Reason is why a request is tried again or not.
type Reason uint8

// The reasons.
const (
	Granted    Reason = iota + 1
	MayHaveRun        // it has an effect, and no proof that it never ran
	NoMore            // it has had all its tries, or its failure would be the same elsewhere
	NoTime            // too little is left for a try
	ClassSpent        // its class has used up its retries
	WholeSpent        // all of them together have
)

var names = [...]string{
	Granted:    "granted",
	MayHaveRun: "may have run",
	NoMore:     "no more tries",
	NoTime:     "no time",
	ClassSpent: "the budget of the class is spent",
	WholeSpent: "the budget is spent",
}

func (r Reason) String() string { return names[r] }

// Reasons are all of them.
var Reasons = []Reason{Granted, MayHaveRun, NoMore, NoTime, ClassSpent, WholeSpent}

// Config is the budget.
type Config struct {
	Share float64 // retries for each first try, for a class and for the whole
	Spare float64 // retries that are there at the start, and stay: a quiet class has a few
	// microseconds after which two thirds of what was saved up beyond that is forgotten
	Keep int64
}

// Standard is what is usual. At size many servers may die in one second, and what was earned in ten
// has to be there for it.
func Standard() Config { return Config{Share: 0.2, Spare: 20, Keep: 10_000_000} }

// Question is what is known of a request that came to nothing.
type Question struct {
	Class  int
	Effect bool  // running it twice would do harm
	Proven bool  // that it never ran
	Tries  int   // that it has had
	Most   int   // that it may have
	Left   int64 // microseconds until its answer is worth nothing
	Need   int64 // that a try takes by what is known
}

// Budget is what is left to spend.
type Budget struct {
	cfg     Config
	whole   purse
	classes []purse
	Told    [WholeSpent + 1]uint64 // how often each was the answer
	Firsts  uint64
}

// purse is what is left to spend of one kind.
type purse struct {
	left float64
	at   int64 // when it was looked at last
}

// age forgets what was saved up long ago.
func (p *purse) age(cfg *Config, now int64) {
	if over := p.left - cfg.Spare; over > 0 && now > p.at {
		p.left = cfg.Spare + over*math.Exp(-float64(now-p.at)/float64(max(cfg.Keep, 1)))
	}
	p.at = now
}

// New is the budget for so many classes.
func New(cfg Config, classes int) *Budget {
	b := &Budget{cfg: cfg, whole: purse{left: cfg.Spare}}
	b.Configure(cfg, classes)
	return b
}

// Configure takes another budget. What was saved up stays, and is forgotten in time.
func (b *Budget) Configure(cfg Config, classes int) {
	b.cfg = cfg
	for len(b.classes) < classes {
		b.classes = append(b.classes, purse{left: cfg.Spare})
	}
}

// First notes the first try of a request.
func (b *Budget) First(class int, now int64) {
	b.Firsts++
	for _, p := range []*purse{&b.whole, &b.classes[class]} {
		p.age(&b.cfg, now)
		p.left += b.cfg.Share
	}
}

// Ask decides, and takes what is granted off the budget.
func (b *Budget) Ask(q Question, now int64) Reason {
	b.whole.age(&b.cfg, now)
	b.classes[q.Class].age(&b.cfg, now)
	r := b.decide(q)
	if r == Granted {
		b.whole.left--
		b.classes[q.Class].left--
	}
	b.Told[r]++
	return r
}

func (b *Budget) decide(q Question) Reason {
	switch {
	case q.Effect && !q.Proven:
		return MayHaveRun
	case q.Tries >= q.Most:
		return NoMore
	case q.Left <= 0 || q.Left < q.Need:
		return NoTime
	case b.classes[q.Class].left < 1:
		return ClassSpent
	case b.whole.left < 1:
		return WholeSpent
	}
	return Granted
}

// Left is what the budget of the whole is good for.
func (b *Budget) Left() float64 { return b.whole.left }
