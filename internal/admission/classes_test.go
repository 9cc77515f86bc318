package admission

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestSettingsAfter(t *testing.T) {
	safe := func(name string, target time.Duration) Class {
		return Class{Name: name, LatencyObjective: target, Timeout: 3 * time.Second, PriorityWeight: 1}
	}
	keyed := Class{Name: "a", LatencyObjective: time.Second, Timeout: time.Second, Idempotency: IdempotentWithKey, IdempotencyWindow: time.Second}
	dropped := func(c Class) Class {
		c.Removed = true
		return c
	}
	a, b, c := safe("a", 1), safe("b", 1), safe("c", 1)
	for name, x := range map[string]struct{ was, is, want []Class }{
		"as it was":                    {[]Class{a, b}, []Class{a, b}, []Class{a, b}},
		"another order":                {[]Class{a, b}, []Class{b, a}, []Class{a, b}},
		"changed":                      {[]Class{a, b}, []Class{a, safe("b", 2)}, []Class{a, safe("b", 2)}},
		"added in front":               {[]Class{a}, []Class{c, a}, []Class{a, c}},
		"dropped":                      {[]Class{a, b}, []Class{b}, []Class{dropped(a), b}},
		"one for another":              {[]Class{a}, []Class{b}, []Class{dropped(a), b}},
		"back, changed":                {[]Class{dropped(a), b}, []Class{safe("a", 2), b}, []Class{safe("a", 2), b}},
		"of another effect":            {[]Class{a}, []Class{keyed}, []Class{dropped(a), keyed}},
		"of the first effect, later":   {[]Class{dropped(a), keyed}, []Class{a}, []Class{a, dropped(keyed)}},
		"dropped before stays dropped": {[]Class{dropped(a), b}, []Class{b}, []Class{dropped(a), b}},
	} {
		got, err := Settings{Classes: x.is}.MergeClasses(Settings{Classes: x.was})
		if diff := cmp.Diff(x.want, got.Classes); err != nil || diff != "" {
			t.Errorf("%s: %v (-want +got)\n%s", name, err, diff)
		}
	}
	if _, err := (Settings{Classes: []Class{a, b, a}}).MergeClasses(Settings{}); err == nil ||
		!strings.Contains(err.Error(), "second class a") {
		t.Errorf("a class that is there twice: %v", err)
	}
	was := Settings{}
	for i := range MaxClasses {
		was.Classes = append(was.Classes, safe(strings.Repeat("x", i+1), 1))
	}
	if _, err := (Settings{Classes: []Class{a}}).MergeClasses(was); err == nil {
		t.Errorf("more than %d places are given out", MaxClasses)
	}
}

// What is held, runs and is known of classes goes on where places are added and dropped.
func TestClassesChangeWhileRequestsAreOpen(t *testing.T) {
	s := Settings{
		Cores:                 1,
		MemoryKB:              50_000,
		RunningMemoryFactor:   8,
		KeyMemoryKB:           100,
		MaxRunningPerCore:     6,
		WarmUpInitialShare:    0.2,
		Servers:               1,
		IdleConnectionTimeout: time.Second,
		Classes:               []Class{{Name: "old", LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1}},
	}
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	began := func(actions []Action) (ids []uint64) {
		for _, a := range actions {
			if a.Kind == ActionStart {
				ids = append(ids, a.Request)
			}
		}
		return ids
	}
	now := time.Second
	c.Handle(now, nil, nil)
	first := c.Handle(
		now,
		[]Event{{Kind: EventRequest, Request: 1, SizeKB: 1}, {Kind: EventRequest, Request: 2, SizeKB: 1}},
		nil,
	)
	if diff := cmp.Diff([]uint64{1}, began(first)); diff != "" {
		t.Fatalf("one core runs one: %s", diff)
	}
	next := s
	next.Classes = []Class{{Name: "new", LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 1}}
	for range 2 { // in quick succession
		if next, err = next.MergeClasses(c.settings); err == nil {
			err = c.Configure(next)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	out := c.Handle(
		now+time.Millisecond,
		[]Event{
			{Kind: EventRequest, Request: 3, Class: 1, SizeKB: 1},
			{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK},
		},
		nil,
	)
	out = c.Handle(now+2*time.Millisecond, []Event{{Kind: EventCompleted, Request: 2, Outcome: OutcomeOK}}, out)
	if diff := cmp.Diff([]uint64{2, 3}, began(out)); diff != "" {
		t.Errorf("what was held of the dropped class runs, and then the new one: %s", diff)
	}
	if err := c.Configure(s); err == nil {
		t.Error("settings that do not have all places are taken")
	}
}
