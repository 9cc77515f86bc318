// Package backend sends the calls of running requests to the back end that all runners share. The
// protocol is HTTP/1.1 with one call at a time on a connection; closing the connection cancels the
// call.
package backend

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/httpmessage"
)

// MaxConnections is the upper bound of the number of open connections of a pool.
const MaxConnections = 64

// Limits of idle connections.
const (
	// maxIdleConnections bounds the idle connections that are kept for further calls.
	maxIdleConnections = 8
	// idleTimeout is below the idle timeout of the back end, which is 10 s, so that the back end
	// rarely closes a connection while a call is sent on it.
	idleTimeout = 2 * time.Second
	// idleSweepInterval is how often idle connections are checked for idleTimeout.
	idleSweepInterval = 500 * time.Millisecond
)

// Errors with which the pool closes connections.
var (
	errNotIdle         = errors.New("idle connection closed by the back end or with unexpected input")
	errCallCanceled    = errors.New("call canceled")
	errUnexpectedReply = errors.New("reply without an open call")
)

// Sink is told when calls end.
type Sink interface {
	// CallEnded reports the outcome of a call and how long it took. reply is the body of its reply; nil
	// if none was received.
	CallEnded(a *lifecycle.Attempt, o lifecycle.Outcome, reply []byte, took time.Duration)
}

// Pool owns the connections to the back end. It implements lifecycle.Dependency. All methods are to
// be called on the event loop.
type Pool struct {
	loop           *eventloop.Loop
	addr           netip.AddrPort
	sink           Sink
	calls          map[*lifecycle.Attempt]*call
	idle           []*connection // ordered by last use, the most recently used last
	open           int           // number of connections that count against maxConnections
	maxConnections int
	lastNumber     int64   // number of the last call
	meanLatency    float64 // moving mean of the time until a reply, in microseconds; 0: no reply yet
}

// call is an open call.
type call struct {
	attempt   *lifecycle.Attempt
	number    int64 // calls are numbered in the order in which they are made
	startedAt time.Duration
	overtaken int // number of later calls that have been replied to
	timer     *eventloop.Timer
	conn      *connection // nil: the call is rejected, since no connection is available
}

// New returns a pool for the back end at addr.
func New(l *eventloop.Loop, addr netip.AddrPort) *Pool {
	return &Pool{
		loop:           l,
		addr:           addr,
		maxConnections: MaxConnections,
		calls:          map[*lifecycle.Attempt]*call{},
	}
}

// SetMaxConnections sets the maximum number of open connections, up to MaxConnections. Connections
// that are open already stay open.
func (p *Pool) SetMaxConnections(n int) { p.maxConnections = min(n, MaxConnections) }

// Start sets the sink to which the ends of calls are reported.
func (p *Pool) Start(sink Sink) {
	p.sink = sink
	p.loop.Every(idleSweepInterval, p.closeIdle)
}

// closeIdle closes the connections that were idle for longer than idleTimeout.
func (p *Pool) closeIdle() {
	for len(p.idle) > 0 && p.loop.Now()-p.idle[0].idleSince > idleTimeout {
		p.idle[0].conn.Close(nil)
		p.idle = p.idle[1:]
	}
}

// SetAddress sets the address of the back end. Calls in flight continue on their connections, which
// are not used for further calls. A call whose connection is not established yet was not sent, and
// ends as unreachable.
func (p *Pool) SetAddress(addr netip.AddrPort) {
	if addr == p.addr {
		return
	}
	p.addr = addr
	idle := p.idle
	p.idle = nil
	for _, c := range idle {
		c.conn.Close(nil)
	}
	var unsent []*call // collected first, since the sink may make another call when one ends
	for _, c := range p.calls {
		if c.isUnsent() {
			unsent = append(unsent, c)
		}
	}
	slices.SortFunc(unsent, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, c := range unsent {
		p.end(c, lifecycle.Unreachable, nil)
	}
}

// isUnsent reports whether nothing of a call can have reached the back end.
func (c *call) isUnsent() bool {
	return c.conn != nil && c.conn.call == c && c.conn.conn.IsConnecting()
}

// timeOut ends a call whose timeout expired.
func (p *Pool) timeOut(c *call) {
	if c.isUnsent() {
		p.end(c, lifecycle.Unreachable, nil)
		return
	}
	p.end(c, lifecycle.TimedOut, nil)
}

// Call implements lifecycle.Dependency. A call that is not idempotent gets a new connection: the back
// end may have closed an idle one, and its failure would not prove that the call never ran.
func (p *Pool) Call(a *lifecycle.Attempt, body []byte, timeout time.Duration) {
	p.CancelCall(a)
	p.lastNumber++
	c := &call{attempt: a, number: p.lastNumber, startedAt: p.loop.Now()}
	p.calls[a] = c
	c.timer = p.loop.After(timeout, func() { p.timeOut(c) })
	if a.Idempotent {
		c.conn = p.takeIdle()
	} else if p.open >= p.maxConnections {
		p.closeOldestIdle()
	}
	if c.conn == nil {
		if p.open >= p.maxConnections {
			p.loop.Post(func() { p.end(c, lifecycle.CallRejected, nil) }) // nothing was sent
			return
		}
		c.conn = p.dial()
	}
	c.conn.call = c
	c.conn.conn.Write(encodeCall(p.addr.String(), a.Request.ID, timeout, body))
}

// dial opens a connection.
func (p *Pool) dial() *connection {
	c := &connection{pool: p, address: p.addr}
	p.open++
	c.conn = p.loop.Dial(
		p.addr,
		eventloop.BufferLimits{In: httpmessage.MaxHeadBytes + maxBodyBytes, Out: maxBodyBytes},
		c,
	)
	return c
}

// takeIdle returns the most recently used idle connection, or nil. It closes connections that the back
// end has closed, and those with any input since the last reply, which would be read as the next one.
func (p *Pool) takeIdle() *connection {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.conn.IsIdle() {
			return c
		}
		c.conn.Close(errNotIdle)
	}
	return nil
}

// closeOldestIdle closes the connection that was idle for longest, if any. It no longer counts against
// maxConnections from then on.
func (p *Pool) closeOldestIdle() {
	if len(p.idle) == 0 {
		return
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	oldest.uncounted = true
	oldest.conn.Close(nil)
}

// encodeCall returns the HTTP request of a call. The timeout is stated in whole milliseconds, rounded
// down, but at least 1.
func encodeCall(host, requestID string, timeout time.Duration, body []byte) []byte {
	const format = "POST /rpc/call HTTP/1.1\r\n" +
		"Host: %s\r\nParent-Call: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Appendf(nil, format, host, requestID, max(timeout.Milliseconds(), 1), len(body), body)
}

// CancelCall implements lifecycle.Dependency.
func (p *Pool) CancelCall(a *lifecycle.Attempt) {
	if c := p.calls[a]; c != nil {
		p.release(c)
	}
}

// release forgets a call and stops its timer. A connection that still carries the call is closed.
func (p *Pool) release(c *call) {
	delete(p.calls, c.attempt)
	c.timer.Stop()
	if c.conn != nil && c.conn.call == c {
		c.conn.call = nil
		c.conn.conn.Close(errCallCanceled)
	}
}

// end releases a call and reports its outcome, unless it has ended already.
func (p *Pool) end(c *call, o lifecycle.Outcome, reply []byte) {
	if p.calls[c.attempt] != c {
		return
	}
	p.release(c)
	p.sink.CallEnded(c.attempt, o, reply, p.loop.Now()-c.startedAt)
}
