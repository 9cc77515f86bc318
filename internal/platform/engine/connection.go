package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"ryepaddle/internal/eventloop"
)

// connection is one connection to the engine. There are two while a new connection is established
// beside the current one. It implements eventloop.Handler.
type connection struct {
	link      *Link
	conn      *eventloop.Conn
	startedAt time.Duration // when it was dialed; once it is established, when it was established
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {
	link := c.link
	if link.dialing != c {
		c.conn.Close(nil)
		return
	}
	old := link.current
	link.current = c
	link.dialing = nil
	c.startedAt = link.loop.Now()
	if old != nil { // the engine resends its unread notices on the new connection
		old.conn.Close(nil)
		link.connectionLost()
	}
	link.state = stateAttaching
	link.write(attachCommand{Type: typeAttach, LastNotice: link.lastNotice})
}

// End implements eventloop.Handler.
func (c *connection) End() bool { return false }

// Closed implements eventloop.Handler.
func (c *connection) Closed(err error) {
	link := c.link
	switch c {
	case link.current:
		eventLinkLost.Log(err)
		link.current = nil
		link.state = stateDown
		link.connectionLost()
		// A connection that lasted longer than redialDelay is replaced at once, since runs of the
		// engine wait for their calls. After one that broke sooner, the next is dialed after a delay.
		if link.loop.Now()-c.startedAt > redialDelay {
			link.loop.Post(link.redial)
		} else {
			link.loop.After(redialDelay, link.redial)
		}
	case link.dialing:
		link.dialing = nil
		link.loop.After(redialDelay, link.redial)
	}
}

// Data implements eventloop.Handler.
func (c *connection) Data(b []byte) (used int, err error) {
	link := c.link
	for {
		i := bytes.IndexByte(b[used:], '\n')
		if i < 0 || c.conn.IsClosed() || link.current != c {
			return used, nil
		}
		line := b[used : used+i]
		used += i + 1
		var m notice
		if err := json.Unmarshal(line, &m); err != nil {
			if link.unreadableAfter == link.lastNotice { // the line recurred on a new connection
				eventNoticeInvalid.Log(link.lastNotice, err)
				continue
			}
			link.unreadableAfter = link.lastNotice
			return used, fmt.Errorf("decode a notice: %w", err)
		}
		if err := link.handle(&m); err != nil {
			return used, err
		}
	}
}
