package scenario

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// Caller is a uwsgi client with a connection a request. It sends `ID PATH [key=K] [body=B]
// [VAR=VALUE]`, `part ID PATH` (half a packet), `raw ID HEX` or `cancel ID`, and sees `ID STATUS
// BODY`, with retry-after before the body where that is said, or `ID gone` when its connection ends
// without an answer.
type Caller struct {
	*Observations
	addr  string
	mu    sync.Mutex
	conns map[string]net.Conn
}

// NewCaller makes a client of the front at addr.
func NewCaller(t testing.TB, addr string) *Caller {
	c := &Caller{Observations: newSeen(), addr: addr, conns: map[string]net.Conn{}}
	t.Cleanup(func() { c.Close() })
	return c
}

// Close implements Actor.
func (c *Caller) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.conns {
		n.Close()
	}
	return nil
}

// Send implements Actor.
func (c *Caller) Send(words []string) error {
	switch words[0] {
	case "cancel":
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.conns[words[1]].Close()
	case "raw":
		packet, err := hex.DecodeString(strings.Join(words[2:], ""))
		if err != nil {
			return err
		}
		return c.open(words[1], packet)
	case "part":
		packet, err := request(words[2], nil)
		if err != nil {
			return err
		}
		return c.open(words[1], packet[:len(packet)/2])
	}
	packet, err := request(words[1], options(words[2:]))
	if err != nil {
		return err
	}
	return c.open(words[0], packet)
}

func request(path string, o map[string]string) ([]byte, error) {
	r := &uwsgi.Request{Body: []byte(o["body"]), Variables: []uwsgi.Variable{{Name: "PATH_INFO", Value: path}}}
	vars := map[string]string{
		"REQUEST_METHOD":    "POST",
		"HTTP_X_CUSTOMER":   "north",
		"HTTP_X_DEDUPE_KEY": o["key"],
		"CONTENT_LENGTH":    strconv.Itoa(len(o["body"])),
	}
	for name, value := range o {
		if strings.ToUpper(name) == name {
			vars[name] = value
		}
	}
	for name, value := range vars {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: name, Value: value})
	}
	return uwsgi.Append(nil, r)
}

func (c *Caller) open(id string, packet []byte) error {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.conns[id] = conn
	c.mu.Unlock()
	if _, err := conn.Write(packet); err != nil {
		return err
	}
	go func() {
		all, _ := io.ReadAll(conn) // an answer that is cut off does not parse
		conn.Close()
		h, n, err := httpmessage.Read(all)
		switch {
		case err != nil || n == 0:
			c.Note("%s gone", id)
		case h.Length >= 0 && len(all)-n != h.Length:
			c.Note("%s cut off", id)
		case h.Get("Retry-After") != "":
			c.Note("%s %d retry-after %s", id, h.Status, all[n:])
		default:
			c.Note("%s %d %s", id, h.Status, bytes.TrimSpace(all[n:]))
		}
	}()
	return nil
}

// Server is a stand-in for a uwsgi server. It sees `PATH BODY`, and sends `STATUS BODY`, `short
// BODY` (less than it states), `head` (a head that is cut off) or `break` (nothing) to the oldest
// request, then closes. It notes `cancelled` when a caller closes first.
type Server struct {
	*Observations
	Listener net.Listener
	replies  chan []string
}

// NewServer listens for requests.
func NewServer(t testing.TB) *Server {
	s := &Server{Observations: newSeen(), Listener: listen(t), replies: make(chan []string, 16)}
	go serve(s.Listener, s.serve)
	return s
}

// Send implements Actor.
func (s *Server) Send(words []string) error {
	s.replies <- words
	return nil
}

// Close implements Actor. From then on connections are refused.
func (s *Server) Close() error { return hangUp(s.Listener) }

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r, err := ReadRequest(c)
	if err != nil {
		if !errors.Is(err, errAway) {
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
	case <-time.After(patience):
	}
}

// errAway is that of a caller that went before its request was whole.
var errAway = errors.New("no request")

// ReadRequest reads a uwsgi request of up to 1 MB, as a server does.
func ReadRequest(c net.Conn) (*uwsgi.Request, error) {
	var in []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return nil, errAway
		}
		in = append(in, buf[:n]...)
		if r, used, err := uwsgi.Read(in, uwsgi.MaxVariablesBytes, 1<<20); err != nil || used > 0 {
			return r, err
		}
	}
}
