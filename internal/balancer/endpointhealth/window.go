package endpointhealth

import "time"

// The outlier window is the last outlierBuckets buckets of bucketSpan.
const (
	outlierBuckets = 8
	bucketSpan     = time.Second
)

// outcomeWindow counts outcomes in a sliding window.
type outcomeWindow struct {
	newest    int64 // number of the newest bucket
	successes [outlierBuckets]uint32
	failures  [outlierBuckets]uint32
}

// advance drops the buckets that now lie before the window, and returns the index of the newest.
func (w *outcomeWindow) advance(now time.Duration) int64 {
	current := int64(now / bucketSpan)
	if current-w.newest >= outlierBuckets {
		*w = outcomeWindow{newest: current}
	}
	for ; w.newest < current; w.newest++ {
		next := (w.newest + 1) % outlierBuckets
		w.successes[next] = 0
		w.failures[next] = 0
	}
	return w.newest % outlierBuckets
}

func (w *outcomeWindow) addSuccess(now time.Duration) { w.successes[w.advance(now)]++ }

func (w *outcomeWindow) addFailure(now time.Duration) { w.failures[w.advance(now)]++ }

// outcomeCounts is the sum over a window.
type outcomeCounts struct{ successes, failures int }

func (w *outcomeWindow) sum(now time.Duration) (c outcomeCounts) {
	w.advance(now)
	for i := range outlierBuckets {
		c.successes += int(w.successes[i])
		c.failures += int(w.failures[i])
	}
	return c
}

func (c outcomeCounts) total() int { return c.successes + c.failures }

// failureRate returns the share of failures, 0 where there were no requests.
func (c outcomeCounts) failureRate() float64 {
	return float64(c.failures) / float64(max(c.total(), 1))
}
