package balance

import (
	"time"

	"pgregory.net/rapid"

	"ryepaddle/internal/simulator/virtualclock"
)

// scriptedTransport records the calls of a balancer and answers attempts by a function.
type scriptedTransport struct {
	clock    *virtualclock.Scheduler
	balancer *Balancer
	answer   func(attempt *Attempt) (Answer, time.Duration) // and the delay of the answer; negative: no answer
	sent     []*Attempt
	aborts   int
	outcomes map[uint64][]Outcome
	checks   []int // servers of the health checks
}

func (transport *scriptedTransport) Send(attempt *Attempt) {
	transport.sent = append(transport.sent, attempt)
	if answer, delay := transport.answer(attempt); delay >= 0 {
		transport.clock.After(delay, func() { transport.balancer.Answered(attempt, answer) })
	}
}

func (transport *scriptedTransport) Abort(*Attempt) { transport.aborts++ }

func (transport *scriptedTransport) Check(i int) { transport.checks = append(transport.checks, i) }

func (transport *scriptedTransport) Finish(r *Request, outcome Outcome, _ *Attempt) {
	transport.outcomes[r.ID] = append(transport.outcomes[r.ID], outcome)
}

// servers returns the servers of the attempts, in the order of sending.
func (transport *scriptedTransport) servers() (indices []int) {
	for _, attempt := range transport.sent {
		indices = append(indices, attempt.Server)
	}
	return indices
}

// submit submits n requests, 10 ms apart.
func (transport *scriptedTransport) submit(n int, r Request) {
	for i := range n {
		q := r
		q.ID = uint64(i + 1)
		if q.Deadline == 0 {
			q.Deadline = time.Second
		}
		transport.balancer.Submit(&q)
		transport.clock.RunUntil(transport.clock.Now() + 10*time.Millisecond)
	}
}

// hashDraw implements Draw.
func hashDraw(request uint64, number, purpose int) float64 {
	return float64(rendezvousScore(request*31+uint64(number), purpose)>>11) / (1 << 53)
}

// newBalancerWithServers returns the transport of a balancer with n listed servers.
func newBalancerWithServers(n int, h Behavior, answer func(*Attempt) (Answer, time.Duration)) *scriptedTransport {
	transport := &scriptedTransport{
		clock:    virtualclock.New(),
		answer:   answer,
		outcomes: map[uint64][]Outcome{},
	}
	if h.AttemptTimeout == 0 {
		h.AttemptTimeout = 1
	}
	transport.balancer = New(7, n, h, transport.clock, transport, hashDraw)
	transport.balancer.nextServer = 0
	for i := range n {
		transport.balancer.SetListed(i, true)
	}
	return transport
}

// answerWith returns a function that answers every attempt with the same kind, after the same delay.
func answerWith(k Kind, after time.Duration) func(*Attempt) (Answer, time.Duration) {
	return func(*Attempt) (Answer, time.Duration) { return Answer{Kind: k, AdvertisedCredit: NoCredit}, after }
}

// drawBehavior draws a random behavior of a balancer.
func drawBehavior(t *rapid.T) Behavior {
	return Behavior{
		Policy: rapid.SampledFrom(Policies).Draw(t, "policy"),
		Retry: rapid.SampledFrom([]Retry{RetryNever, RetryBounded, RetryUnlimited}).Draw(
			t,
			"retry",
		),
		MaxAttempts:         rapid.IntRange(1, 5).Draw(t, "attempts"),
		RetryBudget:         rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "budget"),
		RetryPause:          time.Duration(rapid.Int64Range(0, 60_000).Draw(t, "pause")) * time.Microsecond,
		AttemptTimeout:      rapid.SampledFrom([]float64{0.05, 0.4, 1}).Draw(t, "timeout"),
		HedgeDelay:          rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond}).Draw(t, "hedge"),
		FollowsAdvice:       rapid.Bool().Draw(t, "advice"),
		CreditTTL:           time.Second,
		HealthCheckInterval: rapid.SampledFrom([]time.Duration{0, 70 * time.Millisecond}).Draw(t, "checks"),
		EjectAfterFailures:  rapid.IntRange(0, 2).Draw(t, "eject"),
		EjectionTime:        300 * time.Millisecond,
		ThrottleFactor:      rapid.SampledFrom([]float64{0, 2}).Draw(t, "throttle"),
		SubsetSize:          rapid.IntRange(0, 3).Draw(t, "subset"),
		Sticky:              rapid.Bool().Draw(t, "sticky"),
	}
}

// newRandomServers returns the transport of a balancer with n servers whose answers are drawn; one server may
// never answer. It fails the test on an attempt that the behavior forbids.
func newRandomServers(t *rapid.T, h Behavior, n int) *scriptedTransport {
	kinds := rapid.SliceOfN(
		rapid.SampledFrom([]Kind{Served, Rejected, Failed, Unreachable}),
		n,
		n,
	).Draw(
		t,
		"kinds",
	)
	silent := rapid.IntRange(-1, n-1).Draw(t, "silent")
	var transport *scriptedTransport
	transport = newBalancerWithServers(n, h, func(attempt *Attempt) (Answer, time.Duration) {
		if !transport.balancer.servers[attempt.Server].listed {
			t.Fatalf("attempt at server %d, which is not listed", attempt.Server)
		}
		if h.Retry == RetryBounded && attempt.Number >= h.MaxAttempts+1 { // one more for the hedged attempt
			t.Fatalf("attempt %d, want at most %d and a hedged one", attempt.Number+1, h.MaxAttempts)
		}
		if attempt.Server == silent {
			return Answer{}, -1
		}
		a := Answer{
			Kind:             kinds[attempt.Server],
			AdvertisedCredit: float64(attempt.Number%3) - 1,
			DoNotRetry:       attempt.Number%4 == 3,
		}
		if attempt.Server%2 == 1 {
			a.RetryAfter = 30 * time.Millisecond
		}
		return a, time.Duration(attempt.Server+1) * 2 * time.Millisecond
	})
	return transport
}
