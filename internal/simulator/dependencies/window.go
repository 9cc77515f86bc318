package dependencies

// slidingWindow keeps the last samples of an integral that is sampled at a fixed interval, and computes
// the growth of the integral over the window.
type slidingWindow struct {
	samples []float64 // ring buffer
	next    int
	added   int // number of samples so far
}

func newSlidingWindow(samples int) slidingWindow {
	return slidingWindow{samples: make([]float64, samples)}
}

// add adds a sample. It returns the growth since the oldest sample of the window, and how many samples
// ago that sample was taken.
func (w *slidingWindow) add(value float64) (growth float64, samples int) {
	oldest := w.samples[w.next]
	if w.added < len(w.samples) {
		oldest = w.samples[0]
	}
	samples = min(w.added, len(w.samples))
	if w.added == 0 {
		oldest = value
	}
	w.samples[w.next] = value
	w.next = (w.next + 1) % len(w.samples)
	w.added++
	return value - oldest, samples
}
