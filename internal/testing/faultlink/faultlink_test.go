package faultlink

import (
	"io"
	"net"
	"testing"
	"time"
)

// echoing is a link to a listener that sends back what it hears, and a connection through it.
func echoing(t *testing.T) (*Link, net.Conn) {
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

// say sends a text and reads as much within a time; it gives what came.
func say(c net.Conn, text string, within time.Duration) string {
	c.Write([]byte(text)) // a failure shows in what comes back
	return hear(c, len(text), within)
}

func hear(c net.Conn, n int, within time.Duration) string {
	c.SetReadDeadline(time.Now().Add(within))
	got := make([]byte, n)
	n, _ = io.ReadFull(c, got) // what is missing shows
	return string(got[:n])
}

const long, short = 20 * time.Second, 50 * time.Millisecond

func TestFaults(t *testing.T) {
	for name, play := range map[string]func(l *Link, c net.Conn) (want, got string){
		"none": func(l *Link, c net.Conn) (string, string) { return "hello", say(c, "hello", long) },
		"held there and let go on": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToServer, Fault{Stall: true})
			before := say(c, "hello", short)
			l.Heal()
			return "hello", before + hear(c, 5, long)
		},
		"held back and let go on": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToClient, Fault{Stall: true})
			before := say(c, "hello", short)
			l.Heal()
			return "hello", before + hear(c, 5, long)
		},
		"held while it is cut": func(l *Link, c net.Conn) (string, string) {
			l.Set(BothDirections, Fault{Stall: true})
			say(c, "hello", short)
			l.Cut()
			return "", hear(c, 5, long)
		},
		"cut in the middle": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToServer, Fault{ResetAfterBytes: 3})
			say(c, "hello", long)
			l.Heal()
			return "again", say(dial(t, l), "again", long)
		},
		"cut back in the middle": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToClient, Fault{ResetAfterBytes: 3})
			got := say(c, "hello", long)
			// a reset may take what came before it
			return "true", map[bool]string{true: "true", false: got}[len(got) <= 3]
		},
		"cut and healed": func(l *Link, c net.Conn) (string, string) {
			l.Cut()
			broken := say(c, "hello", long)
			// a reset in the middle of it is what a cut may do
			if d, err := net.Dial("tcp", l.Addr()); err == nil {
				broken += say(d, "hello", long)
				d.Close()
			}
			l.Heal()
			return "again", broken + say(dial(t, l), "again", long)
		},
		"dripping": func(l *Link, c net.Conn) (string, string) {
			l.Set(ToServer, Fault{BytesPerSecond: 200})
			began := time.Now()
			got := say(c, "0123456789", long)
			if took := time.Since(began); took < 40*time.Millisecond {
				t.Errorf("ten bytes at 200 a second came within %v", took)
			}
			return "0123456789", got
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, c := echoing(t)
			if want, got := play(l, c); got != want {
				t.Errorf("it hears %q, not %q", got, want)
			}
		})
	}
}

// Whatever became of connections, the link gives them back.
func TestGivenBack(t *testing.T) {
	l, _ := echoing(t)
	for range 50 {
		c := dial(t, l)
		say(c, "x", long)
		c.Close()
	}
	l.Cut()
	for deadline := time.Now().Add(long); l.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d are open", l.Open())
		}
	}
}
