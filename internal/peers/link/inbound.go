package link

import "ryepaddle/internal/eventloop"

// Reasons for which a connection is rejected, as the log has them.
const (
	reasonNoHello           = "it does not say who it is"
	reasonOtherInstallation = "it is of another installation"
	reasonNotInFile         = "it is not in the file"
)

// inboundLink is the connection of a peer.
type inboundLink struct {
	transport *Transport
	conn      *eventloop.Conn
	name      string // "": no Hello came yet
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
		if reason := l.greet(f.Hello); reason != "" {
			return used, nil
		}
	}
}

// greet takes the first message of a connection. It returns the reason if it rejects the connection.
func (l *inboundLink) greet(h *Hello) (rejected string) {
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
