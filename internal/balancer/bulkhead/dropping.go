package bulkhead

import "ryepaddle/internal/balancer/latency"

// drop drops a waiting request. wanted and available are what was compared, see Dropped.
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

// valueRate returns what a slot earns with a request: priority weight over slot time.
func (s *Scheduler) valueRate(r *Request) float64 {
	class := &s.cfg.Classes[r.Class]
	weight := class.PriorityWeight
	if r.missesObjective {
		weight = class.LatePriorityWeight
	}
	return weight / max(s.classes[r.Class].meanMicros.Value, 1)
}

// isLessValuable reports whether a is to be dropped rather than b: its overuse is larger, or it
// earns less, or it has the later target.
func (s *Scheduler) isLessValuable(a, b *Request) bool {
	if a.overuse != b.overuse {
		return a.overuse > b.overuse
	}
	if valueA, valueB := s.valueRate(a), s.valueRate(b); valueA != valueB {
		return valueA < valueB
	}
	return a.target() > b.target()
}

// dropFromFullQueue drops one request of a queue that is too long: of the tenant that has most of
// it for its share, of the caller that has most of that, the least valuable. Requests are compared
// by what their tenants have now and not by their overuse, which was none while no others waited.
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

// tenantUse returns how many requests of a tenant wait, for its share.
func (s *Scheduler) tenantUse(p *pool, tenant int) float64 {
	return float64(p.queue.byTenant[tenant]) / max(s.tenantShare(tenant), minTenantShare)
}

// dropHopeless walks a queue in its order, and makes each request be in time by the requests ahead
// of it: where one is not, the least valuable of those up to it is dropped. This is the rule of
// Moore and Hodgson for the fewest late jobs, with value over slot time in place of length. The
// walk decides from a request that was just added, as nothing changes ahead of it; nil: from the
// first one.
//
// A latency objective counts only where the caller says when the request was first made: a request
// that is dropped is made again, and would get a new objective. A request that misses its objective
// goes behind those that can keep theirs, or is dropped if its late result is worth nothing.
func (s *Scheduler) dropHopeless(p *pool, added *Request) {
	if p.queue.length() == 0 || added != nil && added.state != stateWaiting {
		return
	}
	slots := float64(s.expectedSlots(p))
	aheadMicros := 0.0 // slot time of the requests ahead
	decides := added == nil
	for i := 0; i < p.queue.length(); {
		r := p.queue.order[i]
		decides = decides || r == added
		mean := s.classes[r.Class].meanMicros.Value
		endMicros := (aheadMicros+mean)/slots + mean // it also waits for the next slot
		leftMicros := latency.Micros(r.target() - s.cfg.DeadlineMargin - s.now)
		if !decides || leftMicros > 0 && (mean == 0 || endMicros <= leftMicros) {
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

// leastValuableUpTo returns the least valuable request of those up to a place in the queue, of which
// each one ahead must free enough: at least the time by which the request at that place is late.
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

// demoteOrDrop puts a request that would miss its latency objective behind those that can keep
// theirs, or drops it. It makes room for the request late, which may be the same one.
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
