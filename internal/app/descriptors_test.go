package app

import (
	"net/netip"
	"testing"

	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/admin"
	"ryepaddle/internal/platform/backend"
)

// Balancers get the half that the platform lets them open, and what callers cannot take is enough
// for the rest.
func TestDescriptorSharesStayWithinLimit(t *testing.T) {
	door := netip.MustParseAddrPort("127.0.0.1:1")
	for _, c := range []struct {
		sockets int
		door    bool
	}{
		{64, false},
		{96, true},
		{96, false},
		{128, true},
		{192, true},
		{256, false},
		{512, true},
		{1024, true},
		{4096, true},
	} {
		cfg := &config.Platform{MaxDescriptors: c.sockets}
		kept := reservedDescriptors
		if c.door {
			cfg.Admin = door
			kept += admin.MaxDescriptors
		}
		got := shareDescriptors(cfg, nil)
		if got.balancers < c.sockets/2 || got.backend < minBackendDescriptors ||
			got.backend > backend.MaxConnections {
			t.Errorf("%d sockets: %+v", c.sockets, got)
		}
		if sum := got.balancers + got.backend + kept; sum > c.sockets {
			t.Errorf("%d sockets: %d are shared out and kept back", c.sockets, sum)
		}
	}
}
