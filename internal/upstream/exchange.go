package upstream

import (
	"errors"
	"io"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/httpmessage"
)

// exchange is one attempt on one server. It implements lifecycle.UploadConsumer for a request body
// that streams, and lifecycle.Stream for a response that does.
type exchange struct {
	group          *Group
	server         *server // nil: no server was found
	attempt        *lifecycle.Attempt
	packet         []byte // the request as sent; if its body streams, only the part read before Run
	startedAt      time.Duration
	connection     *connection
	isPreconnected bool             // the connection was opened in advance
	connecting     *eventloop.Timer // connect timeout; runs until the connection is established
	deadline       *eventloop.Timer
	upload         lifecycle.Upload // sends the rest of a request body that streams; nil: nothing to send

	isHead      bool // the method is HEAD: the response has no body
	reader      *httpmessage.ResponseReader
	flow        *flowcontrol.Response
	result      *lifecycle.Result        // nil: the head of the response has not been received
	body        []byte                   // buffered, or to be cached
	isStreaming bool                     // the response is forwarded as it arrives
	consumer    lifecycle.StreamConsumer // reader of a response that streams; nil: none
}

// Run implements lifecycle.Runner.
func (g *Group) Run(a *lifecycle.Attempt) {
	now := g.loop.Now()
	s := g.pick(a, now)
	packet, err := packetFor(a, &g.options)
	if s == nil || err != nil {
		evNoEndpoint.Log(g.name, a.Request.ID, s != nil, withoutRequestKind(err))
		g.endWithoutServer(a)
		return
	}
	target := s.Attachment.(*server)
	a.Server = s.Name
	g.picker.Sent(s)
	x := g.newExchange(a, target, packet)
	g.exchanges[a] = x
	x.deadline = g.loop.After(a.Deadline-now, x.deadlinePassed)
	x.send(x.openConnection())
}

// endWithoutServer ends an attempt that cannot be sent to any server.
func (g *Group) endWithoutServer(a *lifecycle.Attempt) {
	x := &exchange{group: g, attempt: a}
	g.exchanges[a] = x
	g.loop.Post(func() { x.end(lifecycle.NotStarted, nil) })
}

func (g *Group) newExchange(a *lifecycle.Attempt, target *server, packet []byte) *exchange {
	x := &exchange{
		group:     g,
		server:    target,
		attempt:   a,
		packet:    packet,
		startedAt: g.loop.Now(),
		isHead:    methodOf(a) == "HEAD",
		flow: flowcontrol.NewResponse(g.options.FlowControl, flowcontrol.ResponseOptions{
			Keyed:      !a.Idempotent,
			Streamable: a.Request.AcceptsStream,
		}),
	}
	x.reader = httpmessage.NewResponseReader(x.isHead)
	return x
}

// openConnection returns a connection that was opened in advance, or a new one. An idle connection may
// prove broken only after the request was sent on it, so that the request has to be sent again: one that
// may run only once, or whose body cannot be sent again, gets a new connection.
func (x *exchange) openConnection() *connection {
	if x.attempt.Idempotent && x.attempt.Request.Upload == nil {
		if c := x.group.takePreconnected(x.server); c != nil {
			x.isPreconnected = true
			return c
		}
	}
	return x.group.dial(x.server)
}

// pick returns a server for an attempt, or nil if there is none.
func (g *Group) pick(a *lifecycle.Attempt, now time.Duration) *picker.Server {
	isRetry := a.Previous != nil
	if !isRetry {
		g.picker.RetryBudget().RecordFirstAttempt(a.Request.Class, now)
	}
	g.query = picker.Query{
		Idempotent: a.Idempotent && a.Request.Upload == nil,
		Retry:      isRetry,
		Attempts:   a,
		Now:        now,
	}
	if !a.Idempotent {
		g.query.Key = a.Request.Key
	}
	s, _ := g.picker.Pick(&g.query)
	return s
}

// Abandon implements lifecycle.Runner. A request with side effects that was sent is not cancelled but runs to
// its end, so that its result can be cached. One whose connection is not established yet is not sent any more.
func (g *Group) Abandon(a *lifecycle.Attempt) {
	x := g.exchanges[a]
	switch {
	case x == nil || x.connection == nil: // it has no server, and is about to end
	case a.Idempotent:
		g.loop.Post(func() { x.end(lifecycle.Cancelled, nil) })
	case !x.connection.established:
		g.loop.Post(func() { x.end(lifecycle.NotStarted, nil) })
		x.connection.conn.Close(nil) // before it can be established in this turn
	}
}

// isOpen reports whether the exchange has not ended.
func (x *exchange) isOpen() bool { return x.group.exchanges[x.attempt] == x }

// send sends the request on a connection, and opens connections in advance for later requests.
func (x *exchange) send(c *connection) {
	g := x.group
	c.exchange = x
	x.connection = c
	c.conn.Write(x.packet)
	if c.established {
		x.connected()
	} else {
		x.connecting = g.loop.After(g.options.ConnectTimeout, func() { x.fail(errConnectTimeout) })
	}
	g.preconnect(x.server)
}

// connected is called when the connection is established. It starts to send the rest of a request body
// that streams.
func (x *exchange) connected() {
	x.connecting.Stop()
	request := x.attempt.Request
	if request.Upload == nil || !x.isOpen() {
		return
	}
	request.BodyConsumed = true
	x.upload = request.Upload
	x.connection.conn.OnFlushed(x.reportBacklog)
	request.Upload.Attach(x)
}

// ConsumeBody implements lifecycle.UploadConsumer.
func (x *exchange) ConsumeBody(part []byte) {
	conn := x.connection.conn
	conn.Write(part)
	conn.Flush()
	if !conn.IsClosed() {
		x.reportBacklog()
	}
}

// reportBacklog reports to the sender of the body how many bytes are queued for the server.
func (x *exchange) reportBacklog() {
	if x.upload != nil {
		x.upload.SetBacklog(x.connection.conn.QueuedBytes())
	}
}

// deadlinePassed ends the attempt at its deadline. An attempt with side effects may take twice the time
// from the request's arrival to its deadline: its caller has gone by then, but a retry of the request
// gets its result.
func (x *exchange) deadlinePassed() {
	if !x.connection.established {
		x.unreachable(errConnectDeadline)
		return
	}
	a, loop := x.attempt, x.group.loop
	now := loop.Now()
	arrivedAt := now - loop.Unix().Sub(a.Request.ArrivedAt)
	extended := a.Deadline + (a.Deadline - arrivedAt)
	if !a.Idempotent && now < extended {
		x.deadline = loop.After(extended-now, x.deadlinePassed)
		return
	}
	x.end(lifecycle.TimedOut, nil)
}

// fail ends the attempt because of an error of its connection. If the connection was opened in advance,
// which only idempotent requests use, and no head of a response has been received, the request is sent
// again on a new connection.
func (x *exchange) fail(err error) {
	if !x.connection.established {
		x.unreachable(err)
		return
	}
	if !x.isOpen() {
		return
	}
	if x.isPreconnected && x.reader.Head() == nil {
		x.isPreconnected = false
		x.connection.exchange = nil
		x.connection.conn.Close(nil)
		x.reader = httpmessage.NewResponseReader(x.isHead)
		x.send(x.group.dial(x.server))
		return
	}
	x.logInterrupted(interruptedKind.Wrap(err))
	x.end(lifecycle.Interrupted, nil)
}

// unreachable ends an attempt whose connection was not established: nothing was sent, so the request
// did not run.
func (x *exchange) unreachable(err error) {
	if x.isOpen() {
		x.logInterrupted(connectKind.Wrap(err))
		x.end(lifecycle.Unreachable, nil)
	}
}

func (x *exchange) logInterrupted(err error) {
	evRequestInterrupted.Log(x.group.name, x.server.Name, x.attempt.Request.ID, err.Error())
}

// connectionClosed ends the attempt when its connection has closed.
func (x *exchange) connectionClosed(err error) {
	var refused *eventloop.ConnectionRefusedError
	switch {
	case errors.As(err, &refused): // the request cannot have run
		x.end(lifecycle.Unreachable, nil)
	case err == nil || errors.Is(err, io.EOF):
		x.fail(errClosed)
	default:
		x.fail(err)
	}
}

// end releases the exchange and reports the outcome. Only the first call has an effect.
func (x *exchange) end(outcome lifecycle.Outcome, result *lifecycle.Result) {
	if !x.isOpen() {
		return
	}
	g := x.group
	delete(g.exchanges, x.attempt)
	if consumer := x.consumer; consumer != nil {
		x.consumer = nil
		if outcome == lifecycle.Succeeded {
			consumer.Completed()
		} else {
			consumer.Truncated()
		}
	}
	if upload := x.upload; upload != nil {
		x.upload = nil
		upload.Detach()
	}
	x.connecting.Stop()
	x.deadline.Stop()
	if s := x.server; s != nil {
		x.connection.conn.Close(nil)
		now := g.loop.Now()
		g.picker.Done(s.Server, x.attempt.Request.Class, endpointOutcome(outcome), now-x.startedAt, now)
	}
	g.sink.AttemptEnded(x.attempt, outcome, result)
}

// endpointOutcome returns the outcome that counts for the health of the attempt's server.
func endpointOutcome(outcome lifecycle.Outcome) endpointhealth.Outcome {
	switch outcome {
	case lifecycle.Succeeded:
		return endpointhealth.Success
	case lifecycle.Faulted:
		return endpointhealth.ErrorResponse
	case lifecycle.Interrupted:
		return endpointhealth.Aborted
	case lifecycle.TimedOut:
		return endpointhealth.TimedOut
	case lifecycle.Unreachable:
		return endpointhealth.Unreachable
	}
	return endpointhealth.Inconclusive
}
