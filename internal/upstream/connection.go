package upstream

import (
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

const (
	// maxPreconnectedAge is the greatest age at which a connection that was opened in advance is used:
	// servers close connections on which they receive nothing.
	maxPreconnectedAge = 2 * time.Second
	// maxBodyPart is the greatest size of one part of a request body that streams, in bytes.
	maxBodyPart = 128 << 10
	// packetHeaderBytes is the size of the header of a uwsgi packet, in bytes.
	packetHeaderBytes = 4
)

// connection is a connection to a server. It carries one request, or was opened in advance and
// waits for a request.
type connection struct {
	server      *server
	conn        *eventloop.Conn
	established bool
	dialedAt    time.Duration // monotonic
	exchange    *exchange     // nil: it has no exchange yet, or its exchange has abandoned it
}

// dial opens a connection to a server.
func (g *Group) dial(s *server) *connection {
	c := &connection{server: s, dialedAt: g.loop.Now()}
	limits := eventloop.BufferLimits{
		In: httpmessage.MaxHeadBytes + 1,
		Out: uwsgi.MaxVariablesBytes + packetHeaderBytes + maxBodyPart +
			g.options.FlowControl.MaxBufferedBody + g.options.FlowControl.MaxQueued,
	}
	c.conn = g.loop.DialAddr(s.addr, limits, c)
	return c
}

// takePreconnected returns a connection that was opened in advance and can still be used, or nil if
// there is none.
func (g *Group) takePreconnected(s *server) *connection {
	for len(s.preconnected) > 0 && s.preconnected[0].established {
		c := s.preconnected[0]
		s.preconnected = s.preconnected[1:]
		if g.loop.Now()-c.dialedAt <= maxPreconnectedAge && c.conn.IsIdle() {
			return c
		}
		c.conn.Close(nil)
	}
	return nil
}

// preconnect opens connections to a server in advance, unless the server gets no traffic. Requests in
// flight and connections opened in advance together stay within the server's limit of requests.
func (g *Group) preconnect(s *server) {
	for len(s.preconnected) < g.options.Preconnect {
		isAtLimit := s.ActiveRequests+len(s.preconnected) >= g.options.Picker.MaxRequests
		if isAtLimit {
			return
		}
		if g.picker.Health().TrafficShare(s.Endpoint, g.loop.Now()) == 0 {
			return
		}
		s.preconnected = append(s.preconnected, g.dial(s))
	}
}

// closePreconnected closes the newest connections that were opened in advance, until keep are left.
func (s *server) closePreconnected(keep int) {
	for len(s.preconnected) > keep {
		c := s.preconnected[len(s.preconnected)-1]
		s.preconnected = s.preconnected[:len(s.preconnected)-1]
		c.conn.Close(nil)
	}
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {
	c.established = true
	if c.exchange != nil {
		c.exchange.connected()
	}
}

// Data implements eventloop.Handler.
func (c *connection) Data(b []byte) (int, error) {
	if c.exchange == nil {
		return 0, errUnsolicited
	}
	return c.exchange.read(b, false)
}

// End implements eventloop.Handler.
func (c *connection) End() bool {
	if c.exchange != nil {
		c.exchange.readEnd()
	}
	return false
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(err error) {
	if c.exchange != nil {
		c.exchange.connectionClosed(err)
		return
	}
	isThis := func(other *connection) bool { return other == c }
	c.server.preconnected = slices.DeleteFunc(c.server.preconnected, isThis)
}
