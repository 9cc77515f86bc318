package dependencies

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// BackendSpec is what the shared back end is like.
type BackendSpec struct {
	Slots           float64       // calls that it works on at full speed
	Thrash          float64       // loss for each further multiple of the slots
	RejectsOverload bool          // it turns calls away while it holds more than twice its slots
	CrashFactor     float64       // it dies of holding so many times its slots
	CrashWindow     time.Duration // as a mean over so long
	RestartTime     time.Duration
	CancelLinger    time.Duration // longest stay of a call that was given up
}

// CallOutcome is how a call ended.
type CallOutcome uint8

// The replies. TurnedAway and Down prove that the call never ran.
const (
	CallSucceeded CallOutcome = iota + 1
	CallRejected
	CallUnreachable
	CallInterrupted
)

// Call is one call in the back end's hands.
type Call struct {
	job  *job
	done func(CallOutcome)
}

// Backend is the system that all runners share.
type Backend struct {
	spec     BackendSpec
	clock    virtualclock.Clock
	slots    sharedProcessor
	window   slidingWindow
	calls    map[*job]*Call
	order    []*Call // as they came, for the order in which a fall breaks them
	slowdown float64
	down     bool
	Crashes  int
}

// NewBackend starts it.
func NewBackend(clock virtualclock.Clock, spec BackendSpec) *Backend {
	b := &Backend{spec: spec, clock: clock, slowdown: 1, calls: map[*job]*Call{},
		window: newSlidingWindow(max(int(spec.CrashWindow/sampleInterval), 1))}
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

// SetSlowdown makes it so many times slower than usual.
func (b *Backend) SetSlowdown(times float64) {
	b.slowdown = max(times, 1)
	b.slots.setSpeed(1 / b.slowdown)
}

// InFlight is how many calls are in its hands.
func (b *Backend) InFlight() int { return len(b.slots.jobs) }

// IsDown tells whether it refuses connections.
func (b *Backend) IsDown() bool { return b.down }

// Call places a call of so much work. done may be called before Call returns, if it never ran.
func (b *Backend) Call(work float64, done func(CallOutcome)) *Call {
	c := &Call{done: done}
	switch {
	case b.down:
		done(CallUnreachable)
		return c
	case b.spec.RejectsOverload && float64(b.InFlight()) >= 2*b.spec.Slots:
		done(CallRejected)
		return c
	}
	c.job = b.slots.add(work, func() { b.finish(c, CallSucceeded) })
	b.calls[c.job] = c
	b.order = append(b.order, c)
	return c
}

func (b *Backend) finish(c *Call, r CallOutcome) {
	if c.job == nil {
		return
	}
	b.slots.remove(c.job)
	delete(b.calls, c.job)
	c.job = nil
	if done := c.done; done != nil {
		c.done = nil
		done(r)
	}
}

// Cancel drops a call: nothing is told of it any more, and it leaves the back end's hands a little
// later.
func (b *Backend) Cancel(c *Call) {
	c.done = nil
	if c.job != nil {
		b.clock.After(b.spec.CancelLinger, func() { b.finish(c, CallInterrupted) })
	}
}

func (b *Backend) sample() {
	b.clock.After(sampleInterval, b.sample)
	b.slots.advance()
	held, n := b.window.add(b.slots.jobTime)
	for len(b.order) > 0 && b.order[0].job == nil {
		b.order = b.order[1:]
	}
	if b.down || b.spec.CrashFactor <= 0 || time.Duration(n)*sampleInterval < b.spec.CrashWindow ||
		held/virtualclock.Micros(b.spec.CrashWindow) <= b.spec.CrashFactor*b.spec.Slots {
		return
	}
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
