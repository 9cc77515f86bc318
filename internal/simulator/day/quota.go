package day

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// quotaBurstS is the burst of a quota: the seconds of its quota that a tenant may use at once.
const quotaBurstS = 2

// quotaBuckets holds a token bucket for each tenant, which decide which requests are within the quotas.
type quotaBuckets struct {
	rates, tokens []float64 // by tenant; rates in requests per second
	refilledAt    time.Duration
}

func (d *Day) newQuotas() *quotaBuckets {
	b := &quotaBuckets{rates: d.Quotas, tokens: make([]float64, len(d.Quotas))}
	for i, rate := range b.rates {
		b.tokens[i] = quotaBurstS * rate
	}
	return b
}

// count sets InShare of a request and takes a token of its tenant if there is one. It must be called in the
// order of arrival. All requests of a tenant without a quota are within it.
func (b *quotaBuckets) count(a *Arrival) {
	elapsed := virtualclock.Micros(a.At - b.refilledAt)
	for i := range b.tokens {
		b.tokens[i] = min(b.tokens[i]+b.rates[i]*elapsed/microsPerSecond, quotaBurstS*b.rates[i])
	}
	b.refilledAt = a.At
	a.InShare = b.tokens[a.Tenant] >= 1 || b.rates[a.Tenant] <= 0
	if a.InShare {
		b.tokens[a.Tenant] = max(b.tokens[a.Tenant]-1, 0)
	}
}
