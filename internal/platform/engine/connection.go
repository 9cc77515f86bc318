package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"ryepaddle/internal/eventloop"
)

// connection is one connection to the engine. There are two while a new one is dialed beside the current
// one. It implements eventloop.Handler.
type connection struct {
	link      *Link
	conn      *eventloop.Conn
	startedAt time.Duration // when it was dialed, and then established
}

// Connected implements eventloop.Handler.
func (w *connection) Connected() {
	k := w.link
	if k.dialing != w {
		w.conn.Close(nil)
		return
	}
	old := k.current
	k.current, k.dialing, w.startedAt = w, nil, k.loop.Now()
	if old != nil { // its unread notices are sent again on the new connection
		old.conn.Close(nil)
		k.connectionLost()
	}
	k.state = stateAttaching
	k.write(attachCommand{Type: typeAttach, LastNotice: k.lastNotice})
}

// End implements eventloop.Handler.
func (w *connection) End() bool { return false }

// Closed implements eventloop.Handler.
func (w *connection) Closed(err error) {
	k := w.link
	switch w {
	case k.current:
		eventLinkLost.Log(err)
		k.current, k.state = nil, stateDown
		k.connectionLost()
		// A connection that was established is replaced at once, since runs of the engine wait for
		// their calls; one that broke at once is dialed again after a delay.
		if k.loop.Now()-w.startedAt > redialDelay {
			k.loop.Post(k.redial)
		} else {
			k.loop.After(redialDelay, k.redial)
		}
	case k.dialing:
		k.dialing = nil
		k.loop.After(redialDelay, k.redial)
	}
}

// Data implements eventloop.Handler.
func (w *connection) Data(b []byte) (used int, err error) {
	k := w.link
	for {
		i := bytes.IndexByte(b[used:], '\n')
		if i < 0 || w.conn.IsClosed() || k.current != w {
			return used, nil
		}
		line := b[used : used+i]
		used += i + 1
		var m notice
		if err := json.Unmarshal(line, &m); err != nil {
			if k.unreadableAfter == k.lastNotice { // it recurs on a new connection
				eventNoticeUnread.Log(k.lastNotice, err)
				continue
			}
			k.unreadableAfter = k.lastNotice
			return used, fmt.Errorf("notice: %w", err)
		}
		if err := k.handle(&m); err != nil {
			return used, err
		}
	}
}
