package picker

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestAliasTableDrawsByWeight(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var table aliasTable
	for _, weights := range [][]float64{{1}, {1, 2, 3, 4}, {0, 0, 5}, {0.1, 100, 0.1, 0}, {3, 3, 3, 3, 3, 3, 3}} {
		if !table.build(weights) {
			t.Fatalf("build(%v) = false, want true", weights)
		}
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		got := make([]float64, len(weights))
		for range 100_000 {
			got[table.draw(r)]++
		}
		for i, w := range weights {
			if share := got[i] / 100_000; math.Abs(share-w/sum) > 0.01 || w == 0 && share > 0 {
				t.Errorf("weights %v: share of draws of index %d = %.3f, want about %.3f", weights, i, share, w/sum)
			}
		}
	}
	if table.build([]float64{0, 0}) || table.build(nil) {
		t.Error("build() without a weight above 0 = true, want false")
	}
}
