package waitqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/lifecycle"
)

// testProgram stands in for the program around a queue: a clock, posted functions, timers, a runner
// whose attempts end when the test ends them, and a sink that fails the test if an attempt ends twice.
type testProgram struct {
	now     time.Duration
	posted  []func()
	timers  []func()
	running map[*lifecycle.Attempt]bool
	ended   map[*lifecycle.Attempt]lifecycle.Outcome
	t       *rapid.T
}

func (p *testProgram) Run(a *lifecycle.Attempt) {
	if p.running[a] {
		p.t.Fatal("Run called twice for the same attempt")
	}
	p.running[a] = true
}
func (p *testProgram) Abandon(*lifecycle.Attempt)                                 {}
func (p *testProgram) ResponseStarted(*lifecycle.Attempt, *lifecycle.Result) bool { return true }
func (p *testProgram) AttemptEnded(a *lifecycle.Attempt, o lifecycle.Outcome, _ *lifecycle.Result) {
	if _, twice := p.ended[a]; twice {
		p.t.Fatal("AttemptEnded called twice for the same attempt")
	}
	p.ended[a] = o
}

// runPosted calls the posted functions until none is left.
func (p *testProgram) runPosted() {
	for len(p.posted) > 0 {
		fn := p.posted[0]
		p.posted = p.posted[1:]
		fn()
	}
}

// environment returns an Environment with the given Post and After functions and the test's clock.
func (p *testProgram) environment(post func(func()), after func(time.Duration, func())) Environment {
	return Environment{
		Now:      func() time.Duration { return p.now },
		Post:     post,
		After:    after,
		Capacity: func() int { return 0 },
	}
}

func newTestProgram(t *rapid.T) *testProgram {
	return &testProgram{
		now:     time.Microsecond,
		running: map[*lifecycle.Attempt]bool{},
		ended:   map[*lifecycle.Attempt]lifecycle.Outcome{},
		t:       t,
	}
}

func testConfig(maxQueueLength int) *bulkhead.Config {
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
		ReclaimTime:    time.Millisecond,
		MaxQueueLength: maxQueueLength,
	}
}

// drawMicros draws a duration of at most the given number of microseconds.
func drawMicros(t *rapid.T, most int64, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, most).Draw(t, label)) * time.Microsecond
}

// randomAttempts drives a queue with random attempts, ends of attempts and configurations.
type randomAttempts struct {
	*testProgram
	queue *Queue
	open  []*lifecycle.Attempt // attempts that have not ended
	count int                  // attempts begun so far
}

func (r *randomAttempts) begin() {
	a := &lifecycle.Attempt{
		Request:    &lifecycle.Request{Class: rapid.IntRange(0, 1).Draw(r.t, "class")},
		Deadline:   r.now + drawMicros(r.t, 2_000_000, "deadline"),
		Idempotent: rapid.Bool().Draw(r.t, "idempotent"),
	}
	r.open = append(r.open, a)
	r.count++
	r.queue.Run(a)
}

// endFirst ends the first running attempt.
func (r *randomAttempts) endFirst(outcome lifecycle.Outcome) {
	i := slices.IndexFunc(r.open, func(a *lifecycle.Attempt) bool { return r.running[a] })
	if i < 0 {
		return
	}
	a := r.open[i]
	delete(r.running, a)
	r.open = slices.Delete(r.open, i, i+1)
	r.queue.AttemptEnded(a, outcome, nil)
}

func (r *randomAttempts) step() {
	r.now += drawMicros(r.t, 300_000, "time")
	switch rapid.IntRange(0, 6).Draw(r.t, "what") {
	case 0, 1, 2:
		r.begin()
	case 3:
		r.endFirst(rapid.SampledFrom([]lifecycle.Outcome{
			lifecycle.Succeeded,
			lifecycle.Faulted,
			lifecycle.Interrupted,
			lifecycle.TimedOut,
			lifecycle.NotStarted,
			lifecycle.Unreachable,
			lifecycle.Cancelled,
		}).Draw(r.t, "outcome"))
	case 4:
		if len(r.open) > 0 {
			r.queue.Abandon(r.open[len(r.open)-1])
		}
	case 5:
		configs := []*bulkhead.Config{nil, testConfig(3), testConfig(20)}
		r.queue.Configure(rapid.SampledFrom(configs).Draw(r.t, "pools"))
	case 6:
		timers := r.timers
		r.timers = nil
		for _, fn := range timers {
			fn()
		}
	}
	r.runPosted()
}

// checkDropped removes the dropped attempts from the open ones, and checks that none of them has run.
func (r *randomAttempts) checkDropped() {
	r.open = slices.DeleteFunc(r.open, func(a *lifecycle.Attempt) bool {
		outcome, isOver := r.ended[a]
		if isOver && (outcome != lifecycle.NotStarted || r.running[a]) {
			r.t.Fatalf("dropped attempt: outcome %v, running %v; want NotStarted, not running", outcome, r.running[a])
		}
		return isOver
	})
}

// Bulkheads are set, changed and removed while attempts wait and run.
func TestEachAttemptEndsOnceAndNoSlotStaysTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestProgram(t)
		environment := p.environment(
			func(fn func()) { p.posted = append(p.posted, fn) },
			func(_ time.Duration, fn func()) { p.timers = append(p.timers, fn) },
		)
		r := &randomAttempts{testProgram: p, queue: New(environment, p)}
		r.queue.SetNext(p)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			r.step()
			r.checkDropped()
		}
		r.queue.Configure(nil) // passes all waiting attempts on
		r.runPosted()
		for range r.count {
			r.endFirst(lifecycle.Succeeded)
		}
		if len(r.ended) != r.count || len(r.queue.requests) != 0 {
			t.Fatalf("%d of %d attempts ended, the queue still holds %d", len(r.ended), r.count, len(r.queue.requests))
		}
	})
}

func TestDroppedAttemptSaysWhatWasCompared(t *testing.T) {
	p := newTestProgram(nil)
	queue := New(p.environment(func(fn func()) { fn() }, func(time.Duration, func()) {}), p)
	queue.SetNext(p)
	queue.Configure(
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
	const far = 300 * time.Hour
	run := func(deadline time.Duration) *lifecycle.Attempt {
		a := &lifecycle.Attempt{Request: &lifecycle.Request{}, Deadline: deadline}
		queue.Run(a)
		return a
	}
	first := run(far)
	p.now += time.Second
	queue.AttemptEnded(first, lifecycle.Succeeded, nil)
	run(far)
	if a := run(p.now + 500*time.Millisecond); a.Cause != lifecycle.CauseBulkheadWait || a.Value < 1 ||
		a.Limit != 0.5 {
		t.Errorf("attempt that is too late: cause %v, value %v, limit %v; want CauseBulkheadWait, at least 1, 0.5",
			a.Cause, a.Value, a.Limit)
	}
	run(far)
	if a := run(2 * far); a.Cause != lifecycle.CauseBulkheadFull || a.Value != 2 || a.Limit != 1 {
		t.Errorf("attempt for a full queue: cause %v, value %v, limit %v; want CauseBulkheadFull, 2, 1",
			a.Cause, a.Value, a.Limit)
	}
}
