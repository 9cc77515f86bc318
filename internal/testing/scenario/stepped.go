package scenario

import (
	"io"
	"net"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
)

// steppedFor is how long a stepped loop waits for what a peer on loopback has sent already.
const steppedFor = 10 * time.Second

// SteppedLoop is a loop whose clock and turns the test steps, so that it says which events meet in one
// turn.
type SteppedLoop struct {
	*eventloop.Loop
	t   testing.TB
	now time.Time
}

// NewSteppedLoop makes one.
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

// Together waits until a descriptor is ready, lets the time pass, and then deals with both in one
// turn.
func (s *SteppedLoop) Together(passes time.Duration) {
	s.t.Helper()
	ready, err := s.AwaitReady(steppedFor)
	if err != nil || !ready {
		s.t.Fatalf("nothing gets ready: %v", err)
	}
	s.Pass(passes)
}

// Pass lets the time pass and takes one turn.
func (s *SteppedLoop) Pass(passes time.Duration) {
	s.t.Helper()
	s.now = s.now.Add(passes)
	if err := s.Turn(); err != nil {
		s.t.Fatal(err)
	}
}

// Until takes turns until done, with the clock at a stand.
func (s *SteppedLoop) Until(done func() bool) {
	s.t.Helper()
	for !done() {
		s.Together(0)
	}
}

// Dial connects to a listener of the loop and sends so much.
func (s *SteppedLoop) Dial(ln *eventloop.Listener, send string) *net.TCPConn {
	s.t.Helper()
	return s.DialAddr(ln.Addr().String(), send)
}

// DialAddr is Dial to an address.
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

// Send writes on a peer's side.
func (s *SteppedLoop) Send(c io.Writer, text string) {
	s.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
}

// Ended is what a peer has read to the end of its connection; a reset is an error.
type Ended struct {
	Text string
	Err  error
}

// ReadToEnd reads a connection to its end, beside the loop.
func ReadToEnd(c net.Conn) <-chan Ended {
	got := make(chan Ended, 1)
	go func() {
		b, err := io.ReadAll(c)
		got <- Ended{string(b), err}
	}()
	return got
}

// AwaitEnd takes turns, a millisecond each, until the peer has read to the end.
func (s *SteppedLoop) AwaitEnd(got <-chan Ended) Ended {
	s.t.Helper()
	for {
		select {
		case r := <-got:
			return r
		case <-time.After(time.Millisecond):
			s.Pass(time.Millisecond)
		}
	}
}
