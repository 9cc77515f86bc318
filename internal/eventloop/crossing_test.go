package eventloop_test

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/testing/scenario"
)

// acceptsInOneTurn is as many as a listener takes in one turn.
const acceptsInOneTurn = 64

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// remote is a handler that keeps what comes, or does as the test says.
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

// expect turns the loop until the peer has read to the end, which has to be in order and to bring
// all of the text.
func expect(t testing.TB, s *scenario.SteppedLoop, got <-chan scenario.Ended, want string) {
	t.Helper()
	if r := s.AwaitEnd(got); r.Err != nil || r.Text != want {
		t.Fatalf("the peer got %d bytes (%v), want %d", len(r.Text), r.Err, len(want))
	}
}

// accepting listens and gives the connections that are taken, oldest first.
func accepting(
	t testing.TB,
	l *eventloop.Loop,
	most int,
	h func(*eventloop.Conn) eventloop.Handler,
) (*eventloop.Listener, *[]*eventloop.Conn) {
	t.Helper()
	taken := &[]*eventloop.Conn{}
	ln, err := l.Listen(
		loopback,
		most,
		eventloop.BufferLimits{In: 1 << 10, Out: 8 << 20},
		func(c *eventloop.Conn) eventloop.Handler {
			*taken = append(*taken, c)
			return h(c)
		},
		nil,
	)
	if err != nil {
		t.Fatal(err)
	}
	return ln, taken
}

// A peer that stops sending is read to its end in the turn in which its answer is written: the
// answer still goes out.
func TestEndOfPeerInTheTurnOfItsAnswer(t *testing.T) {
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
	s.Together(time.Millisecond)
	expect(t, s, got, "answer")
}

// The same with an answer that the system does not take at once, on a connection that was left.
func TestEndOfPeerThatReadsSlowly(t *testing.T) {
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
	s.Together(0)
	if (*taken)[0].IsClosed() {
		t.Fatal("closed with a part of the answer still queued")
	}
	expect(t, s, scenario.ReadToEnd(c), string(large))
}

// A connection that is left while it is paused reads what still comes: closed over it, it would be
// reset and take the answer along.
func TestLeftWhilePaused(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 4, func(*eventloop.Conn) eventloop.Handler { return &peer{} })
	c := s.Dial(ln, "")
	s.Until(func() bool { return len(*taken) == 1 })
	lc := (*taken)[0]
	lc.Pause(true)
	s.Send(c, "more")
	lc.Write([]byte("answer"))
	lc.CloseGracefully()
	s.Until(func() bool { return !lc.HasUnreadInput() })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	expect(t, s, scenario.ReadToEnd(c), "answer")
}

// What waits in the queue when a listener closes was accepted in its peer's eyes: all of it is
// taken in, however much it is.
func TestQueueIsTakenAsTheListenerCloses(t *testing.T) {
	const many = 3 * acceptsInOneTurn
	for name, end := range map[string]func(*eventloop.Listener){"close": (*eventloop.Listener).Close, "when taken": func(ln *eventloop.Listener) { ln.CloseWhenAccepted(time.Second) }} {
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

// Those in the queue that have no place yet get theirs as others go, and only then the listener
// closes.
func TestQueueWaitsForPlaces(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	ln, taken := accepting(t, s.Loop, 1, func(c *eventloop.Conn) eventloop.Handler {
		return &peer{data: func(b []byte) (int, error) {
			c.Write(b)
			c.CloseGracefully()
			return len(b), nil
		}}
	})
	var answers []<-chan scenario.Ended
	for range 3 {
		answers = append(answers, scenario.ReadToEnd(s.Dial(ln, "call")))
	}
	ln.CloseWhenAccepted(time.Hour)
	if !ln.IsListening() {
		t.Fatal("closed while peers wait for their places")
	}
	for _, got := range answers {
		expect(t, s, got, "call")
	}
	s.Pass(time.Second) // the last one's place is given back
	s.Pass(0)
	if len(*taken) != 3 || ln.IsListening() {
		t.Fatalf("%d taken, listens: %t", len(*taken), ln.IsListening())
	}
}

// As the process ends, its connections are closed at once: bytes that were not read must not take
// along an answer that the peer has not read yet.
func TestUnreadBytesAsTheProcessEnds(t *testing.T) {
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
