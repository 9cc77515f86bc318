// Package logs tells operators what happens: events with stable names and fields, by area and
// level. It keeps them from costing the program anything: lines go out beside the loop, and a flood
// of one kind is cut short.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const backlog = 512 // lines that wait for whoever reads the log; more are dropped, and counted

// Writer hands lines to a slow reader without ever waiting for it.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// Start has events written to w in a format, beside whoever logs them. Until then they go to the
// standard error output.
func Start(w io.Writer, format string) *Writer {
	l := newWriter(w, handler(w, format))
	use(handler(l, format))
	return l
}

// SetFormat changes the format of what is logged from now on.
func (l *Writer) SetFormat(format string) { use(handler(l, format)) }

var evDropped = Define("log.dropped", slog.LevelWarn, "lines")

// newWriter begins to write to w, and tells of what was dropped through a handler that writes there
// itself.
func newWriter(w io.Writer, direct slog.Handler) *Writer {
	l := &Writer{lines: make(chan []byte, backlog), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			if line == nil { // the end
				return
			}
			if n := l.dropped.Swap(0); n > 0 {
				r := slog.NewRecord(time.Now(), evDropped.Level, evDropped.Name, 0)
				r.AddAttrs(evDropped.attrs([]any{n})...)
				_ = direct.Handle(context.Background(), r)
			}
			_, _ = w.Write(line) // there is nowhere to tell
		}
	}()
	return l
}

// Write implements io.Writer. The log's reader may stand still: the loop must not wait for it.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, unless that takes too long.
func (l *Writer) Close() {
	ReportSuppressed()
	late := time.After(time.Second)
	select {
	case l.lines <- nil:
	case <-late:
		return
	}
	select {
	case <-l.done:
	case <-late:
	}
}
