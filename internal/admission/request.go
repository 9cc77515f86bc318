package admission

import (
	"slices"
	"time"
)

// requestState is the phase of a request between its arrival and the end of its run.
type requestState uint8

const (
	queued         requestState = iota
	running                     // on the cores, or waiting for the disk
	awaitingCall                // waits to place a call
	inCall                      // its call is in flight
	awaitingResult              // a read that waits for the result of another read of the same subject
	reusingResult               // answered from the result of another request
)

// request is the state of one request until its run is over.
type request struct {
	id    uint64
	class int
	state requestState

	answered      bool // or abandoned: nobody waits for it
	isRetry       bool // a retry or a hedged request
	mayHaveRun    bool // it was started, or it repeats a request that may have run
	keyRemembered bool
	shareable     bool // a read whose result others may reuse

	arrivedAt    time.Duration // the earliest time at which the server could have read it
	deadline     time.Duration // the time by which it must be answered
	objectiveAt  time.Duration // the end of its latency objective
	startedAt    time.Duration // when its run started
	expectedWork time.Duration // on a standard core; 0: unknown
	sizeKB       float64       // memory while it is queued

	keyExpiresAt time.Duration
	resultSource *request // the request whose result it waits for or reuses
	waiters      int      // requests that wait for its result

	callAttempts int
	nextCallAt   time.Duration // the earliest time of its next call
}

// classQueue holds the queued requests of one class, in the order in which they were read, and the
// mean run time and remembered keys of the class.
type classQueue struct {
	requests            []*request
	meanRunSeconds      float64
	meanExpectedSeconds float64    // mean of Event.ExpectedWork of the same runs
	keyExpiry           []*request // requests whose keys are remembered, by time of expiry
}

// enqueue adds r to the queue of its class.
func (c *Controller) enqueue(r *request) {
	c.capDeadline(r)
	queue := &c.queues[r.class]
	queue.requests = append(queue.requests, r)
}

// dequeue removes r from the queue of its class.
func (c *Controller) dequeue(r *request) { removeFrom(&c.queues[r.class].requests, r) }

// remove drops a request and frees the memory, core and call that it uses.
func (c *Controller) remove(r *request) {
	memoryKB := r.sizeKB * c.settings.RunningMemoryFactor
	list := &c.executing
	switch r.state {
	case queued:
		list = &c.queues[r.class].requests
		memoryKB = r.sizeKB
	case awaitingResult:
		memoryKB = r.sizeKB
	case reusingResult:
		memoryKB = r.sizeKB
		if r.resultSource != nil {
			c.occupancy.reusing--
		}
	case running:
		c.runsKB -= memoryKB
		c.leaveCores()
	case awaitingCall, inCall:
		c.runsKB -= memoryKB
		c.endCall(r, r.state == inCall)
	}
	removeFrom(list, r)
	c.memoryKB -= memoryKB
	delete(c.requests, r.id)
}

func removeFrom(list *[]*request, r *request) {
	if i := slices.Index(*list, r); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// enterCores counts a request that comes onto the cores.
func (c *Controller) enterCores() {
	c.occupancy.onCores++
	c.load.runnable++
}

// leaveCores counts a request that leaves the cores.
func (c *Controller) leaveCores() {
	c.occupancy.onCores--
	c.load.runnable--
}
