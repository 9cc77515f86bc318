package registry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/testing/scenario"
)

// listen opens a UDP socket that takes the place of the registry.
func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// expect reads the next report and compares it.
func expect(t *testing.T, c *net.UDPConn, want string) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 64)
	n, err := c.Read(b)
	if err != nil || string(b[:n]) != want {
		t.Fatalf("report = %q, error %v; want %q", b[:n], err, want)
	}
}

// withoutDescriptors calls do while the process cannot open a file descriptor.
func withoutDescriptors(t *testing.T, do func()) {
	t.Helper()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0) // the lowest free descriptor
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(next)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next), Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	do()
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
}

// If no descriptor is free at the start, the reporter opens its socket at a later report.
func TestReportsBeginOnceADescriptorIsFree(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	c, addr := listen(t)
	var r *Reporter
	withoutDescriptors(t, func() {
		var err error
		if r, err = Start(s.Loop, addr, "n3"); err == nil || r == nil {
			t.Errorf("Start() = %v, %v; want a reporter and an error", r, err)
		}
	})
	s.Advance(reportInterval)
	expect(t, c, "HERE n3 on")
}

// While no descriptor is free for a socket to a new address of the registry, reports are sent to the
// previous address.
func TestOldAddressIsUsedUntilADescriptorIsFree(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	first, addr := listen(t)
	second, next := listen(t)
	r, err := Start(s.Loop, addr, "n3")
	if err != nil {
		t.Fatal(err)
	}
	expect(t, first, "HERE n3 on")
	withoutDescriptors(t, func() {
		if err := r.SetAddress(next); err == nil {
			t.Error("SetAddress() = nil without a free descriptor, want an error")
		}
	})
	expect(t, first, "HERE n3 on")
	s.Advance(reportInterval)
	expect(t, second, "HERE n3 on")
	r.SetAvailable(false)
	expect(t, second, "HERE n3 off")
}
