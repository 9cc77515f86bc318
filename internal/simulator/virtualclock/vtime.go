// Package vtime is time as the simulator's state machines see it: a clock they are handed, and a
// scheduler that plays it in virtual time. The same machines run on sockets with the event loop's
// clock behind the interface.
//
// Times are microseconds. A scheduler starts at one second, so that 0 can mean "never".
package virtualclock

// Timer is one thing that is to happen. Stop takes it back; a timer that has fired or was stopped
// stays so.
type Timer interface{ Stop() }

// Clock tells the time and calls back later, on the goroutine of whoever owns it.
type Clock interface {
	Now() int64
	After(d int64, fn func()) Timer
}

// Origin is the time at which a scheduler starts.
const Origin = 1_000_000

// event is an entry of the heap.
type event struct {
	s     *Scheduler
	at    int64
	seq   uint64
	fn    func()
	index int // in the heap; -1: not in it
}

func (e *event) Stop() {
	if e.index >= 0 {
		e.s.remove(e.index)
		e.fn = nil
	}
}

// Scheduler plays events in the order of their time; those of one time in the order in which they were
// asked for. That order is the whole of its state, so that a day is the same each time it is
// played.
type Scheduler struct {
	now       int64
	seq       uint64
	heap      []*event
	EventsRun uint64 // events that have happened
}

// New makes a scheduler.
func New() *Scheduler { return &Scheduler{now: Origin} }

// Now is the time of the event that happens.
func (s *Scheduler) Now() int64 { return s.now }

// After asks for fn after d; a time that is past counts as now, behind what is already asked for.
func (s *Scheduler) After(d int64, fn func()) Timer {
	s.seq++
	e := &event{s: s, at: s.now + max(d, 0), seq: s.seq, fn: fn, index: len(s.heap)}
	s.heap = append(s.heap, e)
	s.up(e.index)
	return e
}

// RunUntil plays what is due up to and at a time, and leaves the clock there.
func (s *Scheduler) RunUntil(end int64) {
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e := s.heap[0]
		s.remove(0)
		s.now = e.at
		s.EventsRun++
		e.fn()
	}
	s.now = max(s.now, end)
}

// Pending is how many events are asked for.
func (s *Scheduler) Pending() int { return len(s.heap) }

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (s *Scheduler) up(i int) {
	e := s.heap[i]
	for i > 0 {
		p := (i - 1) / 4
		if !e.before(s.heap[p]) {
			break
		}
		s.put(i, s.heap[p])
		i = p
	}
	s.put(i, e)
}

func (s *Scheduler) down(i int) {
	e := s.heap[i]
	for {
		least := -1
		for c := 4*i + 1; c <= 4*i+4 && c < len(s.heap); c++ {
			if least < 0 || s.heap[c].before(s.heap[least]) {
				least = c
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

func (s *Scheduler) put(i int, e *event) { s.heap[i], e.index = e, i }

func (s *Scheduler) remove(i int) {
	gone, last := s.heap[i], len(s.heap)-1
	moved := s.heap[last]
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if moved != gone {
		s.put(i, moved)
		s.up(i)
		s.down(moved.index)
	}
	gone.index = -1
}
