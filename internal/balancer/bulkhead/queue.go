package bulkhead

import (
	"cmp"
	"slices"
)

const (
	// A tenant or caller may have in the queue what the pool can run at once, multiplied by
	// burstFactor, but at least minBurst, before that counts as overuse.
	burstFactor = 4
	minBurst    = 8
	// minTenantShare bounds the share of a tenant from below.
	minTenantShare = 0.01
)

// waitingQueue holds the waiting requests of one pool in the order in which they are granted: those
// of tenants and callers that keep to their parts of the queue first, of these the ones that can
// keep their latency objectives, and of these the one with the earliest target.
type waitingQueue struct {
	order    []*Request
	byTenant map[int]int // number of waiting requests
	byCaller map[uint32]int
}

func (q *waitingQueue) length() int { return len(q.order) }

func compareRequests(a, b *Request) int {
	switch {
	case a.overuse != b.overuse:
		return a.overuse - b.overuse
	case a.missesObjective && !b.missesObjective:
		return 1
	case b.missesObjective && !a.missesObjective:
		return -1
	}
	return cmp.Compare(a.target(), b.target())
}

// overuseOf returns how many times over their parts of the queue the tenant and the caller of a
// request are, the larger of both. Parts are of those that wait now: a tenant that is alone may
// have the whole queue. share is that of the tenant; callers have equal shares.
func (q *waitingQueue) overuseOf(r *Request, share float64, maxLength, slots int) int {
	if q.byTenant == nil {
		q.byTenant = map[int]int{}
		q.byCaller = map[uint32]int{}
	}
	part := func(others int, share float64) float64 {
		if others == 0 {
			return float64(maxLength)
		}
		return max(float64(min(maxLength, max(burstFactor*slots, minBurst)))*share, 1)
	}
	otherTenants := len(q.byTenant)
	if q.byTenant[r.Tenant] > 0 {
		otherTenants--
	}
	otherCallers := len(q.byCaller)
	if q.byCaller[r.Caller] > 0 {
		otherCallers--
	}
	ofTenant := float64(q.byTenant[r.Tenant]) / part(otherTenants, max(share, minTenantShare))
	ofCaller := float64(q.byCaller[r.Caller]) / part(otherCallers, 1/float64(otherCallers+1))
	return max(int(ofTenant), int(ofCaller))
}

// add inserts a request behind its equals.
func (q *waitingQueue) add(r *Request) {
	i, _ := slices.BinarySearchFunc(q.order, r, compareRequests)
	for i < len(q.order) && compareRequests(q.order[i], r) == 0 {
		i++
	}
	q.order = slices.Insert(q.order, i, r)
	q.byTenant[r.Tenant]++
	q.byCaller[r.Caller]++
}

func (q *waitingQueue) remove(r *Request) {
	i, _ := slices.BinarySearchFunc(q.order, r, compareRequests)
	for q.order[i] != r {
		i++
	}
	q.order = slices.Delete(q.order, i, i+1)
	decrement(q.byTenant, r.Tenant)
	decrement(q.byCaller, r.Caller)
}

// decrement lowers a count, and drops it when it is 0.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// head returns the request that is granted next; nil: the queue is empty.
func (q *waitingQueue) head() *Request {
	if len(q.order) == 0 {
		return nil
	}
	return q.order[0]
}

// clear empties the queue, and returns what was in it.
func (q *waitingQueue) clear() []*Request {
	requests := q.order
	*q = waitingQueue{}
	return requests
}
