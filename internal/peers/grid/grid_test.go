package grid

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Of any number of runners each has links with no more than two roots of them, a link is one of
// both sides, and whoever has none is reached over one relay that has links with both.
func TestReached(t *testing.T) {
	for n := 1; n <= 300; n += 1 + n/7 {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("n%03d", (i*7)%1000))
		}
		g := New(names, 8)
		most := 2 * (int(math.Ceil(math.Sqrt(float64(n)))) - 1)
		if n <= 8 {
			most = n - 1
		}
		for _, a := range names {
			peers := g.Neighbors(a)
			if len(peers) > most {
				t.Errorf("of %d %s has links with %d, over %d", n, a, len(peers), most)
			}
			for _, b := range names {
				near := slices.Contains(peers, b)
				if a == b {
					continue
				}
				if near != g.Linked(b, a) {
					t.Errorf("of %d %s and %s do not agree", n, a, b)
				}
				relays := g.Relays(a, b)
				if near != (len(relays) == 0) {
					t.Errorf("of %d, %s reaches %s over %v", n, a, b, relays)
				}
				for _, r := range relays {
					if !g.Linked(a, r) || !g.Linked(r, b) {
						t.Errorf("of %d, %s is to reach %s over %s", n, a, b, r)
					}
				}
			}
		}
	}
}

// Who is not in the names is near nobody, and not reached.
func TestStranger(t *testing.T) {
	g := New([]string{"a", "b", "c", "d", "e"}, 2)
	if g.Linked("a", "z") || g.Linked("z", "z") || len(g.Relays("a", "z"))+len(g.Relays("z", "a")) > 0 ||
		len(g.Neighbors("z")) > 0 {
		t.Error("a stranger is reached")
	}
}
