package scenario

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A scenario that closes a server expects the next connection to be refused. While another test
// started a program, that program's copy of the descriptor kept the port open, and the connection
// was reset instead.
func TestClosedServersRefuse(t *testing.T) {
	s := NewServer(t)
	held, err := s.Listener.(*net.TCPListener).File() // as a child that is being started holds it
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", s.Listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connection %v, error %v, want it refused", c, err)
	}
}
