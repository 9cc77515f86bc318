package upstream

import (
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

const (
	// maxSpareAge is how long a connection that was opened in advance is used: servers close those
	// on which nothing comes.
	maxSpareAge = 2 * time.Second
	// maxBodyPart is the size of one part of a request body that streams, in bytes.
	maxBodyPart = 128 << 10
	// packetHeaderBytes is the size of the header of a uwsgi packet.
	packetHeaderBytes = 4
)

// connection is a connection to a server. It carries one request, or was opened in advance and
// waits for one.
type connection struct {
	server      *server
	conn        *eventloop.Conn
	established bool
	dialedAt    time.Duration // monotonic
	exchange    *exchange     // nil: it waits for one, or its exchange gave it up
}

// dial opens a connection to a server.
func (g *Group) dial(s *server) *connection {
	c := &connection{server: s, dialedAt: g.loop.Now()}
	limits := eventloop.BufferLimits{
		In: httpmessage.MaxHeadBytes + 1,
		Out: uwsgi.MaxVariablesBytes + packetHeaderBytes + maxBodyPart +
			g.opt.FlowControl.MaxBufferedBody + g.opt.FlowControl.MaxQueued,
	}
	c.conn = g.loop.DialAddr(s.addr, limits, c)
	return c
}

// takeSpare returns a connection that was opened in advance and can still be used; nil: there is
// none.
func (g *Group) takeSpare(s *server) *connection {
	for len(s.spare) > 0 && s.spare[0].established {
		c := s.spare[0]
		s.spare = s.spare[1:]
		if g.loop.Now()-c.dialedAt <= maxSpareAge && c.conn.IsIdle() {
			return c
		}
		c.conn.Close(nil)
	}
	return nil
}

// preconnect opens connections in advance, within what the server may have.
func (g *Group) preconnect(s *server) {
	for len(s.spare) < g.opt.Preconnect && s.ActiveRequests+len(s.spare) < g.opt.Picker.MaxRequests {
		if g.picker.Health().TrafficShare(s.Endpoint, g.loop.Now()) == 0 {
			return
		}
		s.spare = append(s.spare, g.dial(s))
	}
}

// closeSpare closes connections that were opened in advance, until keep are left.
func (s *server) closeSpare(keep int) {
	for len(s.spare) > keep {
		c := s.spare[len(s.spare)-1]
		s.spare = s.spare[:len(s.spare)-1]
		c.conn.Close(nil)
	}
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {
	if c.established = true; c.exchange != nil {
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
	c.server.spare = slices.DeleteFunc(c.server.spare, func(other *connection) bool { return other == c })
}
