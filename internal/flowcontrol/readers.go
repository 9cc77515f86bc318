package flowcontrol

import (
	"cmp"
	"time"
)

const (
	// lowWatermarkDivisor: a paused server resumes once its reader's queue is down to the window
	// divided by this number. With the window itself as the low watermark it would be paused and
	// resumed with each packet.
	lowWatermarkDivisor = 2
	// sharedDivisor: the windows of all readers together have at most MaxQueuedTotal divided by this
	// number; the rest is left for data in flight.
	sharedDivisor = 2
)

// ReaderID identifies a reader.
type ReaderID uint64

// reader is a client that reads a streamed response.
type reader struct {
	id     ReaderID
	queued int // bytes that wait for it
	// progressAt is the monotonic time at which it last read bytes, or at which bytes came into its
	// empty queue.
	progressAt time.Duration
	isPaused   bool // the server that sends its response is paused
}

// ReaderWindows bounds the bytes that are queued for all readers together. It is used by one goroutine.
type ReaderWindows struct {
	limits  Limits
	readers map[ReaderID]*reader
	queued  int // bytes, for all readers together
	Evicted int // readers that Victim has returned, since the start
}

// NewReaderWindows returns windows without readers.
func NewReaderWindows(limits Limits) *ReaderWindows {
	return &ReaderWindows{limits: limits, readers: map[ReaderID]*reader{}}
}

// SetLimits replaces the limits.
func (w *ReaderWindows) SetLimits(limits Limits) { w.limits = limits }

// AddReader adds a reader at the monotonic time now.
func (w *ReaderWindows) AddReader(id ReaderID, now time.Duration) {
	w.readers[id] = &reader{id: id, progressAt: now}
}

// RemoveReader removes a reader and the bytes that are queued for it.
func (w *ReaderWindows) RemoveReader(id ReaderID) {
	if r := w.readers[id]; r != nil {
		w.queued -= r.queued
		delete(w.readers, id)
	}
}

// QueuedBytes returns how many bytes are queued for all readers together.
func (w *ReaderWindows) QueuedBytes() int { return w.queued }

// window returns how many bytes may be queued for one reader: fewer when there are many readers, so
// that all readers together stay below MaxQueuedTotal.
func (w *ReaderWindows) window() int {
	share := w.limits.MaxQueuedTotal / sharedDivisor / max(len(w.readers), 1)
	return max(min(w.limits.MaxQueued, share), 1)
}

// SetQueued reports at the monotonic time now that n bytes are queued for a reader. It returns whether
// the reader's server has to wait: from a full window on, until the queue is down to half the window.
func (w *ReaderWindows) SetQueued(id ReaderID, n int, now time.Duration) (wait bool) {
	r := w.readers[id]
	if r == nil {
		return false
	}
	if n < r.queued || r.queued == 0 {
		r.progressAt = now
	}
	w.queued += n - r.queued
	r.queued = n
	window := w.window()
	r.isPaused = n >= window || r.isPaused && n > window/lowWatermarkDivisor
	return r.isPaused
}

// Victim returns the reader to drop while more than MaxQueuedTotal bytes are queued: the one without
// progress for the longest time, and among equals the one with the most bytes. So a slow reader is
// not dropped before one that has stopped.
func (w *ReaderWindows) Victim() (id ReaderID, found bool) {
	if w.queued <= w.limits.MaxQueuedTotal {
		return 0, false
	}
	var worst *reader
	for _, r := range w.readers {
		if r.queued > 0 && (worst == nil || r.isWorseThan(worst)) {
			worst = r
		}
	}
	if worst == nil {
		return 0, false
	}
	w.Evicted++
	return worst.id, true
}

// isWorseThan reports whether the reader is to be dropped rather than the other one.
func (r *reader) isWorseThan(other *reader) bool {
	return cmp.Or(
		cmp.Compare(other.progressAt, r.progressAt),
		cmp.Compare(r.queued, other.queued),
		cmp.Compare(other.id, r.id),
	) > 0
}

// Stalled returns the readers with queued bytes that have made no progress for longer than the timeout,
// in any order.
func (w *ReaderWindows) Stalled(now, timeout time.Duration) (ids []ReaderID) {
	for id, r := range w.readers {
		if r.queued > 0 && now-r.progressAt > timeout {
			ids = append(ids, id)
		}
	}
	return ids
}
