package daytest

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/fastcgi"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	// maxMultiplexed is the maximum number of concurrent requests on a connection.
	maxMultiplexed = 32
	// resendWindow is the time after a request is sent in which it is sent once more if its connection
	// closes: the runner may have closed the connection before the request arrived.
	resendWindow = 50 * time.Millisecond
	// healthCheckID is the request ID of a health check, which has a connection of its own.
	healthCheckID = 1
)

// exchange is one request on a connection.
type exchange struct {
	attempt       *fleet.Attempt
	conn          *balancerConn
	id            uint16
	sent          time.Duration
	isResend      bool
	stdout        []byte
	onHealthCheck func(healthy bool) // set for a health check, which has no attempt
}

// Submit implements fleet.Process.
func (p *process) Submit(a *fleet.Attempt) { p.send(&exchange{attempt: a}) }

// send writes the request on a connection of its balancer.
func (p *process) send(x *exchange) {
	a := x.attempt
	c := p.connFor(a.Caller())
	x.conn = c
	x.sent = p.harness.loop.Now()
	x.id = c.nextID()
	c.open[x.id] = x
	p.exchanges[a] = x
	c.Write(encodeRequest(x.id, paramsOf(a), a.Body()))
}

// connFor returns a connection of the balancer that has room for one more request.
func (p *process) connFor(caller uint32) *balancerConn {
	for _, c := range p.conns[caller] {
		if len(c.open) < maxMultiplexed && !c.IsClosed() && !c.readEnded {
			return c
		}
	}
	c := p.dial()
	p.conns[caller] = append(p.conns[caller], c)
	return c
}

func (p *process) dial() *balancerConn {
	c := &balancerConn{process: p, open: map[uint16]*exchange{}}
	c.Conn = p.harness.loop.Dial(p.addr, bufferLimits, c)
	return c
}

// Abandon implements fleet.Process. An answer that still arrives is ignored.
func (p *process) Abandon(a *fleet.Attempt) {
	x := p.exchanges[a]
	if x == nil {
		return
	}
	delete(p.exchanges, a)
	delete(x.conn.open, x.id)
	x.conn.Write(fastcgi.Append(nil, fastcgi.AbortRequest, x.id, nil))
}

// Check implements fleet.Process.
func (p *process) Check(_ int, done func(healthy bool)) {
	c := p.dial()
	c.open[healthCheckID] = &exchange{id: healthCheckID, conn: c, onHealthCheck: done}
	params := []param{{"REQUEST_METHOD", "GET"}, {"SCRIPT_NAME", "/alive"}}
	c.Write(encodeRequest(healthCheckID, params, nil))
}

// param is a name and a value of a FastCGI request.
type param struct{ name, value string }

// paramsOf returns the parameters of an attempt, under the platform's names.
func paramsOf(a *fleet.Attempt) []param {
	params := []param{
		{"REQUEST_METHOD", "POST"},
		{"SCRIPT_NAME", "/ops/" + a.ClassName()},
		{"HTTP_X_CALL_ID", a.Name},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(int64(a.Arrived()/1000), 10)},
		{"HTTP_X_SOURCE", strconv.Itoa(int(a.Caller()))},
		{"HTTP_X_CUSTOMER", a.TenantName()},
		{"HTTP_X_HEAP_KB", strconv.FormatFloat(a.SizeKB(), 'f', 3, 64)},
		{"HTTP_X_IMPORTANCE", strconv.FormatFloat(a.Rank(), 'f', 6, 64)},
	}
	if key := a.Key(); key != "" {
		params = append(params, param{"HTTP_X_DEDUPE_KEY", key})
	}
	return params
}

// encodeRequest returns the FastCGI records of a request.
func encodeRequest(id uint16, params []param, body []byte) []byte {
	var pairs []byte
	for _, p := range params {
		pairs = fastcgi.AppendPair(pairs, p.name, p.value)
	}
	begin := fastcgi.BeginRequestBody{Role: fastcgi.Responder, KeepConnection: true}
	out := fastcgi.AppendBegin(nil, id, begin)
	out = fastcgi.Append(out, fastcgi.Params, id, pairs)
	out = fastcgi.Append(out, fastcgi.Params, id, nil)
	if len(body) > 0 {
		out = fastcgi.Append(out, fastcgi.Stdin, id, body)
	}
	return fastcgi.Append(out, fastcgi.Stdin, id, nil)
}

// balancerConn is a connection of a balancer to the runner.
type balancerConn struct {
	*eventloop.Conn
	process   *process
	open      map[uint16]*exchange // by request ID
	lastID    uint16
	readEnded bool // the runner has closed its side
}

// nextID returns a request ID that is not in use on the connection.
func (c *balancerConn) nextID() uint16 {
	for {
		c.lastID++
		if c.lastID != 0 && c.open[c.lastID] == nil {
			return c.lastID
		}
	}
}

// Connected implements eventloop.Handler.
func (c *balancerConn) Connected() {}

// End implements eventloop.Handler.
func (c *balancerConn) End() bool {
	c.readEnded = true
	return false
}

// Data implements eventloop.Handler.
func (c *balancerConn) Data(b []byte) (used int, err error) {
	for {
		record, n, err := fastcgi.Read(b[used:], fastcgi.MaxRecord)
		if err != nil || n == 0 {
			return used, err
		}
		used += n
		if isLast := c.handle(record); isLast {
			c.Close(nil)
			return used, nil
		}
	}
}

// handle handles a record. isLast reports whether the record ended a health check, for which alone its
// connection was opened.
func (c *balancerConn) handle(record fastcgi.Record) (isLast bool) {
	x := c.open[record.ID]
	if x == nil {
		return false
	}
	switch record.Type {
	case fastcgi.Stdout:
		x.stdout = append(x.stdout, record.Content...)
	case fastcgi.EndRequest:
		delete(c.open, record.ID)
		if x.onHealthCheck != nil {
			x.onHealthCheck(bytes.HasPrefix(x.stdout, []byte("Status: 200")))
			return true
		}
		delete(c.process.exchanges, x.attempt)
		c.process.deliver(x, record.Content)
	}
	return false
}

// protocolStatusOffset is the offset of the protocol status in the body of an EndRequest record.
const protocolStatusOffset = 4

// deliver passes a complete answer to the model.
func (p *process) deliver(x *exchange, endBody []byte) {
	if len(endBody) > protocolStatusOffset && endBody[protocolStatusOffset] == fastcgi.Overloaded {
		x.attempt.Answer(fleet.Answer{Status: fleet.Rejected})
		return
	}
	head, body, ok := strings.Cut(string(x.stdout), headerEnd)
	if !ok {
		x.attempt.Lost("an answer that cannot be parsed")
		return
	}
	status, answer := p.readHeader(head)
	switch status {
	case "200":
		if body != string(resultOf(x.attempt)) {
			x.attempt.Lost("an answer with status 200 whose body is not the result of the request")
			return
		}
		answer.Status = fleet.Served
	case "429", "503":
		answer.Status = fleet.Rejected
	}
	x.attempt.Answer(answer)
}

// readHeader reads the header of an answer: its status, and the fields for the balancer. The returned
// answer is Failed; the caller sets another outcome by the status.
func (p *process) readHeader(head string) (status string, answer fleet.Answer) {
	answer.Status = fleet.Failed
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Status":
			status = value
		case "X-Pressure":
			if pressure, err := strconv.ParseFloat(value, 64); err == nil {
				p.incarnation.Advertise(pressure)
			}
		case "X-Come-Back-Ms":
			if ms, err := strconv.ParseFloat(value, 64); err == nil {
				answer.RetryAfter = virtualclock.FromMillis(ms)
			}
		case "X-No-Failover":
			answer.DoNotRetry = value == "1"
		}
	}
	return status, answer
}

// Closed implements eventloop.Handler.
func (c *balancerConn) Closed(err error) {
	p := c.process
	for caller, conns := range p.conns {
		if i := slices.Index(conns, c); i >= 0 {
			p.conns[caller] = slices.Concat(conns[:i], conns[i+1:])
		}
	}
	for _, x := range c.open {
		if x.onHealthCheck != nil {
			x.onHealthCheck(false)
			continue
		}
		delete(p.exchanges, x.attempt)
		p.connectionClosed(x, err)
	}
	c.open = nil
}

// connectionClosed decides the outcome of a request whose connection closed without an answer. If the
// connection was refused, the request never ran. If the process was killed, the connection broke. A request
// within its resendWindow is sent once more, and any other is lost.
func (p *process) connectionClosed(x *exchange, err error) {
	var refused *eventloop.ConnectionRefusedError
	switch {
	case p.isKilled:
		x.attempt.ConnectionBroke()
	case errors.As(err, &refused):
		x.attempt.Unreachable()
	case !x.isResend && p.harness.loop.Now()-x.sent <= resendWindow:
		p.send(&exchange{attempt: x.attempt, isResend: true})
	default:
		x.attempt.Lost(fmt.Sprintf("the connection ended without an answer: %v", err))
	}
}
