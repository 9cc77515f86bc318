package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/netaddr"
)

const (
	// maxAcceptsPerTurn bounds the connections that a listener accepts in one turn of the loop.
	maxAcceptsPerTurn = 64
	// listenBacklog is how many connections may wait in the system's accept queue.
	listenBacklog = 1024
	// acceptPause is how long accepting is paused after the system ran out of a resource, or before
	// the owner of a full listener is asked again to close a connection.
	acceptPause = 50 * time.Millisecond
	// handshakeTime is how long HandOver lets pending handshakes complete before the listener closes.
	handshakeTime = 200 * time.Millisecond
)

// unixSocketMode lets the owner and the group of a unix socket connect.
const unixSocketMode = 0o660

// ListenConfig configures a listener.
type ListenConfig struct {
	// MaxOpen is how many connections may be open at once. Further ones wait in the system's queue.
	MaxOpen int
	// Limits bound the buffers of the connections.
	Limits BufferLimits
	// Accept returns the handler of a new connection.
	Accept func(*Conn) Handler
	// OnFull is called when a connection waits in the queue and cannot be accepted, because MaxOpen
	// connections are open or the system is out of a resource, so that the owner can close an idle
	// connection. It may be nil.
	OnFull func()
}

// Listen accepts connections on an IP address.
func (l *Loop) Listen(addr netip.AddrPort, config ListenConfig) (*Listener, error) {
	return l.ListenAddr(netaddr.Addr{IP: addr}, config)
}

// ListenShared is Listen on an address on which other processes of the same user may listen too
// (SO_REUSEPORT). The system spreads connections over all of them.
func (l *Loop) ListenShared(addr netip.AddrPort, config ListenConfig) (*Listener, error) {
	ln := l.newListener(config)
	ln.shared = true
	return ln.listenOn(netaddr.Addr{IP: addr})
}

// ListenAddr is Listen on an IP address or a unix socket. A socket file on which no process listens
// any more is replaced.
func (l *Loop) ListenAddr(addr netaddr.Addr, config ListenConfig) (*Listener, error) {
	return l.newListener(config).listenOn(addr)
}

func (l *Loop) newListener(config ListenConfig) *Listener {
	return &Listener{
		loop:    l,
		maxOpen: config.MaxOpen,
		limits:  config.Limits,
		accept:  config.Accept,
		onFull:  config.OnFull,
	}
}

// listenOn opens the listener on an address.
func (ln *Listener) listenOn(addr netaddr.Addr) (*Listener, error) {
	if err := ln.open(addr); err != nil {
		return nil, fmt.Errorf("listen %v: %w", addr, err)
	}
	return ln, nil
}

// open creates the listening socket and has epoll watch it.
func (ln *Listener) open(addr netaddr.Addr) error {
	family, sockaddr := socketAddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	ln.fd = fd
	if addr.IsUnix() {
		removeStaleSocket(addr.Path)
	} else {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if ln.shared { // if this fails, bind fails if the address is in use
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	err = ln.bind(addr, sockaddr)
	if err == nil {
		err = ln.loop.watch(fd, unix.EPOLLIN, ln)
	}
	if err != nil {
		_ = unix.Close(fd)
	}
	return err
}

// bind binds the socket to its address and listens on it.
func (ln *Listener) bind(addr netaddr.Addr, sockaddr unix.Sockaddr) error {
	if err := unix.Bind(ln.fd, sockaddr); err != nil {
		return err
	}
	ln.path = addr.Path
	if ln.path != "" {
		if err := unix.Chmod(ln.path, unixSocketMode); err != nil {
			return err
		}
	}
	if err := unix.Listen(ln.fd, listenBacklog); err != nil {
		return err
	}
	if ln.shared {
		// HandOver in a replaced process attached a filter to the address. It would route all
		// connections to this process alone.
		_ = unix.SetsockoptInt(ln.fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0)
	}
	return nil
}

// removeStaleSocket removes the socket file that a killed process left behind. It keeps a socket that
// still accepts connections and a file of another kind, on which bind fails.
func removeStaleSocket(path string) {
	var st unix.Stat_t
	if unix.Lstat(path, &st) != nil || st.Mode&unix.S_IFMT != unix.S_IFSOCK {
		return
	}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	if unix.Connect(fd, &unix.SockaddrUnix{Name: path}) == unix.ECONNREFUSED {
		_ = unix.Unlink(path)
	}
	_ = unix.Close(fd)
}
