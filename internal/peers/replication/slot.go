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
	until      int64 // monotonic, here
	seq, epoch uint64
	watchers   []watcher // who wait for its end
}

// watcher is an ask that was told Theirs of a run that goes on.
type watcher struct {
	who string
	id  uint64
}

// peer is another holder of a slot, as its primary sees it.
type peer struct {
	life   uint64
	opened bool
	acked  uint64 // it holds all up to this number
	sent   uint64 // and all up to this one is on its way
	at     int64  // when it last was told anything
	// that it has all was said to the consensus group: from then on nothing counts as kept without
	// it
	whole bool
	reset bool // what it has is no beginning of what is held here, and it is yet to be told so
	owed  bool // it is to be sent what it lacks, once there is room for that
}

// waiter is told once all up to a number is kept.
type waiter struct {
	seq uint64
	fn  func()
}

// slot is what is held of a part of the keys.
type slot struct {
	epoch uint64 // older ones are refused
	last  uint64 // the epoch of the newest record
	seq   uint64 // its number
	eras  []EpochStart
	items map[store.Name]*item
	bytes int // of the records, about
	// the newest word of a primary: one that is said twice or comes late is not taken again
	heard struct {
		from string
		life uint64
		no   uint64
	}
	quiet struct {
		epoch uint64 // of the table, that was seen
		until int64
	}
	// Of a primary:
	leads   bool
	peers   map[string]*peer
	waiters []waiter
}

const (
	mostEras    = 64
	mostWaiting = 256 // watchers of one key
)

func newSlot() *slot { return &slot{items: map[store.Name]*item{}} }

// clear forgets what is held.
func (s *slot) clear() {
	s.items, s.bytes, s.last, s.seq, s.eras = map[store.Name]*item{}, 0, 0, 0, nil
}

// put takes the next record of a primary.
func (s *slot) put(r *store.Record, until int64) *item {
	s.seq++
	return s.set(Entry{Seq: s.seq, Epoch: s.epoch, Record: r}, until)
}

// set takes a record with its number. Watchers of its key stay.
func (s *slot) set(e Entry, until int64) *item {
	if e.Epoch != s.last {
		s.last = e.Epoch
		if s.eras = append(s.eras, EpochStart{Epoch: e.Epoch, First: e.Seq}); len(s.eras) > mostEras {
			s.eras = s.eras[1:]
		}
	}
	it := s.items[e.Record.Name]
	if it == nil {
		it = &item{}
		s.items[e.Record.Name] = it
	} else {
		s.bytes -= sizeOf(&it.record)
	}
	s.bytes += sizeOf(e.Record)
	it.record, it.until, it.seq, it.epoch = *e.Record, until, e.Seq, e.Epoch
	return it
}

// epochAt is the epoch of the record with a number; 0: it is not known.
func (s *slot) epochAt(seq uint64) (epoch uint64) {
	for _, e := range s.eras {
		if e.First <= seq {
			epoch = e.Epoch
		}
	}
	return epoch
}

// beginning tells whether what a holder has is a beginning of what is held here.
func (s *slot) beginning(last, seq uint64) bool {
	return seq == 0 || seq <= s.seq && s.epochAt(seq) == last
}

// after are the items with higher numbers, in their order, at most so many bytes of them; up to
// which number that is all.
func (s *slot) after(seq uint64, now int64, most int) (out []Entry, upTo uint64) {
	var later []*item
	for _, it := range s.items {
		if it.seq > seq {
			later = append(later, it)
		}
	}
	slices.SortFunc(later, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	size := 0
	for _, it := range later {
		if size += sizeOf(&it.record); size > most && len(out) > 0 {
			return out, out[len(out)-1].Seq
		}
		r := it.record
		out = append(out, Entry{Seq: it.seq, Epoch: it.epoch, Left: it.until - now, Record: &r})
	}
	return out, s.seq
}

// sizeOf is about how many bytes a record takes.
func sizeOf(r *store.Record) int {
	n := 128 + len(r.Name.Class) + len(r.Name.Tenant) + len(r.Name.Key)
	if r.Result != nil {
		n += len(r.Result.Body)
		for _, f := range r.Result.Fields {
			n += len(f.Name) + len(f.Value)
		}
	}
	return n
}

// inOrder are the peers by their names: the same messages are to come of the same.
func (s *slot) inOrder() iter.Seq2[string, *peer] {
	return func(yield func(string, *peer) bool) {
		for _, name := range slices.Sorted(maps.Keys(s.peers)) {
			if !yield(name, s.peers[name]) {
				return
			}
		}
	}
}

// awaited are the items whose end somebody waits for, in their order.
func (s *slot) awaited() (out []*item) {
	for _, it := range s.items {
		if len(it.watchers) > 0 {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// follows are the peers without which nothing counts as kept.
func (s *slot) follows(t *placement.Slot) (out []*peer) {
	for name, p := range s.peers {
		if slices.Contains(t.Set, name) || p.whole {
			out = append(out, p)
		}
	}
	return out
}

// kept is up to which number all is held by everybody who has to; false: the epoch is not open. It
// never is for a primary alone, and who is only joining does not make two.
func (s *slot) kept(t *placement.Slot) (uint64, bool) {
	seq := s.seq
	for _, p := range s.follows(t) {
		if !p.opened {
			return 0, false
		}
		seq = min(seq, p.acked)
	}
	return seq, len(t.Set) > 1
}

// expire drops what no repeat can meet any more. A run that goes on is never dropped.
func (s *slot) expire(now int64, lives func(*store.Record) bool) {
	for name, it := range s.items {
		if now > it.until && len(it.watchers) == 0 && (it.record.Kind != store.Begun || !lives(&it.record)) {
			s.bytes -= sizeOf(&it.record)
			delete(s.items, name)
		}
	}
}
