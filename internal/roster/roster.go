// Package roster reports to the platform's roster that this runner is there.
package roster

import (
	"net/netip"

	"shalesail/internal/loop"
)

// every is how often a report goes out. An entry lapses 3 s after the last one. A quarter of the reports may be lost:
// of twelve in that time, all were lost once in 17 million times, of the six that went out before once in 4,000.
const every = 250_000

// Reporter owns the socket of the reports.
type Reporter struct {
	loop   *loop.Loop
	socket *loop.Datagram
	name   string
	state  string
	over   bool
}

// Start reports at once and from then on.
func Start(l *loop.Loop, addr netip.AddrPort, name string) (*Reporter, error) {
	s, err := l.Datagram(addr)
	if err != nil {
		return nil, err
	}
	r := &Reporter{loop: l, socket: s, name: name, state: "on"}
	r.report()
	l.Every(every, r.report)
	return r, nil
}

// Move reports to another address from now on. Where no socket can be had the old one is kept, and the error told.
func (r *Reporter) Move(addr netip.AddrPort) error {
	s, err := r.loop.Datagram(addr)
	if err != nil {
		return err
	}
	r.socket.Close()
	r.socket = s
	r.report()
	return nil
}

// Set changes the state that is reported, and reports it.
func (r *Reporter) Set(on bool) {
	state := "off"
	if on {
		state = "on"
	}
	if state != r.state {
		r.state = state
		r.report()
	}
}

// Stop ends the reports, without a word: another process of this runner goes on with them.
func (r *Reporter) Stop() { r.over = true }

// report sends one datagram. One that is lost is made good by the next.
func (r *Reporter) report() {
	if !r.over {
		_ = r.socket.Send([]byte("HERE " + r.name + " " + r.state))
	}
}
