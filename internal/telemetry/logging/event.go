package logging

import (
	"context"
	"encoding"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"ryepaddle/internal/fault"
)

// defaultRateLimit is the maximum number of lines of an event that are written per second.
const defaultRateLimit = 10

// Event is a type of log line. Its name and those of its fields are stable: operators search for them.
// docs/on-call.md lists all events.
type Event struct {
	Name   string // AREA.WHAT
	Level  slog.Level
	Fields []string

	area      *slog.LevelVar
	rateLimit int // lines per second

	mu         sync.Mutex
	since      time.Time // start of the current window of one second
	count      int       // lines in it, including suppressed ones
	suppressed int64     // lines that were suppressed and not reported yet
}

// SetRateLimit sets the maximum number of lines per second, which is defaultRateLimit otherwise. Further
// lines are suppressed and counted.
func (e *Event) SetRateLimit(linesPerSecond int) *Event {
	e.rateLimit = linesPerSecond
	return e
}

// Enabled reports whether the event is logged at the level of its area. A caller checks it before it
// computes values that are expensive.
func (e *Event) Enabled() bool { return e.Level >= e.area.Level() }

// Log writes a line with a value for each field. It is safe for concurrent use, and does not wait for the
// reader of the log once Start was called.
func (e *Event) Log(values ...any) {
	if !e.Enabled() {
		return
	}
	now := time.Now()
	suppressed, ok := e.allow(now)
	if suppressed > 0 {
		eventSuppressed.write(now, e.Name, suppressed)
	}
	if ok {
		e.write(now, values...)
	}
}

// allow counts a line, and reports whether it is within the rate limit. When it begins a new window,
// suppressed is the number of earlier lines that were suppressed and not reported yet.
func (e *Event) allow(now time.Time) (suppressed int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.since) >= time.Second {
		suppressed = e.suppressed
		e.since = now
		e.count = 0
		e.suppressed = 0
	}
	e.count++
	if e.count > e.rateLimit {
		e.suppressed++
		return suppressed, false
	}
	return suppressed, true
}

// takeSuppressed returns the number of suppressed lines that were not reported yet, and resets it.
func (e *Event) takeSuppressed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.suppressed
	e.suppressed = 0
	return n
}

// ReportSuppressed logs how many lines of each event were suppressed. Without it the number is logged
// with the next line of the event, and there may be none.
func ReportSuppressed() {
	now := time.Now()
	for _, e := range Events() {
		if n := e.takeSuppressed(); n > 0 {
			eventSuppressed.write(now, e.Name, n)
		}
	}
}

var eventSuppressed = Define("log.suppressed", slog.LevelWarn, "of", "lines")

func (e *Event) write(now time.Time, values ...any) {
	r := slog.NewRecord(now, e.Level, e.Name, 0)
	r.AddAttrs(e.attrs(values)...)
	_ = (*output.Load()).Handle(context.Background(), r) // there is nowhere to report it
}

// attrs returns the values under the names of their fields. If one is an error with a fault.Kind, the
// name of the kind and its remedy follow.
func (e *Event) attrs(values []any) []slog.Attr {
	out := make([]slog.Attr, len(values))
	var kind *fault.Error
	for i, v := range values {
		out[i] = slog.Any(e.fieldName(i), printable(v))
		if err, ok := v.(error); ok {
			kind = fault.Find(err)
		}
	}
	if kind != nil {
		out = append(out, slog.String("kind", kind.Kind.Name), slog.String("do", kind.Kind.Remedy))
	}
	return out
}

// surplusField is the key of values that are beyond the fields of an event.
const surplusField = "surplus"

// fieldName returns the name of the field at an index.
func (e *Event) fieldName(i int) string {
	if i < len(e.Fields) {
		return e.Fields[i]
	}
	return surplusField
}

// printable returns the text of a fmt.Stringer, unless the handler can format it itself, and other values
// unchanged.
func printable(v any) any {
	switch x := v.(type) {
	case error, encoding.TextMarshaler, slog.LogValuer:
	case fmt.Stringer:
		return x.String()
	}
	return v
}

// FormatLine returns the event as one line of text, for programs without a log.
func (e *Event) FormatLine(values ...any) string {
	var b strings.Builder
	b.WriteString(e.Name)
	for _, a := range e.attrs(values) {
		fmt.Fprintf(&b, " %v", a)
	}
	return b.String()
}
