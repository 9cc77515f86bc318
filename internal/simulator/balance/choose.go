package balance

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// score is the rank of a server for a key, by which either changes little when servers come and go.
func score(key uint64, server int) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	binary.LittleEndian.PutUint64(buf[8:], uint64(server))
	return xxhash.Sum64(buf[:])
}

// choose is the server for the next try; -1: none is willing.
func (b *Balancer) choose(p *pending) int {
	if i := p.same; i >= 0 && b.servers[i].listed {
		return i
	}
	b.willing = b.willing[:0]
	for _, avoid := range []bool{true, false} { // with all avoided, none is
		for i := range b.servers {
			if !p.tried[i] && b.up(i, avoid) && b.allows(i, p) {
				b.willing = append(b.willing, i)
			}
		}
		if len(b.willing) > 0 || b.anyUp() {
			break
		}
	}
	if len(b.willing) == 0 {
		return -1
	}
	return b.pick(p)
}

// up tells whether a server is listed and, where it avoids any, neither ejected nor failing its
// checks.
func (b *Balancer) up(i int, avoid bool) bool {
	s := &b.servers[i]
	if !s.listed || !s.inSubset {
		return false
	}
	return !avoid || s.bad < badChecks && s.ejected <= b.clock.Now()
}

func (b *Balancer) anyUp() bool {
	for i := range b.servers {
		if b.up(i, true) {
			return true
		}
	}
	return false
}

// allows tells whether a server has room for one more from here, as far as this balancer heeds
// that. A fraction of a credit counts by chance.
func (b *Balancer) allows(i int, p *pending) bool {
	s, now := &b.servers[i], b.clock.Now()
	if !b.habit.FollowsAdvice {
		return true
	}
	if s.away > now {
		return false
	}
	if s.valueAt == 0 || now-s.valueAt > b.habit.CreditTTL {
		return true
	}
	whole := math.Floor(s.value)
	if float64(s.out) < whole {
		return true
	}
	return float64(s.out) == whole && b.draw(p.ID, p.tries, drawAllow+i) < s.value-whole
}

// pick chooses among the willing.
func (b *Balancer) pick(p *pending) int {
	n := len(b.willing)
	least := func(of func(s *server) float64) int {
		start, best := int(b.draw(p.ID, p.tries, drawFirst)*float64(n)), -1
		for k := range n {
			if i := b.willing[(start+k)%n]; best < 0 || of(&b.servers[i]) < of(&b.servers[best]) {
				best = i
			}
		}
		return best
	}
	switch b.habit.Policy {
	case LeastRequests:
		return least(func(s *server) float64 { return float64(s.out) })
	case LeastReportedLoad:
		return least(func(s *server) float64 { return s.load })
	case LeastLatency:
		return least(func(s *server) float64 { return s.latency })
	case PowerOfTwoChoices:
		first := int(b.draw(p.ID, p.tries, drawFirst) * float64(n))
		second := first
		if n > 1 {
			second = (first + 1 + int(b.draw(p.ID, p.tries, drawSecond)*float64(n-1))) % n
		}
		if i, j := b.willing[first], b.willing[second]; b.servers[j].out < b.servers[i].out {
			return j
		}
		return b.willing[first]
	case WeightedRandom:
		sum := 0.0
		for _, i := range b.willing {
			sum += b.servers[i].weight
		}
		at := b.draw(p.ID, p.tries, drawWeight) * sum
		for _, i := range b.willing {
			if at -= b.servers[i].weight; at < 0 {
				return i
			}
		}
		return b.willing[n-1]
	case ConsistentHash:
		best := b.willing[0]
		for _, i := range b.willing[1:] {
			if score(p.Key, i) > score(p.Key, best) {
				best = i
			}
		}
		return best
	}
	best := b.willing[0]
	for _, i := range b.willing { // the first at or behind the hand
		if i >= b.next {
			best = i
			break
		}
	}
	b.next = (best + 1) % len(b.servers)
	return best
}
