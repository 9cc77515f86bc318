package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/testing/scenario"
)

// Large responses, with a length and in chunks, reach callers unchanged. A caller that reads slowly does
// not delay others.
func TestLargeResponsesAreStreamed(t *testing.T) {
	t.Parallel()
	body := pattern(3 << 20)
	h := newHop(t, "response_kb: 4", func(c net.Conn, r *uwsgi.Request) error {
		if strings.HasSuffix(r.Get("PATH_INFO"), "/small") {
			return scenario.Respond(c, []byte("small"), true)
		}
		return scenario.Respond(c, body, strings.HasSuffix(r.Get("PATH_INFO"), "/length"))
	})
	for _, path := range []string{"/ops/quick-check/length", "/ops/quick-check/chunks"} {
		if status, got, whole := h.ask(path, ""); status != 200 || !whole || !bytes.Equal(got, body) {
			t.Errorf("%s: status %d, %d bytes, complete %v; want 200, all", path, status, len(got), whole)
		}
		slow := h.dial(path, "")
		one := make([]byte, 1)
		if _, err := io.ReadFull(slow, one); err != nil { // its response has begun; it reads nothing more for now
			t.Fatal(err)
		}
		for range 20 {
			if status, got, _ := h.ask("/ops/quick-check/small", ""); status != 200 ||
				string(got) != "small" {
				t.Fatalf("beside a slow reader: status %d, body %q; want 200, small", status, got)
			}
		}
		if status, got, whole := scenario.ReadAnswer(
			io.MultiReader(bytes.NewReader(one), slow),
		); status != 200 ||
			!whole ||
			!bytes.Equal(got, body) {
			t.Errorf("%s, read slowly: status %d, %d bytes, complete %v; want 200, all", path, status, len(got), whole)
		}
		slow.Close()
	}
}

// A server closes after any byte of its response. The caller gets a complete error answer, or can tell
// that the response is truncated: an incomplete response never looks complete. Each request gets one
// answer.
func TestServerClosingAtAnyByteGivesNoCompleteResponse(t *testing.T) {
	t.Parallel()
	body := pattern(1400) // response_kb is 1: the first kilobyte is buffered, and the rest is streamed
	forms := map[string][]byte{
		"length": fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": append(
			[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
			httpmessage.AppendChunk(
				httpmessage.AppendChunk(httpmessage.AppendChunk(nil, body[:700]), body[700:]),
				nil,
			)...),
	}
	h := newHop(t, "response_kb: 1", func(c net.Conn, r *uwsgi.Request) error {
		_, form, _ := strings.Cut(strings.TrimPrefix(r.Get("PATH_INFO"), "/ops/quick-check/"), "/")
		n, err := strconv.Atoi(form)
		if err != nil {
			return err
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(r.Get("PATH_INFO"), "/ops/quick-check/"), "/")
		_, err = c.Write(forms[name][:n])
		return err
	})
	for name, text := range forms {
		failed, cut := 0, 0
		for n := 0; n <= len(text); n++ {
			status, got, whole := h.ask(fmt.Sprintf("/ops/quick-check/%s/%d", name, n), "")
			switch {
			case n == len(text):
				if status != 200 || !whole || !bytes.Equal(got, body) {
					t.Errorf("%s, sent whole: status %d, %d bytes, complete %v; want 200, all",
						name, status, len(got), whole)
				}
			case status == 502 && whole:
				failed++
			case (status == 200 || status == 0) && !whole && bytes.HasPrefix(body, got):
				cut++
			default:
				t.Errorf("%s, closed at byte %d: status %d, %d bytes, complete %v; want 502, or a truncated response",
					name, n, status, len(got), whole)
			}
		}
		if failed < 1000 || cut < 300 {
			t.Errorf("%s: %d error answers, %d truncated; want at least 1000 and 300", name, failed, cut)
		}
	}
}

// A request with an idempotency key runs once, whatever happens to its answer. A retry while the response
// is streamed, after it, or after the first caller has closed gets the cached result, or status 409 if
// the result was too large for the cache.
func TestStreamedKeyedRequestRunsOnce(t *testing.T) {
	t.Parallel()
	kept, large := pattern(60<<10), pattern(3<<20)
	h := newHop(t, "response_kb: 4, keep_kb: 100", func(c net.Conn, r *uwsgi.Request) error {
		if strings.HasPrefix(r.Get("HTTP_X_DEDUPE_KEY"), "kept") {
			time.Sleep(50 * time.Millisecond)
			return scenario.Respond(c, kept, true)
		}
		return scenario.Respond(c, large, false)
	})
	for _, c := range []struct {
		key    string
		leaves bool // its first caller closes before the end of the response
		status int
		body   []byte
	}{
		{"kept-1", false, 200, kept},
		{"kept-2", true, 200, kept},
		{"large-1", false, 409, nil},
		{"large-2", true, 409, nil},
	} {
		before := h.runs.Load()
		first := h.dial("/ops/hand-in", c.key)
		one := make([]byte, 1)
		if _, err := io.ReadFull(first, one); err != nil {
			t.Fatalf("%s: %v", c.key, err)
		}
		repeat := h.dial("/ops/hand-in", c.key) // while the response is streamed
		if c.leaves {
			first.Close()
		} else if status, got, whole := scenario.ReadAnswer(
			io.MultiReader(bytes.NewReader(one), first),
		); status != 200 || !whole || len(got) < len(kept) {
			t.Errorf("%s: status %d, %d bytes, complete %v; want 200, all", c.key, status, len(got), whole)
		}
		for _, conn := range []net.Conn{repeat, h.dial("/ops/hand-in", c.key)} {
			status, got, whole := scenario.ReadAnswer(conn)
			if status != c.status || !whole || c.body != nil && !bytes.Equal(got, c.body) {
				t.Errorf("retry of %s: status %d, %d bytes, complete %v; want %d, complete",
					c.key, status, len(got), whole, c.status)
			}
			conn.Close()
		}
		if runs := h.runs.Load() - before; runs != 1 {
			t.Errorf("key %s ran %d times, want once", c.key, runs)
		}
		first.Close()
	}
}

// A drain waits for streamed responses, and the program exits when they are complete.
func TestDrainWaitsForStreams(t *testing.T) {
	t.Parallel()
	body := pattern(3 << 20)
	h := newHop(
		t,
		"response_kb: 4",
		func(c net.Conn, r *uwsgi.Request) error { return scenario.Respond(c, body, false) },
	)
	c := h.dial("/ops/quick-check", "")
	defer c.Close()
	one := make([]byte, 1)
	if _, err := io.ReadFull(c, one); err != nil {
		t.Fatal(err)
	}
	if err := h.Send([]string{"TERM"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if status, got, whole := scenario.ReadAnswer(io.MultiReader(bytes.NewReader(one), c)); status != 200 ||
		!whole ||
		!bytes.Equal(got, body) {
		t.Errorf("during a drain: status %d, %d bytes, complete %v; want 200, all", status, len(got), whole)
	}
	if got, ok := h.Next(testTimeout); !ok || got != "exit 0" {
		t.Errorf("the program ended with %q, want exit 0", got)
	}
}

// When a caller closes in the middle of a streamed response, the program closes the connection to the
// server, and goes on accepting connections.
func TestCallerThatClosesStopsItsServer(t *testing.T) {
	t.Parallel()
	h := newHop(
		t,
		"response_kb: 4",
		func(c net.Conn, r *uwsgi.Request) error { return scenario.Respond(c, pattern(64<<20), false) },
	)
	c := h.dial("/ops/quick-check", "")
	if _, err := io.ReadFull(c, make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	for deadline := time.Now().Add(testTimeout); h.aborted.Load() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the server's connection was not closed")
		}
	}
	if c, err := net.Dial("tcp", h.listen["uwsgi"]); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
}

// receiveBody plays a server that reads a body, and reports whether it arrived complete. The last part
// of the path selects whether it reads slowly (slow) or responds before it has read the body (early).
func receiveBody(c net.Conn, body []byte, complete chan<- bool) {
	path, got, err := scenario.ReadHead(c)
	if err != nil {
		return
	}
	if strings.HasSuffix(path, "/early") {
		scenario.Respond(c, []byte("early"), true)
		return
	}
	buf := make([]byte, 64<<10)
	for len(got) < len(body) {
		if strings.HasSuffix(path, "/slow") {
			time.Sleep(time.Millisecond)
		}
		n, err := c.Read(buf)
		if got = append(got, buf[:n]...); err != nil {
			complete <- false
			return
		}
	}
	complete <- bytes.Equal(got, body)
	scenario.Respond(c, []byte("stored"), true)
}

// Large bodies of idempotent requests are streamed to their server in bounded memory, also if the server
// reads slowly or responds before it has read them. If the caller stalls or closes, the server sees an
// incomplete body. Requests with an idempotency key are sent only when their body is complete, and are
// rejected if it is too large.
func TestLargeBodiesAreStreamed(t *testing.T) {
	t.Parallel()
	body, complete := pattern(8<<20), make(chan bool, 10)
	h := newHopRaw(t, "body_kb: 16, upload_mb: 16, stream_kb: 64, read_ms: 400", func(c net.Conn) {
		receiveBody(c, body, complete)
	})
	for _, name := range []string{"quick", "slow"} {
		c := h.upload("/ops/quick-check/"+name, len(body), body[:100_000], body[100_000:])
		if status, got, whole := scenario.ReadAnswer(c); status != 200 || string(got) != "stored" || !whole ||
			!<-complete {
			t.Errorf("%s: status %d, body %q, complete %v; want 200, stored", name, status, got, whole)
		}
		c.Close()
	}
	c := h.upload("/ops/quick-check/early", len(body), body[:50_000])
	if status, got, _ := scenario.ReadAnswer(c); status != 200 || string(got) != "early" {
		t.Errorf("early: status %d, body %q; want 200, early", status, got)
	}
	c.Close()
	c = h.upload("/ops/quick-check/stalls", len(body), body[:1<<20])
	if status, _, _ := scenario.ReadAnswer(c); status != 408 || <-complete {
		t.Errorf("caller stalls: status %d, want 408 and an incomplete body at the server", status)
	}
	c.Close()
	h.upload("/ops/quick-check/goes", len(body), body[:1<<20]).Close()
	if <-complete {
		t.Error("the server received a body as complete although its caller closed in the middle")
	}
	for path, length := range map[string]int{
		"/ops/hand-in":          len(body),
		"/ops/full-check":       len(body),
		"/ops/quick-check/huge": 17 << 20,
	} {
		c := h.upload(path, length)
		if status, _, _ := scenario.ReadAnswer(c); status != 413 {
			t.Errorf("%s: status %d, want 413", path, status)
		}
		c.Close()
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	t.Log(regexp.MustCompile("VmHWM:.*").FindString(string(text)))
}
