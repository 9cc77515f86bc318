package picker

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/balancer/endpointhealth"
)

// probes is how many places of the ring a key is held to: the nearest server to any of them has it.
// With 11 the server with the most keys has about a tenth more than the mean, with a single point
// for each (Appleton, O'Reilly, "Multi-probe consistent hashing", 2015), so that a ring of
// thousands is laid out in a moment.
const probes = 11

// mostPoints bounds the points of a server whose weight is above that of others.
const mostPoints = 16

type point struct {
	at uint64
	s  *Server
}

// ring leads keys to servers so that few of them move when a server comes or goes. It is the same
// for all that have the same list, whatever they know of the servers.
type ring struct {
	at     []uint64 // in order, apart from whose they are: a look-up goes through these alone
	points []*Server
}

func newRing(servers []*Server) *ring {
	most, even := 1, true
	for _, s := range servers {
		most, even = max(most, s.Weight), even && s.Weight == servers[0].Weight
	}
	var points []point
	for _, s := range servers {
		n := 1
		if !even {
			n = max(s.Weight*mostPoints/most, 1)
		}
		h := hashOf(s.ID)
		for i := range n {
			points = append(points, point{mix(h + uint64(i)), s})
		}
	}
	slices.SortFunc(
		points,
		func(a, b point) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.s.Name, b.s.Name)) },
	)
	r := &ring{}
	for _, p := range points {
		r.at, r.points = append(r.at, p.at), append(r.points, p.s)
	}
	return r
}

// hashOf goes by the name alone: a server that moves keeps its keys.
func hashOf(id endpointhealth.ID) uint64 { return xxhash.Sum64String(id.Name) }

// mix spreads the bits of a number over all of it (the last steps of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// next is the first point at or behind a place. Places are spread evenly, so that it is near where
// it would be if they were so to the dot.
func (r *ring) next(at uint64) int {
	n := len(r.at)
	hi, _ := bits.Mul64(at, uint64(n))
	i := int(hi)
	for i > 0 && r.at[i-1] >= at {
		i--
	}
	for i < n && r.at[i] < at {
		i++
	}
	return i % n
}

// home is the place of the server that has a key.
func (r *ring) home(key uint64) int {
	best, least := 0, ^uint64(0)
	for i := range uint64(probes) {
		at := mix(key ^ i*0x9e3779b97f4a7c15)
		p := r.next(at)
		if d := r.at[p] - at; d < least { // it goes round
			best, least = p, d
		}
	}
	return best
}
