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

// An old client and a new one get the same final answer of whatever a new server says: once, and
// each in its own form. Where the server failed the one is told 500 and the other 502, and when to
// come back stands in fields of different names.
func TestOldAndNewClientsAgree(t *testing.T) {
	t.Parallel()
	cases, _, err := conformance.Load()
	if err != nil {
		t.Fatal(err)
	}
	var says atomic.Pointer[conformance.Case]
	h := &hop{t: t, due: 4_000_000}
	h.start("tries: 1", func(c net.Conn) {
		if _, err := scenario.ReadRequest(c); err != nil {
			return
		}
		h.runs.Add(1)
		_, _ = c.Write([]byte(says.Load().Server))
		if says.Load().AfterResponse == "hold" {
			_, _ = c.Read(make([]byte, 1)) // until the hop closes
		}
	})
	old, fresh := scenario.NewBalancer(
		t,
		h.listen["platform"],
		false,
	), scenario.NewCaller(
		t,
		h.listen["uwsgi"],
	)
	played := 0
	for i, c := range cases {
		if c.Server == "" && c.AfterResponse != "hold" || c.Raw != "" {
			continue
		}
		says.Store(&c)
		played++
		before := h.runs.Load()
		id := fmt.Sprint(i + 1)
		var got [2]string
		for k, send := range []struct {
			to   scenario.Actor
			line string
		}{{old, id + " quick-check"}, {fresh, id + " /ops/quick-check"}} {
			if err := send.to.Send(strings.Fields(send.line)); err != nil {
				t.Fatal(err)
			}
			var ok bool
			if got[k], ok = send.to.Next(patience); !ok {
				t.Fatalf("%s: no answer to %s", c.Name, send.line)
			}
		}
		if form(got[0]) != form(got[1]) {
			t.Errorf("%s: the old client is told %q, the new one %q", c.Name, got[0], got[1])
		}
		if n := h.runs.Load() - before; n != 2 {
			t.Errorf("%s: %d runs of two requests", c.Name, n)
		}
	}
	for _, a := range []scenario.Actor{old, fresh} {
		if more, ok := a.Next(50 * time.Millisecond); ok {
			t.Errorf("an answer too many: %q", more)
		}
	}
	if t.Logf("%d cases", played); played < 20 {
		t.Errorf("%d cases", played)
	}
}

// form is an answer without what is told in other words: why nothing was served, and in which field
// when to come back.
func form(s string) string {
	words := append(strings.SplitN(s, " ", 3), "", "")
	switch {
	case words[1] == "500":
		return words[0] + " 502 false"
	case strings.HasPrefix(words[1], "5"):
		back := strings.HasPrefix(words[2], "come-back") || strings.HasPrefix(words[2], "retry-after")
		return fmt.Sprintf("%s %s %v", words[0], words[1], back)
	}
	return strings.TrimSpace(s)
}
