package dependencies

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/simulator/virtualclock"
)

// endedCall is the outcome of a call that has ended, and the time of its end.
type endedCall struct {
	At      int64 // milliseconds from the start
	Outcome CallOutcome
}

func testBackendSpec() BackendSpec {
	return BackendSpec{
		Slots:        2,
		Thrash:       0.5,
		CrashFactor:  5,
		CrashWindow:  5 * time.Second,
		RestartTime:  2 * time.Second,
		CancelLinger: 200 * time.Millisecond,
	}
}

// newTestBackend starts a back end. It also returns its clock, the calls that have ended, and a function
// that starts a call of the given work.
func newTestBackend(s BackendSpec) (*Backend, *virtualclock.Scheduler, *[]endedCall, func(work float64) *Call) {
	clock := virtualclock.New()
	backend, ended := NewBackend(clock, s), &[]endedCall{}
	call := func(work float64) *Call {
		return backend.Call(work, func(outcome CallOutcome) {
			*ended = append(*ended, endedCall{(clock.Now() - virtualclock.Origin).Milliseconds(), outcome})
		})
	}
	return backend, clock, ended, call
}

func TestCallCanceledAsItEndsIsNotReported(t *testing.T) {
	// the call is already done when it is canceled
	backend, clock, ended, call := newTestBackend(BackendSpec{Slots: 2})
	c := call(10_000)
	backend.slots.timer.Stop() // it would fire a microsecond after the call is done
	clock.RunUntil(virtualclock.Origin + 10_001*time.Microsecond)
	backend.Cancel(c)
	clock.RunUntil(virtualclock.Origin + time.Second)
	if len(*ended) != 0 || backend.InFlight() != 0 {
		t.Errorf("calls ended = %v, %d in flight; want none", *ended, backend.InFlight())
	}
}

func TestCallsBeyondTheSlotsSlowEachOther(t *testing.T) {
	_, clock, ended, call := newTestBackend(testBackendSpec())
	for range 4 {
		call(10_000)
	}
	clock.RunUntil(virtualclock.Origin + time.Second)
	// twice as many calls as slots: half the speed, and half as long again by Thrash
	want := []endedCall{{30, 1}, {30, 1}, {30, 1}, {30, 1}}
	if diff := cmp.Diff(want, *ended); diff != "" {
		t.Fatal("ended calls (-want +got)\n", diff)
	}
}

func TestOverloadedBackendRejectsCalls(t *testing.T) {
	s := testBackendSpec()
	s.RejectsOverload = true
	_, _, ended, call := newTestBackend(s)
	for range 5 {
		call(10_000)
	}
	if diff := cmp.Diff([]endedCall{{0, CallRejected}}, *ended); diff != "" {
		t.Fatal("ended calls (-want +got)\n", diff)
	}
}

func TestCanceledCallsLinger(t *testing.T) {
	backend, clock, ended, call := newTestBackend(testBackendSpec())
	backend.Cancel(call(workPerSecond))
	clock.RunUntil(virtualclock.Origin + 199*time.Millisecond)
	lingering := backend.InFlight()
	clock.RunUntil(virtualclock.Origin + 2*time.Second)
	if lingering != 1 || backend.InFlight() != 0 || len(*ended) != 0 {
		t.Fatalf("in flight = %d, then %d, want 1, then 0; calls ended = %v, want none",
			lingering, backend.InFlight(), *ended)
	}
}

func TestBackendCrashesAndRestarts(t *testing.T) {
	backend, clock, ended, call := newTestBackend(testBackendSpec())
	for range 11 {
		call(1e9)
	}
	clock.RunUntil(virtualclock.Origin + 6*time.Second)
	if !backend.IsDown() || backend.Crashes != 1 || len(*ended) != 11 ||
		(*ended)[0].Outcome != CallInterrupted {
		t.Fatalf("down = %v, crashes = %d, calls ended = %v; want down, 1 crash and 11 interrupted calls",
			backend.IsDown(), backend.Crashes, *ended)
	}
	call(1000)
	if last := (*ended)[11]; last.Outcome != CallUnreachable {
		t.Fatalf("call to a back end that is down: %v, want it unreachable", last)
	}
	clock.RunUntil(virtualclock.Origin + 9*time.Second)
	call(1000)
	clock.RunUntil(virtualclock.Origin + 10*time.Second)
	if last := (*ended)[12]; last.Outcome != CallSucceeded || backend.Crashes != 1 {
		t.Fatalf("call after the restart: %v, want success and no further crash", last)
	}
}

func TestSlowBackend(t *testing.T) {
	backend, clock, ended, call := newTestBackend(testBackendSpec())
	backend.SetSlowdown(5)
	call(10_000)
	clock.RunUntil(virtualclock.Origin + 25*time.Millisecond)
	backend.SetSlowdown(1)
	clock.RunUntil(virtualclock.Origin + time.Second)
	if diff := cmp.Diff([]endedCall{{30, 1}}, *ended); diff != "" {
		t.Fatal("ended calls (-want +got)\n", diff)
	}
}
