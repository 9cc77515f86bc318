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

// remote is a handler that the test fills in.
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

// run turns a new loop until the test stops it.
func run(t *testing.T, begin func(*Loop)) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.After(10*time.Second, func() {
		t.Error("the test does not come to its end")
		l.Stop()
	})
	begin(l)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	return l
}

func listen(t *testing.T, l *Loop, most int, limits BufferLimits, h Handler, full func()) *Listener {
	t.Helper()
	ln, err := l.Listen(any4, most, limits, func(*Conn) Handler { return h }, full)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// A peer that does not read must cost no more than its buffer.
func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	var got error
	run(t, func(l *Loop) {
		var c *Conn
		ln, err := l.Listen(any4, 8, BufferLimits{1 << 10, 1 << 20}, func(a *Conn) Handler {
			c = a
			return &peer{closed: func(err error) { got = err; l.Stop() }}
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		mute, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { mute.Close() })
		l.Every(time.Millisecond, func() {
			if c != nil {
				c.Write(make([]byte, 1<<18))
			}
		})
	})
	if !errors.Is(got, ErrSlowPeer) {
		t.Fatalf("closed with %v", got)
	}
}

func TestFloodIsClosedAndRefusalIsTold(t *testing.T) {
	var flood, refused error
	run(t, func(l *Loop) {
		end := func() {
			if flood != nil && refused != nil {
				l.Stop()
			}
		}
		ln := listen(t, l, 8, BufferLimits{100, 100}, &peer{closed: func(err error) { flood = err; end() }}, nil)
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
		t.Fatalf("flood closed with %v, refusal with %v", flood, refused)
	}
}

// An accept that fails for want of descriptors leaves the listener readable: the loop must rest,
// not spin on it.
func TestNoSpinWithoutDescriptors(t *testing.T) {
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	fulls, took := 0, false
	run(t, func(l *Loop) {
		ln := listen(
			t,
			l,
			100,
			BufferLimits{10, 10},
			&peer{data: func([]byte) (int, error) { took = true; l.Stop(); return 0, nil }},
			func() { fulls++ },
		)
		var c *Conn
		c = l.Dial(ln.Addr(), BufferLimits{10, 10}, &peer{up: func() { c.Write([]byte("x")) }})
		low := old
		low.Cur = uint64(c.fd) + 1 // all that are in use, and no more
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &low); err != nil {
			t.Fatal(err)
		}
		l.After(200*time.Millisecond, func() {
			if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
				t.Error(err)
			}
		})
	})
	if !took || fulls == 0 || fulls > 20 {
		t.Fatalf("taken in the end: %t, after %d failed accepts", took, fulls)
	}
}

// At its most the listener leaves callers in the queue, and takes them as others go.
func TestListenerAtItsMost(t *testing.T) {
	taken, fulls := 0, 0
	run(t, func(l *Loop) {
		var first *Conn
		ln, err := l.Listen(any4, 1, BufferLimits{10, 10}, func(c *Conn) Handler {
			if taken++; taken == 2 {
				l.Stop()
			}
			first = c
			return &peer{}
		}, func() { fulls++; first.CloseGracefully() })
		if err != nil {
			t.Fatal(err)
		}
		l.Dial(ln.Addr(), BufferLimits{10, 10}, &peer{})
		l.Dial(ln.Addr(), BufferLimits{10, 10}, &peer{})
	})
	if taken != 2 || fulls == 0 {
		t.Fatalf("%d taken, full %d times", taken, fulls)
	}
}

func TestTimersInOrderAndStopped(t *testing.T) {
	var got []int
	run(t, func(l *Loop) {
		for _, d := range []int{30, 10, 20} {
			l.After(time.Duration(d)*time.Millisecond, func() { got = append(got, d) })
		}
		stopped := l.After(15*time.Millisecond, func() { got = append(got, -1) })
		stopped.Stop()
		stopped.Stop()
		// Two that are due in one turn: the first stops the second, which must not fire from the
		// turn's list.
		var second *Timer
		l.After(0, func() { second.Stop() })
		second = l.After(time.Microsecond, func() { got = append(got, -2) })
		time.Sleep(time.Millisecond)
		l.After(40*time.Millisecond, l.Stop)
	})
	if len(got) != 3 || got[0] != 10 || got[1] != 20 || got[2] != 30 {
		t.Fatalf("timers fired as %v", got)
	}
}

// Of two that listen on one address the first hands over while peers connect: each connection is
// taken by one of them, none is reset, and none goes to the first once it has handed over.
func TestHandOver(t *testing.T) {
	const each = 400
	taken := make([]int, 2)
	var addr netip.AddrPort
	handed, late := false, 0
	run(t, func(l *Loop) {
		var first *Listener
		for i := range taken {
			at := any4
			if i == 1 {
				at = addr
			}
			ln, err := l.ListenShared(at, 10*each, BufferLimits{In: 64, Out: 64}, func(c *Conn) Handler {
				taken[i]++
				if i == 0 && handed {
					late++
				}
				return &peer{data: func(b []byte) (int, error) {
					c.Write([]byte("."))
					return len(b), nil
				}}
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				first, addr = ln, ln.Addr()
			}
		}
		failed := make(chan error, each)
		go func() {
			for n := range each {
				failed <- echo(addr)
				if n == each/4 {
					l.Deliver(func() {
						first.HandOver()
						if handed = true; !first.IsListening() {
							t.Error("handshakes that go on are reset")
						}
					})
				}
			}
			close(failed)
		}()
		go func() {
			for err := range failed {
				if err != nil {
					t.Error(err)
				}
			}
			l.Deliver(func() {
				l.After(2*handshakeTime, func() {
					if first.IsListening() {
						t.Error("the first goes on listening")
					}
					l.Stop()
				})
			})
		}()
	})
	// One that was led here before the hand-over may be taken after it.
	if taken[0]+taken[1] != each || taken[0] == 0 || late > 1 {
		t.Errorf("%v of %d are taken, %d late", taken, each, late)
	}
}

// echo is one byte there and back on a connection of its own.
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

// Small writes go out at once on connections that were accepted and on those that were dialled:
// what the system held back would be lost with a reset.
func TestSmallWritesAreNotHeldBack(t *testing.T) {
	noDelay := map[string]int{}
	look := func(l *Loop, name string, c *Conn) {
		value, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil {
			t.Error(err)
		}
		if noDelay[name] = value; len(noDelay) == 2 {
			l.Stop()
		}
	}
	run(t, func(l *Loop) {
		ln, err := l.Listen(any4, 8, BufferLimits{100, 100}, func(c *Conn) Handler {
			l.Post(func() { look(l, "accepted", c) })
			return &peer{}
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		var dialled *Conn
		dialled = l.Dial(ln.Addr(), BufferLimits{100, 100}, &peer{up: func() { look(l, "dialled", dialled) }})
	})
	if noDelay["accepted"] != 1 || noDelay["dialled"] != 1 {
		t.Errorf("TCP_NODELAY: %v", noDelay)
	}
}
