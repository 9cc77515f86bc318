package loop

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// stepped is a loop whose clock and turns the test steps, so that it says which events meet in one turn.
type stepped struct {
	*Loop
	t   testing.TB
	now time.Time
}

func newStepped(t testing.TB) *stepped {
	t.Helper()
	s := &stepped{t: t, now: time.Unix(1_700_000_000, 0)}
	l, err := NewStepped(func() time.Time { return s.now })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s.Loop = l
	return s
}

// turn lets the time pass, waits until a descriptor is ready as well, and then deals with both in one turn.
func (s *stepped) turn(passes time.Duration) {
	s.t.Helper()
	ready, err := s.AwaitReady(10 * time.Second)
	if err != nil || !ready {
		s.t.Fatalf("nothing gets ready: %v", err)
	}
	s.now = s.now.Add(passes)
	if err := s.Turn(); err != nil {
		s.t.Fatal(err)
	}
}

// until turns the loop until done, with the clock at a stand.
func (s *stepped) until(done func() bool) {
	s.t.Helper()
	for !done() {
		s.turn(0)
	}
}

// dialTo connects to a listener and sends so many bytes.
func dialTo(t testing.TB, ln *Listener, send string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// readAll reads to the end of a connection beside the loop, and reports a reset as an error.
func readAll(c net.Conn) <-chan result {
	got := make(chan result, 1)
	go func() {
		b, err := io.ReadAll(c)
		got <- result{string(b), err}
	}()
	return got
}

type result struct {
	text string
	err  error
}

// expect turns the loop until the peer has read to the end, which has to be in order and to bring all of the text.
func (s *stepped) expect(got <-chan result, want string) {
	s.t.Helper()
	var r result
	for done := false; !done; {
		select {
		case r = <-got:
			done = true
		case <-time.After(time.Millisecond):
			s.now = s.now.Add(time.Millisecond)
			if err := s.Turn(); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	if r.err != nil || r.text != want {
		s.t.Fatalf("the peer got %d bytes (%v), want %d", len(r.text), r.err, len(want))
	}
}

// accepting listens and gives the connections that are taken, oldest first.
func accepting(t testing.TB, l *Loop, most int, h func(*Conn) Handler) (*Listener, *[]*Conn) {
	t.Helper()
	taken := &[]*Conn{}
	ln, err := l.Listen(any4, most, Limits{In: 1 << 10, Out: 8 << 20}, func(c *Conn) Handler {
		*taken = append(*taken, c)
		return h(c)
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return ln, taken
}

// A peer that stops sending is read to its end in the turn in which its answer is written: the answer still goes out.
func TestEndOfPeerInTheTurnOfItsAnswer(t *testing.T) {
	s := newStepped(t)
	ln, taken := accepting(t, s.Loop, 4, func(*Conn) Handler { return &peer{} })
	c := dialTo(t, ln, "x")
	s.until(func() bool { return len(*taken) == 1 })
	s.until(func() bool { return len((*taken)[0].Unread()) == 1 })
	s.After(1000, func() { (*taken)[0].Write([]byte("answer")) })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got := readAll(c)
	s.turn(time.Millisecond)
	s.expect(got, "answer")
}

// The same with an answer that the system does not take at once, on a connection that was left.
func TestEndOfPeerThatReadsSlowly(t *testing.T) {
	s := newStepped(t)
	ln, taken := accepting(t, s.Loop, 4, func(*Conn) Handler { return &peer{} })
	c := dialTo(t, ln, "x")
	s.until(func() bool { return len(*taken) == 1 })
	large := make([]byte, 6<<20)
	(*taken)[0].Write(large)
	(*taken)[0].Leave()
	s.until(func() bool { return (*taken)[0].Queued() < len(large) })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	s.turn(0)
	if (*taken)[0].IsClosed() {
		t.Fatal("closed with a part of the answer still queued")
	}
	s.expect(readAll(c), string(large))
}

// A connection that is left while it is paused reads what still comes: closed over it, it would be reset and take the answer
// along.
func TestLeftWhilePaused(t *testing.T) {
	s := newStepped(t)
	ln, taken := accepting(t, s.Loop, 4, func(*Conn) Handler { return &peer{} })
	c := dialTo(t, ln, "")
	s.until(func() bool { return len(*taken) == 1 })
	lc := (*taken)[0]
	lc.Pause(true)
	if _, err := io.WriteString(c, "more"); err != nil {
		t.Fatal(err)
	}
	lc.Write([]byte("answer"))
	lc.Leave()
	s.until(func() bool { return unreadBytes(t, lc.fd) == 0 })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	s.expect(readAll(c), "answer")
}

func unreadBytes(t testing.TB, fd int) int {
	t.Helper()
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// What waits in the queue when a listener closes was accepted in its peer's eyes: all of it is taken in, however much it is.
func TestQueueIsTakenAsTheListenerCloses(t *testing.T) {
	const many = 3 * acceptsATurn
	for name, end := range map[string]func(*Listener){"close": (*Listener).Close, "when taken": func(ln *Listener) { ln.CloseWhenTaken(1_000_000) }} {
		t.Run(name, func(t *testing.T) {
			s := newStepped(t)
			ln, taken := accepting(t, s.Loop, 2*many, func(*Conn) Handler { return &peer{} })
			for range many {
				dialTo(t, ln, "")
			}
			end(ln)
			if len(*taken) != many || ln.Listens() {
				t.Fatalf("%d of %d taken, listens: %t", len(*taken), many, ln.Listens())
			}
		})
	}
}

// Those in the queue that have no place yet get theirs as others go, and only then the listener closes.
func TestQueueWaitsForPlaces(t *testing.T) {
	s := newStepped(t)
	ln, taken := accepting(t, s.Loop, 1, func(c *Conn) Handler {
		return &peer{data: func(b []byte) (int, error) {
			c.Write(b)
			c.Leave()
			return len(b), nil
		}}
	})
	var answers []<-chan result
	for range 3 {
		answers = append(answers, readAll(dialTo(t, ln, "call")))
	}
	ln.CloseWhenTaken(3_600_000_000)
	if !ln.Listens() {
		t.Fatal("closed while peers wait for their places")
	}
	for _, got := range answers {
		s.expect(got, "call")
	}
	s.now = s.now.Add(time.Second) // the last one's place is given back
	for range 2 {
		if err := s.Turn(); err != nil {
			t.Fatal(err)
		}
	}
	if len(*taken) != 3 || ln.Listens() {
		t.Fatalf("%d taken, listens: %t", len(*taken), ln.Listens())
	}
}
