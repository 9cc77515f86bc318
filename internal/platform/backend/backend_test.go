package backend

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// calls is a sink that places one call after another, until the first one ends or there were many.
type calls struct {
	t     *testing.T
	loop  *eventloop.Loop
	pool  *Pool
	stand *scenario.Backend
	first *lifecycle.Attempt
	got   lifecycle.Outcome
	n     int
}

func (c *calls) CallEnded(a *lifecycle.Attempt, o lifecycle.Outcome, _ []byte, _ time.Duration) {
	if a == c.first {
		c.got = o
	}
	if a == c.first || c.n == 1000 {
		c.loop.Stop()
		return
	}
	c.place("200 row")
}

func (c *calls) place(reply string) *lifecycle.Attempt {
	c.n++
	a := &lifecycle.Attempt{Request: &lifecycle.Request{ID: scenario.CallID("1")}, Idempotent: true}
	c.pool.Call(a, nil, time.Minute)
	scenario.Play(c.t, "backend send "+reply, map[string]scenario.Actor{"backend": c.stand})
	return a
}

// A lost reply must not hold its call, and its share of the back end, until the deadline.
func TestOvertakenCallIsGivenUp(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &calls{t: t, loop: l, stand: scenario.NewBackend(t)}
	c.pool = New(l, netip.MustParseAddrPort(c.stand.Listener.Addr().String()))
	c.pool.Start(c)
	c.first = c.place("never")
	var next func()
	next = func() {
		if c.stand.Waiting() > 0 { // the first call must have its answer, which is none
			l.After(time.Millisecond, next)
			return
		}
		c.place("200 row")
	}
	next()
	l.After(20*time.Second, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if c.got != lifecycle.Interrupted || c.n < overtakenLimit {
		t.Errorf("outcome %v after %d calls", c.got, c.n)
	}
}
