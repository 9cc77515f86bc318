package bulkhead

import "time"

// pool is a configured pool with its queue and its running requests.
type pool struct {
	Pool
	queue       waitingQueue
	first, last *Request // list of the running requests, in the order of their start
	running     int
	pass        float64       // pass value of the stride scheduling: slot time in microseconds, divided by the weight
	grantedAt   time.Duration // monotonic; when it last got a slot

	// The count of the runs that will have ended within the reclaim time; see returningRuns.
	firstLate             *Request // the first run that may take longer; nil: no run does
	returning             int      // runs before firstLate
	longestChangesAtCount int      // value of Scheduler.longestChanges when they were last counted in full
}

// charge adds slot time, in microseconds, to the pass value of the pool. Slots are shared by the time
// for which they are held: shared by number, long requests would get more than short ones.
func (p *pool) charge(micros float64) {
	if p.Weight > 0 {
		p.pass += micros / p.Weight
	}
}

// addRun appends a request to the list of the running requests.
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

// removeRun removes a request from the list of the running requests.
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

// isBeforeFirstLate reports whether a run is before firstLate in the list, and so counts as returning.
// Runs that started at the same time are told apart by their places in the list.
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
