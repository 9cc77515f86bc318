package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = ghostKey }

// Figures of the case about hand-ins that were refused while the cores were slow.
const (
	quiet         = 3 * time.Second  // before the cores become slow
	slowAtLeast   = 11 * time.Second // the pages: 11 to 33 s
	slowAtMost    = 32 * time.Second
	slowTimes     = 7  // the pages: 2.4 to 8.2
	arrivals      = 18 // a second: about 90 in 100 of what six cores can do; the pages: 90 to 110
	clientWaits   = 4300 * time.Millisecond
	keptBack      = clientWaits - 300*time.Millisecond // an answer later than this came near the deadline
	idleAtLeast   = 500 * time.Millisecond             // a hand-in takes 210 ms
	retryInterval = 300 * time.Millisecond
)

// handIn is a hand-in of a client, with the tries that its balancer made.
type handIn struct {
	key, body string
	first     time.Time
	tries     []*try
	answers   []*answer
	idle      []time.Time // since when the engine had nothing to run at each answer
	ran       []int       // how many runs the key had had at each answer
}

// ghostKey has hand-ins refused while the cores are slow, and sent again once they are not.
func ghostKey(c *env) error {
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
	r, err := c.startRunner("runner", c.path("config.json"), "")
	if err != nil {
		return err
	}
	if err := c.awaitReady(s.ops); err != nil {
		return err
	}
	var balancers []*balancer
	for source := range 3 {
		conn, err := dialBalancer(s.listen, source, c.all, c.rec)
		if err != nil {
			return err
		}
		balancers = append(balancers, conn)
	}
	var all []*handIn
	var wait sync.WaitGroup
	random := rand.New(rand.NewPCG(6, 55))
	began := time.Now()
	slow := false
	for n := 0; !c.isOver(began); n++ {
		if !slow && time.Since(began) > quiet && c.trouble {
			slow = true
			e.setSlow(slowTimes)
		}
		conn := balancers[n%len(balancers)]
		switch kind := random.Float64(); {
		case kind < 0.42:
			conn.send(&job{id: newCallID(), class: "quick-check", body: "code", work: 200 * time.Millisecond, calls: 1})
		case kind < 0.77:
			conn.send(&job{id: newCallID(), class: "full-check", body: "code", work: 480 * time.Millisecond})
		default:
			h := &handIn{key: fmt.Sprintf("%032x", random.Uint64()), body: "solution", first: time.Now()}
			all = append(all, h)
			wait.Go(func() { c.handIn(h, conn, e) })
		}
		time.Sleep(time.Second / arrivals)
	}
	e.setSlow(1)
	c.rec.note("no more first tries")
	wait.Wait()
	if !r.isAlive() {
		return broken("the runner has ended")
	}
	return c.judgeKeptBack(all)
}

// isOver reports whether the trouble may end: it has lasted as long as the pages say, and a hand-in that was held
// and then refused has just been sent again.
func (c *env) isOver(began time.Time) bool {
	lasted := time.Since(began) - quiet
	sentAgain := c.trouble && time.Since(time.Unix(0, sentAgainAt.Load())) < 300*time.Millisecond
	return lasted > slowAtMost || lasted > slowAtLeast && (sentAgain || !c.trouble)
}

// sentAgainAt is when a hand-in that was held and then refused was last sent again, in Unix nanoseconds.
var sentAgainAt atomic.Int64

// handIn sends a hand-in, and again after each refusal, as long as its client waits.
func (c *env) handIn(h *handIn, conn *balancer, e *engine) {
	for time.Since(h.first) < clientWaits-retryInterval {
		j := &job{
			id: newCallID(), class: "hand-in", key: h.key, body: h.body,
			work: 200 * time.Millisecond, calls: 1,
		}
		t := conn.send(j)
		a := t.wait(clientWaits + 2*time.Second)
		if a == nil {
			a = &answer{at: time.Now()}
		}
		h.tries = append(h.tries, t)
		h.answers = append(h.answers, a)
		h.idle = append(h.idle, e.idleSince())
		h.ran = append(h.ran, c.all.runsOf(h.key))
		if !a.refused() {
			return
		}
		time.Sleep(retryInterval)
		if a.at.Sub(t.started) > time.Second {
			sentAgainAt.Store(time.Now().UnixNano())
		}
	}
}

// judgeKeptBack looks for answers to hand-ins that were kept back until their deadline, though no try of them
// had run and the cores had nothing to do.
func (c *env) judgeKeptBack(all []*handIn) error {
	served, again, kept := 0, 0, 0
	for _, h := range all {
		for i, a := range h.answers {
			took := a.at.Sub(h.tries[i].started)
			idle := h.idle[i]
			switch {
			case a.status == 200:
				served++
			case i > 0 && !a.refused() && h.ran[i] == 0 && took > keptBack &&
				!idle.IsZero() && a.at.Sub(idle) > idleAtLeast:
				kept++
				c.rec.note("kept back: key %q, try %d, refused before, no try of it ran, %v after %d ms; "+
					"the engine had been idle for %d ms", h.key, i+1, a, took.Milliseconds(), a.at.Sub(idle).Milliseconds())
			}
		}
		if len(h.answers) > 1 {
			again++
		}
	}
	c.rec.note("%d hand-ins, %d sent again after a refusal, %d served, %d kept back", len(all), again, served, kept)
	if kept > 0 {
		return broken("%d of %d hand-ins that were refused and sent again were never run, and their answers were kept "+
			"back until the deadline while the engine was idle", kept, again)
	}
	return nil
}
