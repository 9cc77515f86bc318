package dependencies

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// BackendSpec describes the back end that all runners share.
type BackendSpec struct {
	Slots           float64       // calls that it processes at full speed
	Thrash          float64       // relative slowdown for each multiple of Slots in flight beyond the first
	RejectsOverload bool          // it rejects calls while at least twice Slots are in flight
	CrashFactor     float64       // mean calls in flight, in multiples of Slots, beyond which it crashes; 0: never
	CrashWindow     time.Duration // window of that mean
	RestartTime     time.Duration // how long it refuses connections after a crash
	CancelLinger    time.Duration // how long a canceled call stays in flight
}

// CallOutcome is the outcome of a call.
type CallOutcome uint8

// The outcomes of calls. CallRejected and CallUnreachable prove that the call never ran.
const (
	CallSucceeded CallOutcome = iota + 1
	CallRejected
	CallUnreachable
	CallInterrupted
)

// overloadFactor is the number of calls in flight, in multiples of Slots, from which a back end with
// RejectsOverload rejects further calls.
const overloadFactor = 2

// Call is a call of a run to the back end.
type Call struct {
	job  *job              // nil: the call is not in flight
	done func(CallOutcome) // nil: nobody waits for the outcome
}

// Backend models the back end that all runners share.
type Backend struct {
	spec     BackendSpec
	clock    virtualclock.Clock
	slots    sharedProcessor
	window   slidingWindow // of the number of calls in flight
	calls    map[*job]*Call
	order    []*Call // by arrival, which is the order in which a crash interrupts them
	slowdown float64
	down     bool
	Crashes  int // number of crashes so far
}

// NewBackend returns a back end that runs on a clock.
func NewBackend(clock virtualclock.Clock, spec BackendSpec) *Backend {
	b := &Backend{
		spec:     spec,
		clock:    clock,
		slowdown: 1,
		calls:    map[*job]*Call{},
		window:   newSlidingWindow(max(int(spec.CrashWindow/sampleInterval), 1)),
	}
	b.slots = sharedProcessor{
		clock:          clock,
		parallelism:    spec.Slots,
		contentionLoss: spec.Thrash,
		contentionFrom: spec.Slots,
		speed:          1,
		advancedTo:     virtualclock.Micros(clock.Now()),
	}
	clock.After(sampleInterval, b.sample)
	return b
}

// SetSlowdown makes the back end slower by a factor of at least 1.
func (b *Backend) SetSlowdown(factor float64) {
	b.slowdown = max(factor, 1)
	b.slots.setSpeed(1 / b.slowdown)
}

// InFlight returns the number of calls in flight, including canceled ones that linger.
func (b *Backend) InFlight() int { return len(b.slots.jobs) }

// IsDown reports whether the back end has crashed and refuses connections.
func (b *Backend) IsDown() bool { return b.down }

// Call starts a call. Its work is in microseconds of a slot at full speed. done is called with the
// outcome; if the back end refuses the call, before Call returns.
func (b *Backend) Call(work float64, done func(CallOutcome)) *Call {
	c := &Call{done: done}
	switch {
	case b.down:
		done(CallUnreachable)
		return c
	case b.spec.RejectsOverload && float64(b.InFlight()) >= overloadFactor*b.spec.Slots:
		done(CallRejected)
		return c
	}
	c.job = b.slots.add(work, func() { b.finish(c, CallSucceeded) })
	b.calls[c.job] = c
	b.order = append(b.order, c)
	return c
}

// finish ends a call that is in flight, and reports the outcome if it was not canceled.
func (b *Backend) finish(c *Call, outcome CallOutcome) {
	if c.job == nil {
		return
	}
	b.slots.remove(c.job)
	delete(b.calls, c.job)
	c.job = nil
	if done := c.done; done != nil {
		c.done = nil
		done(outcome)
	}
}

// Cancel cancels a call. Its outcome is not reported, and it leaves the back end CancelLinger later.
func (b *Backend) Cancel(c *Call) {
	c.done = nil
	if c.job != nil {
		b.clock.After(b.spec.CancelLinger, func() { b.finish(c, CallInterrupted) })
	}
}

// sample adds a sample of the calls in flight to the window, and crashes the back end if their mean is
// too high.
func (b *Backend) sample() {
	b.clock.After(sampleInterval, b.sample)
	b.slots.advance()
	jobTime, samples := b.window.add(b.slots.jobTime)
	for len(b.order) > 0 && b.order[0].job == nil {
		b.order = b.order[1:]
	}
	if b.down || b.spec.CrashFactor <= 0 || time.Duration(samples)*sampleInterval < b.spec.CrashWindow {
		return
	}
	mean := jobTime / virtualclock.Micros(b.spec.CrashWindow)
	if mean > b.spec.CrashFactor*b.spec.Slots {
		b.crash()
	}
}

// crash interrupts all calls. The back end is up again after RestartTime.
func (b *Backend) crash() {
	b.down = true
	b.Crashes++
	order := b.order
	b.order = nil
	for _, c := range order {
		b.finish(c, CallInterrupted)
	}
	b.window = newSlidingWindow(len(b.window.samples))
	b.clock.After(b.spec.RestartTime, func() { b.down = false })
}
