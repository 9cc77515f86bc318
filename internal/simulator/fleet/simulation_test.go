package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/day"
)

// smallDay returns a scenario that takes milliseconds to simulate, with more appended to its text.
func smallDay(t testing.TB, more string) *day.Spec {
	t.Helper()
	text := "name: small\nlength_s: 12\nwindow_s: 4\nfleet: {runners: 5, restart_s: 2, cold_s: 6}\n" + more
	if !strings.Contains(more, "load:") {
		text += "\nload: {of_capacity: 0.6}"
	}
	if !strings.Contains(more, "balancers:") {
		text += "\nbalancers:\n  - {count: 3, choose: round, retry: limitless, pause_ms: 20, heeds: 0.7}"
	}
	s, err := day.Parse("small.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t testing.TB, s *day.Spec, seed uint64, opt Options) *Run {
	t.Helper()
	r, err := Play(day.Draw(s, seed), opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func marshalRun(t testing.TB, r *Run) string {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

const troubles = `
troubles:
  - {kind: crash, at_s: 4, for_s: 3, part: 0.2}
  - {kind: crawl, at_s: 3, for_s: 4, times: 5}
  - {kind: slow, at_s: 2, for_s: 5, part: 0.2, times: 4}
  - {kind: drain, at_s: 6, for_s: 2, part: 0.4}
  - {kind: pause, at_s: 5, for_s: 0.4, part: 0.4}
  - {kind: burst, at_s: 7, for_s: 2, times: 1.5}
  - {kind: cut, at_s: 8, for_s: 1.5, hall: solna}
`

// Simulations of the same day give results that are equal to the byte, also when several run concurrently.
func TestDayIsDeterministic(t *testing.T) {
	s := smallDay(t, troubles)
	want := make([]string, 4)
	for i := range want {
		want[i] = marshalRun(t, play(t, s, uint64(i), Options{}))
	}
	var wg sync.WaitGroup
	got := make([]string, 4*len(want))
	for i := range got {
		wg.Go(func() { got[i] = marshalRun(t, play(t, s, uint64(i%len(want)), Options{})) })
	}
	wg.Wait()
	for i := range got {
		if diff := cmp.Diff(want[i%len(want)], got[i]); diff != "" {
			t.Fatalf("result of day %d (-alone +concurrent)\n%s", i%len(want), diff)
		}
	}
	if want[0] == want[1] {
		t.Fatal("seeds 0 and 1 give the same result, want different ones")
	}
}

// No rule is violated, whatever the behavior of the balancers. Play itself returns an error if a request
// does not end exactly once.
func TestRulesHoldWithAllBehaviorsOfBalancers(t *testing.T) {
	for _, b := range []string{
		"{count: 3, choose: round, retry: limitless, pause_ms: 20}",
		"{count: 3, choose: least, retry: bounded, tries: 3, retry_budget: 0.2, heeds: 1, eject_after: 5}",
		"{count: 3, choose: two, retry: limitless, patience: 0.15, pause_ms: 20, heeds: 0.5}",
		"{count: 3, choose: told, retry: never, check_every_ms: 1500}",
		"{count: 3, choose: fastest, copy_after_ms: 800, heeds: 1, subset: 3}",
		"{count: 3, choose: hash, retry: limitless, throttle: 2, stick: true, pause_ms: 20}",
		"{count: 3, choose: weighted, retry: bounded, tries: 4, pause_ms: 5, heeds: 1}",
	} {
		t.Run(b, func(t *testing.T) {
			r := play(t, smallDay(t, "load: {of_capacity: 0.9}\nbalancers:\n  - "+b+troubles), 3, Options{})
			if r.Broken != 0 {
				t.Errorf("violations by rule %v, want none; notes: %v", r.Rules, r.Notes)
			}
			if r.All.First < 300 || r.Worth < 0.1 || r.Tries < r.All.First/2 {
				t.Errorf("%d requests, %d attempts, worth %.3f; want at least 300, half as many and 0.1",
					r.All.First, r.Tries, r.Worth)
			}
		})
	}
}

// With balancers that retry without limit and follow no advice, a burst starts a retry storm. The storm
// outlasts the burst, and ends some time after the load is low again. With bounded retries there is none.
func TestRetryStormAppearsLastsAndEnds(t *testing.T) {
	text := `
load:
  of_capacity: 0.5
  curve:
    - {at_s: 0, times: 1}
    - {at_s: 5.9, times: 1}
    - {at_s: 6, times: 4}
    - {at_s: 14, times: 4}
    - {at_s: 14.1, times: 1}
    - {at_s: 40, times: 1}
balancers:
  - {count: 3, choose: round, retry: RETRY, tries: 2, retry_budget: 0.1, pause_ms: 20, patience: 0.5}
`
	storm := play(t, longDay(t, strings.Replace(text, "RETRY", "limitless", 1)), 1, Options{})
	calm := play(t, longDay(t, strings.Replace(text, "RETRY", "bounded", 1)), 1, Options{})
	if storm.Retries < 3*calm.Retries || storm.Retries < 0.5 {
		t.Errorf("retries per request = %.2f unlimited, %.2f bounded; want at least 0.5, and three times the bounded",
			storm.Retries, calm.Retries)
	}
	served := func(from, to int) float64 {
		asked, got := 0.0, 0.0
		for _, s := range storm.Series[from:to] {
			asked, got = asked+s.Asked, got+s.Got
		}
		return got / asked
	}
	// The burst ends at 14 s. From then on the load is that before the burst, at which all were served.
	for _, c := range []struct {
		what        string
		from, to    int
		least, most float64
	}{
		{"before", 1, 5, 0.97, 1},
		{"in the burst", 9, 14, 0, 0.2},
		{"after the burst", 15, 19, 0, 0.3},
		{"in the end", 30, 40, 0.97, 1},
	} {
		if v := served(c.from, c.to); v < c.least || v > c.most {
			t.Errorf("share served = %.3f %s, want %v to %v", v, c.what, c.least, c.most)
		}
	}
	for i, s := range calm.Series[20:40] {
		if s.Got < 0.95*s.Asked {
			t.Errorf("with bounded retries %.2f of %.2f are served in second %d, want 95 percent", s.Got, s.Asked, 20+i)
		}
	}
}

func longDay(t testing.TB, more string) *day.Spec {
	t.Helper()
	s, err := day.Parse("long.yaml", []byte("name: long\nlength_s: 40\nfleet: {runners: 4}\n"+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// When a fifth of the runners crashes, the attempts at them break and are retried at other runners. The
// fleet loses at most 0.15 of its worth, and no rule is violated.
func TestFleetServesThroughACrashOfAFifth(t *testing.T) {
	var log []string
	s := smallDay(t, "load: {of_capacity: 0.45}\ntroubles:\n  - {kind: crash, at_s: 5, for_s: 3, part: 0.2}")
	r := play(t, s, 2, Options{Log: func(at time.Duration, runner, text string) {
		if strings.HasPrefix(text, "ended") {
			log = append(log, fmt.Sprintf("%d %s", at/time.Second, text))
		}
	}})
	calm := play(t, smallDay(t, "load: {of_capacity: 0.45}"), 2, Options{})
	if diff := cmp.Diff([]string{"5 ended: killed"}, log); diff != "" {
		t.Errorf("ends of runners (-want +got)\n%s", diff)
	}
	if r.Broken != 0 || r.Tries <= calm.Tries || r.Worth > calm.Worth || r.Worth < calm.Worth-0.15 {
		t.Errorf(
			"worth %.3f with %d attempts, without the crash %.3f with %d; violations by rule %v",
			r.Worth,
			r.Tries,
			calm.Worth,
			calm.Tries,
			r.Rules,
		)
	}
}

func TestClassWithoutRequestsDoesNotCount(t *testing.T) {
	r := play(t, smallDay(t, `
classes:
  - {name: check, share: 1, work_ms: 200, aim_ms: 2700, deadline_ms: 9000, worth: 1, effect: safe}
  - {name: never, share: 0, work_ms: 200, aim_ms: 2700, deadline_ms: 9000, worth: 5, effect: keyed,
     window_ms: 9000}`), 1, Options{})
	if r.Classes[1].First != 0 || r.Classes[1].Served != 1 || r.WorstClass < 0.9 {
		t.Errorf("classes %+v, worst class %v; want the second class to count as served", r.Classes, r.WorstClass)
	}
	if r := play(t, smallDay(t, "load: {of_capacity: 0}"), 1, Options{}); r.All.First != 0 || r.Broken != 0 {
		t.Errorf("result of a day without requests: %+v, want no requests and no violations", r.Result)
	}
}

// The model checks the rules itself: it reports the crash of a runner that runs too many requests, and
// that of a back end that gets too many calls.
func TestViolationsByACrashAreFound(t *testing.T) {
	s := smallDay(t, "")
	for _, c := range []struct {
		name string
		opt  Options
		rule string
	}{
		{"concurrency", Options{Settings: func(set *admission.Settings) {
			set.Cores, set.MaxRunningPerCore, set.MemoryKB, set.Parameters.RunningLimitShare = 200, 1000, 1e12, 1
		}}, "fall-over"},
		{
			"calls without limit",
			Options{Settings: func(set *admission.Settings) { set.CallQuota = 1000 }},
			"backend",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			change := c.opt.Settings
			c.opt.Settings = func(set *admission.Settings) {
				set.Parameters = admission.DefaultParameters()
				change(set)
			}
			over := *s
			over.Load.OfCapacity = day.Range{Lo: 2, Hi: 2}
			over.Fleet.ReadShare = day.Range{} // otherwise the work of reading limits the concurrency
			over.Classes = slices.Clone(s.Classes)
			for i := range over.Classes {
				if c.rule != "backend" {
					over.Classes[i].Calls = day.Range{}
				}
			}
			if c.rule == "backend" {
				over.BackEnd.Headroom = day.Range{Lo: 0.3, Hi: 0.3}
				over.BackEnd.FallMs = 1000
			}
			r := play(t, &over, 1, c.opt)
			if r.Rules[c.rule] == 0 || r.Score != 0 {
				t.Errorf("violations by rule %v, score %v; want a crash and score 0", r.Rules, r.Score)
			}
		})
	}
}

// A second run of an idempotency key within its window is a violation, and so is a run of a request that
// arrived after the grace period of a drain.
func TestViolationsByARunAreFound(t *testing.T) {
	f := newRuleProbe(t, day.Draw(smallDay(t, ""), 1))
	f.run(3, 0)
	f.run(3, 5*time.Second) // within the window of 13 s
	f.run(4, 0)
	f.incarnation.drainAt = time.Microsecond
	f.run(5, 1700*time.Millisecond)
	f.run(6, 2*time.Second)
	res := f.close()
	if res.Rules["duplicate"] != 1 || res.Rules["drain"] != 1 {
		t.Fatalf("violations by rule %v, want one duplicate and one drain; notes: %v", res.Rules, res.Notes)
	}
}
