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
var evBad = logging.Define("ops.bad_call", slog.LevelWarn, "status", "error")

const (
	mostCalls = 16      // connections at once; the share of the descriptors that is the door's
	mostHead  = 4 << 10 // bytes of a call
	mostOut   = 256 << 10
	readMost  = 2_000_000 // microseconds in which a call comes whole
	roomFor   = 4         // connections that go at once when others wait
)

// MaxDescriptors is how many descriptors the door takes at the most, its listener included.
const MaxDescriptors = mostCalls + 1

// StatusSource is what the door tells of.
type StatusSource interface {
	// Ready tells whether this process can serve now, and if not, why.
	Ready() (why string, ok bool)
	// Statistics are written as JSON.
	Statistics() any
}

// Server owns the listener and the connections on it.
type Server struct {
	loop *eventloop.Loop
	of   StatusSource
	ln   *eventloop.Listener
	open []*caller // oldest first
}

// Listen opens the door.
func Listen(l *eventloop.Loop, addr netip.AddrPort, of StatusSource) (*Server, error) {
	d := &Server{loop: l, of: of}
	var err error
	d.ln, err = l.Listen(
		addr,
		mostCalls,
		eventloop.BufferLimits{In: mostHead + 4, Out: mostOut},
		d.accept,
		d.makeRoom,
	)
	return d, err
}

// Addr is where it listens.
func (d *Server) Addr() netip.AddrPort { return d.ln.Addr() }

func (d *Server) accept(c *eventloop.Conn) eventloop.Handler {
	k := &caller{Conn: c, door: d}
	k.timer = d.loop.After(
		time.Duration(readMost)*time.Microsecond,
		func() { k.reply(408, problem{"the call did not come whole in time"}) },
	)
	d.open = append(d.open, k)
	return k
}

// makeRoom closes those that have been there longest without a whole call: others wait for their
// places.
func (d *Server) makeRoom() {
	n := 0
	for _, k := range d.open {
		if !k.done && n < roomFor {
			n++
			k.Close(nil)
		}
	}
}

// caller is one connection.
type caller struct {
	*eventloop.Conn
	door  *Server
	timer *eventloop.Timer
	done  bool // it has its reply
}

type problem struct {
	Error string `json:"error"`
}

// Connected implements loop.Handler.
func (k *caller) Connected() {}

// Data implements loop.Handler.
func (k *caller) Data(b []byte) (int, error) {
	if k.done {
		return len(b), nil
	}
	head := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case head > mostHead || head < 0 && len(b) > mostHead:
		k.refuse(431, errors.New("head over its limit"))
	case head < 0:
		return 0, nil
	default:
		if q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b[:head+4]))); err != nil {
			k.refuse(400, err)
		} else {
			k.call(q)
		}
	}
	return len(b), nil // one call a connection: what follows is not read
}

func (k *caller) call(q *http.Request) {
	switch {
	case q.URL.Path != "/ops/readiness" && q.URL.Path != "/ops/stats":
		k.refuse(404, errors.New("no such call: there are /ops/readiness and /ops/stats"))
	case q.Method != "GET":
		k.refuse(405, errors.New("the method is GET"))
	case q.URL.Path == "/ops/stats":
		k.reply(200, k.door.of.Statistics())
	default:
		why, ok := k.door.of.Ready()
		if !ok {
			k.reply(503, problem{why})
			return
		}
		k.reply(200, struct {
			Ready bool `json:"ready"`
		}{true})
	}
}

func (k *caller) refuse(status int, err error) {
	evBad.Log(status, err)
	k.reply(status, problem{err.Error()})
}

// reply answers the call, and ends the connection.
func (k *caller) reply(status int, v any) {
	k.done = true
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
func (k *caller) End() bool { return k.done }

// Closed implements loop.Handler.
func (k *caller) Closed(error) {
	k.timer.Stop()
	for i, o := range k.door.open {
		if o == k {
			k.door.open = append(k.door.open[:i:i], k.door.open[i+1:]...)
			return
		}
	}
}
