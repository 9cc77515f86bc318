package platform

import (
	"errors"
	"fmt"
	"strconv"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/fastcgi"
)

// connectionState is what a connection still takes from its peer. It only ever moves on.
type connectionState uint8

const (
	stateAccepting connectionState = iota // any request
	// no new request; those that have begun are read and answered, then the connection is left
	stateFinishing
	// nothing, as what came cannot be read; what is owed is answered, then it is left
	stateDiscarding
)

// connection is one connection of a balancer.
type connection struct {
	*eventloop.Conn
	frontend           *Frontend
	state              connectionState
	open               map[uint16]*exchange
	incompleteBytes    int   // bytes of requests that have not come whole
	acceptedAt         int64 // when it was taken
	usedAt             int64 // when a record last came whole or was answered
	partialRecordSince int64 // since when a part of a record waits for its rest; 0: there is none
	hasRequested       bool  // a whole request has come
	peerClosed         bool  // the peer sends no more
	inData             bool  // records are being taken from what has come
}

// advanceTo takes less from the peer from now on.
func (c *connection) advanceTo(state connectionState) { c.state = max(c.state, state) }

// discard takes nothing more from the peer. What it goes on to send waits in the system's buffers
// until the connection is left.
func (c *connection) discard() {
	c.advanceTo(stateDiscarding)
	c.Pause(true)
}

// releaseIncomplete gives back what is held of requests that have not come whole.
func (c *connection) releaseIncomplete() {
	for _, x := range c.open {
		x.release()
	}
}

// dropIncomplete forgets the requests that have not come whole. Nothing is owed to them.
func (c *connection) dropIncomplete() {
	for id, x := range c.open {
		if !x.submitted {
			x.release()
			delete(c.open, id)
		}
	}
}

// rejectIncomplete turns away the requests that have not come whole. None of them ran.
func (c *connection) rejectIncomplete() {
	for _, x := range c.open {
		if !x.submitted {
			x.submitted = true
			x.finish(nil, fastcgi.Overloaded)
		}
	}
}

// owesAnswer tells whether an answer is still to go out on the connection.
func (c *connection) owesAnswer() bool {
	for _, x := range c.open {
		if x.submitted {
			return true
		}
	}
	return false
}

// isReceiving tells whether a request has begun to come and is not whole.
func (c *connection) isReceiving() bool {
	return c.partialRecordSince != 0 || len(c.open) > 0 && !c.allSubmitted()
}

func (c *connection) allSubmitted() bool {
	for _, x := range c.open {
		if !x.submitted {
			return false
		}
	}
	return true
}

// isOverdue tells whether a request on the connection has begun and does not go on to its end, or
// none comes at all. That something comes is not enough: a peer that sends a byte now and then
// would hold its place for good.
func (c *connection) isOverdue(now int64) bool {
	if !c.hasRequested && now-c.acceptedAt > firstRequestTimeout && (!c.isReceiving() || now-c.acceptedAt > firstRequestTimeout+readTimeout) {
		return true
	}
	if c.partialRecordSince != 0 && now-c.partialRecordSince > readTimeout {
		return true
	}
	for _, x := range c.open {
		if !x.submitted && now-x.beganAt > readTimeout {
			return true
		}
	}
	return false
}

// closeIfDone leaves the connection once nothing more is to come of it. What is owed goes out
// before; a request that has begun to come may still come whole, unless the peer cannot send the
// rest.
func (c *connection) closeIfDone() {
	switch {
	case c.inData || c.owesAnswer() || c.IsClosing() || c.IsClosed():
	case c.state == stateDiscarding || c.peerClosed:
		c.CloseGracefully()
	case c.state == stateFinishing && len(c.open) == 0:
		c.CloseGracefully()
	case c.frontend.draining && len(c.open) == 0 && (c.frontend.closesAtOnce() || c.partialRecordSince == 0 && !c.HasUnreadInput()):
		c.CloseGracefully()
	}
}

// Connected implements loop.Handler.
func (c *connection) Connected() {}

// Data implements loop.Handler.
func (c *connection) Data(b []byte) (used int, err error) {
	c.inData = true
	used = c.readRecords(b)
	c.inData = false
	if c.IsClosed() {
		return used, nil
	}
	switch rest := len(b) - used; {
	case rest == 0:
		c.partialRecordSince = 0
	case c.partialRecordSince == 0 || used > 0:
		c.partialRecordSince = c.frontend.loop.Now().Microseconds()
	}
	c.closeIfDone()
	return used, nil
}

// readRecords takes all whole records from the front of b, and gives how much of b is used up.
func (c *connection) readRecords(b []byte) (used int) {
	for !c.IsClosed() {
		if c.state == stateDiscarding || c.IsClosing() {
			return len(b)
		}
		rec, n, err := fastcgi.Read(b[used:], maxRecordBytes)
		if err == nil && n == 0 {
			return used
		}
		if err == nil {
			used += n
			c.usedAt = c.frontend.loop.Now().Microseconds()
			err = c.handleRecord(rec)
		}
		// earlier requests on the connection were read, and are owed their answers all the same
		if err != nil {
			eventBadRecord.Log(err)
			c.dropIncomplete()
			c.discard()
		}
	}
	return used
}

// End implements loop.Handler. A peer may stop sending and still wait for its answers.
func (c *connection) End() bool {
	c.peerClosed = true
	return c.owesAnswer()
}

// Closed implements loop.Handler.
func (c *connection) Closed(err error) {
	if errors.Is(err, eventloop.ErrSlowPeer) {
		eventSlowReader.Log(len(c.open), err)
	}
	c.releaseIncomplete()
	delete(c.frontend.connections, c)
	open := c.open
	c.open = nil
	for _, x := range open {
		if x.submitted {
			c.frontend.manager.Abandon(x.ticket)
		}
	}
}

func (c *connection) handleRecord(rec fastcgi.Record) error {
	if rec.ID == 0 {
		return c.handleManagement(rec)
	}
	x := c.open[rec.ID]
	switch {
	case rec.Type == fastcgi.BeginRequest && x == nil:
		return c.beginRequest(rec)
	case rec.Type == fastcgi.BeginRequest:
		return fmt.Errorf("request %d begins twice", rec.ID)
	case x == nil: // of a request that is over
	case rec.Type == fastcgi.AbortRequest:
		x.abort()
	case rec.Type == fastcgi.Params && !x.paramsComplete:
		if x.paramsComplete = len(rec.Content) == 0; len(x.params)+len(rec.Content) > maxParamsBytes {
			return errors.New("parameters over their limit")
		}
		x.appendPart(&x.params, rec.Content)
	case rec.Type == fastcgi.Stdin && x.paramsComplete && !x.submitted:
		switch {
		case len(rec.Content) == 0:
			x.submit()
		case len(x.body)+len(rec.Content) > maxBodyBytes: // its end may never come
			x.submitted = true
			x.reject(413, errors.New("body over its limit"))
		default:
			x.appendPart(&x.body, rec.Content)
		}
	}
	return nil
}

// handleManagement answers records that are about the connection. Those of unknown types get told so.
func (c *connection) handleManagement(rec fastcgi.Record) error {
	if rec.Type != fastcgi.GetValues {
		c.Write(fastcgi.Append(nil, fastcgi.UnknownType, 0, []byte{rec.Type, 0, 0, 0, 0, 0, 0, 0}))
		return nil
	}
	var out []byte
	err := fastcgi.ReadPairs(rec.Content, func(name, _ string) {
		switch name {
		case "FCGI_MAX_CONNS", "FCGI_MAX_REQS":
			out = fastcgi.AppendPair(out, name, strconv.Itoa(maxRequestsPerConnection))
		case "FCGI_MPXS_CONNS":
			out = fastcgi.AppendPair(out, name, "1")
		}
	})
	c.Write(fastcgi.Append(nil, fastcgi.GetValuesResult, 0, out))
	return err
}

func (c *connection) beginRequest(rec fastcgi.Record) error {
	v, err := fastcgi.ReadBegin(rec.Content)
	switch {
	case err != nil:
		return err
	case v.Role != fastcgi.Responder:
		c.advanceTo(stateFinishing)
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.UnknownRole))
	case c.state != stateAccepting || len(c.open) >= maxRequestsPerConnection: // it never ran, and may come on another connection
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.Overloaded))
	default:
		c.open[rec.ID] = &exchange{
			conn:           c,
			id:             rec.ID,
			keepConnection: v.KeepConnection,
			beganAt:        c.frontend.loop.Now().Microseconds(),
		}
	}
	return nil
}
