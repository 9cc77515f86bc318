package daytest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/fleet"
)

// lookEvery is how soon connections are refused once the back end has fallen over.
const lookEvery = 50 * time.Millisecond

// backend is the shared back end behind a socket.
type backend struct {
	loop  *eventloop.Loop
	stage *fleet.Simulation
	addr  netip.AddrPort
	ln    *eventloop.Listener // nil while it is down
	conns map[*caller]struct{}
}

func newBackend(l *eventloop.Loop, s *fleet.Simulation) (*backend, error) {
	b := &backend{loop: l, stage: s, addr: loopback, conns: map[*caller]struct{}{}}
	if err := b.listen(); err != nil {
		return nil, err
	}
	b.addr = b.ln.Addr()
	l.Every(lookEvery, b.look)
	return b, nil
}

func (b *backend) listen() (err error) {
	b.ln, err = b.loop.Listen(
		b.addr,
		4096,
		eventloop.BufferLimits{In: bufferIn, Out: bufferOut},
		func(c *eventloop.Conn) eventloop.Handler {
			k := &caller{Conn: c, b: b}
			b.conns[k] = struct{}{}
			return k
		},
		nil,
	)
	return err
}

// look closes the door while the back end is down, and opens it when it is back.
func (b *backend) look() {
	down := b.stage.Backend().IsDown()
	if down && b.ln != nil {
		b.ln.Close()
		b.ln = nil
	} else if !down && b.ln == nil {
		_ = b.listen() // the address is its own; if it cannot be had yet, the next look tries again
	}
}

// caller is a connection of a runner, with one call at a time.
type caller struct {
	*eventloop.Conn
	b    *backend
	call *dependencies.Call
	busy bool
}

// Connected implements loop.Handler.
func (k *caller) Connected() {}

// End implements loop.Handler. Closing gives up the call.
func (k *caller) End() bool { return false }

// Closed implements loop.Handler.
func (k *caller) Closed(error) {
	delete(k.b.conns, k)
	if k.busy && k.call != nil {
		k.b.stage.Backend().Cancel(k.call)
	}
}

// Data implements loop.Handler.
func (k *caller) Data(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if k.busy || end < 0 {
		return 0, nil
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	if err != nil {
		return 0, err
	}
	n := end + 4 + int(req.ContentLength)
	if len(b) < n {
		return 0, nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return 0, err
	}
	if req.Method != http.MethodPost || req.URL.Path != "/rpc/call" {
		return 0, errors.New("no call")
	}
	j := k.b.stage.Find(req.Header.Get("Parent-Call"))
	if j == nil || !j.IsRunning() || string(body) != j.Name {
		k.reply(409, "Turned-Away: 1\r\n", nil)
		return n, nil
	}
	k.busy = true
	k.call = k.b.stage.Backend().Call(j.CallWork(), func(r dependencies.CallOutcome) {
		k.busy = false
		switch r {
		case dependencies.CallSucceeded:
			k.reply(200, "", slices.Concat([]byte("reply to "), body))
		case dependencies.CallRejected:
			k.reply(503, "Turned-Away: 1\r\n", nil)
		default:
			k.Close(nil)
		}
	})
	return n, nil
}

func (k *caller) reply(status int, fields string, body []byte) {
	k.Write(
		fmt.Appendf(
			nil,
			"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status,
			http.StatusText(status),
			fields,
			len(body),
			body,
		),
	)
}
