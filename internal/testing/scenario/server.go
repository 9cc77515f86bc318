package scenario

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/protocol/uwsgi"
)

// Server is a test double of a uwsgi server. It observes `PATH BODY`. It answers the oldest request with
// `STATUS BODY`, `short BODY` (a body shorter than its stated length), `head` (a truncated head) or `break`
// (nothing), and closes the connection. It observes `cancelled` if the caller closes first.
type Server struct {
	*Observations
	Listener net.Listener
	replies  chan []string
}

// NewServer starts a server on a loopback port. It stops listening when the test ends.
func NewServer(t testing.TB) *Server {
	s := &Server{Observations: newObservations(), Listener: listenLoopback(t), replies: make(chan []string, 16)}
	go acceptLoop(s.Listener, s.serve)
	return s
}

// Send implements Actor.
func (s *Server) Send(words []string) error {
	s.replies <- words
	return nil
}

// Close implements Actor. Further connections are refused.
func (s *Server) Close() error { return closeListener(s.Listener) }

// serve serves one connection with one request.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r, err := ReadRequest(c)
	if err != nil {
		if !errors.Is(err, errCallerGone) {
			s.Note("bad packet: %v", err)
		}
		return
	}
	s.Note("%s %s", r.Get("PATH_INFO"), r.Body)
	closed := make(chan struct{})
	go func() {
		c.Read(make([]byte, 1))
		close(closed)
	}()
	select {
	case <-closed:
		s.Note("cancelled")
	case words := <-s.replies:
		text := strings.Join(words[1:], " ")
		switch words[0] {
		case "break":
		case "head":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		case "short":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n%s", text)
		default:
			fmt.Fprintf(
				c,
				"HTTP/1.1 %s X\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
				words[0],
				len(text),
				text,
			)
		}
	case <-time.After(expectTimeout):
	}
}

// errCallerGone is the error of ReadRequest for a caller that closes before its request is complete.
var errCallerGone = errors.New("scenario: the caller closed before its request was complete")

// maxRequestBody bounds the body of a request in bytes.
const maxRequestBody = 1 << 20

// ReadRequest reads a uwsgi request.
func ReadRequest(c net.Conn) (*uwsgi.Request, error) {
	var in []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return nil, errCallerGone
		}
		in = append(in, buf[:n]...)
		if r, used, err := uwsgi.Read(in, uwsgi.MaxVariablesBytes, maxRequestBody); err != nil || used > 0 {
			return r, err
		}
	}
}
