package daytest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/fleet"
)

const (
	// backendPollInterval bounds the time until connections are refused once the back end is down.
	backendPollInterval = 50 * time.Millisecond
	// backendBacklog is the listen queue of the back end, in connections.
	backendBacklog = 4096
)

// headerEnd ends the header of a message. notAcceptedLine is in the header of the answer to a call that did
// not run.
const (
	headerEnd       = "\r\n\r\n"
	notAcceptedLine = "Turned-Away: 1\r\n"
)

// backend serves the model of the shared dependency on a socket, over HTTP/1.1.
type backend struct {
	loop       *eventloop.Loop
	simulation *fleet.Simulation
	addr       netip.AddrPort
	listener   *eventloop.Listener // nil while it is down
}

func newBackend(loop *eventloop.Loop, simulation *fleet.Simulation) (*backend, error) {
	b := &backend{loop: loop, simulation: simulation, addr: loopback}
	if err := b.listen(); err != nil {
		return nil, err
	}
	b.addr = b.listener.Addr()
	loop.Every(backendPollInterval, b.poll)
	return b, nil
}

func (b *backend) listen() (err error) {
	b.listener, err = b.loop.Listen(b.addr, eventloop.ListenConfig{
		MaxOpen: backendBacklog,
		Limits:  bufferLimits,
		Accept:  func(c *eventloop.Conn) eventloop.Handler { return &backendConn{Conn: c, backend: b} },
	})
	return err
}

// poll closes the listener when the model goes down, and opens it when the model is up again.
func (b *backend) poll() {
	down := b.simulation.Backend().IsDown()
	switch {
	case down && b.listener != nil:
		b.listener.Close()
		b.listener = nil
	case !down && b.listener == nil:
		_ = b.listen() // if the address cannot be bound yet, the next poll tries again
	}
}

// backendConn is a connection of a runner to the back end, with one call at a time.
type backendConn struct {
	*eventloop.Conn
	backend  *backend
	call     *dependencies.Call
	isActive bool // a call is in flight
}

// Connected implements eventloop.Handler.
func (c *backendConn) Connected() {}

// End implements eventloop.Handler. The connection is closed, which cancels the call.
func (c *backendConn) End() bool { return false }

// Closed implements eventloop.Handler.
func (c *backendConn) Closed(error) {
	if c.isActive && c.call != nil {
		c.backend.simulation.Backend().Cancel(c.call)
	}
}

// Data implements eventloop.Handler.
func (c *backendConn) Data(b []byte) (int, error) {
	if c.isActive {
		return 0, nil
	}
	callID, body, n, err := readCall(b)
	if err != nil || n == 0 {
		return 0, err
	}
	attempt := c.backend.simulation.Find(callID)
	if attempt == nil || !attempt.IsRunning() || string(body) != attempt.Name {
		c.reply(http.StatusConflict, notAcceptedLine, nil)
		return n, nil
	}
	c.isActive = true
	c.call = c.backend.simulation.Backend().Call(attempt.CallWork(), func(o dependencies.CallOutcome) {
		c.complete(o, body)
	})
	return n, nil
}

// readCall decodes a complete call: the ID of the request that makes it, its body and its length in
// bytes. The length is 0 while bytes are missing.
func readCall(b []byte) (callID string, body []byte, n int, err error) {
	end := bytes.Index(b, []byte(headerEnd))
	if end < 0 {
		return "", nil, 0, nil
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	if err != nil {
		return "", nil, 0, err
	}
	n = end + len(headerEnd) + int(request.ContentLength)
	if len(b) < n {
		return "", nil, 0, nil
	}
	if body, err = io.ReadAll(request.Body); err != nil {
		return "", nil, 0, err
	}
	if request.Method != http.MethodPost || request.URL.Path != "/rpc/call" {
		return "", nil, 0, errors.New("daytest: a request to the back end that is not a call")
	}
	return request.Header.Get("Parent-Call"), body, n, nil
}

// complete answers the call in flight.
func (c *backendConn) complete(outcome dependencies.CallOutcome, body []byte) {
	c.isActive = false
	switch outcome {
	case dependencies.CallSucceeded:
		c.reply(http.StatusOK, "", slices.Concat([]byte("reply to "), body))
	case dependencies.CallRejected:
		c.reply(http.StatusServiceUnavailable, notAcceptedLine, nil)
	default:
		c.Close(nil)
	}
}

// reply writes an answer. header is empty or consists of complete header lines.
func (c *backendConn) reply(status int, header string, body []byte) {
	c.Write(fmt.Appendf(
		nil,
		"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status,
		http.StatusText(status),
		header,
		len(body),
		body,
	))
}
