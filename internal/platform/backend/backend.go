// Package backend places the calls of running requests at the back end that all runners share:
// HTTP/1.1, one call at a time on a connection. Closing the connection gives the call up.
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

// MaxConnections is how many connections a pool opens at once, unless it is told of fewer.
const MaxConnections = 64

const (
	maxIdle = 8
	// the back end closes at 10 s or earlier; a call that crosses such a close proves nothing
	keepIdle  = 2_000_000
	sweepIdle = 500_000
)

// Sink gets the ends of calls.
type Sink interface {
	CallEnded(a *lifecycle.Attempt, o lifecycle.Outcome, reply []byte, took time.Duration)
}

// Pool owns the connections to the back end.
type Pool struct {
	loop  *eventloop.Loop
	addr  netip.AddrPort
	sink  Sink
	calls map[*lifecycle.Attempt]*call
	idle  []*conn // the one used last is at the end
	open  int
	most  int     // connections at once
	last  int64   // number of the last call
	mean  float64 // microseconds that a call took of late
}

// call is one call that is out.
type call struct {
	attempt   *lifecycle.Attempt
	number    int64
	began     int64
	overtaken int // replies to later calls that came before its own
	timer     *eventloop.Timer
	conn      *conn
}

// conn is a connection with at most one call on it.
type conn struct {
	pool *Pool
	lc   *eventloop.Conn
	call *call
	addr netip.AddrPort // where it leads
	idle int64          // since when
	gone bool           // it no longer counts among the open ones
}

// New makes a pool for the back end at addr.
func New(l *eventloop.Loop, addr netip.AddrPort) *Pool {
	return &Pool{loop: l, addr: addr, most: MaxConnections, calls: map[*lifecycle.Attempt]*call{}}
}

// SetMaxConnections says how many connections may be open at once from now on. Those that are open stay.
func (p *Pool) SetMaxConnections(most int) { p.most = min(most, MaxConnections) }

// Start names where the ends of calls go.
func (p *Pool) Start(sink Sink) {
	p.sink = sink
	p.loop.Every(time.Duration(sweepIdle)*time.Microsecond, func() {
		for len(p.idle) > 0 && p.loop.Now().Microseconds()-p.idle[0].idle > keepIdle {
			p.idle[0].lc.Close(nil)
			p.idle = p.idle[1:]
		}
	})
}

// SetAddress places calls at another address from now on. Those that are out may end where they are; a
// connection to the old address carries no further one. A call whose connection does not stand yet
// was not sent, and ends as one that nobody took: the old address may never answer.
func (p *Pool) SetAddress(addr netip.AddrPort) {
	if addr == p.addr {
		return
	}
	p.addr = addr
	idle := p.idle
	p.idle = nil
	for _, n := range idle {
		n.lc.Close(nil)
	}
	var unsent []*call // the end of one may place another
	for _, c := range p.calls {
		if c.unsent() {
			unsent = append(unsent, c)
		}
	}
	slices.SortFunc(unsent, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, c := range unsent {
		p.end(c, lifecycle.Unreachable, nil)
	}
}

// unsent tells whether nothing of a call can have reached the back end.
func (c *call) unsent() bool { return c.conn != nil && c.conn.call == c && c.conn.lc.IsConnecting() }

// outOfTime ends a call whose time is up.
func (p *Pool) outOfTime(c *call) {
	if c.unsent() {
		p.end(c, lifecycle.Unreachable, nil)
		return
	}
	p.end(c, lifecycle.TimedOut, nil)
}

// Call implements lifecycle.Dependency.
func (p *Pool) Call(a *lifecycle.Attempt, body []byte, patience time.Duration) {
	p.CancelCall(a)
	p.last++
	c := &call{attempt: a, number: p.last, began: p.loop.Now().Microseconds()}
	p.calls[a] = c
	c.timer = p.loop.After(patience, func() { p.outOfTime(c) })
	if a.Idempotent {
		c.conn = p.take()
	} else if p.open >= p.most {
		p.drop()
	}
	// A connection that was idle may be dead without a sign, and that it breaks under the call
	// proves nothing. Where the call may be made again that costs a little time; one with an effect
	// would be lost, and gets a fresh connection.
	if c.conn != nil {
		// it stands
	} else if p.open < p.most {
		c.conn = &conn{pool: p, addr: p.addr}
		p.open++
		c.conn.lc = p.loop.Dial(
			p.addr,
			eventloop.BufferLimits{In: httpmessage.MaxHeadBytes + maxBody, Out: maxBody},
			c.conn,
		)
	} else {
		p.loop.Post(func() { p.end(c, lifecycle.CallRejected, nil) }) // nothing was sent
		return
	}
	c.conn.call = c
	c.conn.lc.Write(request(p.addr.String(), a.Request.ID, patience.Microseconds(), body))
}

// take is the idle connection that was used last, if one still stands. On one that is not quiet,
// something came behind the last reply; it would be taken for the next.
func (p *Pool) take() *conn {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.lc.IsIdle() {
			return c
		}
		c.lc.Close(errors.New("not quiet while it was idle"))
	}
	return nil
}

// drop closes the connection that was idle for longest.
func (p *Pool) drop() {
	if len(p.idle) > 0 {
		n := p.idle[0]
		p.idle = p.idle[1:]
		p.open-- // its place is free from now on
		n.gone = true
		n.lc.Close(nil)
	}
}

// request writes a call. The wait is stated in whole milliseconds, not longer than it is.
func request(host, name string, patience int64, body []byte) []byte {
	return fmt.Appendf(
		nil,
		"POST /rpc/call HTTP/1.1\r\nHost: %s\r\nParent-Call: %s\r\nDeadline-Ms: %d\r\nContent-Length: "+
			"%d\r\n\r\n%s",
		host,
		name,
		max(patience/1000, 1),
		len(body),
		body,
	)
}

// CancelCall implements lifecycle.Dependency.
func (p *Pool) CancelCall(a *lifecycle.Attempt) {
	if c := p.calls[a]; c != nil {
		p.forget(c)
	}
}

// forget is the one place where a call is given back. A connection on which it still stands is
// closed.
func (p *Pool) forget(c *call) {
	delete(p.calls, c.attempt)
	c.timer.Stop()
	if c.conn != nil && c.conn.call == c {
		c.conn.call = nil
		c.conn.lc.Close(errors.New("call given up"))
	}
}

func (p *Pool) end(c *call, o lifecycle.Outcome, reply []byte) {
	if p.calls[c.attempt] != c {
		return
	}
	p.forget(c)
	p.sink.CallEnded(c.attempt, o, reply, time.Duration(p.loop.Now().Microseconds()-c.began)*time.Microsecond)
}

// Connected implements loop.Handler.
func (n *conn) Connected() {}

// Data implements loop.Handler.
func (n *conn) Data(b []byte) (int, error) { return n.take(b, false) }

// End implements loop.Handler.
func (n *conn) End() bool { return false }

// Closed implements loop.Handler.
func (n *conn) Closed(err error) {
	p := n.pool
	if !n.gone {
		p.open--
	}
	for i, o := range p.idle {
		if o == n {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	c := n.call
	if c == nil {
		return
	}
	n.call = nil
	// Only a refused connection proves that the call never ran; one that broke may have carried it.
	var refused *eventloop.ConnectionRefusedError
	if errors.As(err, &refused) {
		p.end(c, lifecycle.Unreachable, nil)
	} else {
		p.end(c, lifecycle.Interrupted, nil)
	}
}

func (n *conn) take(b []byte, end bool) (int, error) {
	if n.call == nil {
		return 0, errors.New("reply to no call")
	}
	r, used, err := readReply(b, end)
	if err != nil || used == 0 {
		return 0, err
	}
	c := n.call
	n.call = nil
	// What is left over belongs to no call, and the next one's reply would be looked for behind it.
	if r.keep && used == len(b) && n.addr == n.pool.addr && len(n.pool.idle) < maxIdle {
		n.idle = n.pool.loop.Now().Microseconds()
		n.pool.idle = append(n.pool.idle, n)
	} else {
		n.lc.Close(nil)
	}
	n.pool.end(c, outcome(r), r.body)
	n.pool.replied(c)
	return used, nil
}

// What tells a reply that never comes from one that is slow.
const (
	overtakenBy = 8 // later calls were replied to
	slowTimes   = 8 // so many mean times of a call
	effectTimes = 2 // both longer for a call that may not be made again
	learn       = 0.05
)

// replied notes that a call came back, and gives up earlier ones that must have been lost on the
// way. Each of them would hold a place in the share of the back end to its request's due time, and
// the rest would stand in line. Where the back end itself is slow, its later calls are as slow, and
// none is overtaken.
func (p *Pool) replied(by *call) {
	if took := float64(p.loop.Now().Microseconds() - by.began); p.mean == 0 {
		p.mean = took
	} else {
		p.mean += learn * (took - p.mean)
	}
	var lost []*call
	for _, c := range p.calls {
		if c.number > by.number {
			continue
		}
		times := 1
		if !c.attempt.Idempotent {
			times = effectTimes
		}
		c.overtaken++
		if c.overtaken >= overtakenBy*times &&
			float64(p.loop.Now().Microseconds()-c.began) > p.mean*float64(slowTimes*times) {
			lost = append(lost, c)
		}
	}
	for _, c := range lost { // it may have run
		p.end(c, lifecycle.Interrupted, nil)
	}
}

func outcome(r reply) lifecycle.Outcome {
	switch {
	case r.status == 200:
		return lifecycle.Succeeded
	case r.status == 503 && r.turnedAway:
		return lifecycle.CallRejected
	case r.status == 409 && r.turnedAway:
		return lifecycle.NotStarted
	case r.status == 504:
		return lifecycle.TimedOut
	}
	return lifecycle.Faulted
}
