package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryepaddle/internal/testing/conformance"
	"ryepaddle/internal/testing/scenario"
)

// conformanceHop starts a hop whose server sends the response of the current conformance case.
func conformanceHop(t *testing.T) (*hop, *atomic.Pointer[conformance.Case]) {
	t.Helper()
	var current atomic.Pointer[conformance.Case]
	h := &hop{t: t, deadlineUs: 4_000_000}
	h.start("tries: 1", func(c net.Conn) {
		if _, err := scenario.ReadRequest(c); err != nil {
			return
		}
		h.runs.Add(1)
		_, _ = c.Write([]byte(current.Load().Server))
		if current.Load().AfterResponse == "hold" {
			_, _ = c.Read(make([]byte, 1)) // until the hop closes
		}
	})
	return h, &current
}

// sendAndAwait sends a request and waits for its answer.
func sendAndAwait(t *testing.T, actor scenario.Actor, request string) string {
	t.Helper()
	if err := actor.Send(strings.Fields(request)); err != nil {
		t.Fatal(err)
	}
	answer, ok := actor.Next(testTimeout)
	if !ok {
		t.Fatalf("no answer to %s", request)
	}
	return answer
}

// Both frontends give the same answer to whatever a server sends, once per request. They differ only in
// form: for a failed server FastCGI answers 500 and uwsgi 502, and the field with the retry delay has
// different names.
func TestFrontendsGiveSameAnswers(t *testing.T) {
	t.Parallel()
	cases, _, err := conformance.Load()
	if err != nil {
		t.Fatal(err)
	}
	h, current := conformanceHop(t)
	balancer := scenario.NewBalancer(t, h.listen["platform"], false)
	caller := scenario.NewCaller(t, h.listen["uwsgi"])
	played := 0
	for i, c := range cases {
		if c.Server == "" && c.AfterResponse != "hold" || c.Raw != "" {
			continue
		}
		current.Store(&c)
		played++
		before := h.runs.Load()
		overFastCGI := sendAndAwait(t, balancer, fmt.Sprintf("%d quick-check", i+1))
		overUWSGI := sendAndAwait(t, caller, fmt.Sprintf("%d /ops/quick-check", i+1))
		if normalizeAnswer(overFastCGI) != normalizeAnswer(overUWSGI) {
			t.Errorf("%s: answered %q over FastCGI, %q over uwsgi", c.Name, overFastCGI, overUWSGI)
		}
		if n := h.runs.Load() - before; n != 2 {
			t.Errorf("%s: two requests ran %d times, want 2", c.Name, n)
		}
	}
	for _, actor := range []scenario.Actor{balancer, caller} {
		if more, ok := actor.Next(50 * time.Millisecond); ok {
			t.Errorf("unexpected second answer: %q", more)
		}
	}
	if t.Logf("%d cases", played); played < 20 {
		t.Errorf("only %d cases were played, want at least 20", played)
	}
}

// normalizeAnswer removes the differences of form between the frontends' answers: the text of an error,
// the name of the field with the retry delay, and status 500 for 502.
func normalizeAnswer(s string) string {
	words := append(strings.SplitN(s, " ", 3), "", "")
	switch {
	case words[1] == "500":
		return words[0] + " 502 false"
	case strings.HasPrefix(words[1], "5"):
		hasRetryDelay := strings.HasPrefix(words[2], "come-back") || strings.HasPrefix(words[2], "retry-after")
		return fmt.Sprintf("%s %s %v", words[0], words[1], hasRetryDelay)
	}
	return strings.TrimSpace(s)
}
