// Package platform is the front for the platform's balancers: FastCGI to the core and back. It
// decides nothing.
package platform

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	eventNoRequest  = logging.Define("platform.no_request", slog.LevelWarn)
	eventUnfinished = logging.Define("platform.unfinished", slog.LevelWarn, "bytes")
	eventBadRecord  = logging.Define("platform.bad_record", slog.LevelWarn, "error")
	eventSlowReader = logging.Define("platform.slow_reader", slog.LevelWarn, "open", "error")
	eventBadRequest = logging.Define("platform.bad_request", slog.LevelWarn, "status", "error")
)

const (
	maxParamsBytes           = 8 << 10
	maxBodyBytes             = 2 << 10
	maxRequestsPerConnection = 32 // requests on one connection; the platform's balancers open no more
	// answers that a peer has not read: all that it may have open, with room to spare
	maxQueuedBytes      = 256 << 10
	sweepInterval       = 100_000
	firstRequestTimeout = 2_000_000  // the first whole request of a connection comes within so long
	readTimeout         = 2_000_000  // and each further one, once it has begun
	writeTimeout        = 10_000_000 // a peer takes what it is sent
	// what was taken from the queue as the front left brings its request by then
	drainRequestTimeout = 300_000
	minConnectionAge    = 100_000 // a connection that was just taken does not have to make room
	minReceivingAge     = 500_000 // nor one on which a first request has begun to come
	// after leaving, for so long a connection is left only once nothing unread waits on it
	drainQuietTime = 1_000_000
	// after leaving, the listener is open for so long while callers wait in its queue
	drainAcceptTime    = 300_000
	largeAnswersQueued = 8
	closedAtOnce       = 16      // connections that are closed at once when others wait
	maxIncompleteBytes = 2 << 20 // parts of requests on all connections together
	classPrefix        = "/ops/"
	healthPath         = "/alive"
)

// DeepHealthChecker does the work of a deep health check and tells how it went.
type DeepHealthChecker interface{ Check(func(good bool)) }

// Frontend owns the listening socket of the platform and the connections on it.
type Frontend struct {
	loop            *eventloop.Loop
	manager         *lifecycle.Manager
	healthChecker   DeepHealthChecker
	listener        *eventloop.Listener
	maxQueuedBytes  int
	connections     map[*connection]struct{}
	idleTimeout     int64
	incompleteBytes int // bytes of requests that have not come whole
	draining        bool
	drainingSince   int64
	replaced        bool // another process serves in its place
	// What goes with answers.
	advertisedValue       string
	healthStored, healthy bool
}

// New makes a front; Listen opens it. The checker may be nil. A connection may leave a few answers
// of the given size unread beside those of the platform's engine.
func New(l *eventloop.Loop, checker DeepHealthChecker, maxResponse int) *Frontend {
	f := &Frontend{loop: l, healthChecker: checker, connections: map[*connection]struct{}{}, healthy: true}
	f.SetMaxResponse(maxResponse)
	return f
}

// SetMaxResponse takes another size of large answers for connections from now on.
func (f *Frontend) SetMaxResponse(size int) {
	f.maxQueuedBytes = maxQueuedBytes + largeAnswersQueued*size
	if f.listener != nil {
		f.listener.SetLimits(f.limits())
	}
}

// SetMaxConnections says how many connections are taken at once from now on.
func (f *Frontend) SetMaxConnections(most int) {
	if f.listener != nil {
		f.listener.SetMaxOpen(most)
	}
}

// MaxConnections is how many connections are taken at once.
func (f *Frontend) MaxConnections() int { return f.listener.MaxOpen() }

// limits bound the buffers of a connection.
func (f *Frontend) limits() eventloop.BufferLimits {
	return eventloop.BufferLimits{In: maxRecordBytes, Out: f.maxQueuedBytes}
}

// maxRecordBytes is the longest record that is waited for. No balancer has a use for longer ones, and a
// crowd of peers that each leave a large one unfinished would take all memory.
const maxRecordBytes = 8 + maxParamsBytes + 255

// Listen begins to take connections for the core, at most so many at once.
func (f *Frontend) Listen(addr netip.AddrPort, most int, c *lifecycle.Manager) (err error) {
	f.manager = c
	f.listener, err = f.loop.ListenShared(addr, most, f.limits(), f.accept, f.makeRoom)
	if err == nil {
		f.loop.Every(time.Duration(sweepInterval)*time.Microsecond, f.sweep)
	}
	return err
}

// Addr is where the front listens.
func (f *Frontend) Addr() netip.AddrPort { return f.listener.Addr() }

// SetHealth says how health checks are answered.
func (f *Frontend) SetHealth(stored, good bool) { f.healthStored, f.healthy = stored, good }

// SetAdvertisedValue sets the free value that goes with each answer.
func (f *Frontend) SetAdvertisedValue(v float64) {
	if !f.replaced {
		f.advertisedValue = strconv.FormatFloat(v, 'f', 4, 64)
	}
}

// SetIdleTimeout has connections closed that are idle for so long.
func (f *Frontend) SetIdleTimeout(us int64) { f.idleTimeout = us }

// Drain stops listening and leaves each connection as it has no open request.
func (f *Frontend) Drain() {
	f.draining, f.drainingSince = true, f.loop.Now().Microseconds()
	f.listener.CloseWhenAccepted(time.Duration(drainAcceptTime) * time.Microsecond)
	f.sweep()
}

// closesAtOnce tells whether connections are left even if more has come on them: a peer that always
// sends has to be left some time.
func (f *Frontend) closesAtOnce() bool {
	return f.draining && f.loop.Now().Microseconds()-f.drainingSince > drainQuietTime
}

// Close ends all connections as the process is about to: what is queued is written as far as it
// goes, and what came is read off, as unread bytes would reset the connection and take answers with
// it that the peer has not read.
func (f *Frontend) Close() {
	for c := range f.connections {
		c.FlushAndShutdown()
	}
}

// IsListening tells whether connections are still taken.
func (f *Frontend) IsListening() bool { return f.listener != nil && f.listener.IsListening() }

// HandOver is Leave where another process serves as this runner: what this one says of its own room
// is not meant for it.
func (f *Frontend) HandOver() {
	f.replaced, f.advertisedValue, f.draining, f.drainingSince = true, "", true, f.loop.Now().Microseconds()
	f.listener.HandOver()
	f.sweep()
}

// Connections is how many connections are open.
func (f *Frontend) Connections() int { return len(f.connections) }

func (f *Frontend) accept(lc *eventloop.Conn) eventloop.Handler {
	c := &connection{
		frontend:   f,
		Conn:       lc,
		open:       map[uint16]*exchange{},
		acceptedAt: f.loop.Now().Microseconds(),
		usedAt:     f.loop.Now().Microseconds(),
	}
	f.connections[c] = struct{}{}
	return c
}

// sweep leaves connections that are idle, or on which a request does not come whole, or answers are
// not taken.
func (f *Frontend) sweep() {
	now := f.loop.Now().Microseconds()
	if !f.draining && f.listener.IsOverLimit() { // its share became smaller
		f.makeRoom()
	}
	for c := range f.connections {
		switch {
		case c.IsClosed() || c.IsClosing(): // that has a limit of its own
		case c.StalledFor().Microseconds() > writeTimeout:
			c.Close(eventloop.ErrSlowPeer)
		case c.isOverdue(now):
			f.stopReceiving(c)
		case f.isIdle(c, now) && !c.HasUnreadInput(): // what came in this very moment is read first
			c.CloseGracefully()
		}
	}
}

// isIdle tells whether nothing goes on on a connection, for as long as one may rest.
func (f *Frontend) isIdle(c *connection, now int64) bool {
	if len(c.open) > 0 || c.partialRecordSince != 0 {
		return false
	}
	return f.draining && (c.hasRequested || now-c.acceptedAt > drainRequestTimeout) || f.idleTimeout > 0 && now-c.usedAt > f.idleTimeout
}

// stopReceiving waits no longer for the rest of what has begun to come on a connection. Its other requests
// get their answers.
func (f *Frontend) stopReceiving(c *connection) {
	if !c.owesAnswer() {
		eventNoRequest.Log()
		c.Close(nil)
		return
	}
	if c.state != stateDiscarding && c.isReceiving() {
		eventNoRequest.Log()
		c.rejectIncomplete()
		c.discard()
	}
}

// makeRoom closes connections as others wait for their places: first those that have never asked
// for anything, then those that only began to ask, then those that have been idle for longest. One
// at a time would have each of those that wait depend on a slow peer to close.
func (f *Frontend) makeRoom() {
	now := f.loop.Now().Microseconds()
	var idle []*connection
	for c := range f.connections {
		if !c.IsClosing() && !c.IsClosed() && mayClose(c, now) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *connection) int {
		return cmp.Or(
			cmp.Compare(btoi(a.hasRequested), btoi(b.hasRequested)),
			cmp.Compare(btoi(a.isReceiving()), btoi(b.isReceiving())),
			cmp.Compare(a.usedAt, b.usedAt),
		)
	})
	gone := 0
	for _, c := range idle {
		if gone == closedAtOnce {
			return
		}
		if !c.isReceiving() && c.HasUnreadInput() { // a request came in this very moment
			continue
		}
		gone++
		if c.hasRequested {
			c.CloseGracefully()
		} else {
			c.Close(nil)
		}
	}
}

// mayClose tells whether a connection may have to make room for another.
func mayClose(c *connection, now int64) bool {
	switch {
	case c.hasRequested:
		return len(c.open) == 0 && c.partialRecordSince == 0
	case c.isReceiving():
		return now-c.acceptedAt > minReceivingAge
	}
	return now-c.acceptedAt > minConnectionAge
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countIncomplete counts bytes of requests that have not come whole. When they are too many on all connections
// together, those of the connection with the most of them are turned away: it is not one of those
// that send what they begin.
func (f *Frontend) countIncomplete(n int) {
	f.incompleteBytes += n
	if f.incompleteBytes <= maxIncompleteBytes {
		return
	}
	var most *connection
	for c := range f.connections {
		if !c.IsClosed() && (most == nil || c.incompleteBytes > most.incompleteBytes) {
			most = c
		}
	}
	if most != nil {
		eventUnfinished.Log(most.incompleteBytes)
		most.rejectIncomplete()
		most.advanceTo(stateFinishing)
		most.closeIfDone()
	}
}
