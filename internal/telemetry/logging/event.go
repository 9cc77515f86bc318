package logging

import (
	"context"
	"encoding"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ryepaddle/internal/fault"
)

// Event is a kind of line. Its name and those of its fields are what operators search for, and stay
// as they are once they are published: docs/on-call.md lists them all.
type Event struct {
	Name   string // AREA.WHAT
	Level  slog.Level
	Fields []string

	area *slog.LevelVar
	most int // lines in a second

	mu     sync.Mutex
	since  time.Time
	passed int
	left   int64
}

const perSecond = 10

var registry = struct {
	sync.Mutex
	events map[string]*Event
	areas  map[string]*slog.LevelVar
}{events: map[string]*Event{}, areas: map[string]*slog.LevelVar{}}

// Define makes an event, for a variable of the package that logs it. Two of one name are a mistake
// in the program.
func Define(name string, level slog.Level, fields ...string) *Event {
	registry.Lock()
	defer registry.Unlock()
	area, _, _ := strings.Cut(name, ".")
	if registry.events[name] != nil {
		panic("logs: two events are named " + name)
	}
	if registry.areas[area] == nil {
		registry.areas[area] = new(slog.LevelVar)
	}
	e := &Event{Name: name, Level: level, Fields: fields, area: registry.areas[area], most: perSecond}
	registry.events[name] = e
	return e
}

// SetRateLimit lets so many lines through in a second, in place of 10. The rest is counted.
func (e *Event) SetRateLimit(lines int) *Event {
	e.most = lines
	return e
}

// Events are all of them, by name.
func Events() []*Event {
	registry.Lock()
	defer registry.Unlock()
	return slices.SortedFunc(
		maps.Values(registry.events),
		func(a, b *Event) int { return strings.Compare(a.Name, b.Name) },
	)
}

// Enabled tells whether the area of the event is told of it, for values that cost something.
func (e *Event) Enabled() bool { return e.Level >= e.area.Level() }

// Log tells of the event, with a value for each field. Any goroutine may.
func (e *Event) Log(values ...any) {
	if !e.Enabled() {
		return
	}
	now := time.Now()
	left, ok := e.pass(now)
	if left > 0 {
		evCut.write(now, e.Name, left)
	}
	if ok {
		e.write(now, values...)
	}
}

// pass counts a line, and reports how many were left out before it, of which nothing was told yet.
func (e *Event) pass(now time.Time) (left int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.since) >= time.Second {
		left = e.left
		e.since, e.passed, e.left = now, 0, 0
	}
	if e.passed++; e.passed > e.most {
		e.left++
		return left, false
	}
	return left, true
}

// ReportSuppressed tells of the lines that were left out of floods that are over. The next line of such a
// kind may never come.
func ReportSuppressed() {
	now := time.Now()
	for _, e := range Events() {
		e.mu.Lock()
		left := e.left
		e.left = 0
		e.mu.Unlock()
		if left > 0 {
			evCut.write(now, e.Name, left)
		}
	}
}

var evCut = Define("log.cut", slog.LevelWarn, "of", "lines")

func (e *Event) write(now time.Time, values ...any) {
	r := slog.NewRecord(now, e.Level, e.Name, 0)
	r.AddAttrs(e.attrs(values)...)
	_ = (*output.Load()).Handle(context.Background(), r) // there is nowhere to tell
}

// attrs are the values under the names of their fields.
func (e *Event) attrs(values []any) []slog.Attr {
	out := make([]slog.Attr, len(values))
	var kind *fault.Error
	for i, v := range values {
		name := "surplus"
		if i < len(e.Fields) {
			name = e.Fields[i]
		}
		switch x := v.(type) {
		case error, encoding.TextMarshaler, slog.LogValuer:
		case fmt.Stringer:
			v = x.String()
		}
		out[i] = slog.Any(name, v)
		if err, ok := v.(error); ok {
			kind = fault.Find(err)
		}
	}
	if kind != nil { // stable names, and what to do, go with every error that has them
		out = append(out, slog.String("kind", kind.Kind.Name), slog.String("do", kind.Kind.Remedy))
	}
	return out
}

// FormatLine is the event on one line, where it goes to no log: the model has some of its own.
func (e *Event) FormatLine(values ...any) string {
	var b strings.Builder
	b.WriteString(e.Name)
	for _, a := range e.attrs(values) {
		fmt.Fprintf(&b, " %v", a)
	}
	return b.String()
}

// Formats of the log.
const (
	FormatText = "text" // key=value
	FormatJSON = "json"
)

var output atomic.Pointer[slog.Handler]

func init() { use(handler(os.Stderr, FormatText)) }

func use(h slog.Handler) { output.Store(&h) }

func handler(w io.Writer, format string) slog.Handler {
	o := &slog.HandlerOptions{Level: slog.Level(-100), // it is the areas that decide
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && a.Key == slog.MessageKey {
				a.Key = "event"
			}
			return a
		}}
	if format == FormatJSON {
		return slog.NewJSONHandler(w, o)
	}
	return slog.NewTextHandler(w, o)
}

// Levels are those of the areas.
func Levels() map[string]slog.Level {
	registry.Lock()
	defer registry.Unlock()
	out := map[string]slog.Level{}
	for area, v := range registry.areas {
		out[area] = v.Level()
	}
	return out
}

// SetLevels sets the levels of areas. The area "all" is all those that are not named.
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

const allAreas = "all"

// ParseLevels reads levels as AREA=LEVEL. An area that there is not is an error.
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
