package picker

import "math/rand/v2"

// aliasTable draws an index at random by weights, in constant time: Walker's alias method in Vose's
// form. build reuses its memory.
type aliasTable struct {
	keep  []float64 // by index: the probability to return it when it is drawn
	alias []int32   // by index: the index to return otherwise
	stack []int32   // used only by build
}

// build sets the weights, which must not be negative. It reports whether one of them is above 0.
func (t *aliasTable) build(weights []float64) bool {
	n := len(weights)
	if cap(t.keep) < n {
		t.keep = make([]float64, n)
		t.alias = make([]int32, n)
		t.stack = make([]int32, n)
	}
	t.keep, t.alias, t.stack = t.keep[:n], t.alias[:n], t.stack[:n]
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	if sum <= 0 {
		t.keep = t.keep[:0]
		return false
	}
	// Indexes with weights below the mean are stacked from the left, the others from the right.
	small := 0
	large := n
	for i, weight := range weights {
		t.keep[i] = weight * float64(n) / sum
		t.alias[i] = int32(i)
		if t.keep[i] < 1 {
			t.stack[small] = int32(i)
			small++
		} else {
			large--
			t.stack[large] = int32(i)
		}
	}
	for small > 0 && large < n {
		below := t.stack[small-1]
		above := t.stack[large]
		small--
		t.alias[below] = above
		t.keep[above] -= 1 - t.keep[below]
		if t.keep[above] < 1 {
			large++
			t.stack[small] = above
			small++
		}
	}
	// The remaining ones differ from the mean only by rounding errors.
	for _, i := range t.stack[:small] {
		t.keep[i] = 1
	}
	for _, i := range t.stack[large:] {
		t.keep[i] = 1
	}
	return true
}

// draw returns a random index. The last build must have returned true.
func (t *aliasTable) draw(random *rand.Rand) int {
	i := random.IntN(len(t.keep))
	if random.Float64() < t.keep[i] {
		return i
	}
	return int(t.alias[i])
}
