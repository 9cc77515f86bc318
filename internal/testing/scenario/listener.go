package scenario

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// listenLoopback listens on a port of loopback until the test ends.
func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// acceptLoop calls fn for each connection, on a goroutine of its own, until the listener is closed.
func acceptLoop(ln net.Listener, fn func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go fn(c)
	}
}

// closeListener closes a listener so that further connections are refused. Close alone is not enough: a child
// process that is being started holds a copy of the descriptor until its exec, and connections are queued
// meanwhile.
func closeListener(ln net.Listener) error {
	if sc, ok := ln.(syscall.Conn); ok {
		raw, err := sc.SyscallConn()
		if err != nil {
			return err
		}
		// Control fails only for a closed listener.
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
	return ln.Close()
}

// UnresponsiveServer returns the address of a listener whose accept queue is full: connections to it are neither
// established nor refused.
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
		if err := unix.Connect(socket(), sa); err != nil && !errors.Is(err, unix.EINPROGRESS) {
			t.Fatal(err)
		}
	}
	at := sa.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port))
}

// Serve calls fn for each connection, on a goroutine of its own, until the listener is closed. The connection is
// closed when fn returns.
func Serve(ln net.Listener, fn func(c net.Conn)) {
	acceptLoop(ln, func(c net.Conn) {
		defer c.Close()
		fn(c)
	})
}
