// Package route decides to which server a request goes, and whether it goes to another after that.
// It is free of I/O: it is told of lists, ends of requests and time.
//
// Servers stand in halls, the nearest first. A request goes to the best of a small hall, or the
// best of a few that are drawn from a large one by weight and part: by what they have to do, how
// fast they are and how much of it goes well. A hall that is full, or that has lost much of itself,
// passes requests on to the next. What is full is told by limits that follow what each server gets
// done; where all are, the least loaded one takes the request all the same, for what is let in is
// decided elsewhere.
//
// Times are microseconds, monotonic and above nought. A router is used by one goroutine.
package picker

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/balancer/slowstart"
)

// Config is how a router decides.
type Config struct {
	Health           endpointhealth.Config
	ConcurrencyLimit concurrencylimit.Config
	Retry            retry.Config
	SlowStart        slowstart.Config
	Zones            []string // by nearness; others follow by name
	SubsetSize       int      // servers of each hall that this instance uses; 0: all
	KeyAffinity      bool     // a key goes to one server, whichever instance it comes through
	MaxRequests      int      // requests at one server, whatever it is good for
	Overprovisioning float64  // a hall passes requests on once less than 1/Spare of it stands
}

// DefaultConfig is what is usual, with so many requests at one server at the most.
func DefaultConfig(mostOpen int) Config {
	return Config{
		Health:           endpointhealth.DefaultConfig(),
		ConcurrencyLimit: concurrencylimit.DefaultConfig(mostOpen),
		Retry:            retry.DefaultConfig(),
		SlowStart:        slowstart.DefaultConfig(),
		MaxRequests:      mostOpen,
		Overprovisioning: 1.4,
	}
}

// Server is a member with what routing knows of it.
type Server struct {
	*endpointhealth.Endpoint
	Attachment any // for whoever keeps its connections
	limit      concurrencylimit.Limit
	pacer      slowstart.Pacer // while it warms up or is probed
	hall       *hall
	r          *Picker
	share      float64 // its weight by the mean one
}

// Limit is how many requests at once it is good for.
func (s *Server) Limit() int { return s.limit.Current() }

// Attempts tells of the tries that a request has had.
type Attempts interface{ Tried(server string) bool }

// Query is a request that is to be sent.
type Query struct {
	Key        string   // of a keyed one; empty: none
	Idempotent bool     // it may be sent again
	Retry      bool     // it has been sent before
	Attempts   Attempts // where; nil: nowhere
	Now        int64
}

func (q *Query) tried(s *Server) bool { return q.Attempts != nil && q.Attempts.Tried(s.Name) }

// PickReason is how a server was chosen.
type PickReason uint8

// The ways.
const (
	Nearest    PickReason = iota + 1 // the better of two in the nearest hall
	Overflow                         // the same in another, as those before it are full or gone
	Probe                            // to see whether a server is back
	Affinity                         // it has the request's key
	Overloaded                       // all are full, and it is the least so
	LastResort                       // nobody gets a part, and it may work all the same
	NoEndpoint                       // there is no server that could take it
)

var whys = [...]string{
	Nearest:    "near",
	Overflow:   "overflow",
	Probe:      "probe",
	Affinity:   "home of its key",
	Overloaded: "all full",
	LastResort: "last resort",
	NoEndpoint: "nobody",
}

func (w PickReason) String() string { return whys[w] }

// PickReasons are all of them.
var PickReasons = []PickReason{Nearest, Overflow, Probe, Affinity, Overloaded, LastResort, NoEndpoint}

// Picker is the routing of a group of servers.
type Picker struct {
	cfg         Config
	self        string
	table       *endpointhealth.Monitor
	budget      *retry.Budget
	rand        *rand.Rand
	halls       []*hall
	all         []*Server
	ring        *ring
	changed     func(*Server, endpointhealth.StateChange)
	MeanLatency float64   // of all answers, as a moving mean, in microseconds; 0: none yet
	means       []float64 // the same by class
	classes     []usual
	unit        float64 // latency of a request like any other, as the first one had it
	usual       float64 // what such ones take of late
	PickCounts  [NoEndpoint + 1]uint64
}

// New makes a router without servers, for an instance of that name and so many classes. changed
// hears of each change of a server's state.
func New(
	cfg Config,
	self string,
	classes int,
	seed uint64,
	changed func(*Server, endpointhealth.StateChange),
) *Picker {
	r := &Picker{
		cfg:     cfg,
		self:    self,
		budget:  retry.New(cfg.Retry, classes),
		means:   make([]float64, classes),
		classes: make([]usual, classes),
		rand:    rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		ring:    &ring{},
		changed: changed,
	}
	r.table = endpointhealth.New(cfg.Health, r.memberChanged)
	return r
}

func (r *Picker) memberChanged(m *endpointhealth.Endpoint, c endpointhealth.StateChange) {
	s, _ := m.Attachment.(*Server)
	if s == nil {
		s = &Server{Endpoint: m, limit: concurrencylimit.New(&r.cfg.ConcurrencyLimit), r: r}
		m.Attachment = s
	}
	if c.To == endpointhealth.Ejected || c.To == endpointhealth.WarmingUp && c.From != endpointhealth.Probing {
		s.pacer.Reset(r.rand.Float64(), r.rand.Float64(), c.At)
	}
	if s.hall != nil {
		s.hall.stale = true
	}
	r.changed(s, c)
}

// Configure takes another way to decide. What was learned stays.
func (r *Picker) Configure(cfg Config, classes int) {
	r.cfg = cfg
	r.table.Configure(cfg.Health)
	r.budget.Configure(cfg.Retry, classes)
	r.means = append(r.means, make([]float64, max(classes-len(r.means), 0))...)
	r.classes = append(r.classes, make([]usual, max(classes-len(r.classes), 0))...)
}

// UpdateEndpoints takes a new list. Of each hall those are used that fall to this instance. Servers that stay
// keep what is known of them, those that go finish what they have.
func (r *Picker) UpdateEndpoints(list []endpointhealth.EndpointSpec, now int64) {
	byHall := map[string][]endpointhealth.EndpointSpec{}
	for _, l := range list {
		byHall[l.Zone] = append(byHall[l.Zone], l)
	}
	names := make([]string, 0, len(byHall))
	for name := range byHall {
		names = append(names, name)
	}
	slices.Sort(names)
	rank := func(name string) int {
		if i := slices.Index(r.cfg.Zones, name); i >= 0 {
			return i
		}
		return len(r.cfg.Zones)
	}
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
	var used []endpointhealth.EndpointSpec
	for _, name := range names {
		used = append(used, subset(r.self, byHall[name], r.cfg.SubsetSize)...)
	}
	if r.cfg.KeyAffinity { // a key has its server whichever instance it comes through
		used = list
	}
	roster := r.table.Update(used, now)
	r.halls, r.all = nil, nil
	places := map[string]*hall{}
	for _, name := range names {
		places[name] = &hall{name: name}
		r.halls = append(r.halls, places[name])
	}
	weights := 0
	for _, m := range roster.Endpoints {
		weights += m.Weight
	}
	for _, m := range roster.Endpoints {
		s := m.Attachment.(*Server)
		s.share = float64(m.Weight*len(roster.Endpoints)) / float64(weights)
		s.limit.ApplyBounds(&r.cfg.ConcurrencyLimit)
		s.hall = places[m.Zone]
		s.hall.servers = append(s.hall.servers, s)
		s.hall.open += s.ActiveRequests
		r.all = append(r.all, s)
	}
	for _, m := range r.table.DrainingEndpoints() {
		m.Attachment.(*Server).hall = nil // what it has open is no hall's any more
	}
	if r.ring = (&ring{}); r.cfg.KeyAffinity && len(r.all) > 0 {
		r.ring = newRing(r.all)
	}
}

// Servers are those in use, by name.
func (r *Picker) Servers() []*Server { return r.all }

// Size is how many servers are in use.
func (r *Picker) Size() int { return len(r.all) }

// Health is what is known of the servers.
func (r *Picker) Health() *endpointhealth.Monitor { return r.table }

// RetryBudget is that of the retries.
func (r *Picker) RetryBudget() *retry.Budget { return r.budget }

// even is how far above the mean latency a server is like any other: what differs by less is
// chance, and would draw all of a light load to one.
const even = 1.25

// cost is how bad a server is for a request: how slow it is and how often it fails, and what it has
// to do for its weight and part. Where nobody has anything to do, weights and parts do not count:
// servers are drawn by them already.
func (s *Server) cost(q *Query) float64 {
	latency, well := max(even*s.r.usual, 1), 1.0
	if q.Now-s.LastOutcomeAt <= endpointhealth.MeasurementLifetime {
		// A server that fails fast would look like the best of all.
		latency, well = max(latency, s.MeanLatency), max(s.SuccessRate, 0.05)
	}
	return latency / (well * well) * (1 + float64(s.ActiveRequests)/(s.share*s.r.table.TrafficShare(s.Endpoint, q.Now)))
}

// roomy tells whether a server may be chosen, and has room by its limit.
func roomy(s *Server, q *Query) bool { return takes(s, q) && s.ActiveRequests < s.limit.Current() }

// takes tells whether a server may be chosen at all. One that is paced is chosen in another way.
func takes(s *Server, q *Query) bool { return able(s, q) && !s.paced() && s.withinCalls(q.Now) }

// able tells whether a server gets a part and could take the request.
func able(s *Server, q *Query) bool {
	return s.ActiveRequests < s.r.cfg.MaxRequests && s.r.table.TrafficShare(s.Endpoint, q.Now) > 0 && !q.tried(s)
}

// Pick chooses a server. Nil, for Nobody: there is none that could take the request. Whoever gets
// one sends the request there, and tells of it by Sent.
func (r *Picker) Pick(q *Query) (*Server, PickReason) {
	s, why := r.pick(q)
	if why != Probe && why != Affinity {
		s, why = r.pace(s, why, q)
	}
	if s != nil && !s.warm() {
		s.pacer.Spend()
	}
	r.PickCounts[why]++
	return s, why
}

func (r *Picker) pick(q *Query) (*Server, PickReason) {
	if m := r.table.NextProbe(q.Idempotent && !q.Retry, q.Now); m != nil {
		if s := m.Attachment.(*Server); s.ActiveRequests < r.cfg.MaxRequests && !q.tried(s) && s.withinCalls(q.Now) {
			return s, Probe
		}
	}
	if q.Key != "" && len(r.ring.points) > 0 {
		if s := r.homeOf(q); s != nil {
			return s, Affinity
		}
	}
	for i, h := range r.halls {
		h.look(r.table, q.Now)
		if h.isFull() || i < len(r.halls)-1 && r.passesOn(h) {
			continue
		}
		s := h.draw(r.rand, q, roomy)
		if s == nil {
			continue
		}
		if s.ActiveRequests*2 >= s.limit.Current() {
			if t := r.better(s, i+1, q); t != nil {
				return t, Overflow
			}
		}
		if i == 0 {
			return s, Nearest
		}
		return s, Overflow
	}
	return r.least(q)
}

// farther is how many times worse a server has to be than one in a hall further away for that to be
// taken, once it has half of what it is good for. Limits follow slowly, and a hall would queue up
// to them while the next one idles.
const farther = 1.5

// better is a server in a hall from that one on which is better by so much; nil: there is none.
func (r *Picker) better(than *Server, from int, q *Query) *Server {
	for _, h := range r.halls[from:] {
		if h.look(r.table, q.Now); h.isFull() {
			continue
		}
		if s := h.draw(r.rand, q, roomy); s != nil && s.cost(q)*farther < than.cost(q) {
			return s
		}
	}
	return nil
}

// passesOn tells whether a hall that has lost much of itself passes this request on: what is left
// of it gets a bit more than it had, and not the whole of what the others did.
func (r *Picker) passesOn(h *hall) bool {
	share := h.standing * r.cfg.Overprovisioning
	return share < 1 && r.rand.Float64() >= share
}

// walk is how many servers behind its home a key goes on to.
const walk = 16

// homeOf is the server that has a key, or the next on the ring that may take it. One that warms up
// takes the keys of its part, always the same ones.
func (r *Picker) homeOf(q *Query) *Server {
	key := xxhash.Sum64String(q.Key)
	at := r.ring.home(key)
	var last *Server
	for i := 0; i < walk && i < len(r.ring.points); i++ {
		s := r.ring.points[(at+i)%len(r.ring.points)]
		if s == last || !able(s, q) || s.ActiveRequests >= s.limit.Current() || !s.withinCalls(q.Now) {
			continue
		}
		last = s
		if p := r.table.TrafficShare(s.Endpoint, q.Now); s.State == endpointhealth.WarmingUp &&
			float64(mix(key^hashOf(s.ID))>>11)/(1<<53) >= p {
			continue
		}
		return s
	}
	return nil
}

// least is the server with the least to do for what it is good for, where all are full. Where
// nobody gets a part, one of the others is tried all the same.
func (r *Picker) least(q *Query) (*Server, PickReason) {
	for _, h := range r.halls {
		if s := h.draw(r.rand, q, takes); s != nil {
			return s, Overloaded
		}
	}
	var best *Server
	for _, s := range r.all {
		if s.State != endpointhealth.Checking && s.State != endpointhealth.Listed &&
			s.ActiveRequests < r.cfg.MaxRequests &&
			!q.tried(s) &&
			!s.paced() &&
			s.withinCalls(q.Now) &&
			(best == nil || s.ActiveRequests < best.ActiveRequests) {
			best = s
		}
	}
	if best == nil {
		return nil, NoEndpoint
	}
	return best, LastResort
}

// Sent notes that a request has been sent to a server.
func (r *Picker) Sent(s *Server) {
	r.table.Sent(s.Endpoint)
	s.limit.Sent(s.ActiveRequests)
	if s.hall != nil {
		s.hall.open++
	}
}

// Done notes the end of a request of a class, which took so long.
func (r *Picker) Done(s *Server, class int, o endpointhealth.Outcome, took, now int64) {
	if s.hall != nil {
		s.hall.open--
	}
	before := s.limit.Current()
	switch o {
	case endpointhealth.Success:
		took = r.learn(class, took)
		s.limit.Done(&r.cfg.ConcurrencyLimit, took, false, now)
	case endpointhealth.Aborted, endpointhealth.TimedOut:
		s.limit.Done(&r.cfg.ConcurrencyLimit, took, true, now)
	}
	if s.hall != nil && r.table.TrafficShare(s.Endpoint, now) > 0 {
		s.hall.room += s.limit.Current() - before
	}
	r.table.Done(s.Endpoint, o, took, now)
}

// learn takes a latency into the means, and gives what it would have been for a request like any
// other: a server that got long work is not a slow one. What is usual of a class is that over many
// of its requests. By the mean of all classes a server looked slow as soon as more of the long work
// came, and its limit fell.
func (r *Picker) learn(class int, took int64) int64 {
	v := float64(max(took, 1))
	if r.MeanLatency == 0 {
		r.MeanLatency, r.unit, r.usual = v, v, v
	}
	mean, long := &r.means[class], &r.classes[class]
	if *mean == 0 {
		*mean = v
	}
	*mean += (v - *mean) / 64
	r.MeanLatency += (v - r.MeanLatency) / 64
	long.n = min(long.n+1, usualOver)
	long.mean += (v - long.mean) / float64(long.n)
	like := v / long.mean * r.unit
	r.usual += (like - r.usual) / 64
	return max(int64(like), 1)
}

// usualOver is over how many requests of a class its usual latency is taken.
const usualOver = 2048

// usual is the latency of a class over many of its requests.
type usual struct {
	mean float64
	n    int
}

// MinAttemptTime is how long a try of a class takes by what is known: half of the mean, as much work takes
// less.
func (r *Picker) MinAttemptTime(class int) int64 { return int64(r.means[class] / 2) }

// Capacity is how many requests its servers may have together.
func (r *Picker) Capacity(now int64) int {
	room := 0.0
	for _, s := range r.all {
		room += float64(s.limit.Current()) * r.table.TrafficShare(s.Endpoint, now)
	}
	return int(room)
}

// Tick is to be called each membership.Look.
func (r *Picker) Tick(now int64) { r.table.Tick(now) }

// RetryAfter is after how long a caller does well to ask again, by what is known: when the first
// server that was ejected may be back, where that is why there is none; otherwise when a request
// ends.
func (r *Picker) RetryAfter(now int64) int64 {
	wait := int64(r.MeanLatency)
	out := 0
	for _, s := range r.all {
		if r.table.TrafficShare(s.Endpoint, now) == 0 {
			out++
		}
	}
	if at := r.table.EarliestProbe(); out == len(r.all) && at > 0 {
		wait = at - now
	}
	return min(max(wait, leastBack), mostBack)
}

const (
	leastBack = 20_000
	mostBack  = 10_000_000
)
