package cluster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/wallclock"
)

const (
	maxSubmissions  = 4   // submissions of a request by its client, the first one included
	clientAddresses = 4   // number of callers that the submissions are spread over
	workSigma       = 0.5 // of the lognormal distribution of the work, whose mean is that of the class
)

// clientRequest is a request of a client, who submits it again after a rejection.
type clientRequest struct {
	simulation  *simulation
	class       int
	firstSentAt time.Duration
	work        float64 // in microseconds of a warm worker
	key         string
	submissions int // so far
	answered    bool
}

// startArrivals starts the arrivals of the day, a Poisson process over all classes.
func (s *simulation) startArrivals() {
	r := day.Stream(s.seed, "arrivals", 0)
	rate := s.spec.Load * float64(s.spec.workers()) / meanWork() // per microsecond
	s.arriveUntil(r, rate, func() bool {
		return s.scheduler.Now()-virtualclock.Origin >= virtualclock.FromSeconds(s.spec.Seconds)
	}, drawClass)
}

// startFlood schedules the additional arrivals of FaultFlood, a Poisson process of one class.
func (s *simulation) startFlood(fault Fault) {
	r := day.Stream(s.seed, "flood", uint64(fault.Class))
	rate := fault.Share * float64(s.spec.workers()) / (classes[fault.Class].Work * 1000) // per microsecond
	s.at(fault.From, func() {
		s.arriveUntil(r, rate, func() bool {
			return virtualclock.Micros(s.scheduler.Now()-virtualclock.Origin) >= fault.To*1e6
		}, func(*rand.Rand) int { return fault.Class })
	})
}

// arriveUntil starts requests at a rate per microsecond until ended returns true.
func (s *simulation) arriveUntil(
	r *rand.Rand,
	rate float64,
	ended func() bool,
	class func(r *rand.Rand) int,
) {
	var arrive func()
	arrive = func() {
		if ended() {
			return
		}
		s.newRequest(class(r), r)
		gap := virtualclock.FromMicros(r.ExpFloat64()/rate) + virtualclock.Resolution
		s.scheduler.After(gap, arrive)
	}
	arrive()
}

// drawClass draws a class in proportion to the shares.
func drawClass(r *rand.Rand) int {
	u := r.Float64()
	class := 0
	for class < len(classes)-1 && u >= classes[class].Share {
		u -= classes[class].Share
		class++
	}
	return class
}

// newRequest draws the work of a request of a class and submits the request.
func (s *simulation) newRequest(class int, r *rand.Rand) {
	request := &clientRequest{
		simulation:  s,
		class:       class,
		firstSentAt: s.scheduler.Now(),
		work:        classes[class].Work * 1000 * math.Exp(workSigma*r.NormFloat64()-workSigma*workSigma/2),
	}
	if classes[class].Keyed {
		request.key = fmt.Sprint("key", s.stats.requests)
	}
	s.stats.countRequest(request)
	request.submit()
}

// submit submits the request, for the first time or again.
func (r *clientRequest) submit() {
	s := r.simulation
	r.submissions++
	s.submissions++
	now := s.scheduler.Now()
	firstSentAt := wallclock.UnixMicro(0)
	if s.sendsFirstSentAt {
		firstSentAt = unixOrigin.Add(r.firstSentAt)
	}
	s.manager.Submit(&lifecycle.Request{
		ID:          fmt.Sprint("r", s.submissions),
		FirstSentAt: firstSentAt,
		Class:       r.class,
		Caller:      uint32(1 + s.submissions%clientAddresses),
		ArrivedAt:   unixOrigin.Add(now),
		Timeout:     virtualclock.FromMillis(classes[r.class].Deadline) - (now - r.firstSentAt),
		SizeKB:      1,
		Rank:        0.5,
		Key:         r.key,
		Entity:      uint64(s.submissions),
		Body:        []byte(r.key),
		Metadata:    []lifecycle.Field{{Name: "work", Value: fmt.Sprint(r.work)}},
		Responder:   r,
	})
}

// Answer implements lifecycle.Responder.
func (r *clientRequest) Answer(answer lifecycle.Answer) {
	if r.answered {
		panic("cluster: a request was answered twice")
	}
	s := r.simulation
	latency := s.scheduler.Now() - r.firstSentAt
	switch answer.Status {
	case lifecycle.Served:
		s.stats.countServed(r, latency)
	case lifecycle.Rejected:
		s.stats.rejections++
		if r.submitAgain(answer.RetryAfter, latency) {
			return
		}
		s.stats.failed++
	default:
		s.stats.failed++
	}
	r.answered = true
	s.stats.countEnd(r)
}

// submitAgain schedules another submission of a rejected request after Retry-After with jitter. It returns
// false if the request has no submission left or not enough time before its deadline.
func (r *clientRequest) submitAgain(retryAfter, elapsed time.Duration) bool {
	s := r.simulation
	c := &classes[r.class]
	jitter := virtualclock.FromMicros(s.clients.Float64() * virtualclock.Micros(retryAfter))
	wait := retryAfter.Truncate(virtualclock.Resolution) + jitter
	enoughTime := elapsed+wait+virtualclock.FromMillis(c.Work) < virtualclock.FromMillis(c.Deadline)
	if r.submissions >= maxSubmissions || !enoughTime {
		return false
	}
	s.scheduler.After(wait, r.submit)
	return true
}
