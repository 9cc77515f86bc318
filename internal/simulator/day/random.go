package day

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Stream is a source of random numbers of its own for one purpose. Since purposes do not share a
// source, one that draws more leaves the others as they were: two runs of a day meet the same
// traffic and the same troubles, whatever differs.
func Stream(seed uint64, purpose string, index uint64) *rand.Rand {
	a := Mix(seed, purpose, index)
	return rand.New(rand.NewPCG(a, a^0x9e3779b97f4a7c15))
}

// Mix is a number that depends on nothing but what it is asked for.
func Mix(seed uint64, purpose string, index uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], index)
	d.Write(buf[:])
	d.WriteString(purpose)
	return d.Sum64()
}

// Unit is such a number from 0 to under 1.
func Unit(seed uint64, purpose string, index uint64) float64 {
	return float64(Mix(seed, purpose, index)>>11) / (1 << 53)
}
