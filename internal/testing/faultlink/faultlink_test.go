package faultlink

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEcho returns a link to a server that sends back what it receives, and a connection through the link.
func startEcho(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c) // ends with the connection
				c.Close()
			}()
		}
	}()
	l, err := New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		ln.Close()
	})
	return l, dial(t, l)
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends a text and reads as many bytes within a time. It returns the bytes that were received.
func exchange(c net.Conn, text string, within time.Duration) string {
	c.Write([]byte(text)) // a failure shows in the result
	return receive(c, len(text), within)
}

func receive(c net.Conn, n int, within time.Duration) string {
	c.SetReadDeadline(time.Now().Add(within))
	got := make([]byte, n)
	n, _ = io.ReadFull(c, got) // missing bytes show in the result
	return string(got[:n])
}

const long, short = 20 * time.Second, 50 * time.Millisecond

func TestFaults(t *testing.T) {
	for name, play := range map[string]func(l *Link, c net.Conn) (want, got string){
		"none": func(l *Link, c net.Conn) (string, string) { return "hello", exchange(c, "hello", long) },
		"stalled to the server, then healed": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToServer, Fault{Stall: true})
			before := exchange(c, "hello", short)
			l.Heal()
			return "hello", before + receive(c, 5, long)
		},
		"stalled to the client, then healed": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToClient, Fault{Stall: true})
			before := exchange(c, "hello", short)
			l.Heal()
			return "hello", before + receive(c, 5, long)
		},
		"cut while stalled": func(l *Link, c net.Conn) (string, string) {
			l.Set(BothDirections, Fault{Stall: true})
			exchange(c, "hello", short)
			l.Cut()
			return "", receive(c, 5, long)
		},
		"reset after three bytes to the server": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToServer, Fault{ResetAfterBytes: 3})
			exchange(c, "hello", long)
			l.Heal()
			return "again", exchange(dial(t, l), "again", long)
		},
		"reset after three bytes to the client": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToClient, Fault{ResetAfterBytes: 3})
			got := exchange(c, "hello", long)
			// a reset may discard bytes that were sent before it
			return "true", map[bool]string{true: "true", false: got}[len(got) <= 3]
		},
		"cut and healed": func(l *Link, c net.Conn) (string, string) {
			l.Cut()
			broken := exchange(c, "hello", long)
			// a connection may be reset as soon as it is established
			if d, err := net.Dial("tcp", l.Addr()); err == nil {
				broken += exchange(d, "hello", long)
				d.Close()
			}
			l.Heal()
			return "again", broken + exchange(dial(t, l), "again", long)
		},
		"limited rate": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToServer, Fault{BytesPerSecond: 200})
			began := time.Now()
			got := exchange(c, "0123456789", long)
			if took := time.Since(began); took < 40*time.Millisecond {
				t.Errorf("ten bytes at 200 bytes/s took %v, want at least 40ms", took)
			}
			return "0123456789", got
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, c := startEcho(t)
			if want, got := play(l, c); got != want {
				t.Errorf("received %q, want %q", got, want)
			}
		})
	}
}

// The link must release connections that were closed by a party or reset by a cut.
func TestClosedConnectionsAreReleased(t *testing.T) {
	l, _ := startEcho(t)
	for range 50 {
		c := dial(t, l)
		exchange(c, "x", long)
		c.Close()
	}
	l.Cut()
	for deadline := time.Now().Add(long); l.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("open connections = %d, want 0", l.Open())
		}
	}
}
