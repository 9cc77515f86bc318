// Package uwsgi is the front for uwsgi callers: one request a connection, to the core and back. It decides nothing.
package uwsgi

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"shalesail/internal/core"
	"shalesail/internal/httpmsg"
	"shalesail/internal/logs"
	"shalesail/internal/loop"
	"shalesail/internal/uwsgi"
)

// Route leads the paths below a prefix to a class.
type Route struct {
	Prefix string
	Class  int
	Due    int64 // microseconds that a caller waits; 0: the class's deadline
}

// Options set the front up.
type Options struct {
	Listen        netip.AddrPort
	MaxConns      int
	MaxVars       int // bytes
	MaxBody       int
	MaxResponse   int
	ReadWithin    int64 // microseconds for a request to come whole
	Routes        []Route
	HealthPath    string
	TenantVar     string // the variable that names the tenant
	DefaultTenant string // where the variable is missing
	KeyVar        string // the variable with the dedupe key
	SizeKB        float64
	Seed          uint64
}

const (
	maxExtra = 64 << 10 // bytes behind a request that are thrown away
	youngFor = 100_000  // a connection that was just taken does not have to make room
	roomFor  = 16       // connections that are closed at once when others wait
)

// Front owns the listening socket of uwsgi callers and the connections on it.
type Front struct {
	loop  *loop.Loop
	core  *core.Core
	opt   Options
	ln    *loop.Listener
	conns map[*conn]struct{}
	names uint64
	good  bool
	bad   logs.Limit
}

// New makes a front; Listen opens it.
func New(l *loop.Loop, opt Options) *Front {
	return &Front{loop: l, opt: opt, conns: map[*conn]struct{}{}, names: opt.Seed, good: true, bad: logs.Limit{Now: l.Now}}
}

// Listen begins to take connections for the core.
func (f *Front) Listen(c *core.Core) (err error) {
	f.core = c
	f.ln, err = f.loop.Listen(f.opt.Listen, f.opt.MaxConns, f.limits(), f.accept, f.makeRoom)
	return err
}

// Addr is where the front listens.
func (f *Front) Addr() netip.AddrPort { return f.ln.Addr() }

// Conns is how many connections are open.
func (f *Front) Conns() int { return len(f.conns) }

// SetOptions takes other options for what comes from now on. The listening socket stays where it is.
func (f *Front) SetOptions(opt Options) {
	opt.Listen = f.opt.Listen
	f.opt = opt
	f.ln.SetMost(opt.MaxConns)
	f.ln.SetLimits(f.limits())
}

// limits bound the buffers of a connection.
func (f *Front) limits() loop.Limits {
	return loop.Limits{In: 4 + f.opt.MaxVars + f.opt.MaxBody, Out: f.opt.MaxResponse + httpmsg.MaxHead + 4<<10}
}

// SetHealth says how health checks are answered.
func (f *Front) SetHealth(good bool) { f.good = good }

// Leave stops listening. What has begun to come is still read and answered; a connection on which nothing came closes.
func (f *Front) Leave() {
	f.ln.Close()
	for c := range f.conns {
		if !c.sent && len(c.Unread()) == 0 {
			c.Leave()
		}
	}
}

// makeRoom closes connections on which no request has come, the oldest first, as others wait for their places. A crowd
// of silent peers would else keep all callers out for as long as a request may take to come.
func (f *Front) makeRoom() {
	var silent []*conn
	for c := range f.conns {
		if !c.sent && !c.answered && f.loop.Unix()-c.began > youngFor {
			silent = append(silent, c)
		}
	}
	slices.SortFunc(silent, func(a, b *conn) int { return cmp.Compare(a.began, b.began) })
	for _, c := range silent[:min(len(silent), roomFor)] {
		c.Close(nil)
	}
}

func (f *Front) accept(lc *loop.Conn) loop.Handler {
	c := &conn{front: f, Conn: lc, began: f.loop.Unix()}
	c.timer = f.loop.After(f.opt.ReadWithin, func() { c.reject(408, errors.New("request does not come")) })
	f.conns[c] = struct{}{}
	return c
}

// conn is one connection of a caller, and its one request.
type conn struct {
	*loop.Conn
	front    *Front
	began    int64
	timer    *loop.Timer
	sent     bool // the request was handed to the core
	answered bool
	headOnly bool
	extra    int // bytes that came behind the request
	ticket   core.Ticket
}

// Connected implements loop.Handler.
func (c *conn) Connected() {}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) (int, error) {
	if c.sent || c.answered { // more than one request: it is thrown away, as long as it ends
		if c.extra += len(b); c.extra > maxExtra {
			return len(b), loop.ErrFlood
		}
		return len(b), nil
	}
	r, n, err := uwsgi.Read(b, c.front.opt.MaxVars, c.front.opt.MaxBody)
	switch {
	case err != nil:
		c.reject(statusOf(err), err)
		return len(b), nil
	case n == 0:
		return 0, nil
	}
	c.timer.Stop()
	c.read(r)
	return len(b), nil
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, uwsgi.ErrBody):
		return 413
	case errors.Is(err, uwsgi.ErrVars):
		return 431
	}
	return 400
}

// End implements loop.Handler. A caller that closes before its answer cancels the request.
func (c *conn) End() bool {
	if !c.sent && !c.answered {
		c.front.bad.Printf("uwsgi: connection closed before the request was whole")
	}
	return c.answered
}

// Closed implements loop.Handler.
func (c *conn) Closed(err error) {
	if errors.Is(err, loop.ErrPeerSlow) {
		c.front.bad.Printf("uwsgi: connection closed: %v", err)
	}
	c.timer.Stop()
	delete(c.front.conns, c)
	if c.sent && !c.answered {
		c.answered = true
		c.front.core.Abandon(c.ticket)
	}
}

func (c *conn) reject(status int, err error) {
	c.front.bad.Printf("uwsgi: bad request answered %d: %v", status, err)
	c.respond(&uwsgi.Response{Status: status, Body: []byte(err.Error() + "\n"),
		Fields: []httpmsg.Field{{Name: "Content-Type", Value: "text/plain"}}})
}

func (c *conn) respond(r *uwsgi.Response) {
	if c.answered {
		return
	}
	c.answered = true
	c.timer.Stop()
	c.Write(uwsgi.AppendResponse(nil, r, c.headOnly))
	c.Leave()
}

// Answer implements core.Asker.
func (c *conn) Answer(a core.Answer) {
	r := &uwsgi.Response{}
	switch a.Kind {
	case core.Served:
		r.Status, r.Body = a.Result.Status, a.Result.Body
		for _, f := range a.Result.Fields {
			r.Fields = append(r.Fields, httpmsg.Field(f))
		}
	case core.Refused:
		ms := (a.ComeBack + 999) / 1000
		r.Status = 503
		r.Fields = []httpmsg.Field{{Name: "Retry-After", Value: strconv.FormatInt(max((ms+999)/1000, 1), 10)},
			{Name: "X-Come-Back-Ms", Value: strconv.FormatInt(ms, 10)}}
	case core.Late:
		r.Status = 504
	case core.Misused:
		c.reject(422, errors.New(a.Reason.String()))
		return
	default:
		r.Status = 502
	}
	c.respond(r)
}

func (c *conn) read(r *uwsgi.Request) {
	f := c.front
	path := cmp.Or(r.Get("PATH_INFO"), r.Get("SCRIPT_NAME"))
	c.headOnly = r.Get("REQUEST_METHOD") == "HEAD"
	if f.opt.HealthPath != "" && path == f.opt.HealthPath {
		status := 200
		if !f.good {
			status = 503
		}
		c.respond(&uwsgi.Response{Status: status})
		return
	}
	q, status, err := f.request(r, path)
	if err != nil {
		c.reject(status, err)
		return
	}
	q.Arrived, q.Asker = f.arrived(r, c.began), c
	c.sent, c.extra = true, 0
	c.ticket = f.core.Submit(q)
}

// arrived is when the request came: as a front end before this one stamped it, if that can be, or when its
// connection was taken.
func (f *Front) arrived(r *uwsgi.Request, began int64) int64 {
	ms, err := strconv.ParseInt(r.Get("HTTP_X_QUEUE_START"), 10, 64)
	if err != nil || ms <= 0 || ms > 1<<50 || ms*1000 > f.loop.Unix() || ms*1000 < f.loop.Unix()-maxQueued {
		return began
	}
	return ms * 1000
}

// maxQueued is the longest wait before this hop that is believed.
const maxQueued = 60_000_000

func (f *Front) request(r *uwsgi.Request, path string) (*core.Request, int, error) {
	q := &core.Request{Body: r.Body, SizeKB: f.opt.SizeKB, Key: r.Get(f.opt.KeyVar), Caller: maxPlatformCaller}
	route := f.route(path)
	if route == nil {
		return nil, 404, fmt.Errorf("no class at %q", path)
	}
	q.Class, q.Due = route.Class, route.Due
	name := cmp.Or(r.Get(f.opt.TenantVar), f.opt.DefaultTenant)
	var ok bool
	if q.Tenant, ok = f.core.Tenant(name); !ok {
		return nil, 403, fmt.Errorf("unknown tenant %q", name)
	}
	if f.core.Keyed(q.Class) && q.Key == "" {
		return nil, 400, fmt.Errorf("no %s in a keyed class", f.opt.KeyVar)
	}
	if source, err := strconv.ParseUint(r.Get("HTTP_X_SOURCE"), 10, 32); err == nil {
		q.Caller = uint32(source)
	}
	q.Meta = make([]core.Field, 0, len(r.Vars))
	for _, v := range r.Vars {
		q.Meta = append(q.Meta, core.Field(v))
	}
	f.names += 0x9e3779b97f4a7c15 // odd, so that no name comes twice
	q.Name = fmt.Sprintf("%016x", f.names)
	return q, 0, nil
}

// maxPlatformCaller is the number of callers that give none; the platform numbers its balancers from 0.
const maxPlatformCaller = 1 << 16

// route is the one with the longest prefix.
func (f *Front) route(path string) (best *Route) {
	for i := range f.opt.Routes {
		r := &f.opt.Routes[i]
		below := path == r.Prefix || strings.HasPrefix(path, strings.TrimSuffix(r.Prefix, "/")+"/")
		if below && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
