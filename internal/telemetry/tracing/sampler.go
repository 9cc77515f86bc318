package tracing

import (
	"golang.org/x/time/rate"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// Sampler decides of which requests spans are written, once they are answered: of those whose traces
// are sampled, and of all that were not served. Each class and status has a rate limit of its own, so
// that a flood of one takes nothing from the others. It is used by one goroutine.
type Sampler struct {
	maxPerSecond int
	limiters     map[limiterKey]*rate.Limiter
}

type limiterKey struct {
	class  int
	status lifecycle.Status
}

// NewSampler returns a sampler that passes at most a number of requests of a class and status in a
// second.
func NewSampler(maxPerSecond int) *Sampler {
	return &Sampler{maxPerSecond: maxPerSecond, limiters: map[limiterKey]*rate.Limiter{}}
}

// Sample reports whether the spans of a request are written. sampled says that its trace is sampled,
// and now is when it was answered.
func (s *Sampler) Sample(t *lifecycle.Trace, sampled bool, now wallclock.UnixMicro) bool {
	if !sampled && isSuccess(t.Status) {
		return false
	}
	key := limiterKey{t.Class, t.Status}
	l := s.limiters[key]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(s.maxPerSecond), s.maxPerSecond)
		s.limiters[key] = l
	}
	return l.AllowN(now.Time(), 1)
}

// isSuccess reports whether a request ran and got its result, or had run before.
func isSuccess(s lifecycle.Status) bool { return s == lifecycle.Served || s == lifecycle.ResultLost }
