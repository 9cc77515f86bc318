package endpointhealth

const (
	buckets = 8
	bucket  = 1_000_000 // microseconds
)

// window counts ends of requests over the last 8 s.
type window struct {
	at        int64 // number of the newest bucket
	good, bad [buckets]uint32
}

func (w *window) roll(now int64) int64 {
	n := now / bucket
	switch {
	case n-w.at >= buckets:
		*w = window{at: n}
	default:
		for ; w.at < n; w.at++ {
			w.good[(w.at+1)%buckets], w.bad[(w.at+1)%buckets] = 0, 0
		}
	}
	return w.at % buckets
}

func (w *window) add(now int64, failed bool) {
	if i := w.roll(now); failed {
		w.bad[i]++
	} else {
		w.good[i]++
	}
}

func (w *window) sum(now int64) (good, bad int) {
	w.roll(now)
	for i := range buckets {
		good, bad = good+int(w.good[i]), bad+int(w.bad[i])
	}
	return good, bad
}
