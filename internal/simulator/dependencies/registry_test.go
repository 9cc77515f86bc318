package dependencies

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/simulator/virtualclock"
)

func TestWatchersLearnOfChangesLate(t *testing.T) {
	clock := virtualclock.New()
	registry := NewRegistry(clock)
	var got []string
	registry.Watch(func() time.Duration { return 2 * time.Second }, func(name string, listed bool) {
		at := (clock.Now() - virtualclock.Origin) / time.Second
		got = append(got, fmt.Sprintf("%d %s %v", at, name, listed))
	})
	registry.Report("n1")
	for range 4 {
		clock.RunUntil(clock.Now() + time.Second)
		registry.Report("n1")
	}
	registry.Report("n2")
	registry.Deregister("n2")
	clock.RunUntil(virtualclock.Origin + 20*time.Second)
	// n2 was listed and removed before the watcher was notified of either change. n1 expires 3 s after its
	// last report, and the watcher is notified 2 s after that.
	want := []string{"2 n1 true", "6 n2 false", "6 n2 false", "9 n1 false"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("notifications (-want +got)\n%s", diff)
	}
}
