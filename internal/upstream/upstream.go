// Package upstream runs requests on uwsgi servers, one request a connection. Closing the connection cancels a request.
package upstream

import (
	"errors"
	"io"
	"log"
	"math"
	"slices"

	"shalesail/internal/core"
	"shalesail/internal/inventory"
	"shalesail/internal/loop"
	"shalesail/internal/uwsgi"
)

const (
	failsInARow = 3         // so many failures and a server is passed over
	restFor     = 5_000_000 // for so long, unless all are
)

// Options bound what the servers may take.
type Options struct {
	ConnectWithin int64 // microseconds
	MaxResponse   int   // bytes
	MaxConns      int   // to one server
}

// Sink gets the ends of attempts.
type Sink interface {
	Ended(*core.Attempt, core.Outcome, *core.Result)
}

// Group is the servers that share the work of some classes. It owns the connections to them.
type Group struct {
	name     string
	loop     *loop.Loop
	sink     Sink
	opt      Options
	servers  []*server
	attempts map[*core.Attempt]*exchange
}

type server struct {
	inventory.Server
	open  int
	fails int   // in a row
	rests int64 // until when it is passed over
}

// New makes the group of that name, without servers yet. The sink gets its outcomes.
func New(l *loop.Loop, name string, sink Sink) *Group {
	return &Group{name: name, loop: l, sink: sink, attempts: map[*core.Attempt]*exchange{}}
}

// Update takes the servers of an inventory that belong to the group. One that stays keeps what is known of it; requests
// at one that goes end there.
func (g *Group) Update(all []inventory.Server, opt Options) {
	g.opt = opt
	old := g.servers
	g.servers = nil
	for _, s := range all {
		if s.Weight == 0 || !slices.Contains(s.Groups, g.name) {
			continue
		}
		same := func(o *server) bool { return o.Name == s.Name && o.Addr == s.Addr }
		if i := slices.IndexFunc(old, same); i >= 0 {
			old[i].Server = s
			g.servers = append(g.servers, old[i])
		} else {
			g.servers = append(g.servers, &server{Server: s})
		}
	}
}

// Size is how many servers are in use.
func (g *Group) Size() int { return len(g.servers) }

// exchange is one request on one server.
type exchange struct {
	group   *Group
	server  *server
	attempt *core.Attempt
	conn    *loop.Conn
	connect *loop.Timer // until the connection stands
	timer   *loop.Timer
	head    bool // only the head is asked for
	ended   bool // the server sends no more
}

// pick is the server with the least to do for its weight among those that have not had this request and do not rest.
// Where all rest, one of them is tried all the same.
func (g *Group) pick(a *core.Attempt) *server {
	var best *server
	least := math.Inf(1)
	for _, s := range g.servers {
		if s.open >= g.opt.MaxConns || a.Tried(s.Name) {
			continue
		}
		load := float64(s.open+1) / float64(s.Weight)
		if s.rests > g.loop.Now() {
			load += 1e9
		}
		if load < least {
			best, least = s, load
		}
	}
	return best
}

// Run implements core.Runner.
func (g *Group) Run(a *core.Attempt) {
	s := g.pick(a)
	packet, err := packet(a)
	if s == nil || err != nil {
		log.Printf("upstream: %s: %s was sent to nobody (no server free: %t, error: %v)", g.name, a.Request.Name, s == nil, err)
		x := &exchange{group: g, attempt: a}
		g.attempts[a] = x
		g.loop.Post(func() { x.end(core.Unreachable, nil) })
		return
	}
	a.Server = s.Name
	s.open++
	x := &exchange{group: g, server: s, attempt: a, head: method(a) == "HEAD"}
	g.attempts[a] = x
	x.connect = g.loop.After(g.opt.ConnectWithin, func() { x.fail("connection takes too long") })
	x.timer = g.loop.After(a.Due-g.loop.Now(), x.outOfTime)
	x.conn = g.loop.Dial(s.Addr, loop.Limits{In: g.opt.MaxResponse + uwsgi.MaxVars, Out: len(packet)}, x)
	x.conn.Write(packet)
}

// Abandon implements core.Runner. What has an effect goes on to its end, so that its result can be remembered.
func (g *Group) Abandon(a *core.Attempt) {
	if x := g.attempts[a]; x != nil && a.Safe {
		g.loop.Post(func() { x.end(core.Stopped, nil) })
	}
}

// outOfTime ends a request at its due time. One with an effect may go on for as long again: nobody waits for it,
// but a repeat gets its result.
func (x *exchange) outOfTime() {
	a := x.attempt
	now := x.group.loop.Now()
	if whole := a.Due - (now - (x.group.loop.Unix() - a.Request.Arrived)); !a.Safe && now < a.Due+whole {
		x.timer = x.group.loop.After(a.Due+whole-now, x.outOfTime)
		return
	}
	x.end(core.TimedOut, nil)
}

// end is the one place where an exchange is given back, and its outcome reported, once.
func (x *exchange) end(o core.Outcome, res *core.Result) {
	g := x.group
	if g.attempts[x.attempt] != x {
		return
	}
	delete(g.attempts, x.attempt)
	x.connect.Stop()
	x.timer.Stop()
	if s := x.server; s != nil {
		x.conn.Close(nil)
		s.open--
		switch o {
		case core.Fine, core.Fault:
			s.fails = 0
		case core.Broken, core.Unreachable, core.TimedOut:
			if s.fails++; s.fails >= failsInARow {
				log.Printf("upstream: server %s of %s failed %d times in a row, it rests", s.Name, g.name, s.fails)
				s.rests = g.loop.Now() + restFor
			}
		}
	}
	g.sink.Ended(x.attempt, o, res)
}

func (x *exchange) fail(what string) {
	if x.group.attempts[x.attempt] == x {
		log.Printf("upstream: server %s, request %s: %s", x.server.Name, x.attempt.Request.Name, what)
		x.end(core.Broken, nil)
	}
}

// Connected implements loop.Handler.
func (x *exchange) Connected() { x.connect.Stop() }

// Data implements loop.Handler. What has come stays in the connection's buffer until the response is whole.
func (x *exchange) Data(b []byte) (int, error) {
	r, err := uwsgi.ReadResponse(b, x.ended, x.head, x.group.opt.MaxResponse)
	if err != nil {
		return 0, err
	}
	if r != nil {
		x.finish(r)
	}
	return 0, nil
}

// End implements loop.Handler.
func (x *exchange) End() bool {
	x.ended = true
	r, err := uwsgi.ReadResponse(x.conn.Unread(), true, x.head, x.group.opt.MaxResponse)
	switch {
	case err != nil:
		x.fail(err.Error())
	case r == nil:
		x.fail("closed before the answer was whole")
	default:
		x.finish(r)
	}
	return false
}

// Closed implements loop.Handler.
func (x *exchange) Closed(err error) {
	var refused *loop.RefusedError
	switch {
	case errors.As(err, &refused):
		x.end(core.Unreachable, nil) // the one proof that nothing ran
	case err == nil || err == io.EOF:
		x.fail("closed")
	default:
		x.fail(err.Error())
	}
}

// finish takes a whole response. One of the server's own failures may have had its effect.
func (x *exchange) finish(r *uwsgi.Response) {
	if r.Status >= 500 {
		log.Printf("upstream: server %s, request %s: status %d", x.server.Name, x.attempt.Request.Name, r.Status)
		x.end(core.Fault, nil)
		return
	}
	res := &core.Result{Status: r.Status, Body: r.Body}
	for _, f := range r.Fields {
		res.Fields = append(res.Fields, core.Field(f))
	}
	x.end(core.Fine, res)
}
