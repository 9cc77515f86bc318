package backend

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// callSink is a Sink that makes one call after another, until the first call ends or 1000 were made.
type callSink struct {
	t       *testing.T
	loop    *eventloop.Loop
	pool    *Pool
	backend *scenario.Backend
	first   *lifecycle.Attempt
	got     lifecycle.Outcome
	n       int
}

func (c *callSink) CallEnded(a *lifecycle.Attempt, o lifecycle.Outcome, _ []byte, _ time.Duration) {
	if a == c.first {
		c.got = o
	}
	if a == c.first || c.n == 1000 {
		c.loop.Stop()
		return
	}
	c.call("200 row")
}

func (c *callSink) call(reply string) *lifecycle.Attempt {
	c.n++
	a := &lifecycle.Attempt{Request: &lifecycle.Request{ID: scenario.CallID("1")}, Idempotent: true}
	c.pool.Call(a, nil, time.Minute)
	scenario.Play(c.t, "backend send "+reply, map[string]scenario.Actor{"backend": c.backend})
	return a
}

// A call whose reply is lost must not occupy the back end's capacity until its deadline: it is
// abandoned after enough later calls were replied to.
func TestOvertakenCallIsGivenUp(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &callSink{t: t, loop: l, backend: scenario.NewBackend(t)}
	c.pool = New(l, netip.MustParseAddrPort(c.backend.Listener.Addr().String()))
	c.pool.Start(c)
	c.first = c.call("never")
	var next func()
	next = func() {
		if c.backend.Waiting() > 0 { // the first call has not taken its "never" yet
			l.After(time.Millisecond, next)
			return
		}
		c.call("200 row")
	}
	next()
	l.After(20*time.Second, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if c.got != lifecycle.Interrupted || c.n < overtakenLimit {
		t.Errorf("outcome = %v after %d calls, want Interrupted after overtakenLimit calls or more", c.got, c.n)
	}
}
