// Package uwsgi is the front for uwsgi callers: one request a connection, to the core and back. It
// decides nothing.
package uwsgi

import (
	"cmp"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/match"
	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	evTooMany     = logging.Define("uwsgi.too_many", slog.LevelWarn, "address", "most")
	evUnfinished  = logging.Define("uwsgi.unfinished", slog.LevelWarn)
	evSlow        = logging.Define("uwsgi.slow_reader", slog.LevelWarn, "error")
	evBad         = logging.Define("uwsgi.bad_request", slog.LevelWarn, "status", "error")
	evBodyCut     = logging.Define("uwsgi.body_cut", slog.LevelWarn, "cause")
	evResponseCut = logging.Define("uwsgi.response_cut", slog.LevelWarn, "untaken", "cause")
)

// Route leads the paths below a prefix to a class.
type Route struct {
	Prefix     string
	Class      int
	Deadline   int64             // microseconds that a caller waits; 0: the class's deadline
	Key        *match.Expression // the dedupe key; nil: the variable that the options name
	Idempotent bool              // the class may be repeated
	Proxied    bool              // it runs on servers
}

// Options set the front up.
type Options struct {
	Listen         netaddr.Addr
	MaxConnections int
	// connections of one address; 0: no bound. Callers on a unix socket have none.
	MaxConnectionsPerAddress int
	MaxVariablesBytes        int                // bytes
	Flow                     flowcontrol.Limits // of responses
	ReadTimeout              int64              // microseconds for a request to come whole
	Routes                   []Route
	Matcher                  match.Matcher // to them, by their numbers
	HealthPath               string
	TenantVariable           string // the variable that names the tenant; it is given once
	KeyVariable              string // the variable with the dedupe key
	FirstAttemptVariable     string // the variable with the time of the first try; empty: there is none
	SizeKB                   float64
	Seed                     uint64
}

const (
	mostLine   = 8 << 10   // of a chunked body's framing
	onePart    = 128 << 10 // of a response that streams, beside what may wait
	sweepEvery = 500_000
	takeWithin = 10 * time.Second // a reader of one takes something within so long
	maxExtra   = 64 << 10         // bytes behind a request that are thrown away
	youngFor   = 100_000          // a connection that was just taken does not have to make room
	// what was taken from the queue as the front left brings its request by then
	firstWithin = 300_000
	roomFor     = 16 // connections that are closed at once when others wait
)

// Frontend owns the listening socket of uwsgi callers and the connections on it.
type Frontend struct {
	loop  *eventloop.Loop
	core  *lifecycle.Manager
	opt   Options
	ln    *eventloop.Listener
	conns map[*conn]struct{}
	from  map[netip.Addr]int // connections by address
	names uint64
	good  bool
	flows *flowcontrol.ReaderWindows // of responses that stream
	ids   flowcontrol.ReaderID
}

// New makes a front; Listen opens it.
func New(l *eventloop.Loop, opt Options) *Frontend {
	return &Frontend{
		loop:  l,
		opt:   opt,
		conns: map[*conn]struct{}{},
		from:  map[netip.Addr]int{},
		names: opt.Seed,
		good:  true,
		flows: flowcontrol.NewReaderWindows(opt.Flow),
	}
}

// Listen begins to take connections for the core.
func (f *Frontend) Listen(c *lifecycle.Manager) (err error) {
	f.core = c
	f.ln, err = f.loop.ListenAddr(f.opt.Listen, f.opt.MaxConnections, f.limits(), f.accept, f.makeRoom)
	if err == nil {
		f.loop.Every(time.Duration(sweepEvery)*time.Microsecond, f.sweep)
	}
	return err
}

// Addr is where the front listens.
func (f *Frontend) Addr() netaddr.Addr { return f.ln.LocalAddr() }

// Connections is how many connections are open.
func (f *Frontend) Connections() int { return len(f.conns) }

// SetOptions takes other options for what comes from now on. The listening socket stays where it
// is.
func (f *Frontend) SetOptions(opt Options) {
	opt.Listen = f.opt.Listen
	f.opt = opt
	f.ln.SetMaxOpen(opt.MaxConnections)
	f.ln.SetLimits(f.limits())
	f.flows.SetLimits(opt.Flow)
}

// limits bound the buffers of a connection.
func (f *Frontend) limits() eventloop.BufferLimits {
	return eventloop.BufferLimits{
		In: 4 + f.opt.MaxVariablesBytes + mostLine,
		Out: max(
			f.opt.Flow.MaxBuffered,
			f.opt.Flow.MaxCached,
		) + f.opt.Flow.MaxQueued + onePart + httpmessage.MaxHeadBytes,
	}
}

// SetHealth says how health checks are answered.
func (f *Frontend) SetHealth(good bool) { f.good = good }

// Drain stops listening. What has begun to come is still read and answered; a connection on which
// nothing came is left, one that was just taken from the queue after a while, as its request may be
// on the way.
func (f *Frontend) Drain() {
	f.ln.CloseWhenAccepted(time.Duration(firstWithin) * time.Microsecond)
	f.leaveSilent(firstWithin)
	f.loop.After(time.Duration(2*firstWithin)*time.Microsecond, func() { f.leaveSilent(0) })
}

// leaveSilent leaves connections that are older than that and on which nothing has come, also not
// in this very turn.
func (f *Frontend) leaveSilent(age int64) {
	for c := range f.conns {
		if !c.sent && c.req == nil && len(c.Buffered()) == 0 && int64(f.loop.Unix())-c.began > age &&
			!c.HasUnreadInput() {
			c.CloseGracefully()
		}
	}
}

// makeRoom closes connections on which no request has come, the oldest first, as others wait for
// their places. A crowd of silent peers would else keep all callers out for as long as a request
// may take to come.
func (f *Frontend) makeRoom() {
	var silent []*conn
	for c := range f.conns {
		if !c.sent && !c.answered && int64(f.loop.Unix())-c.began > youngFor {
			silent = append(silent, c)
		}
	}
	slices.SortFunc(silent, func(a, b *conn) int { return cmp.Compare(a.began, b.began) })
	gone := 0
	for _, c := range silent {
		if gone == roomFor {
			return
		}
		if !c.HasUnreadInput() { // a request may have come in this very moment
			gone++
			c.Close(nil)
		}
	}
}

func (f *Frontend) accept(lc *eventloop.Conn) eventloop.Handler {
	c := &conn{front: f, Conn: lc, began: int64(f.loop.Unix())}
	c.timer = f.loop.After(
		time.Duration(f.opt.ReadTimeout)*time.Microsecond,
		func() { c.reject(408, errors.New("request does not come")) },
	)
	f.conns[c] = struct{}{}
	if lc.RemoteAddr().IsValid() {
		c.addr = lc.RemoteAddr().Addr()
		f.from[c.addr]++
		// nothing ran, and it may try again later
		if f.opt.MaxConnectionsPerAddress > 0 && f.from[c.addr] > f.opt.MaxConnectionsPerAddress {
			evTooMany.Log(c.addr, f.opt.MaxConnectionsPerAddress)
			f.loop.Post(func() { c.Close(nil) })
		}
	}
	return c
}
