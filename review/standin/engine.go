package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// notice is a message from or to the engine, with the names of the protocol page.
type notice struct {
	T      string    `json:"t"`
	No     int64     `json:"no,omitempty"`
	Rid    string    `json:"rid,omitempty"`
	Route  string    `json:"route,omitempty"`
	Status string    `json:"status,omitempty"`
	TimeMs int64     `json:"time_ms,omitempty"`
	Mark   string    `json:"mark,omitempty"`
	V      []float64 `json:"v,omitempty"`
	B64    []byte    `json:"b64,omitempty"`
}

// Run is one run, as the engine saw it.
type Run struct {
	Rid, Class string
	Body       []byte
	At         time.Time // when RUN was read
	calls      int       // calls that are still to be made
	waiting    bool      // it waits for a reply
	Replies    [][]byte
	Ended      bool
}

// Plan says how long a run works and how many calls it makes, evenly spread.
type Plan struct {
	Work  time.Duration
	Calls int
}

// Engine is the platform's engine for one process of a runner.
type Engine struct {
	Name   string
	Addr   string
	Result func(r *Run) []byte // the result of a run
	plan   func(class string, body []byte) Plan
	record *Record
	start  time.Time

	mu      sync.Mutex
	conn    net.Conn
	notices []notice // kept, in order
	runs    map[string]*Run
	order   []*Run
	active  int
}

// NewEngine starts an engine on a free loopback address.
func NewEngine(name string, record *Record, plan func(class string, body []byte) Plan) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{Name: name, Addr: l.Addr().String(), plan: plan, record: record, start: time.Now(), runs: map[string]*Run{}}
	e.Result = func(r *Run) []byte { return []byte("result of the run of " + r.Rid + " for " + string(r.Body)) }
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// Runs returns all runs in the order of their starts.
func (e *Engine) Runs() []*Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Run(nil), e.order...)
}

// HasRun reports whether a request was run here.
func (e *Engine) HasRun(rid string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[rid] != nil
}

func (e *Engine) write(n notice) {
	if e.conn != nil {
		b, _ := json.Marshal(n)
		_, _ = e.conn.Write(append(b, '\n'))
	}
}

// tell numbers a notice, keeps it and sends it.
func (e *Engine) tell(n notice) {
	n.No = int64(len(e.notices) + 1)
	e.notices = append(e.notices, n)
	e.write(n)
}

func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 1<<16), 1<<20)
	for lines.Scan() {
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			return // not a command
		}
		e.mu.Lock()
		if n.T != "ATTACH" && e.conn != c {
			e.mu.Unlock()
			return // a newer link has replaced this one
		}
		e.handle(c, n)
		e.mu.Unlock()
	}
}

func (e *Engine) handle(c net.Conn, n notice) {
	switch n.T {
	case "ATTACH":
		if e.conn != nil && e.conn != c {
			e.conn.Close()
		}
		e.conn = c
		e.write(notice{T: "HELLO", Status: "running", TimeMs: time.Since(e.start).Milliseconds()})
		for _, old := range e.notices {
			if old.No > n.No {
				e.write(old)
			}
		}
	case "RUN":
		e.run(n)
	case "FEED":
		r := e.runs[n.Rid]
		if r == nil || !r.waiting {
			e.write(notice{T: "NO", Status: "FEED", Rid: n.Rid})
			return
		}
		r.waiting = false
		r.Replies = append(r.Replies, n.B64)
		e.work(r, e.plan(r.Class, r.Body))
	case "STAT":
		busy := min(float64(e.active)/6, 1)
		e.write(notice{T: "STATS", Mark: n.Mark, V: []float64{busy, float64(e.active), 0.1, 0.1}})
	case "TEST":
		e.write(notice{T: "TESTED", Mark: n.Mark, Status: "fine"})
	default:
		c.Close()
	}
}

func (e *Engine) run(n notice) {
	if e.runs[n.Rid] != nil { // it runs already: nothing happens
		return
	}
	plan := e.plan(n.Route, n.B64)
	r := &Run{Rid: n.Rid, Class: n.Route, Body: n.B64, At: time.Now(), calls: plan.Calls}
	e.runs[n.Rid] = r
	e.order = append(e.order, r)
	e.record.Line("engine %s: RUN %s %s %q, takes %v", e.Name, n.Rid, n.Route, n.B64, plan.Work)
	e.work(r, plan)
}

// work lets a run work until its next call, or its end.
func (e *Engine) work(r *Run, plan Plan) {
	e.active++
	time.AfterFunc(plan.Work/time.Duration(plan.Calls+1), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		if r.calls > 0 {
			r.calls--
			r.waiting = true
			e.tell(notice{T: "NEED", Rid: r.Rid, B64: []byte(fmt.Sprintf("call %d of %s", len(r.Replies)+1, r.Rid))})
			return
		}
		r.Ended = true
		e.record.Line("engine %s: DONE %s", e.Name, r.Rid)
		e.tell(notice{T: "DONE", Rid: r.Rid, Status: "fine", TimeMs: time.Since(r.At).Milliseconds(), B64: e.Result(r)})
	})
}
