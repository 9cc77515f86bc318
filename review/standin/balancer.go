package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"time"
)

// Record types and flags of FastCGI 1.0.
const (
	fcgiBegin  = 1
	fcgiAbort  = 2
	fcgiEnd    = 3
	fcgiParams = 4
	fcgiStdin  = 5
	fcgiStdout = 6

	overloaded = 2
)

// Kinds of answers, by the protocol page.
const (
	Served  = "served"
	Refused = "refused" // this try never ran
	Failed  = "failed"
	Lost    = "no whole answer" // the connection ended without one
	Late    = "no answer in its time"
)

// Try is one try of a request.
type Try struct {
	ID, Class, Key string
	Body           []byte
	QueueStart     int64     // Unix milliseconds
	WrittenAt      time.Time // when its last byte was written

	Kind       string // of the answer
	Status     int
	Result     []byte
	AnsweredAt time.Time
	Aborted    bool // the balancer has sent ABORT_REQUEST before an answer came
	done       chan struct{}
	output     []byte
}

// Done is closed when the try is answered or lost.
func (t *Try) Done() <-chan struct{} { return t.done }

// Answered reports whether the try was answered or lost.
func (t *Try) Answered() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// Conn is one connection of a balancer.
type Conn struct {
	Name   string
	conn   net.Conn
	record *Record
	source int
	mu     sync.Mutex
	open   map[uint16]*Try
	lastID uint16
	ended  bool
}

// Dial opens a connection of the balancer with a number.
func Dial(name, addr string, source int, record *Record) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	b := &Conn{Name: name, conn: c, record: record, source: source, open: map[uint16]*Try{}}
	go b.read()
	return b, nil
}

// Ended reports whether the connection has ended.
func (c *Conn) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() }

// ErrEnded reports a connection that has ended before anything of a request was written.
var ErrEnded = errors.New("the connection has ended")

func fcgiRecord(typ byte, id uint16, content []byte) []byte {
	b := []byte{1, typ}
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(append(b, 0, 0), content...)
}

func fcgiPair(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 128 {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
		}
	}
	return append(append(b, name...), value...)
}

// NewID returns a new X-Call-Id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send writes a new try. The tenant is the first of the settings.
func (c *Conn) Send(class, key string, body []byte) (*Try, error) {
	t := &Try{ID: NewID(), Class: class, Key: key, Body: body, done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil, ErrEnded
	}
	for c.lastID++; c.lastID == 0 || c.open[c.lastID] != nil; c.lastID++ {
	}
	id := c.lastID
	t.QueueStart = UnixMs()
	var params []byte
	for _, p := range [][2]string{
		{"REQUEST_METHOD", "POST"}, {"SCRIPT_NAME", "/ops/" + class}, {"HTTP_X_CALL_ID", t.ID},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(t.QueueStart, 10)}, {"HTTP_X_SOURCE", strconv.Itoa(c.source)},
		{"HTTP_X_CUSTOMER", "malarskolan"}, {"HTTP_X_HEAP_KB", "40.0"}, {"HTTP_X_IMPORTANCE", "0.5000"},
		{"HTTP_X_DEDUPE_KEY", key},
	} {
		if p[1] != "" {
			params = fcgiPair(params, p[0], p[1])
		}
	}
	b := fcgiRecord(fcgiBegin, id, []byte{0, 1, 1, 0, 0, 0, 0, 0}) // Responder, KEEP_CONN
	b = append(b, fcgiRecord(fcgiParams, id, params)...)
	b = append(b, fcgiRecord(fcgiParams, id, nil)...)
	b = append(b, fcgiRecord(fcgiStdin, id, body)...)
	b = append(b, fcgiRecord(fcgiStdin, id, nil)...)
	c.open[id] = t
	if _, err := c.conn.Write(b); err != nil {
		delete(c.open, id)
		return nil, err
	}
	t.WrittenAt = time.Now()
	c.record.Line("balancer: %s sends %s %s key %q body %q", c.Name, t.ID, class, key, body)
	return t, nil
}

// Abort sends ABORT_REQUEST for a try that has no answer yet.
func (c *Conn) Abort(t *Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, o := range c.open {
		if o == t {
			t.Aborted = true
			c.record.Line("balancer: %s stops waiting for %s, ABORT_REQUEST", c.Name, t.ID)
			_, _ = c.conn.Write(fcgiRecord(fcgiAbort, id, nil))
		}
	}
}

// read reads records until the connection ends.
func (c *Conn) read() {
	r := bufio.NewReader(c.conn)
	var err error
	for err == nil {
		var head [8]byte
		if _, err = io.ReadFull(r, head[:]); err != nil {
			break
		}
		n := int(binary.BigEndian.Uint16(head[4:]))
		content := make([]byte, n+int(head[6]))
		if _, err = io.ReadFull(r, content); err != nil {
			break
		}
		c.handle(head[1], binary.BigEndian.Uint16(head[2:]), content[:n])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.conn.Close()
	c.record.Line("balancer: %s ended (%v), %d tries open", c.Name, err, len(c.open))
	for id, t := range c.open {
		delete(c.open, id)
		c.finish(t, Lost)
	}
}

func (c *Conn) handle(typ byte, id uint16, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.open[id]
	if t == nil {
		return
	}
	switch typ {
	case fcgiStdout:
		t.output = append(t.output, content...)
	case fcgiEnd:
		delete(c.open, id)
		kind := Failed
		if len(content) >= 5 && content[4] == overloaded {
			kind = Refused
		} else if head, body, ok := bytes.Cut(t.output, []byte("\r\n\r\n")); ok {
			h, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(append(head, "\r\n\r\n"...)))).ReadMIMEHeader()
			t.Status, _ = strconv.Atoi(h.Get("Status"))
			switch t.Status {
			case 200:
				kind = Served
				t.Result = body
			case 429, 503:
				kind = Refused
			}
		}
		c.finish(t, kind)
	}
}

// finish ends a try. c.mu is held.
func (c *Conn) finish(t *Try, kind string) {
	t.Kind = kind
	t.AnsweredAt = time.Now()
	c.record.Line("balancer: %s: %s %s after %.3f s: %s, status %d, %q", c.Name, t.ID, t.Class,
		t.AnsweredAt.Sub(t.WrittenAt).Seconds(), kind, t.Status, t.Result)
	close(t.done)
}
