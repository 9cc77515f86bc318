package endpointhealth

import "time"

// The outlier window consists of the last outlierBuckets buckets, each of length bucketSpan.
const (
	outlierBuckets = 8
	bucketSpan     = time.Second
)

// outcomeWindow counts outcomes in a sliding window.
type outcomeWindow struct {
	newest    int64 // number of the newest bucket, counted from the monotonic time 0
	successes [outlierBuckets]uint32
	failures  [outlierBuckets]uint32
}

// advance clears the buckets that lie before the window at now, and returns the index of the newest
// bucket.
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

// outcomeCounts holds the sums of outcomes over a window.
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

// failureRate returns the share of failures, 0 to 1; 0 if there were no requests.
func (c outcomeCounts) failureRate() float64 {
	return float64(c.failures) / float64(max(c.total(), 1))
}
