// Package admin is the admin listener for operators: HTTP/1.1 with one request on a connection. It
// reports the status of the program and makes no decisions.
//
//	GET /ops/readiness   200: this process can serve; 503: it cannot, with the reason
//	GET /ops/stats       statistics as JSON
package admin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/telemetry/logging"
)

// eventBadRequest is the log event of a request that is rejected.
var eventBadRequest = logging.Define("ops.bad_request", slog.LevelWarn, "status", "error")

// Bounds of the listener.
const (
	maxConnections = 16
	maxHeadBytes   = 4 << 10 // of a request
	maxQueuedBytes = 256 << 10
	readTimeout    = 2 * time.Second // for a complete request
	closedAtOnce   = 4               // most connections that are closed at once when others wait
)

// headEnd is the empty line that ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// Errors of requests that are rejected. Their texts are sent to callers.
var (
	errHeadTooLong = errors.New("head over its limit")
	errUnknownPath = errors.New("no such call: there are /ops/readiness and /ops/stats")
	errMethod      = errors.New("the method is GET")
)

// Paths of requests.
const (
	readinessPath  = "/ops/readiness"
	statisticsPath = "/ops/stats"
)

// MaxDescriptors is the maximum number of file descriptors that a server uses, including the listener's.
const MaxDescriptors = maxConnections + 1

// StatusSource is the program whose status is reported.
type StatusSource interface {
	// Ready reports whether this process can serve, and if not, the reason.
	Ready() (reason string, ok bool)
	// Statistics returns the statistics of the program, which are encoded as JSON.
	Statistics() any
}

// Server owns the listener and its connections. All methods are to be called on the event loop.
type Server struct {
	loop        *eventloop.Loop
	source      StatusSource
	listener    *eventloop.Listener
	connections []*connection // oldest first
}

// Listen opens a listener at addr and returns its server.
func Listen(l *eventloop.Loop, addr netip.AddrPort, source StatusSource) (*Server, error) {
	s := &Server{loop: l, source: source}
	var err error
	s.listener, err = l.Listen(addr, eventloop.ListenConfig{
		MaxOpen: maxConnections,
		Limits:  eventloop.BufferLimits{In: maxHeadBytes + len(headEnd), Out: maxQueuedBytes},
		Accept:  s.accept,
		OnFull:  s.makeRoom,
	})
	return s, err
}

// Addr returns the address of the listener.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr() }

// accept returns the handler of a new connection.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &connection{Conn: conn, server: s}
	c.timer = s.loop.After(readTimeout, func() {
		c.reply(http.StatusRequestTimeout, errorReply{"the call did not come whole in time"})
	})
	s.connections = append(s.connections, c)
	return c
}

// makeRoom closes the oldest connections without a complete request when the limit is reached and
// new ones wait.
func (s *Server) makeRoom() {
	closed := 0
	for _, c := range s.connections {
		if !c.replied && closed < closedAtOnce {
			closed++
			c.Close(nil)
		}
	}
}

// connection is one connection with its request. It implements eventloop.Handler.
type connection struct {
	*eventloop.Conn
	server  *Server
	timer   *eventloop.Timer
	replied bool // the response was sent
}

// errorReply is the body of an error response.
type errorReply struct {
	Error string `json:"error"`
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {}

// Data implements eventloop.Handler. There is one request on a connection; further input is
// dropped.
func (c *connection) Data(b []byte) (int, error) {
	if c.replied {
		return len(b), nil
	}
	headLength := bytes.Index(b, headEnd)
	switch {
	case headLength > maxHeadBytes || headLength < 0 && len(b) > maxHeadBytes:
		c.reject(http.StatusRequestHeaderFieldsTooLarge, errHeadTooLong)
	case headLength < 0:
		return 0, nil
	default:
		head := b[:headLength+len(headEnd)]
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			c.reject(http.StatusBadRequest, err)
		} else {
			c.serve(request)
		}
	}
	return len(b), nil
}

// serve responds to a request.
func (c *connection) serve(request *http.Request) {
	path := request.URL.Path
	switch {
	case path != readinessPath && path != statisticsPath:
		c.reject(http.StatusNotFound, errUnknownPath)
	case request.Method != http.MethodGet:
		c.reject(http.StatusMethodNotAllowed, errMethod)
	case path == statisticsPath:
		c.reply(http.StatusOK, c.server.source.Statistics())
	default:
		c.serveReadiness()
	}
}

// serveReadiness reports whether this process can serve.
func (c *connection) serveReadiness() {
	reason, ok := c.server.source.Ready()
	if !ok {
		c.reply(http.StatusServiceUnavailable, errorReply{reason})
		return
	}
	c.reply(http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}

// reject responds with an error.
func (c *connection) reject(status int, err error) {
	eventBadRequest.Log(status, err)
	c.reply(status, errorReply{err.Error()})
}

// reply sends the response with v as JSON, and closes the connection.
func (c *connection) reply(status int, v any) {
	c.replied = true
	c.timer.Stop()
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		body = nil
	}
	response := http.Response{
		StatusCode:    status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Close:         true,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		Header:        http.Header{"Content-Type": {"application/json"}, "Cache-Control": {"no-store"}},
	}
	if status == http.StatusMethodNotAllowed {
		response.Header.Set("Allow", http.MethodGet)
	}
	var out bytes.Buffer
	_ = response.Write(&out) // neither the buffer nor the body returns an error
	c.Write(out.Bytes())
	c.CloseGracefully()
}

// End implements eventloop.Handler. A caller may close its side and still wait for the response.
func (c *connection) End() bool { return c.replied }

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) {
	c.timer.Stop()
	all := c.server.connections
	if i := slices.Index(all, c); i >= 0 {
		// A copy, since makeRoom may be iterating over the list.
		c.server.connections = slices.Concat(all[:i], all[i+1:])
	}
}
