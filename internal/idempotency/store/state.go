package store

import (
	"cmp"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Key is what is known of one.
type Key struct {
	Name      KeyName
	Owner     uint64
	ExpiresAt wallclock.UnixMicro
	BodyHash  [32]byte
	Ended     bool // else its run had begun: it is in doubt once the process is gone
	Status    uint8
	Result    *Result
	size      int64 // of its records in a snapshot, about
}

// record is the key as a snapshot holds it.
func (k *Key) record() *Record {
	r := &Record{Kind: RunStarted, Name: k.Name, Owner: k.Owner, ExpiresAt: k.ExpiresAt, BodyHash: k.BodyHash}
	if k.Ended {
		r.Kind, r.Status, r.Result = RunEnded, k.Status, k.Result
	}
	return r
}

// State is what a sequence of records comes to.
type State struct {
	keys      map[KeyName]*Key
	liveBytes int64               // bytes of all keys, about
	newestAt  wallclock.UnixMicro // time of the newest record
}

// NewState is that of no records.
func NewState() *State { return &State{keys: map[KeyName]*Key{}} }

// Len is how many keys there are.
func (s *State) Len() int { return len(s.keys) }

// LiveBytes is about how many bytes a snapshot takes.
func (s *State) LiveBytes() int64 { return s.liveBytes }

// Apply takes a record. An end is that of the try it names alone: what a later try of the key began
// is not touched.
func (s *State) Apply(r *Record) {
	s.newestAt = max(s.newestAt, r.WrittenAt)
	k := s.keys[r.Name]
	switch r.Kind {
	case RunStarted:
		if k != nil && k.Owner == r.Owner && k.Ended { // told twice
			return
		}
		s.put(&Key{Name: r.Name, Owner: r.Owner, ExpiresAt: r.ExpiresAt, BodyHash: r.BodyHash})
	case RunEnded:
		// Of a snapshot, or after a repair, it stands alone.
		if k == nil || k.Owner == r.Owner {
			s.put(
				&Key{
					Name:      r.Name,
					Owner:     r.Owner,
					ExpiresAt: r.ExpiresAt,
					BodyHash:  r.BodyHash,
					Ended:     true,
					Status:    r.Status,
					Result:    r.Result,
				},
			)
		}
	case KeyReleased:
		if k != nil && k.Owner == r.Owner && !k.Ended {
			s.remove(k)
		}
	}
}

func (s *State) put(k *Key) {
	if old := s.keys[k.Name]; old != nil {
		s.remove(old)
	}
	k.size = int64(frameHead + 64 + len(k.Name.Class) + len(k.Name.Tenant) + len(k.Name.Key))
	if k.Result != nil {
		k.size += int64(len(k.Result.Body))
		for _, f := range k.Result.Fields {
			k.size += int64(len(f.Name) + len(f.Value) + 4)
		}
	}
	s.keys[k.Name] = k
	s.liveBytes += k.size
}

func (s *State) remove(k *Key) {
	delete(s.keys, k.Name)
	s.liveBytes -= k.size
}

// Expire drops keys that no repeat can meet any more: they ended, or their process did, before that
// time.
func (s *State) Expire(before wallclock.UnixMicro, begunToo bool) {
	for _, k := range s.keys {
		if k.ExpiresAt < before && (k.Ended || begunToo) {
			s.remove(k)
		}
	}
}

// Keys are all of them, in the order of their names.
func (s *State) Keys() []*Key {
	out := make([]*Key, 0, len(s.keys))
	for _, k := range s.keys {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *Key) int {
		return cmp.Or(
			cmp.Compare(a.Name.Class, b.Name.Class),
			cmp.Compare(a.Name.Tenant, b.Name.Tenant),
			cmp.Compare(a.Name.Key, b.Name.Key),
		)
	})
	return out
}
