// Package faultlink simulates network faults between two parties with TCP proxies on loopback. A proxy forwards
// bytes, and on request delays, stalls, slows down or resets connections, in one or both directions.
package faultlink

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a link, or both.
type Direction uint8

// The directions. ToServer is from the party that connects to the one that listens.
const (
	ToServer Direction = 1 << iota
	ToClient
	BothDirections = ToServer | ToClient
)

// Fault is a fault of one direction of a link. The zero value is no fault.
type Fault struct {
	Stall           bool          // bytes are held until the fault ends
	Delay           time.Duration // before each piece of at most bufferBytes
	BytesPerSecond  int           // 0: unlimited
	ResetAfterBytes int64         // bytes forwarded from now on until the connection is reset; 0: no reset
}

// Link is a proxy to one listener. Its methods are safe for concurrent use.
type Link struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	cut     bool
	faults  [2]Fault      // to the server, to the client
	changed chan struct{} // closed and replaced at each change of target, cut, faults or closed
	pipes   map[*pipe]struct{}
	closed  bool
}

// pipe is one forwarded connection: its ends at the caller and at the target.
type pipe struct{ from, to net.Conn }

// reset resets both connections, as the loss of a host does.
func (p *pipe) reset() {
	for _, c := range []net.Conn{p.from, p.to} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails if the connection is closed
		}
		_ = c.Close()
	}
}

// New opens a link to a target address. Without one, connections are reset until SetTarget.
func New(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultlink: %w", err)
	}
	l := &Link{listener: ln, target: target, changed: make(chan struct{}), pipes: map[*pipe]struct{}{}}
	go l.serve()
	return l, nil
}

// Addr returns the address of the link.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (l *Link) SetTarget(addr string) { l.update(func() { l.target = addr }) }

// Set sets the fault of one direction or both.
func (l *Link) Set(direction Direction, f Fault) {
	l.update(func() {
		for i := range l.faults {
			if direction&(1<<i) != 0 {
				l.faults[i] = f
			}
		}
	})
}

// Cut resets all open connections, and until Heal also each new one.
func (l *Link) Cut() {
	l.update(func() { l.cut = true })
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.reset()
	}
}

// Heal ends all faults and a cut.
func (l *Link) Heal() {
	l.update(func() {
		l.cut = false
		l.faults = [2]Fault{}
	})
}

// Open returns the number of open connections.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pipes)
}

// Close closes the link and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.update(func() { l.closed = true })
	l.Cut()
}

// update changes the state of the link and wakes the goroutines that wait for a change.
func (l *Link) update(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
	close(l.changed)
	l.changed = make(chan struct{})
}

// serve accepts connections until the listener is closed.
func (l *Link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go l.connect(c)
	}
}

// connect forwards one connection until both sides end.
func (l *Link) connect(from net.Conn) {
	l.mu.Lock()
	target, cut := l.target, l.cut
	l.mu.Unlock()
	p := &pipe{from: from, to: from}
	if !cut && target != "" {
		if to, err := net.DialTimeout("tcp", target, time.Second); err == nil {
			p.to = to
		}
	}
	l.mu.Lock()
	if p.to == from || l.cut {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(p, p.from, p.to, 0) })
	both.Go(func() { l.forward(p, p.to, p.from, 1) })
	both.Wait()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
	_ = from.Close()
	_ = p.to.Close()
}

// bufferBytes is the largest piece that is forwarded at once.
const bufferBytes = 16 << 10

// forward forwards one direction of a connection. way is the index of the direction in Link.faults. The
// current fault is applied to each piece.
func (l *Link) forward(p *pipe, from, to net.Conn, way int) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		for rest := buf[:n]; len(rest) > 0; {
			f, ok := l.waitWhileStalled(way)
			if !ok {
				p.reset()
				return
			}
			step, pause := f.nextStep(len(rest))
			time.Sleep(pause)
			if _, err := to.Write(rest[:step]); err != nil {
				p.reset()
				return
			}
			rest = rest[step:]
			if l.countBytes(way, int64(step)) {
				p.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) { // the other direction may stay open
			if _, ok := l.waitWhileStalled(way); !ok {
				p.reset()
			} else if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// rateInterval is the time between two pieces while the rate is limited.
const rateInterval = 10 * time.Millisecond

// nextStep returns how many of n bytes are forwarded next, and the pause before that.
func (f Fault) nextStep(n int) (step int, pause time.Duration) {
	step = n
	pause = f.Delay
	if f.BytesPerSecond > 0 {
		step = min(n, max(int(float64(f.BytesPerSecond)*rateInterval.Seconds()), 1))
		pause += time.Duration(float64(step) / float64(f.BytesPerSecond) * float64(time.Second))
	}
	if f.ResetAfterBytes > 0 {
		step = int(min(int64(step), f.ResetAfterBytes))
	}
	return step, pause
}

// waitWhileStalled waits while a direction is stalled, and returns its fault. It returns false if the link is
// closed or cut.
func (l *Link) waitWhileStalled(way int) (Fault, bool) {
	for {
		l.mu.Lock()
		f := l.faults[way]
		over := l.closed || l.cut
		change := l.changed
		l.mu.Unlock()
		if over || !f.Stall {
			return f, !over
		}
		<-change
	}
}

// countBytes counts forwarded bytes, and reports whether the connection must be reset.
func (l *Link) countBytes(way int, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.faults[way]
	if f.ResetAfterBytes == 0 {
		return false
	}
	f.ResetAfterBytes -= n
	return f.ResetAfterBytes <= 0
}
