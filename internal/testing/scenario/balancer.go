package scenario

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/protocol/fastcgi"
)

// Balancer is a test double of the platform's load balancer, a FastCGI client. It sends
// `ID CLASS [key=K] [body=B] [age=MS] [keep=no] [FIELD=VALUE]`, where each FIELD is the CGI name of a parameter,
// `abort ID`, `stdin ID BYTES` (that many zero bytes), `health`, or `raw HEX`.
//
// It observes `ID STATUS BODY`, with come-back before the body if the answer has the header field X-Come-Back-Ms,
// and `ID ended PROTOCOL-STATUS` for a request that ends without an answer. When its connection ends it observes
// `gone`, and opens a new connection for the next action.
type Balancer struct {
	*Observations
	addr     string
	mu       sync.Mutex
	conn     net.Conn
	ended    bool
	bytewise bool
	stdout   map[uint16][]byte
}

// NewBalancer connects to a runner. With bytewise it writes one byte at a time.
func NewBalancer(t testing.TB, addr string, bytewise bool) *Balancer {
	t.Helper()
	b := &Balancer{Observations: newObservations(), addr: addr, bytewise: bytewise}
	if err := b.dial(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	return b
}

// dial opens a connection and starts to read from it.
func (b *Balancer) dial() (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn, err = net.Dial("tcp", b.addr); err == nil {
		b.ended = false
		b.stdout = map[uint16][]byte{}
		go b.read(b.conn)
	}
	return err
}

// Close implements Actor.
func (b *Balancer) Close() error { return b.conn.Close() }

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
	o := parseOptions(words[2:])
	age, _ := strconv.Atoi(o["age"]) // 0 without the option
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

// request returns the FastCGI records of a request.
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

// write writes p to the connection, or to a new one if the connection has ended.
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
	if b.bytewise {
		step = 1
	}
	for ; len(p) > 0; p = p[min(step, len(p)):] {
		if _, err := b.conn.Write(p[:min(step, len(p))]); err != nil {
			return err
		}
	}
	return nil
}

// read reads records until the connection ends.
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
			b.handleRecord(rec)
			in = in[used:]
		}
	}
}

// handleRecord handles one record. An EndRequest record completes an answer, which is then observed.
func (b *Balancer) handleRecord(rec fastcgi.Record) {
	switch rec.Type {
	case fastcgi.Stdout:
		b.stdout[rec.ID] = append(b.stdout[rec.ID], rec.Content...)
	case fastcgi.UnknownType:
		b.Note("unknown type %d", rec.Content[0])
	case fastcgi.EndRequest:
		head, body, _ := bytes.Cut(b.stdout[rec.ID], []byte("\r\n\r\n"))
		delete(b.stdout, rec.ID)
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

// CallID returns the X-Call-Id of a request: its ID in the script, padded to 16 characters.
func CallID(id string) string { return fmt.Sprintf("%016s", id) }
