package registry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/testing/scenario"
)

// registry is a roster that hears reports.
func registry(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func expect(t *testing.T, c *net.UDPConn, want string) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 64)
	n, err := c.Read(b)
	if err != nil || string(b[:n]) != want {
		t.Fatalf("heard %q, %v; want %q", b[:n], err, want)
	}
}

// withoutDescriptors does something while the process can open no descriptor.
func withoutDescriptors(t *testing.T, do func()) {
	t.Helper()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0) // the lowest that is free
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

func TestReportsBeginOnceADescriptorIsFree(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	c, addr := registry(t)
	var r *Reporter
	withoutDescriptors(t, func() {
		var err error
		if r, err = Start(s.Loop, addr, "n3"); err == nil || r == nil {
			t.Errorf("reporter %v, error %v", r, err)
		}
	})
	s.Advance(reportInterval)
	expect(t, c, "HERE n3 on")
}

// While no descriptor is free, reports go to the former address of the registry, and then to the new one.
func TestOldAddressIsUsedUntilADescriptorIsFree(t *testing.T) {
	s := scenario.NewSteppedLoop(t)
	first, addr := registry(t)
	second, next := registry(t)
	r, err := Start(s.Loop, addr, "n3")
	if err != nil {
		t.Fatal(err)
	}
	expect(t, first, "HERE n3 on")
	withoutDescriptors(t, func() {
		if err := r.SetAddress(next); err == nil {
			t.Error("moved without a descriptor")
		}
	})
	expect(t, first, "HERE n3 on")
	s.Advance(reportInterval)
	expect(t, second, "HERE n3 on")
	r.SetAvailable(false)
	expect(t, second, "HERE n3 off")
}
