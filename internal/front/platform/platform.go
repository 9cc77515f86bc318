// Package platform is the front for the platform's balancers: FastCGI to the core and back. It decides nothing.
package platform

import (
	"cmp"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"shalesail/internal/core"
	"shalesail/internal/fastcgi"
	"shalesail/internal/loop"
)

const (
	maxParams   = 8 << 10
	maxBody     = 2 << 10
	maxOpen     = 64        // requests on one connection; the platform's balancers open 32
	maxOut      = 512 << 10 // answers that a peer has not read: all that it may have open, with room to spare
	sweepEvery  = 200_000
	readWithin  = 30_000_000 // a request that has begun may stand still for so long
	largeUnread = 8
	roomFor     = 16 // idle connections that are closed at once when others wait
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
	leaving bool
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
func (f *Front) SetMost(most int) { f.ln.SetMost(most) }

// limits bound the buffers of a connection.
func (f *Front) limits() loop.Limits { return loop.Limits{In: fastcgi.MaxRecord, Out: f.maxOut} }

// Listen begins to take connections for the core, at most so many at once.
func (f *Front) Listen(addr netip.AddrPort, most int, c *core.Core) (err error) {
	f.core = c
	f.ln, err = f.loop.Listen(addr, most, f.limits(), f.accept, f.makeRoom)
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
func (f *Front) SetPressure(v float64) { f.pressure = strconv.FormatFloat(v, 'f', 4, 64) }

// SetIdle has connections closed that are idle for so long.
func (f *Front) SetIdle(us int64) { f.idle = us }

// Leave stops listening and closes each connection as it has no open request.
func (f *Front) Leave() {
	f.leaving = true
	f.ln.Close()
	f.sweep()
}

// Conns is how many connections are open.
func (f *Front) Conns() int { return len(f.conns) }

func (f *Front) accept(lc *loop.Conn) loop.Handler {
	c := &conn{front: f, Conn: lc, open: map[uint16]*exchange{}, used: f.loop.Now()}
	f.conns[c] = struct{}{}
	return c
}

// sweep closes idle connections.
func (f *Front) sweep() {
	for c := range f.conns {
		still := f.loop.Now() - c.used
		switch {
		case len(c.open) == 0 && (f.leaving || f.idle > 0 && still > f.idle):
			c.Leave()
		case still > readWithin && !c.owed():
			log.Printf("platform: connection closed: a request does not come")
			c.Close(nil)
		}
	}
}

// makeRoom closes the connections that have been idle for longest, as others wait for their places. One at a time
// would have each of those wait for a slow peer to close.
func (f *Front) makeRoom() {
	var idle []*conn
	for c := range f.conns {
		if len(c.open) == 0 && !c.IsLeaving() {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return cmp.Compare(a.used, b.used) })
	for _, c := range idle[:min(len(idle), roomFor)] {
		c.Leave()
	}
}

// conn is one connection of a balancer.
type conn struct {
	*loop.Conn
	front *Front
	open  map[uint16]*exchange
	used  int64 // when something last came or was answered
	ended bool  // the peer sends no more
	last  bool  // the peer wants the connection closed after its answers
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
	big    bool // the body is over its limit
	sent   bool // it was handed to the core
	ticket core.Ticket
}

// Connected implements loop.Handler.
func (c *conn) Connected() {}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) (used int, err error) {
	for !c.IsClosed() {
		rec, n, err := fastcgi.Read(b[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
		c.used = c.front.loop.Now()
		if err := c.record(rec); err != nil {
			log.Printf("platform: connection closed: %v", err)
			return used, err
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
		log.Printf("platform: connection closed with %d requests open: %v", len(c.open), err)
	}
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
		x.params = append(x.params, rec.Content...)
	case rec.Type == fastcgi.Stdin && x.whole && !x.sent:
		if len(rec.Content) == 0 {
			x.read()
		} else if x.big = x.big || len(x.body)+len(rec.Content) > maxBody; !x.big {
			x.body = append(x.body, rec.Content...)
		}
	}
	return nil
}

// manage answers records that are about the connection. Those of unknown types get told so.
func (c *conn) manage(rec fastcgi.Record) error {
	if rec.Type != fastcgi.GetValues {
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
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.UnknownRole))
	case len(c.open) >= maxOpen:
		c.Write(fastcgi.AppendEnd(nil, rec.ID, 0, fastcgi.Overloaded))
	default:
		c.open[rec.ID] = &exchange{conn: c, id: rec.ID, keep: v.Keep}
	}
	return nil
}

// abort ends a request for which nobody waits. What runs goes on; the core keeps its key.
func (x *exchange) abort() {
	if x.sent {
		x.conn.front.core.Abandon(x.ticket)
	}
	x.end(nil)
}

// end writes the last records of a request and forgets it.
func (x *exchange) end(out []byte) {
	c := x.conn
	if c.open[x.id] != x {
		return
	}
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
		fields := []string{"X-Come-Back-Ms", strconv.FormatInt((a.ComeBack+999)/1000, 10)}
		if a.Last {
			fields = append(fields, "X-No-Failover", "1")
		}
		x.respond(503, nil, fields...)
	case core.Late:
		x.respond(504, nil)
	default:
		x.respond(500, nil)
	}
}

// read takes over a request whose last byte has come.
func (x *exchange) read() {
	x.sent = true
	f := x.conn.front
	p := map[string]string{}
	var meta []core.Field
	if err := fastcgi.ReadPairs(x.params, func(name, value string) {
		p[name] = value
		meta = append(meta, core.Field{Name: name, Value: value})
	}); err != nil {
		x.reject(400, err)
		return
	}
	x.params = nil
	path := p["SCRIPT_NAME"]
	if path == healthPath {
		x.health(p["QUERY_STRING"])
		return
	}
	q, err := f.request(p, path)
	switch {
	case err != nil:
		x.reject(400, err)
	case x.big:
		x.reject(413, errors.New("body over its limit"))
	default:
		q.Body, q.Meta, q.Asker = x.body, meta, x
		x.ticket = f.core.Submit(q)
	}
}

func (x *exchange) reject(status int, err error) {
	log.Printf("platform: bad request answered %d: %v", status, err)
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

// request reads the fields of a request.
func (f *Front) request(p map[string]string, path string) (*core.Request, error) {
	q := &core.Request{Name: p["HTTP_X_CALL_ID"], Key: p["HTTP_X_DEDUPE_KEY"]}
	var ok bool
	if q.Class, ok = f.core.Class(strings.TrimPrefix(path, opsPrefix)); !ok || !strings.HasPrefix(path, opsPrefix) {
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
	if err != nil || ms <= 0 || ms > 1<<50 {
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
