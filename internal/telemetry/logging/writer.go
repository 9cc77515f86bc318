// Package logging writes log events, which have stable names and fields and are enabled by area and
// level. Lines are written by a goroutine of their own, so that a slow reader of the log does not hold
// up the program, and each event has a rate limit.
package logging

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// Formats of the log.
const (
	FormatText = "text" // key=value
	FormatJSON = "json"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. Further lines are dropped and counted.
	maxQueuedLines = 512
	closeTimeout   = time.Second
	// allLevels is below all levels, so that handlers pass every line: Event.Log checks the level.
	allLevels = slog.Level(-100)
)

// output is the handler that writes events.
var output atomic.Pointer[slog.Handler]

func init() { setOutput(newHandler(os.Stderr, FormatText)) }

func setOutput(h slog.Handler) { output.Store(&h) }

// newHandler returns a handler that writes lines in a format. The name of the event is in the field
// "event".
func newHandler(w io.Writer, format string) slog.Handler {
	options := &slog.HandlerOptions{
		Level: allLevels,
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && a.Key == slog.MessageKey {
				a.Key = "event"
			}
			return a
		},
	}
	if format == FormatJSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// Writer passes lines to a slow reader without waiting for it.
type Writer struct {
	lines   chan []byte // a nil line stops run
	dropped atomic.Int64
	done    chan struct{}
}

// Start begins to write events to w in a format, on a goroutine of its own. Until then events are
// written to the standard error output.
func Start(w io.Writer, format string) *Writer {
	l := newWriter(w, newHandler(w, format))
	setOutput(newHandler(l, format))
	return l
}

// SetFormat changes the format of the lines from now on.
func (l *Writer) SetFormat(format string) { setOutput(newHandler(l, format)) }

var eventDropped = Define("log.dropped", slog.LevelWarn, "lines")

// newWriter starts a goroutine that writes to w. It logs how many lines were dropped through direct, a
// handler that writes to w without the queue.
func newWriter(w io.Writer, direct slog.Handler) *Writer {
	l := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run(w, direct)
	return l
}

// run writes queued lines until it receives a nil line.
func (l *Writer) run(w io.Writer, direct slog.Handler) {
	defer close(l.done)
	for line := range l.lines {
		if line == nil {
			return
		}
		if n := l.dropped.Swap(0); n > 0 {
			r := slog.NewRecord(time.Now(), eventDropped.Level, eventDropped.Name, 0)
			r.AddAttrs(eventDropped.attrs([]any{n})...)
			_ = direct.Handle(context.Background(), r) // there is nowhere to report it
		}
		_, _ = w.Write(line) // there is nowhere to report it
	}
}

// Write implements io.Writer. It does not wait for the reader of the log.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, but gives up after closeTimeout.
func (l *Writer) Close() {
	ReportSuppressed()
	timeout := time.After(closeTimeout)
	select {
	case l.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-l.done:
	case <-timeout:
	}
}
