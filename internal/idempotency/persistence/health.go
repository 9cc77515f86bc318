package persistence

import (
	"fmt"
	"time"
)

const (
	// restoringRetryAfter is the Retry-After while keys are being restored.
	restoringRetryAfter = 200 * time.Millisecond
	// downRetryAfter is the Retry-After while the disk has failed.
	downRetryAfter = time.Second
)

// health decides whether new keys can be accepted, from the state of the disk and the records that wait
// for it. It does no I/O.
type health struct {
	stallTimeout time.Duration   // a disk that takes longer to confirm a record is stalled
	restoring    bool            // the keys are being restored
	closedUntil  time.Duration   // monotonic; no new keys before, as it is not known what may have run
	failure      string          // error of the disk; empty: it works
	unconfirmed  []time.Duration // when the unconfirmed records were sent, oldest first
}

// recordSent records that a record was passed to the store.
func (h *health) recordSent(now time.Duration) { h.unconfirmed = append(h.unconfirmed, now) }

// recordConfirmed records that the store has reported the outcome of the oldest unconfirmed record.
func (h *health) recordConfirmed() {
	h.unconfirmed = h.unconfirmed[1:]
	if len(h.unconfirmed) == 0 {
		h.unconfirmed = nil // frees the memory of the queue
	}
}

// unavailable returns for how long no new keys are accepted, and why; zero if they are accepted.
func (h *health) unavailable(now time.Duration) (retryAfter time.Duration, why string) {
	switch {
	case h.restoring:
		return restoringRetryAfter, "the keys of earlier processes are being restored"
	case now < h.closedUntil:
		return h.closedUntil - now, "after a repair it is not known which keys may have run"
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
