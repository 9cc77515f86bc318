package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Reasons for closing a connection other than errors of system calls.
var (
	// ErrSlowPeer reports a peer that does not read the output fast enough.
	ErrSlowPeer = errors.New("peer does not read")
	// ErrInputOverflow reports a peer that sends more input than may be buffered or discarded.
	ErrInputOverflow = errors.New("peer sends more than the input limit")
)

// Handler receives the events of one connection. All methods are called on the loop.
type Handler interface {
	// Connected is called once when a dialled connection is established.
	Connected()
	// Data receives all input that is not consumed yet, and returns how many bytes it consumes. An
	// error closes the connection.
	Data(b []byte) (int, error)
	// End is called once when the peer has closed its side. If it returns true, this side stays open.
	End() bool
	// Closed is the last call. It is called once, after the descriptor was closed. err is the reason.
	Closed(err error)
}

// BufferLimits bound the buffers of a connection, in bytes.
type BufferLimits struct{ In, Out int }

// Conn is one stream connection. It owns its descriptor, which Close closes.
type Conn struct {
	loop    *Loop
	fd      int
	remote  netip.AddrPort // the address that was dialled or that a connection was accepted from
	dialled bool
	handler Handler
	limits  BufferLimits
	in, out []byte

	connecting  bool // the connect is in progress
	peerClosed  bool // the peer has closed its side and sends no more
	peerEnding  bool // the peer has closed its side; input may be left to be read
	closing     bool // being closed gracefully: input is discarded until the peer closes
	writeShut   bool // this side was shut down for writing
	closed      bool // the descriptor is closed
	flushQueued bool // listed in Loop.unflushed
	paused      bool // reading is paused
	unwatched   bool // removed from epoll while reading is paused

	events       uint32        // events that epoll is asked to report
	stalledSince time.Duration // when the socket stopped taking output; 0: it takes all output
	discarded    int           // bytes that were read while closing
	closeTimer   *Timer        // bounds a graceful close
	onFlushed    func()        // called when the socket has taken queued output
	onReleased   func()        // called after Handler.Closed
}

// inputEvents are the events of a connection that is read.
const inputEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// newConn returns an established connection. It takes ownership of the descriptor, and closes it on
// an error.
func newConn(l *Loop, fd int, limits BufferLimits) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, limits: limits, events: inputEvents}
	return c, c.watch()
}

// newConnecting is newConn for a descriptor whose connect is in progress.
func newConnecting(l *Loop, fd int, limits BufferLimits) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, limits: limits, events: unix.EPOLLOUT, connecting: true}
	return c, c.watch()
}

// watch has epoll watch a new connection, and closes its descriptor if that fails.
func (c *Conn) watch() error {
	err := c.loop.watch(c.fd, c.events, c)
	if err != nil {
		_ = unix.Close(c.fd)
	}
	return err
}

// ready handles the events that epoll reported.
func (c *Conn) ready(events uint32) {
	if c.connecting {
		c.finishConnect()
		return
	}
	if events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.peerEnding = true
	}
	// Epoll reports the end of a connection whichever events it is asked for. For a paused connection
	// it would report it in every turn, and closing the connection would lose unread input of a server.
	if c.paused && events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && len(c.out) == 0 && !c.isResetByClient(events) {
		c.unwatched = true
		c.loop.unwatch(c.fd)
		return
	}
	// Input that a server sent before it reset the connection is still delivered. Input of a client
	// that reset the connection is not.
	if events&unix.EPOLLERR != 0 && (events&unix.EPOLLIN == 0 || c.peerClosed || !c.dialled) {
		errno, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		c.Close(fmt.Errorf("connection broke: %w", unix.Errno(errno)))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP) != 0 && !c.peerClosed && !c.paused {
		c.read()
	} else if events&unix.EPOLLHUP != 0 {
		c.Close(io.EOF) // both sides are shut down
	}
	if events&unix.EPOLLOUT != 0 && !c.closed {
		c.flush()
	}
}

// isResetByClient reports whether events say that a client has reset the connection. Its unread input is of no use.
func (c *Conn) isResetByClient(events uint32) bool { return !c.dialled && events&unix.EPOLLERR != 0 }

// finishConnect handles the outcome of a connect that was in progress.
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

// read reads once from the socket, and delivers or discards the input.
func (c *Conn) read() {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
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
		c.discarded += n
		if c.discarded > maxDiscardedBytes {
			c.Close(ErrInputOverflow)
		}
		return
	}
	c.deliver(c.loop.readBuffer[:n])
}

// deliver passes input to the handler and buffers the part that the handler does not consume.
func (c *Conn) deliver(data []byte) {
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
	c.keep(data[used:])
	if len(c.in) > c.limits.In {
		c.Close(ErrInputOverflow)
	}
}

// keep copies the input that was not consumed to the buffer of the connection. The buffer is replaced if it is much
// larger than that, as it may have held a whole read. An idle connection has no buffer.
func (c *Conn) keep(rest []byte) {
	switch {
	case len(rest) == 0:
		c.in = nil
	case cap(c.in) > 2*len(rest)+minBufferBytes:
		c.in = append(make([]byte, 0, len(rest)), rest...)
	default:
		c.in = append(c.in[:0], rest...)
	}
}

// peerEnded handles the end of the peer's input. A client that has shut down only its sending side
// still gets the queued output: the end of its input may be read in the turn in which its response
// was written, before the response was flushed. A dialled connection is closed at once, because a
// server that ends waits for no more output.
func (c *Conn) peerEnded() {
	c.peerClosed = true
	keepOpen := !c.closing && c.handler.End()
	switch {
	case c.closed:
	case keepOpen:
		c.rearm()
	case c.dialled || len(c.out) == 0:
		c.Close(io.EOF)
	default:
		c.CloseGracefully()
		c.rearm()
	}
}

// Write queues b, which is sent at the end of the turn. If the output buffer overflows, the
// connection is closed with ErrSlowPeer.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	if len(c.out)+len(b) > c.limits.Out {
		c.flush() // output that the socket takes at once does not count against the limit
	}
	if len(c.out)+len(b) > c.limits.Out {
		c.Close(ErrSlowPeer)
		return
	}
	c.out = append(c.out, b...)
	c.scheduleFlush()
}

// scheduleFlush has the loop flush the connection at the end of the turn.
func (c *Conn) scheduleFlush() {
	if !c.flushQueued && !c.connecting {
		c.flushQueued = true
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
}

// SetPaused pauses or resumes reading. While reading is paused, input fills the system's buffers and
// then blocks the peer.
func (c *Conn) SetPaused(paused bool) {
	if c.paused != paused && !c.closed {
		c.paused = paused
		if !c.connecting {
			c.rearm()
		}
	}
}

// Buffered returns the input that the handler has not consumed yet.
func (c *Conn) Buffered() []byte { return c.in }

// QueuedBytes returns the size of the output that the socket has not taken yet.
func (c *Conn) QueuedBytes() int { return len(c.out) }

// BufferBytes returns the memory of the buffers of the connection, which may be larger than what they hold.
func (c *Conn) BufferBytes() int { return cap(c.in) + cap(c.out) }

// Flush sends as much of the queued output as the socket takes, without waiting for the end of the
// turn.
func (c *Conn) Flush() { c.flush() }

// OnFlushed sets the function that is called whenever the socket has taken queued output. fn must not
// call Write.
func (c *Conn) OnFlushed(fn func()) { c.onFlushed = fn }

// IsPeerEnding reports whether the peer has closed its side, although input that it sent before may be unread. It
// reports false if the system does not tell.
func (c *Conn) IsPeerEnding() bool { return c.peerEnding || c.peerClosed }

// IsIdle reports whether the connection is open, the peer has not closed its side, and there is no
// unconsumed input, neither in the connection's buffer nor in the system's.
func (c *Conn) IsIdle() bool {
	if c.closed || c.peerClosed || len(c.in) > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// HasUnreadInput reports whether the system's buffer has input that the loop has not read yet, such
// as input that arrived during this turn.
func (c *Conn) HasUnreadInput() bool {
	if c.closed || c.peerClosed {
		return false
	}
	n, _ := c.peek()
	return n > 0
}

// UnreadBytes returns the size of the input that the handler has not consumed, in the connection's buffer
// and in the system's.
func (c *Conn) UnreadBytes() int {
	if c.closed {
		return 0
	}
	queued, _ := unix.IoctlGetInt(c.fd, unix.TIOCINQ) // 0 on an error
	return len(c.in) + queued
}

// peek reads the next byte without consuming it.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	n, _, err = unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// RemoteAddr returns the address that was dialled or that the connection was accepted from. It is
// not valid for a unix socket.
func (c *Conn) RemoteAddr() netip.AddrPort { return c.remote }

// PeerUID returns the user ID of the process that connected to a unix socket, and whether it is
// known.
func (c *Conn) PeerUID() (uid int, ok bool) {
	credentials, err := unix.GetsockoptUcred(c.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	if err != nil {
		return 0, false
	}
	return int(credentials.Uid), true
}

// StalledFor returns for how long the socket has taken none of the queued output.
func (c *Conn) StalledFor() time.Duration {
	if c.stalledSince == 0 {
		return 0
	}
	return c.loop.now - c.stalledSince
}

// IsConnecting reports whether a dialled connection is not established yet, in which case nothing
// was sent on it.
func (c *Conn) IsConnecting() bool { return c.connecting && !c.closed }

// IsClosed reports whether the descriptor was closed.
func (c *Conn) IsClosed() bool { return c.closed }

// flush sends as much of the queued output as the socket takes.
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
			remaining := copy(c.out, c.out[n:])
			c.out = c.out[:remaining]
			c.stalledSince = 0
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

// rearm asks epoll for the events that the state of the connection requires.
func (c *Conn) rearm() {
	if c.closed {
		return
	}
	var events uint32
	if !c.peerClosed && !c.paused {
		events |= inputEvents
	}
	if len(c.out) > 0 {
		events |= unix.EPOLLOUT
	}
	if c.unwatched {
		if c.paused {
			return
		}
		c.unwatched = false
		c.events = events
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
