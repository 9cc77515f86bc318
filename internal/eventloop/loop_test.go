package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

var any4 = netip.MustParseAddrPort("127.0.0.1:0")

// peer is a handler whose methods call the functions that the test sets.
type peer struct {
	up     func()
	data   func([]byte) (int, error)
	closed func(error)
}

func (p *peer) Connected() {
	if p.up != nil {
		p.up()
	}
}
func (p *peer) Data(b []byte) (int, error) {
	if p.data == nil {
		return 0, nil
	}
	return p.data(b)
}
func (p *peer) End() bool { return false }
func (p *peer) Closed(err error) {
	if p.closed != nil {
		p.closed(err)
	}
}

// run runs a new loop until the test stops it, for at most 10 seconds.
func run(t *testing.T, begin func(*Loop)) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.After(10*time.Second, func() {
		t.Error("the loop was not stopped within 10 seconds")
		l.Stop()
	})
	begin(l)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	return l
}

func listen(t *testing.T, l *Loop, maxOpen int, limits BufferLimits, h Handler, onFull func()) *Listener {
	t.Helper()
	config := ListenConfig{
		MaxOpen: maxOpen,
		Limits:  limits,
		Accept:  func(*Conn) Handler { return h },
		OnFull:  onFull,
	}
	ln, err := l.Listen(any4, config)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// A peer that does not read is closed when its output buffer overflows.
func TestSlowPeerIsClosed(t *testing.T) {
	var got error
	run(t, func(l *Loop) {
		var c *Conn
		ln, err := l.Listen(
			any4,
			ListenConfig{MaxOpen: 8, Limits: BufferLimits{1 << 10, 1 << 20}, Accept: func(a *Conn) Handler {
				c = a
				return &peer{closed: func(err error) { got = err; l.Stop() }}
			}},
		)
		if err != nil {
			t.Fatal(err)
		}
		silent, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { silent.Close() })
		l.Every(time.Millisecond, func() {
			if c != nil {
				c.Write(make([]byte, 1<<18))
			}
		})
	})
	if !errors.Is(got, ErrSlowPeer) {
		t.Fatalf("the connection closed with error %v, want ErrSlowPeer", got)
	}
}

func TestInputOverflowAndRefusedConnectReachHandler(t *testing.T) {
	var flood, refused error
	run(t, func(l *Loop) {
		end := func() {
			if flood != nil && refused != nil {
				l.Stop()
			}
		}
		ln := listen(
			t,
			l,
			8,
			BufferLimits{100, 100},
			&peer{closed: func(err error) { flood = err; end() }},
			nil,
		)
		var c *Conn
		c = l.Dial(
			ln.Addr(),
			BufferLimits{100, 1 << 10},
			&peer{up: func() { c.Write([]byte(strings.Repeat("x", 101))) }},
		)
		gone := listen(t, l, 1, BufferLimits{}, &peer{}, nil)
		addr := gone.Addr()
		gone.Close()
		l.Dial(addr, BufferLimits{}, &peer{closed: func(err error) { refused = err; end() }})
	})
	var r *ConnectionRefusedError
	if !errors.Is(flood, ErrInputOverflow) || !errors.As(refused, &r) {
		t.Fatalf("overflow closed with error %v, refused dial with %v; want ErrInputOverflow, ConnectionRefusedError",
			flood, refused)
	}
}

// When the process is out of descriptors, accept fails and the listener stays readable: the loop must
// pause accepting instead of spinning, and accept the connection later.
func TestAcceptPausesWithoutDescriptors(t *testing.T) {
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	onFullCalls, received := 0, false
	run(t, func(l *Loop) {
		ln := listen(
			t,
			l,
			100,
			BufferLimits{10, 10},
			&peer{data: func([]byte) (int, error) { received = true; l.Stop(); return 0, nil }},
			func() { onFullCalls++ },
		)
		var c *Conn
		c = l.Dial(ln.Addr(), BufferLimits{10, 10}, &peer{up: func() { c.Write([]byte("x")) }})
		low := old
		low.Cur = uint64(c.fd) + 1 // allows the descriptors that are in use, and no more
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &low); err != nil {
			t.Fatal(err)
		}
		l.After(200*time.Millisecond, func() {
			if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
				t.Error(err)
			}
		})
	})
	if !received || onFullCalls == 0 || onFullCalls > 20 {
		t.Fatalf("input received: %t, after %d failed accepts; want true after 1 to 20", received, onFullCalls)
	}
}

// A listener at its limit of open connections leaves further ones in the queue, and accepts them as
// others close.
func TestFullListenerAcceptsAsConnectionsClose(t *testing.T) {
	accepted, onFullCalls := 0, 0
	run(t, func(l *Loop) {
		var first *Conn
		ln, err := l.Listen(
			any4,
			ListenConfig{MaxOpen: 1, Limits: BufferLimits{10, 10}, Accept: func(c *Conn) Handler {
				if accepted++; accepted == 2 {
					l.Stop()
				}
				first = c
				return &peer{}
			}, OnFull: func() { onFullCalls++; first.CloseGracefully() }},
		)
		if err != nil {
			t.Fatal(err)
		}
		l.Dial(ln.Addr(), BufferLimits{10, 10}, &peer{})
		l.Dial(ln.Addr(), BufferLimits{10, 10}, &peer{})
	})
	if accepted != 2 || onFullCalls == 0 {
		t.Fatalf("accepted %d connections, want 2; OnFull called %d times, want at least 1", accepted, onFullCalls)
	}
}

func TestTimersFireInOrderUnlessStopped(t *testing.T) {
	var got []int
	run(t, func(l *Loop) {
		for _, d := range []int{30, 10, 20} {
			l.After(time.Duration(d)*time.Millisecond, func() { got = append(got, d) })
		}
		stopped := l.After(15*time.Millisecond, func() { got = append(got, -1) })
		stopped.Stop()
		stopped.Stop()
		// Of two timers that are due in the same turn, the first stops the second, which must not fire.
		var second *Timer
		l.After(0, func() { second.Stop() })
		second = l.After(time.Microsecond, func() { got = append(got, -2) })
		time.Sleep(time.Millisecond)
		l.After(40*time.Millisecond, l.Stop)
	})
	if len(got) != 3 || got[0] != 10 || got[1] != 20 || got[2] != 30 {
		t.Fatalf("timers fired in the order %v, want [10 20 30]", got)
	}
}

// handOver is the state of a test in which two listeners share an address and the first hands over
// to the second.
type handOver struct {
	t          *testing.T
	loop       *Loop
	listeners  [2]*Listener
	accepted   [2]int
	handedOver bool
	late       int // connections that the first listener accepted after it handed over
}

// listen opens both listeners, whose connections answer input with a dot.
func (h *handOver) listen(maxOpen int) {
	addr := any4
	for i := range h.listeners {
		ln, err := h.loop.ListenShared(
			addr,
			ListenConfig{
				MaxOpen: maxOpen,
				Limits:  BufferLimits{In: 64, Out: 64},
				Accept: func(c *Conn) Handler {
					h.accepted[i]++
					if i == 0 && h.handedOver {
						h.late++
					}
					return &peer{data: func(b []byte) (int, error) {
						c.Write([]byte("."))
						return len(b), nil
					}}
				},
			},
		)
		if err != nil {
			h.t.Fatal(err)
		}
		h.listeners[i], addr = ln, ln.Addr()
	}
}

// connect dials the address count times, one after the other, and hands over after a quarter of the
// connections. It sends the error of each, or nil, to results.
func (h *handOver) connect(addr netip.AddrPort, count int, results chan<- error) {
	for n := range count {
		results <- echo(addr)
		if n == count/4 {
			h.loop.Deliver(func() {
				h.listeners[0].HandOver()
				if h.handedOver = true; !h.listeners[0].IsListening() {
					h.t.Error("the first listener closed at once, which resets pending handshakes")
				}
			})
		}
	}
	close(results)
}

// finish stops the loop after the time in which the first listener has to close.
func (h *handOver) finish() {
	h.loop.After(2*handshakeTime, func() {
		if h.listeners[0].IsListening() {
			h.t.Error("the first listener is still listening after twice handshakeTime")
		}
		h.loop.Stop()
	})
}

// The first of two listeners on one address hands over while peers connect. Each connection is
// accepted by one of the listeners, none is reset, and no new connection goes to the first one after
// it handed over.
func TestHandOverResetsNoConnection(t *testing.T) {
	const connections = 400
	h := &handOver{t: t}
	run(t, func(l *Loop) {
		h.loop = l
		h.listen(10 * connections)
		addr, results := h.listeners[0].Addr(), make(chan error, connections)
		go h.connect(addr, connections, results)
		go func() {
			for err := range results {
				if err != nil {
					t.Error(err)
				}
			}
			l.Deliver(h.finish)
		}()
	})
	// A connection that was routed to the first listener before the hand-over may be accepted after it.
	if h.accepted[0]+h.accepted[1] != connections || h.accepted[0] == 0 || h.late > 1 {
		t.Errorf("the listeners accepted %v of %d connections, the first %d after handing over; want all, at most 1",
			h.accepted, connections, h.late)
	}
}

// echo sends one byte and receives one on a connection of its own.
func echo(addr netip.AddrPort) error {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}

// Accepted and dialled connections have TCP_NODELAY, so that small writes are sent at once: output
// that the system holds back would be lost with a reset.
func TestSocketsHaveNoDelay(t *testing.T) {
	noDelay := map[string]int{}
	readNoDelay := func(l *Loop, name string, c *Conn) {
		value, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil {
			t.Error(err)
		}
		if noDelay[name] = value; len(noDelay) == 2 {
			l.Stop()
		}
	}
	run(t, func(l *Loop) {
		ln, err := l.Listen(
			any4,
			ListenConfig{MaxOpen: 8, Limits: BufferLimits{100, 100}, Accept: func(c *Conn) Handler {
				l.Post(func() { readNoDelay(l, "accepted", c) })
				return &peer{}
			}},
		)
		if err != nil {
			t.Fatal(err)
		}
		var dialled *Conn
		dialled = l.Dial(ln.Addr(), BufferLimits{100, 100}, &peer{up: func() { readNoDelay(l, "dialled", dialled) }})
	})
	if noDelay["accepted"] != 1 || noDelay["dialled"] != 1 {
		t.Errorf("TCP_NODELAY by connection = %v, want 1 for both", noDelay)
	}
}
