package picker

import "math/rand/v2"

// alias draws one of many by their weights in constant time (Walker's method, in Vose's form). It
// is laid out anew in the memory that it has.
type alias struct {
	keep  []float64 // chance to stay at the place that was drawn
	other []int32   // and where to go otherwise
	stack []int32
}

// lay takes weights. It reports whether there is anything to draw.
func (a *alias) lay(weights []float64) bool {
	n := len(weights)
	if cap(a.keep) < n {
		a.keep, a.other, a.stack = make([]float64, n), make([]int32, n), make([]int32, n)
	}
	a.keep, a.other, a.stack = a.keep[:n], a.other[:n], a.stack[:n]
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 {
		a.keep = a.keep[:0]
		return false
	}
	// the stack of those below the mean grows from the left, of the others from the right
	small, large := 0, n
	for i, w := range weights {
		a.keep[i], a.other[i] = w*float64(n)/sum, int32(i)
		if a.keep[i] < 1 {
			a.stack[small] = int32(i)
			small++
		} else {
			large--
			a.stack[large] = int32(i)
		}
	}
	for small > 0 && large < n {
		s, l := a.stack[small-1], a.stack[large]
		small--
		a.other[s] = l
		a.keep[l] -= 1 - a.keep[s]
		if a.keep[l] < 1 {
			large++
			a.stack[small] = l
			small++
		}
	}
	// What is left over differs from the mean by rounding alone.
	for _, i := range a.stack[:small] {
		a.keep[i] = 1
	}
	for _, i := range a.stack[large:] {
		a.keep[i] = 1
	}
	return true
}

func (a *alias) draw(r *rand.Rand) int {
	i := r.IntN(len(a.keep))
	if r.Float64() < a.keep[i] {
		return i
	}
	return int(a.other[i])
}
