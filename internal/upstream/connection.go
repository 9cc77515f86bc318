package upstream

import (
	"errors"
	"slices"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// spareFor is how long a connection that was opened ahead is used: servers close those on which
// nothing comes.
const spareFor = 2_000_000

// link is a connection to a server. It carries one request, or was opened ahead and waits for one.
type link struct {
	group  *Group
	server *server
	conn   *eventloop.Conn
	up     bool
	made   int64
	x      *exchange // nil: it waits, or what it carried was given up
}

// dial opens a connection to a server.
func (g *Group) dial(s *server) *link {
	l := &link{group: g, server: s, made: g.loop.Now()}
	out := uwsgi.MaxVariablesBytes + 4 + g.opt.FlowControl.MaxBufferedBody + g.opt.FlowControl.MaxQueued + onePart
	l.conn = g.loop.DialAddr(s.addr, eventloop.BufferLimits{In: httpmessage.MaxHeadBytes + 1, Out: out}, l)
	return l
}

// spare takes a connection that was opened ahead and still looks good; nil: there is none.
func (g *Group) spare(s *server) *link {
	for len(s.spares) > 0 && s.spares[0].up {
		l := s.spares[0]
		s.spares = s.spares[1:]
		if g.loop.Now()-l.made <= spareFor && l.conn.IsIdle() {
			return l
		}
		l.conn.Close(nil)
	}
	return nil
}

// openAhead sees to it that so many connections wait for the next requests, within what the server
// may have.
func (g *Group) openAhead(s *server) {
	for len(s.spares) < g.opt.Preconnect && s.ActiveRequests+len(s.spares) < g.opt.Picker.MaxRequests && g.router.Health().TrafficShare(s.Endpoint, micros(g.loop.Now())) > 0 {
		s.spares = append(s.spares, g.dial(s))
	}
}

// dropSpares closes what waits beyond so many.
func (s *server) dropSpares(keep int) {
	for len(s.spares) > keep {
		l := s.spares[len(s.spares)-1]
		s.spares = s.spares[:len(s.spares)-1]
		l.conn.Close(nil)
	}
}

// Connected implements loop.Handler.
func (l *link) Connected() {
	if l.up = true; l.x != nil {
		l.x.Connected()
	}
}

// Data implements loop.Handler.
func (l *link) Data(b []byte) (int, error) {
	if l.x == nil {
		return 0, errors.New("something came before it was asked for")
	}
	return l.x.Data(b)
}

// End implements loop.Handler.
func (l *link) End() bool { return l.x != nil && l.x.End() }

// Closed implements loop.Handler.
func (l *link) Closed(err error) {
	if l.x != nil {
		l.x.Closed(err)
		return
	}
	l.server.spares = slices.DeleteFunc(l.server.spares, func(o *link) bool { return o == l })
}
