package bulkhead

import (
	"cmp"
	"slices"
)

const (
	// A tenant or caller overuses the queue if more requests of it wait than its fair share, while
	// others wait too. Fair shares are parts of burstFactor times the number of requests that the pool
	// can run at once, or of minBurst if that is more, but not of more than the maximum queue length.
	burstFactor = 4
	minBurst    = 8
	// minTenantShare is the lower bound of the share of a tenant.
	minTenantShare = 0.01
)

// waitingQueue holds the waiting requests of one pool in the order in which they are granted slots:
// first by the overuse of their tenants and callers, then those that can keep their latency objectives
// before those that cannot, then by the earliest target.
type waitingQueue struct {
	order    []*Request
	byTenant map[int]int    // number of waiting requests by tenant
	byCaller map[uint32]int // number of waiting requests by caller
}

func (q *waitingQueue) length() int { return len(q.order) }

// compareRequests orders requests as they are granted slots.
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

// overuseOf returns the overuse of the queue by the tenant of a request or by its caller, whichever is
// larger: the number of their waiting requests divided by their fair share, rounded down. The queue is
// shared among those that have requests in it now: a tenant that is alone may have the whole queue.
// share is the configured share of the tenant; callers have equal shares. slots is how many requests
// the pool can run at once.
func (q *waitingQueue) overuseOf(r *Request, share float64, maxLength, slots int) int {
	if q.byTenant == nil {
		q.byTenant = map[int]int{}
		q.byCaller = map[uint32]int{}
	}
	fairShare := func(others int, share float64) float64 {
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
	ofTenant := float64(q.byTenant[r.Tenant]) / fairShare(otherTenants, max(share, minTenantShare))
	ofCaller := float64(q.byCaller[r.Caller]) / fairShare(otherCallers, 1/float64(otherCallers+1))
	return max(int(ofTenant), int(ofCaller))
}

// add inserts a request behind those of the same rank.
func (q *waitingQueue) add(r *Request) {
	i, _ := slices.BinarySearchFunc(q.order, r, compareRequests)
	for i < len(q.order) && compareRequests(q.order[i], r) == 0 {
		i++
	}
	q.order = slices.Insert(q.order, i, r)
	q.byTenant[r.Tenant]++
	q.byCaller[r.Caller]++
}

// remove removes a request, which must be in the queue.
func (q *waitingQueue) remove(r *Request) {
	i, _ := slices.BinarySearchFunc(q.order, r, compareRequests)
	for q.order[i] != r {
		i++
	}
	q.order = slices.Delete(q.order, i, i+1)
	decrement(q.byTenant, r.Tenant)
	decrement(q.byCaller, r.Caller)
}

// decrement decrements a count, and deletes its entry when it reaches 0.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// head returns the request that is granted a slot next, or nil if the queue is empty.
func (q *waitingQueue) head() *Request {
	if len(q.order) == 0 {
		return nil
	}
	return q.order[0]
}

// clear empties the queue, and returns the requests that were in it.
func (q *waitingQueue) clear() []*Request {
	requests := q.order
	*q = waitingQueue{}
	return requests
}
