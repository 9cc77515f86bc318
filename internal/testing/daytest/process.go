package daytest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/protocol/fastcgi"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	mostOpen  = 32                    // requests on one connection (PROTOCOL)
	crossTime = 50 * time.Millisecond // a request that crosses a close is sent again, once
	bufferIn  = 1 << 20
	bufferOut = 4 << 20
)

// process is a runner of its own, and what the stage's balancers and engine have to do with it.
type process struct {
	rig    *Harness
	life   *fleet.Incarnation
	cmd    *exec.Cmd
	gone   chan struct{}
	addr   netip.AddrPort // where it listens; invalid: it does not yet
	engine *engine
	conns  map[uint32][]*conn // by balancer
	by     map[*fleet.Attempt]*exchange
	killed bool
}

var listens = regexp.MustCompile(`event=start.listens name=\S+ address=(\S+)`)

// launch starts a runner with its configuration and its engine.
func (r *Harness) launch(l *fleet.Incarnation, set admission.Settings) (fleet.Process, error) {
	p := &process{
		rig:   r,
		life:  l,
		gone:  make(chan struct{}),
		conns: map[uint32][]*conn{},
		by:    map[*fleet.Attempt]*exchange{},
	}
	var err error
	if p.engine, err = newEngine(r.loop, l); err != nil {
		return nil, err
	}
	r.starts++
	config := map[string]any{
		"name":     l.Name(),
		"listen":   loopback.String(),
		"engine":   p.engine.ln.Addr().String(),
		"backend":  r.backend.addr.String(),
		"roster":   r.roster.LocalAddr().String(),
		"seed":     fmt.Sprintf("%016x", r.starts),
		"stop_ms":  virtualclock.Micros(r.stage.StopTimeout()) / 1000,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": Settings(&set),
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.dir, fmt.Sprintf("%d.json", r.starts))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(r.bin)
	tmp := path + ".tmp" // empty at each start (DEPLOY)
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+tmp)
	// it does not outlive the simulator
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	r.procs = append(r.procs, p)
	go p.follow(bufio.NewScanner(errs))
	return p, nil
}

// follow reads what the process logs, and learns where it listens and when it ends.
func (p *process) follow(lines *bufio.Scanner) {
	for lines.Scan() {
		line := lines.Text()
		p.rig.say(p.life.Name(), line)
		if m := listens.FindStringSubmatch(line); m != nil {
			addr, err := netip.ParseAddrPort(m[1])
			p.rig.loop.Deliver(func() {
				if p.addr = addr; err != nil {
					p.rig.fail(fmt.Errorf("rig: %s: %w", p.life.Name(), err))
				}
			})
		}
	}
	err := p.cmd.Wait()
	close(p.gone)
	p.rig.loop.Deliver(func() {
		if !p.killed {
			p.life.Lost(fmt.Sprintf("crash: the process ended: %v", err))
		}
	})
}

// Ready implements fleet.Process.
func (p *process) IsReady() bool { return p.addr.IsValid() && p.engine.up() }

// Forget implements fleet.Process.
func (p *process) Forget(*fleet.Attempt) {}

// Drain implements fleet.Process.
func (p *process) Drain(time.Duration) { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Kill implements fleet.Process.
func (p *process) Kill() {
	if p.killed {
		return
	}
	p.killed = true
	// with all that it started; it may have ended by itself
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	p.engine.close()
	for _, conns := range p.conns {
		for _, c := range conns {
			c.Close(nil)
		}
	}
}

// Needs implements fleet.Process.
func (p *process) Needs(j *fleet.Attempt) {
	p.engine.notice(message{T: "NEED", Rid: j.Name, B64: []byte(j.Name)})
}

// Ended implements fleet.Process.
func (p *process) Ended(j *fleet.Attempt, e dependencies.RunOutcome) {
	m := message{T: "DONE", Rid: j.Name, Status: "broken_off"}
	if e == dependencies.RunSucceeded {
		m.Status, m.B64 = "fine", result(j)
	}
	p.engine.notice(m)
}

// result is what a run of a request makes.
func result(j *fleet.Attempt) []byte { return append([]byte("result of "), j.Body()...) }

// exchange is one request on a connection.
type exchange struct {
	j      *fleet.Attempt
	c      *conn
	id     uint16
	sent   time.Duration
	again  bool
	stdout []byte
	check  func(good bool) // of a health check, in place of j
}

// Submit implements fleet.Process: the balancer's connection gets the request.
func (p *process) Submit(j *fleet.Attempt) { p.send(&exchange{j: j}, j.Caller()) }

func (p *process) send(x *exchange, caller uint32) {
	var c *conn
	for _, o := range p.conns[caller] {
		if len(o.open) < mostOpen && !o.IsClosed() && !o.ended {
			c = o
			break
		}
	}
	if c == nil {
		c = p.dial(caller)
	}
	x.c, x.sent = c, p.rig.loop.Now()
	for c.next++; c.next == 0 || c.open[c.next] != nil; c.next++ {
	}
	x.id = c.next
	c.open[x.id] = x
	p.by[x.j] = x
	j := x.j
	params := [][2]string{
		{"REQUEST_METHOD", "POST"},
		{"SCRIPT_NAME", "/ops/" + j.ClassName()},
		{"HTTP_X_CALL_ID", j.Name},
		{
			"HTTP_X_QUEUE_START",
			strconv.FormatInt(int64(j.Arrived()/1000), 10),
		},
		{"HTTP_X_SOURCE", strconv.Itoa(int(j.Caller()))},
		{"HTTP_X_CUSTOMER", j.TenantName()},
		{"HTTP_X_HEAP_KB", strconv.FormatFloat(j.SizeKB(), 'f', 3, 64)},
		{"HTTP_X_IMPORTANCE", strconv.FormatFloat(j.Rank(), 'f', 6, 64)},
	}
	if key := j.Key(); key != "" {
		params = append(params, [2]string{"HTTP_X_DEDUPE_KEY", key})
	}
	c.Write(request(x.id, params, j.Body()))
}

// request is a whole one in records.
func request(id uint16, params [][2]string, body []byte) []byte {
	var pairs []byte
	for _, p := range params {
		pairs = fastcgi.AppendPair(pairs, p[0], p[1])
	}
	out := fastcgi.AppendBegin(
		nil,
		id,
		fastcgi.BeginRequestBody{Role: fastcgi.Responder, KeepConnection: true},
	)
	out = fastcgi.Append(fastcgi.Append(out, fastcgi.Params, id, pairs), fastcgi.Params, id, nil)
	if len(body) > 0 {
		out = fastcgi.Append(out, fastcgi.Stdin, id, body)
	}
	return fastcgi.Append(out, fastcgi.Stdin, id, nil)
}

// Abandon implements fleet.Process. One answer that still comes does no harm.
func (p *process) Abandon(j *fleet.Attempt) {
	if x := p.by[j]; x != nil {
		delete(p.by, j)
		delete(x.c.open, x.id)
		x.c.Write(fastcgi.Append(nil, fastcgi.AbortRequest, x.id, nil))
	}
}

// Check implements fleet.Process: a connection of its own asks how the runner is.
func (p *process) Check(_ int, done func(good bool)) {
	c := &conn{p: p, open: map[uint16]*exchange{1: {id: 1, check: done}}}
	c.open[1].c = c
	c.Conn = p.rig.loop.Dial(p.addr, eventloop.BufferLimits{In: bufferIn, Out: bufferOut}, c)
	c.Write(request(1, [][2]string{{"REQUEST_METHOD", "GET"}, {"SCRIPT_NAME", "/alive"}}, nil))
}

// conn is a connection of a balancer to the runner.
type conn struct {
	*eventloop.Conn
	p     *process
	open  map[uint16]*exchange
	next  uint16
	ended bool
}

func (p *process) dial(caller uint32) *conn {
	c := &conn{p: p, open: map[uint16]*exchange{}}
	c.Conn = p.rig.loop.Dial(p.addr, eventloop.BufferLimits{In: bufferIn, Out: bufferOut}, c)
	p.conns[caller] = append(p.conns[caller], c)
	return c
}

// Connected implements loop.Handler.
func (c *conn) Connected() {}

// End implements loop.Handler.
func (c *conn) End() bool {
	c.ended = true
	return false
}

// Data implements loop.Handler.
func (c *conn) Data(b []byte) (used int, err error) {
	for {
		rec, n, err := fastcgi.Read(b[used:], fastcgi.MaxRecord)
		if err != nil || n == 0 {
			return used, err
		}
		used += n
		x := c.open[rec.ID]
		if x == nil {
			continue
		}
		switch rec.Type {
		case fastcgi.Stdout:
			x.stdout = append(x.stdout, rec.Content...)
		case fastcgi.EndRequest:
			delete(c.open, rec.ID)
			if x.check != nil {
				x.check(bytes.HasPrefix(x.stdout, []byte("Status: 200")))
				c.Close(nil)
				return used, nil
			}
			delete(c.p.by, x.j)
			c.p.answer(x, rec.Content)
		}
	}
}

// answer reads a whole answer.
func (p *process) answer(x *exchange, end []byte) {
	a := fleet.Answer{Status: fleet.Failed}
	head, body, ok := strings.Cut(string(x.stdout), "\r\n\r\n")
	if len(end) > 4 && end[4] == fastcgi.Overloaded {
		x.j.Answer(fleet.Answer{Status: fleet.Rejected})
		return
	}
	if !ok {
		x.j.Lost("an answer that cannot be read")
		return
	}
	status := ""
	for _, line := range strings.Split(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Status":
			status = value
		case "X-Pressure":
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				p.life.Advertise(v)
			}
		case "X-Come-Back-Ms":
			if ms, err := strconv.ParseFloat(value, 64); err == nil {
				a.RetryAfter = virtualclock.FromMicros(ms * 1000)
			}
		case "X-No-Failover":
			a.DoNotRetry = value == "1"
		}
	}
	switch status {
	case "200":
		if body != string(result(x.j)) {
			x.j.Lost("'served' with what no run made for it")
			return
		}
		a.Status = fleet.Served
	case "429", "503":
		a.Status = fleet.Rejected
	}
	x.j.Answer(a)
}

// Closed implements loop.Handler. What is open on a connection that was never taken never ran; what
// crossed its close is sent again, once; anything else is lost, unless the process was killed.
func (c *conn) Closed(err error) {
	p := c.p
	for caller, conns := range p.conns {
		for i, o := range conns {
			if o == c {
				p.conns[caller] = append(conns[:i:i], conns[i+1:]...)
			}
		}
	}
	var refused *eventloop.ConnectionRefusedError
	for id := range c.open {
		x := c.open[id]
		if x.check != nil {
			x.check(false)
			continue
		}
		delete(p.by, x.j)
		switch {
		case p.killed:
			x.j.ConnectionBroke()
		case errors.As(err, &refused):
			x.j.Unreachable()
		case !x.again && p.rig.loop.Now()-x.sent <= crossTime:
			p.send(&exchange{j: x.j, again: true}, x.j.Caller())
		default:
			x.j.Lost(fmt.Sprintf("the connection ended without an answer: %v", err))
		}
	}
	c.open = nil
}
