package bulkhead

// A loan is a slot beyond its pool's floor. Running work cannot be stopped, so a floor that is not
// used is good for a loan only as far as it comes back within the call-back time: at each moment
// the slots that are free, with those that will be given back in that time, are no fewer than what
// is owed to pools below their floors. Runs end within the longest that their class had of late, so
// a run that began long enough ago counts as coming back. Time makes more of them count; only a
// loan, a floor that grows or a limit that falls can make less of it, and a loan is not made then.

// owed is what pools have not of their floors. What is owed to a reserve has to be free at all
// times, and is not in it.
func (s *Scheduler) owed() (n int) {
	for _, p := range s.pools {
		if !p.Reserve {
			n += max(s.floor(p)-p.running, 0)
		}
	}
	return n
}

// reserved is what reserves have not of their floors.
func (s *Scheduler) reserved() (n int) {
	for _, p := range s.pools {
		if p.Reserve {
			n += max(s.floor(p)-p.running, 0)
		}
	}
	return n
}

// mayLend tells whether a pool may have one more slot beyond its floor, with so many free beside
// the reserve.
func (s *Scheduler) mayLend(p *pool, free int) bool {
	if free < 1 {
		return false
	}
	back := 0
	for _, q := range s.pools {
		over, n := q.running-s.floor(q), s.returning(q)
		if q == p {
			over++
			if s.long(p.line.head()) <= s.cfg.ReclaimTime {
				n++
			}
		}
		back += min(max(over, 0), n)
	}
	for _, q := range s.left {
		back += s.returning(q)
	}
	return free-1+back >= s.owed()
}

// long is how long a run may take: the longest of its class of late. Of a class that nothing is
// known of a run may take for ever, but the first is a trial, or there would never be one.
func (s *Scheduler) long(r *Request) int64 {
	c := &s.classes[r.Class]
	switch {
	case c.mean.n > 0:
		return int64(c.long)
	case c.open == 0:
		return s.cfg.ReclaimTime
	}
	return 1 << 60
}

// returning is how many of a pool's runs will be over within the call-back time. They are in the
// order in which they began, and the boundary moves with time, so that a look costs what has
// changed since the last; all are counted anew where a class has come to take longer. Where classes
// of one pool differ, the first that may take longer ends the count: it may be too low, never too
// high.
func (s *Scheduler) returning(p *pool) int {
	if p.longer != s.longer {
		p.longer, p.soon, p.soonN = s.longer, p.first, 0
	}
	for p.soon != nil && p.soon.began+s.long(p.soon)-s.now <= s.cfg.ReclaimTime {
		p.soon = p.soon.after
		p.soonN++
	}
	return p.soonN
}

// link adds a run to its pool's, which are in the order in which they began.
func (p *pool) link(r *Request) {
	r.before, r.after = p.last, nil
	if p.last != nil {
		p.last.after = r
	} else {
		p.first = r
	}
	p.last = r
	if p.soon == nil {
		p.soon = r
	}
	p.running++
}

func (p *pool) unlink(r *Request) {
	early := p.soonN > 0 && p.isBeforeSoon(r)
	if p.soon == r {
		p.soon = r.after
	} else if early {
		p.soonN--
	}
	if r.before != nil {
		r.before.after = r.after
	} else {
		p.first = r.after
	}
	if r.after != nil {
		r.after.before = r.before
	} else {
		p.last = r.before
	}
	r.before, r.after = nil, nil
	p.running--
}

// isBeforeSoon tells whether a run is among those that were counted. Runs that began at one time
// are told apart by their places.
func (p *pool) isBeforeSoon(r *Request) bool {
	if p.soon == nil {
		return true
	}
	if r.began != p.soon.began {
		return r.began < p.soon.began
	}
	for x := p.soon.before; x != nil && x.began == r.began; x = x.before {
		if x == r {
			return true
		}
	}
	return false
}
