// Package logs keeps the log from costing the program anything: lines go out beside the loop, and a flood of one kind is
// cut short.
package logs

import (
	"fmt"
	"io"
	"log"
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

// NewWriter begins to write to w.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, backlog), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			if line == nil { // the end
				return
			}
			if n := l.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "log: %d lines were dropped, the log is not read fast enough\n", n)
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

// Limit lets a few lines of one kind through in a second. One bad client alone can cause thousands.
type Limit struct {
	Now    func() int64 // microseconds
	since  int64
	passed int
	left   int64
}

const perSecond = 10

// Printf logs a line, or counts it among those that were left out.
func (l *Limit) Printf(format string, v ...any) {
	if now := l.Now(); now-l.since >= 1_000_000 {
		if l.left > 0 {
			log.Printf("log: %d more lines like the last", l.left)
		}
		l.since, l.passed, l.left = now, 0, 0
	}
	if l.passed++; l.passed > perSecond {
		l.left++
		return
	}
	log.Printf(format, v...)
}
