// Package platform is the front for the platform's balancers: FastCGI to the core and back. It decides nothing.
package platform

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"shalesail/internal/core"
	"shalesail/internal/fastcgi"
	"shalesail/internal/logs"
	"shalesail/internal/loop"
)

// What is told to operators.
var (
	evIdle       = logs.Define("platform.no_request", slog.LevelWarn)
	evUnfinished = logs.Define("platform.unfinished", slog.LevelWarn, "bytes")
	evBadRecord  = logs.Define("platform.bad_record", slog.LevelWarn, "error")
	evSlow       = logs.Define("platform.slow_reader", slog.LevelWarn, "open", "error")
	evBad        = logs.Define("platform.bad_request", slog.LevelWarn, "status", "error")
)

const (
	maxParams   = 8 << 10
	maxBody     = 2 << 10
	maxOpen     = 32        // requests on one connection; the platform's balancers open no more
	maxOut      = 256 << 10 // answers that a peer has not read: all that it may have open, with room to spare
	sweepEvery  = 100_000
	askWithin   = 2_000_000  // the first whole request of a connection comes within so long
	readWithin  = 2_000_000  // and each further one, once it has begun
	takeWithin  = 10_000_000 // a peer takes what it is sent
	firstWithin = 300_000    // what was taken from the queue as the front left brings its request by then
	youngFor    = 100_000    // a connection that was just taken does not have to make room
	largeUnread = 8
	roomFor     = 16      // connections that are closed at once when others wait
	maxUnread   = 2 << 20 // parts of requests on all connections together
	opsPrefix   = "/ops/"
	healthPath  = "/alive"
)

// Checker does the work of a deep health check and tells how it went.
type Checker interface{ Check(func(good bool)) }

// Front owns the listening socket of the platform and the connections on it.
type Front struct {
	loop    *loop.Loop
	core    *core.Core
	checker Checker
	ln      *loop.Listener
	maxOut  int
	conns   map[*conn]struct{}
	idle    int64
	partial int // bytes of requests that have not come whole
	leaving bool
	retired bool // another process serves in its place
	// What goes with answers.
	pressure     string
	stored, good bool
}

// New makes a front; Listen opens it. The checker may be nil. A connection may leave a few answers of the given size
// unread beside those of the platform's engine.
func New(l *loop.Loop, checker Checker, maxResponse int) *Front {
	f := &Front{loop: l, checker: checker, conns: map[*conn]struct{}{}, good: true}
	f.SetMaxResponse(maxResponse)
	return f
}

// SetMaxResponse takes another size of large answers for connections from now on.
func (f *Front) SetMaxResponse(size int) {
	f.maxOut = maxOut + largeUnread*size
	if f.ln != nil {
		f.ln.SetLimits(f.limits())
	}
}

// SetMost says how many connections are taken at once from now on.
func (f *Front) SetMost(most int) {
	if f.ln != nil {
		f.ln.SetMost(most)
	}
}

// Most is how many connections are taken at once.
func (f *Front) Most() int { return f.ln.Most() }

// limits bound the buffers of a connection.
func (f *Front) limits() loop.Limits { return loop.Limits{In: maxRecord, Out: f.maxOut} }

// maxRecord is the longest record that is waited for. No balancer has a use for longer ones, and a crowd of peers that
// each leave a large one unfinished would take all memory.
const maxRecord = 8 + maxParams + 255

// Listen begins to take connections for the core, at most so many at once.
func (f *Front) Listen(addr netip.AddrPort, most int, c *core.Core) (err error) {
	f.core = c
	f.ln, err = f.loop.ListenShared(addr, most, f.limits(), f.accept, f.makeRoom)
	if err == nil {
		f.loop.Every(sweepEvery, f.sweep)
	}
	return err
}

// Addr is where the front listens.
func (f *Front) Addr() netip.AddrPort { return f.ln.Addr() }

// SetHealth says how health checks are answered.
func (f *Front) SetHealth(stored, good bool) { f.stored, f.good = stored, good }

// SetPressure sets the free value that goes with each answer.
func (f *Front) SetPressure(v float64) {
	if !f.retired {
		f.pressure = strconv.FormatFloat(v, 'f', 4, 64)
	}
}

// SetIdle has connections closed that are idle for so long.
func (f *Front) SetIdle(us int64) { f.idle = us }

// Leave stops listening and closes each connection as it has no open request.
func (f *Front) Leave() {
	f.leaving = true
	f.ln.Close()
	f.sweep()
}

// Listens tells whether connections are still taken.
func (f *Front) Listens() bool { return f.ln != nil && f.ln.Listens() }

// Retire is Leave where another process serves as this runner: what this one says of its own room is not meant for it.
func (f *Front) Retire() {
	f.retired, f.pressure, f.leaving = true, "", true
	f.ln.HandOver()
	f.sweep()
}

// Conns is how many connections are open.
func (f *Front) Conns() int { return len(f.conns) }

func (f *Front) accept(lc *loop.Conn) loop.Handler {
	c := &conn{front: f, Conn: lc, open: map[uint16]*exchange{}, began: f.loop.Now(), used: f.loop.Now()}
	f.conns[c] = struct{}{}
	return c
}

// sweep closes connections that are idle, or on which a request does not come whole, or answers are not taken.
func (f *Front) sweep() {
	now := f.loop.Now()
	if !f.leaving && f.ln.Over() { // its share became smaller
		f.makeRoom()
	}
	for c := range f.conns {
		switch {
		case c.IsClosed() || c.IsLeaving(): // that has a limit of its own
		case c.Stuck() > takeWithin:
			c.Close(loop.ErrPeerSlow)
		case !c.asked && now-c.began > askWithin || c.late(now):
			evIdle.Log()
			c.Close(nil)
		case len(c.open) == 0 && (f.leaving && (c.asked || now-c.began > firstWithin) || f.idle > 0 && now-c.used > f.idle):
			c.Leave()
		}
	}
}

// late tells whether a request on the connection has begun and does not go on to its end. That something comes is not
// enough: a peer that sends a byte now and then would hold its place for good.
func (c *conn) late(now int64) bool {
	for _, x := range c.open {
		if !x.sent && now-x.began > readWithin {
			return true
		}
	}
	return len(c.open) == 0 && len(c.Unread()) > 0 && now-c.used > readWithin
}

// makeRoom closes connections as others wait for their places: first those that have never asked for anything, then
// those that have been idle for longest. One at a time would have each of those wait for a slow peer to close.
func (f *Front) makeRoom() {
	var idle []*conn
	for c := range f.conns {
		silent := !c.asked && f.loop.Now()-c.began > youngFor
		if !c.IsLeaving() && !c.IsClosed() && (silent || c.asked && len(c.open) == 0) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int {
		if a.asked != b.asked {
			return cmp.Compare(btoi(a.asked), btoi(b.asked))
		}
		return cmp.Compare(a.used, b.used)
	})
	for _, c := range idle[:min(len(idle), roomFor)] {
		if c.asked {
			c.Leave()
		} else {
			c.Close(nil)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hold counts bytes of requests that have not come whole. When they are too many on all connections together, the
// connection with the most of them goes: it is not one of those that send what they begin.
func (f *Front) hold(n int) {
	f.partial += n
	if f.partial <= maxUnread {
		return
	}
	var most *conn
	for c := range f.conns {
		if !c.IsClosed() && (most == nil || c.partial > most.partial) {
			most = c
		}
	}
	if most != nil {
		evUnfinished.Log(most.partial)
		most.forget()
		most.Close(nil)
	}
}

// conn is one connection of a balancer.
type conn struct {
	*loop.Conn
	front   *Front
	open    map[uint16]*exchange
	partial int   // bytes of requests that have not come whole
	began   int64 // when it was taken
	used    int64 // when something last came or was answered
	asked   bool  // a whole request has come
	ended   bool  // the peer sends no more
	last    bool  // the connection closes after its answers
}

// forget gives back what is held of requests that have not come whole.
func (c *conn) forget() {
	for _, x := range c.open {
		x.forget()
	}
}

// owed tells whether an answer is still to go out on the connection.
func (c *conn) owed() bool {
	for _, x := range c.open {
		if x.sent {
			return true
		}
	}
	return false
}

// exchange is one request on a connection, from its begin to its end.
type exchange struct {
	conn   *conn
	id     uint16
	keep   bool
	params []byte
	body   []byte
	whole  bool // the parameters are
	sent   bool // it was handed to the core
	began  int64
	ticket core.Ticket
}

// forget gives back the parts of a request.
func (x *exchange) forget() {
	n := len(x.params) + len(x.body)
	x.params, x.body = nil, nil
	x.conn.partial -= n
	x.conn.front.partial -= n
}

// add takes a further part of a request.
func (x *exchange) add(to *[]byte, part []byte) {
	*to = append(*to, part...)
	x.conn.partial += len(part)
	x.conn.front.hold(len(part))
}

// Connected implements loop.Handler.
func (c *conn) Connected() {}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) (used int, err error) {
	for !c.IsClosed() {
		rec, n, err := fastcgi.Read(b[used:], maxRecord)
		if err != nil {
			evBadRecord.Log(err)
			return used, err
		}
		if n == 0 {
			return used, nil
		}
		used += n
		c.used = c.front.loop.Now()
		if err := c.record(rec); err != nil {
			evBadRecord.Log(err)
			return used, err
		}
		if c.IsLeaving() { // what comes now is not read any more
			return len(b), nil
		}
	}
	return used, nil
}

// End implements loop.Handler. A peer may stop sending and still wait for its answers.
func (c *conn) End() bool {
	c.ended = true
	return c.owed()
}

// Closed implements loop.Handler.
func (c *conn) Closed(err error) {
	if errors.Is(err, loop.ErrPeerSlow) {
		evSlow.Log(len(c.open), err)
	}
	c.forget()
	delete(c.front.conns, c)
	open := c.open
	c.open = nil
	for _, x := range open {
		if x.sent {
			c.front.core.Abandon(x.ticket)
		}
	}
}

func (c *conn) record(rec fastcgi.Record) error {
	if rec.ID == 0 {
		return c.manage(rec)
	}
	x := c.open[rec.ID]
	switch {
	case rec.Type == fastcgi.BeginRequest && x == nil:
		return c.begin(rec)
	case rec.Type == fastcgi.BeginRequest:
		return fmt.Errorf("request %d begins twice", rec.ID)
	case x == nil: // of a request that is over
	case rec.Type == fastcgi.AbortRequest:
		x.abort()
	case rec.Type == fastcgi.Params && !x.whole:
		if x.whole = len(rec.Content) == 0; len(x.params)+len(rec.Content) > maxParams {
			return errors.New("parameters over their limit")
		}
		x.add(&x.params, rec.Content)
	case rec.Type == fastcgi.Stdin && x.whole && !x.sent:
		switch {
		case len(rec.Content) == 0:
			x.read()
		case len(x.body)+len(rec.Content) > maxBody: // its end may never come
			x.sent = true
			x.reject(413, errors.New("body over its limit"))
		default:
			x.add(&x.body, rec.Content)
		}
	}
	return nil
}

// manage answers records that are about the connection. Those of unknown types get told so.
func (c *conn) manage(rec fastcgi.Record) error {
	if rec.Type != fastcgi.GetValues {
		c.last = true
		c.Write(fastcgi.Append(nil, fastcgi.UnknownType, 0, []byte{rec.Type, 0, 0, 0, 0, 0, 0, 0}))
		return nil
	}
	var out []byte
	err := fastcgi.ReadPairs(rec.Content, func(name, _ string) {
		switch name {
		case "FCGI_MAX_CONNS", "FCGI_MAX_REQS":
			out = fastcgi.AppendPair(out, name, strconv.Itoa(maxOpen))
		case "FCGI_MPXS_CONNS":
			out = fastcgi.AppendPair(out, name, "1")
		}
	})
	c.Write(fastcgi.Append(nil, fastcgi.GetValuesResult, 0, out))
	return err
}

func (c *conn) begin(rec fastcgi.Record) error {
	v, err := fastcgi.ReadBegin(rec.Content)
	switch {
	case err != nil:
		return err
	case v.Role != fastcgi.Responder:
		c.last = true
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.UnknownRole))
	case len(c.open) >= maxOpen:
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.Overloaded))
	default:
		c.open[rec.ID] = &exchange{conn: c, id: rec.ID, keep: v.Keep, began: c.front.loop.Now()}
	}
	return nil
}

// abort ends a request for which nobody waits. What runs goes on; the core keeps its key.
func (x *exchange) abort() {
	if x.sent {
		x.conn.front.core.Withdraw(x.ticket)
	}
	x.end(nil)
}

// end writes the last records of a request and forgets it.
func (x *exchange) end(out []byte) {
	c := x.conn
	if c.open[x.id] != x {
		return
	}
	x.forget()
	delete(c.open, x.id)
	c.used = c.front.loop.Now()
	c.Write(fastcgi.AppendEnd(out, x.id, 0, fastcgi.RequestComplete))
	c.last = c.last || !x.keep
	if (c.last || c.ended || c.front.leaving) && !c.owed() {
		c.Leave()
	}
}

// respond writes a whole answer. Fields come in pairs of name and value.
func (x *exchange) respond(status int, body []byte, fields ...string) {
	out := make([]byte, 0, 256+len(body))
	out = append(out, "Status: "+strconv.Itoa(status)+"\r\n"...)
	if p := x.conn.front.pressure; p != "" {
		fields = append(fields, "X-Pressure", p)
	}
	for i := 0; i < len(fields); i += 2 {
		out = append(out, fields[i]+": "+fields[i+1]+"\r\n"...)
	}
	out = append(append(out, "\r\n"...), body...)
	recs := fastcgi.Append(make([]byte, 0, len(out)+64), fastcgi.Stdout, x.id, out)
	x.end(fastcgi.Append(recs, fastcgi.Stdout, x.id, nil))
}

// Answer implements core.Asker.
func (x *exchange) Answer(a core.Answer) {
	switch a.Kind {
	case core.Served:
		fields := make([]string, 0, 2*len(a.Result.Fields)+2)
		for _, f := range a.Result.Fields {
			fields = append(fields, f.Name, f.Value)
		}
		x.respond(a.Result.Status, a.Result.Body, fields...)
	case core.Refused:
		var fields []string
		if a.ComeBack > 0 {
			fields = append(fields, "X-Come-Back-Ms", strconv.FormatInt((a.ComeBack+999)/1000, 10))
		}
		if a.Last {
			fields = append(fields, "X-No-Failover", "1")
		}
		x.respond(503, nil, fields...)
	case core.Late:
		x.respond(504, nil)
	case core.Misused:
		x.reject(422, errors.New(a.Reason.String()))
	case core.Ran:
		x.respond(409, []byte("it ran, and its result was not kept\n"), "Content-Type", "text/plain")
	case core.Foreign:
		x.reject(404, errors.New("nobody here knows this request"))
	default:
		x.respond(500, nil)
	}
}

// read takes over a request whose last byte has come.
func (x *exchange) read() {
	x.sent, x.conn.asked = true, true
	f := x.conn.front
	p := map[string]string{}
	var meta []core.Field
	var twice error
	err := fastcgi.ReadPairs(x.params, func(name, value string) {
		// The core goes by one value, and a server behind might go by the other.
		if old, known := p[name]; known {
			if old != value {
				twice = fmt.Errorf("%s is given twice, as %q and %q", name, old, value)
			}
			return
		}
		p[name] = value
		meta = append(meta, core.Field{Name: name, Value: value})
	})
	if err = cmp.Or(err, twice); err != nil {
		x.reject(400, err)
		return
	}
	body := x.body
	x.forget()
	path := p["SCRIPT_NAME"]
	if path == healthPath {
		x.health(p["QUERY_STRING"])
		return
	}
	q, err := f.request(p, path)
	switch {
	case errors.Is(err, errDropped): // its balancer has not heard of it yet, and its other requests are as good as ever
		x.respond(404, []byte(err.Error()+"\n"), "Content-Type", "text/plain")
	case err != nil:
		x.reject(400, err)
	case p["CONTENT_LENGTH"] != "" && p["CONTENT_LENGTH"] != strconv.Itoa(len(body)):
		x.reject(400, fmt.Errorf("CONTENT_LENGTH %q, and a body of %d bytes", p["CONTENT_LENGTH"], len(body)))
	default:
		q.Body, q.Meta, q.Asker = body, meta, x
		x.ticket = f.core.Submit(q)
	}
}

// reject answers what can't be taken for a request of a balancer. Its connection takes no more: the next would be as
// bad, and a peer that sends the same again as soon as it is answered would keep the loop busy with nothing else.
func (x *exchange) reject(status int, err error) {
	x.conn.last = true
	evBad.Log(status, err)
	x.respond(status, []byte(err.Error()+"\n"), "Content-Type", "text/plain")
}

func (x *exchange) health(query string) {
	f := x.conn.front
	answer := func(good bool) {
		if good {
			x.respond(200, nil)
		} else {
			x.respond(503, nil)
		}
	}
	v, _ := url.ParseQuery(query) // what can't be read sets nothing
	if f.stored || f.checker == nil || v.Get("thorough") != "1" {
		answer(f.good)
		return
	}
	f.checker.Check(answer)
}

// errDropped is that of a request of a class that was dropped a while ago.
var errDropped = errors.New("the class is not served any more")

const maxAhead = 1000 // milliseconds by which a balancer's clock may be ahead

// request reads the fields of a request.
func (f *Front) request(p map[string]string, path string) (*core.Request, error) {
	q := &core.Request{Name: p["HTTP_X_CALL_ID"], Key: p["HTTP_X_DEDUPE_KEY"]}
	var ok bool
	if q.Class, ok = f.core.Class(strings.TrimPrefix(path, opsPrefix)); !ok || !strings.HasPrefix(path, opsPrefix) {
		if f.core.Dropped(strings.TrimPrefix(path, opsPrefix)) {
			return nil, errDropped
		}
		return nil, fmt.Errorf("no class at %q", path)
	}
	if p["REQUEST_METHOD"] != "POST" {
		return nil, fmt.Errorf("method %q", p["REQUEST_METHOD"])
	}
	if _, err := strconv.ParseUint(q.Name, 16, 64); err != nil || len(q.Name) != 16 {
		return nil, fmt.Errorf("X-Call-Id %q is not 16 hex digits", q.Name)
	}
	if q.Tenant, ok = f.core.Tenant(p["HTTP_X_CUSTOMER"]); !ok {
		return nil, fmt.Errorf("unknown X-Customer %q", p["HTTP_X_CUSTOMER"])
	}
	if f.core.Keyed(q.Class) && q.Key == "" {
		return nil, errors.New("no X-Dedupe-Key in a keyed class")
	}
	ms, err := strconv.ParseInt(p["HTTP_X_QUEUE_START"], 10, 64)
	// A key is remembered for its window from that time on: one far ahead would be remembered for ever.
	if err != nil || ms <= 0 || ms > f.loop.Unix()/1000+maxAhead {
		return nil, fmt.Errorf("X-Queue-Start %q", p["HTTP_X_QUEUE_START"])
	}
	q.Arrived = ms * 1000
	source, err := strconv.ParseUint(p["HTTP_X_SOURCE"], 10, 32)
	if err != nil {
		return nil, fmt.Errorf("X-Source %q", p["HTTP_X_SOURCE"])
	}
	q.Caller = uint32(source)
	if q.SizeKB, err = strconv.ParseFloat(p["HTTP_X_HEAP_KB"], 64); err != nil || !(q.SizeKB > 0 && q.SizeKB < 2000) {
		return nil, fmt.Errorf("X-Heap-Kb %q", p["HTTP_X_HEAP_KB"])
	}
	if q.Rank, err = strconv.ParseFloat(p["HTTP_X_IMPORTANCE"], 64); err != nil || !(q.Rank >= 0 && q.Rank < 1) {
		return nil, fmt.Errorf("X-Importance %q", p["HTTP_X_IMPORTANCE"])
	}
	if e := p["HTTP_X_ENTITY"]; e != "" {
		if q.Subject, err = strconv.ParseUint(e, 16, 64); err != nil {
			return nil, fmt.Errorf("X-Entity %q", e)
		}
	}
	return q, nil
}
