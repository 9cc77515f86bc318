package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// flushTimeout bounds how long a gracefully closed connection waits for its output to be taken.
	flushTimeout = 10 * time.Second
	// lingerTimeout bounds how long it then waits for the peer to close.
	lingerTimeout = 500 * time.Millisecond
	// maxDiscardedBytes bounds how much input it reads and discards until then.
	maxDiscardedBytes = 1 << 20
)

// CloseGracefully sends the queued output, shuts down this side and closes when the peer does or a
// bounded time has passed. Closing at once would reset the connection where the peer has just
// written, and discard responses that it has not read.
func (c *Conn) CloseGracefully() {
	if c.closed || c.closing {
		return
	}
	if c.connecting || c.peerClosed && len(c.out) == 0 {
		c.Close(nil)
		return
	}
	// Reading resumes if it was paused: a close with unread input would reset the connection.
	c.closing = true
	c.paused = false
	c.in = nil
	c.rearm()
	c.closeTimer = c.loop.After(flushTimeout, func() { c.Close(ErrSlowPeer) })
	c.scheduleFlush()
}

// FlushAndShutdown is CloseGracefully for a process that ends at once: it sends what the peer takes
// now, shuts down this side and reads the input that has come. The descriptor stays open.
func (c *Conn) FlushAndShutdown() {
	if c.closed || c.connecting {
		return
	}
	c.flush()
	if c.closed {
		return
	}
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails where the peer has reset the connection
	for range maxDiscardedBytes / readChunkBytes {
		if n, err := unix.Read(c.fd, c.loop.readBuffer); n <= 0 || err != nil {
			return
		}
	}
}

// shutdownWrite shuts down this side of a connection that is closing and whose output is sent.
func (c *Conn) shutdownWrite() {
	c.closeTimer.Stop()
	if c.peerClosed || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.Close(nil)
		return
	}
	c.closeTimer = c.loop.After(lingerTimeout, func() { c.Close(nil) })
}

// IsClosing reports whether the connection was closed gracefully and waits for the peer.
func (c *Conn) IsClosing() bool { return c.closing }

// Close closes the descriptor at once. Handler.Closed is called with err later in the turn.
func (c *Conn) Close(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.closeTimer.Stop()
	c.loop.release(c.fd)
	c.in = nil
	c.out = nil
	c.loop.Post(func() {
		c.handler.Closed(err)
		if c.onReleased != nil {
			c.onReleased()
		}
	})
}

// Abort resets the connection, so that the peer does not take what it received for complete.
func (c *Conn) Abort(err error) {
	if !c.closed {
		// If this fails the close is an ordinary one, which a stated length still exposes.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close(err)
	}
}
