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

// Replay is recorded traffic that replaces the drawn requests of a day.
type Replay struct {
	requests  []traffic.Request   // without retries, in the order of arrival
	startedAt wallclock.UnixMicro // arrival of the first request
	classes   []int               // index in the scenario of each class of the recording
	tenants   []int               // index in the scenario of each tenant of the recording
	rate      float64             // factor of the recorded request rate
	Retries   int                 // recorded requests that were recognized as retries and left out
}

// maxJitter is the largest time by which the copy of a request is moved, earlier or later. Without jitter the
// copies would arrive together with their originals, as bursts.
const maxJitter = 250 * time.Millisecond

// requestBodyBytes is the size of the body of a request, which is its ID.
const requestBodyBytes = 8

// RecordingError reports that a recording cannot be replayed with a scenario.
type RecordingError struct{ Reason string }

// Error implements error.
func (e *RecordingError) Error() string { return "day: " + e.Reason }

func recordingErrorf(format string, v ...any) error {
	return &RecordingError{fmt.Sprintf(format, v...)}
}

// WithTraffic returns the scenario with recorded traffic in place of drawn requests; rate is the factor of the
// recorded request rate. The day is as long as the recording. The fleet, the faults and the work of requests
// are still drawn from the scenario, as a recording contains no work. WithTraffic returns a RecordingError if
// the scenario lacks a class or tenant of the recording, if the recording is empty or longer than 24 hours, or
// if rate is not above 0 and at most 100.
func (s *Spec) WithTraffic(rec *traffic.Recording, rate float64) (*Spec, *Replay, error) {
	if !(rate > 0 && rate <= 100) {
		return nil, nil, recordingErrorf("a rate of %v times the recorded one is not above 0 and at most 100", rate)
	}
	if len(rec.Requests) == 0 {
		return nil, nil, recordingErrorf("the recording of %s holds no requests", rec.Runner)
	}
	r := &Replay{rate: rate}
	for _, name := range rec.Classes {
		i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
		if i < 0 {
			return nil, nil, recordingErrorf("the recording has a class %q, which %s does not define", name, s.Name)
		}
		r.classes = append(r.classes, i)
	}
	for _, name := range rec.Tenants {
		i := slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
		if i < 0 {
			return nil, nil, recordingErrorf("the recording has a tenant %q, which %s does not define", name, s.Name)
		}
		r.tenants = append(r.tenants, i)
	}
	r.requests, r.Retries = rec.WithoutRetries(
		func(class int) time.Duration {
			return virtualclock.FromMillis(s.Classes[r.classes[class]].DeadlineMs)
		},
	)
	r.startedAt = r.requests[0].ArrivedAt
	out := *s
	out.replay = r
	out.LengthS = math.Ceil(float64(r.requests[len(r.requests)-1].ArrivedAt-r.startedAt+1) / microsPerSecond)
	if out.LengthS > maxLengthS {
		return nil, nil, recordingErrorf("the recording spans %.0f s, more than a day of 24 hours", out.LengthS)
	}
	out.WindowS = min(out.WindowS, out.LengthS)
	return &out, r, nil
}

// replayArrivals takes the requests of the day from the recording. At a rate above 1, requests are copied with
// jitter; below 1, requests are left out. Which requests those are, and the work of each, is drawn for each
// day.
func (d *Day) replayArrivals() {
	replay := d.Spec.replay
	draws := d.newRequestDraws()
	id := uint64(0)
	for i := range replay.requests {
		copies := int(replay.rate + Unit(d.Seed, "copies", uint64(i)))
		for copied := range copies {
			id++
			d.Arrivals = append(d.Arrivals, d.replayArrival(&replay.requests[i], id, copied > 0, draws))
		}
	}
	slices.SortStableFunc(d.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	quotas := d.newQuotas()
	for i := range d.Arrivals {
		quotas.count(&d.Arrivals[i])
	}
	d.RequestRate = float64(len(d.Arrivals)) / d.Spec.LengthS
}

// replayArrival returns the arrival of a recorded request, or with jittered that of a copy at another time.
func (d *Day) replayArrival(recorded *traffic.Request, id uint64, jittered bool, draws *requestDraws) Arrival {
	replay := d.Spec.replay
	recordedAt := recorded.ArrivedAt.Sub(replay.startedAt)
	at := recordedAt
	if jittered {
		u := 2*Unit(d.Seed, "jitter", id) - 1
		at += virtualclock.FromMicros(u * virtualclock.Micros(maxJitter))
	}
	if at < 0 || at >= d.Length {
		at = recordedAt
	}
	a := Arrival{
		At:       at,
		ID:       id,
		Class:    replay.classes[recorded.Class],
		Tenant:   replay.tenants[recorded.Tenant],
		Balancer: int(recorded.Caller) % len(d.Balancers),
	}
	draws.draw(&a, Stream(d.Seed, "request", id))
	a.SizeKB = float64(recorded.SizeKB)
	a.Rank = float64(recorded.Rank)
	if !(a.SizeKB > 0) {
		a.SizeKB = d.HoldKB
	}
	return a
}

// Record returns the requests of a day as a recording of a single runner that read all of them, without
// retries.
func (d *Day) Record(startedAt wallclock.UnixMicro) (header traffic.Header, requests []traffic.Request) {
	header = traffic.Header{Runner: d.Spec.Name, StartedAt: startedAt}
	for _, c := range d.Spec.Classes {
		header.Classes = append(header.Classes, c.Name)
	}
	for _, t := range d.Spec.Tenants {
		header.Tenants = append(header.Tenants, t.Name)
	}
	for _, a := range d.Arrivals {
		q := traffic.Request{
			ArrivedAt: startedAt.Add(a.At),
			Class:     uint16(a.Class),
			Tenant:    uint16(a.Tenant),
			Caller:    uint32(a.Balancer),
			SizeKB:    float32(a.SizeKB),
			Rank:      float32(a.Rank),
			BodyHash:  Mix(d.Seed, "body", a.ID),
			BodyBytes: requestBodyBytes,
		}
		if d.Spec.Classes[a.Class].Effect == EffectKeyed {
			q.KeyHash = Mix(d.Seed, "key", a.ID)
		}
		requests = append(requests, q)
	}
	return header, requests
}
