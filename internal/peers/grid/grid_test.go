package grid

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// For any number n of runners, each has at most 2*(ceil(sqrt(n))-1) links, or n-1 in a full mesh. Links
// are symmetric, and two runners without a link have a relay that has links with both.
func TestUnlinkedRunnersHaveRelays(t *testing.T) {
	for n := 1; n <= 300; n += 1 + n/7 {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("n%03d", (i*7)%1000))
		}
		g := New(names, 8)
		maxLinks := 2 * (int(math.Ceil(math.Sqrt(float64(n)))) - 1)
		if n <= 8 {
			maxLinks = n - 1
		}
		for _, a := range names {
			peers := g.Neighbors(a)
			if len(peers) > maxLinks {
				t.Errorf("%d runners: %s has %d links, want at most %d", n, a, len(peers), maxLinks)
			}
			for _, b := range names {
				linked := slices.Contains(peers, b)
				if a == b {
					continue
				}
				if linked != g.Linked(b, a) {
					t.Errorf("%d runners: link between %s and %s is not symmetric", n, a, b)
				}
				relays := g.Relays(a, b)
				if linked != (len(relays) == 0) {
					t.Errorf("%d runners: Relays(%s, %s) = %v, want some only without a link", n, a, b, relays)
				}
				for _, r := range relays {
					if !g.Linked(a, r) || !g.Linked(r, b) {
						t.Errorf("%d runners: no link of %s or %s with their relay %s", n, a, b, r)
					}
				}
			}
		}
	}
}

// A runner that is not in the grid has no links and no relays.
func TestRunnerOutsideGridHasNoLinks(t *testing.T) {
	g := New([]string{"a", "b", "c", "d", "e"}, 2)
	if g.Linked("a", "z") || g.Linked("z", "z") || len(g.Relays("a", "z"))+len(g.Relays("z", "a")) > 0 ||
		len(g.Neighbors("z")) > 0 {
		t.Error("a runner outside the grid has a link or a relay")
	}
}
