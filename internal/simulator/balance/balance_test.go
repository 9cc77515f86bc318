package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/simulator/virtualclock"
)

// scriptedTransport is a wire that keeps what it is told and answers by script.
type scriptedTransport struct {
	clock    *virtualclock.Scheduler
	balancer *Balancer
	answer   func(t *Attempt) (Answer, time.Duration) // and after how long; negative: never
	sent     []*Attempt
	aborts   int
	outcomes map[uint64][]Outcome
	checks   []int
}

func (w *scriptedTransport) Send(t *Attempt) {
	w.sent = append(w.sent, t)
	if a, after := w.answer(t); after >= 0 {
		w.clock.After(after, func() { w.balancer.Answered(t, a) })
	}
}
func (w *scriptedTransport) Abort(*Attempt) { w.aborts++ }
func (w *scriptedTransport) Check(i int)    { w.checks = append(w.checks, i) }
func (w *scriptedTransport) Finish(r *Request, e Outcome, _ *Attempt) {
	w.outcomes[r.ID] = append(w.outcomes[r.ID], e)
}
func (w *scriptedTransport) servers() (at []int) {
	for _, t := range w.sent {
		at = append(at, t.Server)
	}
	return at
}

func hashDraw(request uint64, no, what int) float64 {
	return float64(rendezvousScore(request*31+uint64(no), what)>>11) / (1 << 53)
}

func newBalancerWithServers(n int, h Behavior, answer func(*Attempt) (Answer, time.Duration)) *scriptedTransport {
	w := &scriptedTransport{clock: virtualclock.New(), answer: answer, outcomes: map[uint64][]Outcome{}}
	if h.AttemptTimeout == 0 {
		h.AttemptTimeout = 1
	}
	w.balancer = New(7, n, h, w.clock, w, hashDraw)
	w.balancer.nextServer = 0
	for i := range n {
		w.balancer.SetListed(i, true)
	}
	return w
}

func answerWith(k Kind, after time.Duration) func(*Attempt) (Answer, time.Duration) {
	return func(*Attempt) (Answer, time.Duration) { return Answer{Kind: k, AdvertisedValue: -1}, after }
}

// submit sends n requests, 10 ms apart.
func (w *scriptedTransport) submit(n int, r Request) {
	for i := range n {
		q := r
		q.ID = uint64(i + 1)
		if q.Deadline == 0 {
			q.Deadline = time.Second
		}
		w.balancer.Submit(&q)
		w.clock.RunUntil(w.clock.Now() + 10*time.Millisecond)
	}
}

func TestChoices(t *testing.T) {
	slow := func(t *Attempt) (Answer, time.Duration) { // server 0 is slow
		if t.Server == 0 {
			return Answer{Kind: Served, AdvertisedValue: -1}, 400 * time.Millisecond
		}
		return Answer{Kind: Served, AdvertisedValue: -1}, time.Millisecond
	}
	for _, c := range []struct {
		choose Policy
		first  func(counts []int) bool
	}{
		{RoundRobin, func(n []int) bool { return n[0] == 20 && n[1] == 20 && n[2] == 20 }},
		{LeastRequests, func(n []int) bool { return n[0] < 5 }},
		{PowerOfTwoChoices, func(n []int) bool { return n[0] < 15 && n[1] > 15 && n[2] > 15 }},
		{WeightedRandom, func(n []int) bool { return n[2] == 0 && n[0] > 5 && n[1] > n[0] }},
		{LeastReportedLoad, func(n []int) bool { return n[1] == 60 }},
		{LeastLatency, func(n []int) bool { return n[0] <= 41 && n[0] < n[1]+n[2]+45 && n[1]+n[2] > 15 }},
		{ConsistentHash, func(n []int) bool { return n[0] == 60 || n[1] == 60 || n[2] == 60 }},
	} {
		t.Run(string(c.choose), func(t *testing.T) {
			w := newBalancerWithServers(3, Behavior{Policy: c.choose, Retry: RetryNever}, slow)
			w.balancer.SetWeight(0, 1)
			w.balancer.SetWeight(1, 3)
			w.balancer.SetWeight(2, 0)
			w.balancer.Report(0, 0.9)
			w.balancer.Report(1, 0.2)
			w.balancer.Report(2, 0.5)
			w.submit(60, Request{Idempotent: true, Key: 99})
			counts := make([]int, 3)
			for _, i := range w.servers() {
				counts[i]++
			}
			if !c.first(counts) {
				t.Fatalf("requests at the servers: %v", counts)
			}
		})
	}
}

// A limitless balancer goes down its list after refusals, and round again until its client's time
// is over.
func TestLimitlessWalks(t *testing.T) {
	w := newBalancerWithServers(3, Behavior{Policy: RoundRobin, Retry: RetryUnlimited, RetryPause: 50 * time.Millisecond}, answerWith(Rejected, time.Millisecond))
	w.balancer.Submit(&Request{ID: 1, Deadline: 200 * time.Millisecond})
	w.clock.RunUntil(virtualclock.Origin + time.Second)
	if diff := cmp.Diff([]int{0, 1, 2}, w.servers()[:3]); diff != "" {
		t.Errorf("first round (-want +got)\n%s", diff)
	}
	if n := len(w.sent); n < 10 || n > 12 {
		t.Errorf("%d tries in four rounds of three", n)
	}
	if diff := cmp.Diff([]Outcome{EndTimedOut}, w.outcomes[1]); diff != "" {
		t.Errorf("ends (-want +got)\n%s", diff)
	}
}

func TestBoundedTriesAndBudget(t *testing.T) {
	w := newBalancerWithServers(4, Behavior{Policy: RoundRobin, Retry: RetryBounded, MaxAttempts: 3, RetryPause: time.Millisecond}, answerWith(Failed, time.Millisecond))
	w.submit(1, Request{Idempotent: true})
	if len(w.sent) != 3 || w.outcomes[1][0] != EndFailed {
		t.Fatalf("%d tries, ends %v", len(w.sent), w.outcomes)
	}
	w = newBalancerWithServers(
		4,
		Behavior{Policy: RoundRobin, Retry: RetryBounded, MaxAttempts: 3, RetryBudget: 0.1, RetryPause: time.Millisecond},
		answerWith(Failed, time.Millisecond),
	)
	w.submit(200, Request{Idempotent: true})
	// a tenth of 200, and the ten it begins with
	if retries := len(w.sent) - 200; retries < 25 || retries > 31 {
		t.Fatalf("%d retries of 200 first tries with a budget of a tenth", retries)
	}
}

func TestWhatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		r     Request
		kind  Kind
		stick bool
		want  []int
	}{
		{"safe goes on", Request{Idempotent: true}, Failed, true, []int{0, 1, 2}},
		{"keyed stays", Request{Keyed: true}, Failed, true, []int{0, 0, 0}},
		{"keyed walks", Request{Keyed: true}, Failed, false, []int{0, 1, 2}},
		{"keyed never ran", Request{Keyed: true}, Unreachable, true, []int{0, 1, 2}},
		{"neither is sent once", Request{}, Failed, true, []int{0}},
		{"neither goes on where it never ran", Request{}, Rejected, true, []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newBalancerWithServers(
				4,
				Behavior{Policy: RoundRobin, Retry: RetryBounded, MaxAttempts: 3, Sticky: c.stick},
				answerWith(c.kind, time.Millisecond),
			)
			w.submit(1, c.r)
			if diff := cmp.Diff(c.want, w.servers()); diff != "" {
				t.Fatalf("(-want +got)\n%s", diff)
			}
		})
	}
}

// A hasty balancer gives its tries little time; each that it leaves is taken back.
func TestHasty(t *testing.T) {
	w := newBalancerWithServers(3, Behavior{Policy: RoundRobin, Retry: RetryUnlimited, AttemptTimeout: 0.1}, answerWith(Served, 150*time.Millisecond))
	w.submit(1, Request{Idempotent: true, Deadline: time.Second})
	w.clock.RunUntil(virtualclock.Origin + 2*time.Second)
	if len(w.sent) < 9 || w.aborts != len(w.sent) || w.outcomes[1][0] != EndTimedOut {
		t.Fatalf("%d tries, %d taken back, ends %v", len(w.sent), w.aborts, w.outcomes)
	}
}

// A second copy goes to another server, the first answer counts, and the other copy is taken back.
func TestCopies(t *testing.T) {
	w := newBalancerWithServers(2, Behavior{Policy: RoundRobin, Retry: RetryNever, HedgeDelay: 20 * time.Millisecond}, func(t *Attempt) (Answer, time.Duration) {
		if t.Server == 0 {
			return Answer{Kind: Served, AdvertisedValue: -1}, 500 * time.Millisecond
		}
		return Answer{Kind: Served, AdvertisedValue: -1}, 10 * time.Millisecond
	})
	w.submit(1, Request{Idempotent: true})
	w.clock.RunUntil(virtualclock.Origin + time.Second)
	if diff := cmp.Diff([]int{0, 1}, w.servers()); diff != "" || w.aborts != 1 || len(w.outcomes[1]) != 1 {
		t.Fatalf("aborts %d, ends %v (-want +got)\n%s", w.aborts, w.outcomes, diff)
	}
	w = newBalancerWithServers(2, Behavior{Policy: RoundRobin, Retry: RetryNever, HedgeDelay: 20 * time.Millisecond}, answerWith(Served, 50*time.Millisecond))
	w.submit(1, Request{Keyed: true})
	if w.clock.RunUntil(virtualclock.Origin + time.Second); len(w.sent) != 1 {
		t.Fatalf("a keyed request went out %d times", len(w.sent))
	}
}

func TestHeeds(t *testing.T) {
	t.Run("stays away", func(t *testing.T) {
		w := newBalancerWithServers(1, Behavior{Policy: RoundRobin, Retry: RetryNever, FollowsAdvice: true}, func(*Attempt) (Answer, time.Duration) {
			return Answer{Kind: Rejected, RetryAfter: 45 * time.Millisecond, AdvertisedValue: -1}, time.Millisecond
		})
		w.submit(5, Request{Idempotent: true})
		if len(w.sent) != 1 || w.outcomes[2][0] != EndUnsent {
			t.Fatalf("%d sent, ends %v", len(w.sent), w.outcomes)
		}
		w.submit(1, Request{Idempotent: true})
		if len(w.sent) != 2 {
			t.Fatalf("%d sent after the time was over", len(w.sent))
		}
	})
	t.Run("tries nobody else", func(t *testing.T) {
		for _, heeds := range []bool{true, false} {
			w := newBalancerWithServers(
				3,
				Behavior{Policy: RoundRobin, Retry: RetryUnlimited, FollowsAdvice: heeds, RetryPause: time.Second},
				func(*Attempt) (Answer, time.Duration) {
					return Answer{Kind: Rejected, DoNotRetry: true, AdvertisedValue: -1}, time.Millisecond
				},
			)
			w.submit(1, Request{Idempotent: true})
			if want := map[bool]int{true: 1, false: 3}[heeds]; len(w.sent) != want {
				t.Fatalf("heeds %v: %d tries, want %d", heeds, len(w.sent), want)
			}
		}
	})
	t.Run("keeps to the free value", func(t *testing.T) {
		w := newBalancerWithServers(
			1,
			Behavior{Policy: RoundRobin, Retry: RetryNever, FollowsAdvice: true, CreditTTL: time.Second},
			answerWith(Served, 400*time.Millisecond),
		)
		w.balancer.Answered(&Attempt{closed: true, pending: &pendingRequest{}}, Answer{Kind: Served, AdvertisedValue: 2.5})
		w.submit(30, Request{Idempotent: true})
		if out := w.balancer.Outstanding(0); out < 2 || out > 3 {
			t.Fatalf("%d out at a free value of 2.5", out)
		}
		w.clock.RunUntil(w.clock.Now() + 2*time.Second) // what it heard is too old
		w.submit(10, Request{Idempotent: true})
		if out := w.balancer.Outstanding(0); out != 10 {
			t.Fatalf("%d out long after the value was heard, want all 10", out)
		}
	})
}

// Servers that fail are avoided for a while; when all are, none is.
func TestEjects(t *testing.T) {
	fails := func(bad ...int) func(*Attempt) (Answer, time.Duration) {
		return func(t *Attempt) (Answer, time.Duration) {
			for _, i := range bad {
				if t.Server == i {
					return Answer{Kind: Unreachable, AdvertisedValue: -1}, time.Millisecond
				}
			}
			return Answer{Kind: Served, AdvertisedValue: -1}, time.Millisecond
		}
	}
	h := Behavior{Policy: RoundRobin, Retry: RetryNever, EjectAfterFailures: 5, EjectionTime: 10 * time.Second}
	w := newBalancerWithServers(2, h, fails(0))
	w.submit(100, Request{Idempotent: true})
	if n := len(w.outcomes); n != 100 || w.balancer.Stats.Ejections != 1 {
		t.Fatalf("%d ends, %d ejections", n, w.balancer.Stats.Ejections)
	}
	lost := 0
	for _, e := range w.outcomes {
		if e[0] != EndServed {
			lost++
		}
	}
	if lost != 5 {
		t.Fatalf("%d lost at a server that is avoided after five", lost)
	}
	w = newBalancerWithServers(2, h, fails(0, 1))
	w.submit(40, Request{Idempotent: true})
	if len(w.sent) != 40 {
		t.Fatalf("%d of 40 sent with all servers avoided", len(w.sent))
	}
}

func TestChecks(t *testing.T) {
	w := newBalancerWithServers(2, Behavior{Policy: RoundRobin, Retry: RetryNever, HealthCheckInterval: 100 * time.Millisecond}, answerWith(Served, time.Millisecond))
	for range 4 {
		w.clock.RunUntil(w.clock.Now() + 100*time.Millisecond)
		for _, i := range w.checks {
			w.balancer.Checked(i, i == 1)
		}
		w.checks = nil
	}
	w.submit(10, Request{Idempotent: true})
	for _, i := range w.servers() {
		if i != 1 {
			t.Fatalf("requests at %v though server 0 fails its checks", w.servers())
		}
	}
}

func TestThrottle(t *testing.T) {
	w := newBalancerWithServers(1, Behavior{Policy: RoundRobin, Retry: RetryNever, ThrottleFactor: 2}, answerWith(Rejected, time.Millisecond))
	w.submit(300, Request{Idempotent: true})
	if n := len(w.sent); n > 60 {
		t.Fatalf("%d of 300 sent to a server that takes none", n)
	}
	w = newBalancerWithServers(1, Behavior{Policy: RoundRobin, Retry: RetryNever, ThrottleFactor: 2}, answerWith(Served, time.Millisecond))
	w.submit(300, Request{Idempotent: true})
	if n := len(w.sent); n != 300 {
		t.Fatalf("%d of 300 sent to a server that takes all", n)
	}
}

// When one of ten servers leaves, only what it had moves.
func TestHashMovesLittle(t *testing.T) {
	at := func(gone int) map[uint64]int {
		w := newBalancerWithServers(10, Behavior{Policy: ConsistentHash, Retry: RetryNever}, answerWith(Served, time.Millisecond))
		if gone >= 0 {
			w.balancer.SetListed(gone, false)
		}
		for k := range uint64(400) {
			w.balancer.Submit(&Request{ID: k, Key: k, Deadline: time.Second, Idempotent: true})
		}
		got := map[uint64]int{}
		for _, try := range w.sent {
			got[try.Request.Key] = try.Server
		}
		return got
	}
	before, after := at(-1), at(3)
	for k, i := range before {
		if i != 3 && after[k] != i || after[k] == 3 {
			t.Fatalf("key %d moved from %d to %d when server 3 left", k, i, after[k])
		}
	}
}

// drawBehavior draws any habit.
func drawBehavior(t *rapid.T) Behavior {
	return Behavior{Policy: rapid.SampledFrom(Policies).Draw(t, "choose"),
		Retry: rapid.SampledFrom([]Retry{RetryNever, RetryBounded, RetryUnlimited}).Draw(t, "retry"),
		MaxAttempts: rapid.IntRange(
			1,
			5,
		).Draw(
			t,
			"tries",
		), RetryBudget: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "budget"),
		RetryPause:     time.Duration(rapid.Int64Range(0, 60_000).Draw(t, "pause")) * time.Microsecond,
		AttemptTimeout: rapid.SampledFrom([]float64{0.05, 0.4, 1}).Draw(t, "patience"),
		HedgeDelay: rapid.SampledFrom(
			[]time.Duration{0, 5 * time.Millisecond},
		).Draw(
			t,
			"copy",
		), FollowsAdvice: rapid.Bool().Draw(t, "heeds"), CreditTTL: time.Second,
		HealthCheckInterval: rapid.SampledFrom(
			[]time.Duration{0, 70 * time.Millisecond},
		).Draw(
			t,
			"checks",
		), EjectAfterFailures: rapid.IntRange(0, 2).Draw(t, "eject"),
		EjectionTime: 300 * time.Millisecond, ThrottleFactor: rapid.SampledFrom([]float64{0, 2}).Draw(t, "throttle"),
		SubsetSize: rapid.IntRange(0, 3).Draw(t, "subset"), Sticky: rapid.Bool().Draw(t, "stick")}
}

// Whatever servers answer, or do not, and however the list moves: each request is finished once and
// in its time, no unlisted server gets a try, bounds hold, and in the end nothing is out.
func TestEachRequestIsFinishedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, n := drawBehavior(t), rapid.IntRange(1, 5).Draw(t, "servers")
		kinds := rapid.SliceOfN(
			rapid.SampledFrom([]Kind{Served, Rejected, Failed, Unreachable}),
			n,
			n,
		).Draw(
			t,
			"kinds",
		)
		silent := rapid.IntRange(-1, n-1).Draw(t, "silent")
		var w *scriptedTransport
		w = newBalancerWithServers(n, h, func(try *Attempt) (Answer, time.Duration) {
			if !w.balancer.servers[try.Server].listed {
				t.Fatalf("a try at server %d, which is not listed", try.Server)
			}
			if h.Retry == RetryBounded && try.Number >= h.MaxAttempts+1 { // and one copy
				t.Fatalf("try %d of %d", try.Number+1, h.MaxAttempts)
			}
			if try.Server == silent {
				return Answer{}, -1
			}
			a := Answer{Kind: kinds[try.Server], AdvertisedValue: float64(try.Number%3) - 1, DoNotRetry: try.Number%4 == 3}
			if try.Server%2 == 1 {
				a.RetryAfter = 30 * time.Millisecond
			}
			return a, time.Duration(try.Server+1) * 2 * time.Millisecond
		})
		count := rapid.IntRange(1, 25).Draw(t, "requests")
		for i := range count {
			if rapid.IntRange(0, 5).Draw(t, "move") == 0 {
				w.balancer.SetListed(rapid.IntRange(0, n-1).Draw(t, "which"), rapid.Bool().Draw(t, "on"))
			}
			effect := rapid.IntRange(0, 2).Draw(t, "effect")
			w.balancer.Submit(
				&Request{
					ID:         uint64(i + 1),
					Key:        uint64(i % 4),
					Idempotent: effect == 0,
					Keyed:      effect == 1,
					Deadline:   200 * time.Millisecond,
				},
			)
			w.clock.RunUntil(w.clock.Now() + 5*time.Millisecond)
		}
		w.clock.RunUntil(w.clock.Now() + 200*time.Millisecond)
		for i := range count {
			if ends := w.outcomes[uint64(i+1)]; len(ends) != 1 {
				t.Fatalf("request %d was finished %d times: %v", i+1, len(ends), ends)
			}
		}
		for i := range n {
			if w.balancer.Outstanding(i) != 0 {
				t.Fatalf("%d out at server %d in the end", w.balancer.Outstanding(i), i)
			}
		}
	})
}

func ExampleBalancer() {
	clock := virtualclock.New()
	w := &scriptedTransport{clock: clock, answer: answerWith(Served, 2*time.Millisecond), outcomes: map[uint64][]Outcome{}}
	w.balancer = New(1, 1, Behavior{Policy: LeastRequests, Retry: RetryNever, AttemptTimeout: 1}, clock, w, hashDraw)
	w.balancer.SetListed(0, true)
	w.balancer.Submit(&Request{ID: 1, Deadline: time.Second})
	clock.RunUntil(virtualclock.Origin + time.Second)
	fmt.Println(w.outcomes[1][0] == EndServed)
	// Output: true
}
