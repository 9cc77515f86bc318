// Package registry registers this runner with the platform's registry (the roster of the operators'
// pages) by UDP reports.
package registry

import (
	"net/netip"
	"time"

	"ryepaddle/internal/eventloop"
)

// reportInterval is the time between two reports. A registration expires 3 s after the last report
// that arrives, and a quarter of the reports may be lost.
const reportInterval = 250 * time.Millisecond

// A report is a datagram of reportPrefix, the runner's name, a space and its state.
const reportPrefix = "HERE "

// States of a report.
const (
	stateOn  = "on"
	stateOff = "off"
)

// Reporter sends the reports. It owns their socket. All methods are to be called on the event loop.
type Reporter struct {
	loop           *eventloop.Loop
	addr           netip.AddrPort
	socket         *eventloop.Datagram // nil: it could not be opened yet
	addressChanged bool                // the socket still sends to the former address
	name           string
	state          string
	closed         bool
}

// Start sends reports at once and at the interval. If the socket cannot be opened, as without a
// route or a descriptor, the error is returned and each report tries again: a runner serves without
// its registration.
func Start(l *eventloop.Loop, addr netip.AddrPort, name string) (*Reporter, error) {
	r := &Reporter{loop: l, addr: addr, name: name, state: stateOn}
	err := r.open()
	r.report()
	l.Every(reportInterval, r.report)
	return r, err
}

// SetAddress sets the address of the registry. If a socket to it cannot be opened, the error is
// returned and the former one is used until a report can open it.
func (r *Reporter) SetAddress(addr netip.AddrPort) error {
	r.addr = addr
	r.addressChanged = r.socket != nil
	err := r.open()
	r.report()
	return err
}

// open opens a socket to the present address and closes the former one.
func (r *Reporter) open() error {
	s, err := r.loop.Datagram(r.addr)
	if err != nil {
		return err
	}
	if r.socket != nil {
		r.socket.Close()
	}
	r.socket = s
	r.addressChanged = false
	return nil
}

// SetAvailable sets the state that is reported, and reports a change at once.
func (r *Reporter) SetAvailable(available bool) {
	state := stateOff
	if available {
		state = stateOn
	}
	if state != r.state {
		r.state = state
		r.report()
	}
}

// Close stops the reports without a last one: another process of this runner continues them.
func (r *Reporter) Close() { r.closed = true }

// report sends one datagram; the next one makes up for a loss.
func (r *Reporter) report() {
	if r.closed {
		return
	}
	if r.socket == nil || r.addressChanged {
		_ = r.open() // the first failure was returned; the next report tries again
	}
	if r.socket != nil {
		_ = r.socket.Send([]byte(reportPrefix + r.name + " " + r.state))
	}
}
