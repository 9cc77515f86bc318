// Package platform is the frontend for the platform's balancers. It listens for FastCGI
// connections, hands their requests to the request lifecycle, writes its answers, and bounds the
// memory and the time that a connection may take. Package app creates it; it makes no decisions
// about requests.
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

// Log events.
var (
	eventRequestTimeout = logging.Define("platform.request_timeout", slog.LevelWarn)
	eventRequestEvicted = logging.Define("platform.request_evicted", slog.LevelWarn, "bytes")
	eventBadRecord      = logging.Define("platform.bad_record", slog.LevelWarn, "error")
	eventSlowReader     = logging.Define("platform.slow_reader", slog.LevelWarn, "open", "error")
	eventBadRequest     = logging.Define("platform.bad_request", slog.LevelWarn, "status", "error")
	eventInputUnread    = logging.Define("platform.input_unread", slog.LevelWarn, "state", "bytes")
)

// Bounds of a connection.
const (
	maxParamsBytes           = 8 << 10
	maxBodyBytes             = 2 << 10
	maxRequestsPerConnection = 32 // the platform's balancers open no more
	// maxQueuedBytes bounds the answers that are queued on a connection until its peer reads them;
	// largeAnswersQueued answers of the largest size may be queued in addition.
	maxQueuedBytes     = 256 << 10
	largeAnswersQueued = 8
	// maxRecordBytes bounds a record. An incomplete record is buffered, so many peers that each
	// leave a long one incomplete could exhaust the memory. No balancer needs longer records.
	maxRecordBytes = recordHeaderBytes + maxParamsBytes + maxRecordPadding
	// maxIncompleteBytes bounds the parts of incomplete requests on all connections together.
	maxIncompleteBytes = 2 << 20
)

// Sizes of the parts of a FastCGI record other than its content, in bytes.
const (
	recordHeaderBytes = 8
	maxRecordPadding  = 255
)

// Timeouts and other times of a connection.
const (
	sweepInterval       = 100 * time.Millisecond
	firstRequestTimeout = 2 * time.Second        // until the first request begins to arrive
	readTimeout         = 2 * time.Second        // for the rest of a request that has begun to arrive
	writeTimeout        = 10 * time.Second       // for a peer to read any of its queued answers
	minConnectionAge    = 100 * time.Millisecond // age from which it may be closed to make room
	minReceivingAge     = 500 * time.Millisecond // the same while its first request arrives
	peerProbeTime       = 20 * time.Millisecond  // for a peer that does not read to reset the connection
	finishInputTime     = time.Second            // for input that is unread when a connection has nothing left to do
)

// Times of a drain.
const (
	// drainRequestTimeout is how long a connection without a request is kept after it was accepted.
	drainRequestTimeout = 300 * time.Millisecond
	// drainAcceptTime bounds how long the listener stays open to accept the callers in its queue.
	drainAcceptTime = 300 * time.Millisecond
	// drainInputTime is how long, from the start of the drain, connections with unread input are
	// kept open.
	drainInputTime = time.Second
)

// closedAtOnce bounds how many connections are closed at once when new ones wait. If it were 1, a
// single slow peer could delay all new connections.
const closedAtOnce = 16

// Paths of requests.
const (
	classPrefix = "/ops/"
	healthPath  = "/alive"
)

// DeepHealthChecker performs deep health checks.
type DeepHealthChecker interface {
	// Check calls done once with the result.
	Check(done func(healthy bool))
}

// Frontend owns the listener of the platform and its connections. All methods are to be called on
// the event loop.
type Frontend struct {
	loop          *eventloop.Loop
	manager       *lifecycle.Manager
	healthChecker DeepHealthChecker // nil: none
	listener      *eventloop.Listener
	connections   map[*connection]struct{}

	maxQueuedBytes  int           // of one connection
	idleTimeout     time.Duration // after which a connection without requests is closed; 0: never
	incompleteBytes int           // of incomplete requests on all connections

	draining      bool
	drainingSince time.Duration
	replaced      bool // another process serves in its place

	advertisedValue string // sent with each answer; empty: none
	healthStored    bool   // deep health checks are answered with healthy too, without a check
	healthy         bool
}

// New returns a frontend; Listen opens it. checker may be nil. maxResponse is the size of the
// largest answers in bytes, of which a connection may queue a few.
func New(l *eventloop.Loop, checker DeepHealthChecker, maxResponse int) *Frontend {
	f := &Frontend{loop: l, healthChecker: checker, connections: map[*connection]struct{}{}, healthy: true}
	f.SetMaxResponse(maxResponse)
	return f
}

// SetMaxResponse sets the size of the largest answers in bytes, for new connections.
func (f *Frontend) SetMaxResponse(size int) {
	f.maxQueuedBytes = maxQueuedBytes + largeAnswersQueued*size
	if f.listener != nil {
		f.listener.SetLimits(f.limits())
	}
}

// SetMaxConnections sets the maximum number of open connections.
func (f *Frontend) SetMaxConnections(n int) {
	if f.listener != nil {
		f.listener.SetMaxOpen(n)
	}
}

// MaxConnections returns the maximum number of open connections.
func (f *Frontend) MaxConnections() int { return f.listener.MaxOpen() }

// limits returns the bounds of the buffers of a connection.
func (f *Frontend) limits() eventloop.BufferLimits {
	return eventloop.BufferLimits{In: maxRecordBytes, Out: f.maxQueuedBytes}
}

// Listen accepts connections for the manager, at most maxConnections at once. Several processes may
// listen on the address.
func (f *Frontend) Listen(addr netip.AddrPort, maxConnections int, m *lifecycle.Manager) (err error) {
	f.manager = m
	f.listener, err = f.loop.ListenShared(addr, eventloop.ListenConfig{
		MaxOpen: maxConnections,
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
func (f *Frontend) Addr() netip.AddrPort { return f.listener.Addr() }

// SetHealth sets the answer to health checks. If stored is set, deep checks get the same answer
// without a check.
func (f *Frontend) SetHealth(stored, healthy bool) {
	f.healthStored = stored
	f.healthy = healthy
}

// SetAdvertisedValue sets the value of admission control that is sent with each answer. It has no
// effect after HandOver.
func (f *Frontend) SetAdvertisedValue(v float64) {
	if !f.replaced {
		f.advertisedValue = strconv.FormatFloat(v, 'f', 4, 64)
	}
}

// SetIdleTimeout sets how long a connection may be idle before it is closed; 0: no limit.
func (f *Frontend) SetIdleTimeout(d time.Duration) { f.idleTimeout = d }

// Drain stops listening, and closes each connection when it has no open request.
func (f *Frontend) Drain() {
	f.startDraining()
	f.listener.CloseWhenAccepted(drainAcceptTime)
	f.sweep()
}

// closesWithUnreadInput reports whether the drain has lasted for drainInputTime, after which it also
// closes connections with unread input. Otherwise a peer that keeps sending would never be closed.
func (f *Frontend) closesWithUnreadInput() bool {
	return f.draining && f.loop.Now()-f.drainingSince > drainInputTime
}

// Close ends all connections before the process ends. Queued answers are written as far as the
// peers take them, and input is read and dropped: closing over unread input would reset the
// connection and lose answers that the peer has not read.
func (f *Frontend) Close() {
	for c := range f.connections {
		c.FlushAndShutdown()
	}
}

// IsListening reports whether connections are accepted.
func (f *Frontend) IsListening() bool { return f.listener != nil && f.listener.IsListening() }

// HandOver is Drain for a process that is replaced by another one: the listener is handed over, and
// no value is advertised any more, since it would not be the value of the other process.
func (f *Frontend) HandOver() {
	f.replaced = true
	f.advertisedValue = ""
	f.startDraining()
	f.listener.HandOver()
	f.sweep()
}

// startDraining begins a graceful shutdown.
func (f *Frontend) startDraining() {
	f.draining = true
	f.drainingSince = f.loop.Now()
}

// IncompleteBytes returns the size of the incomplete requests on all connections.
func (f *Frontend) IncompleteBytes() int { return f.incompleteBytes }

// BufferBytes returns the memory of the buffers of all connections.
func (f *Frontend) BufferBytes() (n int) {
	for c := range f.connections {
		n += c.BufferBytes()
	}
	return n
}

// Connections returns how many connections are open.
func (f *Frontend) Connections() int { return len(f.connections) }

// accept returns the handler of a new connection.
func (f *Frontend) accept(conn *eventloop.Conn) eventloop.Handler {
	now := f.loop.Now()
	c := &connection{
		frontend:   f,
		Conn:       conn,
		open:       map[uint16]*exchange{},
		acceptedAt: now,
		usedAt:     now,
	}
	f.connections[c] = struct{}{}
	return c
}

// sweep closes connections that are idle, on which a request does not arrive completely, or whose
// peer does not read its answers.
func (f *Frontend) sweep() {
	now := f.loop.Now()
	if !f.draining && f.listener.IsOverLimit() { // the limit was lowered
		f.makeRoom()
	}
	for c := range f.connections {
		switch {
		case c.IsClosed() || c.IsClosing(): // closing has a timeout of its own
		case c.StalledFor() > writeTimeout:
			c.Close(eventloop.ErrSlowPeer)
		case c.isSilent(now) && !c.HasUnreadInput(): // input that has just arrived is read first
			f.closeSilent(c)
		default:
			c.rejectOverdue(now)
			if f.isIdle(c, now) && !c.HasUnreadInput() {
				c.closeGracefully()
			}
		}
	}
}

// closeSilent closes a connection without a request. One on which nothing arrived is closed at once, since
// many of them could take all descriptors.
func (f *Frontend) closeSilent(c *connection) {
	eventRequestTimeout.Log()
	if c.usedAt == c.acceptedAt {
		c.Close(nil)
		return
	}
	c.closeGracefully()
}

// isIdle reports whether a connection has no request and is to be closed.
func (f *Frontend) isIdle(c *connection, now time.Duration) bool {
	if len(c.open) > 0 || c.partialRecordSince != 0 {
		return false
	}
	if f.draining && (c.hasRequested || now-c.acceptedAt > drainRequestTimeout) {
		return true
	}
	return f.idleTimeout > 0 && now-c.usedAt > f.idleTimeout
}

// makeRoom closes connections when the limit is reached and new ones wait: first those without any
// request, then those whose first request is incomplete, then those that were idle for longest.
func (f *Frontend) makeRoom() {
	now := f.loop.Now()
	var candidates []*connection
	for c := range f.connections {
		if !c.IsClosing() && !c.IsClosed() && mayClose(c, now) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *connection) int {
		return cmp.Or(
			compareBools(a.hasRequested, b.hasRequested),
			compareBools(a.isReceiving(), b.isReceiving()),
			cmp.Compare(a.usedAt, b.usedAt),
		)
	})
	closed := 0
	for _, c := range candidates {
		if closed == closedAtOnce {
			return
		}
		if !c.isReceiving() && c.HasUnreadInput() { // a request has just arrived
			continue
		}
		closed++
		if c.hasRequested {
			c.closeGracefully()
		} else {
			c.Close(nil)
		}
	}
}

// mayClose reports whether a connection may be closed to make room for another one.
func mayClose(c *connection, now time.Duration) bool {
	switch {
	case c.hasRequested:
		return len(c.open) == 0 && c.partialRecordSince == 0
	case c.isReceiving():
		return now-c.acceptedAt > minReceivingAge
	}
	return now-c.acceptedAt > minConnectionAge
}

// compareBools orders false before true, as cmp.Compare orders numbers.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// countIncomplete adds n to the bytes of incomplete requests. If the bytes of all connections
// together exceed their bound, the incomplete requests of the connection with the most bytes are
// rejected.
func (f *Frontend) countIncomplete(n int) {
	f.incompleteBytes += n
	if f.incompleteBytes <= maxIncompleteBytes {
		return
	}
	var largest *connection
	for c := range f.connections {
		if !c.IsClosed() && (largest == nil || c.incompleteBytes > largest.incompleteBytes) {
			largest = c
		}
	}
	if largest != nil {
		eventRequestEvicted.Log(largest.incompleteBytes)
		largest.rejectIncomplete()
		largest.advanceTo(stateFinishing)
		largest.closeIfDone()
	}
}
