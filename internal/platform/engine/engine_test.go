package engine

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// endings is a sink that stops the loop at the first end of an attempt.
type endings struct {
	loop *eventloop.Loop
	got  lifecycle.Outcome
}

func (e *endings) AttemptEnded(_ *lifecycle.Attempt, o lifecycle.Outcome, _ *lifecycle.Result) {
	e.got = o
	e.loop.Stop()
}
func (e *endings) NeedsCall(*lifecycle.Attempt, []byte) {}

// link turns a loop with a link to a stand-in until an attempt ends or too much time has passed.
func link(t *testing.T, play func(*eventloop.Loop, *Link, *scenario.Engine)) lifecycle.Outcome {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stand := scenario.NewEngine(t)
	k := New(
		l,
		netip.MustParseAddrPort(stand.Listener.Addr().String()),
		func([]float64) lifecycle.Gauges { return lifecycle.UnknownGauges() },
	)
	sink := &endings{loop: l}
	k.Start(sink)
	l.After(10*time.Second, l.Stop)
	play(l, k, stand)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	return sink.got
}

func attempt(l *eventloop.Loop, id string) *lifecycle.Attempt {
	return &lifecycle.Attempt{
		Request:  &lifecycle.Request{ID: scenario.CallID(id)},
		Class:    "check",
		Deadline: l.Now(),
	}
}

// The end of a run may be in notices that the engine no longer has.
func TestRunWithoutAnEndIsReportedAsFaulted(t *testing.T) {
	got := link(t, func(l *eventloop.Loop, k *Link, _ *scenario.Engine) {
		k.Run(attempt(l, "1"))
		l.After(50*time.Millisecond, func() { k.endLostRuns(10 * time.Millisecond) })
	})
	if got != lifecycle.Faulted {
		t.Fatalf("outcome %v", got)
	}
}

// The admission module keeps deadlines when it gets gauges, so that it must not wait for them.
func TestMeasurementDoesNotWaitForASilentEngine(t *testing.T) {
	looks := 0
	link(t, func(l *eventloop.Loop, k *Link, stand *scenario.Engine) {
		l.After(100*time.Millisecond, func() {
			if err := stand.Send([]string{"deaf"}); err != nil {
				t.Error(err)
			}
			k.Gauges(func(lifecycle.Gauges) {
				looks++
				l.Stop()
			})
		})
	})
	if looks != 1 {
		t.Fatalf("looked round %d times", looks)
	}
}

func TestSecondAttemptWithTheSameIDFails(t *testing.T) {
	got := link(t, func(l *eventloop.Loop, k *Link, _ *scenario.Engine) {
		k.Run(attempt(l, "1"))
		k.Run(attempt(l, "1"))
	})
	if got != lifecycle.Faulted {
		t.Fatalf("outcome %v", got)
	}
}
