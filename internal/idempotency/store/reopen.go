package store

import "time"

// Bounds of the exponential backoff between attempts to reopen a journal whose disk failed.
const (
	minReopenBackoff = 100 * time.Millisecond
	maxReopenBackoff = 5 * time.Second
)

// reopenTimer schedules attempts to reopen the journal, with exponential backoff. Records that arrive
// before a scheduled attempt do not delay the attempt.
type reopenTimer struct {
	timer   *time.Timer
	armed   bool // an attempt is scheduled
	backoff time.Duration
}

func newReopenTimer() *reopenTimer {
	return &reopenTimer{timer: time.NewTimer(minReopenBackoff), armed: true, backoff: minReopenBackoff}
}

// arm schedules an attempt if none is.
func (r *reopenTimer) arm() {
	if !r.armed {
		r.timer.Reset(r.backoff)
		r.armed = true
	}
}

// failed schedules the next attempt after an attempt that failed.
func (r *reopenTimer) failed() {
	r.backoff = min(2*r.backoff, maxReopenBackoff)
	r.arm()
}

func (r *reopenTimer) succeeded() { r.backoff = minReopenBackoff }
