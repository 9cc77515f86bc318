package app

import (
	"net/netip"
	"testing"
	"time"

	"shalesail/internal/config"
	"shalesail/internal/fastcgi"
	"shalesail/internal/scenario"
)

// A HUP that allows a longer stop does not lengthen a drain that has begun: the process is killed at the time of the notice.
func TestStopChangesDuringADrain(t *testing.T) {
	s := scenario.NewStepped(t)
	cfg, err := config.ReadPlatform("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Engine, cfg.Backend, cfg.Roster, cfg.Ops = netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Stop = time.Second.Microseconds()
	t.Setenv("TMPDIR", "")
	r, err := New(s.Loop, cfg, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	half := fastcgi.AppendBegin(nil, 1, fastcgi.Begin{Role: fastcgi.Responder, Keep: true})
	s.DialAddr(r.front.Addr().String(), string(half)) // its rest may come for 2 s
	s.Until(func() bool { return r.front.Conns() == 1 })
	r.drain()
	longer := *cfg
	longer.Stop = time.Minute.Microseconds()
	if err := r.take(&longer, nil); err != nil {
		t.Fatal(err)
	}
	began := r.loop.Now()
	for !s.IsStopped() && r.loop.Now()-began < 2*cfg.Stop {
		s.Pass(drainLook * time.Microsecond)
	}
	if took := r.loop.Now() - began; took >= cfg.Stop {
		t.Errorf("it ends %d us after the notice, and is killed after %d", took, cfg.Stop)
	}
}
