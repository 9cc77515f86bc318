package cluster

import (
	"context"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// shortSpec is a short day of a kind, with faults that begin early.
func shortSpec(t *testing.T, name string) Spec {
	t.Helper()
	s, ok := Named(name)
	if !ok {
		t.Fatal(name)
	}
	s.Seconds = 20
	for i := range s.Faults {
		s.Faults[i].From, s.Faults[i].To = s.Faults[i].From/3, s.Faults[i].To/3
	}
	return s
}

// bulkheadDays are the kinds of day that are made for bulkheads.
var bulkheadDays = []string{"load-80", "load-110", "load-150", "flood", "crawl", "crawl-fifth"}

// On any kind of day, in any routing mode, each request has one answer, no key runs twice, and a seed
// gives the same result again.
func TestRulesHoldOnAllKindsOfDay(t *testing.T) {
	for _, kind := range Specs() {
		s := shortSpec(t, kind.Name)
		if s.Servers > 50 {
			s.Servers = 50
		}
		for _, mode := range RoutingModes {
			// Modes with bulkheads, the days for them, and each with some of the others.
			bulkheads, daysForThem := reportsMoreCores(mode), slices.Contains(bulkheadDays, kind.Name)
			if bulkheads != daysForThem && !(bulkheads && kind.Name == "flapping") &&
				!(daysForThem && mode == modeRouted) {
				continue
			}
			if s.Seconds = 8; daysForThem {
				s.Seconds = 6
			}
			t.Run(s.Name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				r, err := Play(&s, 5, mode)
				if err != nil {
					t.Fatal(err)
				}
				if r.Twice != 0 || r.Unasked != 0 || r.Asked < 1000 || r.Worth <= 0 || r.Worth > 1 ||
					r.Worst > r.Worth ||
					r.Failed > 1 ||
					r.Tries <= 0 {
					t.Errorf("%+v", *r)
				}
				again, err := Play(&s, 5, mode)
				if diff := cmp.Diff(r, again); err != nil || diff != "" {
					t.Errorf("the same day again: %v (-first +second)\n%s", err, diff)
				}
			})
		}
	}
}

// A server that fails at once costs little, unlike with the baseline, and routing costs nothing on a
// calm day. The number of workers does not change the result.
func TestRoutingEarnsMoreThanTheBaseline(t *testing.T) {
	s := shortSpec(t, "fast-failer")
	one, err := Compare(context.Background(), &s, "before", "routed", 1, 3, 1, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if e := one.Estimates[0]; e.Lo < 0.1 || e.B < 0.98 {
		t.Errorf("fast failer: %+v", e)
	}
	eight, err := Compare(context.Background(), &s, "before", "routed", 1, 3, 8, func() {})
	if diff := cmp.Diff(one, eight); err != nil || diff != "" {
		t.Errorf("%v (-1 worker +8)\n%s", err, diff)
	}
	s = shortSpec(t, "calm")
	c, err := Compare(context.Background(), &s, "before", "routed", 1, 3, 8, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if e := c.Estimates[0]; e.Diff < -0.002 {
		t.Errorf("calm: %+v", e)
	}
}

// At one and a half times the capacity the cheapest requests are served within their objective with
// bulkheads, and without them they are not.
func TestReserveServesTheCheapestInTime(t *testing.T) {
	s := shortSpec(t, "load-150")
	c, err := Compare(context.Background(), &s, "routed", "pools-gradient", 1, 3, 8, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for i := range c.DaysB {
		if a, b := c.DaysA[i].Cheap, c.DaysB[i].Cheap; b < 0.99 || a > 0.9 {
			t.Errorf("day %d: %.3f of the cheapest requests are in time without bulkheads, %.3f with them", i, a, b)
		}
	}
}
