package store

import (
	"cmp"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Estimated sizes in bytes of an encoded record and an encoded field, without their texts.
const (
	recordOverhead = 64
	fieldOverhead  = 4
)

// Key is the state of an idempotency key.
type Key struct {
	Name      KeyName
	Owner     uint64
	ExpiresAt wallclock.UnixMicro
	BodyHash  [32]byte
	Ended     bool // the run has ended; otherwise it has begun, and is in doubt once its process has exited
	Status    uint8
	Result    *Result
	size      int64 // estimated size of its record in a snapshot, in bytes
}

// record returns the record of the key in a snapshot.
func (k *Key) record() *Record {
	r := &Record{Kind: RunStarted, Name: k.Name, Owner: k.Owner, ExpiresAt: k.ExpiresAt, BodyHash: k.BodyHash}
	if k.Ended {
		r.Kind = RunEnded
		r.Status = k.Status
		r.Result = k.Result
	}
	return r
}

// State holds the keys that result from a sequence of records.
type State struct {
	keys      map[KeyName]*Key
	liveBytes int64               // estimated size of a snapshot
	newestAt  wallclock.UnixMicro // when the newest record was written
}

// NewState returns a state without keys.
func NewState() *State { return &State{keys: map[KeyName]*Key{}} }

// Len returns the number of keys.
func (s *State) Len() int { return len(s.keys) }

// LiveBytes returns the estimated size of a snapshot, in bytes.
func (s *State) LiveBytes() int64 { return s.liveBytes }

// Apply applies a record. A RunEnded or KeyReleased record affects only the run that its Owner identifies,
// not a later run of the same key.
func (s *State) Apply(r *Record) {
	s.newestAt = max(s.newestAt, r.WrittenAt)
	k := s.keys[r.Name]
	switch r.Kind {
	case RunStarted:
		if k != nil && k.Owner == r.Owner && k.Ended { // a repeated record
			return
		}
		s.put(&Key{Name: r.Name, Owner: r.Owner, ExpiresAt: r.ExpiresAt, BodyHash: r.BodyHash})
	case RunEnded:
		// In a snapshot and after a repair there may be an end without a start.
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
	k.size = int64(frameHeaderSize + recordOverhead + len(k.Name.Class) + len(k.Name.Tenant) + len(k.Name.Key))
	if k.Result != nil {
		k.size += int64(len(k.Result.Body))
		for _, f := range k.Result.Fields {
			k.size += int64(len(f.Name) + len(f.Value) + fieldOverhead)
		}
	}
	s.keys[k.Name] = k
	s.liveBytes += k.size
}

func (s *State) remove(k *Key) {
	delete(s.keys, k.Name)
	s.liveBytes -= k.size
}

// ExpireEnded removes the keys that expired before the given time and whose run has ended.
func (s *State) ExpireEnded(before wallclock.UnixMicro) {
	for _, k := range s.keys {
		if k.Ended && k.ExpiresAt < before {
			s.remove(k)
		}
	}
}

// ExpireAll removes all keys that expired before the given time. It is used when files are read, where
// runs that have not ended belong to a process that has exited.
func (s *State) ExpireAll(before wallclock.UnixMicro) {
	for _, k := range s.keys {
		if k.ExpiresAt < before {
			s.remove(k)
		}
	}
}

// Keys returns all keys, ordered by name.
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
