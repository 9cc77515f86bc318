package scenario

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// UnresponsiveServer is the address of a listener whose queue is full, so that a connection to it neither stands
// nor fails.
func UnresponsiveServer(t testing.TB) netip.AddrPort {
	t.Helper()
	socket := func() int {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(fd) })
		return fd
	}
	ln := socket()
	if err := unix.Bind(ln, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(ln, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(ln)
	if err != nil {
		t.Fatal(err)
	}
	for range 8 {
		if err := unix.Connect(socket(), sa); err != nil && err != unix.EINPROGRESS {
			t.Fatal(err)
		}
	}
	at := sa.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port))
}
