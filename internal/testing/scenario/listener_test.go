package scenario

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A connection to a closed server must be refused. A child process that was being started held a copy
// of the listening descriptor, which kept the port open, and the connection was reset instead.
func TestClosedServersRefuse(t *testing.T) {
	s := NewServer(t)
	held, err := s.Listener.(*net.TCPListener).File() // the copy of a child process that is being started
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", s.Listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("Dial() after Close = %v, %v, want ECONNREFUSED", c, err)
	}
}
