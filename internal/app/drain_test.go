package app

import (
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/config"
	"ryepaddle/internal/protocol/fastcgi"
	"ryepaddle/internal/testing/scenario"
)

// alone is the program on a loop that the test steps, with its platform's front and nothing else,
// changed before it starts.
func alone(t *testing.T, s *scenario.SteppedLoop, change func(*config.Platform)) *Program {
	t.Helper()
	cfg, err := config.ReadPlatform("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Engine, cfg.Backend, cfg.Registry, cfg.Admin = netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	change(cfg)
	t.Setenv("TMPDIR", "")
	p, err := New(s.Loop, cfg, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// half is a request of which the rest does not come.
func half(id uint16) string {
	return string(
		fastcgi.AppendBegin(nil, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, KeepConnection: true}),
	)
}

// whole is a request that runs until its deadline, as there is no engine.
func whole(s *scenario.SteppedLoop, id uint16) string {
	params := []byte{}
	for _, p := range [][2]string{{
		"REQUEST_METHOD",
		"POST",
	}, {"SCRIPT_NAME", "/ops/quick-check"}, {"HTTP_X_CALL_ID", fmt.Sprintf("%016x", id)},
		{"HTTP_X_SOURCE", "1"},
		{"HTTP_X_CUSTOMER", "north"},
		{"HTTP_X_HEAP_KB", "20"},
		{"HTTP_X_IMPORTANCE", "0.5"},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(int64(s.Unix())/1000, 10)}} {
		params = fastcgi.AppendPair(params, p[0], p[1])
	}
	b := fastcgi.Append([]byte(half(id)), fastcgi.Params, id, params)
	b = fastcgi.Append(b, fastcgi.Params, id, nil)
	return string(fastcgi.Append(b, fastcgi.Stdin, id, nil))
}

// passUntil lets time pass until the loop has stopped, or for so long.
func passUntil(s *scenario.SteppedLoop, most time.Duration) {
	for end := s.Now().Microseconds() + most.Microseconds(); !s.IsStopped() && s.Now().Microseconds() < end; {
		s.Pass(drainPollInterval)
	}
}

// A replaced process ends at its time while a request comes in parts on one of its connections: its
// own side is shut in order before the exit, so that what comes then does not take along what was
// answered there.
func TestConnectionsAreShutAsAReplacedProcessEnds(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	p := alone(t, s, func(cfg *config.Platform) {
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Timeout = time.Minute
		}
	})
	balancer := s.DialAddr(p.platform.frontend.Addr().String(), whole(s, 1))
	s.Until(func() bool { return p.requests.OpenRequests() == 1 })
	p.retire()
	most := retirementTime(p.config)
	passUntil(s, most-time.Second)
	s.Send(balancer, half(2)) // as the first is answered, the next has begun
	passUntil(s, most)
	if !s.IsStopped() || p.platform.frontend.Connections() != 1 {
		t.Fatalf("stopped %v, with %d connections", s.IsStopped(), p.platform.frontend.Connections())
	}
	if err := balancer.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(balancer); err != nil {
		t.Errorf("as the process ends its side is open still: %v", err)
	}
}

// A HUP that allows a longer stop does not lengthen a drain that has begun: the process is killed
// at the time of the notice.
func TestStopChangesDuringADrain(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	const stop = time.Second
	p := alone(t, s, func(cfg *config.Platform) { cfg.StopTimeout = stop.Microseconds() })
	s.DialAddr(p.platform.frontend.Addr().String(), half(1)) // its rest may come for 2 s
	s.Until(func() bool { return p.platform.frontend.Connections() == 1 })
	p.drain()
	longer := *p.config
	longer.StopTimeout = time.Minute.Microseconds()
	if err := p.apply(&longer, nil); err != nil {
		t.Fatal(err)
	}
	began := p.loop.Now().Microseconds()
	passUntil(s, 2*stop)
	if took := time.Duration(p.loop.Now().Microseconds()-began) * time.Microsecond; took >= stop {
		t.Errorf("it ends %v after the notice, and is killed after %v", took, stop)
	}
}
