package admission

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// New names the setting that is missing or out of range.
func TestNewReportsInvalidSetting(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores":               func(s *Settings) { s.Cores = 0 },
		"MemoryKB":            func(s *Settings) { s.MemoryKB = math.NaN() },
		"RunningMemoryFactor": func(s *Settings) { s.RunningMemoryFactor = 0 },
		"MaxRunningPerCore":   func(s *Settings) { s.MaxRunningPerCore = 0 },
		"WarmUpInitialShare":  func(s *Settings) { s.WarmUpInitialShare = 2 },
		"CallQuota":           func(s *Settings) { s.CallQuota = 0 },
		"Classes":             func(s *Settings) { s.Classes = nil },
		"LatencyObjective":    func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"IdempotencyWindow":   func(s *Settings) { s.Classes[1].IdempotencyWindow = 0 },
		"Idempotency":         func(s *Settings) { s.Classes[2].Idempotency = 9 },
	} {
		s := testSettings()
		change(&s)
		_, err := New(s, 0)
		var invalid *SettingError
		if !errors.As(err, &invalid) || !strings.HasSuffix(invalid.Setting, field) {
			t.Errorf("%s: New() error = %v, want a SettingError for this setting", field, err)
		}
	}
}

// Two controllers with the same settings return the same actions for the same events.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() (all [][]Action) {
		k := newChecker(t, testSettings(), 3)
		k.mutate = func(_ *checker, out []Action) []Action {
			all = append(all, append([]Action(nil), out...))
			return out
		}
		k.runLifetime()
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("actions of two controllers differ for the same events")
	}
}

// Events with invalid values do not break the controller, and each request still gets exactly one
// answer.
func TestInvalidEventValuesGetOneAnswer(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	invalid := []Event{
		{Kind: EventRequest, Request: 1, Deadline: time.Second, SizeKB: nan},
		{Kind: EventRequest, Request: 2, Class: 99, Tenant: 1 << 30, SizeKB: inf},
		{Kind: EventRequest, Request: 3, Class: -1, Tenant: -4, SizeKB: -5, QueueingDelay: -time.Hour},
		{Kind: EventRequest, Request: 4, ExpectedWork: math.MaxInt64, SizeKB: 1e300},
		{Kind: EventRequest, Request: 5, QueueingDelay: math.MaxInt64 / 4, SizeKB: 1},
		{Kind: EventCompleted, Request: 77}, {Kind: EventCallCompleted, Request: 4},
		{Kind: EventBlocked, Request: 5}, {Kind: EventAbandoned, Request: 78}, {Kind: 200, Request: 4},
		{Kind: EventTimer, Gauges: Gauges{CPU: nan, Runnable: inf, Memory: nan, Connections: nan}},
		{Kind: EventDrain}, {Kind: EventDrain, Deadline: -5},
	}
	h := newHarness(t, nil)
	answered := map[uint64]int{}
	out := append(h.advance(ms, invalid...), h.runTimers(4*time.Second, nan, nan)...)
	for _, a := range out {
		if a.Kind == ActionReject || a.Kind == ActionFail {
			answered[a.Request]++
		}
		if a.Kind == ActionAdvertise && !(a.Value >= 0 && a.Value < 1e9) {
			t.Errorf("advertised value = %v, want at least 0 and below 1e9", a.Value)
		}
	}
	for id := uint64(1); id <= 5; id++ {
		if answered[id] != 1 {
			t.Errorf("request %d answered %d times, want 1", id, answered[id])
		}
	}
}

// BenchmarkHandle measures one request from its arrival to the end of its run.
func BenchmarkHandle(b *testing.B) {
	h := newHarness(b, nil)
	out, events := make([]Action, 0, 64), make([]Event, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.now += ms
		events[0] = h.arrival(uint64(i+1), 2)
		out = h.ctl.Handle(h.now, events, out[:0])
		events[0] = completed(uint64(i + 1))
		out = h.ctl.Handle(h.now, events, out[:0])
	}
}
