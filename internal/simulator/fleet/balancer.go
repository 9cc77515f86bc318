package fleet

import (
	"strconv"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
)

// balancer puts one of package balance into the model.
type balancer struct {
	simulation      *Simulation
	index           int
	zone            int
	usesLoadReports bool
	policy          *balance.Balancer
	arrivals        map[uint64]*day.Arrival
	attempts        map[*balance.Attempt]*Attempt // what is out
	notices         uint64
}

func (s *Simulation) newBalancer(i int) *balancer {
	at := s.day.Balancers[i]
	kind := s.day.Spec.Balancers[at.Kind]
	if s.options.BalancerKinds != nil {
		kind = s.options.BalancerKinds[at.Kind]
	}
	b := &balancer{
		simulation:      s,
		index:           i,
		zone:            at.Hall,
		usesLoadReports: kind.Choose == string(balance.LeastReportedLoad),
		arrivals:        map[uint64]*day.Arrival{},
		attempts:        map[*balance.Attempt]*Attempt{},
	}
	seed := s.day.Seed ^ s.options.BalancerSeed
	heeds := at.Heeds
	if s.options.BalancerKinds != nil { // the draw is the day's, the share may be another
		heeds = day.Unit(s.day.Seed, "heeds", uint64(i)) < kind.Heeds
	}
	draw := func(request uint64, no, what int) float64 {
		return day.Unit(seed, "choice", request<<24^uint64(no)<<14^uint64(what))
	}
	b.policy = balance.New(uint64(i)+1, len(s.runners), kind.Habit(heeds), s.clock, b, draw)
	notice := s.day.Spec.Roster.NoticeS
	s.registry.Watch(func() time.Duration {
		b.notices++
		u := day.Unit(s.day.Seed, "notice"+strconv.Itoa(i), b.notices)
		return seconds(notice.Lo + (notice.Hi-notice.Lo)*u)
	}, func(name string, listed bool) {
		for _, r := range s.runners {
			if r.spec.Name == name {
				b.policy.SetListed(r.index, listed)
			}
		}
	})
	return b
}

func (b *balancer) submit(a *day.Arrival) {
	class := &b.simulation.day.Spec.Classes[a.Class]
	b.arrivals[a.ID] = a
	b.policy.Submit(
		&balance.Request{ID: a.ID, Key: a.ID, Idempotent: class.Effect == "safe", Keyed: class.Effect == "keyed",
			Deadline: millis(class.DeadlineMs)},
	)
}

// Send puts a try on the network.
func (b *balancer) Send(t *balance.Attempt) {
	s := b.simulation
	s.account.CountAttempt()
	r := s.runners[t.Server]
	j := &Attempt{simulation: s, balancer: b, sent: t, arrival: b.arrivals[t.Request.ID], runner: r}
	b.attempts[t] = j
	d, arrives := s.networkDelay(b.zone, r.spec.Hall)
	if !arrives {
		s.clock.After(connectTimeout, func() { j.deliver(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1}) })
		return
	}
	s.clock.After(d, j.arrive)
}

// Abort takes a try back. The runner hears of it late, or never.
func (b *balancer) Abort(t *balance.Attempt) {
	j := b.attempts[t]
	delete(b.attempts, t)
	if j == nil {
		return
	}
	f, u := &b.simulation.day.Spec.Fleet, day.Unit(b.simulation.day.Seed^b.simulation.options.BalancerSeed, "gone", t.Request.ID<<8^uint64(t.Number))
	if u < f.GoneLost {
		return
	}
	late := f.TellsGoneMs.Lo + (f.TellsGoneMs.Hi-f.TellsGoneMs.Lo)*u
	b.simulation.clock.After(millis(late), j.abandon)
}

// Check asks a runner how it is.
func (b *balancer) Check(i int) {
	r := b.simulation.runners[i]
	done := false
	tell := func(good bool) {
		if !done {
			done = true
			b.policy.Checked(i, good)
		}
	}
	b.simulation.clock.After(checkTimeout, func() { tell(false) })
	d, arrives := b.simulation.networkDelay(b.zone, r.spec.Hall)
	if !arrives {
		return
	}
	b.simulation.clock.After(d, func() {
		l := r.incarnation
		if l == nil || l.closed || !l.process.IsReady() {
			b.simulation.clock.After(d, func() { tell(false) })
			return
		}
		l.machine.Read(func() { // a check is read like a request
			l.process.Check(b.index+1, func(good bool) { b.simulation.clock.After(d, func() { tell(good && !l.dead) }) })
		})
	})
}

var causes = map[balance.Outcome]ledger.Cause{balance.EndServed: ledger.WithinObjective, balance.EndRejected: ledger.Rejected,
	balance.EndFailed: ledger.Failed, balance.EndTimedOut: ledger.TimedOut, balance.EndUnsent: ledger.Unsent}

// Finish ends a first try.
func (b *balancer) Finish(r *balance.Request, e balance.Outcome, by *balance.Attempt) {
	a := b.arrivals[r.ID]
	delete(b.arrivals, r.ID)
	b.simulation.account.EndRequest(r.ID, causes[e], b.simulation.now()-a.At)
	if e == balance.EndServed {
		b.simulation.account.AddUsefulWork(a.Work + b.simulation.readWork())
	}
}
