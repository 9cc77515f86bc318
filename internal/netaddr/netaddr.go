// Package netaddr represents the address of a listener: an IP address and port, or the path of a
// Unix socket. Host names are not resolved.
package netaddr

import (
	"fmt"
	"net/netip"
	"strings"
)

// Addr is an IP address and port or the path of a Unix socket. It is comparable; the zero value is
// invalid.
type Addr struct {
	IP   netip.AddrPort
	Path string // path of a Unix socket; empty: an IP address
}

// maxPathBytes is the longest path of a Unix socket (sockaddr_un without its terminating zero).
const maxPathBytes = 107

// Parse parses IP:PORT, or unix:PATH with an absolute path.
func Parse(text string) (Addr, error) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		switch {
		case !strings.HasPrefix(path, "/"):
			return Addr{}, fmt.Errorf("%q: the path of a unix socket begins with /", text)
		case len(path) > maxPathBytes || strings.Contains(path, "\x00"):
			return Addr{}, fmt.Errorf(
				"%q: the path of a unix socket is over %d bytes, or holds a zero",
				text,
				maxPathBytes,
			)
		}
		return Addr{Path: path}, nil
	}
	ip, err := netip.ParseAddrPort(text)
	return Addr{IP: ip}, err
}

// IsUnix reports whether the address is a Unix socket.
func (a Addr) IsUnix() bool { return a.Path != "" }

// IsValid reports whether the address is set.
func (a Addr) IsValid() bool { return a.IsUnix() || a.IP.IsValid() }

// String returns the address in the form that Parse accepts.
func (a Addr) String() string {
	if a.IsUnix() {
		return "unix:" + a.Path
	}
	return a.IP.String()
}
