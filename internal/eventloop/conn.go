package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/netaddr"
)

// The ends of a connection that are not errors of the system.
var (
	ErrSlowPeer      = errors.New("peer does not read")
	ErrInputOverflow = errors.New("peer sends more than fits the buffer")
)

// ConnectionRefusedError tells that a connection was refused, or could not even be tried for want of a
// descriptor. Either proves that nothing was sent on it.
type ConnectionRefusedError struct{ Err error }

func (e *ConnectionRefusedError) Error() string { return "connect refused: " + e.Err.Error() }

// Unwrap returns the system's error.
func (e *ConnectionRefusedError) Unwrap() error { return e.Err }

// Handler is told what happens on a connection.
type Handler interface {
	// Connected is called once on a dialled connection that stands.
	Connected()
	// Data gets all that is unread so far and returns how much of it is used up.
	// An error closes the connection.
	Data(b []byte) (int, error)
	// End is called once when the peer has closed its side. Returning true keeps the own side open.
	End() bool
	// Closed is called once, last, when the descriptor has been given back.
	Closed(err error)
}

// BufferLimits bound the buffers of a connection in bytes.
type BufferLimits struct{ In, Out int }

// Conn is one stream connection. It owns its descriptor and gives it back in Close.
type Conn struct {
	loop    *Loop
	fd      int
	remote  netip.AddrPort // where it was dialled to, or came from
	dialled bool
	handler Handler
	limits  BufferLimits
	in, out []byte
	// Opening: the connect is under way. Ended: the peer sends no more. Leaving: the own side is
	// shut, what comes is thrown away until the peer closes.
	connecting, peerClosed, closing, writeShut, closed, dirty bool
	paused, unwatched                                         bool // blind: taken off epoll while it is paused
	onFlushed                                                 func()

	events       uint32
	stalledSince time.Duration // since when the peer has taken nothing of what is queued; 0: it takes all
	discarded    int           // bytes that came after the connection was left
	closeTimer   *Timer        // the end of a connection that was left
	onReleased   func()
}

func newConn(l *Loop, fd int, limits BufferLimits, opening bool) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, limits: limits, connecting: opening, events: unix.EPOLLIN}
	if opening {
		c.events = unix.EPOLLOUT
	}
	if err := l.watch(fd, c.events, c); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return c, nil
}

// Dial begins a connection to addr. The outcome reaches the handler, never before Dial returns.
func (l *Loop) Dial(addr netip.AddrPort, limits BufferLimits, h Handler) *Conn {
	return l.DialAddr(netaddr.Addr{IP: addr}, limits, h)
}

// DialAddr is Dial to any kind of address.
func (l *Loop) DialAddr(addr netaddr.Addr, limits BufferLimits, h Handler) *Conn {
	fam, sa := socketAddr(addr)
	fd, err := unix.Socket(fam, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return l.failedConn(h, &ConnectionRefusedError{err})
	}
	if !addr.IsUnix() {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(fd)
		// there it stands at once or not at all: nobody took it, whatever the reason
		if addr.IsUnix() {
			return l.failedConn(h, &ConnectionRefusedError{err})
		}
		return l.failedConn(h, connectError(err))
	}
	c, err := newConn(l, fd, limits, true)
	if err != nil {
		return l.failedConn(h, &ConnectionRefusedError{err})
	}
	c.handler, c.remote, c.dialled = h, addr.IP, true
	return c
}

// failedConn is a connection that never had a descriptor; its handler learns of it like of any
// other.
func (l *Loop) failedConn(h Handler, err error) *Conn {
	l.Post(func() { h.Closed(err) })
	return &Conn{loop: l, fd: -1, handler: h, closed: true}
}

// connectError marks the one error that proves that nobody took the connection.
func connectError(err error) error {
	if err == unix.ECONNREFUSED {
		return &ConnectionRefusedError{err}
	}
	return fmt.Errorf("connect: %w", err)
}

func (c *Conn) ready(events uint32) {
	if c.connecting {
		c.finishConnect()
		return
	}
	// The ends of a connection are always told. One that is paused would tell them again and again,
	// and what came before the end would be lost with it.
	if c.paused && events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && len(c.out) == 0 {
		c.unwatched = true
		c.loop.unwatch(c.fd)
		return
	}
	// What a server said before it reset the connection still counts; what a caller asked for
	// before that does not.
	if events&unix.EPOLLERR != 0 && (events&unix.EPOLLIN == 0 || c.peerClosed || !c.dialled) {
		errno, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		c.Close(fmt.Errorf("connection broke: %w", unix.Errno(errno)))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP) != 0 && !c.peerClosed && !c.paused {
		c.read()
	} else if events&unix.EPOLLHUP != 0 {
		c.Close(io.EOF) // both sides are down
	}
	if events&unix.EPOLLOUT != 0 && !c.closed {
		c.flush()
	}
}

func (c *Conn) finishConnect() {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	if err != nil {
		c.Close(connectError(err))
		return
	}
	c.connecting = false
	c.rearm()
	c.handler.Connected()
}

func (c *Conn) read() {
	n, err := unix.Read(c.fd, c.loop.scratch)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return
	case err != nil:
		c.Close(fmt.Errorf("read: %w", err))
		return
	case n == 0:
		c.peerEnded()
		return
	case c.closing:
		if c.discarded += n; c.discarded > maxDiscardedBytes {
			c.Close(ErrInputOverflow)
		}
		return
	}
	data := c.loop.scratch[:n]
	if len(c.in) > 0 {
		c.in = append(c.in, data...)
		data = c.in
	}
	used, err := c.handler.Data(data)
	if c.closed {
		return
	}
	if err != nil {
		c.Close(err)
		return
	}
	// What is left over is kept in a buffer of the connection's own; one that is idle keeps none.
	if c.in = append(c.in[:0], data[used:]...); len(c.in) == 0 {
		c.in = nil
	}
	if len(c.in) > c.limits.In {
		c.Close(ErrInputOverflow)
	}
}

// peerEnded deals with the end of what the peer sends. A peer that only stopped sending still gets
// what is queued for it: its end may be read in the very turn in which its answer was written,
// before that went out. A connection that was dialled to a server that ends has nobody to wait for.
func (c *Conn) peerEnded() {
	c.peerClosed = true
	wanted := !c.closing && c.handler.End()
	switch {
	case c.closed:
	case wanted:
		c.rearm()
	case c.dialled || len(c.out) == 0:
		c.Close(io.EOF)
	default:
		c.CloseGracefully()
		c.rearm()
	}
}

// Write queues b; it goes out at the end of the turn.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	if len(c.out)+len(b) > c.limits.Out {
		c.flush() // much may have been written in one turn: what the peer takes now does not count
	}
	if len(c.out)+len(b) > c.limits.Out {
		c.Close(ErrSlowPeer)
		return
	}
	c.out = append(c.out, b...)
	c.scheduleFlush()
}

// scheduleFlush has the connection flushed at the end of the turn.
func (c *Conn) scheduleFlush() {
	if !c.dirty && !c.connecting {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

// Pause stops reading, or goes on. What the peer has sent waits in the system's buffers, and then
// at the peer.
func (c *Conn) Pause(on bool) {
	if c.paused != on && !c.closed {
		c.paused = on
		if !c.connecting {
			c.rearm()
		}
	}
}

// QueuedBytes is how much waits for the peer to take it.
func (c *Conn) QueuedBytes() int { return len(c.out) }

// Flush writes what is queued as far as the peer takes it, now and not at the end of the turn.
func (c *Conn) Flush() { c.flush() }

// OnFlushed has fn called whenever the peer has taken some of what was queued. It must not write.
func (c *Conn) OnFlushed(fn func()) { c.onFlushed = fn }

// Abort ends the connection so that the peer sees that it was cut: what it has been sent must not
// look whole.
func (c *Conn) Abort(err error) {
	if !c.closed {
		// An error of it leaves an ordinary end, which a stated length still shows for what it is.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close(err)
	}
}

// IsIdle tells whether the connection stands, and nothing has come on it that was not read.
func (c *Conn) IsIdle() bool {
	if c.closed || c.peerClosed || len(c.in) > 0 {
		return false
	}
	_, err := c.peek()
	return err == unix.EAGAIN
}

// HasUnreadInput tells whether bytes wait in the system that the loop has not read yet, as they came in
// this very turn.
func (c *Conn) HasUnreadInput() bool {
	if c.closed || c.peerClosed {
		return false
	}
	n, _ := c.peek()
	return n > 0
}

// peek looks at the next byte without taking it.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	n, _, err = unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// RemoteAddr is the address that the connection was dialled to or came from; not valid on a unix socket.
func (c *Conn) RemoteAddr() netip.AddrPort { return c.remote }

// PeerUID is the user whose process connected to a unix socket of ours; false: it is not known.
func (c *Conn) PeerUID() (uid int, ok bool) {
	u, err := unix.GetsockoptUcred(c.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	if err != nil {
		return 0, false
	}
	return int(u.Uid), true
}

// StalledFor is for how long the peer has taken nothing of what is queued for it.
func (c *Conn) StalledFor() time.Duration {
	if c.stalledSince == 0 {
		return 0
	}
	return c.loop.now - c.stalledSince
}

// IsConnecting tells whether a dialled connection does not stand yet, so that nothing was sent on it.
func (c *Conn) IsConnecting() bool { return c.connecting && !c.closed }

// IsClosed tells whether the descriptor has been given back.
func (c *Conn) IsClosed() bool { return c.closed }

func (c *Conn) flush() {
	for len(c.out) > 0 && !c.closed && !c.connecting {
		n, err := unix.SendmsgN(c.fd, c.out, nil, nil, unix.MSG_NOSIGNAL)
		switch {
		case err == unix.EAGAIN:
			if c.stalledSince == 0 {
				c.stalledSince = c.loop.now
			}
			c.rearm()
			return
		case err == unix.EINTR:
		case err != nil:
			c.Close(fmt.Errorf("write: %w", err))
			return
		default:
			c.out, c.stalledSince = c.out[:copy(c.out, c.out[n:])], 0
			if c.onFlushed != nil {
				c.onFlushed()
			}
		}
	}
	if c.closed {
		return
	}
	c.out = nil
	if c.closing && !c.writeShut {
		c.writeShut = true
		c.shutdownWrite()
	}
	c.rearm()
}

func (c *Conn) rearm() {
	if c.closed {
		return
	}
	var events uint32
	if !c.peerClosed && !c.paused {
		events |= unix.EPOLLIN
	}
	if len(c.out) > 0 {
		events |= unix.EPOLLOUT
	}
	if c.unwatched {
		if c.paused {
			return
		}
		c.unwatched, c.events = false, events
		if err := c.loop.watch(c.fd, events, c); err != nil {
			c.Close(err)
		}
		return
	}
	if events != c.events {
		c.events = events
		c.loop.rewatch(c.fd, events)
	}
}

const (
	flushTimeout      = 10 * time.Second       // a connection that was left has so long to be rid of what is queued
	lingerTimeout     = 500 * time.Millisecond // and its peer so long to close after that
	maxDiscardedBytes = 1 << 20                // a peer that goes on sending is not listened to for as long
)

// CloseGracefully sends what is queued, shuts the own side and closes when the peer does, or after a while.
// Closing at once would reset the connection where the peer has just written, and take answers with
// it that it has not read.
func (c *Conn) CloseGracefully() {
	if c.closed || c.closing {
		return
	}
	if c.connecting || c.peerClosed && len(c.out) == 0 {
		c.Close(nil)
		return
	}
	// Reading goes on where it was paused: closed over unread bytes, the connection would be reset.
	c.closing, c.paused, c.in = true, false, nil
	c.rearm()
	c.closeTimer = c.loop.After(flushTimeout, func() { c.Close(ErrSlowPeer) })
	c.scheduleFlush()
}

// FlushAndShutdown is Leave for a process that ends at once: what the peer takes now of what is queued
// goes out, the own side is shut, and what has come is read off.
func (c *Conn) FlushAndShutdown() {
	if c.closed || c.connecting {
		return
	}
	if c.flush(); c.closed {
		return
	}
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // it fails where the peer has reset the connection
	for range maxDiscardedBytes / readChunkBytes {
		if n, err := unix.Read(c.fd, c.loop.scratch); n <= 0 || err != nil {
			return
		}
	}
}

// shutdownWrite ends the own side of a connection that was left and whose last byte is out.
func (c *Conn) shutdownWrite() {
	c.closeTimer.Stop()
	if c.peerClosed || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.Close(nil)
		return
	}
	c.closeTimer = c.loop.After(lingerTimeout, func() { c.Close(nil) })
}

// IsClosing tells whether the connection was left and only waits for its end.
func (c *Conn) IsClosing() bool { return c.closing }

// Close gives the descriptor back, at once. The handler hears of it later in the turn.
func (c *Conn) Close(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.closeTimer.Stop()
	c.loop.release(c.fd)
	c.in, c.out = nil, nil
	c.loop.Post(func() {
		c.handler.Closed(err)
		if c.onReleased != nil {
			c.onReleased()
		}
	})
}

// socketAddr is an address as the system takes it.
func socketAddr(a netaddr.Addr) (fam int, sa unix.Sockaddr) {
	if a.IsUnix() {
		return unix.AF_UNIX, &unix.SockaddrUnix{Name: a.Path}
	}
	return family(a.IP), sockaddr(a.IP)
}

func family(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// Buffered is what has come and is not used up.
func (c *Conn) Buffered() []byte { return c.in }
