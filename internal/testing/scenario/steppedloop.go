package scenario

import (
	"io"
	"net"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
)

// readyTimeout bounds the wait for an event that a peer on loopback causes.
const readyTimeout = 10 * time.Second

// SteppedLoop is an event loop whose clock and turns are controlled by the test. The test thereby decides which
// events are handled in one turn.
type SteppedLoop struct {
	*eventloop.Loop
	t   testing.TB
	now time.Time
}

// NewSteppedLoop returns a loop that is closed when the test ends.
func NewSteppedLoop(t testing.TB) *SteppedLoop {
	t.Helper()
	s := &SteppedLoop{t: t, now: time.Unix(1_700_000_000, 0)}
	l, err := eventloop.NewStepped(func() time.Time { return s.now })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s.Loop = l
	return s
}

// AwaitAndAdvance waits until a descriptor is ready, advances the clock by d, and takes one turn, which handles
// the descriptor's events and the timers that are due.
func (s *SteppedLoop) AwaitAndAdvance(d time.Duration) {
	s.t.Helper()
	ready, err := s.AwaitReady(readyTimeout)
	if err != nil || !ready {
		s.t.Fatalf("no descriptor became ready: %v", err)
	}
	s.Advance(d)
}

// Advance advances the clock by d and takes one turn.
func (s *SteppedLoop) Advance(d time.Duration) {
	s.t.Helper()
	s.now = s.now.Add(d)
	if err := s.Turn(); err != nil {
		s.t.Fatal(err)
	}
}

// Until takes turns until done returns true, without advancing the clock.
func (s *SteppedLoop) Until(done func() bool) {
	s.t.Helper()
	for !done() {
		s.AwaitAndAdvance(0)
	}
}

// Dial connects to a listener of the loop and sends a text.
func (s *SteppedLoop) Dial(ln *eventloop.Listener, send string) *net.TCPConn {
	s.t.Helper()
	return s.DialAddr(ln.Addr().String(), send)
}

// DialAddr connects to an address and sends a text.
func (s *SteppedLoop) DialAddr(addr, send string) *net.TCPConn {
	s.t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	s.Send(c, send)
	return c.(*net.TCPConn)
}

// Send writes a text to a peer's end of a connection.
func (s *SteppedLoop) Send(c io.Writer, text string) {
	s.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
}

// Received is what a peer read until the end of its connection. Err is set if the connection was reset.
type Received struct {
	Text string
	Err  error
}

// ReadToEnd reads a connection to its end on a goroutine of its own.
func ReadToEnd(c net.Conn) <-chan Received {
	got := make(chan Received, 1)
	go func() {
		b, err := io.ReadAll(c)
		got <- Received{string(b), err}
	}()
	return got
}

// AwaitEnd takes turns, and advances the clock by a millisecond in each, until the peer has read to the end.
func (s *SteppedLoop) AwaitEnd(got <-chan Received) Received {
	s.t.Helper()
	for {
		select {
		case r := <-got:
			return r
		case <-time.After(time.Millisecond):
			s.Advance(time.Millisecond)
		}
	}
}
