// Package uwsgi is the front for uwsgi callers: one request a connection, to the core and back. It decides nothing.
package uwsgi

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"shalesail/internal/cgi"
	"shalesail/internal/core"
	"shalesail/internal/flow"
	"shalesail/internal/httpmsg"
	"shalesail/internal/logs"
	"shalesail/internal/loop"
	"shalesail/internal/match"
	"shalesail/internal/netaddr"
	"shalesail/internal/traceparent"
	"shalesail/internal/uwsgi"
)

// What is told to operators.
var (
	evTooMany     = logs.Define("uwsgi.too_many", slog.LevelWarn, "address", "most")
	evUnfinished  = logs.Define("uwsgi.unfinished", slog.LevelWarn)
	evSlow        = logs.Define("uwsgi.slow_reader", slog.LevelWarn, "error")
	evBad         = logs.Define("uwsgi.bad_request", slog.LevelWarn, "status", "error")
	evBodyCut     = logs.Define("uwsgi.body_cut", slog.LevelWarn, "cause")
	evResponseCut = logs.Define("uwsgi.response_cut", slog.LevelWarn, "untaken", "cause")
)

// Route leads the paths below a prefix to a class.
type Route struct {
	Prefix string
	Class  int
	Due    int64       // microseconds that a caller waits; 0: the class's deadline
	Key    *match.Expr // the dedupe key; nil: the variable that the options name
	Safe   bool        // the class may be repeated
	Remote bool        // it runs on servers
}

// Options set the front up.
type Options struct {
	Listen     netaddr.Addr
	MaxConns   int
	PerAddress int         // connections of one address; 0: no bound. Callers on a unix socket have none.
	MaxVars    int         // bytes
	Flow       flow.Limits // of responses
	ReadWithin int64       // microseconds for a request to come whole
	Routes     []Route
	Lead       match.Lead // to them, by their numbers
	HealthPath string
	TenantVar  string // the variable that names the tenant; it is given once
	KeyVar     string // the variable with the dedupe key
	FirstVar   string // the variable with the time of the first try; empty: there is none
	SizeKB     float64
	Seed       uint64
}

const (
	mostLine    = 8 << 10   // of a chunked body's framing
	onePart     = 128 << 10 // of a response that streams, beside what may wait
	sweepEvery  = 500_000
	takeWithin  = 10_000_000 // a reader of one takes something within so long
	maxExtra    = 64 << 10   // bytes behind a request that are thrown away
	youngFor    = 100_000    // a connection that was just taken does not have to make room
	firstWithin = 300_000    // what was taken from the queue as the front left brings its request by then
	roomFor     = 16         // connections that are closed at once when others wait
)

// Front owns the listening socket of uwsgi callers and the connections on it.
type Front struct {
	loop  *loop.Loop
	core  *core.Core
	opt   Options
	ln    *loop.Listener
	conns map[*conn]struct{}
	from  map[netip.Addr]int // connections by address
	names uint64
	good  bool
	flows *flow.Budget // of responses that stream
	ids   flow.ID
}

// New makes a front; Listen opens it.
func New(l *loop.Loop, opt Options) *Front {
	return &Front{loop: l, opt: opt, conns: map[*conn]struct{}{}, from: map[netip.Addr]int{}, names: opt.Seed, good: true,
		flows: flow.NewBudget(opt.Flow)}
}

// Listen begins to take connections for the core.
func (f *Front) Listen(c *core.Core) (err error) {
	f.core = c
	f.ln, err = f.loop.ListenAddr(f.opt.Listen, f.opt.MaxConns, f.limits(), f.accept, f.makeRoom)
	if err == nil {
		f.loop.Every(sweepEvery, f.sweep)
	}
	return err
}

// Addr is where the front listens.
func (f *Front) Addr() netaddr.Addr { return f.ln.Where() }

// Conns is how many connections are open.
func (f *Front) Conns() int { return len(f.conns) }

// SetOptions takes other options for what comes from now on. The listening socket stays where it is.
func (f *Front) SetOptions(opt Options) {
	opt.Listen = f.opt.Listen
	f.opt = opt
	f.ln.SetMost(opt.MaxConns)
	f.ln.SetLimits(f.limits())
	f.flows.SetLimits(opt.Flow)
}

// limits bound the buffers of a connection.
func (f *Front) limits() loop.Limits {
	return loop.Limits{In: 4 + f.opt.MaxVars + mostLine, Out: max(f.opt.Flow.Whole, f.opt.Flow.Keep) + f.opt.Flow.Queue + onePart + httpmsg.MaxHead}
}

// SetHealth says how health checks are answered.
func (f *Front) SetHealth(good bool) { f.good = good }

// Leave stops listening. What has begun to come is still read and answered; a connection on which nothing came is left, one that
// was just taken from the queue after a while, as its request may be on the way.
func (f *Front) Leave() {
	f.ln.CloseWhenTaken(firstWithin)
	f.leaveSilent(firstWithin)
	f.loop.After(2*firstWithin, func() { f.leaveSilent(0) })
}

// leaveSilent leaves connections that are older than that and on which nothing has come, also not in this very turn.
func (f *Front) leaveSilent(age int64) {
	for c := range f.conns {
		if !c.sent && c.req == nil && len(c.Unread()) == 0 && f.loop.Unix()-c.began > age && !c.HasPending() {
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
	gone := 0
	for _, c := range silent {
		if gone == roomFor {
			return
		}
		if !c.HasPending() { // a request may have come in this very moment
			gone++
			c.Close(nil)
		}
	}
}

func (f *Front) accept(lc *loop.Conn) loop.Handler {
	c := &conn{front: f, Conn: lc, began: f.loop.Unix()}
	c.timer = f.loop.After(f.opt.ReadWithin, func() { c.reject(408, errors.New("request does not come")) })
	f.conns[c] = struct{}{}
	if lc.Peer().IsValid() {
		c.addr = lc.Peer().Addr()
		f.from[c.addr]++
		if f.opt.PerAddress > 0 && f.from[c.addr] > f.opt.PerAddress { // nothing ran, and it may try again later
			evTooMany.Log(c.addr, f.opt.PerAddress)
			f.loop.Post(func() { c.Close(nil) })
		}
	}
	return c
}

// conn is one connection of a caller, and its one request.
type conn struct {
	*loop.Conn
	front    *Front
	began    int64
	addr     netip.Addr // of the caller; not valid on a unix socket
	timer    *loop.Timer
	sent     bool // the request was handed to the core
	answered bool
	headOnly bool
	req      *core.Request // its variables have come; nil: not yet
	framing  *httpmsg.Body
	body     []byte      // of it so far
	extra    int         // bytes that came behind the request
	stream   core.Stream // the rest of its answer; nil: there is none
	id       flow.ID
	route    *Route
	toEnd    bool             // its body ends as the caller closes its side
	rest     bool             // its body follows what was handed over
	upload   core.UploadTaker // who takes that; nil: nobody yet
	pending  []byte           // of it that waits for somebody
	uploadID flow.ID
	waits    bool // the caller waits for the server
	ticket   core.Ticket
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
			return len(b), loop.ErrFlood
		}
		return len(b), nil
	}
	used := 0
	if c.req == nil {
		h, n, err := uwsgi.ReadHead(b, c.front.opt.MaxVars)
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
			c.Leave()
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
		case len(c.body)+len(data) > c.front.opt.Flow.Body:
			if c.front.opt.Flow.PlanLong(c.route.Safe, c.route.Remote) == flow.NeedsLength {
				c.reject(411, errors.New("a body of this size needs its length stated"))
			} else {
				c.reject(413, uwsgi.ErrBody)
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

// begin takes the variables of a request, and reports whether its body is to be read: what is wrong without it is
// answered at once.
func (c *conn) begin(h *uwsgi.Head) bool {
	f := c.front
	vars := make([]cgi.Var, len(h.Vars))
	for i, v := range h.Vars {
		vars[i] = cgi.Var(v)
	}
	r, err := cgi.Read(vars, f.opt.KeyVar, f.opt.TenantVar, f.opt.FirstVar)
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
	plan := flow.WholeBody
	if err == nil {
		c.route = route
		if plan = f.opt.Flow.PlanBody(c.route.Safe, c.route.Remote, r.Length, r.Chunked); plan == flow.TooLarge {
			status, err = 413, fmt.Errorf("%w: %d bytes", uwsgi.ErrBody, r.Length)
		}
	}
	if err != nil {
		c.reject(status, err)
		return false
	}
	c.req, c.framing = q, httpmsg.ByLength(max(r.Length, 0))
	switch {
	case r.Chunked:
		c.framing = httpmsg.ByChunks()
	case r.ToEnd:
		c.framing, c.toEnd = httpmsg.ToEnd(), true
	}
	q.Arrived = f.arrived(r, c.began)
	if r.Continue {
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if plan == flow.StreamBody {
		c.rest = true
		q.Rest, q.Length = c, r.Length
		f.ids++
		c.uploadID = f.ids
		f.flows.Open(c.uploadID, f.loop.Now())
		c.patient()
		c.submit()
	}
	return true
}

// patient gives the caller its time to send more; while it waits for the server it need not.
func (c *conn) patient() {
	c.timer.Stop()
	c.timer = c.front.loop.After(c.front.opt.ReadWithin, func() {
		switch {
		case !c.rest:
		case c.waits:
			c.patient()
		case c.answered:
			c.Abort(errors.New("the rest of the body does not come"))
		default:
			c.front.core.Abandon(c.ticket)
			c.reject(408, errors.New("the rest of the body does not come"))
		}
	})
}

// feed takes more of a body that streams.
func (c *conn) feed(b []byte) (used int, err error) {
	for c.rest {
		data, n, done, err := c.framing.Next(b[used:], false)
		used += n
		if err != nil {
			return used, err
		}
		if n > 0 {
			c.patient()
			c.give(data)
		}
		if done {
			c.timer.Stop()
			if c.rest = false; len(c.pending) == 0 && c.upload != nil {
				c.endUpload()
			}
			return len(b), nil
		}
		if n == 0 {
			return used, nil
		}
	}
	return len(b), nil
}

func (c *conn) give(data []byte) {
	if c.upload != nil {
		c.upload.TakeBody(data)
		return
	}
	c.pending = append(c.pending, data...)
	c.Untaken(len(c.pending))
}

// Attach implements core.Upload.
func (c *conn) Attach(t core.UploadTaker) {
	c.upload = t
	pending := c.pending
	c.pending = nil
	c.Untaken(0)
	if len(pending) > 0 {
		t.TakeBody(pending)
	}
}

// Untaken implements core.Upload: the caller waits for a slow server, and nobody else does.
func (c *conn) Untaken(n int) {
	c.waits = c.front.flows.Queued(c.uploadID, n, c.front.loop.Now())
	c.Pause(c.waits)
}

// Detach implements core.Upload. What still comes is thrown away.
func (c *conn) Detach() {
	c.endUpload()
	c.rest = false
}

func (c *conn) endUpload() {
	c.upload, c.pending = nil, nil
	c.front.flows.Close(c.uploadID)
	c.waits = false
	c.Pause(false)
}

// submit hands over a request that has come whole.
func (c *conn) submit() {
	c.req.Body, c.req.Asker = c.body, c
	c.body = nil
	c.sent, c.extra = true, 0
	c.ticket = c.front.core.Submit(c.req)
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
	if errors.Is(err, loop.ErrPeerSlow) {
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
		c.front.flows.Close(c.id)
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
		Fields: []httpmsg.Field{{Name: "Content-Type", Value: "text/plain"}}})
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
	c.Leave()
}

// begun sends the first part of an answer that is still coming. From here on it can only go on or be cut.
func (c *conn) begun(res *core.Result) {
	f := c.front
	c.answered = true
	f.ids++
	c.id, c.stream = f.ids, res.Rest
	f.flows.Open(c.id, f.loop.Now())
	fields := make([]httpmsg.Field, 0, len(res.Fields))
	for _, x := range res.Fields {
		fields = append(fields, httpmsg.Field(x))
	}
	c.OnDrain(c.look)
	c.Write(uwsgi.AppendHead(nil, res.Status, fields, res.Length))
	res.Rest.Attach(c)
	c.Take(res.Body)
}

// Take implements core.Taker.
func (c *conn) Take(part []byte) {
	c.Write(part)
	c.Push()
	if c.IsClosed() {
		return
	}
	c.look()
	f := c.front
	for id, over := f.flows.Victim(); over; id, over = f.flows.Victim() {
		f.cut(id, "all readers together leave too much untaken")
	}
}

// look sees how much waits for the reader, and has the server wait for it.
func (c *conn) look() {
	if c.stream != nil && !c.IsClosed() {
		c.stream.Wait(c.front.flows.Queued(c.id, c.Queued(), c.front.loop.Now()))
	}
}

// Finished implements core.Taker.
func (c *conn) Finished() {
	c.detach()
	c.Leave()
}

// Cut implements core.Taker. The reader sees a reset: an ordinary end would make a response of no stated length look whole.
func (c *conn) Cut() {
	c.detach()
	c.Abort(errors.New("the response was cut"))
}

func (c *conn) detach() {
	c.stream = nil
	c.OnDrain(nil)
	c.front.flows.Close(c.id)
}

// cut ends the stream of one reader, or the body that one server does not take.
func (f *Front) cut(id flow.ID, why string) {
	for c := range f.conns {
		if c.uploadID == id && !c.answered {
			evBodyCut.Log(why)
			f.core.Abandon(c.ticket)
			c.reject(502, errors.New("the server does not take the body"))
			return
		}
		if c.stream != nil && c.id == id {
			evResponseCut.Log(c.Queued(), why)
			s := c.stream
			c.Cut()
			s.Cancel()
			return
		}
	}
	f.flows.Close(id) // it is gone already
}

// sweep cuts off readers that take nothing.
func (f *Front) sweep() {
	for _, id := range f.flows.Stalled(f.loop.Now(), takeWithin) {
		f.cut(id, "its reader takes nothing")
	}
}

// Answer implements core.Asker.
func (c *conn) Answer(a core.Answer) {
	r := &uwsgi.Response{}
	switch a.Kind {
	case core.Served:
		if a.Result.Rest != nil {
			c.begun(a.Result)
			return
		}
		r.Status, r.Body = a.Result.Status, a.Result.Body
		for _, f := range a.Result.Fields {
			r.Fields = append(r.Fields, httpmsg.Field(f))
		}
	case core.Refused:
		r.Status = 503
		if ms := (a.ComeBack + 999) / 1000; ms > 0 {
			r.Fields = []httpmsg.Field{{Name: "Retry-After", Value: strconv.FormatInt(max((ms+999)/1000, 1), 10)},
				{Name: "X-Come-Back-Ms", Value: strconv.FormatInt(ms, 10)}}
		}
	case core.Late:
		r.Status = 504
	case core.Ran:
		c.reject(409, errors.New("it ran, and its result was not kept"))
		return
	case core.Misused:
		c.reject(422, errors.New(a.Reason.String()))
		return
	default:
		r.Status = 502
	}
	c.respond(r)
}

// arrived is when the request came: as a front end before this one stamped it, if that can be, or when its
// connection was taken.
func (f *Front) arrived(r *cgi.Request, began int64) int64 {
	ms, err := strconv.ParseInt(r.Get("HTTP_X_QUEUE_START"), 10, 64)
	if err != nil || ms <= 0 || ms > 1<<50 || ms*1000 > f.loop.Unix() || ms*1000 < f.loop.Unix()-maxQueued {
		return began
	}
	return ms * 1000
}

// first is when the request was asked for first, as its caller says, if that can be: one that was turned away and comes back looks like a
// new one else. Nought: nobody says.
func (f *Front) first(r *cgi.Request) int64 {
	if f.opt.FirstVar == "" {
		return 0
	}
	ms, err := strconv.ParseInt(r.Get(f.opt.FirstVar), 10, 64)
	if err != nil || ms <= 0 || ms > 1<<50 || ms*1000 > f.loop.Unix() || ms*1000 < f.loop.Unix()-maxQueued {
		return 0
	}
	return ms * 1000
}

// maxQueued is the longest wait before this hop that is believed.
const maxQueued = 60_000_000

// request makes what the core gets of a request, but for its body, and tells which route it takes.
func (f *Front) request(r *cgi.Request) (*core.Request, *Route, int, error) {
	q := &core.Request{Streams: true, SizeKB: f.opt.SizeKB, Key: r.Get(f.opt.KeyVar), Trace: r.Get(traceparent.Var), Caller: maxPlatformCaller}
	m := r.Facts()
	n := f.opt.Lead.Of(m)
	if n < 0 {
		return nil, nil, 404, fmt.Errorf("no class at %q", r.Path)
	}
	route := &f.opt.Routes[n]
	q.Class, q.Due = route.Class, route.Due
	var ok bool
	if q.Tenant, ok = f.core.Tenant(m.School); !ok {
		return nil, nil, 403, fmt.Errorf("unknown tenant %q", m.School)
	}
	if route.Key != nil {
		// What was written in percent signs may hold what no variable may.
		if q.Key = route.Key.Text(m); strings.ContainsFunc(q.Key, unicode.IsControl) {
			return nil, nil, 400, fmt.Errorf("the key %q holds a control character", q.Key)
		}
	}
	if f.core.Keyed(q.Class) && q.Key == "" {
		return nil, nil, 400, fmt.Errorf("no %s in a keyed class", f.keyFrom(route))
	}
	if source, err := strconv.ParseUint(r.Get("HTTP_X_SOURCE"), 10, 32); err == nil {
		q.Caller = uint32(source)
	}
	q.First = f.first(r)
	q.Meta = make([]core.Field, 0, len(r.Vars))
	for _, v := range r.Vars {
		q.Meta = append(q.Meta, core.Field(v))
	}
	f.names += 0x9e3779b97f4a7c15 // odd, so that no name comes twice
	q.Name = fmt.Sprintf("%016x", f.names)
	return q, route, 0, nil
}

// keyFrom is where a route has its keys from.
func (f *Front) keyFrom(r *Route) string {
	if r.Key != nil {
		return r.Key.String()
	}
	return f.opt.KeyVar
}

// maxPlatformCaller is the number of callers that give none; the platform numbers its balancers from 0.
const maxPlatformCaller = 1 << 16
