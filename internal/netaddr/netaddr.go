// Package netaddr names where something listens: an IP address and port, or a unix socket by its
// path. Names are not resolved.
package netaddr

import (
	"fmt"
	"net/netip"
	"strings"
)

// Addr is one or the other. The zero value is neither. It can be compared.
type Addr struct {
	IP   netip.AddrPort
	Path string // of a unix socket; empty: it is an IP address
}

// mostPath is what the system has room for in the name of a socket, with its end.
const mostPath = 107

// Parse reads IP:PORT, or unix:PATH with a path from the root.
func Parse(text string) (Addr, error) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		switch {
		case !strings.HasPrefix(path, "/"):
			return Addr{}, fmt.Errorf("%q: the path of a unix socket begins with /", text)
		case len(path) > mostPath || strings.Contains(path, "\x00"):
			return Addr{}, fmt.Errorf(
				"%q: the path of a unix socket is over %d bytes, or holds a zero",
				text,
				mostPath,
			)
		}
		return Addr{Path: path}, nil
	}
	ip, err := netip.ParseAddrPort(text)
	return Addr{IP: ip}, err
}

// IsUnix tells whether it is a unix socket.
func (a Addr) IsUnix() bool { return a.Path != "" }

// IsValid tells whether it names anything.
func (a Addr) IsValid() bool { return a.IsUnix() || a.IP.IsValid() }

func (a Addr) String() string {
	if a.IsUnix() {
		return "unix:" + a.Path
	}
	return a.IP.String()
}
