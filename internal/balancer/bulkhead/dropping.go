package bulkhead

import "ryepaddle/internal/balancer/latency"

// drop drops a waiting request. wanted and available are the numbers that were compared; see Dropped.
func (s *Scheduler) drop(r *Request, reason DropReason, wanted, available float64) {
	r.pool.queue.remove(r)
	r.state = stateIdle
	switch reason {
	case TooLate:
		s.Counts.TooLate++
	case QueueFull:
		s.Counts.QueueFull++
	case Displaced:
		s.Counts.Displaced++
	}
	s.dropped = append(s.dropped, Dropped{Request: r, Reason: reason, Wanted: wanted, Available: available})
}

// valueRate returns the value of a request for each microsecond of slot time: its priority weight
// divided by the mean run time of its class.
func (s *Scheduler) valueRate(r *Request) float64 {
	class := &s.cfg.Classes[r.Class]
	weight := class.PriorityWeight
	if r.missesObjective {
		weight = class.LatePriorityWeight
	}
	return weight / max(s.classes[r.Class].meanMicros.Value, 1)
}

// isLessValuable reports whether a is to be dropped rather than b: its overuse is larger, or else its
// value rate is lower, or else its target is later.
func (s *Scheduler) isLessValuable(a, b *Request) bool {
	if a.overuse != b.overuse {
		return a.overuse > b.overuse
	}
	if valueA, valueB := s.valueRate(a), s.valueRate(b); valueA != valueB {
		return valueA < valueB
	}
	return a.target() > b.target()
}

// dropFromFullQueue drops one request from a queue that is too long: the least valuable one of the
// caller with the most waiting requests, of the tenant with the most waiting requests for its share.
// Tenants are compared by what they have in the queue now, and not by the overuse of their requests:
// that was determined when each request was added, and is 0 if no other tenant waited then.
func (s *Scheduler) dropFromFullQueue(p *pool) {
	worst := p.queue.order[0]
	for _, r := range p.queue.order[1:] {
		if s.isDroppedBefore(p, r, worst) {
			worst = r
		}
	}
	s.drop(worst, QueueFull, float64(p.queue.length()), float64(s.cfg.MaxQueueLength))
}

// isDroppedBefore reports whether a is to be dropped from a full queue rather than b.
func (s *Scheduler) isDroppedBefore(p *pool, a, b *Request) bool {
	if useA, useB := s.tenantUse(p, a.Tenant), s.tenantUse(p, b.Tenant); useA != useB {
		return useA > useB
	}
	if queuedA, queuedB := p.queue.byCaller[a.Caller], p.queue.byCaller[b.Caller]; queuedA != queuedB {
		return queuedA > queuedB
	}
	return s.isLessValuable(a, b)
}

// tenantUse returns the number of waiting requests of a tenant, divided by its share.
func (s *Scheduler) tenantUse(p *pool, tenant int) float64 {
	return float64(p.queue.byTenant[tenant]) / max(s.tenantShare(tenant), minTenantShare)
}

// dropLate walks a queue in its order, and drops requests until each one that remains would be in
// time, given the requests ahead of it: for a request that would be late, the least valuable one of
// those up to and including it is dropped (or demoted, see below). This is the rule of Moore and
// Hodgson for the fewest late jobs, with value per slot time in place of the length of a job. added
// is a request that was just added: the requests ahead of it are not checked again, as nothing has
// changed for them. With nil all requests are checked.
//
// A latency objective is known only if the caller says when the request was first made: a request that
// is dropped is made again, and would otherwise get a new objective. A request that would miss its
// objective is put behind those that can keep theirs, or dropped if a late result is worth nothing.
func (s *Scheduler) dropLate(p *pool, added *Request) {
	if p.queue.length() == 0 || added != nil && added.state != stateWaiting {
		return
	}
	slots := float64(s.expectedSlots(p))
	aheadMicros := 0.0 // slot time of the requests ahead
	checks := added == nil
	for i := 0; i < p.queue.length(); {
		r := p.queue.order[i]
		checks = checks || r == added
		mean := s.classes[r.Class].meanMicros.Value
		endMicros := (aheadMicros+mean)/slots + mean // mean/slots is the wait for the next free slot
		leftMicros := latency.Micros(r.target() - s.cfg.DeadlineMargin - s.now)
		if !checks || leftMicros > 0 && (mean == 0 || endMicros <= leftMicros) {
			aheadMicros += mean
			i++
			continue
		}
		worst := s.leastValuableUpTo(p, i, endMicros-leftMicros, slots)
		if worst != r {
			aheadMicros -= s.classes[worst.Class].meanMicros.Value
			i--
		}
		s.demoteOrDrop(p, worst, r, endMicros, leftMicros)
	}
}

// leastValuableUpTo returns the least valuable request up to a place in the queue, if the request at
// that place is late by lateMicros. A request ahead of it counts only if dropping it frees that time.
func (s *Scheduler) leastValuableUpTo(p *pool, place int, lateMicros, slots float64) *Request {
	worst := p.queue.order[place]
	for _, r := range p.queue.order[:place] {
		freesEnough := s.classes[r.Class].meanMicros.Value/slots >= lateMicros
		if freesEnough && s.isLessValuable(r, worst) {
			worst = r
		}
	}
	return worst
}

// demoteOrDrop puts a request with a latency objective behind those that can keep theirs, if a late
// result is worth something, and drops it otherwise. late is the request that would be late: r itself,
// or a request behind r in the queue.
func (s *Scheduler) demoteOrDrop(p *pool, r, late *Request, endMicros, leftMicros float64) {
	hasLateValue := s.cfg.Classes[r.Class].LatePriorityWeight > 0
	switch {
	case r.Objective > 0 && !r.missesObjective && hasLateValue:
		p.queue.remove(r)
		r.missesObjective = true
		p.queue.add(r)
	case r == late:
		s.drop(r, TooLate, endMicros, leftMicros)
	default:
		s.drop(r, Displaced, endMicros, leftMicros)
	}
}
