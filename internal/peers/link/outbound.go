package link

import (
	"errors"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/peers/framing"
)

// outboundLink is a connection on which this runner sends to a peer.
type outboundLink struct {
	transport *Transport
	peer      Peer
	conn      *eventloop.Conn // nil: not connected
	connected bool
	nextDial  time.Duration
	lastUsed  time.Duration
	// failed is set when the last connection failed, until another one is established. downLogged is set
	// once the failure was logged.
	failed     bool
	downLogged bool
}

// send sends a message and opens a connection if there is none. The message is dropped if the last dial
// is less than redialInterval ago or if the queue is over maxQueuedBytes.
func (l *outboundLink) send(f *Frame) {
	now := l.transport.loop.Now()
	if l.conn == nil && now >= l.nextDial {
		l.nextDial = now + redialInterval
		l.dial()
	}
	if l.conn == nil || l.conn.QueuedBytes() > maxQueuedBytes {
		l.transport.Dropped++
		return
	}
	l.lastUsed = now
	l.write(f)
}

// dial opens the connection and sends the Hello. A connection that is not established within
// connectTimeout is closed, and the next message opens another one: the operating system's own retries
// may come long after the peer's machine is back.
func (l *outboundLink) dial() {
	limits := eventloop.BufferLimits{
		In:  minBufferBytes,
		Out: maxQueuedBytes + framing.HeaderSize + maxFrameBytes,
	}
	conn := l.transport.loop.Dial(l.peer.Addr, limits, l)
	l.conn = conn
	l.transport.loop.After(connectTimeout, func() {
		if l.conn == conn && !l.connected {
			conn.Close(errConnectTimeout)
		}
	})
	cfg := &l.transport.cfg
	l.write(&Frame{Hello: &Hello{Installation: cfg.Installation, Name: cfg.Name, Version: formatVersion}})
}

func (l *outboundLink) write(f *Frame) {
	b, err := AppendFrame(nil, f)
	if err != nil {
		eventLinkDown.Log(l.peer.Name, err)
		return
	}
	l.conn.Write(b)
}

// Connected implements eventloop.Handler.
func (l *outboundLink) Connected() {
	l.connected = true
	l.downLogged = false
	l.failed = false
	eventLinkUp.Log(l.peer.Name)
}

// Data implements eventloop.Handler. It closes the link, as a peer sends on a connection of its own.
func (l *outboundLink) Data([]byte) (int, error) { return 0, errUnexpectedData }

// End implements eventloop.Handler.
func (l *outboundLink) End() bool { return false }

// Closed implements eventloop.Handler.
func (l *outboundLink) Closed(err error) {
	if l.connected || !l.downLogged {
		l.downLogged = true
		eventLinkDown.Log(l.peer.Name, err)
	}
	l.conn, l.connected, l.failed = nil, false, !errors.Is(err, errIdle)
}
