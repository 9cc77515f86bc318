package picker

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/balancer/endpointhealth"
)

const (
	// keyProbes is the number of positions of a key on the ring. The point with the smallest distance
	// behind one of them owns the key.
	keyProbes = 11
	// maxPoints is how many points the server of the greatest weight has on the ring, if weights differ.
	maxPoints = 16
	// maxRingSteps is how many points are tried for a key, from the one that owns it on.
	maxRingSteps = 16
	// goldenGamma is the increment of SplitMix64.
	goldenGamma = 0x9e3779b97f4a7c15
	// mantissaBits is the number of bits that a float64 holds exactly.
	mantissaBits = 53
)

// ring maps keys to servers by multi-probe consistent hashing (Appleton and O'Reilly, 2015): few
// keys move when a server joins or leaves. It is the same for all instances with the same list.
type ring struct {
	positions []uint64  // of the points, ascending; kept apart from servers, as a look-up reads only positions
	servers   []*Server // the servers of the points
}

func newRing(servers []*Server) *ring {
	maxWeight := 1
	sameWeights := true
	for _, s := range servers {
		maxWeight = max(maxWeight, s.Weight)
		sameWeights = sameWeights && s.Weight == servers[0].Weight
	}
	type point struct {
		position uint64
		server   *Server
	}
	var points []point
	for _, s := range servers {
		count := 1
		if !sameWeights {
			count = max(s.Weight*maxPoints/maxWeight, 1)
		}
		hash := hashOf(s.ID)
		for i := range count {
			points = append(points, point{mix(hash + uint64(i)), s})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.server.Name, b.server.Name))
	})
	r := &ring{}
	for _, p := range points {
		r.positions = append(r.positions, p.position)
		r.servers = append(r.servers, p.server)
	}
	return r
}

// hashOf hashes only the name, so that a server that moves to another address keeps its keys.
func hashOf(id endpointhealth.ID) uint64 { return xxhash.Sum64String(id.Name) }

// mix spreads the bits of x over the whole result. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += goldenGamma
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// next returns the index of the first point at or behind a position. Positions are spread evenly, so
// the search starts at the index that the point would have if all distances were equal.
func (r *ring) next(position uint64) int {
	n := len(r.positions)
	estimate, _ := bits.Mul64(position, uint64(n))
	i := int(estimate)
	for i > 0 && r.positions[i-1] >= position {
		i--
	}
	for i < n && r.positions[i] < position {
		i++
	}
	return i % n
}

// find returns the index of the point that owns a key.
func (r *ring) find(key uint64) int {
	nearest := 0
	least := uint64(math.MaxUint64)
	for i := range uint64(keyProbes) {
		position := mix(key ^ i*goldenGamma)
		point := r.next(position)
		if distance := r.positions[point] - position; distance < least { // modulo 2^64
			nearest = point
			least = distance
		}
	}
	return nearest
}

// pickByKey returns the server that owns the key, or the next one on the ring that can take the
// request; nil if none within maxRingSteps can. A server that is warming up takes a part of its keys,
// according to its traffic share, and always the same ones.
func (p *Picker) pickByKey(q *Query) *Server {
	key := xxhash.Sum64String(q.Key)
	first := p.ring.find(key)
	var previous *Server
	for i := 0; i < maxRingSteps && i < len(p.ring.servers); i++ {
		s := p.ring.servers[(first+i)%len(p.ring.servers)]
		if s == previous || !s.isEligible(q) || s.isFull() || !s.hasClockPermit(q.Now) {
			continue
		}
		previous = s
		if s.State == endpointhealth.WarmingUp && keyFraction(key, s) >= s.trafficShare(q.Now) {
			continue
		}
		return s
	}
	return nil
}

// keyFraction maps a key to a number from 0 up to, but not including, 1 that is fixed for the server.
func keyFraction(key uint64, s *Server) float64 {
	return float64(mix(key^hashOf(s.ID))>>(64-mantissaBits)) / (1 << mantissaBits)
}
