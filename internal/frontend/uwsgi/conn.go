package uwsgi

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/cgi"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/wallclock"
)

// conn is one connection of a caller, and its one request.
type conn struct {
	*eventloop.Conn
	front    *Frontend
	began    int64
	addr     netip.Addr // of the caller; not valid on a unix socket
	timer    *eventloop.Timer
	sent     bool // the request was handed to the core
	answered bool
	headOnly bool
	req      *lifecycle.Request // its variables have come; nil: not yet
	framing  *httpmessage.Body
	body     []byte           // of it so far
	extra    int              // bytes that came behind the request
	stream   lifecycle.Stream // the rest of its answer; nil: there is none
	id       flowcontrol.ReaderID
	route    *Route
	toEnd    bool                     // its body ends as the caller closes its side
	rest     bool                     // its body follows what was handed over
	upload   lifecycle.UploadConsumer // who takes that; nil: nobody yet
	pending  []byte                   // of it that waits for somebody
	uploadID flowcontrol.ReaderID
	waits    bool // the caller waits for the server
	ticket   lifecycle.Ticket
}

// Connected implements loop.Handler.
func (c *conn) Connected() {}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) (int, error) {
	if c.rest {
		return c.feed(b)
	}
	if c.sent || c.answered { // more than one request: it is thrown away, as long as it ends
		if c.extra += len(b); c.extra > maxExtra && c.uploadID == 0 {
			return len(b), eventloop.ErrInputOverflow
		}
		return len(b), nil
	}
	used := 0
	if c.req == nil {
		h, n, err := uwsgi.ReadHead(b, c.front.opt.MaxVariablesBytes)
		switch {
		case err != nil:
			c.reject(statusOf(err), err)
			return len(b), nil
		case n == 0:
			return 0, nil
		case h.Ping:
			c.answered = true
			c.timer.Stop()
			c.Write(uwsgi.AppendPing(nil))
			c.CloseGracefully()
			return len(b), nil
		}
		if !c.begin(h) {
			return len(b), nil
		}
		if used = n; c.rest {
			n, err := c.feed(b[used:])
			return used + n, err
		}
	}
	for {
		data, n, done, err := c.framing.Next(b[used:], false)
		used += n
		switch {
		case err != nil:
			c.reject(400, err)
		case len(c.body)+len(data) > c.front.opt.Flow.MaxBufferedBody:
			if c.front.opt.Flow.PlanOversizedChunked(
				c.route.Idempotent,
				c.route.Proxied,
			) == flowcontrol.RequireLength {
				c.reject(411, errors.New("a body of this size needs its length stated"))
			} else {
				c.reject(413, uwsgi.ErrBodyTooLong)
			}
		case done:
			c.body = append(c.body, data...)
			c.timer.Stop()
			c.submit()
		case n == 0:
			return used, nil
		default:
			c.body = append(c.body, data...)
			continue
		}
		return len(b), nil // what comes behind a request is thrown away
	}
}

// begin takes the variables of a request, and reports whether its body is to be read: what is wrong
// without it is answered at once.
func (c *conn) begin(h *uwsgi.Head) bool {
	f := c.front
	vars := make([]cgi.Variable, len(h.Variables))
	for i, v := range h.Variables {
		vars[i] = cgi.Variable(v)
	}
	r, err := cgi.Read(vars, f.opt.KeyVariable, f.opt.TenantVariable, f.opt.FirstAttemptVariable)
	var bad *cgi.Error
	if errors.As(err, &bad) {
		c.reject(bad.Status, err)
		return false
	}
	c.headOnly = r.Method == "HEAD"
	if f.opt.HealthPath != "" && r.Path == f.opt.HealthPath {
		status := 200
		if !f.good {
			status = 503
		}
		c.respond(&uwsgi.Response{Status: status})
		return false
	}
	q, route, status, err := f.request(r)
	plan := flowcontrol.BufferBody
	if err == nil {
		c.route = route
		if plan = f.opt.Flow.PlanBody(
			c.route.Idempotent,
			c.route.Proxied,
			r.Length,
			r.Chunked,
		); plan == flowcontrol.RejectTooLarge {
			status, err = 413, fmt.Errorf("%w: %d bytes", uwsgi.ErrBodyTooLong, r.Length)
		}
	}
	if err != nil {
		c.reject(status, err)
		return false
	}
	c.req, c.framing = q, httpmessage.BodyOfLength(max(r.Length, 0))
	switch {
	case r.Chunked:
		c.framing = httpmessage.ChunkedBody()
	case r.UntilClose:
		c.framing, c.toEnd = httpmessage.BodyUntilClose(), true
	}
	q.ArrivedAt = wallclock.UnixMicro(f.arrived(r, c.began))
	if r.ExpectsContinue {
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if plan == flowcontrol.StreamBody {
		c.rest = true
		q.Upload, q.ContentLength = c, r.Length
		f.ids++
		c.uploadID = f.ids
		f.flows.AddReader(c.uploadID, f.loop.Now())
		c.patient()
		c.submit()
	}
	return true
}

// submit hands over a request that has come whole.
func (c *conn) submit() {
	c.req.Body, c.req.Responder = c.body, c
	c.body = nil
	c.sent, c.extra = true, 0
	c.ticket = c.front.core.Submit(c.req)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, uwsgi.ErrBodyTooLong):
		return 413
	case errors.Is(err, uwsgi.ErrVariablesTooLong):
		return 431
	}
	return 400
}

// End implements loop.Handler. A caller that closes before its answer cancels the request.
func (c *conn) End() bool {
	if c.toEnd && !c.answered {
		if !c.sent {
			c.timer.Stop()
			c.submit()
		}
		return true
	}
	if !c.sent && !c.answered {
		evUnfinished.Log()
	}
	return c.answered
}

// Closed implements loop.Handler.
func (c *conn) Closed(err error) {
	if errors.Is(err, eventloop.ErrSlowPeer) {
		evSlow.Log(err)
	}
	c.timer.Stop()
	if c.uploadID != 0 {
		c.rest = false
		c.endUpload()
	}
	delete(c.front.conns, c)
	if c.addr.IsValid() {
		if c.front.from[c.addr]--; c.front.from[c.addr] == 0 {
			delete(c.front.from, c.addr)
		}
	}
	if s := c.stream; s != nil {
		c.stream = nil
		c.front.flows.RemoveReader(c.id)
		s.Cancel()
	}
	if c.sent && !c.answered {
		c.answered = true
		c.front.core.Abandon(c.ticket)
	}
}

func (c *conn) reject(status int, err error) {
	evBad.Log(status, err)
	c.respond(&uwsgi.Response{Status: status, Body: []byte(err.Error() + "\n"),
		Fields: []httpmessage.Field{{Name: "Content-Type", Value: "text/plain"}}})
}

func (c *conn) respond(r *uwsgi.Response) {
	if c.answered {
		return
	}
	c.answered = true
	c.timer.Stop()
	if c.rest {
		c.Detach()
	}
	c.Write(uwsgi.AppendResponse(nil, r, c.headOnly))
	c.CloseGracefully()
}

// Answer implements lifecycle.Responder.
func (c *conn) Answer(a lifecycle.Answer) {
	r := &uwsgi.Response{}
	switch a.Status {
	case lifecycle.Served:
		if a.Result.Stream != nil {
			c.begun(a.Result)
			return
		}
		r.Status, r.Body = a.Result.Status, a.Result.Body
		for _, f := range a.Result.Fields {
			r.Fields = append(r.Fields, httpmessage.Field(f))
		}
	case lifecycle.Rejected:
		r.Status = 503
		if ms := (a.RetryAfter.Microseconds() + 999) / 1000; ms > 0 {
			r.Fields = []httpmessage.Field{
				{Name: "Retry-After", Value: strconv.FormatInt(max((ms+999)/1000, 1), 10)},
				{Name: "X-Come-Back-Ms", Value: strconv.FormatInt(ms, 10)},
			}
		}
	case lifecycle.Expired:
		r.Status = 504
	case lifecycle.ResultLost:
		c.reject(409, errors.New("it ran, and its result was not kept"))
		return
	case lifecycle.Conflict:
		c.reject(422, errors.New(a.Reason.String()))
		return
	default:
		r.Status = 502
	}
	c.respond(r)
}
