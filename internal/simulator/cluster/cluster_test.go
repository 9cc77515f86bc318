package cluster

import (
	"context"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// shortSpec is a day of that kind that is over soon, with troubles that begin early.
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

// On any kind of day, in any way of routing: each request has one answer, no hand-in runs twice,
// and a seed gives the same day again.
func TestRulesHoldOnAllDays(t *testing.T) {
	for _, kind := range Specs() {
		s := shortSpec(t, kind.Name)
		if s.Servers > 50 {
			s.Servers = 50
		}
		for _, way := range RoutingModes {
			// Pools and the days for them, each with some of the others.
			pooled, made := reportsMoreCores(
				way,
			), slices.Contains(
				[]string{"load-80", "load-110", "load-150", "flood", "crawl", "crawl-fifth"},
				kind.Name,
			)
			if pooled != made && !(pooled && kind.Name == "flapping") && !(made && way == "routed") {
				continue
			}
			if s.Seconds = 8; made {
				s.Seconds = 6
			}
			t.Run(s.Name+"/"+way, func(t *testing.T) {
				t.Parallel()
				r, err := Play(&s, 5, way)
				if err != nil {
					t.Fatal(err)
				}
				if r.Twice != 0 || r.Unasked != 0 || r.Asked < 1000 || r.Worth <= 0 || r.Worth > 1 ||
					r.Worst > r.Worth ||
					r.Failed > 1 ||
					r.Tries <= 0 {
					t.Errorf("%+v", *r)
				}
				again, err := Play(&s, 5, way)
				if diff := cmp.Diff(r, again); err != nil || diff != "" {
					t.Errorf("the same day again: %v (-first +second)\n%s", err, diff)
				}
			})
		}
	}
}

// What routing is for: a server that fails at once loses little, where the picker before it lost
// much; and it costs nothing on a calm day. Workers do not change what comes out.
func TestRoutingIsWorthIt(t *testing.T) {
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

// What a reserve is for: at half as much again as the servers can do the cheapest calls are
// answered within their aim, and without pools they are not.
func TestReserveKeepsTheCheapest(t *testing.T) {
	s := shortSpec(t, "load-150")
	c, err := Compare(context.Background(), &s, "routed", "pools-gradient", 1, 3, 8, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for i := range c.DaysB {
		if a, b := c.DaysA[i].Cheap, c.DaysB[i].Cheap; b < 0.99 || a > 0.9 {
			t.Errorf("day %d: %.3f of the cheapest calls are in time without pools, %.3f with them", i, a, b)
		}
	}
}
