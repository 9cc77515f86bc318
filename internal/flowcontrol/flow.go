// Package flow decides how responses pass through the hop: which are gathered whole and which
// stream, what is kept of a keyed one for its repeats, who of the readers is waited for, and who
// gives way when all of them together hold too much. It is free of I/O: it is told what is queued
// and says what is to be done.
package flowcontrol

import "cmp"

// Limits bound what passes, in bytes.
type Limits struct {
	// a response up to this is gathered, so that a failure in it can still be told, and tried
	// elsewhere
	MaxBuffered     int
	MaxCached       int // of a keyed one up to this is kept for its repeats
	MaxQueued       int // what may wait for one reader
	MaxQueuedTotal  int // and for all of them
	MaxBufferedBody int // of a request: up to this it is read whole before anybody hears of it
	MaxStreamedBody int // and up to this it may stream
}

// MaxBufferedBody is what becomes of a request's body.
type BodyPlan uint8

// The ways of a body.
const (
	BufferBody BodyPlan = iota // it is read before the request is handed over
	StreamBody                 // the request is handed over, and its body follows
	RejectTooLarge
	RequireLength // it would stream, and a server has to be told how much comes
)

// PlanBody decides about the body of a request. One with a key is known by its body, and one that
// is not safe to repeat must be whole before it may run; an engine beside the runner takes no other
// either (remote: it runs on servers).
func (l *Limits) PlanBody(safe, remote bool, length int64, chunked bool) BodyPlan {
	switch {
	case !chunked && length <= int64(l.MaxBufferedBody):
		return BufferBody
	case chunked: // how long it is shows as it comes
		return BufferBody
	case !safe || !remote || length > int64(l.MaxStreamedBody):
		return RejectTooLarge
	}
	return StreamBody
}

// PlanOversizedChunked decides about a body in chunks that turns out to be longer than is read whole.
func (l *Limits) PlanOversizedChunked(safe, remote bool) BodyPlan {
	if safe && remote && l.MaxStreamedBody > l.MaxBufferedBody {
		return RequireLength
	}
	return RejectTooLarge
}

// ResponseStep is what becomes of the next part of a response.
type ResponseStep uint8

// The steps.
const (
	Buffer         ResponseStep = iota // it is held back with what came before
	StartStreaming                     // what is held back goes out, and all that follows as it comes
	Forward                            // it goes out
	Reject                             // it is too large for a caller that cannot take it as it comes
)

// Response is one that passes.
type Response struct {
	limits  Limits
	keyed   bool
	streams bool // its caller can take it as it comes
	begun   bool
	held    int
	kept    int
	tooLong bool // to be kept
}

// NewResponse begins one. streams tells whether its caller can take it as it comes.
func NewResponse(l Limits, keyed, streams bool) *Response {
	return &Response{limits: l, keyed: keyed, streams: streams}
}

// Add decides about the next n bytes.
func (r *Response) Add(n int) ResponseStep {
	if r.kept += n; r.kept > r.limits.MaxCached {
		r.tooLong = true
	}
	if r.begun {
		return Forward
	}
	if r.held += n; r.held <= r.limits.MaxBuffered {
		return Buffer
	}
	if !r.streams {
		return Reject
	}
	r.begun = true
	return StartStreaming
}

// Caches tells whether what has come is to be kept for repeats. Once it is too long, nothing of it
// is; that it ran is remembered all the same.
func (r *Response) Caches() bool { return r.keyed && !r.tooLong }

// ReaderID names a reader.
type ReaderID uint64

type reader struct {
	id     ReaderID
	queued int
	since  int64 // when it last took something, or began to have to
	paused bool
}

// ReaderWindows is what all readers together may leave untaken.
type ReaderWindows struct {
	limits  Limits
	readers map[ReaderID]*reader
	total   int
	Evicted int // readers that had to give way
}

// NewReaderWindows begins one with no readers.
func NewReaderWindows(l Limits) *ReaderWindows {
	return &ReaderWindows{limits: l, readers: map[ReaderID]*reader{}}
}

// SetLimits takes other limits from now on.
func (b *ReaderWindows) SetLimits(l Limits) { b.limits = l }

// AddReader adds a reader.
func (b *ReaderWindows) AddReader(id ReaderID, now int64) {
	b.readers[id] = &reader{id: id, since: now}
}

// RemoveReader takes a reader out and gives back what it held.
func (b *ReaderWindows) RemoveReader(id ReaderID) {
	if r := b.readers[id]; r != nil {
		b.total -= r.queued
		delete(b.readers, id)
	}
}

// MaxQueuedTotal is what is queued for all of them.
func (b *ReaderWindows) QueuedBytes() int { return b.total }

// share is what may wait for one reader now: less when there are many, so that a crowd of slow ones
// does not come to the total. Half of it is left for what is under way.
func (b *ReaderWindows) share() int {
	return max(min(b.limits.MaxQueued, b.limits.MaxQueuedTotal/2/max(len(b.readers), 1)), 1)
}

// SetQueued notes how much waits for a reader, and says whether its server is to wait. It begins to
// wait at the reader's share and goes on at half of it, or it would stop and go with every packet.
func (b *ReaderWindows) SetQueued(id ReaderID, n int, now int64) (wait bool) {
	r := b.readers[id]
	if r == nil {
		return false
	}
	if n < r.queued || r.queued == 0 {
		r.since = now
	}
	b.total += n - r.queued
	r.queued = n
	share := b.share()
	r.paused = n >= share || r.paused && n > share/2
	return r.paused
}

// Victim names the reader that gives way while all together hold more than the total: the one that
// has taken nothing for longest, and of those that wait alike the one with the most. Whoever reads
// on, however slowly, is not named before one that does not.
func (b *ReaderWindows) Victim() (ReaderID, bool) {
	if b.total <= b.limits.MaxQueuedTotal {
		return 0, false
	}
	var worst *reader
	for _, r := range b.readers {
		if r.queued == 0 {
			continue
		}
		if worst == nil ||
			cmp.Or(
				cmp.Compare(worst.since, r.since),
				cmp.Compare(r.queued, worst.queued),
				cmp.Compare(worst.id, r.id),
			) > 0 {
			worst = r
		}
	}
	if worst == nil {
		return 0, false
	}
	b.Evicted++
	return worst.id, true
}

// Stalled names readers that have taken nothing of what waits for them for so long.
func (b *ReaderWindows) Stalled(now, within int64) (ids []ReaderID) {
	for id, r := range b.readers {
		if r.queued > 0 && now-r.since > within {
			ids = append(ids, id)
		}
	}
	return ids
}
