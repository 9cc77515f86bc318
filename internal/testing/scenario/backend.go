package scenario

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Backend is a test double of the platform's back end. It observes `call ID BODY`. It answers the oldest call
// with `STATUS BODY`, `twice STATUS BODY` (the same response two times), `away STATUS` (with the header field
// Turned-Away), `break` (closes the connection) or `never` (sends nothing until the caller closes).
type Backend struct {
	*Observations
	Listener net.Listener
	replies  chan []string
}

// NewBackend starts a back end on a loopback port. It stops listening when the test ends.
func NewBackend(t testing.TB) *Backend {
	b := &Backend{Observations: newObservations(), Listener: listenLoopback(t), replies: make(chan []string, 16)}
	go acceptLoop(b.Listener, b.serve)
	return b
}

// Send implements Actor.
func (b *Backend) Send(words []string) error {
	b.replies <- words
	return nil
}

// Waiting returns the number of replies that no call has taken yet.
func (b *Backend) Waiting() int { return len(b.replies) }

// Close implements Actor. Further connections are refused.
func (b *Backend) Close() error { return closeListener(b.Listener) }

// serve answers the calls on one connection.
func (b *Backend) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body) // an incomplete body shows in the observation
		b.Note("call %s %s", strings.TrimLeft(q.Header.Get("Parent-Call"), "0"), body)
		words := <-b.replies
		switch words[0] {
		case "break":
			return
		case "never":
			io.Copy(io.Discard, r)
			return
		case "away":
			fmt.Fprintf(c, "HTTP/1.1 %s Away\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n", words[1])
		default:
			twice := words[0] == "twice"
			if twice {
				words = words[1:]
			}
			text := strings.Join(words[1:], " ")
			reply := fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", words[0], len(text), text)
			if twice {
				reply += reply
			}
			io.WriteString(c, reply)
		}
	}
}
