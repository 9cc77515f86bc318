// Package upstream runs requests on uwsgi servers, one request a connection. Closing the connection
// cancels a request.
package upstream

import (
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/inventory"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/telemetry/logging"
)

// Name is told to operators.
var (
	evServer = logging.Define(
		"upstream.server",
		slog.LevelInfo,
		"group",
		"server",
		"address",
		"state",
		"was",
		"cause",
	).SetRateLimit(
		100,
	)
	evHallEmpty = logging.Define("upstream.hall_empty", slog.LevelWarn, "group", "hall")
	evList      = logging.Define("upstream.list", slog.LevelInfo, "group", "list", "servers", "leaving")
	evNobody    = logging.Define("upstream.nobody", slog.LevelWarn, "group", "request", "free", "error")
	evBroken    = logging.Define("upstream.broken", slog.LevelWarn, "group", "server", "request", "error")
	evFault     = logging.Define("upstream.fault", slog.LevelWarn, "group", "server", "request", "status")
)

const onePart = 128 << 10 // of a body that streams, beside what may wait

// Options bound what the servers may take.
type Options struct {
	ConnectTimeout         int64 // microseconds
	FlowControl            flowcontrol.Limits
	Preconnect             int // connections to one server that are opened before requests come
	Picker                 picker.Config
	ClassCount             int // that there are
	MaxAttempts            int // servers that one request may be sent to
	HealthCheck            HealthCheck
	HealthCheckCoordinator HealthCheckCoordinator // who asks; nil: each runner for itself
	RunnerName             string                 // this runner, as servers are told under whose duty they are asked
	// The variables that name a request here, and the names of tenants: a server goes by what the
	// core went by, whatever else came with the request.
	KeyVar, TenantVar string
	Tenants           []string
	// where an attempt stands in its trace; nil: servers get what the caller sent
	TraceParent func(*lifecycle.Attempt) string
}

// Sink gets the ends of attempts.
type Sink interface {
	// Began reports a result that is still coming, and tells whether anybody takes the rest.
	Began(*lifecycle.Attempt, *lifecycle.Result) bool
	Ended(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
}

// Group is the servers that share the work of some classes. It owns the connections to them, and
// does as its router says.
type Group struct {
	name     string
	loop     *eventloop.Loop
	sink     Sink
	opt      Options
	router   *picker.Picker
	query    picker.Query // the one in hand
	attempts map[*lifecycle.Attempt]*exchange
	due      []*endpointhealth.Endpoint
	looked   int64
	told     string // the counts that were told last
}

// server is what the group keeps of one.
type server struct {
	*picker.Server
	addr   netaddr.Addr
	spares []*link // opened ahead, the oldest first
}

// New makes the group of that name, without servers yet, for an instance of that name. The sink
// gets its outcomes.
func New(l *eventloop.Loop, name, self string, seed uint64, sink Sink, opt Options) *Group {
	g := &Group{name: name, loop: l, sink: sink, opt: opt, attempts: map[*lifecycle.Attempt]*exchange{}}
	g.router = picker.New(
		opt.Picker,
		self,
		opt.ClassCount,
		seed,
		func(s *picker.Server, c endpointhealth.StateChange) {
			// thousands of lines at the start would say nothing
			if g.looked > 0 || c.Cause != firstCause {
				evServer.Log(g.name, c.Endpoint.Name, c.Endpoint.Addr, c.To, c.From, c.Cause)
			}
			if o, ok := s.Attachment.(*server); ok && g.router.Health().TrafficShare(s.Endpoint, c.At) == 0 {
				o.dropSpares(0)
			}
		},
	)
	l.Every(lookEvery, g.look)
	return g
}

// micros is a time or a span of so many microseconds.
func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

const lookEvery = 250_000

// look lets the router see the time, and has servers checked that are due for it.
func (g *Group) look() {
	now := g.loop.Now()
	if now-g.looked >= endpointhealth.TickInterval.Microseconds() {
		g.looked = now
		g.router.Tick(micros(now))
	}
	g.due = g.router.Health().DueHealthChecks(micros(now), g.due[:0])
	for _, m := range g.due {
		if g.opt.HealthCheckCoordinator == nil {
			g.check(m.Attachment.(*picker.Server), "", 0)
		} else if ask, duty, token := g.opt.HealthCheckCoordinator.ShouldCheck(g.name, m, g.opt.Picker.Health.HealthChecks.Interval.Microseconds()); ask {
			g.check(m.Attachment.(*picker.Server), duty, token)
		} else { // another one asked it, and it was well
			g.router.Health().HealthCheckDone(m, true, micros(now))
		}
	}
}

// Update takes the servers of an inventory that belong to the group. One that stays keeps what is
// known of it; requests at one that goes end there.
func (g *Group) Update(all []inventory.Server, opt Options) {
	g.opt = opt
	g.router.Configure(opt.Picker, opt.ClassCount)
	var list []endpointhealth.EndpointSpec
	addrs := map[endpointhealth.ID]netaddr.Addr{}
	for _, s := range all {
		if s.Weight == 0 || !slices.Contains(s.Groups, g.name) {
			continue
		}
		id := endpointhealth.ID{Name: s.Name, Addr: s.Addr.String()}
		addrs[id] = s.Addr
		list = append(list, endpointhealth.EndpointSpec{ID: id, Zone: s.Zone, Weight: s.Weight})
	}
	before := g.router.Health().EndpointList().Version
	g.router.UpdateEndpoints(list, micros(g.loop.Now()))
	for _, s := range g.router.Servers() {
		o, _ := s.Attachment.(*server)
		if o == nil {
			o = &server{Server: s, addr: addrs[s.ID]}
			s.Attachment = o
		}
		o.dropSpares(opt.Preconnect)
		g.openAhead(o)
	}
	// it may be switched off today; it may also be a slip of the pen
	for _, hall := range opt.Picker.Zones {
		if !slices.ContainsFunc(list, func(l endpointhealth.EndpointSpec) bool { return l.Zone == hall }) {
			evHallEmpty.Log(g.name, hall)
		}
	}
	evList.Log(g.name, before+1, g.router.Size(), g.router.Health().DrainingCount())
}

// firstCause is that of the changes by a group's first list.
const firstCause = "it is in the first list"

// Size is how many servers are in use.
func (g *Group) Size() int { return g.router.Size() }

// Picker is the group's routing.
func (g *Group) Picker() *picker.Picker { return g.router }

// AllowRetry decides whether a request that came to nothing is tried on another server.
func (g *Group) AllowRetry(t lifecycle.RetryCandidate) bool {
	return g.router.RetryBudget().Allow(
		retry.FailedAttempt{Class: t.Class, HasSideEffects: t.HasSideEffect, NeverRan: t.NeverRan, Attempts: t.Attempts,
			MaxAttempts: min(
				g.opt.MaxAttempts,
				g.Size(),
			), TimeLeft: micros(t.Remaining), TimeNeeded: g.router.MinAttemptTime(t.Class)},
		micros(g.loop.Now()),
	) == retry.Allowed
}

// RetryAfter is after how long a caller does well to ask again that was refused here, in
// microseconds.
func (g *Group) RetryAfter() int64 { return g.router.RetryAfter(micros(g.loop.Now())).Microseconds() }

// exchange is one request on one server.
type exchange struct {
	group   *Group
	server  *server
	attempt *lifecycle.Attempt
	began   int64
	conn    *eventloop.Conn
	link    *link            // that it is on
	ahead   bool             // which was opened ahead
	packet  []byte           // what goes out on it
	connect *eventloop.Timer // until the connection stands
	timer   *eventloop.Timer
	resp    *httpmessage.ResponseReader
	head    bool // only the head is asked for
	flow    *flowcontrol.Response
	res     *lifecycle.Result        // its head has come
	body    []byte                   // what was gathered, or is kept
	begun   bool                     // the rest streams
	taker   lifecycle.StreamConsumer // who takes it; nil: nobody
	upload  lifecycle.Upload         // the rest of the body that is being sent; nil: there is none
}

// Run implements lifecycle.Runner.
func (g *Group) Run(a *lifecycle.Attempt) {
	now := g.loop.Now()
	if a.Previous == nil {
		g.router.RetryBudget().RecordFirstAttempt(a.Request.Class, micros(now))
	}
	g.query = picker.Query{Idempotent: a.Idempotent && a.Request.Upload == nil, Retry: a.Previous != nil, Attempts: a, Now: micros(now)}
	if !a.Idempotent {
		g.query.Key = a.Request.Key
	}
	to, _ := g.router.Pick(&g.query)
	packet, err := packet(a, &g.opt)
	if to == nil || err != nil {
		evNobody.Log(g.name, a.Request.ID, to != nil, err)
		x := &exchange{group: g, attempt: a}
		g.attempts[a] = x
		g.loop.Post(func() { x.end(lifecycle.NotStarted, nil) })
		return
	}
	s := to.Attachment.(*server)
	a.Server = s.Name
	g.router.Sent(to)
	x := &exchange{group: g, server: s, attempt: a, began: now, head: method(a) == "HEAD",
		flow: flowcontrol.NewResponse(g.opt.FlowControl, !a.Idempotent, a.Request.AcceptsStream)}
	x.resp = httpmessage.NewResponseReader(x.head)
	g.attempts[a] = x
	x.timer = g.loop.After(a.Deadline-g.loop.Now(), x.outOfTime)
	x.packet = packet
	// A connection that stood idle may be dead without a sign: what may run once gets a fresh one,
	// and so does a body that cannot be sent again.
	if a.Idempotent && a.Request.Upload == nil {
		if l := g.spare(s); l != nil {
			x.ahead = true
			x.send(l)
			return
		}
	}
	x.send(g.dial(s))
}

// send puts the request on a connection, and has others opened for the next.
func (x *exchange) send(l *link) {
	g := x.group
	l.x, x.link, x.conn = x, l, l.conn
	x.conn.Write(x.packet)
	if l.up {
		x.Connected()
	} else {
		x.connect = g.loop.After(g.opt.ConnectTimeout, func() { x.fail("connection takes too long") })
	}
	g.openAhead(x.server)
}

// Abandon implements lifecycle.Runner. What has an effect goes on to its end, so that its result can be
// remembered.
func (g *Group) Abandon(a *lifecycle.Attempt) {
	if x := g.attempts[a]; x != nil && a.Idempotent {
		g.loop.Post(func() { x.end(lifecycle.Canceled, nil) })
	}
}

// outOfTime ends a request at its due time. One with an effect may go on for as long again: nobody
// waits for it, but a repeat gets its result.
func (x *exchange) outOfTime() {
	a := x.attempt
	if !x.link.up {
		x.unreachable("connection does not stand in time")
		return
	}
	now := x.group.loop.Now()
	if whole := a.Deadline - (now - (x.group.loop.Unix() - a.Request.ArrivedAt)); !a.Idempotent && now < a.Deadline+whole {
		x.timer = x.group.loop.After(a.Deadline+whole-now, x.outOfTime)
		return
	}
	x.end(lifecycle.TimedOut, nil)
}

// end is the one place where an exchange is given back, and its outcome reported, once.
func (x *exchange) end(o lifecycle.Outcome, res *lifecycle.Result) {
	g := x.group
	if g.attempts[x.attempt] != x {
		return
	}
	delete(g.attempts, x.attempt)
	if t := x.taker; t != nil {
		if x.taker = nil; o == lifecycle.Succeeded {
			t.Completed()
		} else {
			t.Truncated()
		}
	}
	if u := x.upload; u != nil {
		x.upload = nil
		u.Detach()
	}
	x.connect.Stop()
	x.timer.Stop()
	if s := x.server; s != nil {
		x.conn.Close(nil)
		now := g.loop.Now()
		g.router.Done(s.Server, x.attempt.Request.Class, outcomeOf(o), micros(now-x.began), micros(now))
	}
	g.sink.Ended(x.attempt, o, res)
}

// outcomeOf is what the end of an attempt says of its server. A status of its own may be the
// request's fault.
func outcomeOf(o lifecycle.Outcome) endpointhealth.Outcome {
	switch o {
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

// unreachable ends a request whose connection never stood: nothing of it was sent, so that it never
// ran.
func (x *exchange) unreachable(what string) {
	if x.group.attempts[x.attempt] == x {
		evBroken.Log(x.group.name, x.server.Name, x.attempt.Request.ID, what)
		x.end(lifecycle.Unreachable, nil)
	}
}

func (x *exchange) fail(what string) {
	if !x.link.up {
		x.unreachable(what)
		return
	}
	if x.group.attempts[x.attempt] == x {
		// it was dead; the request is safe, and goes on a fresh one
		if x.ahead && x.resp.Head() == nil {
			x.ahead, x.link.x = false, nil
			x.conn.Close(nil)
			x.resp = httpmessage.NewResponseReader(x.head)
			x.send(x.group.dial(x.server))
			return
		}
		evBroken.Log(x.group.name, x.server.Name, x.attempt.Request.ID, what)
		x.end(lifecycle.Interrupted, nil)
	}
}

// Connected implements loop.Handler.
func (x *exchange) Connected() {
	x.connect.Stop()
	q := x.attempt.Request
	if q.Upload == nil || x.group.attempts[x.attempt] != x {
		return
	}
	q.BodyConsumed, x.upload = true, q.Upload
	x.conn.OnFlushed(func() {
		if x.upload != nil {
			x.upload.SetBacklog(x.conn.QueuedBytes())
		}
	})
	q.Upload.Attach(x)
}

// ConsumeBody implements lifecycle.UploadConsumer.
func (x *exchange) ConsumeBody(part []byte) {
	x.conn.Write(part)
	x.conn.Flush()
	if x.upload != nil && !x.conn.IsClosed() {
		x.upload.SetBacklog(x.conn.QueuedBytes())
	}
}

// Data implements loop.Handler.
func (x *exchange) Data(b []byte) (int, error) {
	return x.take(b, false)
}

// take reads what it can of the response.
func (x *exchange) take(b []byte, end bool) (used int, err error) {
	for x.group.attempts[x.attempt] == x {
		ev, n, err := x.resp.Next(b[used:], end)
		used += n
		switch {
		case err != nil:
			return used, err
		case ev.Head != nil:
			if ev.Head.Status >= 500 {
				evFault.Log(x.group.name, x.server.Name, x.attempt.Request.ID, ev.Head.Status)
				x.end(lifecycle.Faulted, nil)
				return len(b), nil
			}
			x.res = x.result(ev.Head)
			continue
		case len(ev.Data) > 0:
			if err := x.pass(ev.Data); err != nil {
				return used, err
			}
		}
		switch {
		case ev.Done:
			x.finish()
		case n == 0:
			return used, nil
		}
	}
	return len(b), nil // it is over, and what comes behind it is nobody's
}

// result is the head of a response as it is passed on.
func (x *exchange) result(h *httpmessage.Head) *lifecycle.Result {
	res := &lifecycle.Result{Status: h.Status, ContentLength: int64(h.Length)}
	for _, f := range h.Fields {
		// The length is stated anew; of a head alone it says what the body would have.
		if !uwsgi.IsHopByHop(f.Name) && (x.head || !strings.EqualFold(f.Name, "Content-Length")) {
			res.Fields = append(res.Fields, lifecycle.Field(f))
		}
	}
	return res
}

// pass takes a part of the body where it is to go.
func (x *exchange) pass(data []byte) error {
	step := x.flow.Add(len(data))
	if step == flowcontrol.Reject {
		return uwsgi.ErrBodyTooLong
	}
	if !x.begun || x.flow.Caches() {
		x.body = append(x.body, data...)
	}
	if step == flowcontrol.StartStreaming {
		x.begun = true
		begun := *x.res
		begun.Body, begun.Stream = x.body, x
		// nobody waits for it any more
		if !x.group.sink.Began(x.attempt, &begun) && x.attempt.Idempotent {
			x.end(lifecycle.Canceled, nil)
		}
	} else if step == flowcontrol.Forward && x.taker != nil {
		x.taker.Consume(data)
	}
	if x.begun && !x.flow.Caches() {
		// it ran, and nobody has a use for the rest
		if x.body = nil; x.taker == nil && !x.attempt.Idempotent {
			x.end(lifecycle.Succeeded, nil)
		}
	}
	return nil
}

// Attach implements lifecycle.Stream.
func (x *exchange) Attach(t lifecycle.StreamConsumer) { x.taker = t }

// Pause implements lifecycle.Stream: the server waits for a slow reader, and nobody else does.
func (x *exchange) Pause(on bool) { x.conn.Pause(on) }

// Cancel implements lifecycle.Stream. The result of one with an effect is still read, as far as it is
// kept for repeats.
func (x *exchange) Cancel() {
	x.taker = nil
	if x.attempt.Idempotent || !x.flow.Caches() {
		o := lifecycle.Canceled
		if !x.attempt.Idempotent { // it ran, whatever comes of the rest
			o = lifecycle.Succeeded
		}
		x.group.loop.Post(func() { x.end(o, nil) })
		return
	}
	x.conn.Pause(false)
}

// End implements loop.Handler.
func (x *exchange) End() bool {
	_, err := x.take(x.conn.Buffered(), true)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		x.fail("closed before the answer was whole")
	case err != nil:
		x.fail(err.Error())
	default:
		x.fail("closed") // if it is not over by then
	}
	return false
}

// Closed implements loop.Handler.
func (x *exchange) Closed(err error) {
	var refused *eventloop.ConnectionRefusedError
	switch {
	case errors.As(err, &refused):
		x.end(lifecycle.Unreachable, nil) // the one proof that nothing ran
	case err == nil || err == io.EOF:
		x.fail("closed")
	default:
		x.fail(err.Error())
	}
}

// finish ends a response that is whole. One that streamed has a result only if it was kept.
func (x *exchange) finish() {
	if x.begun && !x.flow.Caches() {
		x.end(lifecycle.Succeeded, nil)
		return
	}
	x.res.Body = x.body
	x.end(lifecycle.Succeeded, x.res)
}
