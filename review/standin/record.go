// Package standin holds what the review's cases share: the record of a run, the processes under test,
// and small stand-ins for the platform's balancers, engine, back end and roster. They follow the
// operators' protocol page. Everything is on loopback addresses and the real clock.
package standin

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what was sent, answered and run, with the time since the start of the case.
type Record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{w: f, start: time.Now()}, nil
}

// Line writes a line.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// UnixMs is the present Unix time in milliseconds.
func UnixMs() int64 { return time.Now().UnixMilli() }
