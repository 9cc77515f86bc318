package daytest

import (
	"bytes"
	"encoding/json"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/fleet"
)

const (
	// maxNotices is how many notices the engine keeps for a runner that reconnects.
	maxNotices = 4000
	// engineBacklog is the listen queue of an engine, in connections.
	engineBacklog = 16
)

// The types of messages, by the platform's names.
const (
	typeAttach  = "ATTACH"
	typeHello   = "HELLO"
	typeRun     = "RUN"
	typeFeed    = "FEED"
	typeStat    = "STAT"
	typeStats   = "STATS"
	typeTest    = "TEST"
	typeTested  = "TESTED"
	typeNeed    = "NEED"
	typeDone    = "DONE"
	typeRefused = "NO"
)

// The statuses of messages, by the platform's names.
const (
	statusRunning = "running"
	statusSuccess = "fine"
	statusLate    = "late"
	statusAborted = "broken_off"
)

// message is one line of the link, in either direction.
type message struct {
	Type      string    `json:"t"`
	Number    int64     `json:"no,omitempty"`
	RequestID string    `json:"rid,omitempty"`
	Route     string    `json:"route,omitempty"`
	Status    string    `json:"status,omitempty"`
	Mark      string    `json:"mark,omitempty"`
	Values    []float64 `json:"v,omitempty"`
	Body      []byte    `json:"b64,omitempty"`
	TimeMs    int64     `json:"time_ms"`
}

func (m message) encode() []byte {
	line, err := json.Marshal(m)
	if err != nil {
		panic(err) // all fields of a message can be encoded
	}
	return append(line, '\n')
}

// engine is the stand-in for the engine on the machine of one incarnation of a runner.
type engine struct {
	loop        *eventloop.Loop
	incarnation *fleet.Incarnation
	listener    *eventloop.Listener
	link        *engineLink // the attached link; nil: none
	started     time.Duration
	lastNumber  int64    // of the last notice
	notices     [][]byte // the last maxNotices, encoded
	isClosed    bool
}

func newEngine(loop *eventloop.Loop, incarnation *fleet.Incarnation) (e *engine, err error) {
	e = &engine{loop: loop, incarnation: incarnation, started: loop.Now()}
	e.listener, err = loop.Listen(loopback, eventloop.ListenConfig{
		MaxOpen: engineBacklog,
		Limits:  bufferLimits,
		Accept:  func(c *eventloop.Conn) eventloop.Handler { return &engineLink{Conn: c, engine: e} },
	})
	return e, err
}

func (e *engine) isAttached() bool { return e.link != nil }

func (e *engine) close() {
	if e.isClosed {
		return
	}
	e.isClosed = true
	e.listener.Close()
	if e.link != nil {
		e.link.Close(nil)
		e.link = nil
	}
}

// notify sends a notice, and keeps it for a link that may attach later.
func (e *engine) notify(m message) {
	e.lastNumber++
	m.Number = e.lastNumber
	line := m.encode()
	e.notices = append(e.notices, line)
	if len(e.notices) > maxNotices {
		e.notices = e.notices[1:]
	}
	if e.link != nil {
		e.link.Write(line)
	}
}

// engineLink is one connection of the runner to its engine.
type engineLink struct {
	*eventloop.Conn
	engine *engine
}

// Connected implements eventloop.Handler.
func (k *engineLink) Connected() {}

// End implements eventloop.Handler.
func (k *engineLink) End() bool { return false }

// Closed implements eventloop.Handler.
func (k *engineLink) Closed(error) {
	if k.engine.link == k {
		k.engine.link = nil
	}
}

// Data implements eventloop.Handler. A line that is not a message closes the link.
func (k *engineLink) Data(b []byte) (used int, err error) {
	for {
		line, _, ok := bytes.Cut(b[used:], []byte("\n"))
		if !ok {
			return used, nil
		}
		used += len(line) + 1
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			return used, err
		}
		k.handle(m)
	}
}

func (k *engineLink) send(m message) { k.Write(m.encode()) }

// handle executes a command of the runner.
func (k *engineLink) handle(m message) {
	switch m.Type {
	case typeAttach:
		k.attach(m.Number)
	case typeRun:
		k.run(m)
	case typeFeed:
		if !k.engine.incarnation.Resume(m.RequestID) {
			k.send(message{Type: typeRefused, Status: typeFeed, RequestID: m.RequestID})
		}
	case typeStat:
		gauges := k.engine.incarnation.Machine().Gauges()
		values := []float64{gauges.CPU, gauges.Runnable, gauges.Memory, 0}
		k.send(message{Type: typeStats, Mark: m.Mark, Values: values})
	case typeTest:
		k.engine.incarnation.Machine().Read(func() {
			k.send(message{Type: typeTested, Mark: m.Mark, Status: statusSuccess})
		})
	}
}

// attach makes k the attached link, closes the one attached before, and sends the notices whose numbers
// are above after.
func (k *engineLink) attach(after int64) {
	e := k.engine
	if e.link != nil && e.link != k {
		e.link.Close(nil)
	}
	e.link = k
	uptime := e.loop.Now() - e.started
	k.send(message{Type: typeHello, Status: statusRunning, TimeMs: uptime.Milliseconds()})
	first := e.lastNumber - int64(len(e.notices)) + 1
	for i, line := range e.notices {
		if first+int64(i) > after {
			k.Write(line)
		}
	}
}

// run starts a request. A request that differs from the one that the balancer sent is refused.
func (k *engineLink) run(m message) {
	incarnation := k.engine.incarnation
	attempt := incarnation.Attempt(m.RequestID)
	if attempt != nil && (m.Route != attempt.ClassName() || !bytes.Equal(m.Body, attempt.Body())) {
		k.send(message{Type: typeRefused, Status: typeRun, RequestID: m.RequestID})
		return
	}
	if !incarnation.Run(m.RequestID) {
		k.engine.notify(message{Type: typeDone, RequestID: m.RequestID, Status: statusLate})
	}
}
