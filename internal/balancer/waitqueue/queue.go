// Package queue has attempts wait for a slot of their pool (internal/balancer/bulkhead) before they
// go to the servers of a group. It stands between the core and the group, for whichever front a
// request came through.
package waitqueue

import (
	"slices"

	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/lifecycle"
)

// Sink gets what became of attempts, as the core does.
type Sink interface {
	Began(*lifecycle.Attempt, *lifecycle.Result) bool
	Ended(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
}

// Environment is what it needs of the program.
type Environment struct {
	Now      func() int64
	Post     func(fn func()) // fn is called soon, and not from within
	After    func(d int64, fn func())
	Capacity func() int // requests that the servers may have together; nought: nobody knows
}

// lookEvery is how often those that wait are looked through.
const lookEvery = 20_000

// Queue is a lifecycle.Runner before another one, whose Sink it is.
type Queue struct {
	host    Environment
	sink    Sink
	next    lifecycle.Runner
	set     *bulkhead.Scheduler // nil: nothing waits here
	held    map[*lifecycle.Attempt]*bulkhead.Request
	looking bool
}

// New makes one without pools, before a runner that Before names.
func New(host Environment, sink Sink) *Queue {
	return &Queue{host: host, sink: sink, held: map[*lifecycle.Attempt]*bulkhead.Request{}}
}

// SetNext sets the runner that gets what has a slot.
func (h *Queue) SetNext(next lifecycle.Runner) { h.next = next }

// Configure sets pools or others, under load. Without any, all that waits goes on at once; what
// runs is not counted any more.
func (h *Queue) Configure(cfg *bulkhead.Config) {
	switch {
	case cfg == nil && h.set != nil:
		all := h.held
		h.set, h.held = nil, map[*lifecycle.Attempt]*bulkhead.Request{}
		var waiting []*lifecycle.Attempt
		for a, r := range all {
			if !r.Granted() {
				waiting = append(waiting, a)
			}
		}
		slices.SortFunc(waiting, func(a, b *lifecycle.Attempt) int { return int(a.Deadline - b.Deadline) })
		for _, a := range waiting {
			h.next.Run(a)
		}
	case cfg == nil:
	case h.set == nil:
		h.set = bulkhead.New(*cfg, h.host.Now())
	default:
		h.set.Configure(*cfg, h.host.Now())
		h.flow()
	}
}

// Scheduler is the pools; nil: there are none.
func (h *Queue) Scheduler() *bulkhead.Scheduler { return h.set }

// Run implements lifecycle.Runner.
func (h *Queue) Run(a *lifecycle.Attempt) {
	if h.set == nil {
		h.next.Run(a)
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
	h.held[a] = r
	h.set.SetCapacity(h.host.Capacity())
	h.set.Enqueue(r, h.host.Now())
	h.flow()
}

// flow does what the pools say.
func (h *Queue) flow() {
	granted, dropped := h.set.TakeDecisions()
	for _, r := range granted {
		h.next.Run(r.Attachment.(*lifecycle.Attempt))
	}
	for _, d := range dropped {
		a := d.Attachment.(*lifecycle.Attempt)
		delete(h.held, a)
		a.Cause, a.Value, a.Limit = lifecycle.CauseBulkheadWait, d.Wanted/1e6, d.Available/1e6
		if d.Reason == bulkhead.QueueFull {
			a.Cause, a.Value, a.Limit = lifecycle.CauseBulkheadFull, d.Wanted, d.Available
		}
		h.host.Post(func() { h.sink.Ended(a, lifecycle.NotStarted, nil) })
	}
	if h.set.Waiting() > 0 && !h.looking {
		h.looking = true
		h.host.After(lookEvery, h.look)
	}
}

func (h *Queue) look() {
	h.looking = false
	if h.set == nil {
		return
	}
	h.set.SetCapacity(h.host.Capacity())
	h.set.Tick(h.host.Now())
	h.flow()
}

// Abandon implements lifecycle.Runner. What waits has not run: it ends at once, whatever its class.
func (h *Queue) Abandon(a *lifecycle.Attempt) {
	r := h.held[a]
	if r == nil || !h.set.Cancel(r, h.host.Now()) {
		h.next.Abandon(a)
		return
	}
	delete(h.held, a)
	h.host.Post(func() { h.sink.Ended(a, lifecycle.NotStarted, nil) })
}

// Began implements Sink.
func (h *Queue) Began(a *lifecycle.Attempt, res *lifecycle.Result) bool { return h.sink.Began(a, res) }

// outcomes are what ends tell of the servers. A failure of a server's own, and one that nobody
// waited for, tell nothing.
var outcomes = map[lifecycle.Outcome]bulkhead.Outcome{
	lifecycle.Succeeded:      bulkhead.Success,
	lifecycle.Interrupted:    bulkhead.Failure,
	lifecycle.TimedOut:       bulkhead.Failure,
	lifecycle.CallRejected:   bulkhead.Failure,
	lifecycle.Unreachable:    bulkhead.Failure,
	lifecycle.NotStarted:     bulkhead.Failure,
	lifecycle.Faulted:        bulkhead.Inconclusive,
	lifecycle.Canceled:       bulkhead.Inconclusive,
	lifecycle.UnknownRequest: bulkhead.Inconclusive,
}

// Ended implements Sink: the one place where a slot is given back.
func (h *Queue) Ended(a *lifecycle.Attempt, o lifecycle.Outcome, res *lifecycle.Result) {
	r := h.held[a]
	if r != nil {
		delete(h.held, a)
		h.set.Done(r, outcomes[o], h.host.Now())
	}
	h.sink.Ended(a, o, res) // before others begin: what it leaves free counts for them
	if r != nil && h.set != nil {
		h.flow()
	}
}

// RetryAfter is how long to stay away from a class that has no slot.
func (h *Queue) RetryAfter(class int) int64 {
	if h.set == nil {
		return 0
	}
	return h.set.RetryAfter(class, -1)
}
