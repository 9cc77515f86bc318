// Package loop is the program's one event loop: epoll, timers, the clock, connection buffers with
// limits, and signals. Everything on it runs on the goroutine that called Run.
package eventloop

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/wallclock"
)

const (
	readChunkBytes   = 64 << 10 // bytes read from one connection in one turn
	maxEventsPerTurn = 256
	clockOrigin      = time.Second // what the clock shows at its start, so that 0 can mean "never"
)

// source is something that epoll watches.
type source interface {
	ready(events uint32)
}

type registration struct {
	source     source
	generation int32
}

// Clock tells the time of day, with its monotonic reading.
type Clock func() time.Time

// Loop owns the epoll descriptor, the table of watched descriptors and the timers.
type Loop struct {
	epollFD    int
	clock      Clock
	stepped    bool // the clock's owner says when time passes, so that no turn waits for it
	start      time.Time
	now        time.Duration
	unix       wallclock.UnixMicro
	table      map[int]registration
	generation int32
	timers     timerHeap
	posted     []func()
	dirty      []*Conn
	scratch    []byte
	events     [maxEventsPerTurn]unix.EpollEvent
	stopped    bool

	wakeFD    int // eventfd: something was delivered
	mu        sync.Mutex
	delivered []func()
}

// New makes a loop that goes by the system's clock. Close gives it back.
func New() (*Loop, error) { return newLoop(wallclock.Now, false) }

// NewStepped makes a loop for tests: it goes by a clock that its owner steps, and its turns deal
// with what is ready and due without waiting.
func NewStepped(clock Clock) (*Loop, error) { return newLoop(clock, true) }

func newLoop(clock Clock, stepped bool) (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: epoll: %w", err)
	}
	l := &Loop{
		epollFD: ep,
		clock:   clock,
		stepped: stepped,
		start:   clock(),
		table:   map[int]registration{},
		scratch: make([]byte, readChunkBytes),
	}
	l.readClock()
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		_ = unix.Close(ep)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	if err := l.watch(l.wakeFD, unix.EPOLLIN, readyFunc(l.takeDelivered)); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// Close gives back the loop's own descriptors.
func (l *Loop) Close() error { return errors.Join(unix.Close(l.epollFD), unix.Close(l.wakeFD)) }

// Now returns the monotonic time of this turn, in whole microseconds, since the clock's origin.
func (l *Loop) Now() time.Duration { return l.now }

// Unix returns the system's Unix time of this turn.
func (l *Loop) Unix() wallclock.UnixMicro { return l.unix }

func (l *Loop) readClock() {
	t := l.clock()
	l.now, l.unix = t.Sub(l.start).Truncate(time.Microsecond)+clockOrigin, wallclock.FromTime(t)
}

// Post runs fn later in this turn, after what is being done now.
func (l *Loop) Post(fn func()) { l.posted = append(l.posted, fn) }

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stopped = true }

// IsStopped tells whether Stop was called.
func (l *Loop) IsStopped() bool { return l.stopped }

// Run turns the loop until Stop.
func (l *Loop) Run() error {
	for !l.stopped {
		if err := l.Turn(); err != nil {
			return err
		}
	}
	l.settle()
	return nil
}

// Turn waits until something is ready or the next timer is due, and deals with all of it: timers
// first, then descriptors, and what both have put into buffers is written at the end.
func (l *Loop) Turn() error {
	l.settle()
	n, err := unix.EpollWait(l.epollFD, l.events[:], l.pollTimeout())
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("loop: epoll wait: %w", err)
	}
	l.readClock()
	l.fireTimers()
	for _, event := range l.events[:max(n, 0)] {
		// A descriptor closed earlier in this turn may have been given out again: the generation
		// tells.
		if w, ok := l.table[int(event.Fd)]; ok && w.generation == event.Pad {
			w.source.ready(event.Events)
		}
	}
	l.settle()
	return nil
}

// AwaitReady waits until the next turn will find something ready, without dealing with it, and
// reports whether there is something. With a stepped clock it lets a test put a timer and a
// descriptor into the same turn.
func (l *Loop) AwaitReady(within time.Duration) (bool, error) {
	fds := []unix.PollFd{{Fd: int32(l.epollFD), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, int(within.Milliseconds()))
		if err != unix.EINTR {
			return n > 0, err
		}
	}
}

// settle runs what was posted and writes what the turn has put into buffers.
func (l *Loop) settle() {
	for len(l.posted) > 0 || len(l.dirty) > 0 {
		posted, dirty := l.posted, l.dirty
		l.posted, l.dirty = nil, nil
		for _, fn := range posted {
			fn()
		}
		for _, c := range dirty {
			c.dirty = false
			c.flush()
		}
	}
}

// pollTimeout is the time until the next timer in milliseconds, rounded up.
func (l *Loop) pollTimeout() int {
	if l.stopped || l.stepped {
		return 0
	}
	if len(l.timers) == 0 {
		return 1000
	}
	wait := l.timers[0].dueAt - l.now + time.Millisecond - time.Microsecond
	return int(min(max(wait, 0).Milliseconds(), 1000))
}

func (l *Loop) watch(fd int, events uint32, s source) error {
	l.generation++
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return fmt.Errorf("loop: watch: %w", err)
	}
	l.table[fd] = registration{s, l.generation}
	return nil
}

func (l *Loop) rewatch(fd int, events uint32) {
	w, ok := l.table[fd]
	if !ok {
		return
	}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: w.generation}
	// It fails only for a descriptor that is not watched, which the table rules out.
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &ev)
}

// unwatch stops watching a descriptor that stays open.
func (l *Loop) unwatch(fd int) {
	delete(l.table, fd)
	// it fails only for one that is not watched
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, fd, nil)
}

// release is the one place where a watched descriptor is given back.
func (l *Loop) release(fd int) {
	delete(l.table, fd)
	_ = unix.Close(fd) // closing also ends the watch; there is nothing to be done about an error
}

// Signals calls fn on the loop for each of the signals. Those of one kind that come together count
// once, so that a flood of one neither blocks nor crowds out another. They are caught from the
// moment of this call on, and for good.
func (l *Loop) Signals(fn func(os.Signal), signals ...os.Signal) {
	for _, s := range signals {
		ch := make(chan os.Signal, 1)
		signal.Notify(ch, s)
		go func() {
			for range ch {
				l.Deliver(func() { fn(s) })
			}
		}()
	}
}

// Deliver has fn called on the loop. It is the one way in from other goroutines.
func (l *Loop) Deliver(fn func()) {
	l.mu.Lock()
	l.delivered = append(l.delivered, fn)
	l.mu.Unlock()
	// it fails only where a wake-up is under way
	_, _ = unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// takeDelivered runs what other goroutines have left.
func (l *Loop) takeDelivered(uint32) {
	var b [8]byte
	_, _ = unix.Read(l.wakeFD, b[:])
	l.mu.Lock()
	fns := l.delivered
	l.delivered = nil
	l.mu.Unlock()
	for _, fn := range fns {
		fn()
	}
}

type readyFunc func(events uint32)

func (f readyFunc) ready(events uint32) { f(events) }
