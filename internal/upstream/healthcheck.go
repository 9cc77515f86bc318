package upstream

import (
	"errors"
	"io"
	"strconv"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// HealthCheck holds the parameters of active health checks. Package endpointhealth decides when a
// check is due.
type HealthCheck struct {
	Path    string        // empty: no checks
	Timeout time.Duration // for the whole check
}

// CheckLease is the lease under which a runner checks a server on behalf of others.
type CheckLease struct {
	Name  string
	Token uint64 // fencing token; 0: no lease, the result is used by this runner only
}

// HealthCheckCoordinator decides which of several runners checks a server.
type HealthCheckCoordinator interface {
	// ShouldCheck returns whether this runner checks the server now, and under which lease. If it
	// does not, another runner has found the server healthy within the interval.
	ShouldCheck(group string, e *endpointhealth.Endpoint, interval time.Duration) (CheckLease, bool)
	// CheckDone reports the result of a check that was made under a lease.
	CheckDone(group string, e *endpointhealth.Endpoint, lease CheckLease, passed bool)
}

// Variables of a check under a lease. They let a server reject a check whose runner has lost the lease.
const (
	leaseVariable  = "HTTP_X_DUTY"
	tokenVariable  = "HTTP_X_DUTY_TOKEN"
	holderVariable = "HTTP_X_DUTY_HOLDER"
)

// minUnhealthyStatus is the lowest HTTP status that fails a check.
const minUnhealthyStatus = 400

// check is one health check: a request on a connection of its own. It passes if the response has a
// status below minUnhealthyStatus.
type check struct {
	group  *Group
	server *picker.Server
	lease  CheckLease
	conn   *eventloop.Conn
	timer  *eventloop.Timer
	reader *httpmessage.ResponseReader
	ended  bool
}

// startCheck starts a health check of a server.
func (g *Group) startCheck(s *picker.Server, lease CheckLease) {
	c := &check{group: g, server: s, lease: lease, reader: httpmessage.NewResponseReader(false)}
	packet, err := uwsgi.Append(nil, g.checkRequest(lease))
	if err != nil { // a path that is too long, which the configuration rejects
		g.loop.Post(func() { c.end(false) })
		return
	}
	limits := eventloop.BufferLimits{In: httpmessage.MaxHeadBytes + 1, Out: len(packet)}
	c.conn = g.loop.DialAddr(s.Attachment.(*server).addr, limits, c)
	c.timer = g.loop.After(g.options.HealthCheck.Timeout, func() { c.end(false) })
	c.conn.Write(packet)
}

func (g *Group) checkRequest(lease CheckLease) *uwsgi.Request {
	path := g.options.HealthCheck.Path
	r := &uwsgi.Request{
		Variables: []uwsgi.Variable{
			{Name: "REQUEST_METHOD", Value: "GET"},
			{Name: "SERVER_PROTOCOL", Value: "HTTP/1.1"},
			{Name: "SCRIPT_NAME"},
			{Name: "PATH_INFO", Value: path},
			{Name: "REQUEST_URI", Value: path},
			{Name: "QUERY_STRING"},
			{Name: "CONTENT_LENGTH", Value: "0"},
		},
	}
	if lease.Token != 0 {
		r.Variables = append(
			r.Variables,
			uwsgi.Variable{Name: leaseVariable, Value: lease.Name},
			uwsgi.Variable{Name: tokenVariable, Value: strconv.FormatUint(lease.Token, 10)},
			uwsgi.Variable{Name: holderVariable, Value: g.options.RunnerName},
		)
	}
	return r
}

// end releases the check and reports its result, once.
func (c *check) end(passed bool) {
	if c.ended {
		return
	}
	c.ended = true
	c.timer.Stop()
	if c.conn != nil {
		c.conn.Close(nil)
	}
	g := c.group
	g.picker.Health().HealthCheckDone(c.server.Endpoint, passed, g.loop.Now())
	if c.lease.Token != 0 && g.options.HealthCheckCoordinator != nil {
		g.options.HealthCheckCoordinator.CheckDone(g.name, c.server.Endpoint, c.lease, passed)
	}
}

// Connected implements eventloop.Handler.
func (c *check) Connected() {}

// Data implements eventloop.Handler. The status in the head of the response decides the result.
func (c *check) Data(b []byte) (int, error) { return c.read(b, false) }

func (c *check) read(b []byte, isEnd bool) (int, error) {
	event, n, err := c.reader.Next(b, isEnd)
	switch {
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
		return n, err
	case event.Head != nil:
		c.end(event.Head.Status < minUnhealthyStatus)
		return len(b), nil
	}
	return n, nil
}

// End implements eventloop.Handler.
func (c *check) End() bool {
	_, _ = c.read(c.conn.Buffered(), true) // a response that cannot be parsed fails the check below
	c.end(false)
	return false
}

// Closed implements eventloop.Handler.
func (c *check) Closed(error) { c.end(false) }
