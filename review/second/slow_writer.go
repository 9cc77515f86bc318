package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["6"] = slowWriter }

// Figures of the case about a request that is written slowly.
const (
	slowWrite = 3 * time.Second       // from the parameters of the slow request to its body
	crossing  = 50 * time.Millisecond // the pages: a request that crosses a close within this time is sent again
)

// slowWriter has one request of a connection written slowly, among others that are written at once.
func slowWriter(c *env) error {
	e, err := startEngine(c.all, c.rec)
	if err != nil {
		return err
	}
	b, err := startBackend(c.rec, 10*time.Millisecond)
	if err != nil {
		return err
	}
	s := c.newSite(e, b)
	if err := writeFile(c.path("config.json"), s.file()); err != nil {
		return err
	}
	if _, err := c.startRunner("runner", c.path("config.json"), ""); err != nil {
		return err
	}
	if err := c.awaitReady(s.ops); err != nil {
		return err
	}
	conn, err := dialBalancer(s.listen, 1, c.all, c.rec)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(7, 55))
	var tries []*try
	began := time.Now()
	slowAt := began.Add(2 * time.Second)
	var slow *try
	for n := 0; time.Since(began) < 10*time.Second && conn.isOpen(); n++ {
		if slow == nil && time.Now().After(slowAt) {
			slow = conn.sendInTwoParts(c.trouble)
		}
		j := &job{id: newCallID(), class: "quick-check", body: "code", work: 200 * time.Millisecond, calls: 1}
		switch n % 4 {
		case 1, 2:
			j = &job{id: newCallID(), class: "full-check", body: "code", work: 480 * time.Millisecond}
		case 3:
			j.class = "hand-in"
			j.key = fmt.Sprintf("%032x", random.Uint64())
		}
		tries = append(tries, conn.send(j))
		time.Sleep(100 * time.Millisecond)
	}
	return c.judgeLost(conn, tries)
}

// sendInTwoParts writes a request whose body follows its parameters at once or, if isSlow, later. If it has its
// answer by then, the rest is not written.
func (b *balancer) sendInTwoParts(isSlow bool) *try {
	j := &job{
		id: newCallID(), class: "quick-check", body: "the body of a client that writes slowly",
		work: 200 * time.Millisecond, calls: 1,
	}
	b.all.written(j)
	t, out := b.begin(j)
	b.rec.note("balancer %d begins %s id %s", b.source, j.class, j.id)
	b.write(out)
	rest := func() {
		b.rec.note("balancer %d writes the body of %s", b.source, j.id)
		b.write(t.body())
	}
	if !isSlow {
		rest()
		return t
	}
	go func() {
		if t.wait(slowWrite) == nil {
			rest()
		}
	}()
	return t
}

// judgeLost looks for complete requests whose connection ended without their answers, or that had none by their
// due time.
func (c *env) judgeLost(conn *balancer, tries []*try) error {
	served, lost := 0, 0
	for _, t := range tries {
		due := 9 * time.Second
		if t.job.class == "hand-in" {
			due = 4300 * time.Millisecond
		}
		a := t.wait(max(time.Until(t.started.Add(due+110*time.Millisecond)), 0)) // 60 ms and 50 ms of slack
		switch {
		case a != nil && a.status == 200:
			served++
		case a == nil, a.status == 0 && a.at.Sub(t.started) > crossing:
			lost++
			c.rec.note("lost: %s id %s key %q, written whole %d ms after the first, has no answer",
				t.job.class, t.job.id, t.job.key, t.started.Sub(tries[0].started).Milliseconds())
		}
	}
	c.rec.note("%d requests, %d served, %d lost", len(tries), served, lost)
	if lost > 0 {
		return broken("%d of %d requests that were written whole on an open connection have no answer", lost, len(tries))
	}
	return nil
}
