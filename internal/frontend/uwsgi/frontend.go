// Package uwsgi is the frontend for callers that speak the uwsgi protocol, such as nginx. It hands
// the one request of each connection to the request lifecycle, writes the answer, streams bodies
// and responses, and bounds the memory and the time that a connection may take. Package app creates
// it; it makes no decisions about requests.
package uwsgi

import (
	"cmp"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/match"
	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/telemetry/logging"
)

// Log events.
var (
	eventConnectionLimit   = logging.Define("uwsgi.connection_limit", slog.LevelWarn, "address", "most")
	eventRequestIncomplete = logging.Define("uwsgi.request_incomplete", slog.LevelWarn)
	eventCallerLeft        = logging.Define("uwsgi.caller_left", slog.LevelInfo)
	eventSlowReader        = logging.Define("uwsgi.slow_reader", slog.LevelWarn, "error")
	eventBadRequest        = logging.Define("uwsgi.bad_request", slog.LevelWarn, "status", "error")
	eventBodyTruncated     = logging.Define("uwsgi.body_aborted", slog.LevelWarn, "cause")
	eventResponseTruncated = logging.Define("uwsgi.response_aborted", slog.LevelWarn, "untaken", "cause")
)

// Route assigns the requests that it matches to a class.
type Route struct {
	Prefix string // of the path
	Class  int
	// Deadline is how long a caller waits for its answer; 0: the timeout of the class.
	Deadline time.Duration
	// Key is evaluated to the idempotency key of a request; nil: Options.KeyVariable holds the key.
	Key        *match.Expression
	Idempotent bool // requests of the class may be run more than once
	Proxied    bool // requests run on servers of the inventory
}

// Options configure a frontend.
type Options struct {
	Listen         netaddr.Addr
	MaxConnections int
	// MaxConnectionsPerAddress bounds the open connections of one IP address; 0: no bound.
	MaxConnectionsPerAddress int
	MaxVariablesBytes        int
	Flow                     flowcontrol.Limits // of bodies and responses
	ReadTimeout              time.Duration      // for a request, or for the next part of a body that streams
	Routes                   []Route
	Matcher                  match.Matcher // finds the index of a request's route
	HealthPath               string        // empty: no health checks
	TenantVariable           string        // variable that holds the tenant
	KeyVariable              string        // variable that holds the idempotency key
	// FirstAttemptVariable is the variable that holds when the caller sent the first attempt of the
	// request, in Unix milliseconds; empty: none.
	FirstAttemptVariable string
	SizeKB               float64 // memory that a request is assumed to take
	Seed                 uint64  // of the sequence of request IDs
}

// Bounds of a connection, in bytes.
const (
	packetHeaderBytes = 4         // before the variables of a request
	maxFramingBytes   = 8 << 10   // of a line of a chunked body
	maxPartBytes      = 128 << 10 // of a part of a streamed response, in addition to Flow.MaxQueued
	maxExcessBytes    = 64 << 10  // received after the request, which are dropped
)

// Timeouts and other times of a connection.
const (
	sweepInterval    = 500 * time.Millisecond
	readerTimeout    = 10 * time.Second       // for a reader that takes nothing of a stream
	minConnectionAge = 100 * time.Millisecond // age from which it may be closed to make room
	// drainRequestTimeout is how long a draining frontend waits for the request of a connection
	// that was just accepted.
	drainRequestTimeout = 300 * time.Millisecond
)

// closedAtOnce bounds how many connections are closed at once when new ones wait.
const closedAtOnce = 16

// Frontend owns the listener of uwsgi callers and its connections. All methods are to be called on
// the event loop.
type Frontend struct {
	loop                 *eventloop.Loop
	manager              *lifecycle.Manager
	options              Options
	listener             *eventloop.Listener
	connections          map[*connection]struct{}
	connectionsByAddress map[netip.Addr]int
	lastID               uint64 // last request ID that was assigned
	healthy              bool
	readers              *flowcontrol.ReaderWindows // of streamed bodies and responses
	lastReader           flowcontrol.ReaderID
}

// New returns a frontend; Listen opens it.
func New(l *eventloop.Loop, options Options) *Frontend {
	return &Frontend{
		loop:                 l,
		options:              options,
		connections:          map[*connection]struct{}{},
		connectionsByAddress: map[netip.Addr]int{},
		lastID:               options.Seed,
		healthy:              true,
		readers:              flowcontrol.NewReaderWindows(options.Flow),
	}
}

// Listen accepts connections for the manager.
func (f *Frontend) Listen(m *lifecycle.Manager) (err error) {
	f.manager = m
	f.listener, err = f.loop.ListenAddr(f.options.Listen, eventloop.ListenConfig{
		MaxOpen: f.options.MaxConnections,
		Limits:  f.limits(),
		Accept:  f.accept,
		OnFull:  f.makeRoom,
	})
	if err == nil {
		f.loop.Every(sweepInterval, f.sweep)
	}
	return err
}

// Addr returns the address of the listener.
func (f *Frontend) Addr() netaddr.Addr { return f.listener.LocalAddr() }

// BufferBytes returns the memory of the buffers of all connections.
func (f *Frontend) BufferBytes() (n int) {
	for c := range f.connections {
		n += c.BufferBytes() + cap(c.body)
	}
	return n
}

// Connections returns how many connections are open.
func (f *Frontend) Connections() int { return len(f.connections) }

// SetOptions sets the options for new requests. The address of the listener stays the same.
func (f *Frontend) SetOptions(options Options) {
	options.Listen = f.options.Listen
	f.options = options
	f.listener.SetMaxOpen(options.MaxConnections)
	f.listener.SetLimits(f.limits())
	f.readers.SetLimits(options.Flow)
}

// limits returns the bounds of the buffers of a connection.
func (f *Frontend) limits() eventloop.BufferLimits {
	flow := &f.options.Flow
	maxBody := max(flow.MaxBuffered, flow.MaxCached)
	return eventloop.BufferLimits{
		In:  packetHeaderBytes + f.options.MaxVariablesBytes + maxFramingBytes,
		Out: httpmessage.MaxHeadBytes + maxBody + flow.MaxQueued + maxPartBytes,
	}
}

// SetHealth sets the answer to health checks.
func (f *Frontend) SetHealth(healthy bool) { f.healthy = healthy }

// Drain stops listening. Requests that have begun to arrive are read and answered. Connections
// without input are closed; those that were just accepted only after drainRequestTimeout, since
// their requests may be on the way.
func (f *Frontend) Drain() {
	f.listener.CloseWhenAccepted(drainRequestTimeout)
	f.closeSilent(drainRequestTimeout)
	f.loop.After(2*drainRequestTimeout, func() { f.closeSilent(0) })
}

// closeSilent closes the connections that are older than minAge and without any input.
func (f *Frontend) closeSilent(minAge time.Duration) {
	for c := range f.connections {
		if c.submitted || c.request != nil || len(c.Buffered()) > 0 {
			continue
		}
		if f.loop.Unix().Sub(c.acceptedAt) > minAge && !c.HasUnreadInput() {
			c.CloseGracefully()
		}
	}
}

// makeRoom closes connections without a complete request, the oldest first, when the limit is
// reached and new ones wait. Otherwise peers that send nothing could block all callers for the read
// timeout.
func (f *Frontend) makeRoom() {
	var candidates []*connection
	for c := range f.connections {
		if !c.submitted && !c.answered && f.loop.Unix().Sub(c.acceptedAt) > minConnectionAge {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *connection) int { return cmp.Compare(a.acceptedAt, b.acceptedAt) })
	closed := 0
	for _, c := range candidates {
		if closed == closedAtOnce {
			return
		}
		if c.HasUnreadInput() { // a request has just arrived
			continue
		}
		closed++
		c.Close(nil)
	}
}

// accept returns the handler of a new connection.
func (f *Frontend) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &connection{frontend: f, Conn: conn, acceptedAt: f.loop.Unix()}
	c.timer = f.loop.After(f.options.ReadTimeout, func() {
		c.reject(http.StatusRequestTimeout, errRequestTimeout)
	})
	f.connections[c] = struct{}{}
	if conn.RemoteAddr().IsValid() {
		f.countAddress(c)
	}
	return c
}

// countAddress counts a connection for its IP address, and closes the connection if the address has too
// many. No request on it ran, so the caller may try again.
func (f *Frontend) countAddress(c *connection) {
	c.callerAddr = c.RemoteAddr().Addr()
	f.connectionsByAddress[c.callerAddr]++
	limit := f.options.MaxConnectionsPerAddress
	if limit > 0 && f.connectionsByAddress[c.callerAddr] > limit {
		eventConnectionLimit.Log(c.callerAddr, limit)
		f.loop.Post(func() { c.Close(nil) })
	}
}

// uncountAddress reverses countAddress when a connection is closed.
func (f *Frontend) uncountAddress(c *connection) {
	if !c.callerAddr.IsValid() {
		return
	}
	f.connectionsByAddress[c.callerAddr]--
	if f.connectionsByAddress[c.callerAddr] == 0 {
		delete(f.connectionsByAddress, c.callerAddr)
	}
}
