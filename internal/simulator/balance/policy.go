package balance

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// rendezvousScore is the rank of a server for a key, by which either changes little when servers come and go.
func rendezvousScore(key uint64, server int) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	binary.LittleEndian.PutUint64(buf[8:], uint64(server))
	return xxhash.Sum64(buf[:])
}

// choose is the server for the next try; -1: none is willing.
func (b *Balancer) choose(p *pendingRequest) int {
	if i := p.sameServer; i >= 0 && b.servers[i].listed {
		return i
	}
	b.eligible = b.eligible[:0]
	for _, avoid := range []bool{true, false} { // with all avoided, none is
		for i := range b.servers {
			if !p.tried[i] && b.isAvailable(i, avoid) && b.hasCapacity(i, p) {
				b.eligible = append(b.eligible, i)
			}
		}
		if len(b.eligible) > 0 || b.anyHealthy() {
			break
		}
	}
	if len(b.eligible) == 0 {
		return -1
	}
	return b.pick(p)
}

// isAvailable tells whether a server is listed and, where it avoids any, neither ejected nor failing its
// checks.
func (b *Balancer) isAvailable(i int, avoid bool) bool {
	s := &b.servers[i]
	if !s.listed || !s.inSubset {
		return false
	}
	return !avoid || s.failedChecks < unhealthyAfterChecks && s.ejectedUntil <= b.clock.Now()
}

func (b *Balancer) anyHealthy() bool {
	for i := range b.servers {
		if b.isAvailable(i, true) {
			return true
		}
	}
	return false
}

// hasCapacity tells whether a server has room for one more from here, as far as this balancer heeds
// that. A fraction of a credit counts by chance.
func (b *Balancer) hasCapacity(i int, p *pendingRequest) bool {
	s, now := &b.servers[i], b.clock.Now()
	if !b.behavior.FollowsAdvice {
		return true
	}
	if s.avoidUntil > now {
		return false
	}
	if s.creditAt == 0 || now-s.creditAt > b.behavior.CreditTTL {
		return true
	}
	whole := math.Floor(s.credit)
	if float64(s.outstanding) < whole {
		return true
	}
	return float64(s.outstanding) == whole && b.draw(p.ID, p.attempts, drawAllow+i) < s.credit-whole
}

// pick chooses among the willing.
func (b *Balancer) pick(p *pendingRequest) int {
	n := len(b.eligible)
	least := func(of func(s *server) float64) int {
		start, best := int(b.draw(p.ID, p.attempts, drawFirst)*float64(n)), -1
		for k := range n {
			if i := b.eligible[(start+k)%n]; best < 0 || of(&b.servers[i]) < of(&b.servers[best]) {
				best = i
			}
		}
		return best
	}
	switch b.behavior.Policy {
	case LeastRequests:
		return least(func(s *server) float64 { return float64(s.outstanding) })
	case LeastReportedLoad:
		return least(func(s *server) float64 { return s.load })
	case LeastLatency:
		return least(func(s *server) float64 { return s.latency })
	case PowerOfTwoChoices:
		first := int(b.draw(p.ID, p.attempts, drawFirst) * float64(n))
		second := first
		if n > 1 {
			second = (first + 1 + int(b.draw(p.ID, p.attempts, drawSecond)*float64(n-1))) % n
		}
		if i, j := b.eligible[first], b.eligible[second]; b.servers[j].outstanding < b.servers[i].outstanding {
			return j
		}
		return b.eligible[first]
	case WeightedRandom:
		sum := 0.0
		for _, i := range b.eligible {
			sum += b.servers[i].weight
		}
		at := b.draw(p.ID, p.attempts, drawWeight) * sum
		for _, i := range b.eligible {
			if at -= b.servers[i].weight; at < 0 {
				return i
			}
		}
		return b.eligible[n-1]
	case ConsistentHash:
		best := b.eligible[0]
		for _, i := range b.eligible[1:] {
			if rendezvousScore(p.Key, i) > rendezvousScore(p.Key, best) {
				best = i
			}
		}
		return best
	}
	best := b.eligible[0]
	for _, i := range b.eligible { // the first at or behind the hand
		if i >= b.nextServer {
			best = i
			break
		}
	}
	b.nextServer = (best + 1) % len(b.servers)
	return best
}
