// Package control is the way to ask a running program something: a unix socket on the loop, on
// which whoever may asks by a line of JSON and is answered by another.
//
//	{"ask":"explain","class":"hand-in","not_served":true}
//	{"ok":{"entries":[...]}}
//	{"error":"unknown class \"handin\""}
//
// A client that sends much, reads nothing or stays is closed; it costs nobody anything.
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

// Request is what is asked.
type Request struct {
	Command    string          `json:"ask"`
	ID         string          `json:"id,omitempty"`
	Key        string          `json:"key,omitempty"`
	Class      string          `json:"class,omitempty"`
	Tenant     string          `json:"tenant,omitempty"`
	Successor  string          `json:"by,omitempty"` // the member in whose favour another one leaves
	Kind       string          `json:"kind,omitempty"`
	Cause      string          `json:"cause,omitempty"`
	NotServed  bool            `json:"not_served,omitempty"`
	FromMs     int64           `json:"from_ms,omitempty"` // Unix time
	ToMs       int64           `json:"to_ms,omitempty"`
	Limit      int             `json:"most,omitempty"`
	Levels     []string        `json:"levels,omitempty"` // AREA=LEVEL
	Correction json.RawMessage `json:"correct,omitempty"`
}

type reply struct {
	OK     any    `json:"ok,omitempty"`
	Error  string `json:"error,omitempty"`
	Kind   string `json:"kind,omitempty"` // of the error: docs/on-call.md lists them
	Remedy string `json:"do,omitempty"`   // what an operator can do about it
}

// errorReply is the answer to a question that came to nothing.
func errorReply(err error) reply {
	r := reply{Error: err.Error()}
	if f := fault.Find(err); f != nil {
		r.Kind, r.Remedy = f.Kind.Name, f.Kind.Remedy
	}
	return r
}

const (
	maxConnections = 8
	maxLineBytes   = 4 << 10
	maxReplyBytes  = 4 << 20
	idleTimeout    = 60_000_000 // microseconds without a question
	// minReplyInterval is the least time between two answers, over all clients. An answer of a thousand requests
	// takes the loop 2 ms: asked without end it halved what the program served.
	minReplyInterval = 50_000
)

// Server answers.
type Server struct {
	loop        *eventloop.Loop
	listener    *eventloop.Listener
	answer      func(q Request, reply func(any, error))
	connections map[*connection]bool
	nextReplyAt int64 // when the next question may be answered
}

type connection struct {
	server      *Server
	conn        *eventloop.Conn
	timer       *eventloop.Timer
	awaitsReply bool // an answer
}

// Listen opens the socket. Each question is replied to once, at once or on a later turn of the
// loop. Its file is the owner's and the group's; who may ask is the same user and root.
func Listen(l *eventloop.Loop, path string, answer func(q Request, reply func(any, error))) (*Server, error) {
	s := &Server{loop: l, answer: answer, connections: map[*connection]bool{}}
	var err error
	s.listener, err = l.ListenAddr(
		netaddr.Addr{Path: path},
		maxConnections,
		eventloop.BufferLimits{In: maxLineBytes, Out: maxReplyBytes},
		s.accept,
		func() {},
	)
	return s, err
}

// Close ends it. Those that are connected are closed.
func (s *Server) Close() {
	s.listener.Close()
	for c := range s.connections {
		c.conn.Close(nil)
	}
}

func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &connection{server: s, conn: conn}
	s.connections[c] = true
	c.resetIdleTimer()
	if uid, ok := conn.PeerUID(); !ok || uid != 0 && uid != os.Geteuid() {
		c.send(errorReply(forbiddenKind.New("only the program's own user and root may ask")))
		conn.CloseGracefully()
	}
	return c
}

// resetIdleTimer closes a client that asks nothing for long.
func (c *connection) resetIdleTimer() {
	c.timer.Stop()
	c.timer = c.server.loop.After(time.Duration(idleTimeout)*time.Microsecond, func() { c.conn.Close(nil) })
}

func (c *connection) send(r reply) {
	text, err := json.Marshal(r)
	if err != nil {
		text, _ = json.Marshal(errorReply(err)) // a text alone is always one
	}
	if len(text) >= maxReplyBytes {
		text, _ = json.Marshal(errorReply(questionKind.New("the answer is too long: ask for less")))
	}
	c.conn.Write(append(text, '\n'))
}

// Connected implements loop.Handler.
func (c *connection) Connected() {}

// Data implements loop.Handler. A client that asks again before it is answered would hold up the
// loop with many questions at once.
func (c *connection) Data(b []byte) (int, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if len(b) >= maxLineBytes-1 {
			return 0, questionKind.New("control: a line is too long")
		}
		return 0, nil
	}
	if c.awaitsReply || len(b) > i+1 {
		return 0, questionKind.New("control: a question came before the last was answered")
	}
	c.resetIdleTimer()
	var q Request
	d := json.NewDecoder(bytes.NewReader(b[:i]))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		c.send(errorReply(questionKind.New("the question cannot be read: %w", err)))
		return i + 1, nil
	}
	c.awaitsReply = true
	at := max(c.server.loop.Now().Microseconds(), c.server.nextReplyAt)
	c.server.nextReplyAt = at + minReplyInterval
	c.server.loop.After(time.Duration(at-c.server.loop.Now().Microseconds())*time.Microsecond, func() {
		if c.conn.IsClosed() {
			return
		}
		c.server.answer(q, func(ok any, err error) {
			switch c.awaitsReply = false; {
			case c.conn.IsClosed():
			case err != nil:
				c.send(errorReply(err))
			default:
				c.send(reply{OK: ok})
			}
		})
	})
	return i + 1, nil
}

// End implements loop.Handler.
func (c *connection) End() bool { return false }

// Closed implements loop.Handler.
func (c *connection) Closed(error) {
	c.timer.Stop()
	delete(c.server.connections, c)
}
