// Package eventloop implements the program's single-threaded event loop on epoll: timers, a clock
// that is read once per turn, stream connections with bounded buffers, listeners, and signals. A
// turn is one iteration of the loop. All callbacks run on the goroutine that calls Run; other
// goroutines use Deliver to run a function there. The frontends, package upstream, the platform's
// adapters and the links to peers do their I/O on it.
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
	// readChunkBytes bounds the bytes that are read from one connection in one turn.
	readChunkBytes = 64 << 10
	// minBufferBytes is the size up to which a buffer for unconsumed input is kept whatever it holds.
	minBufferBytes = 512
	// maxEventsPerTurn bounds the number of descriptors whose events are handled in one turn.
	maxEventsPerTurn = 256
	// maxPollTimeout is how long a turn waits for events if no timer is due earlier.
	maxPollTimeout = time.Second
	// clockOrigin is the loop's time when it starts. It is not 0, so that 0 can mean "never".
	clockOrigin = time.Second
)

// source is the owner of a watched descriptor, which handles its events.
type source interface {
	ready(events uint32)
}

// registration is a watched descriptor. Its generation distinguishes it from earlier descriptors
// with the same number.
type registration struct {
	source     source
	generation int32
}

// Clock returns the current time with a monotonic clock reading, as time.Now does.
type Clock func() time.Time

// Loop owns the epoll descriptor, the table of watched descriptors and the timers.
type Loop struct {
	epollFD    int
	clock      Clock
	stepped    bool // a test advances the clock, so turns never wait
	start      time.Time
	now        time.Duration
	unix       wallclock.UnixMicro
	table      map[int]registration
	generation int32
	timers     timerHeap
	posted     []func()
	unflushed  []*Conn // connections that are flushed at the end of the turn
	readBuffer []byte  // shared by all connections
	events     [maxEventsPerTurn]unix.EpollEvent
	stopped    bool

	wakeFD    int // eventfd that is readable while delivered functions wait
	mu        sync.Mutex
	delivered []func()
}

// New returns a loop that uses the system's clock. The caller must Close it.
func New() (*Loop, error) { return newLoop(wallclock.Now) }

// NewStepped returns a loop for tests. It uses a clock that the test advances, and its turns handle
// the events that are ready and the timers that are due without waiting.
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

// Now returns the monotonic time at which this turn began, truncated to microseconds. It counts from
// the start of the loop, at which it is one second.
func (l *Loop) Now() time.Duration { return l.now }

// Unix returns the Unix time at which this turn began.
func (l *Loop) Unix() wallclock.UnixMicro { return l.unix }

// readClock reads the clock for the turn that begins.
func (l *Loop) readClock() {
	t := l.clock()
	l.now = clockOrigin + t.Sub(l.start).Truncate(time.Microsecond)
	l.unix = wallclock.FromTime(t)
}

// Post calls fn at the end of this turn, after the current callback has returned.
func (l *Loop) Post(fn func()) { l.posted = append(l.posted, fn) }

// Stop makes Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

// IsStopped reports whether Stop was called.
func (l *Loop) IsStopped() bool { return l.stopped }

// Run runs turns until Stop is called or epoll fails.
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
// due, then handles the events of descriptors, and flushes the output of both at the end.
func (l *Loop) Turn() error {
	l.settle()
	n, err := unix.EpollWait(l.epollFD, l.events[:], l.pollTimeout())
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("loop: epoll wait: %w", err)
	}
	l.readClock()
	l.fireTimers()
	for _, event := range l.events[:max(n, 0)] {
		// If the descriptor was closed earlier in this turn, its number may be in use again by a
		// descriptor with another generation, for which the event is not meant.
		if r, ok := l.table[int(event.Fd)]; ok && r.generation == event.Pad {
			r.source.ready(event.Events)
		}
	}
	l.settle()
	return nil
}

// AwaitReady waits up to the given time until a descriptor is ready, and reports whether one is. It
// does not handle the event. A test with a stepped clock uses it so that a timer and an event are
// handled in the same turn.
func (l *Loop) AwaitReady(within time.Duration) (bool, error) {
	fds := []unix.PollFd{{Fd: int32(l.epollFD), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, int(within.Milliseconds()))
		if err != unix.EINTR {
			return n > 0, err
		}
	}
}

// settle runs the posted functions and flushes the output of the turn until none is left.
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
	// Fails only for a descriptor that is not watched, which the table rules out.
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &ev)
}

// unwatch removes a descriptor from epoll without closing it.
func (l *Loop) unwatch(fd int) {
	delete(l.table, fd)
	// Fails only for a descriptor that is not watched.
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, fd, nil)
}

// release closes the descriptor of a connection or a listener. Once watched, it is closed only here.
func (l *Loop) release(fd int) {
	delete(l.table, fd)
	_ = unix.Close(fd) // also removes it from epoll; the descriptor is gone even after an error
}

// Signals calls fn on the loop for each of the signals that arrives. Signals of one kind that arrive
// in quick succession may be merged into one. Each kind has a channel of its own, so a flood of one
// kind neither blocks nor displaces another. The signals are caught from this call until the program
// ends.
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

// Deliver calls fn on the loop. It is the only method that other goroutines may call.
func (l *Loop) Deliver(fn func()) {
	l.mu.Lock()
	l.delivered = append(l.delivered, fn)
	l.mu.Unlock()
	// Fails only while a wake-up is pending, because the counter would overflow.
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

// readyFunc is a function that implements source.
type readyFunc func(events uint32)

func (f readyFunc) ready(events uint32) { f(events) }
