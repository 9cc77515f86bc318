package dependencies

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/simulator/virtualclock"
)

// endedCall is a call that has ended, and when, in milliseconds from the start.
type endedCall struct {
	At      int64
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

// newTestBackend starts a back end. It returns the calls that have ended, and a function that starts
// a call of so much work.
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
	// the cancellation finds the call done
	backend, clock, ended, call := newTestBackend(BackendSpec{Slots: 2})
	c := call(10_000)
	backend.slots.timer.Stop() // its own timer fires a microsecond after it is done
	clock.RunUntil(virtualclock.Origin + 10_001*time.Microsecond)
	backend.Cancel(c)
	clock.RunUntil(virtualclock.Origin + time.Second)
	if len(*ended) != 0 || backend.InFlight() != 0 {
		t.Errorf("%v, %d in flight", *ended, backend.InFlight())
	}
}

func TestCallsBeyondTheSlotsSlowEachOther(t *testing.T) {
	_, clock, ended, call := newTestBackend(testBackendSpec())
	for range 4 {
		call(10_000)
	}
	clock.RunUntil(virtualclock.Origin + time.Second)
	// twice its slots: half the speed, and half as long again
	want := []endedCall{{30, 1}, {30, 1}, {30, 1}, {30, 1}}
	if diff := cmp.Diff(want, *ended); diff != "" {
		t.Fatal(diff)
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
		t.Fatal(diff)
	}
}

func TestCanceledCallsLinger(t *testing.T) {
	backend, clock, ended, call := newTestBackend(testBackendSpec())
	backend.Cancel(call(workPerSecond))
	clock.RunUntil(virtualclock.Origin + 199*time.Millisecond)
	lingering := backend.InFlight()
	clock.RunUntil(virtualclock.Origin + 2*time.Second)
	if lingering != 1 || backend.InFlight() != 0 || len(*ended) != 0 {
		t.Fatalf("in flight %d, then %d; ended %v", lingering, backend.InFlight(), *ended)
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
		t.Fatalf("down %v, crashes %d, ended %v", backend.IsDown(), backend.Crashes, *ended)
	}
	call(1000)
	if last := (*ended)[11]; last.Outcome != CallUnreachable {
		t.Fatalf("a call while it is down: %v", last)
	}
	clock.RunUntil(virtualclock.Origin + 9*time.Second)
	call(1000)
	clock.RunUntil(virtualclock.Origin + 10*time.Second)
	if last := (*ended)[12]; last.Outcome != CallSucceeded || backend.Crashes != 1 {
		t.Fatalf("a call after it is back: %v", last)
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
		t.Fatal(diff)
	}
}
