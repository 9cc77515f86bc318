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
	Path string // path of a Unix socket; empty: IP is the address
}

// maxPathBytes is the maximum length of the path of a Unix socket (sun_path without its terminating zero).
const maxPathBytes = 107

// Parse parses IP:PORT, or unix:PATH with an absolute path.
func Parse(text string) (Addr, error) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		switch {
		case !strings.HasPrefix(path, "/"):
			return Addr{}, fmt.Errorf("%q: the path of a Unix socket must begin with /", text)
		case len(path) > maxPathBytes || strings.Contains(path, "\x00"):
			return Addr{}, fmt.Errorf(
				"%q: the path of a Unix socket is longer than %d bytes, or contains a zero byte",
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
