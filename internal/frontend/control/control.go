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
	Ask       string          `json:"ask"`
	ID        string          `json:"id,omitempty"`
	Key       string          `json:"key,omitempty"`
	Class     string          `json:"class,omitempty"`
	Tenant    string          `json:"tenant,omitempty"`
	By        string          `json:"by,omitempty"` // the member in whose favour another one leaves
	Kind      string          `json:"kind,omitempty"`
	Cause     string          `json:"cause,omitempty"`
	NotServed bool            `json:"not_served,omitempty"`
	From      int64           `json:"from_ms,omitempty"` // Unix time
	To        int64           `json:"to_ms,omitempty"`
	Most      int             `json:"most,omitempty"`
	Levels    []string        `json:"levels,omitempty"` // AREA=LEVEL
	Correct   json.RawMessage `json:"correct,omitempty"`
}

type reply struct {
	OK    any    `json:"ok,omitempty"`
	Error string `json:"error,omitempty"`
	Kind  string `json:"kind,omitempty"` // of the error: docs/on-call.md lists them
	Do    string `json:"do,omitempty"`   // what an operator can do about it
}

// failed is the answer to a question that came to nothing.
func failed(err error) reply {
	r := reply{Error: err.Error()}
	if f := fault.Find(err); f != nil {
		r.Kind, r.Do = f.Kind.Name, f.Kind.Remedy
	}
	return r
}

const (
	mostClients = 8
	lineMost    = 4 << 10
	replyMost   = 4 << 20
	idleMost    = 60_000_000 // microseconds without a question
	// gap is the least time between two answers, over all clients. An answer of a thousand requests
	// takes the loop 2 ms: asked without end it halved what the program served.
	gap = 50_000
)

// Server answers.
type Server struct {
	loop   *eventloop.Loop
	ln     *eventloop.Listener
	answer func(q Request, reply func(any, error))
	conns  map[*client]bool
	next   int64 // when the next question may be answered
}

type client struct {
	s     *Server
	conn  *eventloop.Conn
	timer *eventloop.Timer
	owed  bool // an answer
}

// Listen opens the socket. Each question is replied to once, at once or on a later turn of the
// loop. Its file is the owner's and the group's; who may ask is the same user and root.
func Listen(l *eventloop.Loop, path string, answer func(q Request, reply func(any, error))) (*Server, error) {
	s := &Server{loop: l, answer: answer, conns: map[*client]bool{}}
	var err error
	s.ln, err = l.ListenAddr(
		netaddr.Addr{Path: path},
		mostClients,
		eventloop.BufferLimits{In: lineMost, Out: replyMost},
		s.accept,
		func() {},
	)
	return s, err
}

// Close ends it. Those that are connected are closed.
func (s *Server) Close() {
	s.ln.Close()
	for c := range s.conns {
		c.conn.Close(nil)
	}
}

func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &client{s: s, conn: conn}
	s.conns[c] = true
	c.rest()
	if uid, ok := conn.PeerUID(); !ok || uid != 0 && uid != os.Geteuid() {
		c.send(failed(forbidden.New("only the program's own user and root may ask")))
		conn.CloseGracefully()
	}
	return c
}

// rest closes a client that asks nothing for long.
func (c *client) rest() {
	c.timer.Stop()
	c.timer = c.s.loop.After(time.Duration(idleMost)*time.Microsecond, func() { c.conn.Close(nil) })
}

func (c *client) send(r reply) {
	text, err := json.Marshal(r)
	if err != nil {
		text, _ = json.Marshal(failed(err)) // a text alone is always one
	}
	if len(text) >= replyMost {
		text, _ = json.Marshal(failed(question.New("the answer is too long: ask for less")))
	}
	c.conn.Write(append(text, '\n'))
}

// Connected implements loop.Handler.
func (c *client) Connected() {}

// Data implements loop.Handler. A client that asks again before it is answered would hold up the
// loop with many questions at once.
func (c *client) Data(b []byte) (int, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if len(b) >= lineMost-1 {
			return 0, question.New("control: a line is too long")
		}
		return 0, nil
	}
	if c.owed || len(b) > i+1 {
		return 0, question.New("control: a question came before the last was answered")
	}
	c.rest()
	var q Request
	d := json.NewDecoder(bytes.NewReader(b[:i]))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		c.send(failed(question.New("the question cannot be read: %w", err)))
		return i + 1, nil
	}
	c.owed = true
	at := max(c.s.loop.Now().Microseconds(), c.s.next)
	c.s.next = at + gap
	c.s.loop.After(time.Duration(at-c.s.loop.Now().Microseconds())*time.Microsecond, func() {
		if c.conn.IsClosed() {
			return
		}
		c.s.answer(q, func(ok any, err error) {
			switch c.owed = false; {
			case c.conn.IsClosed():
			case err != nil:
				c.send(failed(err))
			default:
				c.send(reply{OK: ok})
			}
		})
	})
	return i + 1, nil
}

// End implements loop.Handler.
func (c *client) End() bool { return false }

// Closed implements loop.Handler.
func (c *client) Closed(error) {
	c.timer.Stop()
	delete(c.s.conns, c)
}
