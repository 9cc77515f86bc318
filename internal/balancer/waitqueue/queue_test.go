package waitqueue

import (
	"testing"

	"pgregory.net/rapid"

	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/lifecycle"
)

// bench is a program round a Runner: a clock, what is posted, servers that end when the test says
// so, and a core that counts ends.
type bench struct {
	now     int64
	posted  []func()
	timers  []func()
	running map[*lifecycle.Attempt]bool
	ended   map[*lifecycle.Attempt]lifecycle.Outcome
	t       *rapid.T
}

func (b *bench) Run(a *lifecycle.Attempt) {
	if b.running[a] {
		b.t.Fatal("it runs twice")
	}
	b.running[a] = true
}
func (b *bench) Abandon(*lifecycle.Attempt)                       {}
func (b *bench) Began(*lifecycle.Attempt, *lifecycle.Result) bool { return true }
func (b *bench) Ended(a *lifecycle.Attempt, o lifecycle.Outcome, _ *lifecycle.Result) {
	if _, twice := b.ended[a]; twice {
		b.t.Fatal("it ends twice")
	}
	b.ended[a] = o
}

func (b *bench) settle() {
	for len(b.posted) > 0 {
		fn := b.posted[0]
		b.posted = b.posted[1:]
		fn()
	}
}

// Whatever comes, with pools set, changed and taken away under load: each attempt ends once, none
// runs twice, what is dropped did not run and says why, and no slot stays taken.
func TestEachEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &bench{
			now:     1,
			running: map[*lifecycle.Attempt]bool{},
			ended:   map[*lifecycle.Attempt]lifecycle.Outcome{},
			t:       t,
		}
		h := New(
			Environment{
				Now:      func() int64 { return b.now },
				Post:     func(fn func()) { b.posted = append(b.posted, fn) },
				After:    func(_ int64, fn func()) { b.timers = append(b.timers, fn) },
				Capacity: func() int { return 0 },
			},
			b,
		)
		h.SetNext(b)
		cfg := func(line int) *bulkhead.Config {
			return &bulkhead.Config{
				Pools: []bulkhead.Pool{
					{Name: "a", Floor: 0.5, Ceiling: 1, Weight: 1, Classes: []int{0}},
					{Name: "b", Ceiling: 1, Weight: 1},
				},
				Classes: []bulkhead.Class{
					{PriorityWeight: 1},
					{PriorityWeight: 2},
				},
				LimitAlgorithm: bulkhead.GradientLimit,
				InitialLimit:   4,
				MinLimit:       1,
				MaxLimit:       10,
				ReclaimTime:    1000,
				MaxQueueLength: line,
			}
		}
		var open []*lifecycle.Attempt
		all := 0
		end := func(o lifecycle.Outcome) {
			for i, a := range open {
				if b.running[a] {
					delete(b.running, a)
					open = append(open[:i], open[i+1:]...)
					h.Ended(a, o, nil)
					return
				}
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			b.now += rapid.Int64Range(0, 300_000).Draw(t, "time")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				a := &lifecycle.Attempt{
					Request:    &lifecycle.Request{Class: rapid.IntRange(0, 1).Draw(t, "class")},
					Deadline:   b.now + rapid.Int64Range(0, 2_000_000).Draw(t, "due"),
					Idempotent: rapid.Bool().Draw(t, "safe"),
				}
				open = append(open, a)
				all++
				h.Run(a)
			case 3:
				end(
					rapid.SampledFrom(
						[]lifecycle.Outcome{
							lifecycle.Succeeded,
							lifecycle.Faulted,
							lifecycle.Interrupted,
							lifecycle.TimedOut,
							lifecycle.NotStarted,
							lifecycle.Unreachable,
							lifecycle.Canceled,
						},
					).Draw(
						t,
						"outcome",
					),
				)
			case 4:
				if len(open) > 0 {
					h.Abandon(open[len(open)-1])
				}
			case 5:
				h.Configure(rapid.SampledFrom([]*bulkhead.Config{nil, cfg(3), cfg(20)}).Draw(t, "pools"))
			case 6:
				timers := b.timers
				b.timers = nil
				for _, fn := range timers {
					fn()
				}
			}
			b.settle()
			for i := 0; i < len(open); i++ {
				if o, over := b.ended[open[i]]; over {
					if o != lifecycle.NotStarted || b.running[open[i]] {
						t.Fatalf("dropped: %v, running %v", o, b.running[open[i]])
					}
					open = append(open[:i], open[i+1:]...)
					i--
				}
			}
		}
		h.Configure(nil) // all that waits goes on
		b.settle()
		for range all {
			end(lifecycle.Succeeded)
		}
		if len(b.ended) != all || len(h.held) != 0 {
			t.Fatalf("%d of %d ended, %d held", len(b.ended), all, len(h.held))
		}
	})
}

// A drop says what was compared.
func TestWhy(t *testing.T) {
	b := &bench{
		now:     1,
		running: map[*lifecycle.Attempt]bool{},
		ended:   map[*lifecycle.Attempt]lifecycle.Outcome{},
	}
	h := New(
		Environment{
			Now:      func() int64 { return b.now },
			Post:     func(fn func()) { fn() },
			After:    func(int64, func()) {},
			Capacity: func() int { return 0 },
		},
		b,
	)
	h.SetNext(b)
	h.Configure(
		&bulkhead.Config{
			Pools:          []bulkhead.Pool{{Name: "a", Ceiling: 1, Weight: 1}},
			Classes:        []bulkhead.Class{{PriorityWeight: 1}},
			LimitAlgorithm: bulkhead.FixedLimit,
			InitialLimit:   1,
			MinLimit:       1,
			MaxLimit:       1,
			MaxQueueLength: 1,
		},
	)
	run := func(due int64) *lifecycle.Attempt {
		a := &lifecycle.Attempt{Request: &lifecycle.Request{}, Deadline: due}
		h.Run(a)
		return a
	}
	first := run(1 << 40)
	b.now += 1_000_000
	h.Ended(first, lifecycle.Succeeded, nil)
	run(1 << 40)
	if a := run(b.now + 500_000); a.Cause != lifecycle.CauseBulkheadWait || a.Value < 1 || a.Limit != 0.5 {
		t.Errorf("%v, %v of %v", a.Cause, a.Value, a.Limit)
	}
	run(1 << 40)
	if a := run(1 << 41); a.Cause != lifecycle.CauseBulkheadFull || a.Value != 2 || a.Limit != 1 {
		t.Errorf("%v, %v of %v", a.Cause, a.Value, a.Limit)
	}
}
