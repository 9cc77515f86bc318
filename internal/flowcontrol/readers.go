package flowcontrol

import (
	"cmp"
	"time"
)

const (
	// lowWatermarkDivisor: a server that waits for its reader goes on once the reader's queue is
	// down to this part of its window. With the window itself as the low watermark it would be
	// paused and resumed with each packet.
	lowWatermarkDivisor = 2
	// sharedDivisor: the windows of all readers together are this part of MaxQueuedTotal, the rest
	// is left for what is in flight.
	sharedDivisor = 2
)

// ReaderID names a reader.
type ReaderID uint64

// reader is a client that reads a response that streams.
type reader struct {
	id     ReaderID
	queued int // bytes
	// progressAt is the monotonic time at which it last read something, or its empty queue got
	// something.
	progressAt time.Duration
	isPaused   bool // the server that sends its response waits
}

// ReaderWindows bounds the bytes that wait for all readers together. It is used by one goroutine.
type ReaderWindows struct {
	limits  Limits
	readers map[ReaderID]*reader
	queued  int // bytes
	Evicted int // readers that Victim has named, since the start
}

// NewReaderWindows returns windows without readers.
func NewReaderWindows(limits Limits) *ReaderWindows {
	return &ReaderWindows{limits: limits, readers: map[ReaderID]*reader{}}
}

// SetLimits changes the limits from now on.
func (w *ReaderWindows) SetLimits(limits Limits) { w.limits = limits }

// AddReader adds a reader at the monotonic time now.
func (w *ReaderWindows) AddReader(id ReaderID, now time.Duration) {
	w.readers[id] = &reader{id: id, progressAt: now}
}

// RemoveReader removes a reader, and releases what is queued for it.
func (w *ReaderWindows) RemoveReader(id ReaderID) {
	if r := w.readers[id]; r != nil {
		w.queued -= r.queued
		delete(w.readers, id)
	}
}

// QueuedBytes returns how many bytes wait for all readers together.
func (w *ReaderWindows) QueuedBytes() int { return w.queued }

// window returns how many bytes may wait for one reader: fewer when there are many readers, so that
// all of them together stay below the total.
func (w *ReaderWindows) window() int {
	share := w.limits.MaxQueuedTotal / sharedDivisor / max(len(w.readers), 1)
	return max(min(w.limits.MaxQueued, share), 1)
}

// SetQueued reports at the monotonic time now that n bytes wait for a reader. It returns whether
// the reader's server has to wait: from the window on, until half of the window is reached.
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

// Victim returns the reader to drop, while more than MaxQueuedTotal is queued: the one without
// progress for longest, and of several the one with the most bytes. A slow reader is not dropped
// before one that has stopped.
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

func (r *reader) isWorseThan(other *reader) bool {
	return cmp.Or(
		cmp.Compare(other.progressAt, r.progressAt),
		cmp.Compare(r.queued, other.queued),
		cmp.Compare(other.id, r.id),
	) > 0
}

// Stalled returns the readers that have made no progress for longer than the timeout, in any order.
func (w *ReaderWindows) Stalled(now, timeout time.Duration) (ids []ReaderID) {
	for id, r := range w.readers {
		if r.queued > 0 && now-r.progressAt > timeout {
			ids = append(ids, id)
		}
	}
	return ids
}
