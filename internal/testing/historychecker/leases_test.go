package historychecker

import (
	"testing"
	"time"
)

// CheckLeases must find each kind of violation, and none in a regular handover.
func TestCheckLeases(t *testing.T) {
	at := func(ms int, server string, token uint64, holder string, accepted bool) LeaseEffect {
		return LeaseEffect{
			Server:   server,
			At:       time.UnixMilli(int64(ms)),
			Lease:    "d",
			Token:    token,
			Holder:   holder,
			Accepted: accepted,
		}
	}
	for name, c := range map[string]struct {
		effects []LeaseEffect
		wrong   int // number of violations
	}{
		"handover": {
			[]LeaseEffect{
				at(1, "a", 1, "n1", true),
				at(2, "b", 1, "n1", true),
				at(3, "a", 2, "n2", true),
				at(4, "a", 1, "n1", false),
			},
			0,
		},
		"former holder within the delay": {
			[]LeaseEffect{at(1, "a", 1, "n1", true), at(3, "a", 2, "n2", true), at(5, "b", 1, "n1", true)},
			0,
		},
		"one token of two holders":   {[]LeaseEffect{at(1, "a", 1, "n1", true), at(3, "b", 1, "n2", true)}, 1},
		"lower token accepted":       {[]LeaseEffect{at(1, "a", 2, "n1", true), at(3, "a", 1, "n2", true)}, 1},
		"holders overlap at servers": {[]LeaseEffect{at(1, "a", 2, "n1", true), at(300, "b", 1, "n2", true)}, 1},
	} {
		if v := CheckLeases(c.effects, 100*time.Millisecond); len(v) != c.wrong {
			t.Errorf("%s: unexpected number of violations: %v", name, v)
		}
	}
}
