package platform

import (
	"errors"
	"fmt"
	"strconv"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/fastcgi"
)

// connState is what a connection still takes from its peer. It only ever moves on.
type connState uint8

const (
	accepting connState = iota // any request
	// no new request; those that have begun are read and answered, then the connection is left
	finishing
	// nothing, as what came cannot be read; what is owed is answered, then it is left
	discarding
)

// conn is one connection of a balancer.
type conn struct {
	*eventloop.Conn
	front   *Frontend
	state   connState
	open    map[uint16]*exchange
	partial int   // bytes of requests that have not come whole
	began   int64 // when it was taken
	used    int64 // when a record last came whole or was answered
	partAt  int64 // since when a part of a record waits for its rest; 0: there is none
	asked   bool  // a whole request has come
	ended   bool  // the peer sends no more
	reading bool  // records are being taken from what has come
}

// moveTo takes less from the peer from now on.
func (c *conn) moveTo(state connState) { c.state = max(c.state, state) }

// discard takes nothing more from the peer. What it goes on to send waits in the system's buffers
// until the connection is left.
func (c *conn) discard() {
	c.moveTo(discarding)
	c.Pause(true)
}

// forget gives back what is held of requests that have not come whole.
func (c *conn) forget() {
	for _, x := range c.open {
		x.forget()
	}
}

// dropUnread forgets the requests that have not come whole. Nothing is owed to them.
func (c *conn) dropUnread() {
	for id, x := range c.open {
		if !x.sent {
			x.forget()
			delete(c.open, id)
		}
	}
}

// refuseUnread turns away the requests that have not come whole. None of them ran.
func (c *conn) refuseUnread() {
	for _, x := range c.open {
		if !x.sent {
			x.sent = true
			x.finish(nil, fastcgi.Overloaded)
		}
	}
}

// owed tells whether an answer is still to go out on the connection.
func (c *conn) owed() bool {
	for _, x := range c.open {
		if x.sent {
			return true
		}
	}
	return false
}

// receiving tells whether a request has begun to come and is not whole.
func (c *conn) receiving() bool { return c.partAt != 0 || len(c.open) > 0 && !c.allSent() }

func (c *conn) allSent() bool {
	for _, x := range c.open {
		if !x.sent {
			return false
		}
	}
	return true
}

// overdue tells whether a request on the connection has begun and does not go on to its end, or
// none comes at all. That something comes is not enough: a peer that sends a byte now and then
// would hold its place for good.
func (c *conn) overdue(now int64) bool {
	if !c.asked && now-c.began > askWithin && (!c.receiving() || now-c.began > askWithin+readWithin) {
		return true
	}
	if c.partAt != 0 && now-c.partAt > readWithin {
		return true
	}
	for _, x := range c.open {
		if !x.sent && now-x.began > readWithin {
			return true
		}
	}
	return false
}

// leaveIfDone leaves the connection once nothing more is to come of it. What is owed goes out
// before; a request that has begun to come may still come whole, unless the peer cannot send the
// rest.
func (c *conn) leaveIfDone() {
	switch {
	case c.reading || c.owed() || c.IsClosing() || c.IsClosed():
	case c.state == discarding || c.ended:
		c.CloseGracefully()
	case c.state == finishing && len(c.open) == 0:
		c.CloseGracefully()
	case c.front.leaving && len(c.open) == 0 && (c.front.leavesAtOnce() || c.partAt == 0 && !c.HasUnreadInput()):
		c.CloseGracefully()
	}
}

// Connected implements loop.Handler.
func (c *conn) Connected() {}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) (used int, err error) {
	c.reading = true
	used = c.takeRecords(b)
	c.reading = false
	if c.IsClosed() {
		return used, nil
	}
	switch rest := len(b) - used; {
	case rest == 0:
		c.partAt = 0
	case c.partAt == 0 || used > 0:
		c.partAt = c.front.loop.Now().Microseconds()
	}
	c.leaveIfDone()
	return used, nil
}

// takeRecords takes all whole records from the front of b, and gives how much of b is used up.
func (c *conn) takeRecords(b []byte) (used int) {
	for !c.IsClosed() {
		if c.state == discarding || c.IsClosing() {
			return len(b)
		}
		rec, n, err := fastcgi.Read(b[used:], maxRecord)
		if err == nil && n == 0 {
			return used
		}
		if err == nil {
			used += n
			c.used = c.front.loop.Now().Microseconds()
			err = c.record(rec)
		}
		// earlier requests on the connection were read, and are owed their answers all the same
		if err != nil {
			evBadRecord.Log(err)
			c.dropUnread()
			c.discard()
		}
	}
	return used
}

// End implements loop.Handler. A peer may stop sending and still wait for its answers.
func (c *conn) End() bool {
	c.ended = true
	return c.owed()
}

// Closed implements loop.Handler.
func (c *conn) Closed(err error) {
	if errors.Is(err, eventloop.ErrSlowPeer) {
		evSlow.Log(len(c.open), err)
	}
	c.forget()
	delete(c.front.conns, c)
	open := c.open
	c.open = nil
	for _, x := range open {
		if x.sent {
			c.front.core.Abandon(x.ticket)
		}
	}
}

func (c *conn) record(rec fastcgi.Record) error {
	if rec.ID == 0 {
		return c.manage(rec)
	}
	x := c.open[rec.ID]
	switch {
	case rec.Type == fastcgi.BeginRequest && x == nil:
		return c.begin(rec)
	case rec.Type == fastcgi.BeginRequest:
		return fmt.Errorf("request %d begins twice", rec.ID)
	case x == nil: // of a request that is over
	case rec.Type == fastcgi.AbortRequest:
		x.abort()
	case rec.Type == fastcgi.Params && !x.whole:
		if x.whole = len(rec.Content) == 0; len(x.params)+len(rec.Content) > maxParams {
			return errors.New("parameters over their limit")
		}
		x.add(&x.params, rec.Content)
	case rec.Type == fastcgi.Stdin && x.whole && !x.sent:
		switch {
		case len(rec.Content) == 0:
			x.read()
		case len(x.body)+len(rec.Content) > maxBody: // its end may never come
			x.sent = true
			x.reject(413, errors.New("body over its limit"))
		default:
			x.add(&x.body, rec.Content)
		}
	}
	return nil
}

// manage answers records that are about the connection. Those of unknown types get told so.
func (c *conn) manage(rec fastcgi.Record) error {
	if rec.Type != fastcgi.GetValues {
		c.Write(fastcgi.Append(nil, fastcgi.UnknownType, 0, []byte{rec.Type, 0, 0, 0, 0, 0, 0, 0}))
		return nil
	}
	var out []byte
	err := fastcgi.ReadPairs(rec.Content, func(name, _ string) {
		switch name {
		case "FCGI_MAX_CONNS", "FCGI_MAX_REQS":
			out = fastcgi.AppendPair(out, name, strconv.Itoa(maxOpen))
		case "FCGI_MPXS_CONNS":
			out = fastcgi.AppendPair(out, name, "1")
		}
	})
	c.Write(fastcgi.Append(nil, fastcgi.GetValuesResult, 0, out))
	return err
}

func (c *conn) begin(rec fastcgi.Record) error {
	v, err := fastcgi.ReadBegin(rec.Content)
	switch {
	case err != nil:
		return err
	case v.Role != fastcgi.Responder:
		c.moveTo(finishing)
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.UnknownRole))
	case c.state != accepting || len(c.open) >= maxOpen: // it never ran, and may come on another connection
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.Overloaded))
	default:
		c.open[rec.ID] = &exchange{
			conn:  c,
			id:    rec.ID,
			keep:  v.KeepConnection,
			began: c.front.loop.Now().Microseconds(),
		}
	}
	return nil
}
