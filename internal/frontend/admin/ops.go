// Package ops is the operators' door: HTTP/1.1, one call a connection, on a listener of its own. It
// passes on what the program says, and decides and counts nothing.
//
//	GET /ops/readiness   200: this process can serve now; 503: it cannot, and why
//	GET /ops/stats       the figures
package admin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var eventBadCall = logging.Define("ops.bad_call", slog.LevelWarn, "status", "error")

const (
	maxConnections = 16      // connections at once; the share of the descriptors that is the door's
	maxHeadBytes   = 4 << 10 // bytes of a call
	maxQueuedBytes = 256 << 10
	readTimeout    = 2_000_000 // microseconds in which a call comes whole
	closedAtOnce   = 4         // connections that go at once when others wait
)

// MaxDescriptors is how many descriptors the door takes at the most, its listener included.
const MaxDescriptors = maxConnections + 1

// StatusSource is what the door tells of.
type StatusSource interface {
	// Ready tells whether this process can serve now, and if not, why.
	Ready() (why string, ok bool)
	// Statistics are written as JSON.
	Statistics() any
}

// Server owns the listener and the connections on it.
type Server struct {
	loop        *eventloop.Loop
	source      StatusSource
	listener    *eventloop.Listener
	connections []*connection // oldest first
}

// Listen opens the door.
func Listen(l *eventloop.Loop, addr netip.AddrPort, of StatusSource) (*Server, error) {
	d := &Server{loop: l, source: of}
	var err error
	d.listener, err = l.Listen(
		addr,
		maxConnections,
		eventloop.BufferLimits{In: maxHeadBytes + 4, Out: maxQueuedBytes},
		d.accept,
		d.makeRoom,
	)
	return d, err
}

// Addr is where it listens.
func (d *Server) Addr() netip.AddrPort { return d.listener.Addr() }

func (d *Server) accept(c *eventloop.Conn) eventloop.Handler {
	k := &connection{Conn: c, server: d}
	k.timer = d.loop.After(
		time.Duration(readTimeout)*time.Microsecond,
		func() { k.reply(408, errorReply{"the call did not come whole in time"}) },
	)
	d.connections = append(d.connections, k)
	return k
}

// makeRoom closes those that have been there longest without a whole call: others wait for their
// places.
func (d *Server) makeRoom() {
	n := 0
	for _, k := range d.connections {
		if !k.replied && n < closedAtOnce {
			n++
			k.Close(nil)
		}
	}
}

// connection is one connection.
type connection struct {
	*eventloop.Conn
	server  *Server
	timer   *eventloop.Timer
	replied bool // it has its reply
}

type errorReply struct {
	Error string `json:"error"`
}

// Connected implements loop.Handler.
func (k *connection) Connected() {}

// Data implements loop.Handler.
func (k *connection) Data(b []byte) (int, error) {
	if k.replied {
		return len(b), nil
	}
	head := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case head > maxHeadBytes || head < 0 && len(b) > maxHeadBytes:
		k.reject(431, errors.New("head over its limit"))
	case head < 0:
		return 0, nil
	default:
		if q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b[:head+4]))); err != nil {
			k.reject(400, err)
		} else {
			k.serve(q)
		}
	}
	return len(b), nil // one call a connection: what follows is not read
}

func (k *connection) serve(q *http.Request) {
	switch {
	case q.URL.Path != "/ops/readiness" && q.URL.Path != "/ops/stats":
		k.reject(404, errors.New("no such call: there are /ops/readiness and /ops/stats"))
	case q.Method != "GET":
		k.reject(405, errors.New("the method is GET"))
	case q.URL.Path == "/ops/stats":
		k.reply(200, k.server.source.Statistics())
	default:
		why, ok := k.server.source.Ready()
		if !ok {
			k.reply(503, errorReply{why})
			return
		}
		k.reply(200, struct {
			Ready bool `json:"ready"`
		}{true})
	}
}

func (k *connection) reject(status int, err error) {
	eventBadCall.Log(status, err)
	k.reply(status, errorReply{err.Error()})
}

// reply answers the call, and ends the connection.
func (k *connection) reply(status int, v any) {
	k.replied = true
	k.timer.Stop()
	body, err := json.Marshal(v)
	if err != nil {
		status, body = 500, nil
	}
	r := http.Response{
		StatusCode:    status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Close:         true,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		Header:        http.Header{"Content-Type": {"application/json"}, "Cache-Control": {"no-store"}},
	}
	if status == http.StatusMethodNotAllowed {
		r.Header.Set("Allow", http.MethodGet)
	}
	var out bytes.Buffer
	_ = r.Write(&out) // neither the buffer nor the body fails
	k.Write(out.Bytes())
	k.CloseGracefully()
}

// End implements loop.Handler. A caller may send no more and still wait for its reply.
func (k *connection) End() bool { return k.replied }

// Closed implements loop.Handler.
func (k *connection) Closed(error) {
	k.timer.Stop()
	for i, o := range k.server.connections {
		if o == k {
			k.server.connections = append(k.server.connections[:i:i], k.server.connections[i+1:]...)
			return
		}
	}
}
