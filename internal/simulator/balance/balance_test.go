package balance

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/simulator/virtualclock"
)

// tape is a wire that keeps what it is told and answers by script.
type tape struct {
	clock  *virtualclock.Sched
	b      *Balancer
	answer func(t *Try) (Answer, int64) // and after how long; negative: never
	sent   []*Try
	aborts int
	ends   map[uint64][]End
	checks []int
}

func (w *tape) Send(t *Try) {
	w.sent = append(w.sent, t)
	if a, after := w.answer(t); after >= 0 {
		w.clock.After(after, func() { w.b.Answered(t, a) })
	}
}
func (w *tape) Abort(*Try)                       { w.aborts++ }
func (w *tape) Check(i int)                      { w.checks = append(w.checks, i) }
func (w *tape) Finish(r *Request, e End, _ *Try) { w.ends[r.ID] = append(w.ends[r.ID], e) }
func (w *tape) where() (at []int) {
	for _, t := range w.sent {
		at = append(at, t.Server)
	}
	return at
}

func even(request uint64, no, what int) float64 {
	return float64(score(request*31+uint64(no), what)>>11) / (1 << 53)
}

func setUp(n int, h Habit, answer func(*Try) (Answer, int64)) *tape {
	w := &tape{clock: virtualclock.New(), answer: answer, ends: map[uint64][]End{}}
	if h.Patience == 0 {
		h.Patience = 1
	}
	w.b = New(7, n, h, w.clock, w, even)
	w.b.next = 0
	for i := range n {
		w.b.Listed(i, true)
	}
	return w
}

func always(k Kind, after int64) func(*Try) (Answer, int64) {
	return func(*Try) (Answer, int64) { return Answer{Kind: k, Pressure: -1}, after }
}

const second = 1_000_000

// submit sends n requests, 10 ms apart.
func (w *tape) submit(n int, r Request) {
	for i := range n {
		q := r
		q.ID = uint64(i + 1)
		if q.Deadline == 0 {
			q.Deadline = second
		}
		w.b.Submit(&q)
		w.clock.RunUntil(w.clock.Now() + 10_000)
	}
}

func TestChoices(t *testing.T) {
	slow := func(t *Try) (Answer, int64) { // server 0 is slow
		if t.Server == 0 {
			return Answer{Kind: Served, Pressure: -1}, 400_000
		}
		return Answer{Kind: Served, Pressure: -1}, 1000
	}
	for _, c := range []struct {
		choose Choice
		first  func(counts []int) bool
	}{
		{Round, func(n []int) bool { return n[0] == 20 && n[1] == 20 && n[2] == 20 }},
		{Least, func(n []int) bool { return n[0] < 5 }},
		{Two, func(n []int) bool { return n[0] < 15 && n[1] > 15 && n[2] > 15 }},
		{Weighted, func(n []int) bool { return n[2] == 0 && n[0] > 5 && n[1] > n[0] }},
		{Told, func(n []int) bool { return n[1] == 60 }},
		{Fastest, func(n []int) bool { return n[0] <= 41 && n[0] < n[1]+n[2]+45 && n[1]+n[2] > 15 }},
		{Hash, func(n []int) bool { return n[0] == 60 || n[1] == 60 || n[2] == 60 }},
	} {
		t.Run(string(c.choose), func(t *testing.T) {
			w := setUp(3, Habit{Choose: c.choose, Retry: Never}, slow)
			w.b.Weigh(0, 1)
			w.b.Weigh(1, 3)
			w.b.Weigh(2, 0)
			w.b.Report(0, 0.9)
			w.b.Report(1, 0.2)
			w.b.Report(2, 0.5)
			w.submit(60, Request{Safe: true, Key: 99})
			counts := make([]int, 3)
			for _, i := range w.where() {
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
	w := setUp(3, Habit{Choose: Round, Retry: Limitless, Pause: 50_000}, always(Refused, 1000))
	w.b.Submit(&Request{ID: 1, Deadline: 200_000})
	w.clock.RunUntil(virtualclock.Origin + second)
	if diff := cmp.Diff([]int{0, 1, 2}, w.where()[:3]); diff != "" {
		t.Errorf("first round (-want +got)\n%s", diff)
	}
	if n := len(w.sent); n < 10 || n > 12 {
		t.Errorf("%d tries in four rounds of three", n)
	}
	if diff := cmp.Diff([]End{EndTimedOut}, w.ends[1]); diff != "" {
		t.Errorf("ends (-want +got)\n%s", diff)
	}
}

func TestBoundedTriesAndBudget(t *testing.T) {
	w := setUp(4, Habit{Choose: Round, Retry: Bounded, Tries: 3, Pause: 1000}, always(Failed, 1000))
	w.submit(1, Request{Safe: true})
	if len(w.sent) != 3 || w.ends[1][0] != EndFailed {
		t.Fatalf("%d tries, ends %v", len(w.sent), w.ends)
	}
	w = setUp(
		4,
		Habit{Choose: Round, Retry: Bounded, Tries: 3, Budget: 0.1, Pause: 1000},
		always(Failed, 1000),
	)
	w.submit(200, Request{Safe: true})
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
		{"safe goes on", Request{Safe: true}, Failed, true, []int{0, 1, 2}},
		{"keyed stays", Request{Keyed: true}, Failed, true, []int{0, 0, 0}},
		{"keyed walks", Request{Keyed: true}, Failed, false, []int{0, 1, 2}},
		{"keyed never ran", Request{Keyed: true}, Unreachable, true, []int{0, 1, 2}},
		{"neither is sent once", Request{}, Failed, true, []int{0}},
		{"neither goes on where it never ran", Request{}, Refused, true, []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := setUp(
				4,
				Habit{Choose: Round, Retry: Bounded, Tries: 3, Stick: c.stick},
				always(c.kind, 1000),
			)
			w.submit(1, c.r)
			if diff := cmp.Diff(c.want, w.where()); diff != "" {
				t.Fatalf("(-want +got)\n%s", diff)
			}
		})
	}
}

// A hasty balancer gives its tries little time; each that it leaves is taken back.
func TestHasty(t *testing.T) {
	w := setUp(3, Habit{Choose: Round, Retry: Limitless, Patience: 0.1}, always(Served, 150_000))
	w.submit(1, Request{Safe: true, Deadline: second})
	w.clock.RunUntil(virtualclock.Origin + 2*second)
	if len(w.sent) < 9 || w.aborts != len(w.sent) || w.ends[1][0] != EndTimedOut {
		t.Fatalf("%d tries, %d taken back, ends %v", len(w.sent), w.aborts, w.ends)
	}
}

// A second copy goes to another server, the first answer counts, and the other copy is taken back.
func TestCopies(t *testing.T) {
	w := setUp(2, Habit{Choose: Round, Retry: Never, CopyAfter: 20_000}, func(t *Try) (Answer, int64) {
		if t.Server == 0 {
			return Answer{Kind: Served, Pressure: -1}, 500_000
		}
		return Answer{Kind: Served, Pressure: -1}, 10_000
	})
	w.submit(1, Request{Safe: true})
	w.clock.RunUntil(virtualclock.Origin + second)
	if diff := cmp.Diff([]int{0, 1}, w.where()); diff != "" || w.aborts != 1 || len(w.ends[1]) != 1 {
		t.Fatalf("aborts %d, ends %v (-want +got)\n%s", w.aborts, w.ends, diff)
	}
	w = setUp(2, Habit{Choose: Round, Retry: Never, CopyAfter: 20_000}, always(Served, 50_000))
	w.submit(1, Request{Keyed: true})
	if w.clock.RunUntil(virtualclock.Origin + second); len(w.sent) != 1 {
		t.Fatalf("a keyed request went out %d times", len(w.sent))
	}
}

func TestHeeds(t *testing.T) {
	t.Run("stays away", func(t *testing.T) {
		w := setUp(1, Habit{Choose: Round, Retry: Never, Heeds: true}, func(*Try) (Answer, int64) {
			return Answer{Kind: Refused, ComeBack: 45_000, Pressure: -1}, 1000
		})
		w.submit(5, Request{Safe: true})
		if len(w.sent) != 1 || w.ends[2][0] != EndUnsent {
			t.Fatalf("%d sent, ends %v", len(w.sent), w.ends)
		}
		w.submit(1, Request{Safe: true})
		if len(w.sent) != 2 {
			t.Fatalf("%d sent after the time was over", len(w.sent))
		}
	})
	t.Run("tries nobody else", func(t *testing.T) {
		for _, heeds := range []bool{true, false} {
			w := setUp(
				3,
				Habit{Choose: Round, Retry: Limitless, Heeds: heeds, Pause: second},
				func(*Try) (Answer, int64) {
					return Answer{Kind: Refused, Last: true, Pressure: -1}, 1000
				},
			)
			w.submit(1, Request{Safe: true})
			if want := map[bool]int{true: 1, false: 3}[heeds]; len(w.sent) != want {
				t.Fatalf("heeds %v: %d tries, want %d", heeds, len(w.sent), want)
			}
		}
	})
	t.Run("keeps to the free value", func(t *testing.T) {
		w := setUp(
			1,
			Habit{Choose: Round, Retry: Never, Heeds: true, CreditLife: second},
			always(Served, 400_000),
		)
		w.b.Answered(&Try{over: true, p: &pending{}}, Answer{Kind: Served, Pressure: 2.5})
		w.submit(30, Request{Safe: true})
		if out := w.b.Out(0); out < 2 || out > 3 {
			t.Fatalf("%d out at a free value of 2.5", out)
		}
		w.clock.RunUntil(w.clock.Now() + 2*second) // what it heard is too old
		w.submit(10, Request{Safe: true})
		if out := w.b.Out(0); out != 10 {
			t.Fatalf("%d out long after the value was heard, want all 10", out)
		}
	})
}

// Servers that fail are avoided for a while; when all are, none is.
func TestEjects(t *testing.T) {
	fails := func(bad ...int) func(*Try) (Answer, int64) {
		return func(t *Try) (Answer, int64) {
			for _, i := range bad {
				if t.Server == i {
					return Answer{Kind: Unreachable, Pressure: -1}, 1000
				}
			}
			return Answer{Kind: Served, Pressure: -1}, 1000
		}
	}
	h := Habit{Choose: Round, Retry: Never, EjectAfter: 5, EjectFor: 10 * second}
	w := setUp(2, h, fails(0))
	w.submit(100, Request{Safe: true})
	if n := len(w.ends); n != 100 || w.b.Stats.Ejections != 1 {
		t.Fatalf("%d ends, %d ejections", n, w.b.Stats.Ejections)
	}
	lost := 0
	for _, e := range w.ends {
		if e[0] != EndServed {
			lost++
		}
	}
	if lost != 5 {
		t.Fatalf("%d lost at a server that is avoided after five", lost)
	}
	w = setUp(2, h, fails(0, 1))
	w.submit(40, Request{Safe: true})
	if len(w.sent) != 40 {
		t.Fatalf("%d of 40 sent with all servers avoided", len(w.sent))
	}
}

func TestChecks(t *testing.T) {
	w := setUp(2, Habit{Choose: Round, Retry: Never, CheckEvery: 100_000}, always(Served, 1000))
	for range 4 {
		w.clock.RunUntil(w.clock.Now() + 100_000)
		for _, i := range w.checks {
			w.b.Checked(i, i == 1)
		}
		w.checks = nil
	}
	w.submit(10, Request{Safe: true})
	for _, i := range w.where() {
		if i != 1 {
			t.Fatalf("requests at %v though server 0 fails its checks", w.where())
		}
	}
}

func TestThrottle(t *testing.T) {
	w := setUp(1, Habit{Choose: Round, Retry: Never, Throttle: 2}, always(Refused, 1000))
	w.submit(300, Request{Safe: true})
	if n := len(w.sent); n > 60 {
		t.Fatalf("%d of 300 sent to a server that takes none", n)
	}
	w = setUp(1, Habit{Choose: Round, Retry: Never, Throttle: 2}, always(Served, 1000))
	w.submit(300, Request{Safe: true})
	if n := len(w.sent); n != 300 {
		t.Fatalf("%d of 300 sent to a server that takes all", n)
	}
}

// When one of ten servers leaves, only what it had moves.
func TestHashMovesLittle(t *testing.T) {
	at := func(gone int) map[uint64]int {
		w := setUp(10, Habit{Choose: Hash, Retry: Never}, always(Served, 1000))
		if gone >= 0 {
			w.b.Listed(gone, false)
		}
		for k := range uint64(400) {
			w.b.Submit(&Request{ID: k, Key: k, Deadline: second, Safe: true})
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

// habits draws any habit.
func habits(t *rapid.T) Habit {
	return Habit{Choose: rapid.SampledFrom(Choices).Draw(t, "choose"),
		Retry: rapid.SampledFrom([]Retry{Never, Bounded, Limitless}).Draw(t, "retry"),
		Tries: rapid.IntRange(
			1,
			5,
		).Draw(
			t,
			"tries",
		), Budget: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "budget"),
		Pause: rapid.Int64Range(
			0,
			60_000,
		).Draw(
			t,
			"pause",
		), Patience: rapid.SampledFrom([]float64{0.05, 0.4, 1}).Draw(t, "patience"),
		CopyAfter: rapid.SampledFrom(
			[]int64{0, 5000},
		).Draw(
			t,
			"copy",
		), Heeds: rapid.Bool().Draw(t, "heeds"), CreditLife: second,
		CheckEvery: rapid.SampledFrom(
			[]int64{0, 70_000},
		).Draw(
			t,
			"checks",
		), EjectAfter: rapid.IntRange(0, 2).Draw(t, "eject"),
		EjectFor: 300_000, Throttle: rapid.SampledFrom([]float64{0, 2}).Draw(t, "throttle"),
		Subset: rapid.IntRange(0, 3).Draw(t, "subset"), Stick: rapid.Bool().Draw(t, "stick")}
}

// Whatever servers answer, or do not, and however the list moves: each request is finished once and
// in its time, no unlisted server gets a try, bounds hold, and in the end nothing is out.
func TestEachRequestIsFinishedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, n := habits(t), rapid.IntRange(1, 5).Draw(t, "servers")
		kinds := rapid.SliceOfN(
			rapid.SampledFrom([]Kind{Served, Refused, Failed, Unreachable}),
			n,
			n,
		).Draw(
			t,
			"kinds",
		)
		silent := rapid.IntRange(-1, n-1).Draw(t, "silent")
		var w *tape
		w = setUp(n, h, func(try *Try) (Answer, int64) {
			if !w.b.servers[try.Server].listed {
				t.Fatalf("a try at server %d, which is not listed", try.Server)
			}
			if h.Retry == Bounded && try.No >= h.Tries+1 { // and one copy
				t.Fatalf("try %d of %d", try.No+1, h.Tries)
			}
			if try.Server == silent {
				return Answer{}, -1
			}
			a := Answer{Kind: kinds[try.Server], Pressure: float64(try.No%3) - 1, Last: try.No%4 == 3}
			if try.Server%2 == 1 {
				a.ComeBack = 30_000
			}
			return a, int64(try.Server+1) * 2000
		})
		count := rapid.IntRange(1, 25).Draw(t, "requests")
		for i := range count {
			if rapid.IntRange(0, 5).Draw(t, "move") == 0 {
				w.b.Listed(rapid.IntRange(0, n-1).Draw(t, "which"), rapid.Bool().Draw(t, "on"))
			}
			effect := rapid.IntRange(0, 2).Draw(t, "effect")
			w.b.Submit(
				&Request{
					ID:       uint64(i + 1),
					Key:      uint64(i % 4),
					Safe:     effect == 0,
					Keyed:    effect == 1,
					Deadline: 200_000,
				},
			)
			w.clock.RunUntil(w.clock.Now() + 5000)
		}
		w.clock.RunUntil(w.clock.Now() + 200_000)
		for i := range count {
			if ends := w.ends[uint64(i+1)]; len(ends) != 1 {
				t.Fatalf("request %d was finished %d times: %v", i+1, len(ends), ends)
			}
		}
		for i := range n {
			if w.b.Out(i) != 0 {
				t.Fatalf("%d out at server %d in the end", w.b.Out(i), i)
			}
		}
	})
}

func ExampleBalancer() {
	clock := virtualclock.New()
	w := &tape{clock: clock, answer: always(Served, 2000), ends: map[uint64][]End{}}
	w.b = New(1, 1, Habit{Choose: Least, Retry: Never, Patience: 1}, clock, w, even)
	w.b.Listed(0, true)
	w.b.Submit(&Request{ID: 1, Deadline: second})
	clock.RunUntil(virtualclock.Origin + second)
	fmt.Println(w.ends[1][0] == EndServed)
	// Output: true
}
