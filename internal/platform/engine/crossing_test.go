package engine

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// The engine's address changes twice, the second time while the link still dials the first new address.
// That connection is closed, and the link attaches at the last address, with all open runs.
func TestEngineMovesTwiceWhileDialing(t *testing.T) {
	s, engine := scenario.NewSteppedLoop(t), scenario.NewEngine(t)
	link := New(
		s.Loop,
		netip.MustParseAddrPort(engine.Listener.Addr().String()),
		func([]float64) lifecycle.Gauges { return lifecycle.UnknownGauges() },
	)
	link.Start(&outcomeSink{loop: s.Loop})
	s.Until(link.IsConnected)
	link.Run(attempt(s.Loop, "1"))
	s.Advance(0)
	expect(t, engine, "ATTACH 0", "RUN 1 check")
	link.SetAddress(scenario.UnresponsiveServer(t))
	s.Advance(0)
	if !link.IsConnected() || link.dialing == nil {
		t.Fatal("the current connection was closed before the new one was established")
	}
	last := netip.MustParseAddrPort(engine.NewAddress(t))
	link.SetAddress(last)
	s.Until(func() bool { return link.IsConnected() && link.current.conn.RemoteAddr() == last })
	if link.dialing != nil {
		t.Error("a second connection is still being established")
	}
	expect(t, engine, "ATTACH 0")
}

// expect reads the next messages that the fake engine has received, and compares them.
func expect(t *testing.T, engine *scenario.Engine, all ...string) {
	t.Helper()
	for _, want := range all {
		if got, ok := engine.Next(10 * time.Second); !ok || got != want {
			t.Fatalf("engine received %q, want %q", got, want)
		}
	}
}
