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
	evIdle       = logging.Define("platform.no_request", slog.LevelWarn)
	evUnfinished = logging.Define("platform.unfinished", slog.LevelWarn, "bytes")
	evBadRecord  = logging.Define("platform.bad_record", slog.LevelWarn, "error")
	evSlow       = logging.Define("platform.slow_reader", slog.LevelWarn, "open", "error")
	evBad        = logging.Define("platform.bad_request", slog.LevelWarn, "status", "error")
)

const (
	maxParams = 8 << 10
	maxBody   = 2 << 10
	maxOpen   = 32 // requests on one connection; the platform's balancers open no more
	// answers that a peer has not read: all that it may have open, with room to spare
	maxOut     = 256 << 10
	sweepEvery = 100_000
	askWithin  = 2_000_000  // the first whole request of a connection comes within so long
	readWithin = 2_000_000  // and each further one, once it has begun
	takeWithin = 10_000_000 // a peer takes what it is sent
	// what was taken from the queue as the front left brings its request by then
	firstWithin = 300_000
	youngFor    = 100_000 // a connection that was just taken does not have to make room
	partFor     = 500_000 // nor one on which a first request has begun to come
	// after leaving, for so long a connection is left only once nothing unread waits on it
	quietFor = 1_000_000
	// after leaving, the listener is open for so long while callers wait in its queue
	queueFor    = 300_000
	largeUnread = 8
	roomFor     = 16      // connections that are closed at once when others wait
	maxUnread   = 2 << 20 // parts of requests on all connections together
	opsPrefix   = "/ops/"
	healthPath  = "/alive"
)

// DeepHealthChecker does the work of a deep health check and tells how it went.
type DeepHealthChecker interface{ Check(func(good bool)) }

// Frontend owns the listening socket of the platform and the connections on it.
type Frontend struct {
	loop    *eventloop.Loop
	core    *lifecycle.Manager
	checker DeepHealthChecker
	ln      *eventloop.Listener
	maxOut  int
	conns   map[*conn]struct{}
	idle    int64
	partial int // bytes of requests that have not come whole
	leaving bool
	leftAt  int64
	retired bool // another process serves in its place
	// What goes with answers.
	pressure     string
	stored, good bool
}

// New makes a front; Listen opens it. The checker may be nil. A connection may leave a few answers
// of the given size unread beside those of the platform's engine.
func New(l *eventloop.Loop, checker DeepHealthChecker, maxResponse int) *Frontend {
	f := &Frontend{loop: l, checker: checker, conns: map[*conn]struct{}{}, good: true}
	f.SetMaxResponse(maxResponse)
	return f
}

// SetMaxResponse takes another size of large answers for connections from now on.
func (f *Frontend) SetMaxResponse(size int) {
	f.maxOut = maxOut + largeUnread*size
	if f.ln != nil {
		f.ln.SetLimits(f.limits())
	}
}

// SetMaxConnections says how many connections are taken at once from now on.
func (f *Frontend) SetMaxConnections(most int) {
	if f.ln != nil {
		f.ln.SetMaxOpen(most)
	}
}

// MaxConnections is how many connections are taken at once.
func (f *Frontend) MaxConnections() int { return f.ln.MaxOpen() }

// limits bound the buffers of a connection.
func (f *Frontend) limits() eventloop.BufferLimits {
	return eventloop.BufferLimits{In: maxRecord, Out: f.maxOut}
}

// maxRecord is the longest record that is waited for. No balancer has a use for longer ones, and a
// crowd of peers that each leave a large one unfinished would take all memory.
const maxRecord = 8 + maxParams + 255

// Listen begins to take connections for the core, at most so many at once.
func (f *Frontend) Listen(addr netip.AddrPort, most int, c *lifecycle.Manager) (err error) {
	f.core = c
	f.ln, err = f.loop.ListenShared(addr, most, f.limits(), f.accept, f.makeRoom)
	if err == nil {
		f.loop.Every(time.Duration(sweepEvery)*time.Microsecond, f.sweep)
	}
	return err
}

// Addr is where the front listens.
func (f *Frontend) Addr() netip.AddrPort { return f.ln.Addr() }

// SetHealth says how health checks are answered.
func (f *Frontend) SetHealth(stored, good bool) { f.stored, f.good = stored, good }

// SetAdvertisedValue sets the free value that goes with each answer.
func (f *Frontend) SetAdvertisedValue(v float64) {
	if !f.retired {
		f.pressure = strconv.FormatFloat(v, 'f', 4, 64)
	}
}

// SetIdleTimeout has connections closed that are idle for so long.
func (f *Frontend) SetIdleTimeout(us int64) { f.idle = us }

// Drain stops listening and leaves each connection as it has no open request.
func (f *Frontend) Drain() {
	f.leaving, f.leftAt = true, f.loop.Now().Microseconds()
	f.ln.CloseWhenAccepted(time.Duration(queueFor) * time.Microsecond)
	f.sweep()
}

// leavesAtOnce tells whether connections are left even if more has come on them: a peer that always
// sends has to be left some time.
func (f *Frontend) leavesAtOnce() bool {
	return f.leaving && f.loop.Now().Microseconds()-f.leftAt > quietFor
}

// Close ends all connections as the process is about to: what is queued is written as far as it
// goes, and what came is read off, as unread bytes would reset the connection and take answers with
// it that the peer has not read.
func (f *Frontend) Close() {
	for c := range f.conns {
		c.FlushAndShutdown()
	}
}

// IsListening tells whether connections are still taken.
func (f *Frontend) IsListening() bool { return f.ln != nil && f.ln.IsListening() }

// Retire is Leave where another process serves as this runner: what this one says of its own room
// is not meant for it.
func (f *Frontend) Retire() {
	f.retired, f.pressure, f.leaving, f.leftAt = true, "", true, f.loop.Now().Microseconds()
	f.ln.HandOver()
	f.sweep()
}

// Connections is how many connections are open.
func (f *Frontend) Connections() int { return len(f.conns) }

func (f *Frontend) accept(lc *eventloop.Conn) eventloop.Handler {
	c := &conn{
		front: f,
		Conn:  lc,
		open:  map[uint16]*exchange{},
		began: f.loop.Now().Microseconds(),
		used:  f.loop.Now().Microseconds(),
	}
	f.conns[c] = struct{}{}
	return c
}

// sweep leaves connections that are idle, or on which a request does not come whole, or answers are
// not taken.
func (f *Frontend) sweep() {
	now := f.loop.Now().Microseconds()
	if !f.leaving && f.ln.IsOverLimit() { // its share became smaller
		f.makeRoom()
	}
	for c := range f.conns {
		switch {
		case c.IsClosed() || c.IsClosing(): // that has a limit of its own
		case c.StalledFor().Microseconds() > takeWithin:
			c.Close(eventloop.ErrSlowPeer)
		case c.overdue(now):
			f.giveUp(c)
		case f.isIdle(c, now) && !c.HasUnreadInput(): // what came in this very moment is read first
			c.CloseGracefully()
		}
	}
}

// isIdle tells whether nothing goes on on a connection, for as long as one may rest.
func (f *Frontend) isIdle(c *conn, now int64) bool {
	if len(c.open) > 0 || c.partAt != 0 {
		return false
	}
	return f.leaving && (c.asked || now-c.began > firstWithin) || f.idle > 0 && now-c.used > f.idle
}

// giveUp waits no longer for the rest of what has begun to come on a connection. Its other requests
// get their answers.
func (f *Frontend) giveUp(c *conn) {
	if !c.owed() {
		evIdle.Log()
		c.Close(nil)
		return
	}
	if c.state != discarding && c.receiving() {
		evIdle.Log()
		c.refuseUnread()
		c.discard()
	}
}

// makeRoom closes connections as others wait for their places: first those that have never asked
// for anything, then those that only began to ask, then those that have been idle for longest. One
// at a time would have each of those that wait depend on a slow peer to close.
func (f *Frontend) makeRoom() {
	now := f.loop.Now().Microseconds()
	var idle []*conn
	for c := range f.conns {
		if !c.IsClosing() && !c.IsClosed() && mayGo(c, now) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int {
		return cmp.Or(
			cmp.Compare(btoi(a.asked), btoi(b.asked)),
			cmp.Compare(btoi(a.receiving()), btoi(b.receiving())),
			cmp.Compare(a.used, b.used),
		)
	})
	gone := 0
	for _, c := range idle {
		if gone == roomFor {
			return
		}
		if !c.receiving() && c.HasUnreadInput() { // a request came in this very moment
			continue
		}
		gone++
		if c.asked {
			c.CloseGracefully()
		} else {
			c.Close(nil)
		}
	}
}

// mayGo tells whether a connection may have to make room for another.
func mayGo(c *conn, now int64) bool {
	switch {
	case c.asked:
		return len(c.open) == 0 && c.partAt == 0
	case c.receiving():
		return now-c.began > partFor
	}
	return now-c.began > youngFor
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hold counts bytes of requests that have not come whole. When they are too many on all connections
// together, those of the connection with the most of them are turned away: it is not one of those
// that send what they begin.
func (f *Frontend) hold(n int) {
	f.partial += n
	if f.partial <= maxUnread {
		return
	}
	var most *conn
	for c := range f.conns {
		if !c.IsClosed() && (most == nil || c.partial > most.partial) {
			most = c
		}
	}
	if most != nil {
		evUnfinished.Log(most.partial)
		most.refuseUnread()
		most.moveTo(finishing)
		most.leaveIfDone()
	}
}
