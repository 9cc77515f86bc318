// Package engine is the link to the platform's engine, which runs requests of the platform's frontend.
// The protocol is one JSON object a line (operators' protocol page, "engine"). The link may break and
// be replaced at any time: notices of the engine are numbered, and a new connection attaches after the
// last one that was handled; commands are kept until the engine is known to have read them.
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
	eventNoticeUnread    = logging.Define("engine.notice_invalid", slog.LevelWarn, "after", "error")
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
	sweepInterval   = responseTimeout / 6    // of all of these timeouts
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

// linkState is the state of the current connection.
type linkState uint8

const (
	stateDown       linkState = iota // there is none
	stateAttaching                   // ATTACH was sent
	stateCatchingUp                  // HELLO was received; the answer to a probe follows all kept notices
	stateLive                        // commands are sent
)

// Link owns the connections to the engine. It implements lifecycle.Resumer. All methods are to be called
// on the event loop.
type Link struct {
	loop         *eventloop.Loop
	addr         netip.AddrPort
	sink         Sink
	decodeGauges func([]float64) lifecycle.Gauges

	current *connection // the engine is attached on it; nil: none
	dialing *connection // nil: none
	state   linkState
	everUp  bool

	lastNotice int64 // number of the last notice that was handled
	// gapAfter is the notice after which numbers were missing, and unreadableAfter the one after which
	// a line could not be decoded; -1: none. What recurs on a new connection is skipped.
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
		gapAfter:        -1,
		unreadableAfter: -1,
		runs:            map[string]*run{},
		gauges:          lifecycle.UnknownGauges(),
		checks:          map[string]func(bool){},
	}
}

// Start connects, and reconnects from then on.
func (k *Link) Start(sink Sink) {
	k.sink = sink
	k.dial()
	k.loop.Every(sweepInterval, k.checkTimeouts)
}

// checkTimeouts closes connections on which the engine is silent, and ends lost runs.
func (k *Link) checkTimeouts() {
	now := k.loop.Now()
	probeOverdue := k.probeSentAt != 0 && now-k.probeSentAt > responseTimeout
	switch {
	case k.state >= stateCatchingUp && probeOverdue:
		k.current.conn.Close(errNoAnswer)
	// An engine that starts may take long to answer; one that was up before has no reason to.
	case k.state == stateAttaching && k.everUp && now-k.current.startedAt > responseTimeout:
		k.current.conn.Close(errNoHello)
	}
	if k.dialing != nil && now-k.dialing.startedAt > dialTimeout {
		k.dialing.conn.Close(errNoConnection)
	}
	k.endLostRuns(runLostAfter)
}

// IsConnected reports whether the engine takes commands.
func (k *Link) IsConnected() bool { return k.state == stateLive }

// SetAddress sets the engine's address. The current connection serves until one to the new address is
// established; notices and commands continue there.
func (k *Link) SetAddress(addr netip.AddrPort) {
	if addr == k.addr {
		return
	}
	k.addr = addr
	if old := k.dialing; old != nil {
		k.dialing = nil
		old.conn.Close(errMoved)
	}
	k.dial()
}

// dial opens a connection unless one is being opened.
func (k *Link) dial() {
	if k.dialing != nil {
		return
	}
	limits := eventloop.BufferLimits{In: maxLineBytes, Out: maxQueuedBytes}
	k.dialing = &connection{link: k, startedAt: k.loop.Now()}
	k.dialing.conn = k.loop.Dial(k.addr, limits, k.dialing)
}

// redial dials unless the current connection leads to the engine's address.
func (k *Link) redial() {
	if k.current == nil || k.current.conn.RemoteAddr() != k.addr {
		k.dial()
	}
}

// connectionLost ends what waits for an answer on a lost connection. Commands wait for the next one.
func (k *Link) connectionLost() {
	k.probeSentAt = 0
	k.deliverGauges()
}

// write sends an object on the current connection.
func (k *Link) write(v any) { k.current.conn.Write(encode(v)) }

// encode returns a line of the protocol.
func encode(v any) []byte {
	line, err := json.Marshal(v)
	if err != nil {
		panic(err) // v is a type of this package, all of which can be encoded
	}
	return append(line, '\n')
}

// sendProbe asks for the engine's gauges. Its answer proves that the engine has read the commands before
// it.
func (k *Link) sendProbe() {
	if k.probeSentAt == 0 {
		k.probeSentAt = k.loop.Now()
	}
	k.write(probe{Type: typeStat, Mark: strconv.FormatInt(k.lastSequence, 10)})
}

// handle handles one line of the engine. On an error the connection is closed, and the engine sends again
// on the next one what was not handled.
func (k *Link) handle(m *notice) error {
	if m.Number != 0 {
		if m.Number <= k.lastNotice {
			return nil // it was handled before
		}
		if err := k.countNotice(m.Number); err != nil {
			return err
		}
	}
	switch m.Type {
	case typeHello:
		eventLinkUp.Log(m.Status, k.lastNotice, len(k.pending))
		k.state, k.everUp = stateCatchingUp, true
		k.sendProbe()
	case typeDone:
		k.runEnded(m)
	case typeNeed:
		if r := k.runs[m.RequestID]; r != nil {
			r.callsNeeded++
			k.sink.NeedsCall(r.attempt, notNil(m.Body))
		}
	case typeStats:
		k.takeGauges(m)
	case typeTested:
		if done := k.checks[m.Mark]; done != nil {
			delete(k.checks, m.Mark)
			done(m.Status == statusFine)
		}
	case typeNo:
		k.commandRejected(m)
	}
	return nil
}

// countNotice records the number of the next notice. Missing numbers are an error once: the engine keeps
// notices for the next connection, and what it does not send there is lost.
func (k *Link) countNotice(number int64) error {
	if number != k.lastNotice+1 {
		if k.gapAfter != k.lastNotice {
			k.gapAfter = k.lastNotice
			return fmt.Errorf("notice %d follows %d", number, k.lastNotice)
		}
		eventNoticesMissing.Log(k.lastNotice+1, number-1)
	}
	k.lastNotice, k.gapAfter = number, -1
	return nil
}
