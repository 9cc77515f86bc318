package tracing

import (
	"golang.org/x/time/rate"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// Sampler decides, when a request is answered, whether its spans are written: they are if its trace is
// sampled or if it did not succeed. Each class and status has a rate limit of its own, so that a flood of
// one takes nothing from the others. It is not safe for concurrent use.
type Sampler struct {
	maxPerSecond int
	limiters     map[limiterKey]*rate.Limiter
}

type limiterKey struct {
	class  int
	status lifecycle.Status
}

// NewSampler returns a sampler that accepts at most maxPerSecond requests of each class and status per
// second.
func NewSampler(maxPerSecond int) *Sampler {
	return &Sampler{maxPerSecond: maxPerSecond, limiters: map[limiterKey]*rate.Limiter{}}
}

// Sample reports whether the spans of a request are written. sampled tells whether its trace is sampled,
// and now is the time of its answer.
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

// isSuccess reports whether a request was answered with the result of a run, or is a duplicate of one that
// ran and whose result is not available.
func isSuccess(s lifecycle.Status) bool { return s == lifecycle.Served || s == lifecycle.ResultLost }
