package engine

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// The connection to the first new address is given up, and the link attaches at the second one with all
// open runs.
func TestEngineMovesTwiceWhileDialing(t *testing.T) {
	s, stand := scenario.NewSteppedLoop(t), scenario.NewEngine(t)
	k := New(
		s.Loop,
		netip.MustParseAddrPort(stand.Listener.Addr().String()),
		func([]float64) lifecycle.Gauges { return lifecycle.UnknownGauges() },
	)
	k.Start(&endings{loop: s.Loop})
	s.Until(k.IsConnected)
	k.Run(attempt(s.Loop, "1"))
	s.Advance(0)
	expect(t, stand, "ATTACH 0", "RUN 1 check")
	k.SetAddress(scenario.UnresponsiveServer(t))
	s.Advance(0)
	if !k.IsConnected() || k.dialing == nil {
		t.Fatal("the link that stands is given up before the new one stands")
	}
	last := netip.MustParseAddrPort(stand.NewAddress(t))
	k.SetAddress(last)
	s.Until(func() bool { return k.IsConnected() && k.current.conn.RemoteAddr() == last })
	if k.dialing != nil {
		t.Error("a second link is still being opened")
	}
	expect(t, stand, "ATTACH 0")
}

// expect takes what the engine sees next.
func expect(t *testing.T, stand *scenario.Engine, all ...string) {
	t.Helper()
	for _, want := range all {
		if got, ok := stand.Next(10 * time.Second); !ok || got != want {
			t.Fatalf("the engine saw %q, want %q", got, want)
		}
	}
}
