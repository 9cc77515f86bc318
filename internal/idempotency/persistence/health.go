package persistence

import (
	"fmt"
	"time"
)

// health decides whether new keys can be taken. It is free of I/O: it is told what waits for the
// disk and what became of it.
type health struct {
	stall   time.Duration // a disk that has owed an answer for so long is too slow
	reading bool          // what was kept in earlier lives
	quiet   time.Duration // until then nothing is taken: what may have run is not known
	down    string
	owed    []time.Duration // when what waits was handed over, the oldest first
}

const (
	backReading = 200 * time.Millisecond
	backDown    = time.Second
)

// sent notes a record that was handed over, and answered one that is not owed any more.
func (h *health) sent(now time.Duration) { h.owed = append(h.owed, now) }

func (h *health) answered() {
	if h.owed = h.owed[1:]; len(h.owed) == 0 {
		h.owed = nil // or its memory is kept for good
	}
}

// closed tells for how long no key can be taken, and why; 0: they can.
func (h *health) closed(now time.Duration) (back time.Duration, why string) {
	switch {
	case h.reading:
		return backReading, "the keys of earlier lives are being read"
	case now < h.quiet:
		return h.quiet - now, "after a repair it is not known what may have run"
	case h.down != "":
		return backDown, "the disk failed: " + h.down
	case len(h.owed) > 0 && now-h.owed[0] >= h.stall:
		return h.stall, fmt.Sprintf("the disk has not answered for %d ms", (now - h.owed[0]).Milliseconds())
	}
	return 0, ""
}
