// Package waitqueue implements the lifecycle.Runner in front of a group of servers where the group
// has bulkheads: attempts wait for a slot of their pool (package bulkhead) before they are passed to
// the next runner. A queue takes and releases all slots of its group. The application (internal/app)
// puts a queue between the request lifecycle and each group of package upstream.
package waitqueue

import (
	"cmp"
	"slices"
	"time"

	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/lifecycle"
)

// tickInterval is the time between two checks of the waiting attempts.
const tickInterval = 20 * time.Millisecond

// Sink receives the results of attempts. The request lifecycle implements it.
type Sink interface {
	// ResponseStarted reports a result whose body is not complete yet. It returns whether a caller
	// reads the rest.
	ResponseStarted(*lifecycle.Attempt, *lifecycle.Result) bool
	// AttemptEnded reports the end of an attempt. It is called once for each attempt.
	AttemptEnded(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
}

// Environment holds the functions of the program that a queue calls.
type Environment struct {
	Now   func() time.Duration             // monotonic
	Post  func(fn func())                  // calls fn soon, and not from within Post
	After func(d time.Duration, fn func()) // calls fn after d
	// Capacity returns how many requests the servers can have in flight together; 0: not known.
	Capacity func() int
}

// Queue is a lifecycle.Runner in front of another runner, for which it is the Sink. It is used by one
// goroutine.
type Queue struct {
	environment   Environment
	sink          Sink
	next          lifecycle.Runner
	scheduler     *bulkhead.Scheduler // nil: no bulkheads, attempts are passed on at once
	requests      map[*lifecycle.Attempt]*bulkhead.Request
	tickScheduled bool
}

// New returns a queue without bulkheads. SetNext must be called before the first attempt.
func New(environment Environment, sink Sink) *Queue {
	return &Queue{
		environment: environment,
		sink:        sink,
		requests:    map[*lifecycle.Attempt]*bulkhead.Request{},
	}
}

// SetNext sets the runner to which attempts are passed once they have a slot.
func (q *Queue) SetNext(next lifecycle.Runner) { q.next = next }

// Configure sets or changes the bulkheads, also while attempts wait or run. With nil it removes
// them: all waiting attempts are passed on at once, and running ones no longer count.
func (q *Queue) Configure(cfg *bulkhead.Config) {
	switch {
	case cfg == nil && q.scheduler != nil:
		q.removeBulkheads()
	case cfg == nil:
	case q.scheduler == nil:
		q.scheduler = bulkhead.New(*cfg, q.environment.Now())
	default:
		q.scheduler.Configure(*cfg, q.environment.Now())
		q.applyDecisions()
	}
}

func (q *Queue) removeBulkheads() {
	requests := q.requests
	q.scheduler = nil
	q.requests = map[*lifecycle.Attempt]*bulkhead.Request{}
	var waiting []*lifecycle.Attempt
	for a, r := range requests {
		if !r.IsGranted() {
			waiting = append(waiting, a)
		}
	}
	slices.SortFunc(waiting, func(a, b *lifecycle.Attempt) int {
		return cmp.Compare(a.Deadline, b.Deadline)
	})
	for _, a := range waiting {
		q.next.Run(a)
	}
}

// Scheduler returns the scheduler of the bulkheads, or nil if there are no bulkheads.
func (q *Queue) Scheduler() *bulkhead.Scheduler { return q.scheduler }

// Run implements lifecycle.Runner.
func (q *Queue) Run(a *lifecycle.Attempt) {
	if q.scheduler == nil {
		q.next.Run(a)
		return
	}
	r := &bulkhead.Request{
		Class:         a.Request.Class,
		Tenant:        a.Request.Tenant,
		Caller:        a.Request.Caller,
		Objective:     a.Objective,
		Deadline:      a.Deadline,
		MayUseReserve: !a.Idempotent,
		Attachment:    a,
	}
	q.requests[a] = r
	q.scheduler.SetCapacity(q.environment.Capacity())
	q.scheduler.Enqueue(r, q.environment.Now())
	q.applyDecisions()
}

// applyDecisions runs the attempts that were granted a slot, and ends those that were dropped.
func (q *Queue) applyDecisions() {
	granted, dropped := q.scheduler.TakeDecisions()
	for _, r := range granted {
		q.next.Run(r.Attachment.(*lifecycle.Attempt))
	}
	for _, d := range dropped {
		q.endDropped(d)
	}
	if q.scheduler.Waiting() > 0 && !q.tickScheduled {
		q.tickScheduled = true
		q.environment.After(tickInterval, q.tick)
	}
}

// endDropped ends a dropped attempt. Its Value and Limit are the numbers that were compared: the
// length of the queue and its limit if the queue was full, otherwise times in seconds.
func (q *Queue) endDropped(d bulkhead.Dropped) {
	const microsPerSecond = 1e6
	a := d.Attachment.(*lifecycle.Attempt)
	delete(q.requests, a)
	if d.Reason == bulkhead.QueueFull {
		a.Cause = lifecycle.CauseBulkheadFull
		a.Value = d.Wanted
		a.Limit = d.Available
	} else {
		a.Cause = lifecycle.CauseBulkheadWait
		a.Value = d.Wanted / microsPerSecond
		a.Limit = d.Available / microsPerSecond
	}
	q.environment.Post(func() { q.sink.AttemptEnded(a, lifecycle.NotStarted, nil) })
}

func (q *Queue) tick() {
	q.tickScheduled = false
	if q.scheduler == nil {
		return
	}
	q.scheduler.SetCapacity(q.environment.Capacity())
	q.scheduler.Tick(q.environment.Now())
	q.applyDecisions()
}

// Abandon implements lifecycle.Runner. A waiting attempt has not run, and ends at once, whatever its
// class.
func (q *Queue) Abandon(a *lifecycle.Attempt) {
	r := q.requests[a]
	if r == nil || !q.scheduler.Cancel(r, q.environment.Now()) {
		q.next.Abandon(a)
		return
	}
	delete(q.requests, a)
	q.environment.Post(func() { q.sink.AttemptEnded(a, lifecycle.NotStarted, nil) })
}

// ResponseStarted implements Sink.
func (q *Queue) ResponseStarted(a *lifecycle.Attempt, result *lifecycle.Result) bool {
	return q.sink.ResponseStarted(a, result)
}

// outcomeOf maps the outcome of an attempt to what it says about the servers. Nothing follows from an
// error response, nor from an attempt that was cancelled or whose request the runner does not know.
func outcomeOf(outcome lifecycle.Outcome) bulkhead.Outcome {
	switch outcome {
	case lifecycle.Faulted, lifecycle.Cancelled, lifecycle.UnknownRequest:
		return bulkhead.Inconclusive
	case lifecycle.Interrupted,
		lifecycle.TimedOut,
		lifecycle.CallRejected,
		lifecycle.Unreachable,
		lifecycle.NotStarted:
		return bulkhead.Failure
	}
	return bulkhead.Success
}

// AttemptEnded implements Sink. It releases the slot of the attempt.
func (q *Queue) AttemptEnded(a *lifecycle.Attempt, outcome lifecycle.Outcome, result *lifecycle.Result) {
	r := q.requests[a]
	if r != nil {
		delete(q.requests, a)
		q.scheduler.Done(r, outcomeOf(outcome), q.environment.Now())
	}
	q.sink.AttemptEnded(a, outcome, result) // first, so that waiting attempts can use what this one frees
	if r != nil && q.scheduler != nil {
		q.applyDecisions()
	}
}

// RetryAfter returns the estimated time until a request of a class without a tenant gets a slot; 0
// without bulkheads.
func (q *Queue) RetryAfter(class int) time.Duration {
	if q.scheduler == nil {
		return 0
	}
	return q.scheduler.RetryAfter(class, bulkhead.NoTenant)
}
