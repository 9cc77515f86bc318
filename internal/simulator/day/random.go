package day

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Stream returns a source of random numbers for one purpose. Purposes do not share a source, so that more
// draws for one purpose do not change the draws for others: two simulations of a day have the same requests
// and faults, whatever else differs between them.
func Stream(seed uint64, purpose string, index uint64) *rand.Rand {
	a := Mix(seed, purpose, index)
	return rand.New(rand.NewPCG(a, a^0x9e3779b97f4a7c15))
}

// Mix returns a 64-bit hash of its arguments.
func Mix(seed uint64, purpose string, index uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], index)
	d.Write(buf[:])
	d.WriteString(purpose)
	return d.Sum64()
}

// Unit returns a hash of its arguments as a number in [0, 1).
func Unit(seed uint64, purpose string, index uint64) float64 {
	return float64(Mix(seed, purpose, index)>>11) / (1 << 53)
}
