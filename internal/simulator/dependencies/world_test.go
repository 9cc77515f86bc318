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

// recordingObserver is a tenant that notes what it is told, and places no calls.
type recordingObserver struct {
	clock *virtualclock.Scheduler
	lines []string
	ends  map[string]time.Duration
	died  string
}

func (d *recordingObserver) record(format string, v ...any) {
	d.lines = append(
		d.lines,
		fmt.Sprintf("%d ", (d.clock.Now()-virtualclock.Origin).Milliseconds())+fmt.Sprintf(format, v...),
	)
}
func (d *recordingObserver) Needs(id string) { d.record("%s needs", id) }
func (d *recordingObserver) Ended(id string, e RunOutcome) {
	d.record("%s ended %d", id, e)
	d.ends[id] = d.clock.Now()
}
func (d *recordingObserver) Died(why string) { d.died = why }

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
	d := &recordingObserver{clock: c, ends: map[string]time.Duration{}}
	return NewMachine(c, s, cold, d), d, c
}

func TestCoresAreShared(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
		with func(*MachineSpec)
		want int64 // ms for runs of 100 ms each
	}{
		{"one a core", 2, func(*MachineSpec) {}, 100},
		{"two a core", 4, func(*MachineSpec) {}, 200},
		{"fast", 2, func(s *MachineSpec) { s.Speed = 2 }, 50},
		// 4 a core: 1.5 times as long
		{"past the crowd", 8, func(s *MachineSpec) { s.ThrashAt, s.Thrash = 2, 0.5 }, 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSpec()
			c.with(&s)
			m, d, clock := newTestMachine(s, false)
			for i := range c.runs {
				m.Run(Work{ID: fmt.Sprint(i), Parts: []float64{100_000}})
			}
			clock.RunUntil(virtualclock.Origin + 5*time.Second)
			for id, at := range d.ends {
				if got := (at - virtualclock.Origin + 500*time.Microsecond).Milliseconds(); got != c.want {
					t.Errorf("run %s took %d ms, want %d", id, got, c.want)
				}
			}
			if len(d.ends) != c.runs {
				t.Errorf("%d of %d runs ended", len(d.ends), c.runs)
			}
		})
	}
}

func TestReadingCostsWorkAndWaits(t *testing.T) {
	m, d, clock := newTestMachine(testSpec(), false)
	room := 0
	for i := range 20 {
		if m.Read(func() { d.record("read %d", i) }) {
			room++
		}
	}
	if room != 10 { // two at once and eight unread
		t.Errorf("%d of 20 had room", room)
	}
	clock.RunUntil(virtualclock.Origin + time.Second)
	if d.lines[0] != "10 read 0" || d.lines[9] != "50 read 9" {
		t.Errorf("%v", d.lines)
	}
}

func TestCallsLeaveTheCores(t *testing.T) {
	m, d, clock := newTestMachine(testSpec(), false)
	m.Run(Work{ID: "a", Parts: []float64{10_000, 20_000}})
	m.Run(Work{ID: "b", Parts: []float64{10_000, 20_000}})
	clock.RunUntil(virtualclock.Origin + 100*time.Millisecond)
	m.Resume("a")
	m.Resume("a") // it goes on once
	m.Stop("b")   // at a call it ends
	clock.RunUntil(virtualclock.Origin + time.Second)
	want := []string{"10 a needs", "10 b needs", "100 b ended 2", "120 a ended 1"}
	if diff := cmp.Diff(want, d.lines); diff != "" || m.memory != 0 {
		t.Fatalf("memory %v (-want +got)\n%s", m.memory, diff)
	}
}

func TestFallsOver(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
		cold bool
		with func(*MachineSpec)
		want string
	}{
		{
			"crowd",
			13,
			false,
			func(*MachineSpec) {},
			"crowd: 6.5 running requests a core in the mean of 2000 ms",
		},
		{"crowd within", 12, false, func(*MachineSpec) {}, ""},
		{
			"cold",
			8,
			true,
			func(s *MachineSpec) { s.WarmUpSpeed, s.WarmUpTime = 0.2, 18*time.Second },
			"crowd: 4.0 running requests a core in the mean of 2000 ms",
		},
		{"memory", 4, false, func(s *MachineSpec) { s.MemoryKB = 900 }, "memory: 960 of 900 kB"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSpec()
			c.with(&s)
			m, d, clock := newTestMachine(s, c.cold)
			for i := range c.runs {
				m.Run(Work{ID: fmt.Sprint(i), SizeKB: 30, Parts: []float64{1e9}})
			}
			clock.RunUntil(virtualclock.Origin + 3*time.Second)
			if d.died != c.want {
				t.Fatalf("died of %q, want %q", d.died, c.want)
			}
		})
	}
}

// A held request counts from 0.1 s after it was written, one that runs eight times from then on,
// and all is given back.
func TestMemoryIsBooked(t *testing.T) {
	m, _, clock := newTestMachine(testSpec(), false)
	m.ReserveMemory("a", 50)
	m.ReserveMemory("b", 50)
	m.ReserveMemory("c", 50)
	m.ReleaseMemory("c")
	at := func(after time.Duration, want float64) {
		t.Helper()
		if clock.RunUntil(virtualclock.Origin + after); m.Gauges().Memory*1e6 != want {
			t.Errorf("at %v %v kB are booked, want %v", after, m.Gauges().Memory*1e6, want)
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

func TestPausesAndSlowness(t *testing.T) {
	m, d, clock := newTestMachine(testSpec(), false)
	m.Run(Work{ID: "a", Parts: []float64{100_000}})
	clock.After(50*time.Millisecond, func() { m.SetFrozen(true) })
	clock.After(150*time.Millisecond, func() { m.SetFrozen(false); m.SetSlowdown(4) })
	clock.RunUntil(virtualclock.Origin + time.Second)
	// 50, paused for 100, 50 at a quarter of the speed
	if got := (d.ends["a"] - virtualclock.Origin).Milliseconds(); got != 350 {
		t.Fatalf("ended after %d ms", got)
	}
	if cpu := m.Gauges().CPU; cpu != 0 {
		t.Fatalf("cpu %v when nothing runs", cpu)
	}
}

func TestColdSpeedRises(t *testing.T) {
	s := testSpec()
	s.WarmUpSpeed, s.WarmUpTime = 0.25, 4*time.Second
	m, d, clock := newTestMachine(s, true)
	m.Run(Work{ID: "a", Parts: []float64{2.5 * workPerSecond}}) // the mean of 0.25 and 1 over four seconds
	clock.RunUntil(virtualclock.Origin + 10*time.Second)
	if got := (d.ends["a"] - virtualclock.Origin).Seconds(); math.Abs(got-4) > 0.1 {
		t.Fatalf("took %.2f s", got)
	}
	if m.IsWarmingUp() {
		t.Fatal("still cold")
	}
}

// Work is neither made nor lost: whatever runs, is stopped or paused, what the cores did is what
// runs and reading took.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSpec()
		s.Thrash, s.ThrashAt = rapid.Float64Range(0, 1).Draw(t, "thrash"), 1.5
		m, d, clock := newTestMachine(s, false)
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
			clock.RunUntil(clock.Now() + time.Duration(rapid.Int64Range(0, 20_000).Draw(t, "wait"))*time.Microsecond)
		}
		clock.RunUntil(clock.Now() + 10*time.Second)
		if len(m.runs) != 0 || len(d.ends) == 0 || m.memory != 0 {
			t.Fatalf("%d runs left, memory %v", len(m.runs), m.memory)
		}
		if got := m.WorkDone(); math.Abs(got-want) > 100 { // timers are whole microseconds
			t.Fatalf("the cores did %v, runs and reading were %v", got, want)
		}
	})
}

func TestBackEnd(t *testing.T) {
	be := BackendSpec{
		Slots:        2,
		Thrash:       0.5,
		CrashFactor:  5,
		CrashWindow:  5 * time.Second,
		RestartTime:  2 * time.Second,
		CancelLinger: 200 * time.Millisecond,
	}
	type end struct {
		At    int64
		Reply CallOutcome
	}
	set := func(s BackendSpec) (*Backend, *virtualclock.Scheduler, *[]end, func(float64) *Call) {
		clock := virtualclock.New()
		b, got := NewBackend(clock, s), &[]end{}
		return b, clock, got, func(work float64) *Call {
			return b.Call(
				work,
				func(r CallOutcome) { *got = append(*got, end{(clock.Now() - virtualclock.Origin).Milliseconds(), r}) },
			)
		}
	}
	t.Run("given up as it ends", func(t *testing.T) { // the call that ends it finds it done
		b, clock, got, call := set(BackendSpec{Slots: 2})
		c := call(10_000)
		b.slots.timer.Stop() // its own timer comes a microsecond after it is done
		clock.RunUntil(virtualclock.Origin + 10_001*time.Microsecond)
		b.Cancel(c)
		clock.RunUntil(virtualclock.Origin + time.Second)
		if len(*got) != 0 || b.InFlight() != 0 {
			t.Errorf("%v, %d held", *got, b.InFlight())
		}
	})
	t.Run("slows when crowded", func(t *testing.T) {
		_, clock, got, call := set(be)
		for range 4 {
			call(10_000)
		}
		clock.RunUntil(virtualclock.Origin + time.Second)
		// twice its slots: half the speed, and half as long again
		want := []end{{30, 1}, {30, 1}, {30, 1}, {30, 1}}
		if diff := cmp.Diff(want, *got); diff != "" {
			t.Fatal(diff)
		}
	})
	t.Run("turns away", func(t *testing.T) {
		s := be
		s.RejectsOverload = true
		_, _, got, call := set(s)
		for range 5 {
			call(10_000)
		}
		if diff := cmp.Diff([]end{{0, CallRejected}}, *got); diff != "" {
			t.Fatal(diff)
		}
	})
	t.Run("given up calls linger", func(t *testing.T) {
		b, clock, got, call := set(be)
		b.Cancel(call(workPerSecond))
		clock.RunUntil(virtualclock.Origin + 199*time.Millisecond)
		held := b.InFlight()
		clock.RunUntil(virtualclock.Origin + 2*time.Second)
		if held != 1 || b.InFlight() != 0 || len(*got) != 0 {
			t.Fatalf("held %d, then %d; told %v", held, b.InFlight(), *got)
		}
	})
	t.Run("falls over and comes back", func(t *testing.T) {
		b, clock, got, call := set(be)
		for range 11 {
			call(1e9)
		}
		clock.RunUntil(virtualclock.Origin + 6*time.Second)
		if !b.IsDown() || b.Crashes != 1 || len(*got) != 11 || (*got)[0].Reply != CallInterrupted {
			t.Fatalf("down %v, falls %d, told %v", b.IsDown(), b.Crashes, *got)
		}
		call(1000)
		if last := (*got)[11]; last.Reply != CallUnreachable {
			t.Fatalf("a call while it is down: %v", last)
		}
		clock.RunUntil(virtualclock.Origin + 9*time.Second)
		call(1000)
		clock.RunUntil(virtualclock.Origin + 10*time.Second)
		if last := (*got)[12]; last.Reply != CallSucceeded || b.Crashes != 1 {
			t.Fatalf("a call after it is back: %v", last)
		}
	})
	t.Run("slow", func(t *testing.T) {
		b, clock, got, call := set(be)
		b.SetSlowdown(5)
		call(10_000)
		clock.RunUntil(virtualclock.Origin + 25*time.Millisecond)
		b.SetSlowdown(1)
		clock.RunUntil(virtualclock.Origin + time.Second)
		if diff := cmp.Diff([]end{{30, 1}}, *got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestRoster(t *testing.T) {
	clock := virtualclock.New()
	r := NewRegistry(clock)
	var got []string
	r.Watch(func() time.Duration { return 2 * time.Second }, func(name string, on bool) {
		got = append(got, fmt.Sprintf("%d %s %v", (clock.Now()-virtualclock.Origin)/time.Second, name, on))
	})
	r.Report("n1")
	for range 4 {
		clock.RunUntil(clock.Now() + time.Second)
		r.Report("n1")
	}
	r.Report("n2")
	r.Deregister("n2")
	clock.RunUntil(virtualclock.Origin + 20*time.Second)
	// n2 was on and off before anybody heard; n1 lapses 3 s after its last report, heard 2 s later.
	want := []string{"2 n1 true", "6 n2 false", "6 n2 false", "9 n1 false"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("(-want +got)\n%s", diff)
	}
}

// delay is a clock whose timers come up to a millisecond after their time, as those of an event loop
// do.
type coarseClock struct{ *virtualclock.Scheduler }

func (l coarseClock) After(d time.Duration, fn func()) virtualclock.Timer {
	return l.Scheduler.After((l.Now()+d+time.Millisecond-time.Microsecond).Truncate(time.Millisecond)-l.Now(), fn)
}

// A late timer makes nothing longer for others, and no work that was not asked for.
func TestLateTimersMakeNoWork(t *testing.T) {
	for _, lateBy := range []bool{false, true} {
		sched := virtualclock.New()
		var clock virtualclock.Clock = sched
		if lateBy {
			clock = coarseClock{sched}
		}
		d := &recordingObserver{clock: sched, ends: map[string]time.Duration{}}
		m := NewMachine(clock, testSpec(), false, d)
		want := 0.0
		for i := range 200 {
			work := float64(1000 + 371*(i%17))
			sched.After(time.Duration(i)*2357*time.Microsecond, func() { m.Run(Work{ID: fmt.Sprint(i), Parts: []float64{work}}) })
			want += work
		}
		sched.RunUntil(virtualclock.Origin + 5*time.Second)
		if got := m.WorkDone(); math.Abs(got-want) > 300 || len(d.ends) != 200 {
			t.Errorf("late %v: the cores did %.0f of %.0f, %d runs ended", lateBy, got, want, len(d.ends))
		}
	}
}
