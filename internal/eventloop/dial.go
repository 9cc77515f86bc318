package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/netaddr"
)

// ConnectionRefusedError reports that a connection was refused, or could not be attempted because no
// descriptor was available. Either proves that nothing was sent on it.
type ConnectionRefusedError struct{ Err error }

func (e *ConnectionRefusedError) Error() string { return "connect refused: " + e.Err.Error() }

// Unwrap returns the system's error.
func (e *ConnectionRefusedError) Unwrap() error { return e.Err }

// Dial opens a connection to addr. The handler is called with the outcome after Dial has returned.
func (l *Loop) Dial(addr netip.AddrPort, limits BufferLimits, h Handler) *Conn {
	return l.DialAddr(netaddr.Addr{IP: addr}, limits, h)
}

// DialAddr is Dial for an IP address or a unix socket.
func (l *Loop) DialAddr(addr netaddr.Addr, limits BufferLimits, h Handler) *Conn {
	fd, err := startConnect(addr)
	if err != nil {
		return l.failedConn(h, err)
	}
	c, err := newConnecting(l, fd, limits)
	if err != nil {
		return l.failedConn(h, &ConnectionRefusedError{err})
	}
	c.handler = h
	c.remote = addr.IP
	c.dialled = true
	return c
}

// startConnect returns a non-blocking socket with a connect in progress or complete.
func startConnect(addr netaddr.Addr) (fd int, err error) {
	family, sockaddr := socketAddr(addr)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, &ConnectionRefusedError{err}
	}
	if !addr.IsUnix() {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	err = unix.Connect(fd, sockaddr)
	if err == nil || err == unix.EINPROGRESS {
		return fd, nil
	}
	_ = unix.Close(fd)
	if addr.IsUnix() { // connects at once or not at all: any error proves that no peer accepted it
		return -1, &ConnectionRefusedError{err}
	}
	return -1, connectError(err)
}

// failedConn returns a connection that never had a descriptor. Its handler is called as for any
// other connection that closes.
func (l *Loop) failedConn(h Handler, err error) *Conn {
	l.Post(func() { h.Closed(err) })
	return &Conn{loop: l, fd: -1, handler: h, closed: true}
}

// connectError wraps an error of a TCP connect. It returns a ConnectionRefusedError only for
// ECONNREFUSED, the one error that proves that no peer accepted the connection.
func connectError(err error) error {
	if errors.Is(err, unix.ECONNREFUSED) {
		return &ConnectionRefusedError{err}
	}
	return fmt.Errorf("connect: %w", err)
}

// socketAddr returns the address family and the address in the form of the system calls.
func socketAddr(a netaddr.Addr) (family int, sockaddr unix.Sockaddr) {
	if a.IsUnix() {
		return unix.AF_UNIX, &unix.SockaddrUnix{Name: a.Path}
	}
	return ipFamily(a.IP), ipSockaddr(a.IP)
}

func ipFamily(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func ipSockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// addrPort returns the IP address and port of a socket address, or the zero value for other families.
func addrPort(sockaddr unix.Sockaddr) netip.AddrPort {
	switch sa := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	return netip.AddrPort{}
}
