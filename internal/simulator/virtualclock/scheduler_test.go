package virtualclock

import (
	"cmp"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Events that were not stopped run in the order of their times, and those with the same time in the order
// in which they were scheduled.
func TestEventsRunInOrderOfTimeAndScheduling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type scheduled struct {
			delay time.Duration
			index int
		}
		s := New()
		var want []scheduled
		var got []int
		for i, us := range rapid.SliceOfN(rapid.Int64Range(0, 9), 1, 60).Draw(t, "delays") {
			delay := time.Duration(us) * time.Microsecond
			timer := s.After(delay, func() { got = append(got, i) })
			if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
				timer.Stop()
				timer.Stop()
			} else {
				want = append(want, scheduled{delay, i})
			}
		}
		slices.SortStableFunc(want, func(a, b scheduled) int { return cmp.Compare(a.delay, b.delay) })
		s.RunUntil(Origin + 10*time.Microsecond)
		var order []int
		for _, event := range want {
			order = append(order, event.index)
		}
		if diff := gocmp.Diff(order, got); diff != "" {
			t.Fatalf("order of events (-want +got)\n%s", diff)
		}
		if s.Pending() != 0 || s.Now() != Origin+10*time.Microsecond {
			t.Fatalf("Pending() = %d at %v, want 0 at the end of the run", s.Pending(), s.Now())
		}
	})
}

func TestEventScheduledForNowRunsAfterThoseAlreadyThere(t *testing.T) {
	s := New()
	delay := 5 * time.Microsecond
	var got []string
	s.After(delay, func() { s.After(0, func() { got = append(got, "third") }); got = append(got, "first") })
	s.After(delay, func() { got = append(got, "second") })
	s.RunUntil(Origin + delay)
	if diff := gocmp.Diff([]string{"first", "second", "third"}, got); diff != "" {
		t.Fatalf("order of events (-want +got)\n%s", diff)
	}
}

func TestDelaysAreCutToTheResolution(t *testing.T) {
	s := New()
	var at []time.Duration
	for _, delay := range []time.Duration{-time.Second, 1999 * time.Nanosecond} {
		s.After(delay, func() { at = append(at, s.Now()) })
	}
	s.RunUntil(Origin + time.Second)
	if diff := gocmp.Diff([]time.Duration{Origin, Origin + time.Microsecond}, at); diff != "" {
		t.Fatalf("times of events (-want +got)\n%s", diff)
	}
}
