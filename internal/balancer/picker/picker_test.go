package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
)

const s = 1_000_000

func listing(name, hall string) endpointhealth.EndpointSpec {
	return endpointhealth.EndpointSpec{ID: endpointhealth.ID{Name: name, Addr: "a"}, Zone: hall, Weight: 1}
}

// farm is so many servers, spread over halls.
func farm(n int, halls ...string) (list []endpointhealth.EndpointSpec) {
	for i := range n {
		list = append(list, listing(fmt.Sprintf("n%04d", i), halls[i%len(halls)]))
	}
	return list
}

func newRouter(cfg Config, list []endpointhealth.EndpointSpec) *Picker {
	r := New(cfg, "here", 3, 1, func(*Server, endpointhealth.StateChange) {})
	r.UpdateEndpoints(list, s)
	return r
}

// send picks a server and takes note.
func send(r *Picker, q Query) (*Server, PickReason) {
	to, why := r.Pick(&q)
	if to != nil {
		r.Sent(to)
	}
	return to, why
}

// The nearest hall gets the work until it is full by its limits; then the next; where all are full,
// the least loaded.
func TestHalls(t *testing.T) {
	cfg := DefaultConfig(1000)
	cfg.Zones, cfg.ConcurrencyLimit.Initial = []string{"near", "next"}, 10
	list := append(farm(2, "near"), listing("x1", "next"), listing("y1", "far"))
	r := newRouter(cfg, list)
	got := map[string]int{}
	var whys [NoEndpoint + 1]int
	for k := range 60 {
		to, why := send(r, Query{Now: 2*s + int64(k)*relay})
		got[to.Zone]++
		whys[why]++
	}
	if got["near"] != 40 || got["next"] != 10 || got["far"] != 10 || whys[Nearest] != 20 ||
		whys[Overflow] != 20 ||
		whys[Overloaded] != 20 {
		t.Errorf("%v, %v", got, whys)
	}
}

// A hall that has lost most of itself passes on what is left over, so that the rest does not fall
// for it.
func TestAHallIsCutOff(t *testing.T) {
	cfg := DefaultConfig(1000)
	cfg.Zones, cfg.Health.MaxEjectedShare = []string{"near", "next"}, 0.9
	r := newRouter(cfg, farm(20, "near", "next"))
	now := int64(2 * s)
	for _, x := range r.halls[0].servers[:8] {
		for range 3 {
			r.Sent(x)
			r.Done(x, 0, endpointhealth.Unreachable, 100, now)
		}
	}
	now += relay
	got := map[string]int{}
	for range 1000 {
		to, _ := send(r, Query{Now: now})
		got[to.Zone]++
		r.Done(to, 0, endpointhealth.Success, 1000, now)
	}
	if got["near"] < 200 || got["near"] > 360 { // 1.4 of 2 of 10
		t.Errorf("%v", got)
	}
}

// Work is parted by weight, by what is slow, and a server that fails in no time does not draw it
// all.
func TestParts(t *testing.T) {
	for name, c := range map[string]struct {
		weights [4]int
		took    [4]int64 // ms; negative: it fails at once
		want    [4]float64
	}{
		"alike":       {[4]int{1, 1, 1, 1}, [4]int64{10, 10, 10, 10}, [4]float64{.25, .25, .25, .25}},
		"weights":     {[4]int{4, 2, 1, 1}, [4]int64{10, 10, 10, 10}, [4]float64{.5, .25, .125, .125}},
		"one is slow": {[4]int{1, 1, 1, 1}, [4]int64{40, 10, 10, 10}, [4]float64{.04, .32, .32, .32}},
		"fails fast":  {[4]int{1, 1, 1, 1}, [4]int64{-1, 10, 10, 10}, [4]float64{.02, .33, .33, .33}},
	} {
		t.Run(name, func(t *testing.T) {
			var list []endpointhealth.EndpointSpec
			for i, w := range c.weights {
				l := listing(fmt.Sprint(i), "")
				l.Weight = w
				list = append(list, l)
			}
			r := newRouter(DefaultConfig(1000), list)
			got := map[string]float64{}
			type ending struct {
				at int64
				s  *Server
			}
			var open []ending
			const n = 20000
			for k := range n {
				now := 2*s + int64(k)*500 // 20 at once, on the fast ones
				if k%2000 == 0 {
					r.Tick(now)
				}
				for i := 0; i < len(open); i++ {
					if e := open[i]; e.at <= now {
						open[i] = open[len(open)-1]
						open = open[:len(open)-1]
						i--
						r.Done(e.s, 0, endpointhealth.Success, c.took[e.s.Name[0]-'0']*1000, now)
					}
				}
				to, _ := send(r, Query{Now: now})
				got[to.Name]++
				if took := c.took[to.Name[0]-'0']; took < 0 {
					r.Done(to, 0, endpointhealth.ErrorResponse, 1000, now)
				} else {
					open = append(open, ending{now + took*1000, to})
				}
			}
			for i, want := range c.want {
				if share := got[fmt.Sprint(i)] / n; math.Abs(share-want) > 0.06 {
					t.Errorf("server %d gets %.3f, want about %.3f", i, share, want)
				}
			}
		})
	}
}

// A key has one server, whichever instance it comes through; few keys move when a server comes or
// goes; and loads are even.
func TestKeysStay(t *testing.T) {
	cfg := DefaultConfig(1 << 20)
	cfg.KeyAffinity, cfg.ConcurrencyLimit.Initial = true, 1<<20
	cfg.ConcurrencyLimit.Max = 1 << 20
	const keys = 20000
	homes := func(list []endpointhealth.EndpointSpec, self string) map[int]string {
		r := New(cfg, self, 3, 7, func(*Server, endpointhealth.StateChange) {})
		r.UpdateEndpoints(list, s)
		out := map[int]string{}
		for k := range keys {
			to, why := send(r, Query{Key: fmt.Sprint("key", k), Now: 2 * s})
			if why != Affinity {
				t.Fatalf("%v", why)
			}
			out[k] = to.Name
		}
		return out
	}
	for _, n := range []int{3, 17, 200} {
		list := farm(n, "a", "b")
		before, elsewhere, after := homes(list, "here"), homes(list, "there"), homes(list[1:], "here")
		moved, load := 0, map[string]int{}
		for k, name := range before {
			load[name]++
			if elsewhere[k] != name {
				t.Fatalf("key %d is at %s here and at %s there", k, name, elsewhere[k])
			}
			if after[k] != name {
				if moved++; name != list[0].Name {
					t.Fatalf("key %d moves from %s, which stays", k, name)
				}
			}
		}
		most := 0
		for _, c := range load {
			most = max(most, c)
		}
		if moved != load[list[0].Name] || float64(most) > 1.6*float64(keys)/float64(n) {
			t.Errorf(
				"%d servers: %d of %d keys move, the most loaded has %.2f of the mean",
				n,
				moved,
				keys,
				float64(most)*float64(n)/keys,
			)
		}
	}
}

// The keys of a weight follow it.
func TestKeysByWeight(t *testing.T) {
	cfg := DefaultConfig(1 << 20)
	cfg.KeyAffinity, cfg.ConcurrencyLimit.Initial, cfg.ConcurrencyLimit.Max = true, 1<<20, 1<<20
	list := farm(20, "a")
	for i := range 10 {
		list[i].Weight = 3
	}
	r := newRouter(cfg, list)
	heavy := 0
	for k := range 20000 {
		if to, _ := send(r, Query{Key: fmt.Sprint(k), Now: 2 * s}); to.Weight == 3 {
			heavy++
		}
	}
	if share := float64(heavy) / 20000; share < 0.65 || share > 0.85 {
		t.Errorf("the heavy half has %.2f of the keys, want 0.75", share)
	}
}

// Subsets: a server that comes or goes changes at most one of an instance's; over instances all
// servers are used.
func TestSubsets(t *testing.T) {
	list := farm(200, "a")
	uses := map[string]int{}
	for i := range 100 {
		self := fmt.Sprint("instance", i)
		before, after := subset(self, list, 20), subset(self, list[1:], 20)
		if len(before) != 20 || len(after) != 20 {
			t.Fatalf("%d, %d", len(before), len(after))
		}
		had := map[string]bool{}
		for _, l := range before {
			had[l.Name] = true
			uses[l.Name]++
		}
		changed := 0
		for _, l := range after {
			if !had[l.Name] {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("%s: %d servers change", self, changed)
		}
	}
	for _, l := range list {
		if uses[l.Name] == 0 || uses[l.Name] > 25 {
			t.Errorf("%s is in %d of 100 subsets, the mean is 10", l.Name, uses[l.Name])
		}
	}
}

// A new server beside warm ones gets a part that grows, for keys too.
func TestSlowStart(t *testing.T) {
	for _, affinity := range []bool{false, true} {
		cfg := DefaultConfig(1 << 20)
		cfg.KeyAffinity, cfg.ConcurrencyLimit.Initial, cfg.ConcurrencyLimit.Max = affinity, 1<<20, 1<<20
		r := newRouter(cfg, farm(9, "a"))
		r.UpdateEndpoints(farm(10, "a"), 10*s)
		for i, want := range []float64{0.1, 0.55, 1} {
			sec := int64(5 * i)
			now := (10 + sec) * s
			r.Tick(now)
			got := 0
			for k := range 20000 {
				q := Query{Now: now}
				if affinity {
					q.Key = fmt.Sprint(k)
				}
				to, _ := send(r, q)
				if to.Name == "n0009" {
					got++
				}
				r.Done(to, 0, endpointhealth.Success, 1000, now)
			}
			if share := float64(got) / 2000; share < want*0.6 || share > want*1.5 {
				t.Errorf(
					"affinity %v: %d s after it came it gets %.2f of its part, want about %.2f",
					affinity,
					sec,
					share,
					want,
				)
			}
		}
	}
}

// had is the tries of a request.
type had []string

func (h had) Tried(name string) bool {
	for _, x := range h {
		if x == name {
			return true
		}
	}
	return false
}

// All short sequences of events over three servers, of which one may move to another address: no
// request goes to a server that is not listed or had it before, never more are out than may be, and
// somebody is found as long as there is anybody.
func TestAllShortSequences(t *testing.T) {
	a, b, c := listing("a", "x"), listing("b", "x"), listing("c", "y")
	moved := b
	moved.Addr = "elsewhere"
	lists := [][]endpointhealth.EndpointSpec{{a, b, c}, {a, c}, {a, moved, c}}
	type out struct {
		s    *Server
		from uint64 // the roster at that time
	}
	const events = 9
	const depth = 5
	cfg := DefaultConfig(2)
	cfg.Health.ConsecutiveFailures = 1 // so that five events go all the way round
	total := 1
	for range depth {
		total *= events
	}
	for n := range total {
		r := newRouter(cfg, lists[0])
		now, listed := int64(s), lists[0]
		var open []out
		code := n
		fail := func(format string, v ...any) {
			t.Fatalf("sequence %d in base %d: %s", n, events, fmt.Sprintf(format, v...))
		}
		for range depth {
			event := code % events
			code /= events
			switch event {
			case 0, 1, 2:
				listed = lists[event]
				r.UpdateEndpoints(listed, now)
			case 3, 4: // a request, or a further try of one that b had
				q := Query{Idempotent: true, Now: now}
				if event == 4 {
					q.Retry, q.Attempts = true, had{"b"}
				}
				to, why := send(r, q)
				if to == nil {
					if room := len(open) < 2*len(listed) && event == 3; room && why != NoEndpoint {
						fail("nobody, by %v", why)
					}
					continue
				}
				found := false
				for _, l := range listed {
					found = found || l.ID == to.ID
				}
				if !found || event == 4 && to.Name == "b" || to.ActiveRequests > 2 {
					fail("it goes to %v by %v, with %d open", to.ID, why, to.ActiveRequests)
				}
				open = append(open, out{to, 0})
			case 5, 6, 7: // the oldest one ends
				if len(open) > 0 {
					r.Done(
						open[0].s,
						0,
						[]endpointhealth.Outcome{endpointhealth.Success, endpointhealth.Aborted, endpointhealth.Inconclusive}[event-5],
						1000,
						now,
					)
					open = open[1:]
				}
			case 8:
				now += 6 * s
				r.Tick(now)
			}
			outs := 0
			for _, x := range r.Servers() {
				if x.State == endpointhealth.Ejected || x.State == endpointhealth.Probing {
					outs++
				}
				if x.State == endpointhealth.Draining || x.State == endpointhealth.Gone {
					fail("%v is in use, and %v", x.ID, x.State)
				}
			}
			if outs > len(listed)/2 {
				fail("%d of %d are out", outs, len(listed))
			}
			halls := 0
			for _, h := range r.halls {
				halls += h.open
			}
			used, all := 0, 0
			for _, x := range r.Servers() {
				used += x.ActiveRequests
			}
			for _, x := range r.Health().DrainingEndpoints() {
				all += x.ActiveRequests
			}
			if halls != used || used+all != len(open) {
				fail(
					"%d open in halls, %d at servers and %d at those that left, of %d",
					halls,
					used,
					all,
					len(open),
				)
			}
		}
	}
}

// Many random events: what the exhaustive check looks at, with more servers, halls and longer
// lives.
func TestLongLives(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(rapid.IntRange(1, 20).Draw(rt, "most open"))
		cfg.Zones = []string{"b", "a"}
		cfg.KeyAffinity = rapid.Bool().Draw(rt, "affinity")
		r := newRouter(cfg, farm(3, "a", "b"))
		now, listed := int64(s), 3
		var open []*Server
		for range 300 {
			now += rapid.Int64Range(0, 2*s).Draw(rt, "wait")
			switch rapid.IntRange(0, 20).Draw(rt, "event") {
			case 0:
				listed = rapid.IntRange(1, 12).Draw(rt, "servers")
				r.UpdateEndpoints(farm(listed, "a", "b", "c")[:listed], now)
			case 1, 2:
				r.Tick(now)
			case 3, 4, 5, 6, 7, 8, 9, 10:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
					r.Done(
						open[i],
						0,
						rapid.SampledFrom(
							[]endpointhealth.Outcome{
								endpointhealth.Success,
								endpointhealth.Success,
								endpointhealth.ErrorResponse,
								endpointhealth.Aborted,
								endpointhealth.Unreachable,
								endpointhealth.Inconclusive,
							},
						).Draw(
							rt,
							"end",
						),
						rapid.Int64Range(0, s).Draw(rt, "took"),
						now,
					)
					open = append(open[:i], open[i+1:]...)
				}
			default:
				to, why := send(r, Query{Idempotent: rapid.Bool().Draw(rt, "safe"), Key: fmt.Sprint(now), Now: now})
				if to == nil {
					for _, x := range r.Servers() {
						// one that warms up gets its part alone
						if x.ActiveRequests < cfg.MaxRequests && (!x.paced() || x.permitted(&Query{Now: now})) {
							rt.Fatalf("nobody, and %s has %d open", x.Name, x.ActiveRequests)
						}
					}
					continue
				}
				if to.ActiveRequests > cfg.MaxRequests || to.State >= endpointhealth.Draining || why == NoEndpoint {
					rt.Fatalf("%v, %v with %d open by %v", to.ID, to.State, to.ActiveRequests, why)
				}
				open = append(open, to)
			}
		}
	})
}

// The alias table draws by the weights it was given, also of nought.
func TestAlias(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var a alias
	for _, weights := range [][]float64{{1}, {1, 2, 3, 4}, {0, 0, 5}, {0.1, 100, 0.1, 0}, {3, 3, 3, 3, 3, 3, 3}} {
		if !a.lay(weights) {
			t.Fatalf("%v: nothing to draw", weights)
		}
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		got := make([]float64, len(weights))
		for range 100_000 {
			got[a.draw(r)]++
		}
		for i, w := range weights {
			if share := got[i] / 100_000; math.Abs(share-w/sum) > 0.01 || w == 0 && share > 0 {
				t.Errorf("%v: place %d is drawn %.3f, want %.3f", weights, i, share, w/sum)
			}
		}
	}
	if a.lay([]float64{0, 0}) || a.lay(nil) {
		t.Error("there is something to draw")
	}
}

// BenchmarkPick is the cost of one pick, with what is noted of it.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 200, 5000} {
		for _, kind := range []string{"drawn", "key"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				cfg := DefaultConfig(64)
				cfg.KeyAffinity, cfg.Zones = kind == "key", []string{"a", "b"}
				cfg.ConcurrencyLimit = concurrencylimit.DefaultConfig(64)
				r := newRouter(cfg, farm(n, "a", "b", "c"))
				q := Query{Now: 2 * s}
				if kind == "key" {
					q.Key = "0123456789abcdef"
				}
				b.ReportAllocs()
				for b.Loop() {
					q.Now += 100
					to, _ := r.Pick(&q)
					r.Sent(to)
					r.Done(to, 0, endpointhealth.Success, 1000, q.Now)
				}
			})
		}
	}
}

// All suspected at once: work goes on, parted as before.
func TestAllSuspected(t *testing.T) {
	r := newRouter(DefaultConfig(1000), farm(6, "a"))
	for _, x := range r.Servers() {
		r.Sent(x)
		r.Done(x, 0, endpointhealth.Aborted, 1000, 2*s)
	}
	got := map[string]int{}
	for range 600 {
		to, _ := send(r, Query{Now: 2*s + relay})
		got[to.Name]++
	}
	for name, n := range got {
		if n < 90 || n > 110 {
			t.Errorf("%s gets %d of 600", name, n)
		}
	}
}

// A refusal says when to come back: where the only servers are out, when the first of them is
// probed; otherwise about when a request ends.
func TestComeBack(t *testing.T) {
	cfg := DefaultConfig(1)
	cfg.Health.MaxEjectedShare = 1
	r := newRouter(cfg, farm(2, "a"))
	now := int64(2 * s)
	for i, x := range r.Servers() {
		for range 3 {
			r.Sent(x)
			r.Done(x, 0, endpointhealth.Unreachable, 100, now+int64(i)*s)
		}
	}
	if got := r.RetryAfter(now + 2*s); got != 3*s {
		t.Errorf("all are out: come back after %d us", got)
	}
	r = newRouter(cfg, farm(1, "a"))
	to, _ := send(r, Query{Now: now})
	r.Done(to, 0, endpointhealth.Success, 300_000, now)
	send(r, Query{Now: now})
	if to, why := send(r, Query{Now: now}); to != nil || why != NoEndpoint {
		t.Errorf("a server with one request of at most one gets another, by %v", why)
	}
	if got := r.RetryAfter(now); got != 300_000 {
		t.Errorf("all are full: come back after %d us", got)
	}
}

// A light load is spread, and a server that was slow once is tried again after a while.
func TestStaleKnowledge(t *testing.T) {
	r := newRouter(DefaultConfig(100), farm(3, "a"))
	now := int64(2 * s)
	got := map[string]int{}
	for k := range 300 {
		now += s / 10
		to, _ := send(r, Query{Now: now})
		got[to.Name]++
		took := int64(10_000)
		if to.Name == "n0001" && k < 30 {
			took = 200_000
		}
		r.Done(to, 0, endpointhealth.Success, took, now)
	}
	if got["n0001"] < 30 || got["n0000"] < 60 || got["n0002"] < 60 {
		t.Errorf("%v", got)
	}
}

// BenchmarkList is a list that comes anew with one server changed, and BenchmarkTick a look at all
// of them.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{17, 200, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := DefaultConfig(64)
			cfg.KeyAffinity = true
			list := farm(n, "a", "b", "c")
			r := newRouter(cfg, list)
			k := 0
			for b.Loop() {
				k++
				list[k%n].Addr = fmt.Sprint(k)
				r.UpdateEndpoints(list, int64(k))
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{17, 200, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter(DefaultConfig(64), farm(n, "a", "b", "c"))
			now := int64(2 * s)
			for _, x := range r.Servers() {
				for range 30 {
					r.Sent(x)
					r.Done(x, 0, endpointhealth.Success, 1000, now)
				}
			}
			for b.Loop() {
				now += 10
				r.Tick(now)
			}
		})
	}
}

// A server's limit fell to the least when more of the long work came, as latencies were compared
// with those of another mix.
func TestAnotherMixIsNotSlow(t *testing.T) {
	cfg := DefaultConfig(64)
	r := New(cfg, "hop", 2, 1, func(*Server, endpointhealth.StateChange) {})
	now, rnd := int64(1), rand.New(rand.NewPCG(1, 1))
	r.UpdateEndpoints([]endpointhealth.EndpointSpec{{ID: endpointhealth.ID{Name: "one", Addr: "one"}, Weight: 1}}, now)
	s := r.Servers()[0]
	// the least of each part; half of it has to do now and then
	limits, half := [2]int{64, 64}, 64
	for part, share := range []int{10, 90} { // percent of long work
		for n := range 4000 {
			class, took := 0, int64(5_000)
			if rnd.IntN(100) < share {
				class, took = 1, 100_000
			}
			now += 10_000
			for s.ActiveRequests < s.Limit() {
				r.Sent(s)
			}
			r.Done(s, class, endpointhealth.Success, took, now)
			if n > 2000 || part == 1 {
				limits[part] = min(limits[part], s.Limit())
			}
		}
	}
	if half = limits[0] * 2 / 5; limits[0] < 16 || limits[1] < half {
		t.Errorf("limit %d, and with more of the long work %d", limits[0], limits[1])
	}
}
