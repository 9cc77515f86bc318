package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is the final answer to one try, or the end of its connection without one.
type answer struct {
	status int // 200, 503, ...; a protocol status OVERLOADED is 503; 0: the connection ended without an answer
	body   string
	fields string
	at     time.Time
}

// refused reports whether the answer says that the try never ran.
func (a *answer) refused() bool { return a.status == 503 || a.status == 429 }

func (a *answer) String() string {
	if a.status == 0 {
		return "no answer: the connection ended"
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

// balancer is one FastCGI connection of a balancer.
type balancer struct {
	conn   net.Conn
	source int
	all    *registry
	rec    *record

	mu    sync.Mutex
	last  uint16
	tries map[uint16]*try
	ended bool
}

// try is one try of a request.
type try struct {
	job     *job
	id      uint16
	started time.Time // X-Queue-Start
	out     strings.Builder
	done    chan *answer
}

var lastCall atomic.Uint64

// newCallID returns an X-Call-Id, which no other try has.
func newCallID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<12|lastCall.Add(1)&0xfff)
}

func dialBalancer(addr string, source int, all *registry, rec *record) (*balancer, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &balancer{conn: conn, source: source, all: all, rec: rec, tries: map[uint16]*try{}}
	go b.read()
	return b, nil
}

const (
	typeBegin, typeEnd, typeParams, typeStdin, typeStdout = 1, 3, 4, 5, 6
	statusOverloaded                                      = 2
)

func appendRecord(out []byte, kind byte, id uint16, content []byte) []byte {
	out = append(out, 1, kind)
	out = binary.BigEndian.AppendUint16(out, id)
	out = binary.BigEndian.AppendUint16(out, uint16(len(content)))
	out = append(out, 0, 0)
	return append(out, content...)
}

func appendPair(out []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 128 {
			out = append(out, byte(n))
		} else {
			out = binary.BigEndian.AppendUint32(out, uint32(n)|1<<31)
		}
	}
	return append(append(out, name...), value...)
}

// begin returns a new try and the records of its beginning and its parameters.
func (b *balancer) begin(j *job) (*try, []byte) {
	t := &try{job: j, started: time.Now(), done: make(chan *answer, 1)}
	b.mu.Lock()
	b.last++
	t.id = b.last
	b.tries[t.id] = t
	ended := b.ended
	b.mu.Unlock()
	if ended { // nothing is written any more
		b.end(t, &answer{at: time.Now()})
	}
	var params []byte
	for _, p := range [][2]string{
		{"REQUEST_METHOD", "POST"},
		{"SCRIPT_NAME", "/ops/" + j.class},
		{"CONTENT_LENGTH", strconv.Itoa(len(j.body))},
		{"HTTP_X_CALL_ID", j.id},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(t.started.UnixMilli(), 10)},
		{"HTTP_X_SOURCE", strconv.Itoa(b.source)},
		{"HTTP_X_CUSTOMER", "malarskolan"},
		{"HTTP_X_HEAP_KB", "42.0"},
		{"HTTP_X_IMPORTANCE", "0.5000"},
		{"HTTP_X_DEDUPE_KEY", j.key},
	} {
		if p[1] != "" {
			params = appendPair(params, p[0], p[1])
		}
	}
	if j.key == "" {
		params = appendPair(params, "HTTP_X_ENTITY", j.id)
	}
	out := appendRecord(nil, typeBegin, t.id, []byte{0, 1, 1, 0, 0, 0, 0, 0}) // a Responder, KEEP_CONN
	out = appendRecord(out, typeParams, t.id, params)
	return t, appendRecord(out, typeParams, t.id, nil)
}

// body returns the records of the body of a try, which complete the request.
func (t *try) body() []byte {
	var out []byte
	if t.job.body != "" {
		out = appendRecord(nil, typeStdin, t.id, []byte(t.job.body))
	}
	return appendRecord(out, typeStdin, t.id, nil)
}

func (b *balancer) write(out []byte) {
	if _, err := b.conn.Write(out); err != nil {
		b.rec.note("balancer %d: write: %v", b.source, err)
	}
}

// send writes a complete request.
func (b *balancer) send(j *job) *try {
	b.all.written(j)
	t, out := b.begin(j)
	b.rec.note("balancer %d sends %s id %s key %q", b.source, j.class, j.id, j.key)
	b.write(append(out, t.body()...))
	return t
}

// wait returns the answer of a try, or nil after the given time.
func (t *try) wait(within time.Duration) *answer {
	timeout := time.After(max(within, time.Millisecond))
	select {
	case a := <-t.done:
		t.done <- a
		return a
	case <-timeout:
		return nil
	}
}

func (b *balancer) read() {
	in := bufio.NewReader(b.conn)
	var head [8]byte
	for {
		if _, err := io.ReadFull(in, head[:]); err != nil {
			break
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(in, content); err != nil {
			break
		}
		content = content[:binary.BigEndian.Uint16(head[4:])]
		b.mu.Lock()
		t := b.tries[binary.BigEndian.Uint16(head[2:])]
		b.mu.Unlock()
		if t == nil {
			continue
		}
		switch head[1] {
		case typeStdout:
			t.out.Write(content)
		case typeEnd:
			b.end(t, parseAnswer(t.out.String(), content[4]))
		}
	}
	b.mu.Lock()
	b.ended = true
	open := b.tries
	b.tries = map[uint16]*try{}
	b.mu.Unlock()
	b.rec.note("balancer %d: the connection has ended, %d tries are open", b.source, len(open))
	for _, t := range open {
		b.finish(t, &answer{at: time.Now()})
	}
}

func (b *balancer) end(t *try, a *answer) {
	b.mu.Lock()
	delete(b.tries, t.id)
	b.mu.Unlock()
	b.finish(t, a)
}

func (b *balancer) finish(t *try, a *answer) {
	b.all.ended(t.job.id)
	b.rec.note("answer to %s id %s key %q after %d ms: %v", t.job.class, t.job.id, t.job.key,
		a.at.Sub(t.started).Milliseconds(), a)
	t.done <- a
}

// isOpen reports whether the connection can carry further requests.
func (b *balancer) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

func parseAnswer(out string, protocolStatus byte) *answer {
	a := &answer{at: time.Now()}
	if protocolStatus == statusOverloaded {
		a.status = 503
		return a
	}
	head, body, _ := strings.Cut(out, "\r\n\r\n")
	a.body = body
	a.fields = head
	for _, line := range strings.Split(head, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "Status") {
			text, _, _ := strings.Cut(strings.TrimSpace(value), " ")
			a.status, _ = strconv.Atoi(text)
		}
	}
	return a
}
