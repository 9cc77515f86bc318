package picker

import "math/rand/v2"

// aliasTable draws one of many places by their weights in constant time: Walker's alias method, in
// the form of Vose. It is rebuilt in the memory that it has.
type aliasTable struct {
	keep  []float64 // by place: the probability to stay there when it is drawn
	alias []int32   // by place: where to go otherwise
	stack []int32   // used by build alone
}

// build takes weights, which are not negative. It reports whether there is a place to draw.
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
	// Places below the mean are stacked from the left, those above it from the right.
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
	// The rest differs from the mean by rounding alone.
	for _, i := range t.stack[:small] {
		t.keep[i] = 1
	}
	for _, i := range t.stack[large:] {
		t.keep[i] = 1
	}
	return true
}

// draw returns a place. The last build must have reported that there is one.
func (t *aliasTable) draw(random *rand.Rand) int {
	i := random.IntN(len(t.keep))
	if random.Float64() < t.keep[i] {
		return i
	}
	return int(t.alias[i])
}
