package link

import (
	"testing"
	"time"

	"ryepaddle/internal/testing/scenario"
)

// A connection that is not established within connectTimeout is closed, and the next message opens a new
// one. Otherwise a peer whose machine is back is only reached when the operating system retries.
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
		t.Fatal("connection was closed before connectTimeout")
	}
	if s.Advance(time.Microsecond); n.Connections() != 0 || !first.IsClosed() {
		t.Fatalf("connections = %d, want 0; first is closed = %v, want true", n.Connections(), first.IsClosed())
	}
	n.Send("n2", sampleFrame())
	if n.Connections() != 1 {
		t.Error("the next message did not open a new connection")
	}
}
