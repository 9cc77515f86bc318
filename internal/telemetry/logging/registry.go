package logging

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
)

// registry holds all events, and the levels of their areas.
var registry = struct {
	sync.Mutex
	events map[string]*Event
	areas  map[string]*slog.LevelVar
}{events: map[string]*Event{}, areas: map[string]*slog.LevelVar{}}

// Define registers an event. The package that logs the event keeps it in a package-level variable.
// Define panics if the name is taken.
func Define(name string, level slog.Level, fields ...string) *Event {
	registry.Lock()
	defer registry.Unlock()
	area, _, _ := strings.Cut(name, ".")
	if registry.events[name] != nil {
		panic("logging: two events are named " + name)
	}
	if registry.areas[area] == nil {
		registry.areas[area] = new(slog.LevelVar)
	}
	e := &Event{Name: name, Level: level, Fields: fields, area: registry.areas[area], rateLimit: defaultRateLimit}
	registry.events[name] = e
	return e
}

// Events returns all events, by name.
func Events() []*Event {
	registry.Lock()
	defer registry.Unlock()
	return slices.SortedFunc(
		maps.Values(registry.events),
		func(a, b *Event) int { return strings.Compare(a.Name, b.Name) },
	)
}

// allAreas stands for all areas that are not named in the argument of SetLevels or ParseLevels.
const allAreas = "all"

// Levels returns the levels of the areas.
func Levels() map[string]slog.Level {
	registry.Lock()
	defer registry.Unlock()
	out := map[string]slog.Level{}
	for area, v := range registry.areas {
		out[area] = v.Level()
	}
	return out
}

// SetLevels sets the levels of areas. The area "all" stands for those that are not named.
func SetLevels(levels map[string]slog.Level) {
	registry.Lock()
	defer registry.Unlock()
	rest, all := levels[allAreas]
	for area, v := range registry.areas {
		if l, ok := levels[area]; ok {
			v.Set(l)
		} else if all {
			v.Set(rest)
		}
	}
}

// ParseLevels parses levels of the form AREA=LEVEL. The error names an unknown area or level.
func ParseLevels(words []string) (map[string]slog.Level, error) {
	registry.Lock()
	defer registry.Unlock()
	out := map[string]slog.Level{}
	for _, word := range words {
		area, name, _ := strings.Cut(word, "=")
		var l slog.Level
		if err := l.UnmarshalText([]byte(name)); err != nil {
			return nil, fmt.Errorf("%q: want AREA=LEVEL, with debug, info, warn or error", word)
		}
		if registry.areas[area] == nil && area != allAreas {
			return nil, fmt.Errorf(
				"unknown area %q: want one of %s, or all",
				area,
				strings.Join(slices.Sorted(maps.Keys(registry.areas)), ", "),
			)
		}
		out[area] = l
	}
	return out, nil
}
