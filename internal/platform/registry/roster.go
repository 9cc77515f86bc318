// Package roster reports to the platform's roster that this runner is there.
package registry

import (
	"net/netip"
	"time"

	"ryepaddle/internal/eventloop"
)

// every is how often a report goes out. An entry lapses 3 s after the last one. A quarter of the
// reports may be lost: of twelve in that time, all were lost once in 17 million times, of the six
// that went out before once in 4,000.
const every = 250_000

// Reporter owns the socket of the reports.
type Reporter struct {
	loop   *eventloop.Loop
	addr   netip.AddrPort
	socket *eventloop.Datagram // nil: none could be had yet
	moved  bool                // the socket leads to an address that the roster has left
	name   string
	state  string
	over   bool
}

// Start reports at once and from then on. Where no socket can be had, as without a route or a
// descriptor, each report tries again: a runner that serves is worth more than one that ended for
// want of its registration.
func Start(l *eventloop.Loop, addr netip.AddrPort, name string) (*Reporter, error) {
	r := &Reporter{loop: l, addr: addr, name: name, state: "on"}
	err := r.open()
	r.report()
	l.Every(time.Duration(every)*time.Microsecond, r.report)
	return r, err
}

// SetAddress reports to another address from now on. Where no socket can be had the old one is used until
// there is one, and the error is told.
func (r *Reporter) SetAddress(addr netip.AddrPort) error {
	r.addr, r.moved = addr, r.socket != nil
	err := r.open()
	r.report()
	return err
}

// open takes a socket to the address of now, in place of the one before.
func (r *Reporter) open() error {
	s, err := r.loop.Datagram(r.addr)
	if err != nil {
		return err
	}
	if r.socket != nil {
		r.socket.Close()
	}
	r.socket, r.moved = s, false
	return nil
}

// SetAvailable changes the state that is reported, and reports it.
func (r *Reporter) SetAvailable(on bool) {
	state := "off"
	if on {
		state = "on"
	}
	if state != r.state {
		r.state = state
		r.report()
	}
}

// Close ends the reports, without a word: another process of this runner goes on with them.
func (r *Reporter) Close() { r.over = true }

// report sends one datagram. One that is lost is made good by the next.
func (r *Reporter) report() {
	if r.over {
		return
	}
	if r.socket == nil || r.moved {
		_ = r.open() // it was told when it first failed; the next report tries again
	}
	if r.socket != nil {
		_ = r.socket.Send([]byte("HERE " + r.name + " " + r.state))
	}
}
