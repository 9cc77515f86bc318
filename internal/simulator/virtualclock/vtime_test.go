package virtualclock

import (
	"cmp"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Whatever is asked for and taken back, the rest happens in the order of time and, in a tie, of
// asking.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type ask struct{ at, n int64 }
		s := New()
		var want []ask
		var got []int64
		for i, d := range rapid.SliceOfN(rapid.Int64Range(0, 9), 1, 60).Draw(t, "delays") {
			n := int64(i)
			timer := s.After(d, func() { got = append(got, n) })
			if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
				timer.Stop()
				timer.Stop()
			} else {
				want = append(want, ask{d, n})
			}
		}
		slices.SortStableFunc(want, func(a, b ask) int { return cmp.Compare(a.at, b.at) })
		s.RunUntil(Origin + 10)
		var order []int64
		for _, a := range want {
			order = append(order, a.n)
		}
		if diff := gocmp.Diff(order, got); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
		if s.Pending() != 0 || s.Now() != Origin+10 {
			t.Fatalf("%d pending at %d", s.Pending(), s.Now())
		}
	})
}

// What happens may ask for more at its own time, which comes behind what stood there.
func TestTieInAnEvent(t *testing.T) {
	s := New()
	var got []string
	s.After(5, func() { s.After(0, func() { got = append(got, "third") }); got = append(got, "first") })
	s.After(5, func() { got = append(got, "second") })
	s.RunUntil(Origin + 5)
	if diff := gocmp.Diff([]string{"first", "second", "third"}, got); diff != "" {
		t.Fatalf("(-want +got)\n%s", diff)
	}
}
