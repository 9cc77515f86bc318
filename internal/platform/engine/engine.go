// Package engine is the link to the platform's engine, which runs requests of the platform's
// frontend. The protocol is one JSON object per line (operators' protocol page, "engine").
//
// The connection may break and be replaced at any time. The engine numbers its notices, and a new
// connection attaches after the last notice that was handled; commands are kept until the engine is
// known to have read them.
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

// Timeouts and intervals of the link.
const (
	redialDelay     = 50 * time.Millisecond
	dialTimeout     = 2 * time.Second
	responseTimeout = 3 * time.Second        // a connection without a response is replaced
	maxGaugesAge    = 200 * time.Millisecond // older gauges count as unknown
	gaugesTimeout   = 10 * time.Millisecond  // longest time that a measurement waits for a response
	checkTimeout    = 5 * time.Second        // of a deep health check
	runLostAfter    = time.Minute            // after its deadline, a run whose end was not reported counts as lost
	sweepInterval   = responseTimeout / 6    // how often these timeouts are checked
)

// Errors with which the link closes connections.
var (
	errNoAnswer     = errors.New("no response from the engine to a probe in time")
	errNoHello      = errors.New("no HELLO from the engine in time")
	errNoConnection = errors.New("connection to the engine not established in time")
	errMoved        = errors.New("the engine's address has changed")
)

// Sink receives what the engine reports.
type Sink interface {
	// AttemptEnded reports the end of a run. The result is set if it succeeded.
	AttemptEnded(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
	// NeedsCall reports that a run waits for the reply to a call with the given body.
	NeedsCall(*lifecycle.Attempt, []byte)
}

// noNotice stands for no notice. It is below the number of every notice.
const noNotice = -1

// linkState is the state of the current connection.
type linkState uint8

const (
	stateDown      linkState = iota // there is no connection
	stateAttaching                  // ATTACH was sent
	// HELLO was received and a probe was sent. The response to it follows all notices that the engine
	// kept for this connection.
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

	current *connection // connection on which the link is attached or attaching; nil: none
	dialing *connection // connection that is being established; nil: none
	state   linkState
	everUp  bool // the engine has sent HELLO since the start

	lastNotice int64 // number of the last notice that was handled
	// gapAfter is the number of the notice after which numbers were missing, and unreadableAfter the
	// number of the notice after which a line could not be decoded; noNotice: none. A gap or an
	// unreadable line that recurs on a new connection is skipped.
	gapAfter        int64
	unreadableAfter int64

	lastSequence int64            // of the last command
	pending      []pendingCommand // in the order of their numbers
	runs         map[string]*run  // by request ID

	probeSentAt time.Duration // when the oldest unanswered probe was sent; 0: none
	gauges      lifecycle.Gauges
	gaugesAt    time.Duration // when gauges were received
	onGauges    func()        // completes the measurement that waits for gauges; nil: none
	gaugesTimer *eventloop.Timer
	lastCheck   int64                 // number of the last deep health check
	checks      map[string]func(bool) // deep health checks without a response, by probe.Mark
}

// New returns a link; Start connects it. decodeGauges converts the engine's list of gauge values.
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

// Start connects to the engine, and reconnects from then on. Events are reported to sink. Without an address the link
// stays down, and runs are never sent.
func (link *Link) Start(sink Sink) {
	link.sink = sink
	if !link.addr.IsValid() {
		return
	}
	link.dial()
	link.loop.Every(sweepInterval, link.checkTimeouts)
}

// checkTimeouts closes connections on which the engine does not respond, and ends lost runs.
func (link *Link) checkTimeouts() {
	now := link.loop.Now()
	probeOverdue := link.probeSentAt != 0 && now-link.probeSentAt > responseTimeout
	switch {
	case link.state >= stateCatchingUp && probeOverdue:
		link.current.conn.Close(errNoAnswer)
	// An engine that is starting may take long to respond; one that was up before should not.
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

// SetAddress sets the engine's address. The current connection is used until a connection to the new
// address is established; notices and commands continue there.
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

// dial opens a connection unless one is being established.
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

// connectionLost ends probes and measurements that wait for a response on a lost connection. Commands
// stay pending for the next connection.
func (link *Link) connectionLost() {
	link.probeSentAt = 0
	link.deliverGauges()
}

// write sends a message on the current connection.
func (link *Link) write(v any) { link.current.conn.Write(encode(v)) }

// encode returns a message as a line of JSON.
func encode(v any) []byte {
	line, err := json.Marshal(v)
	if err != nil {
		panic(err) // v is a type of this package, all of which can be encoded
	}
	return append(line, '\n')
}

// sendProbe asks for the engine's gauges. The response proves that the engine has read all commands
// that were sent before the probe.
func (link *Link) sendProbe() {
	if link.probeSentAt == 0 {
		link.probeSentAt = link.loop.Now()
	}
	link.write(probe{Type: typeStat, Mark: strconv.FormatInt(link.lastSequence, 10)})
}

// handle handles one message of the engine. On an error the connection is closed, and the engine
// resends the notices that were not handled on the next connection.
func (link *Link) handle(m *notice) error {
	if m.Number != 0 {
		if m.Number <= link.lastNotice {
			return nil // the notice was handled before
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

// countNotice records the number of the next notice. If numbers are missing, it returns an error, so
// that the engine resends the missing notices on the next connection. Notices that are still missing
// there are logged as lost.
func (link *Link) countNotice(number int64) error {
	if number != link.lastNotice+1 {
		if link.gapAfter != link.lastNotice {
			link.gapAfter = link.lastNotice
			return fmt.Errorf("notice %d follows notice %d", number, link.lastNotice)
		}
		eventNoticesMissing.Log(link.lastNotice+1, number-1)
	}
	link.lastNotice = number
	link.gapAfter = noNotice
	return nil
}
