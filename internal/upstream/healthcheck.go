package upstream

import (
	"errors"
	"io"
	"strconv"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// HealthCheck is how servers are asked whether they are well. When that is due is the router's to say.
type HealthCheck struct {
	Path    string // empty: they are not asked
	Timeout int64  // microseconds for the answer
}

// HealthCheckCoordinator decides who asks a server, where one runner does so for others.
type HealthCheckCoordinator interface {
	// ShouldCheck tells whether this runner is to ask now, and for which duty and under which token it does
	// so; a token of 0 is for itself alone.
	ShouldCheck(group string, m *endpointhealth.Endpoint, every int64) (ask bool, duty string, token uint64)
	// CheckDone hears of a server that was asked under a token.
	CheckDone(group string, m *endpointhealth.Endpoint, duty string, token uint64, good bool)
}

// The variables by which a server that looks at them can refuse whoever has lost a duty: its name,
// its token, and who says so.
const (
	dutyVar   = "HTTP_X_DUTY"
	tokenVar  = "HTTP_X_DUTY_TOKEN"
	holderVar = "HTTP_X_DUTY_HOLDER"
)

// checkup is one check that is out: a request on a connection of its own, answered well by any
// status below 400.
type checkup struct {
	group  *Group
	server *picker.Server
	conn   *eventloop.Conn
	timer  *eventloop.Timer
	resp   *httpmessage.ResponseReader
	over   bool
	duty   string
	token  uint64
}

// check asks a server.
func (g *Group) check(s *picker.Server, duty string, token uint64) {
	r := &uwsgi.Request{
		Variables: []uwsgi.Variable{
			{Name: "REQUEST_METHOD", Value: "GET"},
			{Name: "SERVER_PROTOCOL", Value: "HTTP/1.1"},
			{
				Name: "SCRIPT_NAME",
			},
			{Name: "PATH_INFO", Value: g.opt.HealthCheck.Path},
			{Name: "REQUEST_URI", Value: g.opt.HealthCheck.Path},
			{Name: "QUERY_STRING"},
			{Name: "CONTENT_LENGTH", Value: "0"},
		},
	}
	if token != 0 {
		r.Variables = append(
			r.Variables,
			uwsgi.Variable{Name: dutyVar, Value: duty},
			uwsgi.Variable{Name: tokenVar, Value: strconv.FormatUint(token, 10)},
			uwsgi.Variable{Name: holderVar, Value: g.opt.RunnerName},
		)
	}
	c := &checkup{group: g, server: s, resp: httpmessage.NewResponseReader(false), duty: duty, token: token}
	packet, err := uwsgi.Append(nil, r)
	if err != nil { // a path that is too long is refused with the file
		g.loop.Post(func() { c.end(false) })
		return
	}
	c.conn = g.loop.DialAddr(
		s.Attachment.(*server).addr,
		eventloop.BufferLimits{In: httpmessage.MaxHeadBytes + 1, Out: len(packet)},
		c,
	)
	c.timer = g.loop.After(g.opt.HealthCheck.Timeout, func() { c.end(false) })
	c.conn.Write(packet)
}

// end is the one place where a check is given back.
func (c *checkup) end(good bool) {
	if c.over {
		return
	}
	c.over = true
	c.timer.Stop()
	if c.conn != nil {
		c.conn.Close(nil)
	}
	c.group.router.Health().HealthCheckDone(c.server.Endpoint, good, micros(c.group.loop.Now()))
	if c.token != 0 && c.group.opt.HealthCheckCoordinator != nil {
		c.group.opt.HealthCheckCoordinator.CheckDone(c.group.name, c.server.Endpoint, c.duty, c.token, good)
	}
}

// Connected implements loop.Handler.
func (c *checkup) Connected() {}

// Data implements loop.Handler. The head is all that is asked for.
func (c *checkup) Data(b []byte) (int, error) { return c.take(b, false) }

func (c *checkup) take(b []byte, end bool) (int, error) {
	ev, n, err := c.resp.Next(b, end)
	switch {
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
		return n, err
	case ev.Head != nil:
		c.end(ev.Head.Status < 400)
		return len(b), nil
	}
	return n, nil
}

// End implements loop.Handler.
func (c *checkup) End() bool {
	_, _ = c.take(c.conn.Buffered(), true) // what it could not read is a failure all the same
	c.end(false)
	return false
}

// Closed implements loop.Handler.
func (c *checkup) Closed(error) { c.end(false) }
