package link

import "ryepaddle/internal/eventloop"

// Reasons for the rejection of a connection, as they are logged.
const (
	reasonNoHello           = "it sent no Hello"
	reasonOtherInstallation = "it belongs to another installation"
	reasonNotInFile         = "it is not in the operator's file"
)

// inboundLink is a connection on which a peer sends.
type inboundLink struct {
	transport *Transport
	conn      *eventloop.Conn
	name      string // "": no Hello was received yet
}

func (t *Transport) accept(conn *eventloop.Conn) eventloop.Handler {
	l := &inboundLink{transport: t, conn: conn}
	t.inbound[l] = true
	t.loop.After(helloTimeout, func() {
		if l.name == "" && !conn.IsClosed() {
			l.reject("", reasonNoHello)
		}
	})
	return l
}

func (l *inboundLink) reject(name, reason string) {
	eventPeerRejected.Log(l.conn.RemoteAddr(), name, reason)
	l.conn.Close(nil)
}

// Connected implements eventloop.Handler.
func (l *inboundLink) Connected() {}

// Data implements eventloop.Handler.
func (l *inboundLink) Data(b []byte) (used int, err error) {
	for {
		f, n, err := ReadFrame(b[used:])
		if err != nil || f == nil {
			return used, err
		}
		used += n
		if l.name != "" {
			l.transport.dispatch(l.name, f)
			continue
		}
		if reason := l.handleHello(f.Hello); reason != "" {
			return used, nil
		}
	}
}

// handleHello handles the first message of a connection, which is nil if it is not a Hello. If it
// rejects the connection, it returns the reason.
func (l *inboundLink) handleHello(h *Hello) (rejected string) {
	name := ""
	if h != nil {
		name = h.Name
	}
	switch {
	case h == nil:
		rejected = reasonNoHello
	case h.Installation != l.transport.cfg.Installation:
		rejected = reasonOtherInstallation
	case l.transport.outbound[h.Name] == nil:
		rejected = reasonNotInFile
	default:
		l.name = h.Name
		return ""
	}
	l.reject(name, rejected)
	return rejected
}

// End implements eventloop.Handler.
func (l *inboundLink) End() bool { return false }

// Closed implements eventloop.Handler.
func (l *inboundLink) Closed(error) { delete(l.transport.inbound, l) }
