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

// newFront listens on a loop that the test steps. It is asked for its health alone, which needs no
// core.
func newFront(t *testing.T, connections int) (*scenario.SteppedLoop, *front.Frontend) {
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

// health is a whole request.
func health(t *testing.T) string {
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

func expectGood(t *testing.T, s *scenario.SteppedLoop, c net.Conn) {
	t.Helper()
	if end := s.AwaitEnd(scenario.ReadToEnd(c)); end.Err != nil || !strings.Contains(end.Text, " 200 ") {
		t.Fatalf("got %q, %v", end.Text, end.Err)
	}
}

// What waits in the queue as the front leaves has been accepted in its caller's eyes, and its
// request is read and answered; one that comes a little later as well.
func TestQueuedRequestIsServedDuringADrain(t *testing.T) {
	s, f := newFront(t, 8)
	asked := s.DialAddr(f.Addr().String(), health(t))
	silent := s.DialAddr(f.Addr().String(), "")
	f.Drain()
	expectGood(t, s, asked)
	s.Send(silent, health(t))
	s.AwaitAndPass(0)
	expectGood(t, s, silent)
	s.Advance(time.Second)
	if s.Advance(time.Second); f.Connections() != 0 {
		t.Fatalf("%d connections stay open", f.Connections())
	}
}

// Silent connections make room for others, but not one whose request has just come.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s, f := newFront(t, 2)
	var rest []*net.TCPConn
	for n := 1; n <= 2; n++ {
		rest = append(rest, s.DialAddr(f.Addr().String(), ""))
		s.Until(func() bool { return f.Connections() == n })
		s.Advance(time.Second)
	}
	late := s.DialAddr(f.Addr().String(), health(t))
	s.Send(rest[0], health(t)) // it has been silent for longest
	s.AwaitAndPass(0)
	expectGood(t, s, rest[0])
	expectGood(t, s, late)
}
