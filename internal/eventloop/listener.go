package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/netaddr"
)

// Listener accepts connections, with a limit on how many may be open at once. It owns the listening
// socket.
type Listener struct {
	loop      *Loop
	fd        int // below 0: closed
	maxOpen   int
	openConns int
	limits    BufferLimits
	path      string // of the socket file, which is removed on closing; empty for an IP address
	accept    func(*Conn) Handler
	onFull    func()
	paused    bool // epoll does not report waiting connections
	shared    bool // other processes may listen on the address too
	draining  bool // the listener closes when the queue is empty
}

// LocalAddr returns the address that the listener listens on.
func (ln *Listener) LocalAddr() netaddr.Addr {
	if ln.path != "" {
		return netaddr.Addr{Path: ln.path}
	}
	return netaddr.Addr{IP: ln.Addr()}
}

// Addr returns the IP address that the listener listens on, or the zero value for a unix socket.
func (ln *Listener) Addr() netip.AddrPort {
	sockaddr, _ := unix.Getsockname(ln.fd) // fails only after the listener was closed
	return addrPort(sockaddr)
}

func (ln *Listener) ready(uint32) { ln.acceptUpTo(maxAcceptsPerTurn) }

// acceptUpTo accepts connections from the queue, at most limit and no more than may be open.
func (ln *Listener) acceptUpTo(limit int) {
	for accepted := range limit {
		if ln.fd < 0 {
			return
		}
		if ln.openConns >= ln.maxOpen {
			if accepted > 0 && !ln.draining && !ln.hasQueued() { // full, but no connection waits
				return
			}
			ln.pauseFull()
			return
		}
		if !ln.acceptOne() {
			return
		}
	}
}

// acceptOne accepts a connection from the queue, and reports whether to try to accept another one.
func (ln *Listener) acceptOne() bool {
	fd, from, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		ln.register(fd, from)
	case unix.EAGAIN:
		if ln.draining {
			ln.release()
		}
		return false
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		// Epoll keeps reporting the queue: without a pause the loop would spin on an accept that
		// cannot succeed.
		ln.pause()
		if ln.onFull != nil {
			ln.onFull()
		}
		ln.loop.After(acceptPause, ln.resume)
		return false
	default: // the connection broke while it was queued
	}
	return true
}

// pauseFull pauses accepting until fewer than maxOpen connections are open, and asks the owner to
// close one.
func (ln *Listener) pauseFull() {
	ln.pause()
	if ln.onFull == nil {
		return
	}
	ln.onFull()
	// The owner may have had no idle connection to close yet, and perhaps none closes by itself.
	ln.loop.After(acceptPause, ln.retryWhenFull)
}

// hasQueued reports whether a connection waits in the queue.
func (ln *Listener) hasQueued() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, _ := unix.Poll(fds, 0) // if it fails, the next turn finds the connection
	return n > 0
}

// register creates the connection for an accepted descriptor.
func (ln *Listener) register(fd int, from unix.Sockaddr) {
	if ln.path == "" {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	c, err := newConn(ln.loop, fd, ln.limits)
	if err != nil {
		return
	}
	ln.openConns++
	c.onReleased = func() {
		ln.openConns--
		ln.resume()
	}
	c.remote = addrPort(from)
	c.handler = ln.accept(c)
}

// MaxOpen returns how many connections may be open at once.
func (ln *Listener) MaxOpen() int { return ln.maxOpen }

// SetMaxOpen changes how many connections may be open at once. It closes none that are open.
func (ln *Listener) SetMaxOpen(maxOpen int) {
	ln.maxOpen = maxOpen
	ln.resume()
}

// IsOverLimit reports whether more connections are open than SetMaxOpen allows.
func (ln *Listener) IsOverLimit() bool { return ln.openConns > ln.maxOpen }

// SetLimits changes the buffer limits of connections that are accepted from now on.
func (ln *Listener) SetLimits(limits BufferLimits) { ln.limits = limits }

// retryWhenFull watches the queue again, so that the owner is asked again to close a connection.
func (ln *Listener) retryWhenFull() {
	if ln.paused && ln.fd >= 0 {
		ln.paused = false
		ln.loop.rewatch(ln.fd, unix.EPOLLIN)
	}
}

// pause stops watching the queue.
func (ln *Listener) pause() {
	if !ln.paused {
		ln.paused = true
		ln.loop.rewatch(ln.fd, 0)
	}
}

// resume watches the queue again, unless the limit of open connections is reached.
func (ln *Listener) resume() {
	if !ln.paused || ln.fd < 0 || ln.openConns >= ln.maxOpen {
		return
	}
	ln.paused = false
	ln.loop.rewatch(ln.fd, unix.EPOLLIN)
	if ln.draining { // it closes when the queue is empty, which epoll does not report
		ln.acceptUpTo(listenBacklog)
	}
}

// HandOver makes the system route new connections to the process that began to listen on the address
// after this one. It closes the listener after the pending handshakes had time to complete, since
// closing it at once would reset them. If the system cannot reroute connections, the listener closes
// at once.
func (ln *Listener) HandOver() {
	if ln.fd < 0 {
		return
	}
	// The system lists the listeners of an address in the order in which they were opened: this one
	// is the first of two.
	toSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	prog := unix.SockFprog{Len: uint16(len(toSecond)), Filter: &toSecond[0]}
	if !ln.shared ||
		unix.SetsockoptSockFprog(ln.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog) != nil {
		ln.Close()
		return
	}
	ln.loop.After(handshakeTime, ln.Close)
}

// IsListening reports whether the listener is open.
func (ln *Listener) IsListening() bool { return ln.fd >= 0 }

// CloseWhenAccepted closes the listener once all connections in the queue are accepted, at the
// latest after within. Closing it earlier would reset the connections in the queue, which are
// already established for their peers. Usually they are accepted at once. If the limit of open
// connections is reached, they wait until others close.
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

// Close accepts the connections in the queue, up to the limit of open connections, and closes the
// listener.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.draining = true
	ln.acceptUpTo(listenBacklog)
	ln.release()
}

// release closes the listening socket and removes its file. No other function closes it.
func (ln *Listener) release() {
	if ln.fd < 0 {
		return
	}
	if ln.path != "" {
		_ = unix.Unlink(ln.path)
	}
	ln.loop.release(ln.fd)
	ln.fd = -1
}
