package admission

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Merging keeps the index of each class when classes are added, removed, reordered or configured
// again, since open requests refer to classes by index.
func TestMergeClassesKeepsPlaces(t *testing.T) {
	safe := func(name string, objective time.Duration) Class {
		return Class{Name: name, LatencyObjective: objective, Timeout: 3 * time.Second, PriorityWeight: 1}
	}
	keyed := Class{
		Name:              "a",
		LatencyObjective:  time.Second,
		Timeout:           time.Second,
		Idempotency:       IdempotentWithKey,
		IdempotencyWindow: time.Second,
	}
	removed := func(c Class) Class {
		c.Removed = true
		return c
	}
	a, b, c := safe("a", 1), safe("b", 1), safe("c", 1)
	for name, x := range map[string]struct{ current, configured, want []Class }{
		"unchanged":                    {[]Class{a, b}, []Class{a, b}, []Class{a, b}},
		"reordered":                    {[]Class{a, b}, []Class{b, a}, []Class{a, b}},
		"settings changed":             {[]Class{a, b}, []Class{a, safe("b", 2)}, []Class{a, safe("b", 2)}},
		"added in front":               {[]Class{a}, []Class{c, a}, []Class{a, c}},
		"removed":                      {[]Class{a, b}, []Class{b}, []Class{removed(a), b}},
		"replaced":                     {[]Class{a}, []Class{b}, []Class{removed(a), b}},
		"added back, changed":          {[]Class{removed(a), b}, []Class{safe("a", 2), b}, []Class{safe("a", 2), b}},
		"idempotency changed":          {[]Class{a}, []Class{keyed}, []Class{removed(a), keyed}},
		"idempotency changed back":     {[]Class{removed(a), keyed}, []Class{a}, []Class{a, removed(keyed)}},
		"removed before stays removed": {[]Class{removed(a), b}, []Class{b}, []Class{removed(a), b}},
	} {
		got, err := Settings{Classes: x.configured}.MergeClasses(Settings{Classes: x.current})
		if diff := cmp.Diff(x.want, got.Classes); err != nil || diff != "" {
			t.Errorf("%s: MergeClasses() error = %v, want nil; classes (-want +got):\n%s", name, err, diff)
		}
	}
	_, err := Settings{Classes: []Class{a, b, a}}.MergeClasses(Settings{})
	var duplicate *DuplicateClassError
	if !errors.As(err, &duplicate) || duplicate.Index != 2 ||
		!strings.Contains(err.Error(), "class a is configured twice") {
		t.Errorf("MergeClasses() with a duplicate class: error = %v, want a DuplicateClassError for index 2", err)
	}
	current := Settings{}
	for i := range MaxClasses {
		current.Classes = append(current.Classes, safe(strings.Repeat("x", i+1), 1))
	}
	_, err = Settings{Classes: []Class{a}}.MergeClasses(current)
	var tooMany *TooManyClassesError
	if !errors.As(err, &tooMany) || tooMany.Count != MaxClasses+1 {
		t.Errorf("MergeClasses() with more than %d classes: error = %v, want a TooManyClassesError", MaxClasses, err)
	}
}

// Open requests of a removed class still run, and those of an added class run too, after the settings
// of a running controller change.
func TestConfigureKeepsOpenRequests(t *testing.T) {
	s := Settings{
		Cores:                 1,
		MemoryKB:              50_000,
		RunningMemoryFactor:   8,
		KeyMemoryKB:           100,
		MaxRunningPerCore:     6,
		WarmUpInitialShare:    0.2,
		Servers:               1,
		IdleConnectionTimeout: time.Second,
		Classes: []Class{
			{Name: "old", LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1},
		},
	}
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	started := func(actions []Action) (ids []uint64) {
		for _, a := range actions {
			if a.Kind == ActionStart {
				ids = append(ids, a.Request)
			}
		}
		return ids
	}
	now := time.Second
	c.Handle(now, nil, nil)
	arrivals := []Event{
		{Kind: EventRequest, Request: 1, SizeKB: 1},
		{Kind: EventRequest, Request: 2, SizeKB: 1},
	}
	first := c.Handle(now, arrivals, nil)
	if diff := cmp.Diff([]uint64{1}, started(first)); diff != "" {
		t.Fatalf("requests started on one core (-want +got):\n%s", diff)
	}
	next := s
	next.Classes = []Class{
		{Name: "new", LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 1},
	}
	for range 2 { // the second time without a change
		if next, err = next.MergeClasses(c.settings); err == nil {
			err = c.Configure(next)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	out := c.Handle(now+ms, []Event{{Kind: EventRequest, Request: 3, Class: 1, SizeKB: 1}, completed(1)}, nil)
	out = c.Handle(now+2*ms, []Event{completed(2)}, out)
	if diff := cmp.Diff([]uint64{2, 3}, started(out)); diff != "" {
		t.Errorf("requests started, of the removed and then of the new class (-want +got):\n%s", diff)
	}
	if err := c.Configure(s); !errors.Is(err, ErrRestartRequired) {
		t.Errorf("Configure() without a class in force: error = %v, want ErrRestartRequired", err)
	}
}
