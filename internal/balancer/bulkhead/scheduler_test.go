package bulkhead

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const ms = 1000

func three() Config {
	return Config{Pools: []Pool{{Name: "urgent", Floor: 0.3, Ceiling: 1, Weight: 3, Classes: []int{0}},
		{
			Name:    "cheap",
			Floor:   0.2,
			Ceiling: 1,
			Weight:  2,
			Reserve: true,
			Classes: []int{1},
		}, {Name: "rest", Floor: 0.1, Ceiling: 0.8, Weight: 1}},
		Classes: []Class{
			{PriorityWeight: 3, LatePriorityWeight: 0.6},
			{PriorityWeight: 1},
			{PriorityWeight: 1},
		}, Tenants: []float64{0.5, 0.5}, LimitAlgorithm: FixedLimit, InitialLimit: 20, MinLimit: 2, MaxLimit: 1000,
		ReclaimTime: 500 * ms, MaxQueueLength: 100, DeadlineMargin: 10 * ms}
}

// ends is what is due in a world of a set, by time.
type ends []*run
type run struct {
	*Request
	at int64
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(*run)) }
func (e *ends) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// world plays a set with runs of known lengths, and checks after each step what must always hold.
type world struct {
	t      interface{ Fatalf(string, ...any) }
	s      *Scheduler
	now    int64
	out    ends
	took   func(*Request) int64
	open   map[*Request]string // offered, granted
	by     []int               // granted by class
	worst  []int64             // longest wait of a grant by class
	began  map[*Request]int64
	answer int
}

func newWorld(t interface{ Fatalf(string, ...any) }, cfg Config, took func(*Request) int64) *world {
	return &world{
		t:     t,
		s:     New(cfg, 0),
		took:  took,
		open:  map[*Request]string{},
		by:    make([]int, len(cfg.Classes)),
		worst: make([]int64, len(cfg.Classes)),
		began: map[*Request]int64{},
	}
}

func (w *world) offer(r *Request) {
	w.open[r], w.began[r] = "offered", w.now
	w.s.Enqueue(r, w.now)
	w.check()
}

func (w *world) check() {
	granted, dropped := w.s.TakeDecisions()
	for _, r := range granted {
		if w.open[r] != "offered" {
			w.t.Fatalf("granted: %q", w.open[r])
		}
		w.open[r] = "granted"
		w.by[r.Class]++
		w.worst[r.Class] = max(w.worst[r.Class], w.now-w.began[r])
		heap.Push(&w.out, &run{r, w.now + w.took(r)})
	}
	for _, d := range dropped {
		if w.open[d.Request] != "offered" {
			w.t.Fatalf("dropped: %q", w.open[d.Request])
		}
		delete(w.open, d.Request)
		w.answer++
	}
	running, waiting := 0, 0
	for _, is := range w.open {
		if is == "granted" {
			running++
		} else {
			waiting++
		}
	}
	if running != w.s.Running() || waiting != w.s.Waiting() {
		w.t.Fatalf(
			"%d run and %d wait, the set says %d and %d",
			running,
			waiting,
			w.s.Running(),
			w.s.Waiting(),
		)
	}
	sum := 0
	for _, p := range append(slices.Clone(w.s.pools), w.s.left...) {
		n, soon := 0, 0
		for r := p.first; r != nil; r = r.after {
			n++
			if r.began+w.s.long(r)-w.s.now <= w.s.cfg.ReclaimTime {
				soon++
			}
		}
		if got := w.s.returning(p); n != p.running || got > soon {
			w.t.Fatalf(
				"pool %s: %d run of %d, %d of %d count as coming back",
				p.Name,
				n,
				p.running,
				got,
				soon,
			)
		}
		sum += n
	}
	if sum != running {
		w.t.Fatalf("%d run, %d in the pools", running, sum)
	}
	if len(granted) == 0 {
		return
	}
	if running > w.s.Limit() {
		w.t.Fatalf("%d run, and the limit is %d", running, w.s.Limit())
	}
	for _, p := range w.s.pools {
		if slices.ContainsFunc(granted, func(r *Request) bool { return r.pool == p }) &&
			p.running > w.s.ceiling(p) {
			w.t.Fatalf("pool %s: %d run, its ceiling is %d", p.Name, p.running, w.s.ceiling(p))
		}
	}
}

// pass lets time go by, with the ends and the looks that come meanwhile.
func (w *world) pass(d int64) {
	for end := w.now + d; w.now < end || len(w.out) > 0 && w.out[0].at <= end; {
		look := w.now - w.now%(20*ms) + 20*ms
		if len(w.out) > 0 && w.out[0].at <= min(look, end) {
			r := heap.Pop(&w.out).(*run)
			w.now = r.at
			delete(w.open, r.Request)
			w.answer++
			w.s.Done(r.Request, Success, w.now)
		} else if w.now = min(look, end); w.now == look {
			w.s.Tick(w.now)
		}
		w.check()
	}
}

// Whatever comes: what was offered is granted or given up once, no slot is lost or made up, and no
// limit, ceiling or count is passed, with pools that come and go under load.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := three()
		cfg.LimitAlgorithm = rapid.SampledFrom(LimitAlgorithms).Draw(t, "way")
		cfg.InitialLimit, cfg.MaxQueueLength = rapid.Float64Range(
			1,
			40,
		).Draw(
			t,
			"first",
		), rapid.IntRange(
			1,
			30,
		).Draw(
			t,
			"line",
		)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newWorld(t, cfg, func(*Request) int64 { return 1 + rnd.Int64N(800*ms) })
		offered := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			default:
				for range rapid.IntRange(1, 10).Draw(t, "burst") {
					offered++
					w.offer(
						&Request{
							Class:         rnd.IntN(3),
							Tenant:        rnd.IntN(3) - 1,
							Caller:        uint32(rnd.IntN(4)),
							Objective:     rnd.Int64N(2) * (w.now + rnd.Int64N(1500*ms)),
							Deadline:      w.now + rnd.Int64N(3000*ms),
							MayUseReserve: rnd.IntN(2) == 0,
						},
					)
				}
			case 0:
				w.pass(rapid.Int64Range(1, 2000*ms).Draw(t, "time"))
			case 1:
				if p := w.s.pools[rnd.IntN(len(w.s.pools))]; p.line.n > 0 || len(w.out) > 0 {
					r := p.line.head()
					if r == nil {
						r = w.out[0].Request
					}
					is := w.open[r]
					if was := is == "offered"; w.s.Cancel(r, w.now) != was {
						t.Fatalf("left: %v", is)
					} else if was {
						delete(w.open, r)
						w.answer++
					}
				}
				w.check()
			case 2: // a slot that comes back in another way
				if len(w.out) > 0 {
					r := heap.Pop(&w.out).(*run)
					delete(w.open, r.Request)
					w.answer++
					w.s.Done(r.Request, Outcome(rnd.IntN(3)), w.now)
					w.s.Done(r.Request, Success, w.now) // told twice, it counts once
					w.check()
				}
			case 3:
				next := three()
				next.LimitAlgorithm, next.InitialLimit, next.MaxQueueLength = cfg.LimitAlgorithm, cfg.InitialLimit, cfg.MaxQueueLength
				next.Pools = next.Pools[rapid.IntRange(0, 2).Draw(t, "from"):]
				next.Pools[len(next.Pools)-1].Weight = float64(rnd.IntN(3))
				next.Pools[0].Floor = rnd.Float64() * 0.3
				if next.Pools[0].Reserve = next.Pools[0].Reserve && next.Pools[0].Floor > 0; next.Validate() != nil {
					t.Fatalf("%v", next.Validate())
				}
				w.s.Configure(next, w.now)
				w.check()
			case 4:
				w.s.SetCapacity(rapid.IntRange(0, 50).Draw(t, "most"))
			}
		}
		w.pass(20_000 * ms)
		if w.answer != offered || len(w.open) > 0 || w.s.Running() > 0 || w.s.Waiting() > 0 {
			t.Fatalf("%d of %d are answered, %d open", w.answer, offered, len(w.open))
		}
	})
}

// keep has so many of a class wait at all times.
func (w *world) keep(class, n int, d int64) {
	for end := w.now + d; w.now < end; w.pass(5 * ms) {
		for w.s.of(&Request{Class: class}).line.n < n {
			w.offer(&Request{Class: class, Deadline: w.now + 1<<50})
		}
	}
}

// A pool that was silent has its floor within the call-back time, whatever the others had borrowed,
// and however long their work takes; a reserve has its own at once.
func TestFloorsComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := three()
		cfg.InitialLimit = rapid.Float64Range(10, 60).Draw(t, "limit")
		long := rapid.SliceOfN(rapid.Int64Range(20*ms, 3000*ms), 3, 3).Draw(t, "runs")
		w := newWorld(t, cfg, func(r *Request) int64 { return long[r.Class] })
		for class := range 3 { // how long runs take is known
			w.offer(&Request{Class: class, Deadline: 1 << 50})
		}
		w.pass(5000 * ms)
		w.keep(2, 50, rapid.Int64Range(500*ms, 2500*ms).Draw(t, "alone"))
		lent := w.s.Running()
		for class, within := range []int64{cfg.ReclaimTime, 0} {
			for end := w.now + within; ; w.pass(min(5*ms, end-w.now)) {
				for c := range 3 {
					for c != 1-class && w.s.of(&Request{Class: c}).line.n < 50 {
						w.offer(&Request{Class: c, Deadline: w.now + 1<<50})
					}
				}
				if w.now >= end {
					break
				}
			}
			if p := w.s.pools[class]; p.running < w.s.floor(p) {
				t.Fatalf(
					"pool %s has %d of its %d after %d ms; runs take %v, %d were lent of %d",
					p.Name,
					p.running,
					w.s.floor(p),
					within/ms,
					long,
					lent,
					w.s.Limit(),
				)
			}
		}
		if short := long[2] <= cfg.ReclaimTime; short && lent < w.s.ceiling(w.s.pools[2]) {
			t.Fatalf("%d of %d are used by short work, and nobody else wants any", lent, w.s.Limit())
		}
	})
}

// With all pools full all the time, each that has a floor or a weight gets slots, in about the
// parts that were set, and nobody waits for ever: a bound is that of one turn of all slots for each
// request before it.
func TestNobodyStarves(t *testing.T) {
	cfg := three()
	// weight of nought
	cfg.Pools = append([]Pool{{Name: "idle", Ceiling: 1, Classes: []int{3}}}, cfg.Pools...)
	cfg.Classes = append(cfg.Classes, Class{PriorityWeight: 1})
	// slots are shared by time, not by number
	long := []int64{100 * ms, 30 * ms, 300 * ms, 100 * ms}
	used := make([]float64, 4)
	w := newWorld(t, cfg, func(r *Request) int64 {
		used[r.Class] += float64(long[r.Class])
		return long[r.Class]
	})
	for w.now < 20_000*ms {
		for class := range 4 {
			w.keep(class, 10, 0)
			for w.s.of(&Request{Class: class}).line.n < 10 {
				w.offer(&Request{Class: class, Deadline: w.now + 1<<50})
			}
		}
		w.pass(5 * ms)
	}
	all := used[0] + used[1] + used[2]
	for class, want := range []float64{0.5, 0.333, 0.167} {
		if got := used[class] / all; got < want*0.75 || got > want*1.25 {
			t.Errorf("class %d has %.3f of the slots, want %.3f", class, got, want)
		}
		if w.worst[class] > 3000*ms {
			t.Errorf("class %d waited for %d ms", class, w.worst[class]/ms)
		}
	}
	if w.by[3] > 0 {
		t.Errorf("a weight of nought has %d, and others want them", w.by[3])
	}
}

// One tenant's flood, or one caller's, costs the others nothing.
func TestFloods(t *testing.T) {
	for name, flood := range map[string]Request{"of a tenant": {Tenant: 1, Caller: 7}, "of a caller": {Tenant: 0, Caller: 7}} {
		cfg := three()
		cfg.MaxQueueLength = 40
		w := newWorld(t, cfg, func(*Request) int64 { return 100 * ms })
		w.offer(&Request{Deadline: 1 << 50})
		w.pass(500 * ms)
		lost, wait := 0, int64(0)
		for k := range 400 {
			for range 20 { // ten times what there is room for
				r := flood
				r.Deadline = w.now + 2000*ms
				w.offer(&r)
			}
			if k%2 == 0 {
				r := &Request{Tenant: 0, Caller: 1, Deadline: w.now + 2000*ms}
				w.offer(r)
				began := w.now
				w.pass(10 * ms)
				for w.open[r] == "offered" {
					w.pass(5 * ms)
				}
				if w.open[r] == "" && w.now == began+10*ms {
					lost++
				}
				wait = max(wait, w.now-began)
			} else {
				w.pass(10 * ms)
			}
		}
		if lost > 0 || wait > 300*ms {
			t.Errorf("%s: %d of another are given up, and one waits for %d ms", name, lost, wait/ms)
		}
	}
}

// What cannot be in time is given up when that is known, and one of less worth makes room for one
// of more.
func TestGivenUp(t *testing.T) {
	cfg := three()
	cfg.InitialLimit, cfg.MinLimit, cfg.Pools = 1, 1, []Pool{{Name: "all", Ceiling: 1, Weight: 1}}
	w := newWorld(t, cfg, func(*Request) int64 { return 100 * ms })
	for class := range 3 {
		w.offer(&Request{Class: class, Deadline: 1 << 50})
		w.pass(200 * ms)
	}
	running, check, late, hand := &Request{
		Class:    1,
		Deadline: w.now + 150*ms,
	}, &Request{
		Class:    1,
		Deadline: w.now + 250*ms,
	}, &Request{
		Class:    1,
		Deadline: w.now + 260*ms,
	},
		&Request{
			Class:    0,
			Deadline: w.now + 270*ms,
		}
	var got []string
	for _, r := range []*Request{running, check, late, hand} {
		w.s.Enqueue(r, w.now)
		_, dropped := w.s.TakeDecisions()
		for _, d := range dropped {
			got = append(
				got,
				fmt.Sprint(slices.Index([]*Request{running, check, late, hand}, d.Request), " ", d.Reason),
			)
		}
	}
	if fmt.Sprint(got) != "[2 too late by what stands before it 1 gave way]" || !running.Granted() ||
		hand.Granted() {
		t.Errorf("%v", got)
	}
}

// Where aims are known, who cannot keep one goes behind those that can; where nothing would be left
// of its worth it is given up at once.
func TestAims(t *testing.T) {
	cfg := three()
	cfg.InitialLimit, cfg.MinLimit, cfg.Pools = 1, 1, []Pool{{Name: "all", Ceiling: 1, Weight: 1}}
	w := newWorld(t, cfg, func(*Request) int64 { return 100 * ms })
	for class := range 2 {
		w.offer(&Request{Class: class, Deadline: 1 << 50})
		w.pass(200 * ms)
	}
	due := w.now + 3000*ms
	w.offer(&Request{Class: 0, Deadline: due}) // it runs
	missed, kept, worthless := &Request{
		Class:     0,
		Objective: w.now + 50*ms,
		Deadline:  due,
	}, &Request{
		Class:     0,
		Objective: w.now + 400*ms,
		Deadline:  due,
	}, &Request{
		Class:     1,
		Objective: w.now + 50*ms,
		Deadline:  due,
	}
	for _, r := range []*Request{missed, worthless, kept} {
		w.offer(r)
	}
	if line := w.s.pools[0].line.order; len(line) != 2 || line[0] != kept || line[1] != missed ||
		w.open[worthless] != "" {
		t.Errorf("%d wait, %+v", len(line), w.s.Counts)
	}
}

// The reserve's slots help a hand-in that would come too late, and one stays.
func TestReserveInNeed(t *testing.T) {
	cfg := three()
	cfg.InitialLimit = 10 // of which two are the reserve
	w := newWorld(t, cfg, func(*Request) int64 { return 1000 * ms })
	for class := range 2 {
		w.offer(&Request{Class: class, Deadline: 1 << 50})
	}
	w.pass(2000 * ms)
	for range 20 {
		w.offer(&Request{Class: 0, Deadline: w.now + 60_000*ms, MayUseReserve: true})
	}
	// two are the reserve, one is owed to the rest, and comes back too late for a loan
	if w.s.Running() != 7 {
		t.Errorf("%d run", w.s.Running())
	}
	w.offer(&Request{Class: 0, Deadline: w.now + 1050*ms})
	if w.s.Running() != 7 {
		t.Error("one that is not keyed has a slot of the reserve")
	}
	for range 2 {
		w.offer(&Request{Class: 0, Deadline: w.now + 1050*ms, MayUseReserve: true})
	}
	if w.s.Running() != 8 || w.s.Counts.ReserveGrants != 1 {
		t.Errorf("%d run, %+v", w.s.Running(), w.s.Counts)
	}
	w.offer(&Request{Class: 1, Deadline: w.now + 3000*ms})
	if w.s.Running() != 9 {
		t.Error("the reserve's own does not get a slot at once")
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprint(waiting, " wait"), func(b *testing.B) {
			cfg := three()
			cfg.InitialLimit, cfg.MaxQueueLength, cfg.LimitAlgorithm = 64, 1000, GradientLimit
			s := New(cfg, 0)
			var running []*Request
			now := int64(0)
			rnd := rand.New(rand.NewPCG(1, 1))
			offer := func(r *Request) {
				*r = Request{
					Class:    rnd.IntN(3),
					Tenant:   rnd.IntN(2),
					Caller:   uint32(rnd.IntN(4)),
					Deadline: now + 1<<40,
				}
				s.Enqueue(r, now)
				granted, _ := s.TakeDecisions()
				running = append(running, granted...)
			}
			for s.Running() < 50 || s.Waiting() < waiting {
				offer(new(Request))
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 1000
				r := running[0]
				running = running[1:]
				s.Done(r, Success, now)
				granted, _ := s.TakeDecisions()
				running = append(running, granted...)
				offer(r)
				if len(running) == 0 {
					b.Fatal("nothing runs")
				}
			}
		})
	}
}
