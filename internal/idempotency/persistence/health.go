package persistence

import "fmt"

// health decides whether new keys can be taken. It is free of I/O: it is told what waits for the
// disk and what became of it.
//
// Times are microseconds, monotonic.
type health struct {
	stall   int64 // a disk that has owed an answer for so long is too slow
	reading bool  // what was kept in earlier lives
	quiet   int64 // until then nothing is taken: what may have run is not known
	down    string
	owed    []int64 // when what waits was handed over, the oldest first
}

const (
	backReading = 200_000
	backDown    = 1_000_000
)

// sent notes a record that was handed over, and answered one that is not owed any more.
func (h *health) sent(now int64) { h.owed = append(h.owed, now) }

func (h *health) answered() {
	if h.owed = h.owed[1:]; len(h.owed) == 0 {
		h.owed = nil // or its memory is kept for good
	}
}

// closed tells for how long no key can be taken, and why; 0: they can.
func (h *health) closed(now int64) (back int64, why string) {
	switch {
	case h.reading:
		return backReading, "the keys of earlier lives are being read"
	case now < h.quiet:
		return h.quiet - now, "after a repair it is not known what may have run"
	case h.down != "":
		return backDown, "the disk failed: " + h.down
	case len(h.owed) > 0 && now-h.owed[0] >= h.stall:
		return h.stall, fmt.Sprintf("the disk has not answered for %d ms", (now-h.owed[0])/1000)
	}
	return 0, ""
}
