package scenario

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/protocol/fastcgi"
)

// Balancer is a FastCGI client. It sends `ID CLASS [key=K] [body=B] [age=MS] [keep=no]
// [FIELD=VALUE]`, where fields are parameters under their CGI names, `abort ID`, `stdin ID BYTES`,
// `health`, or `raw HEX`. It sees `ID STATUS BODY`, with come-back before the body of a refusal
// that says when to, and `gone` when its connection ends. It then takes a new one.
type Balancer struct {
	*Observations
	addr  string
	mu    sync.Mutex
	conn  net.Conn
	ended bool
	chop  bool
	parts map[uint16][]byte
}

// NewBalancer connects to a runner. One that chops writes a byte at a time.
func NewBalancer(t testing.TB, addr string, chop bool) *Balancer {
	t.Helper()
	b := &Balancer{Observations: newSeen(), addr: addr, chop: chop}
	if err := b.dial(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	return b
}

func (b *Balancer) dial() (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn, err = net.Dial("tcp", b.addr); err == nil {
		b.ended, b.parts = false, map[uint16][]byte{}
		go b.read(b.conn)
	}
	return err
}

// Close implements Actor.
func (b *Balancer) Close() error { return b.conn.Close() }

// CallID is the X-Call-Id that a balancer gives the request of that number.
func CallID(id string) string { return fmt.Sprintf("%016s", id) }

// Send implements Actor.
func (b *Balancer) Send(words []string) error {
	switch words[0] {
	case "raw":
		raw, err := hex.DecodeString(words[1])
		if err != nil {
			return err
		}
		return b.write(raw)
	case "abort":
		id, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		return b.write(fastcgi.Append(nil, fastcgi.AbortRequest, uint16(id), nil))
	case "stdin":
		id, _ := strconv.Atoi(words[1])
		size, err := strconv.Atoi(words[2])
		if err != nil {
			return err
		}
		return b.write(fastcgi.Append(nil, fastcgi.Stdin, uint16(id), make([]byte, size)))
	case "health":
		return b.write(
			b.request(99, map[string]string{"SCRIPT_NAME": "/alive", "REQUEST_METHOD": "GET"}, "", true),
		)
	}
	id, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	o := options(words[2:])
	age, _ := strconv.Atoi(o["age"]) // none is 0
	p := map[string]string{
		"SCRIPT_NAME":        "/ops/" + words[1],
		"REQUEST_METHOD":     "POST",
		"HTTP_X_CALL_ID":     CallID(words[0]),
		"HTTP_X_QUEUE_START": strconv.FormatInt(time.Now().UnixMilli()-int64(age), 10),
		"HTTP_X_SOURCE":      "1",
		"HTTP_X_CUSTOMER":    "north",
		"HTTP_X_HEAP_KB":     "24.5",
		"HTTP_X_IMPORTANCE":  "0.5",
		"HTTP_X_DEDUPE_KEY":  o["key"],
	}
	for name, value := range o {
		if strings.ToUpper(name) == name {
			p[name] = value
		}
	}
	return b.write(b.request(uint16(id), p, o["body"], o["keep"] != "no"))
}

func (b *Balancer) request(id uint16, params map[string]string, body string, keep bool) []byte {
	var pairs []byte
	for name, value := range params {
		pairs = fastcgi.AppendPair(pairs, name, value)
	}
	out := fastcgi.AppendBegin(nil, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, KeepConnection: keep})
	out = fastcgi.Append(fastcgi.Append(out, fastcgi.Params, id, pairs), fastcgi.Params, id, nil)
	if body != "" {
		out = fastcgi.Append(out, fastcgi.Stdin, id, []byte(body))
	}
	return fastcgi.Append(out, fastcgi.Stdin, id, nil)
}

func (b *Balancer) write(p []byte) error {
	b.mu.Lock()
	ended := b.ended
	b.mu.Unlock()
	if ended {
		if err := b.dial(); err != nil {
			return err
		}
	}
	step := len(p)
	if b.chop {
		step = 1
	}
	for ; len(p) > 0; p = p[min(step, len(p)):] {
		if _, err := b.conn.Write(p[:min(step, len(p))]); err != nil {
			return err
		}
	}
	return nil
}

func (b *Balancer) read(conn net.Conn) {
	var in []byte
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			conn.Close()
			b.mu.Lock()
			b.ended = true
			b.mu.Unlock()
			b.Note("gone")
			return
		}
		in = append(in, buf[:n]...)
		for {
			rec, used, err := fastcgi.Read(in, fastcgi.MaxRecord)
			if err != nil || used == 0 {
				break
			}
			b.record(rec)
			in = in[used:]
		}
	}
}

func (b *Balancer) record(rec fastcgi.Record) {
	switch rec.Type {
	case fastcgi.Stdout:
		b.parts[rec.ID] = append(b.parts[rec.ID], rec.Content...)
	case fastcgi.UnknownType:
		b.Note("unknown type %d", rec.Content[0])
	case fastcgi.EndRequest:
		head, body, _ := bytes.Cut(b.parts[rec.ID], []byte("\r\n\r\n"))
		delete(b.parts, rec.ID)
		if len(head) == 0 {
			b.Note("%d ended %d", rec.ID, rec.Content[4])
			return
		}
		status, rest, _ := strings.Cut(strings.TrimPrefix(string(head), "Status: "), "\r\n")
		if strings.Contains(rest, "X-Come-Back-Ms: ") {
			status += " come-back"
		}
		b.Note("%d %s %s", rec.ID, status, body)
	}
}

// Engine is a stand-in for the platform's engine. It sees `RUN ID CLASS BODY`, `FEED ID BODY` and
// `ATTACH NO`, sends `done ID STATUS RESULT`, `need ID BODY`, `no ID COMMAND` and `lost` before a
// notice that is kept but not written, and answers gauges by itself: 0.1 of its cores are busy, or
// what `cpu SHARE` says. Close breaks the link; `deaf` has it swallow what comes until then.
type Engine struct {
	*Observations
	Listener net.Listener
	mu       sync.Mutex
	link     net.Conn
	notices  []string
	deaf     bool
	cpu      string
	ran      map[string]bool
}

// NewEngine listens for a runner.
func NewEngine(t testing.TB) *Engine {
	e := &Engine{Observations: newSeen(), Listener: listen(t), cpu: "0.1", ran: map[string]bool{}}
	go serve(e.Listener, e.serve)
	return e
}

// Elsewhere is another address of the same engine.
func (e *Engine) Elsewhere(t testing.TB) string {
	ln := listen(t)
	go serve(ln, e.serve)
	return ln.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func serve(ln net.Listener, fn func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go fn(c)
	}
}

// hangUp closes a listener so that connections are refused from now on. Closing alone is not
// enough: a child process that is being started holds a copy of the descriptor until it runs its
// program, and up to then connections go into the queue of a listener that nobody serves.
func hangUp(ln net.Listener) error {
	if sc, ok := ln.(syscall.Conn); ok {
		raw, err := sc.SyscallConn()
		if err != nil {
			return err
		}
		// It fails only for a listener that is closed already.
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
	return ln.Close()
}

// Close implements Actor.
func (e *Engine) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = false
	return e.link.Close()
}

// Send implements Actor.
func (e *Engine) Send(words []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]any{"no": len(e.notices) + 1}
	lost := words[0] == "lost"
	if lost {
		words = words[1:]
	}
	switch words[0] {
	case "no":
		_, err := fmt.Fprintf(e.link, `{"t":"NO","status":%q,"rid":%q}`+"\n", words[2], CallID(words[1]))
		return err
	case "cpu":
		e.cpu = words[1]
		return nil
	case "deaf":
		e.deaf = true
		return nil
	case "again": // a notice that the runner has read already
		_, err := io.WriteString(e.link, e.notices[len(e.notices)-1])
		return err
	case "done":
		m["t"], m["status"] = "DONE", words[2]
		m["b64"] = []byte(strings.Join(words[3:], " "))
	case "need":
		m["t"], m["b64"] = "NEED", []byte(strings.Join(words[2:], " "))
	}
	m["rid"] = CallID(words[1])
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	e.notices = append(e.notices, string(line)+"\n")
	if !e.deaf && !lost {
		_, err = io.WriteString(e.link, e.notices[len(e.notices)-1])
	}
	return err
}

func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewScanner(c); r.Scan(); {
		var m struct {
			T     string `json:"t"`
			Rid   string `json:"rid"`
			Route string `json:"route"`
			Mark  string `json:"mark"`
			No    int    `json:"no"`
			B64   []byte `json:"b64"`
		}
		if json.Unmarshal(r.Bytes(), &m) != nil {
			e.Note("not JSON: %s", r.Bytes())
			return
		}
		id := strings.TrimLeft(m.Rid, "0")
		e.mu.Lock()
		switch {
		case m.T == "ATTACH":
			e.link = c
			e.Note("ATTACH %d", m.No)
			io.WriteString(
				c,
				`{"t":"HELLO","status":"running","time_ms":1}`+"\n"+strings.Join(e.notices[m.No:], ""),
			)
		case e.deaf:
		case m.T == "STAT":
			fmt.Fprintf(c, `{"t":"STATS","mark":%q,"v":[%s,0,0,0]}`+"\n", m.Mark, e.cpu)
		case m.T == "RUN" && e.ran[m.Rid]: // repeated after a break: for one that runs already nothing happens
		case m.T == "RUN":
			e.ran[m.Rid] = true
			e.Note("RUN %s %s %s", id, m.Route, m.B64)
		default:
			e.Note("%s %s %s", m.T, id, m.B64)
		}
		e.mu.Unlock()
	}
}

// Backend is a stand-in for the back end. It sees `call ID BODY`, and sends `STATUS BODY`, `twice
// STATUS BODY` (a second copy behind the first), `away STATUS` (with Turned-Away) `break` or
// `never` (nothing until the caller closes) to the oldest call.
type Backend struct {
	*Observations
	Listener net.Listener
	replies  chan []string
}

// NewBackend listens for calls.
func NewBackend(t testing.TB) *Backend {
	b := &Backend{Observations: newSeen(), Listener: listen(t), replies: make(chan []string, 16)}
	go serve(b.Listener, b.serve)
	return b
}

// Send implements Actor.
func (b *Backend) Send(words []string) error {
	b.replies <- words
	return nil
}

// Waiting is how many replies no call has taken yet.
func (b *Backend) Waiting() int { return len(b.replies) }

// Close implements Actor. From then on connections are refused.
func (b *Backend) Close() error { return hangUp(b.Listener) }

func (b *Backend) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body) // what is missing shows in the body that is seen
		b.Note("call %s %s", strings.TrimLeft(q.Header.Get("Parent-Call"), "0"), body)
		words := <-b.replies
		switch words[0] {
		case "break":
			return
		case "never":
			io.Copy(io.Discard, r)
			return
		case "away":
			fmt.Fprintf(c, "HTTP/1.1 %s Away\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n", words[1])
		default:
			again := words[0] == "twice"
			if again {
				words = words[1:]
			}
			text := strings.Join(words[1:], " ")
			reply := fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", words[0], len(text), text)
			if again {
				reply += reply
			}
			io.WriteString(c, reply)
		}
	}
}
