package persistence

import (
	"fmt"
	"time"
)

// health decides whether new keys can be taken. It is free of I/O: it is told what waits for the
// disk and what became of it.
type health struct {
	stallTimeout time.Duration // a disk that has owed an answer for so long is too slow
	reading      bool          // what was kept in earlier lives
	closedUntil  time.Duration // until then nothing is taken: what may have run is not known
	downReason   string
	unconfirmed  []time.Duration // when what waits was handed over, the oldest first
}

const (
	restoringRetryAfter = 200 * time.Millisecond
	downRetryAfter      = time.Second
)

// recordSent notes a record that was handed over, and answered one that is not owed any more.
func (h *health) recordSent(now time.Duration) { h.unconfirmed = append(h.unconfirmed, now) }

func (h *health) recordConfirmed() {
	if h.unconfirmed = h.unconfirmed[1:]; len(h.unconfirmed) == 0 {
		h.unconfirmed = nil // or its memory is kept for good
	}
}

// unavailable tells for how long no key can be taken, and why; 0: they can.
func (h *health) unavailable(now time.Duration) (back time.Duration, why string) {
	switch {
	case h.reading:
		return restoringRetryAfter, "the keys of earlier lives are being read"
	case now < h.closedUntil:
		return h.closedUntil - now, "after a repair it is not known what may have run"
	case h.downReason != "":
		return downRetryAfter, "the disk failed: " + h.downReason
	case len(h.unconfirmed) > 0 && now-h.unconfirmed[0] >= h.stallTimeout:
		return h.stallTimeout, fmt.Sprintf("the disk has not answered for %d ms", (now - h.unconfirmed[0]).Milliseconds())
	}
	return 0, ""
}
