package replication

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

// item is what is held of one key.
type item struct {
	record     store.Record
	expiresAt  int64 // monotonic, here
	seq, epoch uint64
	watchers   []watcher // who wait for its end
}

// watcher is an ask that was told Theirs of a run that goes on.
type watcher struct {
	runner    string
	requestID uint64
}

// follower is another holder of a slot, as its primary sees it.
type follower struct {
	incarnation uint64
	probed      bool
	ackedSeq    uint64 // it holds all up to this number
	sentSeq     uint64 // and all up to this one is on its way
	lastActive  int64  // when it last was told anything
	// that it has all was said to the consensus group: from then on nothing counts as kept without
	// it
	caughtUp    bool
	needsReset  bool // what it has is no beginning of what is held here, and it is yet to be told so
	needsAppend bool // it is to be sent what it lacks, once there is room for that
}

// commitWaiter is told once all up to a number is kept.
type commitWaiter struct {
	seq uint64
	fn  func()
}

// restore is what is held of a part of the keys.
type slot struct {
	epoch       uint64 // older ones are refused
	lastEpoch   uint64 // the epoch of the newest record
	lastSeq     uint64 // its number
	epochStarts []EpochStart
	items       map[store.KeyName]*item
	bytes       int // of the records, about
	// the newest word of a primary: one that is said twice or comes late is not taken again
	newest struct {
		from string
		life uint64
		no   uint64
	}
	quarantine struct {
		epoch uint64 // of the table, that was seen
		until int64
	}
	// Of a primary:
	isPrimary     bool
	followers     map[string]*follower
	commitWaiters []commitWaiter
}

const (
	maxEpochStarts = 64
	maxWatchers    = 256 // watchers of one key
)

func newSlot() *slot { return &slot{items: map[store.KeyName]*item{}} }

// reset forgets what is held.
func (s *slot) reset() {
	s.items, s.bytes, s.lastEpoch, s.lastSeq, s.epochStarts = map[store.KeyName]*item{}, 0, 0, 0, nil
}

// enqueuePut takes the next record of a primary.
func (s *slot) append(r *store.Record, until int64) *item {
	s.lastSeq++
	return s.store(Entry{Seq: s.lastSeq, Epoch: s.epoch, Record: r}, until)
}

// store takes a record with its number. Watchers of its key stay.
func (s *slot) store(e Entry, until int64) *item {
	if e.Epoch != s.lastEpoch {
		s.lastEpoch = e.Epoch
		if s.epochStarts = append(s.epochStarts, EpochStart{Epoch: e.Epoch, FirstSeq: e.Seq}); len(s.epochStarts) > maxEpochStarts {
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
	it.record, it.expiresAt, it.seq, it.epoch = *e.Record, until, e.Seq, e.Epoch
	return it
}

// epochAt is the epoch of the record with a number; 0: it is not known.
func (s *slot) epochAt(seq uint64) (epoch uint64) {
	for _, e := range s.epochStarts {
		if e.FirstSeq <= seq {
			epoch = e.Epoch
		}
	}
	return epoch
}

// isPrefix tells whether what a holder has is a beginning of what is held here.
func (s *slot) isPrefix(last, seq uint64) bool {
	return seq == 0 || seq <= s.lastSeq && s.epochAt(seq) == last
}

// entriesAfter are the items with higher numbers, in their order, at most so many bytes of them; up to
// which number that is all.
func (s *slot) entriesAfter(seq uint64, now int64, most int) (out []Entry, upTo uint64) {
	var later []*item
	for _, it := range s.items {
		if it.seq > seq {
			later = append(later, it)
		}
	}
	slices.SortFunc(later, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	size := 0
	for _, it := range later {
		if size += recordSize(&it.record); size > most && len(out) > 0 {
			return out, out[len(out)-1].Seq
		}
		r := it.record
		out = append(out, Entry{Seq: it.seq, Epoch: it.epoch, Remaining: it.expiresAt - now, Record: &r})
	}
	return out, s.lastSeq
}

// recordSize is about how many bytes a record takes.
func recordSize(r *store.Record) int {
	n := 128 + len(r.Name.Class) + len(r.Name.Tenant) + len(r.Name.Key)
	if r.Result != nil {
		n += len(r.Result.Body)
		for _, f := range r.Result.Fields {
			n += len(f.Name) + len(f.Value)
		}
	}
	return n
}

// sortedFollowers are the peers by their names: the same messages are to come of the same.
func (s *slot) sortedFollowers() iter.Seq2[string, *follower] {
	return func(yield func(string, *follower) bool) {
		for _, name := range slices.Sorted(maps.Keys(s.followers)) {
			if !yield(name, s.followers[name]) {
				return
			}
		}
	}
}

// watchedItems are the items whose end somebody waits for, in their order.
func (s *slot) watchedItems() (out []*item) {
	for _, it := range s.items {
		if len(it.watchers) > 0 {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// requiredFollowers are the peers without which nothing counts as kept.
func (s *slot) requiredFollowers(t *placement.Slot) (out []*follower) {
	for name, p := range s.followers {
		if slices.Contains(t.Replicas, name) || p.caughtUp {
			out = append(out, p)
		}
	}
	return out
}

// committed is up to which number all is held by everybody who has to; false: the epoch is not open. It
// never is for a primary alone, and who is only joining does not make two.
func (s *slot) committed(t *placement.Slot) (uint64, bool) {
	seq := s.lastSeq
	for _, p := range s.requiredFollowers(t) {
		if !p.probed {
			return 0, false
		}
		seq = min(seq, p.ackedSeq)
	}
	return seq, len(t.Replicas) > 1
}

// removeExpired drops what no repeat can meet any more. A run that goes on is never dropped.
func (s *slot) removeExpired(now int64, lives func(*store.Record) bool) {
	for name, it := range s.items {
		if now > it.expiresAt && len(it.watchers) == 0 && (it.record.Kind != store.RunStarted || !lives(&it.record)) {
			s.bytes -= recordSize(&it.record)
			delete(s.items, name)
		}
	}
}
