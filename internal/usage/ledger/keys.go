package ledger

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"ryepaddle/internal/wallclock"
)

// CountedKey is an idempotency key that was counted as served. Statements list them, so that a bill
// finds a request that two instances counted.
type CountedKey struct {
	Hash          uint64              // HashKey of the key
	ServedAt      wallclock.UnixMicro // rounded down to a second
	ExpiresAt     wallclock.UnixMicro // rounded up to a second
	Work          wallclock.Micros    // at most 2^32-1 microseconds, about 71 minutes
	Tenant, Class string
}

// CountedKeys is a list of keys. Its JSON is a packed form, which keeps statements small.
type CountedKeys []CountedKey

// keyGroup holds the keys of a tenant and class, in the order in which they were listed. Each key takes
// packedKeySize bytes, big-endian: 8 for the hash, 4 for the Unix second in which it was served, 4 for
// the seconds from then until it expires, and 4 for its work in microseconds. The order of the fields
// is part of the format.
type keyGroup struct {
	Tenant string `json:"school"`
	Class  string `json:"class"`
	Packed []byte `json:"packed"`
}

const (
	packedServedAtOffset = 8
	packedLifetimeOffset = 12
	packedWorkOffset     = 16
	packedKeySize        = 20

	// second is the resolution of the instants of keys.
	second = wallclock.Micros(time.Second / time.Microsecond)
)

// rounded returns the key with the precision and range of its packed form.
func (k CountedKey) rounded() CountedKey {
	k.ServedAt = unixSecond(packedSecond(k))
	k.ExpiresAt = packedLifetime(k).After(k.ServedAt)
	k.Work = min(max(k.Work, 0), math.MaxUint32)
	return k
}

// packedSecond returns the Unix second in which a key was served.
func packedSecond(k CountedKey) uint32 {
	return uint32(min(max(int64(k.ServedAt)/int64(second), 0), math.MaxUint32))
}

// packedLifetime returns how long after it was served a key expires, rounded up to whole seconds.
func packedLifetime(k CountedKey) wallclock.Micros {
	span := wallclock.Micros(k.ExpiresAt - k.ServedAt)
	return min(max((span+second-1)/second, 0), math.MaxUint32) * second
}

func unixSecond(s uint32) wallclock.UnixMicro { return wallclock.UnixMicro(int64(s) * int64(second)) }

// MarshalJSON implements json.Marshaler. Keys of a group keep their order.
func (keys CountedKeys) MarshalJSON() ([]byte, error) {
	groups := []keyGroup{}
	type groupName struct{ tenant, class string }
	index := map[groupName]int{}
	for _, k := range keys {
		k = k.rounded()
		name := groupName{k.Tenant, k.Class}
		i, ok := index[name]
		if !ok {
			i = len(groups)
			index[name] = i
			groups = append(groups, keyGroup{Tenant: k.Tenant, Class: k.Class})
		}
		groups[i].Packed = k.appendPacked(groups[i].Packed)
	}
	slices.SortFunc(groups, func(a, b keyGroup) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class))
	})
	return json.Marshal(groups)
}

// appendPacked appends the packed form of a key, which must be rounded.
func (k CountedKey) appendPacked(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, k.Hash)
	b = binary.BigEndian.AppendUint32(b, packedSecond(k))
	b = binary.BigEndian.AppendUint32(b, uint32(packedLifetime(k)/second))
	return binary.BigEndian.AppendUint32(b, uint32(k.Work))
}

// UnmarshalJSON implements json.Unmarshaler.
func (keys *CountedKeys) UnmarshalJSON(b []byte) error {
	var groups []keyGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return err
	}
	*keys = nil
	for _, g := range groups {
		if len(g.Packed)%packedKeySize != 0 {
			return fmt.Errorf(
				"keys of tenant %s, class %s: %d bytes is not a multiple of %d",
				g.Tenant,
				g.Class,
				len(g.Packed),
				packedKeySize,
			)
		}
		for packed := range slices.Chunk(g.Packed, packedKeySize) {
			*keys = append(*keys, g.unpack(packed))
		}
	}
	return nil
}

// unpack decodes a key of the group from its packed form.
func (g *keyGroup) unpack(packed []byte) CountedKey {
	k := CountedKey{
		Hash:     binary.BigEndian.Uint64(packed),
		ServedAt: unixSecond(binary.BigEndian.Uint32(packed[packedServedAtOffset:])),
		Work:     wallclock.Micros(binary.BigEndian.Uint32(packed[packedWorkOffset:])),
		Tenant:   g.Tenant,
		Class:    g.Class,
	}
	lifetime := wallclock.Micros(binary.BigEndian.Uint32(packed[packedLifetimeOffset:])) * second
	k.ExpiresAt = lifetime.After(k.ServedAt)
	return k
}
