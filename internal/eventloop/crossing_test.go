package eventloop_test

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/testing/scenario"
)

// acceptsInOneTurn is how many connections a listener accepts in one turn.
const acceptsInOneTurn = 64

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// peer is a handler that passes its input to data, or leaves it unconsumed if data is nil.
type peer struct{ data func([]byte) (int, error) }

func (p *peer) Connected() {}
func (p *peer) Data(b []byte) (int, error) {
	if p.data == nil {
		return 0, nil
	}
	return p.data(b)
}
func (p *peer) End() bool    { return false }
func (p *peer) Closed(error) {}

// expect runs the loop until the peer has read to the end of its input, and fails the test unless the
// connection ended without an error and the input is want.
func expect(t testing.TB, s *scenario.SteppedLoop, got <-chan scenario.Received, want string) {
	t.Helper()
	if r := s.AwaitEnd(got); r.Err != nil || r.Text != want {
		t.Fatalf("the peer got %d bytes with error %v, want the %d bytes that were sent", len(r.Text), r.Err, len(want))
	}
}

// listen returns a listener and the connections that it accepts, in order.
func listen(
	t testing.TB,
	l *eventloop.Loop,
	maxOpen int,
	h func(*eventloop.Conn) eventloop.Handler,
) (*eventloop.Listener, *[]*eventloop.Conn) {
	t.Helper()
	accepted := &[]*eventloop.Conn{}
	ln, err := l.Listen(loopback, eventloop.ListenConfig{
		MaxOpen: maxOpen,
		Limits:  eventloop.BufferLimits{In: 1 << 10, Out: 8 << 20},
		Accept: func(c *eventloop.Conn) eventloop.Handler {
			*accepted = append(*accepted, c)
			return h(c)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return ln, accepted
}

// A response is sent even if the end of the peer's input is read in the turn in which the response is
// written.
func TestOutputIsSentWhenPeerClosesInSameTurn(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, accepted := listen(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "x")
	s.Until(func() bool { return len(*accepted) == 1 })
	s.Until(func() bool { return len((*accepted)[0].Buffered()) == 1 })
	s.After(time.Millisecond, func() { (*accepted)[0].Write([]byte("answer")) })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got := scenario.ReadToEnd(c)
	s.AwaitAndAdvance(time.Millisecond)
	expect(t, s, got, "answer")
}

// A response that is too large for the socket's buffer is sent completely to a peer that has closed
// its side, while the connection is being closed gracefully.
func TestOutputIsSentToSlowPeerThatClosed(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, accepted := listen(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "x")
	s.Until(func() bool { return len(*accepted) == 1 })
	large := make([]byte, 6<<20)
	(*accepted)[0].Write(large)
	(*accepted)[0].CloseGracefully()
	s.Until(func() bool { return (*accepted)[0].QueuedBytes() < len(large) })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	s.AwaitAndAdvance(0)
	if (*accepted)[0].IsClosed() {
		t.Fatal("the connection is closed while a part of the response is still queued")
	}
	expect(t, s, scenario.ReadToEnd(c), string(large))
}

// A connection that is closed gracefully while reading is paused reads the remaining input: closing
// with unread input would reset the connection, and the response would be lost.
func TestGracefulCloseResumesPausedReading(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, accepted := listen(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "")
	s.Until(func() bool { return len(*accepted) == 1 })
	lc := (*accepted)[0]
	lc.SetPaused(true)
	s.Send(c, "more")
	lc.Write([]byte("answer"))
	lc.CloseGracefully()
	s.Until(func() bool { return !lc.HasUnreadInput() })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	expect(t, s, scenario.ReadToEnd(c), "answer")
}

// A listener that closes accepts all connections in its queue, even if they are more than it accepts
// in one turn: for their peers they are established, and would be reset.
func TestClosingListenerAcceptsItsQueue(t *testing.T) {
	const many = 3 * acceptsInOneTurn
	for name, closeListener := range map[string]func(*eventloop.Listener){
		"Close":             (*eventloop.Listener).Close,
		"CloseWhenAccepted": func(ln *eventloop.Listener) { ln.CloseWhenAccepted(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := scenario.NewSteppedLoop(t)
			ln, accepted := listen(
				t,
				s.Loop,
				2*many,
				func(*eventloop.Conn) eventloop.Handler { return &peer{} },
			)
			for range many {
				s.Dial(ln, "")
			}
			closeListener(ln)
			if len(*accepted) != many || ln.IsListening() {
				t.Fatalf("accepted %d of %d connections, IsListening() = %t; want all, false",
					len(*accepted), many, ln.IsListening())
			}
		})
	}
}

// Connections in the queue that exceed the limit of open connections are accepted as others close,
// and the listener closes only after that.
func TestClosingListenerWaitsForRoom(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, accepted := listen(t, s.Loop, 1, func(c *eventloop.Conn) eventloop.Handler {
		return &peer{data: func(b []byte) (int, error) {
			c.Write(b)
			c.CloseGracefully()
			return len(b), nil
		}}
	})
	var responses []<-chan scenario.Received
	for range 3 {
		responses = append(responses, scenario.ReadToEnd(s.Dial(ln, "call")))
	}
	ln.CloseWhenAccepted(time.Hour)
	if !ln.IsListening() {
		t.Fatal("the listener is closed while connections wait in its queue")
	}
	for _, got := range responses {
		expect(t, s, got, "call")
	}
	s.Advance(time.Second) // the last connection closes
	s.Advance(0)
	if len(*accepted) != 3 || ln.IsListening() {
		t.Fatalf("accepted %d of 3 connections, IsListening() = %t; want 3, false", len(*accepted), ln.IsListening())
	}
}

// When the process ends, its connections are closed at once. Unread input must not reset a connection
// whose peer has not read the response yet.
func TestShutdownKeepsResponseBeforeUnreadInput(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, accepted := listen(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "")
	s.Until(func() bool { return len(*accepted) == 1 })
	lc := (*accepted)[0]
	lc.Write([]byte("answer"))
	s.Send(c, "more")
	for !lc.HasUnreadInput() {
		time.Sleep(time.Millisecond)
	}
	lc.FlushAndShutdown()
	lc.Close(nil)
	expect(t, s, scenario.ReadToEnd(c), "answer")
}
