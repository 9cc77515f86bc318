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
	// maxEpochStarts bounds the epochs that a slot remembers. A follower whose newest record is of
	// an older one is sent all records.
	maxEpochStarts = 64
	// recordOverhead is about how many bytes a record takes beside its names and its result.
	recordOverhead = 128
)

// item is the record of one key.
type item struct {
	record     store.Record
	expiresAt  time.Duration // end of the key's window
	seq, epoch uint64
	watchers   []watcher // are answered when the run ends
}

// watcher is a request that waits for the end of another attempt's run.
type watcher struct {
	runner    string
	requestID uint64
}

// follower is another replica of a slot, as the primary sees it.
type follower struct {
	incarnation uint64
	probed      bool          // it has answered the probe of this epoch
	ackedSeq    uint64        // all records up to this one are stored there
	sentSeq     uint64        // all records up to this one were sent
	lastActive  time.Duration // when a message last went to it or came from it
	// The consensus group was told that it has all records: from then on nothing is committed
	// without it.
	caughtUp    bool
	needsReset  bool // its records are no prefix of the primary's, and it is yet to be told so
	needsAppend bool // it is to be sent what it lacks once the catch-up budget allows
}

// commitWaiter is called once all records up to seq are committed.
type commitWaiter struct {
	seq uint64
	fn  func()
}

// slot is what a runner has of one part of the keys.
type slot struct {
	epoch       uint64 // messages of older epochs are rejected
	lastEpoch   uint64 // of the newest record
	lastSeq     uint64 // of the newest record
	epochStarts []EpochStart
	items       map[store.KeyName]*item
	bytes       int // about how many its records take
	// newest is the newest message of a primary: one that comes twice or late is ignored.
	newest struct {
		from        string
		incarnation uint64
		serial      uint64
	}
	// quarantine is the time for which a slot that began with nothing accepts no new keys.
	quarantine struct {
		epoch uint64 // the table's EmptyEpoch that began it
		until time.Duration
	}

	// The rest is of the primary only.
	isPrimary     bool
	followers     map[string]*follower
	commitWaiters []commitWaiter
}

func newSlot() *slot { return &slot{items: map[store.KeyName]*item{}} }

// reset forgets all records.
func (s *slot) reset() {
	s.items = map[store.KeyName]*item{}
	s.bytes = 0
	s.lastEpoch = 0
	s.lastSeq = 0
	s.epochStarts = nil
}

// append stores the next record of a primary.
func (s *slot) append(record *store.Record, expiresAt time.Duration) *item {
	s.lastSeq++
	return s.store(Entry{Seq: s.lastSeq, Epoch: s.epoch, Record: record}, expiresAt)
}

// store stores a numbered record. Watchers of its key stay.
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

// epochAt returns the epoch of the record with a number, or 0 if it is not known.
func (s *slot) epochAt(seq uint64) (epoch uint64) {
	for _, e := range s.epochStarts {
		if e.FirstSeq <= seq {
			epoch = e.Epoch
		}
	}
	return epoch
}

// isPrefix reports whether the records of a replica whose newest one has this epoch and number are
// a prefix of the slot's.
func (s *slot) isPrefix(lastEpoch, lastSeq uint64) bool {
	return lastSeq == 0 || lastSeq <= s.lastSeq && s.epochAt(lastSeq) == lastEpoch
}

// entriesAfter returns the records after a number in their order, at least one and then not more
// than maxBytes of them, and the number up to which these are all.
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

// itemsInOrder returns the items that match, by their numbers: the same events send the same
// messages.
func (s *slot) itemsInOrder(match func(*item) bool) (items []*item) {
	for _, it := range s.items {
		if match(it) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	return items
}

// watchedItems returns the items with watchers, by their numbers.
func (s *slot) watchedItems() []*item {
	return s.itemsInOrder(func(it *item) bool { return len(it.watchers) > 0 })
}

// recordSize is about how many bytes a record takes in memory.
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

// sortedFollowers iterates over the followers by name: the same events send the same messages.
func (s *slot) sortedFollowers() iter.Seq2[string, *follower] {
	return func(yield func(string, *follower) bool) {
		for _, name := range slices.Sorted(maps.Keys(s.followers)) {
			if !yield(name, s.followers[name]) {
				return
			}
		}
	}
}

// requiredFollowers returns the followers without which nothing is committed: those of the replica
// set, and those of which the consensus group was told that they have all records.
func (s *slot) requiredFollowers(t *placement.Slot) (required []*follower) {
	for name, f := range s.followers {
		if slices.Contains(t.Replicas, name) || f.caughtUp {
			required = append(required, f)
		}
	}
	return required
}

// committed returns the number up to which all required followers have stored the records. It
// reports false before each of them has answered the probe, and for a primary without another
// member of the replica set: a follower that is only catching up does not make two.
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

// removeExpired drops the records that no retry of their key can meet any more: their windows ended
// before the time given. A run that goes on, and one with watchers, is not dropped.
func (s *slot) removeExpired(before time.Duration, ownerAlive func(*store.Record) bool) {
	for name, it := range s.items {
		running := it.record.Kind == store.RunStarted && ownerAlive(&it.record)
		if before > it.expiresAt && len(it.watchers) == 0 && !running {
			s.bytes -= recordSize(&it.record)
			delete(s.items, name)
		}
	}
}
