package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["8"] = secondCopy }

// Figures of the case about replies of the back end with a second copy behind them.
const (
	copyOneIn  = 10                   // replies
	copyBehind = 5 * time.Millisecond // from a reply to its second copy
	callTakes  = 25 * time.Millisecond
	atOnce     = 8 // requests that the balancers send together
)

// secondCopy has some replies of the back end followed by a second copy of themselves.
func secondCopy(c *env) error {
	e, err := startEngine(c.all, c.rec)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	feeds, wrong := 0, 0
	e.onFeed = func(j *job, call, reply string) {
		mu.Lock()
		defer mu.Unlock()
		feeds++
		if reply != replyTo(call) {
			wrong++
			c.rec.note("WRONG: the run of %s waits for %q and is fed %q", j.id, replyTo(call), reply)
		}
	}
	b, err := startBackend(c.rec, callTakes)
	if err != nil {
		return err
	}
	var replies atomic.Int64
	b.after = func(conn net.Conn, reply []byte) {
		if c.trouble && replies.Add(1)%copyOneIn == 0 {
			time.Sleep(copyBehind)
			c.rec.note("back end: a second copy of the last reply on %s", port(conn))
			conn.Write(reply)
		}
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
	var tries []*try
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(800 * time.Millisecond) {
		for range atOnce {
			tries = append(tries, conn.send(&job{
				id: newCallID(), class: "quick-check", body: "code", work: 200 * time.Millisecond, calls: 1,
			}))
		}
	}
	served := 0
	for _, t := range tries {
		if a := t.wait(10 * time.Second); a != nil && a.status == 200 {
			served++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	c.rec.note("%d quick-checks, %d served, %d replies fed, %d of them wrong", len(tries), served, feeds, wrong)
	if wrong > 0 {
		return broken("%d of %d runs were fed the reply to the call of another request", wrong, feeds)
	}
	return nil
}
