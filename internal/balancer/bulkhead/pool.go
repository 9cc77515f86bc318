package bulkhead

import "time"

// pool is a pool with its queue and its running requests.
type pool struct {
	Pool
	queue       waitingQueue
	first, last *Request // running ones, in the order of their start
	running     int
	pass        float64       // of the stride scheduling by weight: microseconds over weight
	grantedAt   time.Duration // monotonic; when it last got a slot

	// Of the count of the runs that will have ended within the reclaim time; see returningRuns.
	firstLate      *Request // the first run that may take longer; nil: none does
	returning      int      // runs before firstLate
	countedLongest int      // value of Scheduler.longestChanges at which they were counted
}

// charge accounts slot time (microseconds) to the pool: slots are shared by the time for which they
// are taken, as by their number long work would get more than short work.
func (p *pool) charge(micros float64) {
	if p.Weight > 0 {
		p.pass += micros / p.Weight
	}
}

// addRun appends a request to the running ones.
func (p *pool) addRun(r *Request) {
	r.previous = p.last
	r.next = nil
	if p.last != nil {
		p.last.next = r
	} else {
		p.first = r
	}
	p.last = r
	if p.firstLate == nil {
		p.firstLate = r
	}
	p.running++
}

func (p *pool) removeRun(r *Request) {
	isReturning := p.returning > 0 && p.isBeforeFirstLate(r)
	if p.firstLate == r {
		p.firstLate = r.next
	} else if isReturning {
		p.returning--
	}
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		p.first = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		p.last = r.previous
	}
	r.previous = nil
	r.next = nil
	p.running--
}

// isBeforeFirstLate reports whether a run is among those that count as returning. Runs that started
// at the same time are distinguished by their places in the list.
func (p *pool) isBeforeFirstLate(r *Request) bool {
	if p.firstLate == nil {
		return true
	}
	if r.startedAt != p.firstLate.startedAt {
		return r.startedAt < p.firstLate.startedAt
	}
	for run := p.firstLate.previous; run != nil && run.startedAt == r.startedAt; run = run.previous {
		if run == r {
			return true
		}
	}
	return false
}
