package ledger

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// CountedKeys are written packed: a hundred thousand of them in full would be 13 MB of a statement.
type CountedKeys []CountedKey

// keyGroup are the keys of a school and class: 8 bytes of the key, 4 each of the second it was
// served in, the seconds after which it cannot come again, and its work in microseconds, in the
// order in which they were listed.
type keyGroup struct {
	School string `json:"school"`
	Class  string `json:"class"`
	Packed []byte `json:"packed"`
}

const packed = 20

// rounded is a key as it comes back.
func (k CountedKey) rounded() CountedKey {
	k.ServedAt = min(max(k.ServedAt/1e6, 0), math.MaxUint32) * 1e6
	k.ExpiresAt = k.ServedAt + min(max((k.ExpiresAt-k.ServedAt+1e6-1)/1e6, 0), math.MaxUint32)*1e6
	k.Work = min(max(k.Work, 0), math.MaxUint32)
	return k
}

// MarshalJSON implements json.Marshaler. Keys of a group keep their order.
func (k CountedKeys) MarshalJSON() ([]byte, error) {
	groups := []keyGroup{}
	at := map[[2]string]int{}
	for _, one := range k {
		one = one.rounded()
		name := [2]string{one.School, one.Class}
		n, ok := at[name]
		if !ok {
			n = len(groups)
			at[name], groups = n, append(groups, keyGroup{School: one.School, Class: one.Class})
		}
		b := binary.BigEndian.AppendUint64(groups[n].Packed, one.Hash)
		b = binary.BigEndian.AppendUint32(b, uint32(one.ServedAt/1e6))
		b = binary.BigEndian.AppendUint32(b, uint32((one.ExpiresAt-one.ServedAt)/1e6))
		groups[n].Packed = binary.BigEndian.AppendUint32(b, uint32(one.Work))
	}
	slices.SortFunc(
		groups,
		func(a, b keyGroup) int { return cmp.Or(cmp.Compare(a.School, b.School), cmp.Compare(a.Class, b.Class)) },
	)
	return json.Marshal(groups)
}

// UnmarshalJSON implements json.Unmarshaler.
func (k *CountedKeys) UnmarshalJSON(b []byte) error {
	var groups []keyGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return err
	}
	*k = nil
	for _, g := range groups {
		if len(g.Packed)%packed != 0 {
			return fmt.Errorf(
				"keys of %s, %s: %d bytes, not a multiple of %d",
				g.School,
				g.Class,
				len(g.Packed),
				packed,
			)
		}
		for one := range slices.Chunk(g.Packed, packed) {
			n := CountedKey{
				Hash:     binary.BigEndian.Uint64(one),
				ServedAt: int64(binary.BigEndian.Uint32(one[8:])) * 1e6,
				Work:     int64(binary.BigEndian.Uint32(one[16:])),
				School:   g.School,
				Class:    g.Class,
			}
			n.ExpiresAt = n.ServedAt + int64(binary.BigEndian.Uint32(one[12:]))*1e6
			*k = append(*k, n)
		}
	}
	return nil
}
