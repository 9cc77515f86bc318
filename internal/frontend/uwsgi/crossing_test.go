package uwsgi_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	front "ryepaddle/internal/frontend/uwsgi"
	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/testing/scenario"
)

// newFrontend returns a frontend that listens on a loop that the test steps. The tests send it only
// health checks, which need no lifecycle.Manager.
func newFrontend(t *testing.T, connections int) (*scenario.SteppedLoop, *front.Frontend) {
	t.Helper()
	s := scenario.NewSteppedLoop(t)
	f := front.New(
		s.Loop,
		front.Options{Listen: netaddr.Addr{
			IP: netip.MustParseAddrPort("127.0.0.1:0"),
		}, MaxConnections: connections,
			MaxVariablesBytes: 4 << 10, HealthPath: "/alive", ReadTimeout: time.Minute},
	)
	if err := f.Listen(nil); err != nil {
		t.Fatal(err)
	}
	return s, f
}

// healthCheck returns the packet of a health check.
func healthCheck(t *testing.T) string {
	t.Helper()
	packet, err := uwsgi.Append(
		nil,
		&uwsgi.Request{
			Variables: []uwsgi.Variable{
				{Name: "REQUEST_METHOD", Value: "GET"},
				{Name: "PATH_INFO", Value: "/alive"},
			},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	return string(packet)
}

// expectOK reads a connection until its peer closes it, and expects an answer with status 200.
func expectOK(t *testing.T, s *scenario.SteppedLoop, c net.Conn) {
	t.Helper()
	if end := s.AwaitEnd(scenario.ReadToEnd(c)); end.Err != nil || !strings.Contains(end.Text, " 200 ") {
		t.Fatalf("answer = %q, read error = %v; want status 200 and no error", end.Text, end.Err)
	}
}

// Connections in the listener's queue at the start of a drain look established to their callers, so
// a request on one of them must be read and answered, also if it arrives a little later.
func TestQueuedRequestIsServedDuringADrain(t *testing.T) {
	s, f := newFrontend(t, 8)
	queued := s.DialAddr(f.Addr().String(), healthCheck(t))
	silent := s.DialAddr(f.Addr().String(), "")
	f.Drain()
	expectOK(t, s, queued)
	s.Send(silent, healthCheck(t))
	s.AwaitAndAdvance(0)
	expectOK(t, s, silent)
	s.Advance(time.Second)
	if s.Advance(time.Second); f.Connections() != 0 {
		t.Fatalf("open connections = %d after a drain, want 0", f.Connections())
	}
}

// Connections that have sent nothing are closed to make room for others, but not a connection on which
// a request has just arrived.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s, f := newFrontend(t, 2)
	var idle []*net.TCPConn
	for n := 1; n <= 2; n++ {
		idle = append(idle, s.DialAddr(f.Addr().String(), ""))
		s.Until(func() bool { return f.Connections() == n })
		s.Advance(time.Second)
	}
	late := s.DialAddr(f.Addr().String(), healthCheck(t))
	s.Send(idle[0], healthCheck(t)) // the connection that has been silent for longest
	s.AwaitAndAdvance(0)
	expectOK(t, s, idle[0])
	expectOK(t, s, late)
}
