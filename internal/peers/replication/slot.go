package replication

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

const (
	// maxEpochStarts is the number of epochs whose first sequence numbers a slot retains. A follower
	// whose newest record is of an older epoch is sent all records.
	maxEpochStarts = 64
	// recordOverhead is the approximate size in bytes of a record without its name and its result.
	recordOverhead = 128
)

// item is the stored record of one key.
type item struct {
	record     store.Record
	expiresAt  time.Duration // end of the key's window
	seq, epoch uint64
	watchers   []watcher // requests that are answered when the run ends
}

// watcher is a request that waits for the end of another attempt's run.
type watcher struct {
	runner    string
	requestID uint64
}

// follower is the primary's view of another replica of a slot.
type follower struct {
	incarnation uint64
	probed      bool          // the follower has answered the probe of this epoch
	ackedSeq    uint64        // the follower has stored all records up to this one
	sentSeq     uint64        // all records up to this one were sent
	lastActive  time.Duration // time of the last message to or from the follower
	// caughtUp is set once the primary has proposed the follower to the consensus group as one with all
	// records. From then on commits require its acknowledgment.
	caughtUp    bool
	needsReset  bool // the next MsgAppend resets it, as its records are no prefix of the primary's
	needsAppend bool // it is sent the records that it lacks once the catch-up budget allows
}

// commitWaiter is a callback that runs once all records up to seq are committed.
type commitWaiter struct {
	seq uint64
	fn  func()
}

// slot is the state of one slot of keys at this runner.
type slot struct {
	epoch       uint64 // the current epoch; messages of older epochs are rejected
	lastEpoch   uint64 // epoch of the newest record
	lastSeq     uint64 // sequence number of the newest record
	epochStarts []EpochStart
	items       map[store.KeyName]*item
	bytes       int // approximate size of the records
	// newest identifies the newest message received from a primary. Duplicates and older messages are
	// ignored.
	newest struct {
		from        string
		incarnation uint64
		serial      uint64
	}
	// quarantine is the time during which a slot that began without records accepts no new keys.
	quarantine struct {
		epoch uint64 // EmptyEpoch of the table that caused the quarantine
		until time.Duration
	}

	// The following fields are used by the primary only.
	isPrimary     bool
	followers     map[string]*follower
	commitWaiters []commitWaiter
}

func newSlot() *slot { return &slot{items: map[store.KeyName]*item{}} }

// reset removes all records.
func (s *slot) reset() {
	s.items = map[store.KeyName]*item{}
	s.bytes = 0
	s.lastEpoch = 0
	s.lastSeq = 0
	s.epochStarts = nil
}

// append stores a record with the next sequence number, as the primary.
func (s *slot) append(record *store.Record, expiresAt time.Duration) *item {
	s.lastSeq++
	return s.store(Entry{Seq: s.lastSeq, Epoch: s.epoch, Record: record}, expiresAt)
}

// store stores a record that has a sequence number. It replaces the key's older record and keeps the
// watchers of the key.
func (s *slot) store(e Entry, expiresAt time.Duration) *item {
	if e.Epoch != s.lastEpoch {
		s.lastEpoch = e.Epoch
		s.epochStarts = append(s.epochStarts, EpochStart{Epoch: e.Epoch, FirstSeq: e.Seq})
		if len(s.epochStarts) > maxEpochStarts {
			s.epochStarts = s.epochStarts[1:]
		}
	}
	it := s.items[e.Record.Name]
	if it == nil {
		it = &item{}
		s.items[e.Record.Name] = it
	} else {
		s.bytes -= recordSize(&it.record)
	}
	s.bytes += recordSize(e.Record)
	it.record = *e.Record
	it.expiresAt = expiresAt
	it.seq = e.Seq
	it.epoch = e.Epoch
	return it
}

// epochAt returns the epoch of the record with the sequence number seq, or 0 if it is not known.
func (s *slot) epochAt(seq uint64) (epoch uint64) {
	for _, e := range s.epochStarts {
		if e.FirstSeq <= seq {
			epoch = e.Epoch
		}
	}
	return epoch
}

// isPrefix reports whether the records of a replica are a prefix of the slot's records, given the epoch
// and sequence number of the replica's newest record.
func (s *slot) isPrefix(lastEpoch, lastSeq uint64) bool {
	return lastSeq == 0 || lastSeq <= s.lastSeq && s.epochAt(lastSeq) == lastEpoch
}

// entriesAfter returns the records after the sequence number seq in order, and the sequence number up
// to which they are complete. The records exceed maxBytes only if the first one alone does.
func (s *slot) entriesAfter(seq uint64, now time.Duration, maxBytes int) (entries []Entry, upTo uint64) {
	size := 0
	for _, it := range s.itemsInOrder(func(it *item) bool { return it.seq > seq }) {
		if size += recordSize(&it.record); size > maxBytes && len(entries) > 0 {
			return entries, entries[len(entries)-1].Seq
		}
		record := it.record
		remaining := wallclock.MicrosOf(it.expiresAt - now)
		entries = append(entries, Entry{Seq: it.seq, Epoch: it.epoch, Remaining: remaining, Record: &record})
	}
	return entries, s.lastSeq
}

// itemsInOrder returns the items that match, in the order of their sequence numbers, so that the same
// events always send the same messages.
func (s *slot) itemsInOrder(match func(*item) bool) (items []*item) {
	for _, it := range s.items {
		if match(it) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	return items
}

// watchedItems returns the items with watchers, in the order of their sequence numbers.
func (s *slot) watchedItems() []*item {
	return s.itemsInOrder(func(it *item) bool { return len(it.watchers) > 0 })
}

// recordSize returns the approximate size in bytes of a record in memory.
func recordSize(r *store.Record) int {
	n := recordOverhead + len(r.Name.Class) + len(r.Name.Tenant) + len(r.Name.Key)
	if r.Result != nil {
		n += len(r.Result.Body)
		for _, f := range r.Result.Fields {
			n += len(f.Name) + len(f.Value)
		}
	}
	return n
}

// sortedFollowers iterates over the followers in the order of their names, so that the same events
// always send the same messages.
func (s *slot) sortedFollowers() iter.Seq2[string, *follower] {
	return func(yield func(string, *follower) bool) {
		for _, name := range slices.Sorted(maps.Keys(s.followers)) {
			if !yield(name, s.followers[name]) {
				return
			}
		}
	}
}

// requiredFollowers returns the followers whose acknowledgment a commit requires: those of the replica
// set, and those that were proposed to the consensus group as caught up.
func (s *slot) requiredFollowers(t *placement.Slot) (required []*follower) {
	for name, f := range s.followers {
		if slices.Contains(t.Replicas, name) || f.caughtUp {
			required = append(required, f)
		}
	}
	return required
}

// committed returns the sequence number up to which all required followers have stored the records. It
// reports false until each of them has answered the probe, and for a primary that is alone in the
// replica set: a follower that is still joining does not count as the second copy.
func (s *slot) committed(t *placement.Slot) (uint64, bool) {
	seq := s.lastSeq
	for _, f := range s.requiredFollowers(t) {
		if !f.probed {
			return 0, false
		}
		seq = min(seq, f.ackedSeq)
	}
	return seq, len(t.Replicas) > 1
}

// removeExpired removes the records whose windows ended before the given time, when no retry of their
// keys can come any more. The records of runs that go on and of keys with watchers stay.
func (s *slot) removeExpired(before time.Duration, ownerAlive func(*store.Record) bool) {
	for name, it := range s.items {
		running := it.record.Kind == store.RunStarted && ownerAlive(&it.record)
		if before > it.expiresAt && len(it.watchers) == 0 && !running {
			s.bytes -= recordSize(&it.record)
			delete(s.items, name)
		}
	}
}
