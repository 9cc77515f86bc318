// Package registry registers this runner with the platform's registry, which the operators' pages call
// the roster, by periodic UDP reports.
package registry

import (
	"net/netip"
	"time"

	"ryepaddle/internal/eventloop"
)

// reportInterval is the time between two reports. A registration expires 3 s after the last report
// that was received, and up to a quarter of the reports may be lost.
const reportInterval = 250 * time.Millisecond

// reportPrefix begins a report: a datagram of the prefix, the runner's name, a space and its state.
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
	socket         *eventloop.Datagram // nil: it could not be opened so far
	addressChanged bool                // the socket still sends to the previous address
	name           string
	state          string
	closed         bool
}

// Start sends a report at once and then at each reportInterval. If the socket cannot be opened, for
// example since there is no route or no free descriptor, it returns the error together with a reporter
// that tries again at each report: a runner serves even if it is not registered.
func Start(l *eventloop.Loop, addr netip.AddrPort, name string) (*Reporter, error) {
	r := &Reporter{loop: l, addr: addr, name: name, state: stateOn}
	err := r.open()
	r.report()
	l.Every(reportInterval, r.report)
	return r, err
}

// SetAddress sets the address of the registry. If no socket to it can be opened, it returns the error,
// and the previous socket is used until a report can open the new one.
func (r *Reporter) SetAddress(addr netip.AddrPort) error {
	r.addr = addr
	r.addressChanged = r.socket != nil
	err := r.open()
	r.report()
	return err
}

// open opens a socket to the current address and closes the previous one.
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

// SetAvailable sets whether the runner is reported as available, and reports a change at once.
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

// Close stops the reports without reporting the runner as unavailable, since another process of this
// runner continues them.
func (r *Reporter) Close() { r.closed = true }

// report sends one report. A failed or lost one is not repeated, since the next one replaces it.
func (r *Reporter) report() {
	if r.closed {
		return
	}
	if r.socket == nil || r.addressChanged {
		_ = r.open() // Start or SetAddress returned the first error; the next report tries again
	}
	if r.socket != nil {
		_ = r.socket.Send([]byte(reportPrefix + r.name + " " + r.state))
	}
}
