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

// peer is a handler that buffers its input, or handles it as the test says.
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

// expect runs the loop until the peer has read to an orderly end, and compares what it read.
func expect(t testing.TB, s *scenario.SteppedLoop, got <-chan scenario.Received, want string) {
	t.Helper()
	if r := s.AwaitEnd(got); r.Err != nil || r.Text != want {
		t.Fatalf("the peer got %d bytes (%v), want %d", len(r.Text), r.Err, len(want))
	}
}

// accepting listens and returns the accepted connections, oldest first.
func accepting(
	t testing.TB,
	l *eventloop.Loop,
	maxOpen int,
	h func(*eventloop.Conn) eventloop.Handler,
) (*eventloop.Listener, *[]*eventloop.Conn) {
	t.Helper()
	taken := &[]*eventloop.Conn{}
	ln, err := l.Listen(loopback, eventloop.ListenConfig{
		MaxOpen: maxOpen,
		Limits:  eventloop.BufferLimits{In: 1 << 10, Out: 8 << 20},
		Accept: func(c *eventloop.Conn) eventloop.Handler {
			*taken = append(*taken, c)
			return h(c)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return ln, taken
}

// The end of a peer's input is read in the turn in which its response is written: the response is
// still sent.
func TestOutputIsSentWhenPeerClosesInSameTurn(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "x")
	s.Until(func() bool { return len(*taken) == 1 })
	s.Until(func() bool { return len((*taken)[0].Buffered()) == 1 })
	s.After(time.Millisecond, func() { (*taken)[0].Write([]byte("answer")) })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got := scenario.ReadToEnd(c)
	s.AwaitAndPass(time.Millisecond)
	expect(t, s, got, "answer")
}

// The same with a response that the system does not take at once, on a connection that is closing.
func TestOutputIsSentToSlowPeerThatClosed(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "x")
	s.Until(func() bool { return len(*taken) == 1 })
	large := make([]byte, 6<<20)
	(*taken)[0].Write(large)
	(*taken)[0].CloseGracefully()
	s.Until(func() bool { return (*taken)[0].QueuedBytes() < len(large) })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	s.AwaitAndPass(0)
	if (*taken)[0].IsClosed() {
		t.Fatal("closed with a part of the answer still queued")
	}
	expect(t, s, scenario.ReadToEnd(c), string(large))
}

// A connection that is closed gracefully while it is paused reads the input that still comes: a
// close with unread input would reset it, and the response would be lost.
func TestGracefulCloseResumesPausedReading(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "")
	s.Until(func() bool { return len(*taken) == 1 })
	lc := (*taken)[0]
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

// Connections that wait in the queue when a listener closes are established to their peers: all of
// them are accepted, however many they are.
func TestClosingListenerAcceptsItsQueue(t *testing.T) {
	const many = 3 * acceptsInOneTurn
	for name, end := range map[string]func(*eventloop.Listener){
		"close":      (*eventloop.Listener).Close,
		"when taken": func(ln *eventloop.Listener) { ln.CloseWhenAccepted(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := scenario.NewSteppedLoop(t)
			ln, taken := accepting(
				t,
				s.Loop,
				2*many,
				func(*eventloop.Conn) eventloop.Handler { return &peer{} },
			)
			for range many {
				s.Dial(ln, "")
			}
			end(ln)
			if len(*taken) != many || ln.IsListening() {
				t.Fatalf("%d of %d taken, listens: %t", len(*taken), many, ln.IsListening())
			}
		})
	}
}

// Connections in the queue for which there is no room are accepted as others close, and only then
// the listener closes.
func TestClosingListenerWaitsForRoom(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 1, func(c *eventloop.Conn) eventloop.Handler {
		return &peer{data: func(b []byte) (int, error) {
			c.Write(b)
			c.CloseGracefully()
			return len(b), nil
		}}
	})
	var answers []<-chan scenario.Received
	for range 3 {
		answers = append(answers, scenario.ReadToEnd(s.Dial(ln, "call")))
	}
	ln.CloseWhenAccepted(time.Hour)
	if !ln.IsListening() {
		t.Fatal("closed while peers wait for room")
	}
	for _, got := range answers {
		expect(t, s, got, "call")
	}
	s.Advance(time.Second) // the last connection closes
	s.Advance(0)
	if len(*taken) != 3 || ln.IsListening() {
		t.Fatalf("%d taken, listens: %t", len(*taken), ln.IsListening())
	}
}

// As the process ends its connections are closed at once: unread input must not reset one whose
// peer has not read the response yet.
func TestShutdownKeepsResponseBeforeUnreadInput(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "")
	s.Until(func() bool { return len(*taken) == 1 })
	lc := (*taken)[0]
	lc.Write([]byte("answer"))
	s.Send(c, "more")
	for !lc.HasUnreadInput() {
		time.Sleep(time.Millisecond)
	}
	lc.FlushAndShutdown()
	lc.Close(nil)
	expect(t, s, scenario.ReadToEnd(c), "answer")
}
