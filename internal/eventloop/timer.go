package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a scheduled call of a function on the loop.
type Timer struct {
	loop  *Loop
	dueAt time.Duration // in the time of Loop.Now
	fn    func()        // nil: stopped
	index int           // in the heap; -1: not in it
}

// After calls fn once, after d. A negative d counts as 0.
func (l *Loop) After(d time.Duration, fn func()) *Timer {
	t := &Timer{loop: l, dueAt: l.now + max(d, 0), fn: fn}
	heap.Push(&l.timers, t)
	return t
}

// Every calls fn repeatedly, for the first time after d, and then d after each call.
func (l *Loop) Every(d time.Duration, fn func()) {
	l.After(d, func() {
		fn()
		l.Every(d, fn)
	})
}

// Stop cancels the call, even if it is due in this turn. It may be called on a nil timer and
// more than once.
func (t *Timer) Stop() {
	if t == nil {
		return
	}
	t.fn = nil
	if t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// fireTimers calls the functions of the timers that are due. Timers that these calls set fire in the
// next turn at the earliest.
func (l *Loop) fireTimers() {
	var due []*Timer
	for len(l.timers) > 0 && l.timers[0].dueAt <= l.now {
		due = append(due, heap.Pop(&l.timers).(*Timer))
	}
	for _, t := range due {
		if t.fn != nil {
			t.fn()
		}
	}
}

// timerHeap orders timers by the time at which they are due.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a timer, as heap.Interface requires.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last timer, as heap.Interface requires.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
