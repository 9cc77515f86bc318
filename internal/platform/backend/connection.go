package backend

import (
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
)

// connection is a connection with at most one call on it. It implements eventloop.Handler.
type connection struct {
	pool      *Pool
	conn      *eventloop.Conn
	call      *call          // nil: it is idle
	address   netip.AddrPort // address of the back end that was dialed
	idleSince time.Duration
	uncounted bool // it no longer counts in Pool.open
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {}

// Data implements eventloop.Handler.
func (c *connection) Data(b []byte) (int, error) { return c.readReply(b) }

// End implements eventloop.Handler.
func (c *connection) End() bool { return false }

// Closed implements eventloop.Handler. Only a refused connection proves that its call never ran.
func (c *connection) Closed(err error) {
	p := c.pool
	if !c.uncounted {
		p.open--
	}
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	call := c.call
	if call == nil {
		return
	}
	c.call = nil
	var refused *eventloop.ConnectionRefusedError
	if errors.As(err, &refused) {
		p.end(call, lifecycle.Unreachable, nil)
	} else {
		p.end(call, lifecycle.Interrupted, nil)
	}
}

// readReply reads the reply to the call. The connection is kept only if no input is left on it, since
// that input would be read as the next reply.
func (c *connection) readReply(b []byte) (used int, err error) {
	if c.call == nil {
		return 0, errUnexpectedReply
	}
	r, used, err := parseReply(b)
	if err != nil || used == 0 {
		return 0, err
	}
	p, call := c.pool, c.call
	c.call = nil
	reusable := r.keepAlive && used == len(b) && c.address == p.addr
	if reusable && len(p.idle) < maxIdleConnections {
		c.idleSince = p.loop.Now()
		p.idle = append(p.idle, c)
	} else {
		c.conn.Close(nil)
	}
	p.end(call, outcomeOf(r), r.body)
	p.abandonOvertaken(call)
	return used, nil
}

// outcomeOf returns the outcome of a call for its reply. Only a rejection proves that the call never
// ran.
func outcomeOf(r reply) lifecycle.Outcome {
	switch {
	case r.status == http.StatusOK:
		return lifecycle.Succeeded
	case r.status == http.StatusServiceUnavailable && r.rejected:
		return lifecycle.CallRejected
	case r.status == http.StatusConflict && r.rejected:
		return lifecycle.NotStarted
	case r.status == http.StatusGatewayTimeout:
		return lifecycle.TimedOut
	}
	return lifecycle.Faulted
}
