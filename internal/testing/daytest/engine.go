package daytest

import (
	"bytes"
	"encoding/json"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/fleet"
)

// keepNotices is how many the engine keeps (PROTOCOL).
const keepNotices = 4000

// message is one line of the link, either way.
type message struct {
	T      string    `json:"t"`
	No     int64     `json:"no,omitempty"`
	Rid    string    `json:"rid,omitempty"`
	Route  string    `json:"route,omitempty"`
	Status string    `json:"status,omitempty"`
	Mark   string    `json:"mark,omitempty"`
	V      []float64 `json:"v,omitempty"`
	B64    []byte    `json:"b64,omitempty"`
	TimeMs int64     `json:"time_ms"`
}

// engine is the link of one runner's machine.
type engine struct {
	loop    *eventloop.Loop
	life    *fleet.Incarnation
	ln      *eventloop.Listener
	link    *link // that stands; nil: none
	born    time.Duration
	last    int64 // number of the last notice
	notices [][]byte
	closed  bool
}

func newEngine(l *eventloop.Loop, life *fleet.Incarnation) (e *engine, err error) {
	e = &engine{loop: l, life: life, born: l.Now()}
	e.ln, err = l.Listen(
		loopback,
		16,
		eventloop.BufferLimits{In: bufferIn, Out: bufferOut},
		func(c *eventloop.Conn) eventloop.Handler {
			return &link{Conn: c, engine: e}
		},
		nil,
	)
	return e, err
}

func (e *engine) up() bool { return e.link != nil }

func (e *engine) close() {
	if e.closed {
		return
	}
	e.closed = true
	e.ln.Close()
	if e.link != nil {
		e.link.Close(nil)
		e.link = nil
	}
}

// notice sends what happened, and keeps it for a link that may come.
func (e *engine) notice(m message) {
	e.last++
	m.No = e.last
	line := encode(m)
	if e.notices = append(e.notices, line); len(e.notices) > keepNotices {
		e.notices = e.notices[1:]
	}
	if e.link != nil {
		e.link.Write(line)
	}
}

func encode(m message) []byte {
	line, err := json.Marshal(m)
	if err != nil {
		panic(err) // a message holds nothing that cannot be written
	}
	return append(line, '\n')
}

// link is one connection of the runner.
type link struct {
	*eventloop.Conn
	engine *engine
}

// Connected implements loop.Handler.
func (k *link) Connected() {}

// End implements loop.Handler.
func (k *link) End() bool { return false }

// Closed implements loop.Handler.
func (k *link) Closed(error) {
	if k.engine.link == k {
		k.engine.link = nil
	}
}

// Data implements loop.Handler.
func (k *link) Data(b []byte) (used int, err error) {
	for {
		line, _, ok := bytes.Cut(b[used:], []byte("\n"))
		if !ok {
			return used, nil
		}
		used += len(line) + 1
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			return used, err // what is no command closes the link
		}
		k.command(m)
	}
}

func (k *link) command(m message) {
	e := k.engine
	switch m.T {
	case "ATTACH":
		if e.link != nil && e.link != k {
			e.link.Close(nil)
		}
		e.link = k
		k.Write(
			encode(
				message{T: "HELLO", Status: "running", TimeMs: (e.loop.Now() - e.born).Milliseconds()},
			),
		)
		first := e.last - int64(len(e.notices)) + 1
		for i, line := range e.notices {
			if first+int64(i) > m.No {
				k.Write(line)
			}
		}
	case "RUN":
		if j := e.life.Attempt(m.Rid); j != nil && (m.Route != j.ClassName() || !bytes.Equal(m.B64, j.Body())) {
			k.Write(encode(message{T: "NO", Status: "RUN", Rid: m.Rid}))
		} else if !e.life.Run(m.Rid) {
			e.notice(message{T: "DONE", Rid: m.Rid, Status: "late"})
		}
	case "FEED":
		if !e.life.Resume(m.Rid) {
			k.Write(encode(message{T: "NO", Status: "FEED", Rid: m.Rid}))
		}
	case "STAT":
		g := e.life.Machine().Gauges()
		k.Write(encode(message{T: "STATS", Mark: m.Mark, V: []float64{g.CPU, g.Runnable, g.Memory, 0}}))
	case "TEST":
		e.life.Machine().Read(func() { k.Write(encode(message{T: "TESTED", Mark: m.Mark, Status: "fine"})) })
	}
}
