// Package eventloop implements the program's single-threaded event loop on epoll: timers, a clock
// that is read once a turn, stream connections with bounded buffers, listeners, and signals. All
// callbacks run on the goroutine that calls Run; other goroutines enter through Deliver. Frontends,
// upstream, the platform's adapters and the links to peers do their I/O on it.
package eventloop

import (
	"encoding/binary"
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
	// readChunkBytes bounds what is read from one connection in one turn.
	readChunkBytes = 64 << 10
	// maxEventsPerTurn bounds the descriptors that are served in one turn.
	maxEventsPerTurn = 256
	// maxPollTimeout is the longest wait of a turn without a timer that is due.
	maxPollTimeout = time.Second
	// clockOrigin is the clock's time at the start of the loop, so that 0 can mean "never".
	clockOrigin = time.Second
)

// source is a descriptor's owner, which handles the events of epoll.
type source interface {
	ready(events uint32)
}

// registration is a watched descriptor. Its generation distinguishes it from an earlier one
// of the same number.
type registration struct {
	source     source
	generation int32
}

// Clock returns the time of day with its monotonic reading.
type Clock func() time.Time

// Loop owns the epoll descriptor, the table of watched descriptors and the timers.
type Loop struct {
	epollFD    int
	clock      Clock
	stepped    bool // a test advances the clock, so that no turn waits for time to pass
	start      time.Time
	now        time.Duration
	unix       wallclock.UnixMicro
	table      map[int]registration
	generation int32
	timers     timerHeap
	posted     []func()
	unflushed  []*Conn // connections with output that was queued in this turn
	readBuffer []byte  // shared by all connections
	events     [maxEventsPerTurn]unix.EpollEvent
	stopped    bool

	wakeFD    int // eventfd: something was delivered
	mu        sync.Mutex
	delivered []func()
}

// New returns a loop that uses the system's clock. The caller must Close it.
func New() (*Loop, error) { return newLoop(wallclock.Now) }

// NewStepped returns a loop for tests: it uses a clock that the test advances, and its turns serve
// what is ready and due without waiting.
func NewStepped(clock Clock) (*Loop, error) {
	l, err := newLoop(clock)
	if err != nil {
		return nil, err
	}
	l.stepped = true
	return l, nil
}

func newLoop(clock Clock) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: epoll: %w", err)
	}
	l := &Loop{
		epollFD:    epollFD,
		clock:      clock,
		start:      clock(),
		table:      map[int]registration{},
		readBuffer: make([]byte, readChunkBytes),
	}
	l.readClock()
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		_ = unix.Close(epollFD)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	if err := l.watch(l.wakeFD, unix.EPOLLIN, readyFunc(l.takeDelivered)); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// Close closes the loop's own descriptors.
func (l *Loop) Close() error { return errors.Join(unix.Close(l.epollFD), unix.Close(l.wakeFD)) }

// Now returns the monotonic time of this turn, in whole microseconds, since the clock's origin.
func (l *Loop) Now() time.Duration { return l.now }

// Unix returns the system's Unix time of this turn.
func (l *Loop) Unix() wallclock.UnixMicro { return l.unix }

// readClock reads the clock for the turn that begins.
func (l *Loop) readClock() {
	t := l.clock()
	l.now = clockOrigin + t.Sub(l.start).Truncate(time.Microsecond)
	l.unix = wallclock.FromTime(t)
}

// Post calls fn later in this turn, after the current callback.
func (l *Loop) Post(fn func()) { l.posted = append(l.posted, fn) }

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stopped = true }

// IsStopped reports whether Stop was called.
func (l *Loop) IsStopped() bool { return l.stopped }

// Run runs turns until Stop is called. It returns an error of epoll.
func (l *Loop) Run() error {
	for !l.stopped {
		if err := l.Turn(); err != nil {
			return err
		}
	}
	l.settle()
	return nil
}

// Turn waits until a descriptor is ready or the next timer is due. It fires the timers that are
// due, then serves the descriptors, and flushes the output of both at the end.
func (l *Loop) Turn() error {
	l.settle()
	n, err := unix.EpollWait(l.epollFD, l.events[:], l.pollTimeout())
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("loop: epoll wait: %w", err)
	}
	l.readClock()
	l.fireTimers()
	for _, event := range l.events[:max(n, 0)] {
		// The number of a descriptor that was closed earlier in this turn may be in use again, by
		// another generation.
		if r, ok := l.table[int(event.Fd)]; ok && r.generation == event.Pad {
			r.source.ready(event.Events)
		}
	}
	l.settle()
	return nil
}

// AwaitReady waits up to the given time until a descriptor is ready, and reports whether one is. It
// does not serve it. A test with a stepped clock uses it to have a timer and a descriptor served in
// one turn.
func (l *Loop) AwaitReady(within time.Duration) (bool, error) {
	fds := []unix.PollFd{{Fd: int32(l.epollFD), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, int(within.Milliseconds()))
		if err != unix.EINTR {
			return n > 0, err
		}
	}
}

// settle runs posted functions and flushes the output of the turn.
func (l *Loop) settle() {
	for len(l.posted) > 0 || len(l.unflushed) > 0 {
		posted := l.posted
		unflushed := l.unflushed
		l.posted = nil
		l.unflushed = nil
		for _, fn := range posted {
			fn()
		}
		for _, c := range unflushed {
			c.flushQueued = false
			c.flush()
		}
	}
}

// pollTimeout returns the milliseconds until the next timer is due, rounded up.
func (l *Loop) pollTimeout() int {
	if l.stopped || l.stepped {
		return 0
	}
	if len(l.timers) == 0 {
		return int(maxPollTimeout.Milliseconds())
	}
	roundedUp := l.timers[0].dueAt - l.now + time.Millisecond - time.Microsecond
	return int(min(max(roundedUp, 0), maxPollTimeout).Milliseconds())
}

// watch registers a descriptor for events.
func (l *Loop) watch(fd int, events uint32, s source) error {
	l.generation++
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return fmt.Errorf("loop: watch: %w", err)
	}
	l.table[fd] = registration{s, l.generation}
	return nil
}

// rewatch changes the events of a watched descriptor.
func (l *Loop) rewatch(fd int, events uint32) {
	r, ok := l.table[fd]
	if !ok {
		return
	}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: r.generation}
	// fails only for a descriptor that is not watched, which the table rules out
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &ev)
}

// unwatch removes a descriptor that stays open from epoll.
func (l *Loop) unwatch(fd int) {
	delete(l.table, fd)
	// fails only for a descriptor that is not watched
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, fd, nil)
}

// release closes a watched descriptor. It is the only place that does.
func (l *Loop) release(fd int) {
	delete(l.table, fd)
	_ = unix.Close(fd) // also removes it from epoll; an error leaves nothing to do
}

// Signals calls fn on the loop for each of the signals. Signals of one kind that come together
// count once, so that a flood of one neither blocks nor displaces another. They are caught from
// this call on until the program ends.
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

// eventfdIncrement makes an eventfd readable: the number 1 in 64 bits.
var eventfdIncrement = binary.NativeEndian.AppendUint64(nil, 1)

// Deliver calls fn on the loop. It is the only method for other goroutines.
func (l *Loop) Deliver(fn func()) {
	l.mu.Lock()
	l.delivered = append(l.delivered, fn)
	l.mu.Unlock()
	// fails only while a wake-up is pending
	_, _ = unix.Write(l.wakeFD, eventfdIncrement)
}

// takeDelivered runs the functions that other goroutines delivered.
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

// readyFunc is a source that is a function.
type readyFunc func(events uint32)

func (f readyFunc) ready(events uint32) { f(events) }
