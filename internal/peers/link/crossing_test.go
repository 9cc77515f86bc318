package link

import (
	"testing"
	"time"

	"ryepaddle/internal/testing/scenario"
)

// A connection that does not stand in time is given up, so that a peer whose machine is back is
// reached by the next message and not as late as the system tries again. What stands late is
// nobody's.
func TestLinkThatDoesNotStand(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	n, err := Open(
		s.Loop,
		Config{
			Installation: "i",
			Name:         "n1",
			Listen:       any4,
			Peers:        []Peer{{Name: "n2", Addr: scenario.UnresponsiveServer(t)}},
		},
		func(string, *Frame) {},
	)
	if err != nil {
		t.Fatal(err)
	}
	n.Send("n2", frame())
	first := n.outbound["n2"].conn
	s.Pass(0)
	if s.Pass(connectTimeout - time.Microsecond); n.outbound["n2"].conn != first {
		t.Fatal("it was given up before its time")
	}
	if s.Pass(time.Microsecond); n.Connections() != 0 || !first.IsClosed() {
		t.Fatalf("%d links, the first closed %v", n.Connections(), first.IsClosed())
	}
	n.Send("n2", frame())
	if n.Connections() != 1 {
		t.Error("the next message opens no other")
	}
}
