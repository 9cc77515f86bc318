package cluster

import (
	"context"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// shortSpec returns a kind of day of 20 seconds, with its faults moved to a third of their times.
func shortSpec(t *testing.T, name string) Spec {
	t.Helper()
	s, ok := Named(name)
	if !ok {
		t.Fatal("unknown kind of day:", name)
	}
	s.Seconds = 20
	for i := range s.Faults {
		s.Faults[i].From, s.Faults[i].To = s.Faults[i].From/3, s.Faults[i].To/3
	}
	return s
}

// bulkheadDays lists the kinds of day that are meant for modes with bulkheads.
var bulkheadDays = []string{"load-80", "load-110", "load-150", "flood", "crawl", "crawl-fifth"}

// On each kind of day, in the routing modes that suit it, each request gets one answer, no idempotency key runs
// twice, and simulating the same seed again gives the same result.
func TestRulesHoldOnAllKindsOfDay(t *testing.T) {
	for _, kind := range Specs() {
		s := shortSpec(t, kind.Name)
		if s.Servers > 50 {
			s.Servers = 50
		}
		for _, mode := range RoutingModes {
			// Modes with bulkheads, and modeWide, run on the days meant for bulkheads and on flapping. The other
			// modes run on the other days, and modeRouted on all days.
			bulkheads, isBulkheadDay := reportsMoreCores(mode), slices.Contains(bulkheadDays, kind.Name)
			if bulkheads != isBulkheadDay && !(bulkheads && kind.Name == "flapping") &&
				!(isBulkheadDay && mode == modeRouted) {
				continue
			}
			if s.Seconds = 8; isBulkheadDay {
				s.Seconds = 6
			}
			t.Run(s.Name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				r, err := Play(&s, 5, mode)
				if err != nil {
					t.Fatal(err)
				}
				if r.Twice != 0 || r.Unanswered != 0 || r.Asked < 1000 || r.Worth <= 0 || r.Worth > 1 ||
					r.Worst > r.Worth ||
					r.Failed > 1 ||
					r.Tries <= 0 {
					t.Errorf("result out of bounds: %+v", *r)
				}
				again, err := Play(&s, 5, mode)
				if diff := cmp.Diff(r, again); err != nil || diff != "" {
					t.Errorf("second simulation of the day: error = %v, result (-first +second)\n%s", err, diff)
				}
			})
		}
	}
}

// A server that answers errors at once attracts requests. The routing loses little worth to it, the baseline
// at least 0.1 more. On a calm day the routing is not worse. The number of workers of the comparison does not
// change the result.
func TestRoutingEarnsMoreThanTheBaseline(t *testing.T) {
	s := shortSpec(t, "fast-failer")
	one, err := Compare(context.Background(), &s, "before", "routed", 1, 3, 1, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if e := one.Estimates[0]; e.Lo < 0.1 || e.B < 0.98 {
		t.Errorf("worth on a day with a fast failer = %+v, want B at least 0.98 and better by 0.1", e)
	}
	eight, err := Compare(context.Background(), &s, "before", "routed", 1, 3, 8, func() {})
	if diff := cmp.Diff(one, eight); err != nil || diff != "" {
		t.Errorf("error = %v, comparison (-1 worker +8 workers)\n%s", err, diff)
	}
	s = shortSpec(t, "calm")
	c, err := Compare(context.Background(), &s, "before", "routed", 1, 3, 8, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if e := c.Estimates[0]; e.Diff < -0.002 {
		t.Errorf("worth on a calm day = %+v, want B no worse than by 0.002", e)
	}
}

// At one and a half times the capacity, bulkheads serve the requests of the cheapest class within their latency
// objective. Without bulkheads many of them are late or not served.
func TestReserveServesTheCheapestInTime(t *testing.T) {
	s := shortSpec(t, "load-150")
	c, err := Compare(context.Background(), &s, "routed", "pools-gradient", 1, 3, 8, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for i := range c.DaysB {
		if a, b := c.DaysA[i].Cheap, c.DaysB[i].Cheap; b < 0.99 || a > 0.9 {
			t.Errorf("day %d: cheapest requests in time = %.3f, with bulkheads %.3f; want at most 0.9, at least 0.99",
				i, a, b)
		}
	}
}
