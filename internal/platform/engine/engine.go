// Package engine is the link to the platform's engine, which runs requests of the platform's
// frontend. The protocol is one JSON object a line (operators' protocol page, "engine"). The link
// may break and be replaced at any time: notices of the engine are numbered, and a new connection
// attaches after the last one that was handled; commands are kept until the engine is known to have
// read them.
package engine

import (
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

// Log events.
var (
	eventLinkUp          = logging.Define("engine.link_up", slog.LevelInfo, "status", "last_notice", "pending")
	eventLinkLost        = logging.Define("engine.link_lost", slog.LevelWarn, "error")
	eventRunLost         = logging.Define("engine.run_lost", slog.LevelWarn, "request")
	eventNoticeInvalid   = logging.Define("engine.notice_invalid", slog.LevelWarn, "after", "error")
	eventNoticesMissing  = logging.Define("engine.notices_missing", slog.LevelWarn, "first", "last")
	eventCommandRejected = logging.Define("engine.command_rejected", slog.LevelWarn, "command", "request")
)

// Limits of the connection.
const (
	maxLineBytes   = 64 << 10
	maxQueuedBytes = 4 << 20
)

// Times of the link.
const (
	redialDelay     = 50 * time.Millisecond
	dialTimeout     = 2 * time.Second
	responseTimeout = 3 * time.Second        // without an answer a connection is replaced
	maxGaugesAge    = 200 * time.Millisecond // older gauges are unknown
	gaugesTimeout   = 10 * time.Millisecond  // a measurement waits no longer for an answer
	checkTimeout    = 5 * time.Second        // of a deep health check
	runLostAfter    = time.Minute            // after its deadline a silent run is lost
	sweepInterval   = responseTimeout / 6    // how often these timeouts are checked
)

// Errors with which the link closes connections.
var (
	errNoAnswer     = errors.New("no answer on the link")
	errNoHello      = errors.New("no HELLO on the link")
	errNoConnection = errors.New("no connection in time")
	errMoved        = errors.New("the engine has moved")
)

// Sink receives what the engine reports.
type Sink interface {
	// AttemptEnded reports the end of a run. The result is set if it succeeded.
	AttemptEnded(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
	// NeedsCall reports that a run waits for a call with that body.
	NeedsCall(*lifecycle.Attempt, []byte)
}

// noNotice is below the number of every notice.
const noNotice = -1

// linkState is the state of the current connection.
type linkState uint8

const (
	stateDown      linkState = iota // there is none
	stateAttaching                  // ATTACH was sent
	// HELLO was received; the answer to a probe follows all notices that were kept for it
	stateCatchingUp
	stateLive // commands are sent
)

// Link owns the connections to the engine. It implements lifecycle.Resumer. All methods are to be
// called on the event loop.
type Link struct {
	loop         *eventloop.Loop
	addr         netip.AddrPort
	sink         Sink
	decodeGauges func([]float64) lifecycle.Gauges

	current *connection // the engine is attached on it; nil: none
	dialing *connection // nil: none
	state   linkState
	everUp  bool // an engine has answered since the start

	lastNotice int64 // number of the last notice that was handled
	// gapAfter is the notice after which numbers were missing, and unreadableAfter the one after
	// which a line could not be decoded; noNotice: none. What recurs on a new connection is
	// skipped.
	gapAfter        int64
	unreadableAfter int64

	lastSequence int64 // of the last command
	pending      []pendingCommand
	runs         map[string]*run // by request ID

	probeSentAt time.Duration // when the oldest unanswered probe was sent; 0: none
	gauges      lifecycle.Gauges
	gaugesAt    time.Duration // when they were received
	onGauges    func()        // completes the measurement that waits for gauges; nil: none
	gaugesTimer *eventloop.Timer
	lastCheck   int64                 // number of the last deep health check
	checks      map[string]func(bool) // deep health checks without an answer, by mark
}

// New returns a link; Start connects it. decodeGauges maps the engine's list of gauges.
func New(l *eventloop.Loop, addr netip.AddrPort, decodeGauges func([]float64) lifecycle.Gauges) *Link {
	return &Link{
		loop:            l,
		addr:            addr,
		decodeGauges:    decodeGauges,
		gapAfter:        noNotice,
		unreadableAfter: noNotice,
		runs:            map[string]*run{},
		gauges:          lifecycle.UnknownGauges(),
		checks:          map[string]func(bool){},
	}
}

// Start connects, and reconnects from then on.
func (link *Link) Start(sink Sink) {
	link.sink = sink
	link.dial()
	link.loop.Every(sweepInterval, link.checkTimeouts)
}

// checkTimeouts closes connections on which the engine is silent, and ends lost runs.
func (link *Link) checkTimeouts() {
	now := link.loop.Now()
	probeOverdue := link.probeSentAt != 0 && now-link.probeSentAt > responseTimeout
	switch {
	case link.state >= stateCatchingUp && probeOverdue:
		link.current.conn.Close(errNoAnswer)
	// An engine that starts may take long to answer; one that was up before has no reason to.
	case link.state == stateAttaching && link.everUp && now-link.current.startedAt > responseTimeout:
		link.current.conn.Close(errNoHello)
	}
	if link.dialing != nil && now-link.dialing.startedAt > dialTimeout {
		link.dialing.conn.Close(errNoConnection)
	}
	link.endLostRuns(runLostAfter)
}

// IsConnected reports whether the engine takes commands.
func (link *Link) IsConnected() bool { return link.state == stateLive }

// SetAddress sets the engine's address. The current connection serves until one to the new address
// is established; notices and commands continue there.
func (link *Link) SetAddress(addr netip.AddrPort) {
	if addr == link.addr {
		return
	}
	link.addr = addr
	if old := link.dialing; old != nil {
		link.dialing = nil
		old.conn.Close(errMoved)
	}
	link.dial()
}

// dial opens a connection unless one is being opened.
func (link *Link) dial() {
	if link.dialing != nil {
		return
	}
	limits := eventloop.BufferLimits{In: maxLineBytes, Out: maxQueuedBytes}
	link.dialing = &connection{link: link, startedAt: link.loop.Now()}
	link.dialing.conn = link.loop.Dial(link.addr, limits, link.dialing)
}

// redial dials unless the current connection is to the engine's address.
func (link *Link) redial() {
	if link.current == nil || link.current.conn.RemoteAddr() != link.addr {
		link.dial()
	}
}

// connectionLost ends what waits for an answer on a lost connection. Commands wait for the next
// one.
func (link *Link) connectionLost() {
	link.probeSentAt = 0
	link.deliverGauges()
}

// write sends an object on the current connection.
func (link *Link) write(v any) { link.current.conn.Write(encode(v)) }

// encode returns a line of the protocol.
func encode(v any) []byte {
	line, err := json.Marshal(v)
	if err != nil {
		panic(err) // v is a type of this package, all of which can be encoded
	}
	return append(line, '\n')
}

// sendProbe asks for the engine's gauges. Its answer proves that the engine has read the commands
// before it.
func (link *Link) sendProbe() {
	if link.probeSentAt == 0 {
		link.probeSentAt = link.loop.Now()
	}
	link.write(probe{Type: typeStat, Mark: strconv.FormatInt(link.lastSequence, 10)})
}

// handle handles one line of the engine. On an error the connection is closed, and the engine sends
// again on the next one what was not handled.
func (link *Link) handle(m *notice) error {
	if m.Number != 0 {
		if m.Number <= link.lastNotice {
			return nil // it was handled before
		}
		if err := link.countNotice(m.Number); err != nil {
			return err
		}
	}
	switch m.Type {
	case typeHello:
		eventLinkUp.Log(m.Status, link.lastNotice, len(link.pending))
		link.state = stateCatchingUp
		link.everUp = true
		link.sendProbe()
	case typeDone:
		link.runEnded(m)
	case typeNeed:
		if r := link.runs[m.RequestID]; r != nil {
			r.callsNeeded++
			link.sink.NeedsCall(r.attempt, notNil(m.Body))
		}
	case typeStats:
		link.takeGauges(m)
	case typeTested:
		if done := link.checks[m.Mark]; done != nil {
			delete(link.checks, m.Mark)
			done(m.Status == statusFine)
		}
	case typeNo:
		link.commandRejected(m)
	}
	return nil
}

// countNotice records the number of the next notice. The first time that numbers are missing is an
// error, so that the engine sends them again on the next connection. What it does not send there is
// lost.
func (link *Link) countNotice(number int64) error {
	if number != link.lastNotice+1 {
		if link.gapAfter != link.lastNotice {
			link.gapAfter = link.lastNotice
			return fmt.Errorf("notice %d follows %d", number, link.lastNotice)
		}
		eventNoticesMissing.Log(link.lastNotice+1, number-1)
	}
	link.lastNotice = number
	link.gapAfter = noNotice
	return nil
}
