package bulkhead

import (
	"cmp"
	"math"
	"slices"
)

// line is the requests of one pool that wait: by how far they are beyond a share, and of those
// alike the one that is due first. Where it is known when a request was asked for first, that is
// due at its aim; behind those come the ones that cannot be within theirs.
type line struct {
	order   []*Request
	n       int
	tenants map[int]int // that wait, by tenant
	callers map[uint32]int
}

func before(a, b *Request) int {
	switch {
	case a.rank != b.rank:
		return a.rank - b.rank
	case a.late && !b.late:
		return 1
	case b.late && !a.late:
		return -1
	}
	return cmp.Compare(a.until(), b.until())
}

// until is the time up to which a request is worth what it stands in line for.
func (r *Request) until() int64 {
	if r.Objective == 0 || r.late {
		return r.Deadline
	}
	return min(r.Objective, r.Deadline)
}

// rank is how many times over their parts of the line the request's tenant and its caller are, the
// larger of both. Parts are of those that wait now: who is alone is beyond nothing. The share is
// that of the tenant; callers are alike.
func (l *line) rank(r *Request, share float64, p *pool, room, slots int) int {
	if l.tenants == nil {
		l.tenants, l.callers = map[int]int{}, map[uint32]int{}
	}
	// What a burst may take without giving way: what the pool can run at once, up to its part of
	// the line.
	part := func(others int, share float64) float64 {
		if others == 0 {
			return float64(room)
		}
		return max(float64(min(room, max(4*slots, 8)))*share, 1)
	}
	others := len(l.tenants)
	if l.tenants[r.Tenant] > 0 {
		others--
	}
	rank := int(float64(l.tenants[r.Tenant]) / part(others, max(share, 0.01)))
	others = len(l.callers)
	if l.callers[r.Caller] > 0 {
		others--
	}
	return max(rank, int(float64(l.callers[r.Caller])/part(others, 1/float64(others+1))))
}

func (l *line) add(r *Request) {
	i, _ := slices.BinarySearchFunc(l.order, r, before)
	for i < len(l.order) && before(l.order[i], r) == 0 { // behind its equals
		i++
	}
	l.order = slices.Insert(l.order, i, r)
	l.n++
	l.tenants[r.Tenant]++
	l.callers[r.Caller]++
}

func (l *line) remove(r *Request) {
	i, _ := slices.BinarySearchFunc(l.order, r, before)
	for l.order[i] != r {
		i++
	}
	l.order = slices.Delete(l.order, i, i+1)
	l.n--
	if l.tenants[r.Tenant]--; l.tenants[r.Tenant] == 0 {
		delete(l.tenants, r.Tenant)
	}
	if l.callers[r.Caller]--; l.callers[r.Caller] == 0 {
		delete(l.callers, r.Caller)
	}
}

func (l *line) head() *Request {
	if l.n == 0 {
		return nil
	}
	return l.order[0]
}

// clear empties the line, and gives what was in it.
func (l *line) clear() []*Request {
	out := l.order
	*l = line{}
	return out
}

func (s *Scheduler) drop(r *Request, why DropReason, value, limit float64) {
	r.pool.line.remove(r)
	r.state = idle
	switch why {
	case TooLate:
		s.Counts.TooLate++
	case QueueFull:
		s.Counts.QueueFull++
	case Displaced:
		s.Counts.Displaced++
	}
	s.dropped = append(s.dropped, Dropped{r, why, value, limit})
}

// value is what a slot earns with a request: worth over time.
func (s *Scheduler) value(r *Request) float64 {
	c := &s.cfg.Classes[r.Class]
	worth := c.PriorityWeight
	if r.late {
		worth = c.LatePriorityWeight
	}
	return worth / max(s.classes[r.Class].mean.v, 1)
}

// worse tells whether a is to give way rather than b: it is further beyond a share, or earns less,
// or is due later.
func (s *Scheduler) worse(a, b *Request) bool {
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	if va, vb := s.value(a), s.value(b); va != vb {
		return va < vb
	}
	return a.until() > b.until()
}

// giveWay drops one of a line that is too long: of the tenant that has most of it beside its share,
// of the caller that has most of that tenant's, the worst. What they had was no more than their
// part while nobody else wanted any, so ranks do not tell.
func (s *Scheduler) giveWay(p *pool) {
	over := func(r *Request) float64 { return float64(p.line.tenants[r.Tenant]) / max(s.share(r.Tenant), 0.01) }
	worst := p.line.order[0]
	for _, r := range p.line.order[1:] {
		a, b := over(r), over(worst)
		ca, cb := p.line.callers[r.Caller], p.line.callers[worst.Caller]
		if a > b || a == b && (ca > cb || ca == cb && s.worse(r, worst)) {
			worst = r
		}
	}
	s.drop(worst, QueueFull, float64(p.line.n), float64(s.cfg.MaxQueueLength))
}

// prune walks a line in its order, and has each request be in time by what stands before it: where
// one is not, the worst of those up to it gives way (Moore's rule for the fewest late jobs, with
// worth over time in place of length). Beginning with one that was offered, as nothing changes
// before it; nil: with all.
//
// An aim is gone by only where it is known when the request was asked for first. One that is given
// up comes back as another, which would have a new aim else: to give up what would miss its aim
// served those that came back, late, in place of new ones. Who misses an aim goes behind those that
// can keep theirs, or is given up if it would be worth nothing then.
func (s *Scheduler) prune(p *pool, offered *Request) {
	if p.line.n == 0 || offered != nil && offered.state != waiting {
		return
	}
	slots := float64(s.slots(p))
	ahead := 0.0 // microseconds of slots that are wanted before the next
	from := offered == nil
	for i := 0; i < p.line.n; {
		r := p.line.order[i]
		from = from || r == offered
		mean := s.classes[r.Class].mean.v
		// The first in line waits for the slot that comes next, the others for those before them as
		// well.
		end := (ahead+mean)/slots + mean
		left := float64(r.until() - s.cfg.DeadlineMargin - s.now)
		if !from || left > 0 && (mean == 0 || end <= left) {
			ahead += mean
			i++
			continue
		}
		worst := r
		for _, x := range p.line.order[:i] {
			// It has to make room for what is late, not just be worth less.
			if s.worse(x, worst) && s.classes[x.Class].mean.v/slots >= end-left {
				worst = x
			}
		}
		if worst != r {
			ahead -= s.classes[worst.Class].mean.v
			i--
		}
		switch {
		case worst.Objective > 0 && !worst.late && s.cfg.Classes[worst.Class].LatePriorityWeight > 0:
			p.line.remove(worst)
			worst.late = true
			p.line.add(worst)
		case worst == r:
			s.drop(r, TooLate, end, left)
		default:
			s.drop(worst, Displaced, end, left)
		}
	}
}

// slots is how many a pool can count on while it has something to do.
func (s *Scheduler) slots(p *pool) int {
	weights := 0.0
	for _, q := range s.pools {
		if q == p || q.line.n > 0 || q.running > s.floor(q) {
			weights += q.Weight
		}
	}
	part := 0
	if weights > 0 {
		part = int(s.adapt.now() * p.Weight / weights)
	}
	return max(min(max(p.running, s.floor(p), part), s.ceiling(p)), 1)
}

// average follows a mean that changes: of few values it is theirs, of many that of the last ones.
type average struct {
	v float64
	n int
}

func (a *average) add(v float64) {
	a.n = min(a.n+1, 64)
	a.v += (v - a.v) / float64(a.n)
}

// spread keeps a sum, to tell how uncertain a mean is.
type spread struct {
	n      int
	sum    float64
	square float64
}

func (s *spread) add(v float64) {
	s.n++
	s.sum += v
	s.square += v * v
}

// mean is that of the values, and its standard error.
func (s *spread) mean() (mean, noise float64) {
	if s.n == 0 {
		return 0, 0
	}
	n := float64(s.n)
	mean = s.sum / n
	return mean, math.Sqrt(max(s.square/n-mean*mean, 0) / n)
}
