// Package faultlink is a stand-in for the network between two parties: TCP links on loopback that
// forward bytes until they are told to fail, in one direction or both, at any byte.
package faultlink

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a link, or both.
type Direction uint8

// The directions. There is from whom connects to whom listens.
const (
	ToServer Direction = 1 << iota
	ToClient
	BothDirections = ToServer | ToClient
)

// Fault is what a direction of a link does to bytes. The zero value forwards them.
type Fault struct {
	Stall           bool          // nothing passes, and nothing breaks: bytes go on once it is over
	Delay           time.Duration // each piece is late by so much
	BytesPerSecond  int           // bytes a second; 0: no bound
	ResetAfterBytes int64         // the connection is reset once so many more bytes have passed; 0: it is not
}

// Link is one way to reach a listener. Its methods may be called from any goroutine.
type Link struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	cut    bool
	faults [2]Fault
	change chan struct{} // closed and made anew with each change
	open   map[*pipe]struct{}
	closed bool
}

type pipe struct{ from, to net.Conn }

// reset ends both connections as a host does that is gone: with a reset, not with an end of what
// was sent.
func (p *pipe) reset() {
	for _, c := range []net.Conn{p.from, p.to} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // it may be closed already
		}
		_ = c.Close()
	}
}

// New opens a link to an address, which may be told or changed later with SetTarget.
func New(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	l := &Link{ln: ln, target: target, change: make(chan struct{}), open: map[*pipe]struct{}{}}
	go l.serve()
	return l, nil
}

// Addr is where the link is reached.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// SetTarget says where new connections lead.
func (l *Link) SetTarget(addr string) { l.set(func() { l.target = addr }) }

// Set gives one direction or both a fault.
func (l *Link) Set(w Direction, f Fault) {
	l.set(func() {
		for i := range l.faults {
			if w&(1<<i) != 0 {
				l.faults[i] = f
			}
		}
	})
}

// Cut resets what is open and whatever comes, until Heal.
func (l *Link) Cut() {
	l.set(func() { l.cut = true })
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.reset()
	}
}

// Heal ends all faults.
func (l *Link) Heal() { l.set(func() { l.cut, l.faults = false, [2]Fault{} }) }

// Open is how many connections there are.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Close ends the link and all that is open.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.set(func() { l.closed = true })
	l.Cut()
}

func (l *Link) set(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
	close(l.change)
	l.change = make(chan struct{})
}

func (l *Link) serve() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return // it was closed
		}
		go l.join(c)
	}
}

// join leads one connection on.
func (l *Link) join(from net.Conn) {
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
	l.open[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(p, p.from, p.to, 0) })
	both.Go(func() { l.forward(p, p.to, p.from, 1) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, p)
	l.mu.Unlock()
	_ = from.Close()
	_ = p.to.Close()
}

const piece = 16 << 10

// forward leads one direction of a connection on, by what its faults are at each piece.
func (l *Link) forward(p *pipe, from, to net.Conn, way int) {
	buf := make([]byte, piece)
	for {
		n, err := from.Read(buf)
		for rest := buf[:n]; len(rest) > 0; {
			f, ok := l.pass(way)
			if !ok {
				p.reset()
				return
			}
			step, pause := f.step(len(rest))
			time.Sleep(pause)
			if _, err := to.Write(rest[:step]); err != nil {
				p.reset()
				return
			}
			rest = rest[step:]
			if l.spent(way, int64(step)) {
				p.reset()
				return
			}
		}
		if err == io.EOF { // one side has no more to say; the other may
			if _, ok := l.pass(way); !ok {
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

// dripStep is how often a byte drips at the most.
const dripStep = 10 * time.Millisecond

// step is how much of so many bytes passes next, and after which pause.
func (f Fault) step(n int) (step int, pause time.Duration) {
	step, pause = n, f.Delay
	if f.BytesPerSecond > 0 {
		step = min(n, max(int(float64(f.BytesPerSecond)*dripStep.Seconds()), 1))
		pause += time.Duration(float64(step) / float64(f.BytesPerSecond) * float64(time.Second))
	}
	if f.ResetAfterBytes > 0 {
		step = int(min(int64(step), f.ResetAfterBytes))
	}
	return step, pause
}

// pass waits while a direction is held, and gives what its faults are then; false: the link is
// closed or cut.
func (l *Link) pass(way int) (Fault, bool) {
	for {
		l.mu.Lock()
		f, over, change := l.faults[way], l.closed || l.cut, l.change
		l.mu.Unlock()
		if over || !f.Stall {
			return f, !over
		}
		<-change
	}
}

// spent counts bytes that passed, and tells whether they were the last ones.
func (l *Link) spent(way int, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.faults[way]
	if f.ResetAfterBytes == 0 {
		return false
	}
	f.ResetAfterBytes -= n
	return f.ResetAfterBytes <= 0
}
