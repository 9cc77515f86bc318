package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one controller with explicit times and events.
type harness struct {
	t   testing.TB
	ctl *Controller
	now time.Duration
}

// newHarness starts a controller with testSettings as modified by change, which may be nil.
func newHarness(t testing.TB, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	ctl, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, ctl: ctl, now: time.Hour}
	h.advance(0)
	return h
}

// advance advances the time and handles events.
func (h *harness) advance(after time.Duration, events ...Event) []Action {
	h.now += after
	return h.ctl.Handle(h.now, events, nil)
}

// retryAge is the age that the retry detector estimates for a request with this time until its
// deadline.
func (h *harness) retryAge(class int, left time.Duration) time.Duration {
	return h.ctl.retries.age(left, h.ctl.settings.Classes[class].Timeout)
}

// runTimers handles timer events with the same gauges for a span of time.
func (h *harness) runTimers(span time.Duration, cpu, runnable float64) (out []Action) {
	for ; span > 0; span -= tickInterval {
		out = append(out, h.advance(tickInterval, timerEvent(cpu, runnable))...)
	}
	return out
}

// idleTimeoutAfter handles n requests from the callers in turn and returns the idle timeout at the
// end.
func (h *harness) idleTimeoutAfter(first, n uint64, callers uint32, queued time.Duration, cpu float64) time.Duration {
	last := h.ctl.idleTimeout
	for id := first; id < first+n; id++ {
		e := h.arrival(id, 0)
		e.Caller, e.QueueingDelay = uint32(id)%callers, queued
		if a := findAction(h.advance(50*ms, e, timerEvent(cpu, 0)), ActionCloseIdle, 0); a != nil {
			last = a.Duration
		}
	}
	return last
}

// completeCalls handles n requests, one in each control period, each with a call that lasts took.
func (h *harness) completeCalls(first, n uint64, took time.Duration) {
	for id := first; id < first+n; id++ {
		h.advance(0, h.arrival(id, 0))
		h.advance(0, blocked(id))
		h.advance(ms, Event{Kind: EventCallCompleted, Request: id, Outcome: OutcomeOK, Elapsed: took})
		h.advance(0, completed(id))
		h.runTimers(controlPeriod, 0.5, 1)
	}
}

// arrival is the event of a request of a class with its whole timeout left.
func (h *harness) arrival(id uint64, class int) Event {
	return Event{
		Kind:     EventRequest,
		Request:  id,
		Class:    class,
		Deadline: h.now + h.ctl.settings.Classes[class].Timeout,
		SizeKB:   1,
		Caller:   1,
		Tenant:   -1,
	}
}

// requireAction returns the first action of a kind for a request, and fails the test without one.
func (h *harness) requireAction(out []Action, kind ActionKind, id uint64) *Action {
	h.t.Helper()
	a := findAction(out, kind, id)
	if a == nil {
		h.t.Fatalf("no action of kind %d for request %d in %+v", kind, id, out)
	}
	return a
}

// timerEvent is a timer event with these gauges.
func timerEvent(cpu, runnable float64) Event {
	return Event{Kind: EventTimer, Gauges: Gauges{CPU: cpu, Runnable: runnable}}
}

// findAction returns the first action of a kind for a request, or for any if id is 0; nil: none.
func findAction(out []Action, kind ActionKind, id uint64) *Action {
	for i := range out {
		if out[i].Kind == kind && (id == 0 || out[i].Request == id) {
			return &out[i]
		}
	}
	return nil
}

// newReadHarness returns a harness whose reads may share results, and a function that returns the
// arrival of a read of one subject.
func newReadHarness(t *testing.T, change func(*Settings)) (h *harness, read func(id, prior uint64) Event) {
	h = newHarness(t, func(s *Settings) {
		s.ResultMaxAge, s.Cores = time.Second, 1
		s.Classes[0].CallsDependency = false
		if change != nil {
			change(s)
		}
	})
	return h, func(id, prior uint64) Event {
		e := h.arrival(id, 0)
		e.SubjectKey, e.PriorRequest = 7, prior
		return e
	}
}

// blocked is the event of a run that waits for its call.
func blocked(id uint64) Event { return Event{Kind: EventBlocked, Request: id} }

// completed is the event of a run that succeeded.
func completed(id uint64) Event { return Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK} }

// cancelled is the event of a run that was cancelled.
func cancelled(id uint64) Event {
	return Event{Kind: EventCompleted, Request: id, Outcome: OutcomeCancelled}
}

// abandoned is the event of a request whose caller no longer waits for it.
func abandoned(id uint64) Event { return Event{Kind: EventAbandoned, Request: id} }
