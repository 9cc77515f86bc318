package day

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/telemetry/traffic"
	"ryepaddle/internal/wallclock"
)

// Replay is recorded traffic in place of what a scenario would draw.
type Replay struct {
	requests  []traffic.Request // first tries, in order
	startedAt wallclock.UnixMicro
	classes   []int // of the recording to those of the scenario
	tenants   []int
	rate      float64
	Further   int // tries that were taken for further ones
}

// jitter is how far a copy of a request is moved when the rate is scaled up, or copies would come
// in pairs.
const jitter = 250 * time.Millisecond

// WithTraffic gives the scenario with recorded traffic, at so many times its rate. The day is as
// long as the recording; fleet, troubles, work and sizes stay the scenario's, for a recording knows
// nothing of the work.
func (s *Spec) WithTraffic(rec *traffic.Recording, rate float64) (*Spec, *Replay, error) {
	if !(rate > 0 && rate <= 100) {
		return nil, nil, fmt.Errorf("day: a rate of %v times the recorded one", rate)
	}
	if len(rec.Requests) == 0 {
		return nil, nil, fmt.Errorf("day: the recording of %s holds no requests", rec.Runner)
	}
	r := &Replay{rate: rate}
	for _, name := range rec.Classes {
		i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
		if i < 0 {
			return nil, nil, fmt.Errorf(
				"day: the recording has a class %q, which %s does not name",
				name,
				s.Name,
			)
		}
		r.classes = append(r.classes, i)
	}
	for _, name := range rec.Tenants {
		i := slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
		if i < 0 {
			return nil, nil, fmt.Errorf(
				"day: the recording has a tenant %q, which %s does not name",
				name,
				s.Name,
			)
		}
		r.tenants = append(r.tenants, i)
	}
	r.requests, r.Further = rec.WithoutRetries(
		func(class int) time.Duration {
			return millis(s.Classes[r.classes[class]].DeadlineMs)
		},
	)
	r.startedAt = r.requests[0].ArrivedAt
	out := *s
	out.replay = r
	out.LengthS = math.Ceil(float64(r.requests[len(r.requests)-1].ArrivedAt-r.startedAt+1) / microsPerSecond)
	if out.LengthS > 86_400 {
		return nil, nil, fmt.Errorf("day: the recording spans %.0f s, more than a day", out.LengthS)
	}
	out.WindowS = min(out.WindowS, out.LengthS)
	return &out, r, nil
}

// replayArrivals takes first tries from a recording. At a higher rate some come twice or more, a
// little apart; at a lower one some are left out. Which, and what they ask of the cores, is drawn
// anew for each day.
func (d *Day) replayArrivals() {
	r, cvs, ranks := d.Spec.replay, d.drawVariations(), d.classRanks()
	id := uint64(0)
	for i, q := range r.requests {
		copies := int(r.rate + Unit(d.Seed, "copies", uint64(i)))
		for k := range copies {
			id++
			at := q.ArrivedAt.Sub(r.startedAt)
			if k > 0 {
				at += virtualclock.FromMicros((2*Unit(d.Seed, "jitter", id) - 1) * virtualclock.Micros(jitter))
			}
			if at < 0 || at >= d.Length {
				at = q.ArrivedAt.Sub(r.startedAt)
			}
			a := Arrival{
				At:       at,
				ID:       id,
				Class:    r.classes[q.Class],
				Tenant:   r.tenants[q.Tenant],
				Balancer: int(q.Caller) % len(d.Balancers),
			}
			d.drawRequest(&a, Stream(d.Seed, "request", id), cvs, ranks)
			a.SizeKB, a.Rank = float64(q.SizeKB), float64(q.Rank)
			if !(a.SizeKB > 0) {
				a.SizeKB = d.HoldKB
			}
			d.Arrivals = append(d.Arrivals, a)
		}
	}
	slices.SortStableFunc(d.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	share := d.newQuotas()
	for i := range d.Arrivals {
		share.count(&d.Arrivals[i])
	}
	d.RequestRate = float64(len(d.Arrivals)) / d.Spec.LengthS
}

// Record gives the traffic of a day as a recording, as if one runner had read it all without
// further tries.
func (d *Day) Record(began wallclock.UnixMicro) (h traffic.Header, requests []traffic.Request) {
	h = traffic.Header{Runner: d.Spec.Name, StartedAt: began}
	for _, c := range d.Spec.Classes {
		h.Classes = append(h.Classes, c.Name)
	}
	for _, t := range d.Spec.Tenants {
		h.Tenants = append(h.Tenants, t.Name)
	}
	for _, a := range d.Arrivals {
		q := traffic.Request{
			ArrivedAt: began.Add(a.At),
			Class:     uint16(a.Class),
			Tenant:    uint16(a.Tenant),
			Caller:    uint32(a.Balancer),
			SizeKB:    float32(a.SizeKB),
			Rank:      float32(a.Rank),
			BodyHash:  Mix(d.Seed, "body", a.ID),
			BodyBytes: 8,
		}
		if d.Spec.Classes[a.Class].Effect == "keyed" {
			q.KeyHash = Mix(d.Seed, "key", a.ID)
		}
		requests = append(requests, q)
	}
	return h, requests
}
