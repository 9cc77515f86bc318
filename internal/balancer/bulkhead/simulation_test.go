package bulkhead

import (
	"container/heap"
	"slices"
	"time"
)

const (
	ms  = time.Millisecond
	far = 300 * 24 * time.Hour // a deadline that is never reached
)

// testConfig returns a configuration of 20 slots with one pool for each of three classes. The second
// pool is a reserve.
func testConfig() Config {
	return Config{
		Pools: []Pool{
			{Name: "urgent", Floor: 0.3, Ceiling: 1, Weight: 3, Classes: []int{0}},
			{Name: "cheap", Floor: 0.2, Ceiling: 1, Weight: 2, Reserve: true, Classes: []int{1}},
			{Name: "rest", Floor: 0.1, Ceiling: 0.8, Weight: 1},
		},
		Classes: []Class{
			{PriorityWeight: 3, LatePriorityWeight: 0.6},
			{PriorityWeight: 1},
			{PriorityWeight: 1},
		},
		Tenants:        []float64{0.5, 0.5},
		LimitAlgorithm: FixedLimit,
		InitialLimit:   20,
		MinLimit:       2,
		MaxLimit:       1000,
		ReclaimTime:    500 * ms,
		MaxQueueLength: 100,
		DeadlineMargin: 10 * ms,
	}
}

// runs holds the running requests as a heap, ordered by their ends.
type (
	runs []*run
	run  struct {
		*Request
		end time.Duration
	}
)

func (r runs) Len() int           { return len(r) }
func (r runs) Less(i, j int) bool { return r[i].end < r[j].end }
func (r runs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runs) Push(x any)        { *r = append(*r, x.(*run)) }
func (r *runs) Pop() any {
	x := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return x
}

type testReporter interface{ Fatalf(string, ...any) }

// The states of an open request in a simulation.
const (
	requestOffered = "offered"
	requestGranted = "granted"
)

// simulation drives a scheduler with runs of known lengths, and checks its invariants after each step.
type simulation struct {
	t            testReporter
	s            *Scheduler
	now          time.Duration
	running      runs
	took         func(*Request) time.Duration // returns the run time of a request
	open         map[*Request]string          // states of the requests that have not ended
	granted      []int                        // granted requests, by class
	longestWaits []time.Duration              // longest wait of a granted request, by class
	offeredAt    map[*Request]time.Duration   // time of the enqueuing, by request
	ended        int                          // requests that ended, or were dropped or cancelled
}

func newSimulation(t testReporter, cfg Config, took func(*Request) time.Duration) *simulation {
	return &simulation{
		t:            t,
		s:            New(cfg, 0),
		took:         took,
		open:         map[*Request]string{},
		granted:      make([]int, len(cfg.Classes)),
		longestWaits: make([]time.Duration, len(cfg.Classes)),
		offeredAt:    map[*Request]time.Duration{},
	}
}

// offer enqueues a request.
func (w *simulation) offer(r *Request) {
	w.open[r], w.offeredAt[r] = requestOffered, w.now
	w.s.Enqueue(r, w.now)
	w.check()
}

// waiting returns how many requests wait in the pool of a class.
func (w *simulation) waiting(class int) int { return w.s.poolOf(class, 0, 0).queue.length() }

// check takes the decisions, and checks them and the state of the scheduler.
func (w *simulation) check() {
	granted, dropped := w.s.TakeDecisions()
	for _, r := range granted {
		if w.open[r] != requestOffered {
			w.t.Fatalf("a request in state %q was granted a slot, want one that waits", w.open[r])
		}
		w.open[r] = requestGranted
		w.granted[r.Class]++
		w.longestWaits[r.Class] = max(w.longestWaits[r.Class], w.now-w.offeredAt[r])
		heap.Push(&w.running, &run{r, w.now + w.took(r)})
	}
	for _, d := range dropped {
		if w.open[d.Request] != requestOffered {
			w.t.Fatalf("a request in state %q was dropped, want one that waits", w.open[d.Request])
		}
		delete(w.open, d.Request)
		w.ended++
	}
	running := w.checkCounts()
	w.checkPools(running)
	if len(granted) > 0 {
		w.checkLimits(granted, running)
	}
}

func (w *simulation) checkCounts() (running int) {
	waiting := 0
	for _, state := range w.open {
		if state == requestGranted {
			running++
		} else {
			waiting++
		}
	}
	if running != w.s.Running() || waiting != w.s.Waiting() {
		w.t.Fatalf("%d requests run and %d wait, the scheduler reports %d and %d",
			running, waiting, w.s.Running(), w.s.Waiting())
	}
	return running
}

// checkPools compares the counts of running requests with the lists of the pools, and the counts of
// returning runs with full counts.
func (w *simulation) checkPools(running int) {
	sum := 0
	for _, p := range append(slices.Clone(w.s.pools), w.s.removed...) {
		n, returning := 0, 0
		for r := p.first; r != nil; r = r.next {
			n++
			if r.startedAt+w.s.longestRun(r)-w.s.now <= w.s.cfg.ReclaimTime {
				returning++
			}
		}
		if got := w.s.returningRuns(p); n != p.running || got > returning {
			w.t.Fatalf("pool %s: %d requests in the list, running is %d; %d runs count as returning, want at most %d",
				p.Name, n, p.running, got, returning)
		}
		sum += n
	}
	if sum != running {
		w.t.Fatalf("%d requests run, the pools have %d", running, sum)
	}
}

func (w *simulation) checkLimits(granted []*Request, running int) {
	if running > w.s.Limit() {
		w.t.Fatalf("%d requests run, more than the limit of %d", running, w.s.Limit())
	}
	for _, p := range w.s.pools {
		hasGrant := slices.ContainsFunc(granted, func(r *Request) bool { return r.pool == p })
		if hasGrant && p.running > w.s.ceilingSlots(p) {
			w.t.Fatalf("pool %s: %d requests run, more than its ceiling of %d", p.Name, p.running, w.s.ceilingSlots(p))
		}
	}
}

// advance lets time pass, with the ends of runs and the ticks that are due by then.
func (w *simulation) advance(d time.Duration) {
	for end := w.now + d; w.now < end || len(w.running) > 0 && w.running[0].end <= end; {
		tick := w.now - w.now%(20*ms) + 20*ms
		if len(w.running) > 0 && w.running[0].end <= min(tick, end) {
			r := heap.Pop(&w.running).(*run)
			w.now = r.end
			w.end(r.Request, Success)
		} else if w.now = min(tick, end); w.now == tick {
			w.s.Tick(w.now)
		}
		w.check()
	}
}

func (w *simulation) end(r *Request, outcome Outcome) {
	delete(w.open, r)
	w.ended++
	w.s.Done(r, outcome, w.now)
}

// keepWaiting lets time pass, and offers requests so that n requests of a class wait throughout.
func (w *simulation) keepWaiting(class, n int, d time.Duration) {
	for end := w.now + d; w.now < end; w.advance(5 * ms) {
		w.fill(class, n)
	}
}

// fill offers requests of a class until n of its pool wait.
func (w *simulation) fill(class, n int) {
	for w.waiting(class) < n {
		w.offer(&Request{Class: class, Deadline: w.now + far})
	}
}
