package dependencies

import "ryepaddle/internal/simulator/virtualclock"

// BackEndSpec is what the shared back end is like.
type BackEndSpec struct {
	Slots    float64 // calls that it works on at full speed
	Thrash   float64 // loss for each further multiple of the slots
	Sheds    bool    // it turns calls away while it holds more than twice its slots
	Fall     float64 // it dies of holding so many times its slots
	FallOver int64   // as a mean over so long
	DownFor  int64
	Linger   int64 // longest stay of a call that was given up
}

// Reply is how a call ended.
type Reply uint8

// The replies. TurnedAway and Down prove that the call never ran.
const (
	ReplyFine Reply = iota + 1
	ReplyTurnedAway
	ReplyDown
	ReplyBroken
)

// Call is one call in the back end's hands.
type Call struct {
	job  *job
	done func(Reply)
}

// BackEnd is the system that all runners share.
type BackEnd struct {
	spec   BackEndSpec
	clock  virtualclock.Clock
	slots  share
	window window
	calls  map[*job]*Call
	order  []*Call // as they came, for the order in which a fall breaks them
	slow   float64
	down   bool
	Falls  int
}

// NewBackEnd starts it.
func NewBackEnd(clock virtualclock.Clock, spec BackEndSpec) *BackEnd {
	b := &BackEnd{spec: spec, clock: clock, slow: 1, calls: map[*job]*Call{},
		window: newWindow(max(int(spec.FallOver/sampleEvery), 1))}
	b.slots = share{
		clock:  clock,
		places: spec.Slots,
		thrash: spec.Thrash,
		crowd:  spec.Slots,
		speed:  1,
		at:     float64(clock.Now()),
	}
	clock.After(sampleEvery, b.sample)
	return b
}

// Slow makes it so many times slower than usual.
func (b *BackEnd) Slow(times float64) {
	b.slow = max(times, 1)
	b.slots.setSpeed(1 / b.slow)
}

// Held is how many calls are in its hands.
func (b *BackEnd) Held() int { return len(b.slots.jobs) }

// Down tells whether it refuses connections.
func (b *BackEnd) Down() bool { return b.down }

// Call places a call of so much work. done may be called before Call returns, if it never ran.
func (b *BackEnd) Call(work float64, done func(Reply)) *Call {
	c := &Call{done: done}
	switch {
	case b.down:
		done(ReplyDown)
		return c
	case b.spec.Sheds && float64(b.Held()) >= 2*b.spec.Slots:
		done(ReplyTurnedAway)
		return c
	}
	c.job = b.slots.add(work, func() { b.finish(c, ReplyFine) })
	b.calls[c.job] = c
	b.order = append(b.order, c)
	return c
}

func (b *BackEnd) finish(c *Call, r Reply) {
	if c.job == nil {
		return
	}
	b.slots.drop(c.job)
	delete(b.calls, c.job)
	c.job = nil
	if done := c.done; done != nil {
		c.done = nil
		done(r)
	}
}

// GiveUp drops a call: nothing is told of it any more, and it leaves the back end's hands a little
// later.
func (b *BackEnd) GiveUp(c *Call) {
	c.done = nil
	if c.job != nil {
		b.clock.After(b.spec.Linger, func() { b.finish(c, ReplyBroken) })
	}
}

func (b *BackEnd) sample() {
	b.clock.After(sampleEvery, b.sample)
	b.slots.advance()
	held, n := b.window.add(b.slots.present)
	for len(b.order) > 0 && b.order[0].job == nil {
		b.order = b.order[1:]
	}
	if b.down || b.spec.Fall <= 0 || int64(n)*sampleEvery < b.spec.FallOver ||
		held/float64(b.spec.FallOver) <= b.spec.Fall*b.spec.Slots {
		return
	}
	b.down = true
	b.Falls++
	order := b.order
	b.order = nil
	for _, c := range order {
		b.finish(c, ReplyBroken)
	}
	b.window = newWindow(len(b.window.ring))
	b.clock.After(b.spec.DownFor, func() { b.down = false })
}
