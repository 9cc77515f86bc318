// Package virtualclock provides the clock on which the simulator's state machines run, and a
// discrete-event scheduler that implements it in virtual time. With real sockets the same state machines
// run on the clock of an event loop.
package virtualclock

import "time"

// Timer is a pending callback of a Clock. Stop cancels it, and has no effect if the timer has fired or
// was stopped before.
type Timer interface{ Stop() }

// Clock is a monotonic clock with timers. Callbacks run on the goroutine that owns the clock.
type Clock interface {
	// Now returns the time since the origin of the clock.
	Now() time.Duration
	// After calls fn once, d from now. A negative d counts as 0.
	After(d time.Duration, fn func()) Timer
}

// Origin is the time at which a Scheduler starts. It is not 0, so that a zero time can mean "never".
const Origin = time.Second

// Resolution is the unit of virtual time: delays are truncated to multiples of it.
const Resolution = time.Microsecond

// Micros returns d in microseconds, the unit in which work is measured.
func Micros(d time.Duration) float64 { return float64(d.Microseconds()) }

// FromMicros returns the duration of us microseconds, truncated to whole microseconds.
func FromMicros(us float64) time.Duration { return time.Duration(int64(us)) * time.Microsecond }

// FromMillis returns the duration of ms milliseconds, truncated to whole microseconds.
func FromMillis(ms float64) time.Duration { return FromMicros(ms * 1000) }

// FromSeconds returns the duration of s seconds, truncated to whole microseconds.
func FromSeconds(s float64) time.Duration { return FromMicros(s * 1e6) }

// event is a timer of a Scheduler.
type event struct {
	scheduler *Scheduler
	at        time.Duration
	seq       uint64 // order among events with the same time
	fn        func()
	index     int // in the heap; -1 if it is not in the heap
}

// Stop implements Timer.
func (e *event) Stop() {
	if e.index >= 0 {
		e.scheduler.remove(e.index)
		e.fn = nil
	}
}

// before reports whether e runs before other.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// Scheduler runs events in the order of their times, and events with the same time in the order in which
// they were scheduled. It is deterministic and not safe for concurrent use.
type Scheduler struct {
	now       time.Duration
	seq       uint64
	heap      []*event // 4-ary min-heap
	EventsRun uint64   // events run so far
}

// New returns a scheduler whose time is Origin and that has no events.
func New() *Scheduler { return &Scheduler{now: Origin} }

// Now returns the time of the event that is running, or else the time up to which events have run.
func (s *Scheduler) Now() time.Duration { return s.now }

// After schedules fn to run d from now, truncated to Resolution. A negative d counts as 0; the event
// then runs after the events that are already scheduled for now.
func (s *Scheduler) After(d time.Duration, fn func()) Timer {
	s.seq++
	at := s.now + max(d, 0).Truncate(Resolution)
	e := &event{scheduler: s, at: at, seq: s.seq, fn: fn, index: len(s.heap)}
	s.heap = append(s.heap, e)
	s.up(e.index)
	return e
}

// RunUntil runs the events that are due at or before end, and advances the clock to end.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e := s.heap[0]
		s.remove(0)
		s.now = e.at
		s.EventsRun++
		e.fn()
	}
	s.now = max(s.now, end)
}

// Pending returns the number of scheduled events.
func (s *Scheduler) Pending() int { return len(s.heap) }

// heapArity is the number of children of a node of the heap.
const heapArity = 4

// up moves the event at index i towards the root until its parent runs before it.
func (s *Scheduler) up(i int) {
	e := s.heap[i]
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.before(s.heap[parent]) {
			break
		}
		s.put(i, s.heap[parent])
		i = parent
	}
	s.put(i, e)
}

// down moves the event at index i away from the root until it runs before all of its children.
func (s *Scheduler) down(i int) {
	e := s.heap[i]
	for {
		first := heapArity*i + 1
		least := -1
		for child := first; child < first+heapArity && child < len(s.heap); child++ {
			if least < 0 || s.heap[child].before(s.heap[least]) {
				least = child
			}
		}
		if least < 0 || !s.heap[least].before(e) {
			break
		}
		s.put(i, s.heap[least])
		i = least
	}
	s.put(i, e)
}

func (s *Scheduler) put(i int, e *event) {
	s.heap[i] = e
	e.index = i
}

// remove takes the event at index i out of the heap.
func (s *Scheduler) remove(i int) {
	removed := s.heap[i]
	last := len(s.heap) - 1
	moved := s.heap[last]
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if moved != removed {
		s.put(i, moved)
		s.up(i)
		s.down(moved.index)
	}
	removed.index = -1
}
