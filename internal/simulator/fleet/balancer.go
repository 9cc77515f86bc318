package fleet

import (
	"strconv"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
)

// balancer connects a balancer of package balance to the simulation. It implements
// balance.Transport.
type balancer struct {
	simulation      *Simulation
	index           int
	zone            int
	usesLoadReports bool
	policy          *balance.Balancer
	arrivals        map[uint64]*day.Arrival       // requests that are not finished, by ID
	attempts        map[*balance.Attempt]*Attempt // attempts that are neither answered nor aborted
	notices         uint64                        // delays of registry notices drawn so far
}

func (s *Simulation) newBalancer(i int) *balancer {
	drawn := s.day.Balancers[i]
	kind := s.day.Spec.Balancers[drawn.Kind]
	followsAdvice := drawn.FollowsAdvice
	// With replaced kinds, FollowsAdvice is drawn again. The draw depends only on the seed of the day and the
	// balancer, so that all replacements compare the same draw with their own probability.
	if s.options.BalancerKinds != nil {
		kind = s.options.BalancerKinds[drawn.Kind]
		followsAdvice = day.Unit(s.day.Seed, "heeds", uint64(i)) < kind.Heeds
	}
	b := &balancer{
		simulation:      s,
		index:           i,
		zone:            drawn.Zone,
		usesLoadReports: kind.Choose == string(balance.LeastReportedLoad),
		arrivals:        map[uint64]*day.Arrival{},
		attempts:        map[*balance.Attempt]*Attempt{},
	}
	seed := s.day.Seed ^ s.options.BalancerSeed
	draw := func(request uint64, number, purpose int) float64 {
		return day.Unit(seed, "choice", request<<24^uint64(number)<<14^uint64(purpose))
	}
	b.policy = balance.New(uint64(i)+1, len(s.runners), kind.Behavior(followsAdvice), s.clock, b, draw)
	b.watchRegistry()
	return b
}

// watchRegistry passes changes of the registry's list to the balancer, each after a drawn delay.
func (b *balancer) watchRegistry() {
	s := b.simulation
	notice := s.day.Spec.Roster.NoticeS
	delay := func() time.Duration {
		b.notices++
		u := day.Unit(s.day.Seed, "notice"+strconv.Itoa(b.index), b.notices)
		return virtualclock.FromSeconds(notice.Lo + (notice.Hi-notice.Lo)*u)
	}
	s.registry.Watch(delay, func(name string, listed bool) {
		for _, r := range s.runners {
			if r.spec.Name == name {
				b.policy.SetListed(r.index, listed)
			}
		}
	})
}

// submit passes the request of a client to the balancer.
func (b *balancer) submit(arrival *day.Arrival) {
	class := &b.simulation.day.Spec.Classes[arrival.Class]
	b.arrivals[arrival.ID] = arrival
	b.policy.Submit(&balance.Request{
		ID:         arrival.ID,
		Key:        arrival.ID,
		Idempotent: class.Effect == day.EffectSafe,
		Keyed:      class.Effect == day.EffectKeyed,
		Deadline:   virtualclock.FromMillis(class.DeadlineMs),
	})
}

// Send implements balance.Transport.
func (b *balancer) Send(t *balance.Attempt) {
	s := b.simulation
	s.account.CountAttempt()
	r := s.runners[t.Server]
	a := &Attempt{simulation: s, balancer: b, sent: t, arrival: b.arrivals[t.Request.ID], runner: r}
	b.attempts[t] = a
	delay, arrives := s.networkDelay(b.zone, r.spec.Zone)
	if !arrives {
		s.clock.After(connectTimeout, func() {
			a.deliver(balance.Answer{Kind: balance.Unreachable, AdvertisedCredit: balance.NoCredit})
		})
		return
	}
	s.clock.After(delay, a.arrive)
}

// Abort implements balance.Transport. The runner learns of the abort after a drawn delay; with a
// probability of Fleet.GoneLost it never does.
func (b *balancer) Abort(t *balance.Attempt) {
	s := b.simulation
	a := b.attempts[t]
	delete(b.attempts, t)
	if a == nil {
		return
	}
	spec := &s.day.Spec.Fleet
	u := day.Unit(s.day.Seed^s.options.BalancerSeed, "gone", t.Request.ID<<8^uint64(t.Number))
	if u < spec.GoneLost {
		return
	}
	delay := virtualclock.FromMillis(spec.TellsGoneMs.Lo + (spec.TellsGoneMs.Hi-spec.TellsGoneMs.Lo)*u)
	s.clock.After(delay, a.abandon)
}

// Check implements balance.Transport. The machine reads the health check like a request. A check that
// is not answered within checkTimeout fails.
func (b *balancer) Check(server int) {
	s := b.simulation
	r := s.runners[server]
	ended := false
	end := func(healthy bool) {
		if !ended {
			ended = true
			b.policy.Checked(server, healthy)
		}
	}
	s.clock.After(checkTimeout, func() { end(false) })
	delay, arrives := s.networkDelay(b.zone, r.spec.Zone)
	if !arrives {
		return
	}
	s.clock.After(delay, func() {
		incarnation := r.incarnation
		if incarnation == nil || incarnation.closed || !incarnation.process.IsReady() {
			s.clock.After(delay, func() { end(false) })
			return
		}
		incarnation.machine.Read(func() {
			incarnation.process.Check(b.index+1, func(healthy bool) {
				s.clock.After(delay, func() { end(healthy && !incarnation.dead) })
			})
		})
	})
}

// causes maps the outcomes of requests at the balancer to the causes in the ledger. The ledger itself changes
// WithinObjective to Late for a request that was served after its latency objective.
var causes = map[balance.Outcome]ledger.Cause{
	balance.EndServed:   ledger.WithinObjective,
	balance.EndRejected: ledger.Rejected,
	balance.EndFailed:   ledger.Failed,
	balance.EndTimedOut: ledger.TimedOut,
	balance.EndUnsent:   ledger.Unsent,
}

// Finish implements balance.Transport.
func (b *balancer) Finish(r *balance.Request, outcome balance.Outcome, _ *balance.Attempt) {
	s := b.simulation
	arrival := b.arrivals[r.ID]
	delete(b.arrivals, r.ID)
	s.account.EndRequest(r.ID, causes[outcome], s.now()-arrival.At)
	if outcome == balance.EndServed {
		s.account.AddUsefulWork(arrival.Work + s.readWork())
	}
}
