package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/simulator/virtualclock"
)

func TestPoliciesSpreadRequests(t *testing.T) {
	slowFirst := func(attempt *Attempt) (Answer, time.Duration) { // server 0 is slow
		if attempt.Server == 0 {
			return Answer{Kind: Served, AdvertisedCredit: NoCredit}, 400 * time.Millisecond
		}
		return Answer{Kind: Served, AdvertisedCredit: NoCredit}, time.Millisecond
	}
	for _, c := range []struct {
		policy Policy
		wanted func(counts []int) bool // by server
	}{
		{RoundRobin, func(n []int) bool { return n[0] == 20 && n[1] == 20 && n[2] == 20 }},
		{LeastRequests, func(n []int) bool { return n[0] < 5 }},
		{PowerOfTwoChoices, func(n []int) bool { return n[0] < 15 && n[1] > 15 && n[2] > 15 }},
		{WeightedRandom, func(n []int) bool { return n[2] == 0 && n[0] > 5 && n[1] > n[0] }},
		{LeastReportedLoad, func(n []int) bool { return n[1] == 60 }},
		{LeastLatency, func(n []int) bool { return n[0] <= 41 && n[0] < n[1]+n[2]+45 && n[1]+n[2] > 15 }},
		{ConsistentHash, func(n []int) bool { return n[0] == 60 || n[1] == 60 || n[2] == 60 }},
	} {
		t.Run(string(c.policy), func(t *testing.T) {
			transport := newBalancerWithServers(3, Behavior{Policy: c.policy, Retry: RetryNever}, slowFirst)
			transport.balancer.SetWeight(0, 1)
			transport.balancer.SetWeight(1, 3)
			transport.balancer.SetWeight(2, 0)
			transport.balancer.Report(0, 0.9)
			transport.balancer.Report(1, 0.2)
			transport.balancer.Report(2, 0.5)
			transport.submit(60, Request{Idempotent: true, Key: 99})
			counts := make([]int, 3)
			for _, i := range transport.servers() {
				counts[i]++
			}
			if !c.wanted(counts) {
				t.Fatalf("requests by server = %v, which is not as the policy spreads them", counts)
			}
		})
	}
}

func TestUnlimitedRetryGoesThroughTheListUntilTheDeadline(t *testing.T) {
	transport := newBalancerWithServers(
		3,
		Behavior{Policy: RoundRobin, Retry: RetryUnlimited, RetryPause: 50 * time.Millisecond},
		answerWith(Rejected, time.Millisecond),
	)
	transport.balancer.Submit(&Request{ID: 1, Deadline: 200 * time.Millisecond})
	transport.clock.RunUntil(virtualclock.Origin + time.Second)
	if diff := cmp.Diff([]int{0, 1, 2}, transport.servers()[:3]); diff != "" {
		t.Errorf("servers of the first round (-want +got)\n%s", diff)
	}
	if n := len(transport.sent); n < 10 || n > 12 {
		t.Errorf("%d attempts, want four rounds of three", n)
	}
	if diff := cmp.Diff([]Outcome{EndTimedOut}, transport.outcomes[1]); diff != "" {
		t.Errorf("outcomes (-want +got)\n%s", diff)
	}
}

func TestBoundedRetryObservesAttemptsAndBudget(t *testing.T) {
	transport := newBalancerWithServers(
		4,
		Behavior{Policy: RoundRobin, Retry: RetryBounded, MaxAttempts: 3, RetryPause: time.Millisecond},
		answerWith(Failed, time.Millisecond),
	)
	transport.submit(1, Request{Idempotent: true})
	if len(transport.sent) != 3 || transport.outcomes[1][0] != EndFailed {
		t.Fatalf("%d attempts, want 3; outcomes = %v, want a failure", len(transport.sent), transport.outcomes)
	}
	transport = newBalancerWithServers(
		4,
		Behavior{
			Policy:      RoundRobin,
			Retry:       RetryBounded,
			MaxAttempts: 3,
			RetryBudget: 0.1,
			RetryPause:  time.Millisecond,
		},
		answerWith(Failed, time.Millisecond),
	)
	transport.submit(200, Request{Idempotent: true})
	// a tenth of 200, and the initial budget of ten
	if retries := len(transport.sent) - 200; retries < 25 || retries > 31 {
		t.Fatalf("%d retries of 200 requests with a retry budget of a tenth, want 25 to 31", retries)
	}
}

func TestOnlyIdempotentRequestsAreRetriedAfterAFailure(t *testing.T) {
	for _, c := range []struct {
		name  string
		r     Request
		kind  Kind
		stick bool
		want  []int
	}{
		{"idempotent: another server", Request{Idempotent: true}, Failed, true, []int{0, 1, 2}},
		{"keyed and sticky: the same server", Request{Keyed: true}, Failed, true, []int{0, 0, 0}},
		{"keyed: another server", Request{Keyed: true}, Failed, false, []int{0, 1, 2}},
		{"keyed and unreachable: another server", Request{Keyed: true}, Unreachable, true, []int{0, 1, 2}},
		{"neither: not retried", Request{}, Failed, true, []int{0}},
		{"neither, rejected: another server", Request{}, Rejected, true, []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			transport := newBalancerWithServers(
				4,
				Behavior{Policy: RoundRobin, Retry: RetryBounded, MaxAttempts: 3, Sticky: c.stick},
				answerWith(c.kind, time.Millisecond),
			)
			transport.submit(1, c.r)
			if diff := cmp.Diff(c.want, transport.servers()); diff != "" {
				t.Fatalf("servers of the attempts (-want +got)\n%s", diff)
			}
		})
	}
}

func TestTimedOutAttemptsAreAborted(t *testing.T) {
	transport := newBalancerWithServers(
		3,
		Behavior{Policy: RoundRobin, Retry: RetryUnlimited, AttemptTimeout: 0.1},
		answerWith(Served, 150*time.Millisecond),
	)
	transport.submit(1, Request{Idempotent: true, Deadline: time.Second})
	transport.clock.RunUntil(virtualclock.Origin + 2*time.Second)
	if len(
		transport.sent,
	) < 9 || transport.aborts != len(transport.sent) || transport.outcomes[1][0] != EndTimedOut {
		t.Fatalf(
			"%d attempts, want at least 9; %d aborted, want all; outcomes = %v, want a timeout",
			len(transport.sent),
			transport.aborts,
			transport.outcomes,
		)
	}
}

// A slow idempotent request is hedged at another server. The first of the two answers counts, and the other
// attempt is aborted. A keyed request is not hedged.
func TestHedgedRequestGoesToAnotherServer(t *testing.T) {
	transport := newBalancerWithServers(2, Behavior{
		Policy:     RoundRobin,
		Retry:      RetryNever,
		HedgeDelay: 20 * time.Millisecond,
	}, func(attempt *Attempt) (Answer, time.Duration) {
		if attempt.Server == 0 {
			return Answer{Kind: Served, AdvertisedCredit: NoCredit}, 500 * time.Millisecond
		}
		return Answer{Kind: Served, AdvertisedCredit: NoCredit}, 10 * time.Millisecond
	})
	transport.submit(1, Request{Idempotent: true})
	transport.clock.RunUntil(virtualclock.Origin + time.Second)
	if diff := cmp.Diff(
		[]int{0, 1},
		transport.servers(),
	); diff != "" || transport.aborts != 1 || len(transport.outcomes[1]) != 1 {
		t.Fatalf("%d aborted, outcomes = %v, want one of each; servers (-want +got)\n%s",
			transport.aborts, transport.outcomes, diff)
	}
	transport = newBalancerWithServers(
		2,
		Behavior{Policy: RoundRobin, Retry: RetryNever, HedgeDelay: 20 * time.Millisecond},
		answerWith(Served, 50*time.Millisecond),
	)
	transport.submit(1, Request{Keyed: true})
	if transport.clock.RunUntil(virtualclock.Origin + time.Second); len(transport.sent) != 1 {
		t.Fatalf("a keyed request was sent %d times, want 1", len(transport.sent))
	}
}

func TestServerIsAvoidedForRetryAfter(t *testing.T) {
	transport := newBalancerWithServers(1, Behavior{
		Policy:        RoundRobin,
		Retry:         RetryNever,
		FollowsAdvice: true,
	}, func(*Attempt) (Answer, time.Duration) {
		return Answer{
			Kind:             Rejected,
			RetryAfter:       45 * time.Millisecond,
			AdvertisedCredit: NoCredit,
		}, time.Millisecond
	})
	transport.submit(5, Request{Idempotent: true})
	if len(transport.sent) != 1 || transport.outcomes[2][0] != EndUnsent {
		t.Fatalf("%d attempts, want 1; outcomes = %v, want the others unsent", len(transport.sent), transport.outcomes)
	}
	transport.submit(1, Request{Idempotent: true})
	if len(transport.sent) != 2 {
		t.Fatalf("%d attempts after Retry-After has passed, want 2", len(transport.sent))
	}
}

func TestNoOtherServerIsTriedAfterDoNotRetry(t *testing.T) {
	for _, follows := range []bool{true, false} {
		transport := newBalancerWithServers(
			3,
			Behavior{
				Policy:        RoundRobin,
				Retry:         RetryUnlimited,
				FollowsAdvice: follows,
				RetryPause:    time.Second,
			},
			func(*Attempt) (Answer, time.Duration) {
				return Answer{
					Kind:             Rejected,
					DoNotRetry:       true,
					AdvertisedCredit: NoCredit,
				}, time.Millisecond
			},
		)
		transport.submit(1, Request{Idempotent: true})
		if want := map[bool]int{true: 1, false: 3}[follows]; len(transport.sent) != want {
			t.Fatalf("FollowsAdvice %v: %d attempts, want %d", follows, len(transport.sent), want)
		}
	}
}

func TestAdvertisedCreditBoundsOutstandingRequests(t *testing.T) {
	transport := newBalancerWithServers(
		1,
		Behavior{Policy: RoundRobin, Retry: RetryNever, FollowsAdvice: true, CreditTTL: time.Second},
		answerWith(Served, 400*time.Millisecond),
	)
	transport.balancer.Answered(
		&Attempt{closed: true, pending: &pendingRequest{}},
		Answer{Kind: Served, AdvertisedCredit: 2.5},
	)
	transport.submit(30, Request{Idempotent: true})
	if out := transport.balancer.Outstanding(0); out < 2 || out > 3 {
		t.Fatalf("%d attempts outstanding at a credit of 2.5, want 2 or 3", out)
	}
	transport.clock.RunUntil(transport.clock.Now() + 2*time.Second) // the credit has expired
	transport.submit(10, Request{Idempotent: true})
	if out := transport.balancer.Outstanding(0); out != 10 {
		t.Fatalf("%d attempts outstanding after the credit expired, want 10", out)
	}
}

// A server that fails is ejected after five failures, so that later requests go to the other one. If all
// servers are ejected, none is avoided.
func TestFailingServersAreEjected(t *testing.T) {
	failAt := func(failing ...int) func(*Attempt) (Answer, time.Duration) {
		return func(attempt *Attempt) (Answer, time.Duration) {
			for _, i := range failing {
				if attempt.Server == i {
					return Answer{Kind: Unreachable, AdvertisedCredit: NoCredit}, time.Millisecond
				}
			}
			return Answer{Kind: Served, AdvertisedCredit: NoCredit}, time.Millisecond
		}
	}
	h := Behavior{
		Policy:             RoundRobin,
		Retry:              RetryNever,
		EjectAfterFailures: 5,
		EjectionTime:       10 * time.Second,
	}
	transport := newBalancerWithServers(2, h, failAt(0))
	transport.submit(100, Request{Idempotent: true})
	if n := len(transport.outcomes); n != 100 || transport.balancer.Stats.Ejections != 1 {
		t.Fatalf("%d requests finished, want 100; %d ejections, want 1", n, transport.balancer.Stats.Ejections)
	}
	lost := 0
	for _, e := range transport.outcomes {
		if e[0] != EndServed {
			lost++
		}
	}
	if lost != 5 {
		t.Fatalf("%d requests failed, want the 5 before the ejection", lost)
	}
	transport = newBalancerWithServers(2, h, failAt(0, 1))
	transport.submit(40, Request{Idempotent: true})
	if len(transport.sent) != 40 {
		t.Fatalf("%d of 40 requests sent with all servers ejected, want all", len(transport.sent))
	}
}

func TestServersThatFailHealthChecksAreAvoided(t *testing.T) {
	transport := newBalancerWithServers(
		2,
		Behavior{Policy: RoundRobin, Retry: RetryNever, HealthCheckInterval: 100 * time.Millisecond},
		answerWith(Served, time.Millisecond),
	)
	for range 4 {
		transport.clock.RunUntil(transport.clock.Now() + 100*time.Millisecond)
		for _, i := range transport.checks {
			transport.balancer.Checked(i, i == 1)
		}
		transport.checks = nil
	}
	transport.submit(10, Request{Idempotent: true})
	for _, i := range transport.servers() {
		if i != 1 {
			t.Fatalf("servers of the attempts = %v, want only 1, as 0 fails its checks", transport.servers())
		}
	}
}

func TestThrottleDropsRequestsThatAreNotServed(t *testing.T) {
	transport := newBalancerWithServers(
		1,
		Behavior{Policy: RoundRobin, Retry: RetryNever, ThrottleFactor: 2},
		answerWith(Rejected, time.Millisecond),
	)
	transport.submit(300, Request{Idempotent: true})
	if n := len(transport.sent); n > 60 {
		t.Fatalf("%d of 300 requests sent to a server that rejects all, want at most 60", n)
	}
	transport = newBalancerWithServers(
		1,
		Behavior{Policy: RoundRobin, Retry: RetryNever, ThrottleFactor: 2},
		answerWith(Served, time.Millisecond),
	)
	transport.submit(300, Request{Idempotent: true})
	if n := len(transport.sent); n != 300 {
		t.Fatalf("%d of 300 requests sent to a server that serves all, want all", n)
	}
}

func TestConsistentHashMovesOnlyKeysOfTheRemovedServer(t *testing.T) {
	serversByKey := func(removed int) map[uint64]int {
		transport := newBalancerWithServers(
			10,
			Behavior{Policy: ConsistentHash, Retry: RetryNever},
			answerWith(Served, time.Millisecond),
		)
		if removed >= 0 {
			transport.balancer.SetListed(removed, false)
		}
		for k := range uint64(400) {
			transport.balancer.Submit(&Request{ID: k, Key: k, Deadline: time.Second, Idempotent: true})
		}
		got := map[uint64]int{}
		for _, attempt := range transport.sent {
			got[attempt.Request.Key] = attempt.Server
		}
		return got
	}
	before, after := serversByKey(-1), serversByKey(3)
	for k, i := range before {
		if i != 3 && after[k] != i || after[k] == 3 {
			t.Fatalf("key %d moved from server %d to %d when server 3 was removed", k, i, after[k])
		}
	}
}

// With random answers and changes of the endpoint list, each request is finished exactly once by its
// deadline, no attempt goes to a server that is not listed, the bound on attempts holds, and no attempt is
// outstanding after the last deadline.
func TestEachRequestIsFinishedOnceWithinItsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, n := drawBehavior(t), rapid.IntRange(1, 5).Draw(t, "servers")
		transport := newRandomServers(t, h, n)
		count := rapid.IntRange(1, 25).Draw(t, "requests")
		for i := range count {
			if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				transport.balancer.SetListed(
					rapid.IntRange(0, n-1).Draw(t, "which"),
					rapid.Bool().Draw(t, "on"),
				)
			}
			effect := rapid.IntRange(0, 2).Draw(t, "effect")
			transport.balancer.Submit(
				&Request{
					ID:         uint64(i + 1),
					Key:        uint64(i % 4),
					Idempotent: effect == 0,
					Keyed:      effect == 1,
					Deadline:   200 * time.Millisecond,
				},
			)
			transport.clock.RunUntil(transport.clock.Now() + 5*time.Millisecond)
		}
		transport.clock.RunUntil(transport.clock.Now() + 200*time.Millisecond)
		for i := range count {
			if ends := transport.outcomes[uint64(i+1)]; len(ends) != 1 {
				t.Fatalf("request %d was finished %d times, want once; outcomes = %v", i+1, len(ends), ends)
			}
		}
		for i := range n {
			if transport.balancer.Outstanding(i) != 0 {
				t.Fatalf("%d attempts outstanding at server %d after all requests are finished, want 0",
					transport.balancer.Outstanding(i), i)
			}
		}
	})
}

func ExampleBalancer() {
	clock := virtualclock.New()
	transport := &scriptedTransport{
		clock:    clock,
		answer:   answerWith(Served, 2*time.Millisecond),
		outcomes: map[uint64][]Outcome{},
	}
	transport.balancer = New(
		1,
		1,
		Behavior{Policy: LeastRequests, Retry: RetryNever, AttemptTimeout: 1},
		clock,
		transport,
		hashDraw,
	)
	transport.balancer.SetListed(0, true)
	transport.balancer.Submit(&Request{ID: 1, Deadline: time.Second})
	clock.RunUntil(virtualclock.Origin + time.Second)
	fmt.Println(transport.outcomes[1][0] == EndServed)
	// Output: true
}
