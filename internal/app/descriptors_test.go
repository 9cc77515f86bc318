package app

import (
	"net/netip"
	"testing"

	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/admin"
	"ryepaddle/internal/platform/backend"
)

// Balancers get at least half of the descriptors that the platform allows, and the shares and the reserved
// descriptors together stay within the limit. Otherwise the links to the engine, registry and operators
// would find no descriptor while callers use their whole share.
func TestDescriptorSharesStayWithinLimit(t *testing.T) {
	adminAddr := netip.MustParseAddrPort("127.0.0.1:1")
	for _, c := range []struct {
		maxDescriptors int
		hasAdmin       bool
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
		cfg := &config.Platform{MaxDescriptors: c.maxDescriptors}
		reserved := reservedDescriptors
		if c.hasAdmin {
			cfg.Admin = adminAddr
			reserved += admin.MaxDescriptors
		}
		got := shareDescriptors(cfg, nil)
		if got.balancers < c.maxDescriptors/2 || got.backend < minBackendDescriptors ||
			got.backend > backend.MaxConnections {
			t.Errorf("max descriptors %d: shares = %+v, want them within their bounds", c.maxDescriptors, got)
		}
		if sum := got.balancers + got.backend + reserved; sum > c.maxDescriptors {
			t.Errorf("max descriptors %d: shares and reserve sum = %d, want at most the maximum", c.maxDescriptors, sum)
		}
	}
}
