package platform

import (
	"errors"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/fastcgi"
)

// connectionState is what a connection still accepts from its peer. It only ever advances.
type connectionState uint8

const (
	stateAccepting connectionState = iota // any request
	stateFinishing                        // no new request; begun ones are read and answered
	// nothing, since the boundaries of records are not known any more; answers are still sent
	stateDiscarding
)

func (s connectionState) String() string {
	switch s {
	case stateFinishing:
		return "finishing"
	case stateDiscarding:
		return "discarding"
	}
	return "accepting"
}

// connection is one connection of a balancer. It implements eventloop.Handler.
type connection struct {
	*eventloop.Conn
	frontend        *Frontend
	state           connectionState
	open            map[uint16]*exchange // by request ID of FastCGI
	incompleteBytes int                  // of requests that are not complete
	acceptedAt      time.Duration
	usedAt          time.Duration // when a record last arrived completely, or a request was last answered
	// partialRecordSince is when the first bytes of an incomplete record arrived; 0: there is none.
	partialRecordSince time.Duration
	// finishedAt is when the connection could first have been closed in stateFinishing; 0: not yet.
	finishedAt     time.Duration
	skipBytes      int  // of a record over its limit that are still to be skipped
	hasRequested   bool // a complete request arrived
	peerClosed     bool // the peer sends no more
	probed         bool // probePeer has sent its probe
	readingRecords bool // Data is running, which calls closeIfDone itself
}

// advanceTo moves to a state that accepts less.
func (c *connection) advanceTo(state connectionState) { c.state = max(c.state, state) }

// discard stops reading. Further input stays in the buffers of the system until the connection is
// closed.
func (c *connection) discard() {
	c.advanceTo(stateDiscarding)
	c.SetPaused(true)
}

// releaseIncomplete releases the buffers of incomplete requests.
func (c *connection) releaseIncomplete() {
	for _, x := range c.open {
		x.release()
	}
}

// dropIncomplete drops the incomplete requests without an answer.
func (c *connection) dropIncomplete() {
	for id, x := range c.open {
		if !x.submitted {
			x.release()
			delete(c.open, id)
		}
	}
}

// rejectIncomplete rejects the incomplete requests. None of them ran.
func (c *connection) rejectIncomplete() {
	for _, x := range c.open {
		if !x.submitted {
			x.submitted = true
			x.finish(nil, fastcgi.Overloaded)
		}
	}
}

// hasUnanswered reports whether a request on the connection awaits its answer.
func (c *connection) hasUnanswered() bool {
	for _, x := range c.open {
		if x.submitted {
			return true
		}
	}
	return false
}

// isReceiving reports whether a request or a record has begun to arrive and is incomplete.
func (c *connection) isReceiving() bool {
	return c.partialRecordSince != 0 || c.hasIncomplete()
}

// hasIncomplete reports whether an open request is incomplete.
func (c *connection) hasIncomplete() bool {
	for _, x := range c.open {
		if !x.submitted {
			return true
		}
	}
	return false
}

// isSilent reports whether the first request has not begun to arrive in time.
func (c *connection) isSilent(now time.Duration) bool {
	return !c.hasRequested && !c.isReceiving() && now-c.acceptedAt > firstRequestTimeout
}

// rejectOverdue rejects the requests that have begun to arrive and are incomplete for too long. Further bytes
// do not extend their time. Other requests go on. If the balancer is stuck within a record, or has not
// completed any request, the connection accepts no further ones.
func (c *connection) rejectOverdue(now time.Duration) {
	for _, x := range c.open {
		if !x.submitted && now-x.beganAt > readTimeout {
			x.expire()
		}
	}
	isStuck := c.partialRecordSince != 0 && now-c.partialRecordSince > readTimeout
	neverRequested := !c.hasRequested && now-c.acceptedAt > firstRequestTimeout+readTimeout
	if !isStuck && !neverRequested {
		return
	}
	if c.state == stateAccepting {
		eventRequestTimeout.Log()
	}
	c.rejectIncomplete()
	c.advanceTo(stateFinishing)
	c.closeIfDone()
}

// closeGracefully closes the connection after the queued output. Input that was not handled by then is lost.
func (c *connection) closeGracefully() {
	if n := c.UnreadBytes(); n > 0 {
		eventInputUnread.Log(c.state, n)
	}
	c.CloseGracefully()
}

// closeIfDone closes the connection once it has no further use. Outstanding answers are sent first,
// and a request that has begun to arrive may still be completed, unless its rest cannot arrive.
func (c *connection) closeIfDone() {
	if c.readingRecords || c.hasUnanswered() || c.IsClosing() || c.IsClosed() {
		return
	}
	switch {
	case c.state == stateDiscarding || c.peerClosed:
		c.closeGracefully()
	case len(c.open) > 0: // a request may still be completed
	case c.state == stateFinishing:
		c.closeWhenRead()
	case c.frontend.draining:
		noInput := c.partialRecordSince == 0 && !c.HasUnreadInput()
		if c.frontend.closesWithUnreadInput() || noInput {
			c.closeGracefully()
		}
	}
}

// closeWhenRead closes a connection in stateFinishing. Requests that the balancer has just written are read
// and rejected first, for at most finishInputTime: a balancer that keeps sending is closed all the same.
func (c *connection) closeWhenRead() {
	now := c.frontend.loop.Now()
	if c.finishedAt == 0 {
		c.finishedAt = now
	}
	if !c.HasUnreadInput() || now-c.finishedAt > finishInputTime {
		c.closeGracefully()
	}
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {}

// Data implements eventloop.Handler.
func (c *connection) Data(b []byte) (used int, err error) {
	c.readingRecords = true
	used = c.readRecords(b)
	c.readingRecords = false
	if c.IsClosed() {
		return used, nil
	}
	switch {
	case used == len(b) && c.skipBytes == 0:
		c.partialRecordSince = 0
	case c.partialRecordSince == 0 || used > 0:
		c.partialRecordSince = c.frontend.loop.Now()
	}
	c.closeIfDone()
	return used, nil
}

// readRecords handles all complete records at the front of b and returns how many bytes they take.
func (c *connection) readRecords(b []byte) (used int) {
	for !c.IsClosed() {
		if c.state == stateDiscarding || c.IsClosing() {
			return len(b)
		}
		used += c.skip(b[used:])
		record, n, err := fastcgi.Read(b[used:], maxRecordBytes)
		var tooLong *fastcgi.RecordTooLongError
		switch {
		case errors.As(err, &tooLong):
			c.rejectRecord(tooLong)
			c.skipBytes = tooLong.Size
		case err != nil:
			// Requests that were complete before the malformed input are still answered.
			eventBadRecord.Log(err)
			c.dropIncomplete()
			c.discard()
		case n == 0:
			return used
		default:
			used += n
			c.usedAt = c.frontend.loop.Now()
			c.handleRecord(record)
		}
	}
	return used
}

// skip skips the part of a record over its limit that is at the front of b, and returns its size.
func (c *connection) skip(b []byte) int {
	n := min(c.skipBytes, len(b))
	c.skipBytes -= n
	return n
}

// End implements eventloop.Handler. A peer may stop sending and still wait for its answers.
func (c *connection) End() bool {
	c.peerClosed = true
	c.probePeer()
	return c.hasUnanswered()
}

// probePeer finds out whether a peer that has closed its side still reads: a peer that has closed both sides looks the
// same until something is written. The beginning of the answer to one of its requests is written, which is the same for
// all answers. A peer that does not read resets the connection, and its requests are abandoned.
func (c *connection) probePeer() {
	if c.probed {
		return
	}
	for _, x := range c.open {
		if x.submitted {
			c.probed = true
			x.statusBegun = true
			c.Write(fastcgi.Append(nil, fastcgi.Stdout, x.id, []byte(statusBeginning)))
			return
		}
	}
}

// Closed implements eventloop.Handler.
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
