package dependencies

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/simulator/virtualclock"
)

const workPerSecond = 1e6 // of a core of speed 1

// recordingObserver records the notifications that it gets.
type recordingObserver struct {
	clock *virtualclock.Scheduler
	lines []string                 // notifications, each with its time in milliseconds
	ends  map[string]time.Duration // time of the end of each run, by ID
	died  string                   // reason of Died
}

func (observer *recordingObserver) record(format string, v ...any) {
	at := (observer.clock.Now() - virtualclock.Origin).Milliseconds()
	observer.lines = append(observer.lines, fmt.Sprintf("%d ", at)+fmt.Sprintf(format, v...))
}
func (observer *recordingObserver) Needs(id string) { observer.record("%s needs", id) }
func (observer *recordingObserver) Ended(id string, e RunOutcome) {
	observer.record("%s ended %d", id, e)
	observer.ends[id] = observer.clock.Now()
}
func (observer *recordingObserver) Died(why string) { observer.died = why }

func testSpec() MachineSpec {
	return MachineSpec{
		Cores:             2,
		Speed:             1,
		ThrashAt:          100,
		ReadWork:          10_000,
		Backlog:           4,
		MemoryKB:          1e6,
		RunFactor:         8,
		ConcurrencyLimit:  6,
		ConcurrencyWindow: 2 * time.Second,
	}
}

func newTestMachine(s MachineSpec, cold bool) (*Machine, *recordingObserver, *virtualclock.Scheduler) {
	c := virtualclock.New()
	observer := &recordingObserver{clock: c, ends: map[string]time.Duration{}}
	return NewMachine(c, s, cold, observer), observer, c
}

func TestCoresAreShared(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
		with func(*MachineSpec)
		want int64 // milliseconds that runs of 100 ms of work take
	}{
		{"one per core", 2, func(*MachineSpec) {}, 100},
		{"two per core", 4, func(*MachineSpec) {}, 200},
		{"fast", 2, func(s *MachineSpec) { s.Speed = 2 }, 50},
		// 4 per core: 1.5 times as long as without contention
		{"beyond the contention limit", 8, func(s *MachineSpec) { s.ThrashAt, s.Thrash = 2, 0.5 }, 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSpec()
			c.with(&s)
			m, observer, clock := newTestMachine(s, false)
			for i := range c.runs {
				m.Run(Work{ID: fmt.Sprint(i), Parts: []float64{100_000}})
			}
			clock.RunUntil(virtualclock.Origin + 5*time.Second)
			for id, at := range observer.ends {
				if got := (at - virtualclock.Origin + 500*time.Microsecond).Milliseconds(); got != c.want {
					t.Errorf("run %s took %d ms, want %d", id, got, c.want)
				}
			}
			if len(observer.ends) != c.runs {
				t.Errorf("%d of %d runs ended, want all", len(observer.ends), c.runs)
			}
		})
	}
}

func TestReadingTakesWorkAndWaitsForACore(t *testing.T) {
	m, observer, clock := newTestMachine(testSpec(), false)
	accepted := 0
	for i := range 20 {
		if m.Read(func() { observer.record("read %d", i) }) {
			accepted++
		}
	}
	if accepted != 10 { // two that are being read and eight in the backlog
		t.Errorf("%d of 20 requests were accepted, want 10", accepted)
	}
	clock.RunUntil(virtualclock.Origin + time.Second)
	if observer.lines[0] != "10 read 0" || observer.lines[9] != "50 read 9" {
		t.Errorf("notifications = %v, want the first read at 10 ms and the tenth at 50 ms", observer.lines)
	}
}

func TestRunsLeaveTheCoresDuringCalls(t *testing.T) {
	m, observer, clock := newTestMachine(testSpec(), false)
	m.Run(Work{ID: "a", Parts: []float64{10_000, 20_000}})
	m.Run(Work{ID: "b", Parts: []float64{10_000, 20_000}})
	clock.RunUntil(virtualclock.Origin + 100*time.Millisecond)
	m.Resume("a")
	m.Resume("a") // has no effect, as it no longer waits for a call
	m.Stop("b")   // ends it at once, as it waits for a call
	clock.RunUntil(virtualclock.Origin + time.Second)
	want := []string{"10 a needs", "10 b needs", "100 b ended 2", "120 a ended 1"}
	if diff := cmp.Diff(want, observer.lines); diff != "" || m.memory != 0 {
		t.Fatalf("memory in use = %v kB, want 0; notifications (-want +got)\n%s", m.memory, diff)
	}
}

func TestMachineCrashesBeyondItsLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
		cold bool
		with func(*MachineSpec)
		want string
	}{
		{
			"concurrency",
			13,
			false,
			func(*MachineSpec) {},
			"concurrency: mean of 6.5 running requests per core over 2000 ms",
		},
		{"within the limit", 12, false, func(*MachineSpec) {}, ""},
		{
			"cold",
			8,
			true,
			func(s *MachineSpec) { s.WarmUpSpeed, s.WarmUpTime = 0.2, 18*time.Second },
			"concurrency: mean of 4.0 running requests per core over 2000 ms",
		},
		{"memory", 4, false, func(s *MachineSpec) { s.MemoryKB = 900 }, "memory: 960 kB in use of 900 kB"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSpec()
			c.with(&s)
			m, observer, clock := newTestMachine(s, c.cold)
			for i := range c.runs {
				m.Run(Work{ID: fmt.Sprint(i), SizeKB: 30, Parts: []float64{1e9}})
			}
			clock.RunUntil(virtualclock.Origin + 3*time.Second)
			if observer.died != c.want {
				t.Fatalf("reason of the end = %q, want %q", observer.died, c.want)
			}
		})
	}
}

// The memory of a queued request counts from 0.1 s after its reservation. A running request takes eight
// times as much. All memory is released in the end.
func TestMemoryIsReservedAndReleased(t *testing.T) {
	m, _, clock := newTestMachine(testSpec(), false)
	m.ReserveMemory("a", 50)
	m.ReserveMemory("b", 50)
	m.ReserveMemory("c", 50)
	m.ReleaseMemory("c")
	at := func(after time.Duration, want float64) {
		t.Helper()
		if clock.RunUntil(virtualclock.Origin + after); m.Gauges().Memory*1e6 != want {
			t.Errorf("memory in use after %v = %v kB, want %v", after, m.Gauges().Memory*1e6, want)
		}
	}
	at(99*time.Millisecond, 0)
	at(100*time.Millisecond, 100)
	m.Run(Work{ID: "a", SizeKB: 50, Parts: []float64{100_000}})
	at(150*time.Millisecond, 450)
	m.ReleaseMemory("b")
	at(160*time.Millisecond, 400)
	at(300*time.Millisecond, 0)
}

func TestFrozenAndSlowMachine(t *testing.T) {
	m, observer, clock := newTestMachine(testSpec(), false)
	m.Run(Work{ID: "a", Parts: []float64{100_000}})
	clock.After(50*time.Millisecond, func() { m.SetFrozen(true) })
	clock.After(150*time.Millisecond, func() { m.SetFrozen(false); m.SetSlowdown(4) })
	clock.RunUntil(virtualclock.Origin + time.Second)
	// 50 ms at full speed, 100 ms frozen, then 50 ms of work at a quarter of the speed
	if got := (observer.ends["a"] - virtualclock.Origin).Milliseconds(); got != 350 {
		t.Fatalf("run ended after %d ms, want 350", got)
	}
	if cpu := m.Gauges().CPU; cpu != 0 {
		t.Fatalf("CPU use = %v while nothing runs, want 0", cpu)
	}
}

func TestSpeedRisesWhileWarmingUp(t *testing.T) {
	s := testSpec()
	s.WarmUpSpeed, s.WarmUpTime = 0.25, 4*time.Second
	m, observer, clock := newTestMachine(s, true)
	m.Run(Work{ID: "a", Parts: []float64{2.5 * workPerSecond}}) // 4 s at the mean of the speeds 0.25 and 1
	clock.RunUntil(virtualclock.Origin + 10*time.Second)
	if got := (observer.ends["a"] - virtualclock.Origin).Seconds(); math.Abs(got-4) > 0.1 {
		t.Fatalf("run took %.2f s, want 4", got)
	}
	if m.IsWarmingUp() {
		t.Fatal("IsWarmingUp() = true after the warm-up, want false")
	}
}

// The work that the cores do is the sum of the work of runs and of reading, also if runs are stopped and
// the machine is frozen in between.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSpec()
		s.Thrash, s.ThrashAt = rapid.Float64Range(0, 1).Draw(t, "thrash"), 1.5
		m, observer, clock := newTestMachine(s, false)
		want := 0.0
		for i := range rapid.IntRange(1, 20).Draw(t, "runs") {
			work := float64(rapid.IntRange(0, 60_000).Draw(t, "work"))
			m.Run(Work{ID: fmt.Sprint(i), Parts: []float64{work}})
			want += work
			if rapid.IntRange(0, 3).Draw(t, "odd") == 0 {
				m.SetFrozen(true)
				clock.After(5*time.Millisecond, func() { m.SetFrozen(false) })
				m.Stop(fmt.Sprint(i))
			}
			if m.Read(func() {}) {
				want += s.ReadWork
			}
			wait := time.Duration(rapid.Int64Range(0, 20_000).Draw(t, "wait")) * time.Microsecond
			clock.RunUntil(clock.Now() + wait)
		}
		clock.RunUntil(clock.Now() + 10*time.Second)
		if len(m.runs) != 0 || len(observer.ends) == 0 || m.memory != 0 {
			t.Fatalf("%d runs left, %v kB of memory in use; want none", len(m.runs), m.memory)
		}
		if got := m.WorkDone(); math.Abs(got-want) > 100 { // timers fire at whole microseconds
			t.Fatalf("work done by the cores = %v, want %v", got, want)
		}
	})
}

// coarseClock is a clock whose timers fire up to a millisecond late, like those of an event loop.
type coarseClock struct{ *virtualclock.Scheduler }

func (l coarseClock) After(d time.Duration, fn func()) virtualclock.Timer {
	return l.Scheduler.After(
		(l.Now()+d+time.Millisecond-time.Microsecond).Truncate(time.Millisecond)-l.Now(),
		fn,
	)
}

// A timer that fires late neither delays other jobs nor adds work.
func TestLateTimersAddNoWork(t *testing.T) {
	for _, late := range []bool{false, true} {
		scheduler := virtualclock.New()
		var clock virtualclock.Clock = scheduler
		if late {
			clock = coarseClock{scheduler}
		}
		observer := &recordingObserver{clock: scheduler, ends: map[string]time.Duration{}}
		m := NewMachine(clock, testSpec(), false, observer)
		want := 0.0
		for i := range 200 {
			work := float64(1000 + 371*(i%17))
			scheduler.After(
				time.Duration(i)*2357*time.Microsecond,
				func() { m.Run(Work{ID: fmt.Sprint(i), Parts: []float64{work}}) },
			)
			want += work
		}
		scheduler.RunUntil(virtualclock.Origin + 5*time.Second)
		if got := m.WorkDone(); math.Abs(got-want) > 300 || len(observer.ends) != 200 {
			t.Errorf("late timers %v: work done = %.0f, want %.0f; %d runs ended, want 200",
				late, got, want, len(observer.ends))
		}
	}
}
