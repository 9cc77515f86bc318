package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// flushTimeout bounds how long a graceful close waits until the queued output is sent.
	flushTimeout = 10 * time.Second
	// lingerTimeout bounds how long a graceful close then waits for the peer to close its side.
	lingerTimeout = 500 * time.Millisecond
	// maxDiscardedBytes bounds the input that a graceful close reads and discards.
	maxDiscardedBytes = 1 << 20
)

// CloseGracefully sends the queued output, shuts down this side and closes the connection when the
// peer has closed its side or a timeout has passed. Closing at once would reset the connection if
// the peer has just written, and the peer would lose responses that it has not read.
func (c *Conn) CloseGracefully() {
	if c.closed || c.closing {
		return
	}
	if c.connecting || c.peerClosed && len(c.out) == 0 {
		c.Close(nil)
		return
	}
	// Reading resumes if it was paused: closing with unread input would reset the connection.
	c.closing = true
	c.paused = false
	c.in = nil
	c.rearm()
	c.closeTimer = c.loop.After(flushTimeout, func() { c.Close(ErrSlowPeer) })
	c.scheduleFlush()
}

// FlushAndShutdown is CloseGracefully for a process that ends immediately: it sends the output that
// the socket takes without waiting, shuts down this side, and reads and discards the input that has
// arrived. The descriptor stays open.
func (c *Conn) FlushAndShutdown() {
	if c.closed || c.connecting {
		return
	}
	c.flush()
	if c.closed {
		return
	}
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails if the peer has reset the connection
	for range maxDiscardedBytes / readChunkBytes {
		if n, err := unix.Read(c.fd, c.loop.readBuffer); n <= 0 || err != nil {
			return
		}
	}
}

// shutdownWrite shuts down this side of a connection that is being closed, after its output was sent.
func (c *Conn) shutdownWrite() {
	c.closeTimer.Stop()
	if c.peerClosed || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.Close(nil)
		return
	}
	c.closeTimer = c.loop.After(lingerTimeout, func() { c.Close(nil) })
}

// IsClosing reports whether a graceful close has begun.
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

// Abort resets the connection, so that the peer does not mistake what it received so far for a
// complete message.
func (c *Conn) Abort(err error) {
	if !c.closed {
		// If this fails, the connection is closed without a reset. The peer then detects a truncated
		// message only by its stated length.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close(err)
	}
}
