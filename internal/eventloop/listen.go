package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/netaddr"
)

const (
	maxAcceptsPerTurn = 64
	listenBacklog     = 1024                  // connections that wait in the system's queue
	acceptPause       = 50 * time.Millisecond // after the system ran out of something that an accept needs
	handshakeTime     = 200 * time.Millisecond
)

// Listener accepts connections, up to a number that may be open at once.
type Listener struct {
	loop     *Loop
	fd       int
	maxOpen  int
	open     int
	limits   BufferLimits
	path     string // of a unix socket, which goes with it; empty: it is none
	accept   func(*Conn) Handler
	paused   bool
	onFull   func()
	shared   bool // with other processes
	draining bool // it closes as soon as nobody waits in the queue
}

// Listen accepts connections on addr. Accept names the handler of each. At most `most` are open at
// once; the others wait in the system's queue, and full is called so that an idle connection can
// make room.
func (l *Loop) Listen(
	addr netip.AddrPort,
	most int,
	limits BufferLimits,
	accept func(*Conn) Handler,
	full func(),
) (*Listener, error) {
	return l.ListenAddr(netaddr.Addr{IP: addr}, most, limits, accept, full)
}

// ListenShared is Listen on an address on which other processes of the same user listen as well.
// The system spreads connections over all of them.
func (l *Loop) ListenShared(
	addr netip.AddrPort,
	most int,
	limits BufferLimits,
	accept func(*Conn) Handler,
	full func(),
) (*Listener, error) {
	return l.listen(netaddr.Addr{IP: addr}, true, most, limits, accept, full)
}

// unixSocketMode lets the owner and the group of a unix socket connect.
const unixSocketMode = 0o660

// ListenAddr is Listen on any kind of address. The file of a unix socket that nobody listens on any
// more is replaced.
func (l *Loop) ListenAddr(
	addr netaddr.Addr,
	most int,
	limits BufferLimits,
	accept func(*Conn) Handler,
	full func(),
) (*Listener, error) {
	return l.listen(addr, false, most, limits, accept, full)
}

func (l *Loop) listen(
	addr netaddr.Addr,
	shared bool,
	most int,
	limits BufferLimits,
	accept func(*Conn) Handler,
	full func(),
) (*Listener, error) {
	fam, sa := socketAddr(addr)
	fd, err := unix.Socket(fam, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listen %v: %w", addr, err)
	}
	ln := &Listener{loop: l, fd: fd, maxOpen: most, limits: limits, accept: accept, onFull: full, shared: shared}
	if addr.IsUnix() {
		removeStaleSocket(addr.Path)
	} else {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if shared { // where that fails, bind does if the address is taken
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err = unix.Bind(fd, sa); err == nil {
		if ln.path = addr.Path; ln.path != "" {
			err = unix.Chmod(ln.path, unixSocketMode)
		}
	}
	if err == nil {
		err = unix.Listen(fd, listenBacklog)
	}
	// what the one before it left behind would lead all connections here, and none to those that go
	// on
	if err == nil && shared {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0)
	}
	if err == nil {
		err = l.watch(fd, unix.EPOLLIN, ln)
	}
	if err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("listen %v: %w", addr, err)
	}
	return ln, nil
}

// removeStaleSocket removes the file of a socket that a process left behind which was killed. One that
// still takes connections, and a file that is no socket, stay, and bind fails on them.
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

// LocalAddr is the address it listens on, of any kind.
func (ln *Listener) LocalAddr() netaddr.Addr {
	if ln.path != "" {
		return netaddr.Addr{Path: ln.path}
	}
	return netaddr.Addr{IP: ln.Addr()}
}

// Addr is the IP address it listens on.
func (ln *Listener) Addr() netip.AddrPort {
	sa, _ := unix.Getsockname(ln.fd)
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	return netip.AddrPort{}
}

func (ln *Listener) ready(uint32) { ln.acceptUpTo(maxAcceptsPerTurn) }

// acceptUpTo takes in so many of those that wait in the queue, as far as there is room.
func (ln *Listener) acceptUpTo(most int) {
	for taken := range most {
		if ln.fd < 0 {
			return
		}
		if ln.open >= ln.maxOpen {
			if taken > 0 && !ln.draining && !ln.hasQueued() { // nobody needs room yet
				return
			}
			ln.pause()
			if ln.onFull != nil {
				ln.onFull()
				// Nobody may have had to make room now, and nothing else may come to an end by
				// itself.
				ln.loop.After(acceptPause, ln.retryWhenFull)
			}
			return
		}
		fd, from, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			ln.register(fd, from)
		case unix.EAGAIN:
			if ln.draining {
				ln.release()
			}
			return
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			// The queue stays readable: without a rest the loop would spin on an accept that cannot
			// succeed.
			ln.pause()
			if ln.onFull != nil {
				ln.onFull()
			}
			ln.loop.After(acceptPause, ln.resume)
			return
		default: // a connection that broke in the queue
		}
	}
}

// hasQueued tells whether somebody waits in the queue.
func (ln *Listener) hasQueued() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, _ := unix.Poll(fds, 0) // where it fails, whoever waits is noticed in the next turn
	return n > 0
}

func (ln *Listener) register(fd int, from unix.Sockaddr) {
	if ln.path == "" {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	c, err := newConn(ln.loop, fd, ln.limits, false)
	if err != nil {
		return
	}
	ln.open++
	c.onReleased = func() {
		ln.open--
		ln.resume()
	}
	switch sa := from.(type) {
	case *unix.SockaddrInet4:
		c.remote = netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		c.remote = netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	c.handler = ln.accept(c)
}

// MaxOpen is how many connections may be open at once.
func (ln *Listener) MaxOpen() int { return ln.maxOpen }

// SetMaxOpen says how many connections may be open at once from now on. Those that are open stay.
func (ln *Listener) SetMaxOpen(most int) {
	ln.maxOpen = most
	ln.resume()
}

// IsOverLimit tells whether more connections are open than may be since SetMaxOpen.
func (ln *Listener) IsOverLimit() bool { return ln.open > ln.maxOpen }

// SetLimits bounds the buffers of connections that are accepted from now on.
func (ln *Listener) SetLimits(limits BufferLimits) { ln.limits = limits }

// retryWhenFull asks for room again while others wait for their places.
func (ln *Listener) retryWhenFull() {
	if ln.paused && ln.fd >= 0 {
		ln.paused = false
		ln.loop.rewatch(ln.fd, unix.EPOLLIN)
	}
}

func (ln *Listener) pause() {
	if !ln.paused {
		ln.paused = true
		ln.loop.rewatch(ln.fd, 0)
	}
}

func (ln *Listener) resume() {
	if !ln.paused || ln.fd < 0 || ln.open >= ln.maxOpen {
		return
	}
	ln.paused = false
	ln.loop.rewatch(ln.fd, unix.EPOLLIN)
	if ln.draining { // an empty queue tells nothing by itself
		ln.acceptUpTo(listenBacklog)
	}
}

// HandOver has the system lead what connects from now on to the process that began to listen after
// this one, and closes the listener once the handshakes are over that it was led before: a listener
// that is closed resets them. Where the system does not do so it is closed at once.
func (ln *Listener) HandOver() {
	if ln.fd < 0 {
		return
	}
	// The system keeps the listeners of an address in the order in which they came: this one is the
	// first of two.
	toSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	prog := unix.SockFprog{Len: uint16(len(toSecond)), Filter: &toSecond[0]}
	if !ln.shared ||
		unix.SetsockoptSockFprog(ln.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog) != nil {
		ln.Close()
		return
	}
	ln.loop.After(handshakeTime, ln.Close)
}

// IsListening tells whether it still takes connections.
func (ln *Listener) IsListening() bool { return ln.fd >= 0 }

// CloseWhenAccepted stops listening once all that wait in the queue are taken in, or after so long:
// they were accepted in their peers' eyes, and closing the listener would reset them. Usually that
// is now; where as many connections are open as may be, those in the queue wait for their places.
func (ln *Listener) CloseWhenAccepted(within time.Duration) {
	if ln.fd < 0 || ln.draining {
		return
	}
	ln.draining = true
	ln.acceptUpTo(listenBacklog)
	if ln.fd >= 0 {
		ln.loop.After(within, ln.Close)
	}
}

// Close takes in what waits in the queue as far as there is room, and stops listening.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.draining = true
	ln.acceptUpTo(listenBacklog)
	ln.release()
}

// release is the one place where the listening socket is given back.
func (ln *Listener) release() {
	if ln.fd < 0 {
		return
	}
	if ln.path != "" {
		_ = unix.Unlink(ln.path) // or callers would be refused by a name that nobody answers
	}
	ln.loop.release(ln.fd)
	ln.fd = -1
}

// Datagram is a socket that sends to one address and hears nothing.
type Datagram struct{ fd int }

// Datagram makes a socket for datagrams to addr.
func (l *Loop) Datagram(addr netip.AddrPort) (*Datagram, error) {
	fd, err := unix.Socket(family(addr), unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	if err := unix.Connect(fd, sockaddr(addr)); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("datagram to %v: %w", addr, err)
	}
	return &Datagram{fd}, nil
}

// Send sends one datagram. An error is the network's answer to an earlier one as often as not.
func (d *Datagram) Send(b []byte) error {
	_, err := unix.Write(d.fd, b)
	return err
}

// Close gives the socket back.
func (d *Datagram) Close() { _ = unix.Close(d.fd) }
