package link

import (
	"testing"
	"time"

	"ryepaddle/internal/testing/scenario"
)

// A connection that is not established in time is closed, so that a peer whose machine is back is
// reached by the next message and not as late as the system tries again.
func TestConnectionThatIsNotEstablishedInTimeIsClosed(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	n, err := Open(
		s.Loop,
		Config{
			Installation: "i",
			Name:         "n1",
			Listen:       anyPort,
			Peers:        []Peer{{Name: "n2", Addr: scenario.UnresponsiveServer(t)}},
		},
		func(string, *Frame) {},
	)
	if err != nil {
		t.Fatal(err)
	}
	n.Send("n2", sampleFrame())
	first := n.outbound["n2"].conn
	s.Advance(0)
	if s.Advance(connectTimeout - time.Microsecond); n.outbound["n2"].conn != first {
		t.Fatal("it was closed before its time")
	}
	if s.Advance(time.Microsecond); n.Connections() != 0 || !first.IsClosed() {
		t.Fatalf("%d connections, the first closed %v", n.Connections(), first.IsClosed())
	}
	n.Send("n2", sampleFrame())
	if n.Connections() != 1 {
		t.Error("the next message opens no other one")
	}
}
