// Package engine is the link to the platform's engine, which does the work. The link may break and
// be replaced at any time: notices are counted, and commands are kept until the engine is known to
// have read them.
package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	evLinkUp         = logging.Define("engine.link_up", slog.LevelInfo, "status", "last_notice", "pending")
	evLinkLost       = logging.Define("engine.link_lost", slog.LevelWarn, "error")
	evRunLost        = logging.Define("engine.run_lost", slog.LevelWarn, "request")
	evNoticeUnread   = logging.Define("engine.notice_unread", slog.LevelWarn, "after", "error")
	evNoticesMissing = logging.Define("engine.notices_missing", slog.LevelWarn, "first", "last")
	evCommandRefused = logging.Define("engine.command_refused", slog.LevelWarn, "command", "request")
)

const (
	maxLine      = 64 << 10
	maxOut       = 4 << 20
	redialAfter  = 50_000
	dialWithin   = 2_000_000
	deadAfter    = 3_000_000 // a live link that leaves a question open for so long is replaced
	gaugesAge    = 200_000   // gauges older than this tell nothing of now
	gaugesWithin = 10_000    // the module's look round does not wait longer for its gauges
	checkWithin  = 5_000_000
	// a run of which nothing is heard so long after its due time is taken for lost
	lostAfter = 60_000_000
)

// Sink gets what the engine reports.
type Sink interface {
	AttemptEnded(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
	NeedsCall(*lifecycle.Attempt, []byte)
}

type message struct {
	T      string    `json:"t"`
	No     int64     `json:"no"`
	Rid    string    `json:"rid"`
	Status string    `json:"status"`
	Mark   string    `json:"mark"`
	V      []float64 `json:"v"`
	B64    []byte    `json:"b64"`
}

type attach struct {
	T  string `json:"t"`
	No int64  `json:"no"`
}

type command struct {
	T     string `json:"t"`
	Rid   string `json:"rid"`
	Route string `json:"route,omitempty"`
	B64   []byte `json:"b64"`
}

type question struct {
	T    string `json:"t"`
	Mark string `json:"mark"`
}

// sent is a command that the engine may not have read.
type sent struct {
	seq   int64
	rid   string
	needs int // of the run when the command was given
	line  []byte
}

// run is an attempt that the engine was told of.
type run struct {
	attempt *lifecycle.Attempt
	needs   int
}

type phase uint8

const (
	down  phase = iota
	hello       // ATTACH is out
	// HELLO came; a question is out, and its answer follows all notices that were kept
	catchUp
	live
)

// Link owns the connection to the engine.
type Link struct {
	loop   *eventloop.Loop
	addr   netip.AddrPort
	sink   Sink
	meters func([]float64) lifecycle.Gauges

	conn  *wire // that the engine was attached on; nil: none
	next  *wire // that is being dialled
	phase phase
	was   bool // the engine has been up
	// notice from which on the numbers had a gap; one that is still there on a new link is for good
	gap     int64
	poison  int64 // notice after which something came that cannot be read
	seen    int64 // number of the last notice
	seq     int64
	pending []sent
	runs    map[string]*run
	asked   int64 // time of the oldest question that is open; 0: none
	marks   int64
	gauges  lifecycle.Gauges
	gauged  int64  // when they came
	waiting func() // the module's look round that waits for gauges
	late    *eventloop.Timer
	checks  map[string]func(bool)
}

// New makes a link; Start opens it. Meters puts the engine's gauges in their places.
func New(l *eventloop.Loop, addr netip.AddrPort, meters func([]float64) lifecycle.Gauges) *Link {
	return &Link{
		loop:   l,
		addr:   addr,
		meters: meters,
		gap:    -1,
		poison: -1,
		runs:   map[string]*run{},
		gauges: lifecycle.UnknownGauges(),
		checks: map[string]func(bool){},
	}
}

// wire is one connection to the engine. Two exist while a new one is dialled beside one that still
// stands.
type wire struct {
	link  *Link
	conn  *eventloop.Conn
	began int64
}

// Start connects, and keeps the link up from then on.
func (k *Link) Start(sink Sink) {
	k.sink = sink
	k.dial()
	k.loop.Every(time.Duration(deadAfter/6)*time.Microsecond, func() {
		now := k.loop.Now().Microseconds()
		switch {
		case k.phase >= catchUp && k.asked != 0 && now-k.asked > deadAfter:
			k.conn.conn.Close(errors.New("no answer on the link"))
		// The engine may be long in coming up, but once it was there a link on which it keeps
		// silent is a dead one.
		case k.phase == hello && k.was && now-k.conn.began > deadAfter:
			k.conn.conn.Close(errors.New("no HELLO on the link"))
		}
		if k.next != nil && now-k.next.began > dialWithin {
			k.next.conn.Close(errors.New("no connection in time"))
		}
		k.bury(lostAfter)
	})
}

// IsConnected tells whether a link stands on which the engine takes commands.
func (k *Link) IsConnected() bool { return k.phase == live }

// SetAddress takes the engine's new address. The old link serves until one to the new address stands.
// Notices and commands go on where they were.
func (k *Link) SetAddress(addr netip.AddrPort) {
	if addr == k.addr {
		return
	}
	k.addr = addr
	if old := k.next; old != nil {
		k.next = nil
		old.conn.Close(errors.New("the engine has moved"))
	}
	k.dial()
}

// bury ends runs whose end was never told, as when notices are missing. They would hold their place
// for good.
func (k *Link) bury(after int64) {
	for id, r := range k.runs {
		if k.loop.Now().Microseconds() > r.attempt.Deadline.Microseconds()+after {
			evRunLost.Log(id)
			delete(k.runs, id)
			k.sink.AttemptEnded(r.attempt, lifecycle.Faulted, nil)
		}
	}
}

func (k *Link) dial() {
	if k.next == nil {
		k.next = &wire{link: k, began: k.loop.Now().Microseconds()}
		k.next.conn = k.loop.Dial(k.addr, eventloop.BufferLimits{In: maxLine, Out: maxOut}, k.next)
	}
}

// Connected implements loop.Handler.
func (w *wire) Connected() {
	k := w.link
	if k.next != w {
		w.conn.Close(nil)
		return
	}
	old := k.conn
	k.conn, k.next, w.began = w, nil, k.loop.Now().Microseconds()
	if old != nil { // what it holds unread comes again on the new link
		old.conn.Close(nil)
		k.lost()
	}
	k.phase = hello
	k.write(attach{"ATTACH", k.seen})
}

// End implements loop.Handler.
func (w *wire) End() bool { return false }

// Closed implements loop.Handler.
func (w *wire) Closed(err error) {
	k := w.link
	switch w {
	case k.conn:
		evLinkLost.Log(err)
		k.conn, k.phase = nil, down
		k.lost()
		// One that stood is dialled again at once: work goes on there that waits for its calls. One
		// that never came to stand is left alone for a while.
		if k.loop.Now().Microseconds()-w.began > redialAfter {
			k.loop.Post(k.redial)
		} else {
			k.loop.After(time.Duration(redialAfter)*time.Microsecond, k.redial)
		}
	case k.next:
		k.next = nil
		k.loop.After(time.Duration(redialAfter)*time.Microsecond, k.redial)
	}
}

// redial dials unless a link stands that leads to where the engine is.
func (k *Link) redial() {
	if k.conn == nil || k.moving() {
		k.dial()
	}
}

// moving tells whether the link that stands leads to an address that the engine has left.
func (k *Link) moving() bool { return k.conn.conn.RemoteAddr() != k.addr }

// lost ends what waits for an answer on a link that is gone. Commands wait for the next one.
func (k *Link) lost() {
	k.asked = 0
	k.look()
}

// Data implements loop.Handler.
func (w *wire) Data(b []byte) (used int, err error) {
	k := w.link
	for {
		i := bytes.IndexByte(b[used:], '\n')
		if i < 0 || w.conn.IsClosed() || k.conn != w {
			return used, nil
		}
		line := b[used : used+i]
		used += i + 1
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			if k.poison == k.seen { // it came so on a new link too
				evNoticeUnread.Log(k.seen, err)
				continue
			}
			k.poison = k.seen
			return used, fmt.Errorf("notice: %w", err)
		}
		if err := k.message(&m); err != nil {
			return used, err
		}
	}
}

func (k *Link) write(v any) {
	line, err := json.Marshal(v)
	if err != nil {
		panic(err) // of types of this package, which all can be written
	}
	k.conn.conn.Write(append(line, '\n'))
}

func (k *Link) ask() {
	if k.asked == 0 {
		k.asked = k.loop.Now().Microseconds()
	}
	k.write(question{"STAT", strconv.FormatInt(k.seq, 10)})
}

func (k *Link) message(m *message) error {
	if m.No != 0 { // a notice, which counts once however often it comes
		if m.No <= k.seen {
			return nil
		}
		if m.No != k.seen+1 && k.gap != k.seen {
			// The engine keeps notices for a link that attaches anew. What it does not give then is
			// gone.
			k.gap = k.seen
			return fmt.Errorf("notice %d follows %d", m.No, k.seen)
		}
		if m.No != k.seen+1 {
			evNoticesMissing.Log(k.seen+1, m.No-1)
		}
		k.seen, k.gap = m.No, -1
	}
	switch m.T {
	case "HELLO":
		evLinkUp.Log(m.Status, k.seen, len(k.pending))
		k.phase, k.was = catchUp, true
		k.ask()
	case "DONE":
		k.done(m)
	case "NEED":
		if r := k.runs[m.Rid]; r != nil {
			r.needs++
			k.sink.NeedsCall(r.attempt, nonNil(m.B64))
		}
	case "STATS":
		k.stats(m)
	case "TESTED":
		if fn := k.checks[m.Mark]; fn != nil {
			delete(k.checks, m.Mark)
			fn(m.Status == "fine")
		}
	case "NO":
		evCommandRefused.Log(m.Status, m.Rid)
		if r := k.runs[m.Rid]; r != nil && m.Status == "RUN" {
			delete(k.runs, m.Rid)
			k.sink.AttemptEnded(r.attempt, lifecycle.UnknownRequest, nil)
		}
	}
	return nil
}

var ends = map[string]lifecycle.Outcome{
	"fine":       lifecycle.Succeeded,
	"fault":      lifecycle.Faulted,
	"broken_off": lifecycle.Canceled,
	"late":       lifecycle.NotStarted,
}

func (k *Link) done(m *message) {
	r := k.runs[m.Rid]
	if r == nil {
		return
	}
	delete(k.runs, m.Rid)
	o, ok := ends[m.Status]
	if !ok {
		o = lifecycle.Faulted
	}
	var res *lifecycle.Result
	if o == lifecycle.Succeeded {
		res = &lifecycle.Result{Status: 200, Body: m.B64}
	}
	k.sink.AttemptEnded(r.attempt, o, res)
}

// stats takes the gauges, and with them the proof that the engine has read the commands before the
// question.
func (k *Link) stats(m *message) {
	k.asked = 0
	k.gauges, k.gauged = k.meters(m.V), k.loop.Now().Microseconds()
	if seq, err := strconv.ParseInt(m.Mark, 10, 64); err == nil {
		for len(k.pending) > 0 && k.pending[0].seq <= seq && k.phase == live {
			k.pending = k.pending[1:]
		}
	}
	if k.phase == catchUp {
		k.phase = live
		k.repeat()
		for mark := range k.checks { // the last link may have swallowed these as well
			k.write(question{"TEST", mark})
		}
	}
	k.look()
}

// repeat sends again what the last link may have swallowed. All notices up to now have been read,
// so a run that has reported anything since a command was given has read that command.
func (k *Link) repeat() {
	kept := k.pending[:0]
	for _, s := range k.pending {
		if r := k.runs[s.rid]; r != nil && r.needs == s.needs {
			kept = append(kept, s)
			k.conn.conn.Write(s.line)
		}
	}
	k.pending = kept
}

func (k *Link) command(c command, needs int) {
	line, err := json.Marshal(c)
	if err != nil {
		panic(err) // see write
	}
	line = append(line, '\n')
	k.seq++
	k.pending = append(k.pending, sent{k.seq, c.Rid, needs, line})
	if k.phase == live {
		k.conn.conn.Write(line)
	}
}

// Run implements lifecycle.Runner.
func (k *Link) Run(a *lifecycle.Attempt) {
	if k.runs[a.Request.ID] != nil { // the engine would take it for the one that runs
		k.loop.Post(func() { k.sink.AttemptEnded(a, lifecycle.Faulted, nil) })
		return
	}
	k.runs[a.Request.ID] = &run{attempt: a}
	k.command(command{"RUN", a.Request.ID, a.Class, nonNil(a.Request.Body)}, 0)
}

// Abandon implements lifecycle.Runner. Running work can't be stopped; the engine itself ends it at its
// next call.
func (k *Link) Abandon(*lifecycle.Attempt) {}

// Resume implements lifecycle.Resumer.
func (k *Link) Resume(a *lifecycle.Attempt, reply []byte) {
	if r := k.runs[a.Request.ID]; r != nil {
		k.command(command{T: "FEED", Rid: a.Request.ID, B64: nonNil(reply)}, r.needs)
	}
}

// Gauges measures the machine for the module. Without a link, or late, it gives what there is.
func (k *Link) Gauges(fn func(lifecycle.Gauges)) {
	if k.phase != live {
		fn(lifecycle.UnknownGauges())
		return
	}
	k.waiting = func() {
		if k.loop.Now().Microseconds()-k.gauged > gaugesAge {
			fn(lifecycle.UnknownGauges())
			return
		}
		fn(k.gauges)
	}
	k.ask()
	k.late = k.loop.After(time.Duration(gaugesWithin)*time.Microsecond, k.look)
}

// look lets the module have its look round, if it waits for one.
func (k *Link) look() {
	if fn := k.waiting; fn != nil {
		k.waiting = nil
		k.late.Stop()
		fn()
	}
}

// Check does the work of a deep health check.
func (k *Link) Check(fn func(bool)) {
	if k.phase != live {
		fn(false)
		return
	}
	k.marks++
	mark := "check" + strconv.FormatInt(k.marks, 10)
	k.checks[mark] = fn
	k.write(question{"TEST", mark})
	k.loop.After(time.Duration(checkWithin)*time.Microsecond, func() {
		if fn := k.checks[mark]; fn != nil {
			delete(k.checks, mark)
			fn(false)
		}
	})
}

// nonNil keeps an empty body from being written as null.
func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}
