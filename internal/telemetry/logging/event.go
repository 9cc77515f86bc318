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

// defaultRateLimit is the number of lines of an event that are written in a second.
const defaultRateLimit = 10

// Event is a kind of log line. Its name and those of its fields are stable: operators search for them.
// docs/on-call.md lists all events.
type Event struct {
	Name   string // AREA.WHAT
	Level  slog.Level
	Fields []string

	area      *slog.LevelVar
	rateLimit int // lines in a second

	mu         sync.Mutex
	since      time.Time // begin of the second that is counted
	passed     int       // lines in it
	suppressed int64     // lines that were not written, and not reported yet
}

// SetRateLimit sets how many lines are written in a second, in place of defaultRateLimit. Further ones
// are suppressed and counted.
func (e *Event) SetRateLimit(linesPerSecond int) *Event {
	e.rateLimit = linesPerSecond
	return e
}

// Enabled reports whether the event is logged at the level of its area, for values that are costly to
// get.
func (e *Event) Enabled() bool { return e.Level >= e.area.Level() }

// Log writes a line, with a value for each field. Any goroutine may call it; it does not wait.
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

// allow counts a line, and reports whether it is within the rate limit. suppressed is the number of
// lines before this second that were not, if that was not reported yet.
func (e *Event) allow(now time.Time) (suppressed int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.since) >= time.Second {
		suppressed = e.suppressed
		e.since = now
		e.passed = 0
		e.suppressed = 0
	}
	e.passed++
	if e.passed > e.rateLimit {
		e.suppressed++
		return suppressed, false
	}
	return suppressed, true
}

// takeSuppressed returns how many lines were suppressed that were not reported yet.
func (e *Event) takeSuppressed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.suppressed
	e.suppressed = 0
	return n
}

// ReportSuppressed logs how many lines of each event were suppressed. Without it that is logged with
// the next line of the event, which may never come.
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

// attrs returns the values under the names of their fields. With an error of a kind, the kind and its
// remedy follow.
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

// surplusField is the name of a value for which an event has no field.
const surplusField = "surplus"

// fieldName returns the name of the field at an index.
func (e *Event) fieldName(i int) string {
	if i < len(e.Fields) {
		return e.Fields[i]
	}
	return surplusField
}

// printable returns the text of a value that has one, unless the handler knows how to write it.
func printable(v any) any {
	switch x := v.(type) {
	case error, encoding.TextMarshaler, slog.LogValuer:
	case fmt.Stringer:
		return x.String()
	}
	return v
}

// FormatLine returns the event on one line, for programs that write to no log.
func (e *Event) FormatLine(values ...any) string {
	var b strings.Builder
	b.WriteString(e.Name)
	for _, a := range e.attrs(values) {
		fmt.Fprintf(&b, " %v", a)
	}
	return b.String()
}
