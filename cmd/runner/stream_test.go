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

// Large responses pass unchanged, with a length and in chunks, to a fast reader and to a slow one,
// which delays no other.
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
			t.Errorf("%s: status %d, %d bytes, whole %v", path, status, len(got), whole)
		}
		slow := h.dial(path, "")
		one := make([]byte, 1)
		if _, err := io.ReadFull(slow, one); err != nil { // it has begun, and takes no more for now
			t.Fatal(err)
		}
		for range 20 {
			if status, got, _ := h.ask("/ops/quick-check/small", ""); status != 200 ||
				string(got) != "small" {
				t.Fatalf("beside a slow reader: status %d, %q", status, got)
			}
		}
		if status, got, whole := scenario.ReadAnswer(
			io.MultiReader(bytes.NewReader(one), slow),
		); status != 200 ||
			!whole ||
			!bytes.Equal(got, body) {
			t.Errorf("%s, slowly: status %d, %d bytes, whole %v", path, status, len(got), whole)
		}
		slow.Close()
	}
}

// A server closes after any byte of its response: the caller gets a complete error, or sees that
// the response was cut off. Nothing incomplete looks complete, and each request has one answer.
func TestServerClosingAtAnyByteGivesNoCompleteResponse(t *testing.T) {
	t.Parallel()
	body := pattern(1400) // a kilobyte is gathered, the rest streams
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
					t.Errorf("%s: the whole: status %d, %d bytes, whole %v", name, status, len(got), whole)
				}
			case status == 502 && whole:
				failed++
			case (status == 200 || status == 0) && !whole && bytes.HasPrefix(body, got):
				cut++
			default:
				t.Errorf("%s cut at %d: status %d, %d bytes, whole %v", name, n, status, len(got), whole)
			}
		}
		if failed < 1000 || cut < 300 {
			t.Errorf("%s: %d failed, %d were cut", name, failed, cut)
		}
	}
}

// A hand-in runs once, whatever happens to its answer: a retry while it is streamed, after that, or
// after its first caller has closed, gets the result where it is cached, and else the answer that
// it ran.
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
		leaves bool // its first caller
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
		repeat := h.dial("/ops/hand-in", c.key) // while it streams
		if c.leaves {
			first.Close()
		} else if status, got, whole := scenario.ReadAnswer(
			io.MultiReader(bytes.NewReader(one), first),
		); status != 200 || !whole || len(got) < len(kept) {
			t.Errorf("%s: status %d, %d bytes, whole %v", c.key, status, len(got), whole)
		}
		for _, conn := range []net.Conn{repeat, h.dial("/ops/hand-in", c.key)} {
			status, got, whole := scenario.ReadAnswer(conn)
			if status != c.status || !whole || c.body != nil && !bytes.Equal(got, c.body) {
				t.Errorf("%s: a repeat gets status %d, %d bytes, whole %v", c.key, status, len(got), whole)
			}
			conn.Close()
		}
		if runs := h.runs.Load() - before; runs != 1 {
			t.Errorf("%s ran %d times", c.key, runs)
		}
		first.Close()
	}
}

// A drain waits for streamed responses, and the program ends when they are complete.
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
		t.Errorf("status %d, %d bytes, whole %v", status, len(got), whole)
	}
	if got, ok := h.Next(testTimeout); !ok || got != "exit 0" {
		t.Errorf("%q", got)
	}
}

// A caller that closes in the middle of a stream stops the work of its server, and nothing else.
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
			t.Fatal("the server still sends")
		}
	}
	if c, err := net.Dial("tcp", h.listen["uwsgi"]); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
}

// receiveBody plays a server that reads a body, slowly or not, and reports whether it was complete.
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

// Large bodies of idempotent requests are streamed to their server in bounded memory: complete, to
// a server that is slow or answers before it has read them, from a caller that stalls or closes.
// Those of requests with an idempotency key must arrive complete, and are rejected if they are too
// large.
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
			t.Errorf("%s: status %d, %q, whole %v", name, status, got, whole)
		}
		c.Close()
	}
	c := h.upload("/ops/quick-check/early", len(body), body[:50_000])
	if status, got, _ := scenario.ReadAnswer(c); status != 200 || string(got) != "early" {
		t.Errorf("early: status %d, %q", status, got)
	}
	c.Close()
	c = h.upload("/ops/quick-check/stalls", len(body), body[:1<<20])
	if status, _, _ := scenario.ReadAnswer(c); status != 408 || <-complete {
		t.Errorf("a caller that stalls gets status %d", status)
	}
	c.Close()
	h.upload("/ops/quick-check/goes", len(body), body[:1<<20]).Close()
	if <-complete {
		t.Error("a body that was cut looks complete to its server")
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
