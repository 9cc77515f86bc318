package main

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// engine is a stand-in for the engine of one runner: six cores that all runs share, and the link.
type engine struct {
	all *registry
	rec *record
	ln  net.Listener

	mu      sync.Mutex
	slow    float64 // how many times slower the cores are
	cores   float64
	link    net.Conn
	began   time.Time
	notices []map[string]any
	runs    map[string]*run
	busy    float64   // mean share of busy cores over about the last half second
	idle    time.Time // since when nothing runs; zero: something does
	// onFeed is told what a run got as the reply to its call.
	onFeed func(j *job, call, reply string)
	// unknown returns what a run of a request does that the registry does not know; nil: there are none.
	unknown func(c *command) *job
}

type run struct {
	job     *job
	began   time.Time
	left    time.Duration // of this part of the work
	calls   int           // that were made
	waiting bool
}

func startEngine(all *registry, rec *record) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	e := &engine{all: all, rec: rec, ln: ln, slow: 1, cores: 6, began: now, idle: now, runs: map[string]*run{}}
	go e.accept()
	go e.work()
	return e, nil
}

func (e *engine) addr() string { return e.ln.Addr().String() }

func (e *engine) accept() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

type command struct {
	T, Rid, Route, Mark string
	No                  int
	B64                 []byte
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 1<<20)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var c command
		if json.Unmarshal(line, &c) != nil {
			return
		}
		e.mu.Lock()
		e.handle(conn, &c)
		e.mu.Unlock()
	}
}

func (e *engine) handle(conn net.Conn, c *command) {
	switch c.T {
	case "ATTACH":
		if e.link != nil && e.link != conn {
			e.link.Close()
		}
		e.link = conn
		e.say(map[string]any{"t": "HELLO", "status": "running", "time_ms": time.Since(e.began).Milliseconds()})
		for _, n := range e.notices {
			if n["no"].(int) > c.No {
				e.say(n)
			}
		}
	case "STAT":
		n := float64(e.onCores())
		gauges := []float64{e.busy, n, 0.2, 8}
		e.say(map[string]any{"t": "STATS", "mark": c.Mark, "v": gauges})
	case "TEST":
		e.say(map[string]any{"t": "TESTED", "mark": c.Mark, "status": "fine"})
	case "RUN":
		e.start(c)
	case "FEED":
		e.feed(c)
	}
}

// say writes a message on the link.
func (e *engine) say(m map[string]any) {
	if e.link != nil {
		line, _ := json.Marshal(m)
		e.link.Write(append(line, '\n'))
	}
}

// notice writes a notice, which has a number and is kept.
func (e *engine) notice(m map[string]any) {
	m["no"] = len(e.notices) + 1
	e.notices = append(e.notices, m)
	e.say(m)
}

func (e *engine) start(c *command) {
	j := e.all.find(c.Rid)
	if j == nil && e.unknown != nil {
		j = e.unknown(c)
	}
	if j == nil || j.class != c.Route || j.body != string(c.B64) {
		e.rec.note("engine: NO to RUN %s", c.Rid)
		e.say(map[string]any{"t": "NO", "status": "RUN", "rid": c.Rid})
		return
	}
	if e.runs[c.Rid] != nil {
		return
	}
	if e.all.isOver(c.Rid) {
		e.notice(map[string]any{"t": "DONE", "rid": c.Rid, "status": "late", "time_ms": 0, "b64": []byte{}})
		return
	}
	e.rec.note("engine runs %s id %s key %q", j.class, j.id, j.key)
	e.all.began(j.name())
	e.idle = time.Time{}
	e.runs[c.Rid] = &run{job: j, began: time.Now(), left: j.work / time.Duration(j.calls+1)}
}

func (j *job) callBody(n int) string { return "call " + string(rune('0'+n)) + " of " + j.id }

// replyTo is the reply of the back end stand-in to a call.
func replyTo(call string) string { return "reply to " + call }

func (e *engine) feed(c *command) {
	r := e.runs[c.Rid]
	if r == nil || !r.waiting {
		e.say(map[string]any{"t": "NO", "status": "FEED", "rid": c.Rid})
		return
	}
	call := r.job.callBody(r.calls)
	if e.onFeed != nil {
		e.onFeed(r.job, call, string(c.B64))
	}
	r.waiting = false
	r.left = r.job.work / time.Duration(r.job.calls+1)
}

func (e *engine) onCores() (n int) {
	for _, r := range e.runs {
		if !r.waiting {
			n++
		}
	}
	return n
}

// work lets the runs share the cores.
func (e *engine) work() {
	const step = 2 * time.Millisecond
	last := time.Now()
	for range time.Tick(step) {
		now := time.Now()
		passed := min(now.Sub(last), 50*time.Millisecond)
		last = now
		e.mu.Lock()
		n := float64(e.onCores())
		share := min(n, e.cores) / e.cores
		e.busy += (share - e.busy) * min(passed.Seconds()/0.25, 1)
		speed := min(1, e.cores/max(n, 1)) / e.slow
		for id, r := range e.runs {
			if r.waiting {
				if e.all.isOver(id) { // its request is over: it ends at its call
					e.end(id, r, "broken_off", nil)
				}
				continue
			}
			if r.left -= time.Duration(float64(passed) * speed); r.left > 0 {
				continue
			}
			switch {
			case r.calls == r.job.calls:
				e.end(id, r, "fine", []byte("result of "+id))
			case e.all.isOver(id):
				e.end(id, r, "broken_off", nil)
			default:
				r.calls++
				r.waiting = true
				e.notice(map[string]any{"t": "NEED", "rid": id, "b64": []byte(r.job.callBody(r.calls))})
			}
		}
		if len(e.runs) == 0 && e.idle.IsZero() {
			e.idle = now
		}
		e.mu.Unlock()
	}
}

func (e *engine) end(id string, r *run, status string, result []byte) {
	delete(e.runs, id)
	e.rec.note("engine: run of %s id %s key %q is over: %s", r.job.class, id, r.job.key, status)
	ms := time.Since(r.began).Milliseconds()
	e.notice(map[string]any{"t": "DONE", "rid": id, "status": status, "time_ms": ms, "b64": append([]byte{}, result...)})
}

// setSlow makes the cores run slower.
func (e *engine) setSlow(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = times
	e.rec.note("engine: the cores run %g times slower", times)
}

// idleSince returns since when nothing runs, or the zero time.
func (e *engine) idleSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idle
}
