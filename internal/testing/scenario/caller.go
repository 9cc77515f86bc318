package scenario

import (
	"bytes"
	"encoding/hex"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// Caller is a uwsgi client that opens a connection for each request. It sends
// `ID PATH [key=K] [body=B] [VAR=VALUE]`, `part ID PATH` (the first half of a packet), `raw ID HEX` or `cancel ID`
// (closes the connection). It observes `ID STATUS BODY`, with retry-after before the body if the answer has that
// header field, `ID cut off` if the body does not have the stated length, or `ID gone` if the connection ends
// without an answer.
type Caller struct {
	*Observations
	addr  string
	mu    sync.Mutex
	conns map[string]net.Conn
}

// NewCaller returns a client of the frontend at addr.
func NewCaller(t testing.TB, addr string) *Caller {
	c := &Caller{Observations: newObservations(), addr: addr, conns: map[string]net.Conn{}}
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
		packet, err := encodeRequest(words[2], nil)
		if err != nil {
			return err
		}
		return c.open(words[1], packet[:len(packet)/2])
	}
	packet, err := encodeRequest(words[1], parseOptions(words[2:]))
	if err != nil {
		return err
	}
	return c.open(words[0], packet)
}

// open sends a packet on a new connection and observes the answer.
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
		all, _ := io.ReadAll(conn) // a truncated answer cannot be parsed
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

// encodeRequest returns the uwsgi packet of a request, with options as parseOptions returns them.
func encodeRequest(path string, o map[string]string) ([]byte, error) {
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
