package tracing

import (
	"time"

	"golang.org/x/time/rate"

	"ryepaddle/internal/lifecycle"
)

// Sampler decides of which requests spans are written, once their ends are known: of those that
// their callers or the share chose, and of each that was not served. A flood of one class and end
// has no part in what others may write.
type Sampler struct {
	perSecond int
	strata    map[stratum]*rate.Limiter
}

type stratum struct {
	class int
	kind  lifecycle.Status
}

// NewSampler makes one that keeps at most so many requests of a class and an end in a second.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, strata: map[stratum]*rate.Limiter{}}
}

// Sample decides about a request that was answered just now, by Unix time.
func (s *Sampler) Sample(t *lifecycle.Trace, chosen bool, now int64) bool {
	if !chosen && (t.Status == lifecycle.Served || t.Status == lifecycle.ResultLost) {
		return false
	}
	key := stratum{t.Class, t.Status}
	l := s.strata[key]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(s.perSecond), s.perSecond)
		s.strata[key] = l
	}
	return l.AllowN(time.UnixMicro(now), 1)
}
