// Package control is the control socket for commands to a running program: a Unix socket on which a
// request and its reply are one line of JSON each.
//
//	{"ask":"explain","class":"hand-in","not_served":true}
//	{"ok":{"entries":[...]}}
//	{"error":"unknown class \"handin\""}
//
// The connection of a client that sends too much, does not read, or is idle for long is closed.
package control

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/fault"
	"ryepaddle/internal/netaddr"
)

// Request is a command with its arguments.
type Request struct {
	Command    string          `json:"ask"`
	ID         string          `json:"id,omitempty"`
	Key        string          `json:"key,omitempty"`
	Class      string          `json:"class,omitempty"`
	Tenant     string          `json:"tenant,omitempty"`
	Successor  string          `json:"by,omitempty"`   // member that replaces the leaving one
	Kind       string          `json:"kind,omitempty"` // how requests ended, such as refused
	Cause      string          `json:"cause,omitempty"`
	NotServed  bool            `json:"not_served,omitempty"`
	FromMs     int64           `json:"from_ms,omitempty"` // Unix time in milliseconds
	ToMs       int64           `json:"to_ms,omitempty"`
	Limit      int             `json:"most,omitempty"`
	Levels     []string        `json:"levels,omitempty"` // AREA=LEVEL
	Correction json.RawMessage `json:"correct,omitempty"`
}

// reply is the reply to a request: either OK or Error is set.
type reply struct {
	OK     any    `json:"ok,omitempty"`
	Error  string `json:"error,omitempty"`
	Kind   string `json:"kind,omitempty"` // of the error; docs/on-call.md lists the kinds
	Remedy string `json:"do,omitempty"`   // what an operator can do about it
}

// errorReply returns the reply with an error.
func errorReply(err error) reply {
	r := reply{Error: err.Error()}
	if f := fault.Find(err); f != nil {
		r.Kind = f.Kind.Name
		r.Remedy = f.Kind.Remedy
	}
	return r
}

// Bounds of the socket.
const (
	maxConnections = 8
	maxLineBytes   = 4 << 10
	maxReplyBytes  = 4 << 20     // including the line end
	idleTimeout    = time.Minute // after the last request
	// minReplyInterval is the minimum time between two replies, over all clients. A long reply takes
	// milliseconds on the event loop, which also serves the requests of callers.
	minReplyInterval = 50 * time.Millisecond
)

// Server owns the socket and its connections. All methods are to be called on the event loop.
type Server struct {
	loop        *eventloop.Loop
	listener    *eventloop.Listener
	answer      AnswerFunc
	connections map[*connection]struct{}
	nextReplyAt time.Duration // monotonic time from which the next request may be answered
}

// connection is the connection of one client. It implements eventloop.Handler.
type connection struct {
	server      *Server
	conn        *eventloop.Conn
	timer       *eventloop.Timer
	awaitsReply bool // a request has no reply yet
}

// AnswerFunc answers a request. It calls reply exactly once, before it returns or later on the
// event loop, with a value that is encoded as JSON or with an error.
type AnswerFunc func(request Request, reply func(value any, err error))

// Listen opens the socket at path. answer is called for each request. Only the user that the program
// runs as and root may send requests.
func Listen(l *eventloop.Loop, path string, answer AnswerFunc) (*Server, error) {
	s := &Server{loop: l, answer: answer, connections: map[*connection]struct{}{}}
	var err error
	s.listener, err = l.ListenAddr(netaddr.Addr{Path: path}, eventloop.ListenConfig{
		MaxOpen: maxConnections,
		Limits:  eventloop.BufferLimits{In: maxLineBytes, Out: maxReplyBytes},
		Accept:  s.accept,
		OnFull:  func() {},
	})
	return s, err
}

// Close closes the socket and all connections.
func (s *Server) Close() {
	s.listener.Close()
	for c := range s.connections {
		c.conn.Close(nil)
	}
}

// accept returns the handler of a new connection. Connections of other users are rejected.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &connection{server: s, conn: conn}
	s.connections[c] = struct{}{}
	c.resetIdleTimer()
	if uid, ok := conn.PeerUID(); !ok || uid != 0 && uid != os.Geteuid() {
		c.send(errorReply(forbiddenKind.New("only root and the program's own user may send requests")))
		conn.CloseGracefully()
	}
	return c
}

// resetIdleTimer restarts the idle timeout of a connection.
func (c *connection) resetIdleTimer() {
	c.timer.Stop()
	c.timer = c.server.loop.After(idleTimeout, func() { c.conn.Close(nil) })
}

// send sends a reply.
func (c *connection) send(r reply) {
	text, err := json.Marshal(r)
	if err != nil {
		text, _ = json.Marshal(errorReply(err)) // a reply of strings can always be encoded
	}
	if len(text) >= maxReplyBytes {
		text, _ = json.Marshal(errorReply(invalidRequestKind.New("the reply is too long: ask for less")))
	}
	c.conn.Write(append(text, '\n'))
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {}

// Data implements eventloop.Handler. A request that arrives before the reply to the previous one is an
// error, so that a client cannot keep the event loop busy.
func (c *connection) Data(b []byte) (int, error) {
	lineLength := bytes.IndexByte(b, '\n')
	if lineLength < 0 {
		if len(b) >= maxLineBytes-1 {
			return 0, invalidRequestKind.New("control: request line too long")
		}
		return 0, nil
	}
	if c.awaitsReply || len(b) > lineLength+1 {
		return 0, invalidRequestKind.New("control: request received before the reply to the previous one")
	}
	c.resetIdleTimer()
	c.readRequest(b[:lineLength])
	return lineLength + 1, nil
}

// readRequest decodes a request and schedules its answer, minReplyInterval or more after the previous
// one.
func (c *connection) readRequest(line []byte) {
	var request Request
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		c.send(errorReply(invalidRequestKind.New("the request cannot be decoded: %w", err)))
		return
	}
	c.awaitsReply = true
	now := c.server.loop.Now()
	replyAt := max(now, c.server.nextReplyAt)
	c.server.nextReplyAt = replyAt + minReplyInterval
	c.server.loop.After(replyAt-now, func() { c.answer(request) })
}

// answer passes a request to the AnswerFunc, and sends its reply.
func (c *connection) answer(request Request) {
	if c.conn.IsClosed() {
		return
	}
	c.server.answer(request, func(value any, err error) {
		c.awaitsReply = false
		switch {
		case c.conn.IsClosed():
		case err != nil:
			c.send(errorReply(err))
		default:
			c.send(reply{OK: value})
		}
	})
}

// End implements eventloop.Handler.
func (c *connection) End() bool { return false }

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) {
	c.timer.Stop()
	delete(c.server.connections, c)
}
