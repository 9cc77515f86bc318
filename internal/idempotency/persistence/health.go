package persistence

import (
	"fmt"
	"time"
)

const (
	// restoringRetryAfter is how long a caller stays away while keys are restored.
	restoringRetryAfter = 200 * time.Millisecond
	// downRetryAfter is how long a caller stays away while the disk has failed.
	downRetryAfter = time.Second
)

// health decides whether new keys can be accepted, from the records that wait for the disk. It does
// no I/O.
type health struct {
	stallTimeout time.Duration   // a disk that does not confirm a record for so long is stalled
	restoring    bool            // the keys are being restored
	closedUntil  time.Duration   // monotonic; until then it is not known what may have run
	failure      string          // of the disk; empty: none
	unconfirmed  []time.Duration // when the records that wait were sent, the oldest first
}

// recordSent notes a record that was passed to the store.
func (h *health) recordSent(now time.Duration) { h.unconfirmed = append(h.unconfirmed, now) }

// recordConfirmed notes that the store has reported the outcome of the oldest record.
func (h *health) recordConfirmed() {
	h.unconfirmed = h.unconfirmed[1:]
	if len(h.unconfirmed) == 0 {
		h.unconfirmed = nil // frees the memory of the queue
	}
}

// unavailable returns for how long no key can be accepted, and why; zero if keys can be.
func (h *health) unavailable(now time.Duration) (retryAfter time.Duration, why string) {
	switch {
	case h.restoring:
		return restoringRetryAfter, "the keys of earlier lives are being read"
	case now < h.closedUntil:
		return h.closedUntil - now, "after a repair it is not known what may have run"
	case h.failure != "":
		return downRetryAfter, "the disk failed: " + h.failure
	}
	if len(h.unconfirmed) > 0 {
		if waiting := now - h.unconfirmed[0]; waiting >= h.stallTimeout {
			return h.stallTimeout, fmt.Sprintf("the disk has not answered for %d ms", waiting.Milliseconds())
		}
	}
	return 0, ""
}
