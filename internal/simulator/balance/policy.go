package balance

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// rendezvousScore returns the score of a server for a key in rendezvous hashing: the server with the highest
// score gets the key, so that few keys move when servers are added or removed.
func rendezvousScore(key uint64, server int) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	binary.LittleEndian.PutUint64(buf[8:], uint64(server))
	return xxhash.Sum64(buf[:])
}

// choose returns the server of the next attempt, or noServer. If no server is healthy, unhealthy ones are
// eligible.
func (b *Balancer) choose(p *pendingRequest) int {
	if i := p.sameServer; i >= 0 && b.servers[i].listed {
		return i
	}
	b.eligible = b.eligible[:0]
	for _, healthyOnly := range []bool{true, false} {
		for i := range b.servers {
			if !p.tried[i] && b.isAvailable(i, healthyOnly) && b.hasCapacity(i, p) {
				b.eligible = append(b.eligible, i)
			}
		}
		if len(b.eligible) > 0 || b.anyHealthy() {
			break
		}
	}
	if len(b.eligible) == 0 {
		return noServer
	}
	return b.pick(p)
}

// isAvailable reports whether server i is listed and in the subset. With healthyOnly, it must also be neither
// ejected nor failing its health checks.
func (b *Balancer) isAvailable(i int, healthyOnly bool) bool {
	s := &b.servers[i]
	if !s.listed || !s.inSubset {
		return false
	}
	return !healthyOnly || s.failedChecks < unhealthyAfterChecks && s.ejectedUntil <= b.clock.Now()
}

func (b *Balancer) anyHealthy() bool {
	for i := range b.servers {
		if b.isAvailable(i, true) {
			return true
		}
	}
	return false
}

// hasCapacity reports whether server i may get one more request by its advice, if the balancer follows
// advice. The fractional part of a credit is the probability of one more request.
func (b *Balancer) hasCapacity(i int, p *pendingRequest) bool {
	s := &b.servers[i]
	now := b.clock.Now()
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
	return float64(s.outstanding) == whole && b.draw(p.ID, p.attempts, drawCredit+i) < s.credit-whole
}

// pick applies the policy to the eligible servers.
func (b *Balancer) pick(p *pendingRequest) int {
	switch b.behavior.Policy {
	case LeastRequests:
		return b.pickLeast(p, func(s *server) float64 { return float64(s.outstanding) })
	case LeastReportedLoad:
		return b.pickLeast(p, func(s *server) float64 { return s.load })
	case LeastLatency:
		return b.pickLeast(p, func(s *server) float64 { return s.latency })
	case PowerOfTwoChoices:
		return b.pickOfTwo(p)
	case WeightedRandom:
		return b.pickWeighted(p)
	case ConsistentHash:
		return b.pickByKey(p)
	default:
		return b.pickNext()
	}
}

// pickLeast returns the eligible server with the lowest value. Ties go to the first one from a random start.
func (b *Balancer) pickLeast(p *pendingRequest, value func(s *server) float64) int {
	count := len(b.eligible)
	start := int(b.draw(p.ID, p.attempts, drawFirst) * float64(count))
	best := -1
	for k := range count {
		i := b.eligible[(start+k)%count]
		if best < 0 || value(&b.servers[i]) < value(&b.servers[best]) {
			best = i
		}
	}
	return best
}

// pickOfTwo returns the one of two random servers that has fewer outstanding requests.
func (b *Balancer) pickOfTwo(p *pendingRequest) int {
	count := len(b.eligible)
	first := int(b.draw(p.ID, p.attempts, drawFirst) * float64(count))
	second := first
	if count > 1 {
		second = (first + 1 + int(b.draw(p.ID, p.attempts, drawSecond)*float64(count-1))) % count
	}
	i := b.eligible[first]
	j := b.eligible[second]
	if b.servers[j].outstanding < b.servers[i].outstanding {
		return j
	}
	return i
}

// pickWeighted draws an eligible server with a probability proportional to its weight.
func (b *Balancer) pickWeighted(p *pendingRequest) int {
	sum := 0.0
	for _, i := range b.eligible {
		sum += b.servers[i].weight
	}
	at := b.draw(p.ID, p.attempts, drawWeight) * sum
	for _, i := range b.eligible {
		at -= b.servers[i].weight
		if at < 0 {
			return i
		}
	}
	return b.eligible[len(b.eligible)-1]
}

// pickByKey returns the eligible server with the highest score for the request's key.
func (b *Balancer) pickByKey(p *pendingRequest) int {
	best := b.eligible[0]
	for _, i := range b.eligible[1:] {
		if rendezvousScore(p.Key, i) > rendezvousScore(p.Key, best) {
			best = i
		}
	}
	return best
}

// pickNext returns the next eligible server in the order of the list.
func (b *Balancer) pickNext() int {
	best := b.eligible[0]
	for _, i := range b.eligible {
		if i >= b.nextServer {
			best = i
			break
		}
	}
	b.nextServer = (best + 1) % len(b.servers)
	return best
}
