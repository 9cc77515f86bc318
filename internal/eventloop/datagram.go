package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Datagram is a socket that sends datagrams to one address and receives none.
type Datagram struct{ fd int }

// Datagram opens a non-blocking socket for datagrams to addr.
func (l *Loop) Datagram(addr netip.AddrPort) (*Datagram, error) {
	fd, err := unix.Socket(ipFamily(addr), unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	if err := unix.Connect(fd, ipSockaddr(addr)); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("datagram to %v: %w", addr, err)
	}
	return &Datagram{fd}, nil
}

// Send sends one datagram. The error may concern an earlier datagram, which the network rejected.
func (d *Datagram) Send(b []byte) error {
	_, err := unix.Write(d.fd, b)
	return err
}

// Close closes the socket.
func (d *Datagram) Close() { _ = unix.Close(d.fd) }
