package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/netaddr"
)

// Listener accepts connections, up to a number that may be open at once. It owns the listening
// socket.
type Listener struct {
	loop      *Loop
	fd        int // below 0: closed
	maxOpen   int
	openConns int
	limits    BufferLimits
	path      string // of a unix socket, whose file is removed with it; empty for an IP address
	accept    func(*Conn) Handler
	onFull    func()
	paused    bool // epoll does not watch the queue
	shared    bool // other processes may listen on the address too
	draining  bool // it closes when the queue is empty
}

// LocalAddr returns the address it listens on.
func (ln *Listener) LocalAddr() netaddr.Addr {
	if ln.path != "" {
		return netaddr.Addr{Path: ln.path}
	}
	return netaddr.Addr{IP: ln.Addr()}
}

// Addr returns the IP address it listens on; the zero value for a unix socket.
func (ln *Listener) Addr() netip.AddrPort {
	sockaddr, _ := unix.Getsockname(ln.fd) // fails only once closed
	return addrPort(sockaddr)
}

func (ln *Listener) ready(uint32) { ln.acceptUpTo(maxAcceptsPerTurn) }

// acceptUpTo accepts at most limit connections from the queue, as far as there is room.
func (ln *Listener) acceptUpTo(limit int) {
	for accepted := range limit {
		if ln.fd < 0 {
			return
		}
		if ln.openConns >= ln.maxOpen {
			if accepted > 0 && !ln.draining && !ln.hasQueued() { // no connection needs room yet
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

// acceptOne accepts a connection from the queue, and reports whether to try for another one.
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
		// The queue stays readable: without a pause the loop would spin on an accept that cannot
		// succeed.
		ln.pause()
		if ln.onFull != nil {
			ln.onFull()
		}
		ln.loop.After(acceptPause, ln.resume)
		return false
	default: // the connection broke in the queue
	}
	return true
}

// pauseFull pauses accepting until there is room, and asks the owner to make some.
func (ln *Listener) pauseFull() {
	ln.pause()
	if ln.onFull == nil {
		return
	}
	ln.onFull()
	// The owner may have had no idle connection to close, and no open one may end by itself.
	ln.loop.After(acceptPause, ln.retryWhenFull)
}

// hasQueued reports whether a connection waits in the queue.
func (ln *Listener) hasQueued() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, _ := unix.Poll(fds, 0) // if it fails, the next turn finds the connection
	return n > 0
}

// register makes a connection of an accepted descriptor.
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

// SetMaxOpen changes how many connections may be open at once. Those that are open stay.
func (ln *Listener) SetMaxOpen(maxOpen int) {
	ln.maxOpen = maxOpen
	ln.resume()
}

// IsOverLimit reports whether more connections are open than SetMaxOpen allows.
func (ln *Listener) IsOverLimit() bool { return ln.openConns > ln.maxOpen }

// SetLimits changes the buffer limits of connections that are accepted from now on.
func (ln *Listener) SetLimits(limits BufferLimits) { ln.limits = limits }

// retryWhenFull watches the queue again, so that the owner is asked for room once more.
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
	if !ln.paused || ln.fd < 0 || ln.openConns >= ln.maxOpen {
		return
	}
	ln.paused = false
	ln.loop.rewatch(ln.fd, unix.EPOLLIN)
	if ln.draining { // epoll does not report an empty queue
		ln.acceptUpTo(listenBacklog)
	}
}

// HandOver makes the system route new connections to the process that began to listen after this
// one, and closes the listener once the handshakes that were routed to it are over: closing it at
// once would reset them. If the system cannot do so, the listener closes at once.
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

// IsListening reports whether it still accepts connections.
func (ln *Listener) IsListening() bool { return ln.fd >= 0 }

// CloseWhenAccepted closes the listener once all connections in the queue are accepted, at the
// latest after within: to their peers they are established, and closing the listener would reset
// them. Usually that is at once; if the limit of open connections is reached, those in the queue
// wait for room.
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

// Close accepts the connections in the queue as far as there is room, and closes the listener.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.draining = true
	ln.acceptUpTo(listenBacklog)
	ln.release()
}

// release closes the listening socket. It is the only place that does.
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
