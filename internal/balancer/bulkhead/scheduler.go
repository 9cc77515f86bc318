// Package pools decides which of the requests that the decision module has started get a server's
// slot now, and which wait for one. It is free of I/O: requests and their ends are told to it, and
// it tells what is granted and what is given up.
//
// A Set shares the slots of one group of servers among pools. How many slots there are it finds
// itself (adapt.go). A pool has a floor that is its own, a ceiling, and a weight by which what is
// left is shared. A floor that its pool does not need is lent; what is lent comes back within the
// call-back time, which bounds loans to long work (loan.go). A reserve is a floor that is never
// lent, so that the cheapest calls need not even wait for that. In a pool those go first that keep
// to their share, and of them the one that is due first (line.go); what cannot be in time any more
// is given up at once.
package bulkhead

import "math"

// Request is one that waits or runs. Its owner fills in the first part, and keeps it until it is
// granted and done, or given up.
type Request struct {
	Class         int
	Tenant        int
	Caller        uint32
	Deadline      int64 // monotonic time at which its answer is worth nothing
	Objective     int64 // and after which it is worth less; 0: nobody knows
	Attachment    any   // whoever has it made
	MayUseReserve bool  // it may have a slot of the reserve if it would come too late otherwise

	pool    *pool
	state   state
	late    bool    // it cannot be within its aim any more
	rank    int     // how far its tenant or its caller was beyond a share
	began   int64   // when it was granted
	charged float64 // microseconds that its pool was charged with then

	before, after *Request // in its pool's list of those that run
}

type state uint8

const (
	idle state = iota
	waiting
	granted
)

// DropReason is why a request was given up.
type DropReason uint8

// The reasons.
const (
	TooLate   DropReason = iota + 1 // it would have come too late, by what stands before it
	QueueFull                       // the line was full, and it was the one to give way
	Displaced                       // another one could be in time only without it
)

func (r DropReason) String() string {
	return [...]string{"", "too late by what stands before it", "the line is full", "gave way"}[r]
}

// Dropped is a request that is given up, without having had a slot.
type Dropped struct {
	*Request
	Reason    DropReason
	Wanted    float64 // microseconds that were wanted, or requests in line,
	Available float64 // and those that there were
}

// Granted tells whether it has a slot.
func (r *Request) Granted() bool { return r.state == granted }

// Scheduler is the pools of one group of servers.
type Scheduler struct {
	cfg     Config
	pools   []*pool // as they are set
	left    []*pool // taken away by a change, with something that runs yet
	classes []class
	adapt   adapt
	running int
	floors  int // pools that have one
	longer  int // how often a class has come to take longer
	now     int64

	granted []*Request
	dropped []Dropped
	Counts  Counts
}

// Counts are those since the start.
type Counts struct {
	Granted, Completed, TooLate, QueueFull, Displaced int
	Borrowed                                          int // grants beyond a floor
	// grants of the reserve's slots to keyed requests in need
	ReserveGrants int
}

// class is what was learned of a class.
type class struct {
	mean average // of runs, in microseconds
	open int     // that run
	long float64 // the longest of late
}

// pool is one of them with all that it has.
type pool struct {
	Pool
	first, last *Request // that run, in the order in which they were granted
	running     int
	// the first of those that will not be over within the call-back time; nil: all will be
	soon   *Request
	soonN  int // those before it
	longer int // of the set, when they were counted
	line   line
	pass   float64 // of the sharing by weight
	at     int64   // when it was granted something last
}

// New makes a set. The configuration was checked.
func New(cfg Config, now int64) *Scheduler {
	s := &Scheduler{now: now}
	s.adapt.limit = cfg.InitialLimit
	s.Configure(cfg, now)
	return s
}

// Configure changes a set under load. Pools go by their names, classes and tenants by their places.
// What runs goes on, and what waits goes to the pool that its class has now.
func (s *Scheduler) Configure(cfg Config, now int64) {
	s.now = now
	var moved []*Request
	was := append(s.pools, s.left...)
	s.pools, s.left = nil, nil
	for _, p := range cfg.Pools {
		next := &pool{Pool: p}
		for i, old := range was {
			if old.Name == p.Name {
				old.Pool, next = p, old
				was = append(was[:i:i], was[i+1:]...)
				break
			}
		}
		s.pools = append(s.pools, next)
	}
	for _, p := range was {
		if p.running > 0 {
			s.left = append(s.left, p)
		}
	}
	for _, p := range append(s.pools, was...) {
		moved = append(moved, p.line.clear()...)
	}
	s.cfg, s.floors = cfg, 0
	for _, p := range cfg.Pools {
		if p.Floor > 0 {
			s.floors++
		}
	}
	s.adapt.configure(&s.cfg)
	for len(s.classes) < len(cfg.Classes) {
		s.classes = append(s.classes, class{})
	}
	for _, r := range moved {
		r.state = idle
		s.Enqueue(r, now)
	}
	s.grant()
}

// Available is how many slots there are now.
func (s *Scheduler) Limit() int { return int(s.adapt.now()) }

// Running is how many are taken.
func (s *Scheduler) Running() int { return s.running }

// Waiting is how many requests wait.
func (s *Scheduler) Waiting() (n int) {
	for _, p := range s.pools {
		n += p.line.n
	}
	return n
}

// TakeDecisions hands over what was granted and given up since it was called last.
func (s *Scheduler) TakeDecisions() (granted []*Request, dropped []Dropped) {
	granted, dropped = s.granted, s.dropped
	s.granted, s.dropped = nil, nil
	return granted, dropped
}

// Enqueue has a request wait for a slot, unless it cannot be in time.
func (s *Scheduler) Enqueue(r *Request, now int64) {
	s.now = now
	p := s.of(r)
	r.pool, r.state, r.late, r.before, r.after = p, waiting, false, nil, nil
	r.rank = p.line.rank(r, s.share(r.Tenant), p, s.cfg.MaxQueueLength, s.ceiling(p))
	p.line.add(r)
	if p.line.n > s.cfg.MaxQueueLength {
		s.giveWay(p)
	}
	s.grant()
	s.prune(p, r)
}

func (s *Scheduler) of(r *Request) *pool {
	for _, p := range s.pools {
		if p.takes(r.Class, r.Tenant, int64(r.Caller)) {
			return p
		}
	}
	return s.pools[len(s.pools)-1] // the check has refused settings that lead here
}

// Cancel takes back a request that waits: nobody wants it any more. One that runs is not affected;
// the report tells which.
func (s *Scheduler) Cancel(r *Request, now int64) bool {
	s.now = now
	if r.state != waiting {
		return false
	}
	r.pool.line.remove(r)
	r.state = idle
	return true
}

// Outcome is what the end of a run tells of the servers.
type Outcome uint8

// The outcomes.
const (
	Success      Outcome = iota // its time tells how long work takes
	Failure                     // it may have been too much
	Inconclusive                // nothing
)

// Completed gives the slot of a request back.
func (s *Scheduler) Done(r *Request, o Outcome, now int64) {
	if r.state != granted {
		return
	}
	s.now = now
	took := max(now-r.began, 1)
	s.Counts.Completed++
	r.pool.unlink(r)
	r.pool.charge(float64(took) - r.charged)
	r.state = idle
	s.running--
	c := &s.classes[r.Class]
	c.open--
	if o == Success {
		c.mean.add(float64(took))
		// The longest of late is forgotten slowly: one long run in some hundreds says what the next
		// may be like.
		if c.long -= (c.long - c.mean.v) / 256; float64(took) > c.long {
			c.long = float64(took)
			s.longer++
		}
	}
	if o != Inconclusive {
		s.adapt.done(&s.cfg, r.Class, took, o == Success, now)
	}
	if r.pool.running == 0 {
		for i, p := range s.left {
			if p == r.pool {
				s.left = append(s.left[:i], s.left[i+1:]...)
				break
			}
		}
	}
	s.grant()
}

// Tick gives up what has become hopeless, and grants what time alone has made possible. It is to
// come each 10 to 100 ms.
func (s *Scheduler) Tick(now int64) {
	s.now = now
	s.adapt.look(&s.cfg, now)
	for _, p := range s.pools {
		s.prune(p, nil)
	}
	s.grant()
}

// RetryAfter is how long a request of a class has to stay away until there may be a slot for it: those
// that wait in its pool go first.
func (s *Scheduler) RetryAfter(class, tenant int) int64 {
	p := s.of(&Request{Class: class, Tenant: tenant})
	return int64(float64(p.line.n+1) * s.classes[class].mean.v / float64(s.slots(p)))
}

// PoolStatus is how a pool stands.
type PoolStatus struct {
	Name    string `json:"pool"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Floor   int    `json:"floor"`
	Ceiling int    `json:"ceiling"`
}

// PoolStatuses are the pools as they stand.
func (s *Scheduler) PoolStatuses() (out []PoolStatus) {
	for _, p := range s.pools {
		out = append(out, PoolStatus{p.Name, p.running, p.line.n, s.floor(p), s.ceiling(p)})
	}
	return out
}

// MaxLimit bounds the limit by what the servers can take together.
// Nought: nobody knows.
func (s *Scheduler) SetCapacity(n int) { s.adapt.cap = float64(n) }

// share is that of a tenant. Requests of nobody have the least.
func (s *Scheduler) share(tenant int) float64 {
	if tenant >= 0 && tenant < len(s.cfg.Tenants) {
		return s.cfg.Tenants[tenant]
	}
	return 0
}

// floor and ceiling are in slots. With fewer slots than pools that have a floor a small share is
// none: else what is owed to those that want nothing, and a reserve above all, would keep the
// others out for good.
func (s *Scheduler) floor(p *pool) int {
	n := int(p.Floor * s.adapt.now())
	if n == 0 && p.Floor > 0 && s.Limit() > s.floors {
		return 1
	}
	return n
}

func (s *Scheduler) ceiling(p *pool) int { return max(int(p.Ceiling*s.adapt.now()), 1) }

// grant gives slots to those that wait as long as any can have one.
func (s *Scheduler) grant() {
	for {
		p, lent := s.next()
		if p == nil {
			return
		}
		s.give(p, p.line.head(), lent)
	}
}

func (s *Scheduler) give(p *pool, r *Request, lent bool) {
	p.line.remove(r)
	// Slots are shared by the time for which they are taken: by their number long work would have
	// more of them than short.
	r.charged = max(s.classes[r.Class].mean.v, 1)
	p.charge(r.charged)
	r.state, r.began = granted, s.now
	p.link(r)
	p.at = s.now
	s.running++
	s.classes[r.Class].open++
	s.adapt.sent(s.running)
	s.Counts.Granted++
	if lent {
		s.Counts.Borrowed++
	}
	s.granted = append(s.granted, r)
}

// charge is for slots taken for so many microseconds.
func (p *pool) charge(us float64) {
	if p.Weight > 0 {
		p.pass += us / p.Weight
	}
}

// next is the pool that gets the next slot: one below its floor that has waited longest, or the one
// whose turn it is by weight.
func (s *Scheduler) next() (best *pool, lent bool) {
	if s.running >= s.Limit() {
		return nil, false
	}
	free := s.Limit() - s.running - s.reserved()
	for _, p := range s.pools {
		below := p.line.n > 0 && p.running < min(s.floor(p), s.ceiling(p))
		if below && (p.Reserve || free > 0) && (best == nil || p.at < best.at) {
			best = p
		}
	}
	if best != nil {
		return best, false
	}
	least := math.Inf(1)
	for _, p := range s.pools {
		if p.line.n > 0 {
			least = min(least, p.pass)
		}
	}
	for _, p := range s.pools {
		if p.line.n == 0 {
			// who comes back has no claim from the time when it wanted nothing
			p.pass = max(p.pass, least)
			if math.IsInf(least, 1) {
				p.pass = 0
			}
			continue
		}
		if p.running >= s.ceiling(p) || !s.mayLend(p, free) {
			continue
		}
		if best == nil || best.Weight == 0 && p.Weight > 0 ||
			(best.Weight > 0) == (p.Weight > 0) && p.pass < best.pass {
			best = p
		}
	}
	if best != nil {
		return best, true
	}
	return s.inNeed(), false
}

// inNeed is a pool whose first request would be too late if it waited for the next slot, and may
// have one of the reserve: nobody waits for that, one of its slots stays, and what is owed to
// others is not touched.
func (s *Scheduler) inNeed() *pool {
	for _, q := range s.pools {
		if !q.Reserve || q.line.n > 0 || s.Limit()-s.running-s.owed() < 2 {
			continue
		}
		for _, p := range s.pools {
			if r := p.line.head(); r != nil && r.MayUseReserve && !p.Reserve && p.running < s.ceiling(p) &&
				r.until()-s.cfg.DeadlineMargin-int64(s.classes[r.Class].long) <= s.now+s.untilFree() {
				s.Counts.ReserveGrants++
				return p
			}
		}
	}
	return nil
}

// untilFree is how long the next slot may take to come free: a slot comes in the mean time of a run
// over those that run.
func (s *Scheduler) untilFree() int64 {
	sum, n := 0.0, 0
	for _, p := range s.pools {
		for r := p.first; r != nil && n < 64; r = r.after {
			sum += s.classes[r.Class].mean.v
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return int64(sum / float64(n) / float64(max(s.running, 1)))
}
